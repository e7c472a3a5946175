"""Test that an answer of a target is whole, and the one to the call that reads it."""

import asyncio
import contextlib
from datetime import timedelta

import orjson
from result import Err, Ok
from testtools import TestCase

from galenapass.dispatch import Route
from galenapass.tables.requests import Request
from galenapass.targets.engines import EngineClient, Order, OrderAnswer, OrderOutcome
from galenapass.verdicts import Reason, Run
from tests.test_platform_kept_connections import serve
from tests.test_targets import STATE

PATH = "/v1/completions"


def make_answer(request_id, body, status=b"200 OK", headers=b""):
    """Return an answer to a request, without its id if that is None."""
    echo = b"X-Request-Id: %b\r\n" % request_id.encode() if request_id else b""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 %b\r\n%b%b%b%b" % (status, echo, headers, length, body)


def make_handle(request_id, handle, echoes=True):
    body = b'{"handle":"%b","pieces":1,"tokens":1}' % handle
    return make_answer(request_id if echoes else None, body)


def make_request(request_id):
    return Request(
        id=request_id,
        caller="tester",
        service="chat",
        arrived=timedelta(0),
        deadline=timedelta(seconds=30),
    )


async def send(engines, request_id, address, prefill=None):
    """Send a request; return its status and body, or the verdict."""
    route = Route("e1", address, "p1" if prefill else None, prefill)
    opened = await engines.open_stream(route, PATH, b"{}", make_request(request_id), 0)
    if isinstance(opened, Err):
        return opened.err_value
    async with opened.ok_value as response:
        return response.status, await response.read()


@contextlib.asynccontextmanager
async def open_engines(*scripts):
    async with serve(*scripts) as (server, address):
        engines = EngineClient()
        try:
            yield engines, server, address
        finally:
            await engines.close()


class TestEngines(TestCase):
    def run_requests(self, *answers):
        """Send requests r1, r2, ... to one engine, each with one answer."""

        async def scenario():
            scripts = [[(0, answer)] for answer in answers]
            async with open_engines(*scripts) as (engines, server, address):
                numbers = range(1, len(answers) + 1)
                results = [await send(engines, f"r{n}", address) for n in numbers]
                return results, server.requests

        return asyncio.run(scenario())

    def test_an_answer_to_another_request_is_not_read(self):
        first = make_answer("r1", b"one")
        results, _ = self.run_requests(first, make_answer("r9", b"nine"))
        self.assertEqual((200, b"one"), results[0])
        # Each connection begins with the answer to r1.
        self.assertIs(Run.MAY_HAVE_RUN, results[1].run)
        self.assertIs(Reason.TARGET_FAILED, results[1].reason)

    def test_a_refusal_of_another_request_proves_nothing(self):
        refusal = make_answer("r1", b"", b"503 Full", b"X-Run: not-run\r\n")

        async def scenario():
            async with open_engines([(0, refusal)]) as (engines, _, address):
                return await send(engines, "r2", address)

        self.assertIs(Run.MAY_HAVE_RUN, asyncio.run(scenario()).run)

    def test_a_refusal_of_the_request_is_one(self):
        refusal = make_answer("r1", b"", b"503 Full", b"X-Run: not-run\r\n")
        results, _ = self.run_requests(refusal)
        self.assertIs(Run.NOT_RUN, results[0].run)

    def test_an_engine_without_ids_gets_a_connection_for_each_request(self):
        answers = [make_answer(None, b"one")] * 3
        results, requests = self.run_requests(*answers)
        self.assertEqual([(200, b"one")] * 3, results)
        self.assertEqual([1, 1, 1], requests)

    def test_a_handle_of_another_request_is_not_used(self):
        async def scenario(echoes):
            scripts = [[(0, make_handle("r1", b"h1", echoes))]] * 2
            ended = [[(0, make_answer(None, b"whole"))]] * 2
            async with (
                open_engines(*scripts) as (engines, prefill, address),
                serve(*ended) as (decode, decode_address),
            ):
                await send(engines, "r1", decode_address, address)
                await send(engines, "r2", decode_address, address)
                return prefill.requests, sum(decode.requests)

        self.assertEqual(([1, 1], 1), asyncio.run(scenario(True)))
        # A connection of its own proves that a handle is the request's.
        self.assertEqual(([1, 1], 2), asyncio.run(scenario(False)))

    def test_an_engine_with_ids_keeps_its_connection(self):
        async def scenario():
            bodies = [b"one", b"two", b"three"]
            engines = EngineClient()
            requests = []

            async def answer(reader, writer):
                requests.append(0)
                with contextlib.suppress(asyncio.IncompleteReadError):
                    while True:
                        head = await reader.readuntil(b"\r\n\r\n")
                        requests[-1] += 1
                        name = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
                        body = bodies[sum(requests) - 1]
                        writer.write(make_answer(name.decode(), body))
                writer.close()

            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            async with server:
                results = [await send(engines, f"r{n}", address) for n in range(3)]
                await engines.close()
            return results, requests

        results, requests = asyncio.run(scenario())
        self.assertEqual([(200, b"one"), (200, b"two"), (200, b"three")], results)
        # The first answer shows that the engine sends ids.
        self.assertEqual([1, 2], requests)

    def test_an_order_is_not_accepted_by_the_answer_to_another(self):
        accepted = make_answer(None, b"{}", b"202 Accepted")

        async def scenario():
            scripts = [[(0, accepted)]] * 2
            async with open_engines(*scripts) as (engines, server, address):
                orders = [Order(name, 3, "role", "decode") for name in ("o1", "o2")]
                answers = [await engines.send_order(address, o) for o in orders]
                return answers, server.requests

        answers, requests = asyncio.run(scenario())
        self.assertEqual([Ok(OrderAnswer(OrderOutcome.ACCEPTED))] * 2, answers)
        self.assertEqual([1, 1], requests)

    def test_a_report_that_answers_another_call_ends_its_connection(self):
        async def scenario():
            answers = [make_answer(None, orjson.dumps(STATE))] * 3
            scripts = [[(0, answer)] for answer in answers]
            async with open_engines(*scripts) as (engines, server, address):
                state = await engines.fetch_state(address)
                load = await engines.fetch_load(address)
                again = await engines.fetch_state(address)
                return state, load, again, server.requests

        state, load, again, requests = asyncio.run(scenario())
        self.assertIsInstance(state, Ok)
        self.assertIsInstance(load, Err)
        self.assertEqual(state, again)
        self.assertEqual([2, 1], requests)
