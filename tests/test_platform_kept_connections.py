"""Test that an answer on a kept connection is one to the request sent there."""

import asyncio
import contextlib

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock, SystemClock
from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.platform.runner_client import RunnerClient
from galenapass.platform.store_client import StoreClient
from galenapass.verdicts import Run
from tests.forwarding_fakes import open_run

NOT_RUN = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Galenapass-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def make_answer(attempt, body=b"whole"):
    return (
        b"HTTP/1.1 200 OK\r\nX-Galenapass-Attempt-Id: %b\r\n"
        b"X-Galenapass-Response-Signature: s\r\nContent-Length: %d\r\n\r\n%b"
        % (attempt.encode(), len(body), body)
    )


class ScriptedServer:
    """Server that writes scripted bytes on each connection.

    ``scripts`` holds, for each request of a connection, pairs of a pause in seconds and
    bytes. ``requests`` counts the requests of each connection.
    """

    def __init__(self, *scripts):
        self.scripts = scripts
        self.requests = []

    async def serve(self, reader, writer):
        number = len(self.requests)
        self.requests.append(0)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for script in self.scripts:
                await reader.readuntil(b"\r\n\r\n")
                self.requests[number] += 1
                for pause, data in script:
                    await asyncio.sleep(pause)
                    writer.write(data)
                    await writer.drain()
            await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def serve(*scripts):
    server = ScriptedServer(*scripts)
    listening = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    async with listening:
        yield server, f"127.0.0.1:{port}"


async def send(client, address, attempt):
    """Send a request that may be repeated; return its status and body, or verdict."""
    async with open_run(client, address, attempt) as response:
        if isinstance(response, Err):
            return response.err_value
        body = b"".join([chunk async for chunk in response.ok_value.chunks])
        return response.ok_value.status, body


class TestRunners(TestCase):
    def run_pair(self, pause, *scripts):
        """Send two requests to one server, with a pause between."""

        async def scenario():
            client = RunnerClient(SystemClock())
            async with serve(*scripts) as (server, address):
                first = await send(client, address, "a1")
                await asyncio.sleep(pause)
                second = await send(client, address, "a2")
                await client.close()
            return first, second, server

        return asyncio.run(scenario())

    def test_a_refusal_with_the_answer_before_is_not_read_as_the_next(self):
        first, second, server = self.run_pair(
            0.05, [(0, make_answer("a1") + NOT_RUN)], [(0, make_answer("a2"))]
        )
        self.assertEqual((200, b"whole"), first)
        self.assertEqual([1, 1], server.requests)

    def test_a_refusal_on_an_idle_connection_is_not_read_as_the_next(self):
        first, second, server = self.run_pair(
            0.1, [(0, make_answer("a1")), (0.03, NOT_RUN)], [(0, make_answer("a2"))]
        )
        self.assertEqual((200, b"whole"), first)
        self.assertEqual([1, 1], server.requests)

    def test_a_refusal_just_after_the_next_request_proves_nothing(self):
        first, second, server = self.run_pair(
            0.0, [(0, make_answer("a1"))], [(0, NOT_RUN), (0.05, make_answer("a2"))]
        )
        self.assertEqual((200, b"whole"), first)
        self.assertIs(Run.MAY_HAVE_RUN, second.run)
        self.assertEqual([2], server.requests)


class TestStore(TestCase):
    def test_an_answer_on_an_idle_connection_is_not_read_as_the_next(self):
        def make(revision, spec):
            body = b'{"metadata":{"name":"roles","revision":%d},"spec":%d}' % (
                revision,
                spec,
            )
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            return head + body

        async def scenario():
            clock = ManualClock()
            availability = StoreAvailability(clock, lambda: None, lambda since: None)
            epochs = StoreEpochs(clock, lambda: None)
            script = [(0, make(5, 1)), (0.03, make(4, 0))], [(0, make(6, 2))]
            async with serve(*script) as (server, address):
                store = StoreClient(address, lambda call: None, availability, epochs)
                first = await store.read("leases", "roles")
                await asyncio.sleep(0.1)
                second = await store.read("leases", "roles")
                await store.close()
            return first, second, server

        first, second, server = asyncio.run(scenario())
        self.assertIsInstance(first, Ok)
        self.assertEqual([1, 1], server.requests)
        # The second connection runs the first script again.
        self.assertEqual(5, second.ok_value.version)
