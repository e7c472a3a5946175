"""Test that the state of client connections can be seen and they close in order."""

import asyncio
import contextlib
import socket
import struct

from aiohttp import web
from testtools import TestCase

from galenapass.http_connections import LINGER_TIME, ClientServer, close_after

REQUEST = b"GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n"
BODY_BYTES = 6 * 2**20


@contextlib.asynccontextmanager
async def serve(handler):
    """Yield a server and a function that connects a caller to it."""
    server = ClientServer(handler, handler_cancellation=True, access_log=None)
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    writers = []

    async def connect(**options):
        reader, writer = await asyncio.open_connection(*runner.addresses[0], **options)
        writers.append(writer)
        return reader, writer

    try:
        yield server, connect
    finally:
        for writer in writers:
            writer.close()
        await runner.cleanup()


async def wait_for(condition):
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.005)


def run(scenario, handler):
    async def main():
        async with serve(handler) as (server, connect):
            await scenario(server, connect)

    asyncio.run(main())


class TlsTransport(asyncio.Transport):
    """Transport that cannot close its sending side alone, as those of TLS."""

    def __init__(self):
        super().__init__()
        self.closed = asyncio.Event()

    def can_write_eof(self):
        return False

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0

    def close(self):
        self.closed.set()


class TestCounts(TestCase):
    def test_requests_that_wait_for_their_turn_are_counted(self):
        release = asyncio.Event()

        async def handle(raw):
            await release.wait()
            return web.Response()

        async def scenario(server, connect):
            _, writer = await connect()
            writer.write(b"".join(REQUEST % n for n in range(3)))
            await wait_for(lambda: server.count().waiting == 2)
            self.assertEqual(1, server.count().connections)
            release.set()
            await wait_for(lambda: not server.count().waiting)

        run(scenario, handle)

    def test_an_answer_that_the_client_does_not_take_is_counted(self):
        async def handle(raw):
            return web.Response(body=bytes(BODY_BYTES))

        async def scenario(server, connect):
            reader, writer = await connect(limit=2**12)
            writer.write(REQUEST % 1)
            await wait_for(lambda: server.count().unwritten)
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(BODY_BYTES)
            self.assertEqual(0, server.count().unwritten)

        run(scenario, handle)


class TestClosing(TestCase):
    def test_only_idle_connections_are_closed(self):
        release = asyncio.Event()

        async def handle(raw):
            await release.wait()
            return web.Response()

        async def scenario(server, connect):
            busy_reader, busy = await connect()
            busy.write(REQUEST % 1)
            idle_reader, _ = await connect()
            await wait_for(lambda: server.count().connections == 2)
            await asyncio.sleep(0.05)
            server.close_idle()
            self.assertEqual(b"", await idle_reader.read())
            release.set()
            head = await busy_reader.readuntil(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
            server.close_idle()
            self.assertEqual(b"", await busy_reader.read())

        run(scenario, handle)

    def test_bytes_that_cross_the_close_do_not_reset_the_answer(self):
        async def handle(raw):
            response = web.Response(body=bytes(2**16))
            response.force_close()
            await asyncio.sleep(0.05)
            await close_after(raw, response)
            return response

        async def scenario(server, connect):
            reader, writer = await connect()
            writer.write(REQUEST % 1)
            await asyncio.sleep(0.1)
            writer.write(b"x" * 100)
            await asyncio.sleep(0.05)
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"Connection: close", head)
            await reader.readexactly(2**16)
            self.assertEqual(b"", await reader.read())

        run(scenario, handle)

    def test_an_idle_connection_with_tls_is_closed(self):
        async def handle(raw):
            return web.Response()

        async def main():
            server = ClientServer(handle, handler_cancellation=True, access_log=None)
            connection, transport = server(), TlsTransport()
            connection.connection_made(transport)
            await wait_for(lambda: connection.is_idle)
            server.close_idle()
            await asyncio.wait_for(transport.closed.wait(), 3)
            connection.connection_lost(None)

        asyncio.run(main())

    def test_a_connection_that_its_client_reset_does_not_end_the_closing(self):
        async def handle(raw):
            return web.Response()

        async def scenario(server, connect):
            kept_reader, kept = await connect()
            client = socket.create_connection(kept.get_extra_info("peername"))
            await wait_for(lambda: server.count().connections == 2)
            await asyncio.sleep(0.05)
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            # Resets at once, before the server's event loop can see it.
            client.close()
            server.close_idle()
            self.assertEqual(b"", await kept_reader.read())

        run(scenario, handle)

    def test_an_idle_connection_stays_until_its_answer_is_written(self):
        answers = []

        async def handle(raw):
            answers.append(raw.path)
            return web.Response(body=bytes(2**14))

        async def scenario(server, connect):
            reader, writer = await connect(limit=2**12)
            # The client takes no answer until the server's buffer holds one.
            while not server.count().unwritten:
                writer.write(REQUEST % len(answers))
                await asyncio.sleep(0.001)
            (connection,) = server.connections
            await wait_for(lambda: connection.is_idle)
            server.close_idle()
            await asyncio.sleep(2 * LINGER_TIME.total_seconds())
            self.assertEqual(1, server.count().connections)
            for _ in answers:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2**14)
            self.assertEqual(b"", await reader.read())
            await wait_for(lambda: not server.count().connections)

        run(scenario, handle)
