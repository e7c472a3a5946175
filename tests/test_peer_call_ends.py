"""Test that a call between hosts that is cut off is not taken for a whole one."""

import asyncio
import contextlib
import zlib

import orjson
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.forwarding.configuration_sharing import ConfigurationSharing
from galenapass.forwarding.peer_calls import PeerServer
from galenapass.peers import peers_pb2 as wire
from galenapass.peers.links import LINK_ERRORS, Listener, dial
from galenapass.platform.messages import StoredObject
from stand_ins.platform_routes import CONFIGURATION

BODY = orjson.dumps(CONFIGURATION)
PAYLOAD = zlib.compress(BODY, 1)
HEAD = {"version": 5, "name": "main", "revision": 9, "length": len(PAYLOAD)}
ANSWER = orjson.dumps(HEAD) + b"\n" + PAYLOAD


class _Routes:
    version = 3


class _Fleet:
    host = "h1"
    routes = _Routes()


def fetch(answer):
    """Return the result of a call whose answer ends with its connection."""

    async def respond(reader, writer):
        await reader.readline()
        writer.write(answer)
        writer.close()

    async def scenario():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        sharing = ConfigurationSharing(_Fleet(), None, lambda host: address)
        async with server:
            return await sharing.fetch("h2")

    return asyncio.run(scenario())


class TestAnswers(TestCase):
    def test_a_whole_configuration_is_one(self):
        stored = StoredObject("main", 9, BODY.decode())
        self.assertEqual(Ok(stored), fetch(ANSWER))

    @given(st.integers(0, len(ANSWER) - 1))
    def test_a_configuration_that_is_cut_off_is_none(self, end):
        self.assertIsInstance(fetch(ANSWER[:end]), Err)

    def test_a_reply_without_a_configuration_that_is_cut_off_is_none(self):
        reply = b'{"version":12}\n'
        self.assertEqual(Ok(None), fetch(reply))
        for end in range(len(reply) - 2):
            self.assertIsInstance(fetch(reply[:end]), Err, reply[:end])


class TestCalls(TestCase):
    def test_a_call_that_is_cut_off_is_not_served(self):
        served = []

        async def serve(fields, connection):
            served.append(fields)

        async def scenario():
            server = PeerServer({"configuration": serve}, lambda ip: True)
            await server.open(("127.0.0.1", 0))
            address = server._server.sockets[0].getsockname()[:2]
            call = b'{"host":"h1","call":"configuration","after":12}\n'
            for end in (*range(0, len(call) - 1, 3), len(call)):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(call[:end])
                writer.write_eof()
                await reader.read()
                writer.close()
            server.close()

        asyncio.run(scenario())
        self.assertEqual([12], [fields["after"] for fields in served])


class TestLinks(TestCase):
    """Links between the product's daemons, cut after a number of bytes."""

    BATCHES = tuple(wire.Batch(settings_version=n, meshed=True) for n in range(1, 6))

    async def receive(self, limit):
        """Return the batches that arrive within ``limit`` bytes, and the bytes."""
        received, passed = [], 0

        async def send_batches(link):
            for batch in self.BATCHES:
                await link.send(batch)
            await asyncio.sleep(5)

        async def receive_batches(link):
            while (batch := await link.receive()) is not None:
                received.append(batch)

        def make_hello():
            return wire.Hello(host="h2", address="127.0.0.1:1", domain="north")

        listener = Listener("secret", make_hello, send_batches)
        await listener.start("127.0.0.1:0")

        async def copy(reader, writer):
            with contextlib.suppress(OSError):
                while chunk := await reader.read(4096):
                    writer.write(chunk)

        async def cut(reader, writer):
            nonlocal passed
            host, port = listener.address.split(":")
            far_reader, far_writer = await asyncio.open_connection(host, port)
            sending = asyncio.create_task(copy(reader, far_writer))
            with contextlib.suppress(TimeoutError):
                while passed < limit:
                    async with asyncio.timeout(0.3):
                        chunk = await far_reader.read(limit - passed)
                    writer.write(chunk)
                    passed += len(chunk)
            # What came before the end is read.
            await asyncio.sleep(0.03)
            sending.cancel()
            writer.close()
            far_writer.close()

        proxy = await asyncio.start_server(cut, "127.0.0.1", 0)
        address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"
        with contextlib.suppress(*LINK_ERRORS):
            await dial(address, "secret", make_hello(), receive_batches)
        proxy.close()
        await listener.stop()
        return received, passed

    def test_a_batch_that_is_cut_off_is_not_received(self):
        batches = list(self.BATCHES)
        received, size = asyncio.run(self.receive(100_000))
        self.assertEqual(batches, received)
        counts = set()
        for limit in range(size, 0, -4):
            received, _ = asyncio.run(self.receive(limit))
            self.assertEqual(batches[: len(received)], received)
            counts.add(len(received))
        self.assertEqual(set(range(6)), counts)
