"""Test that an answer that is cut anywhere never looks complete."""

import asyncio
import contextlib
import socket
import struct

import aiohttp
from result import Err
from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.platform.runner_client import RunnerClient
from galenapass.targets.connections import make_response_handler
from tests.forwarding_fakes import open_run

BODY = b"the whole body"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Galenapass-Attempt-Id: a1\r\n"
    b"X-Galenapass-Response-Signature: s\r\n"
)
FRAMED = HEAD + b"Content-Length: 14\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"


def reset(writer):
    """Make the connection end with a reset when it is closed."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )


class CutServer:
    """Server that answers with ``data`` and ends the connection.

    With ``resets`` the end is a reset, ``pause`` seconds after the data.
    """

    def __init__(self):
        self.data, self.resets, self.pause = b"", False, 0.0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.data)
            await writer.drain()
            await asyncio.sleep(self.pause)
            if self.resets:
                reset(writer)
        writer.close()


async def send(client, address, once):
    """Return the body of a request's answer, None if it failed or was cut."""
    try:
        async with open_run(client, address, "a1", once=once) as response:
            if isinstance(response, Err):
                return None
            return b"".join([chunk async for chunk in response.ok_value.chunks])
    except (aiohttp.ClientError, OSError):
        return None


class TestResets(TestCase):
    def read(self, error):
        """Read a body without a length whose end comes together with its bytes."""

        async def scenario():
            loop = asyncio.get_running_loop()
            handler = make_response_handler(loop)
            handler.set_response_params(read_until_eof=True)
            handler.data_received(UNFRAMED + BODY)
            handler.connection_lost(error)
            _, payload = await handler.read()
            return await payload.read()

        return asyncio.run(scenario())

    def test_a_reset_together_with_the_body_is_an_error(self):
        reset = ConnectionResetError("reset by peer")
        self.assertRaises(aiohttp.ClientPayloadError, self.read, reset)

    def test_a_close_together_with_the_body_is_its_end(self):
        self.assertEqual(BODY, self.read(None))


class TestCutAnswers(TestCase):
    def check_cuts(self, answer, complete=None, resets=False, pause=0.0, first=0):
        """Check that an answer cut at any byte fails, but for ``complete``."""

        async def scenario():
            server, client = CutServer(), RunnerClient(SystemClock())
            server.resets, server.pause = resets, pause
            listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            port = listening.sockets[0].getsockname()[1]
            address = f"127.0.0.1:{port}"
            accepted = {}
            async with listening:
                for cut in range(first, len(answer) + 1):
                    server.data = answer[:cut]
                    body = await send(client, address, once=bool(cut % 2))
                    if body is not None:
                        accepted[cut] = body
                await client.close()
            return accepted

        expected = {} if complete is None else {len(answer): complete}
        self.assertEqual(expected, asyncio.run(scenario()))

    def test_a_head_with_a_length(self):
        self.check_cuts(FRAMED + BODY, complete=BODY)

    def test_a_head_with_chunks(self):
        self.check_cuts(CHUNKED + b"e\r\n%b\r\n0\r\n\r\n" % BODY, complete=BODY)

    def test_a_head_without_a_length(self):
        # A body of some bytes ends with its connection, so only the head is cut.
        self.check_cuts(UNFRAMED)

    def test_resets_of_a_head_and_body_with_a_length(self):
        self.check_cuts((FRAMED + BODY)[:-1], resets=True)

    def test_resets_of_a_body_without_a_length(self):
        self.check_cuts(UNFRAMED + BODY, resets=True)

    def test_late_resets_of_a_body_without_a_length(self):
        first = len(UNFRAMED) - 1
        self.check_cuts(UNFRAMED + BODY, resets=True, pause=0.02, first=first)

    def test_a_body_without_a_length_that_is_closed_is_whole(self):
        self.check_cuts(UNFRAMED + BODY, complete=BODY, first=len(UNFRAMED) + len(BODY))
