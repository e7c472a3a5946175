"""Test that daemons hand on the configuration in force, whole and only to hosts."""

import asyncio

import orjson
from result import Err, Ok
from testtools import TestCase

from experiments.processes import find_free_port
from galenapass.clocks import ManualClock
from galenapass.forwarding import configuration_sharing
from galenapass.forwarding.configuration_sharing import (
    CONFIGURATION_CALL,
    ConfigurationSharing,
)
from galenapass.forwarding.configuration_updates import ConfigurationUpdates
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.peer_calls import PeerServer
from galenapass.forwarding.routes import RouteTable
from galenapass.platform.messages import StoredObject

BODY = orjson.dumps({"routes": ["ä"] * 50_000}).decode()


def make_sharing(version, address, body=None):
    fleet = Fleet("h1", "zone-a", routes=RouteTable(version=version))
    updates = ConfigurationUpdates(
        fleet, ManualClock(), lambda name, body: None, lambda: None, str
    )
    if body is not None:
        updates.in_force = StoredObject("main", 31, body)
    return ConfigurationSharing(fleet, updates, lambda host: address)


def fetch(answer, after=3, is_host=True):
    """Return what a host with version ``after`` gets from a server of ``answer``."""

    async def main():
        address = ("127.0.0.1", find_free_port())
        server = PeerServer({CONFIGURATION_CALL: answer}, lambda ip: is_host)
        await server.open(address)
        try:
            return await make_sharing(after, address).fetch("h2")
        finally:
            server.close()

    return asyncio.run(main())


class TestHandingOn(TestCase):
    def test_a_newer_one_arrives_whole(self):
        answer = make_sharing(6, None, BODY).answer
        self.assertEqual(Ok(StoredObject("main", 31, BODY)), fetch(answer))

    def test_none_is_handed_on_that_is_not_newer(self):
        answer = make_sharing(6, None, BODY).answer
        self.assertEqual(Ok(None), fetch(answer, after=6))

    def test_none_is_handed_on_before_the_first(self):
        self.assertEqual(Ok(None), fetch(make_sharing(0, None).answer))

    def test_a_stranger_gets_none(self):
        answer = make_sharing(6, None, BODY).answer
        self.assertIsInstance(fetch(answer, is_host=False), Err)

    def test_a_host_without_the_call_is_an_error_or_none(self):
        async def answer(fields, connection):
            await connection.send({"error": "unknown call"})

        self.assertEqual(Ok(None), fetch(answer))


class TestFaultyPeers(TestCase):
    def fetch_bytes(self, text):
        async def answer(fields, connection):
            connection.writer.write(text)
            await connection.writer.drain()

        return fetch(answer)

    def test_an_answer_that_is_cut_off(self):
        head = {"name": "main", "revision": 31, "length": 900}
        self.assertIsInstance(
            self.fetch_bytes(orjson.dumps(head) + b"\nabc"),
            Err,
        )

    def test_answers_that_cannot_be_read(self):
        for text in (b"", b"[]\n", b"\xff{\n", b"x" * 10_000, b'{"length": "x"}\n'):
            self.assertIsInstance(self.fetch_bytes(text), Err)

    def test_a_body_without_end(self):
        size = configuration_sharing.MAX_BODY_BYTES + 2
        answer = make_sharing(6, None, "x" * size).answer
        self.assertIsInstance(fetch(answer), Err)

    def test_a_peer_that_hangs(self):
        async def answer(fields, connection):
            await asyncio.sleep(60)

        self.assertIsInstance(fetch(answer), Err)
