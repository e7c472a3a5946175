"""Test the engine client: parsed responses and the verdicts of failures."""

import asyncio

from aiohttp import web
from result import Err, Ok
from testtools import TestCase

from galenapass.tables.targets import LoadReport
from galenapass.targets.cache_events import CacheEvent, CacheEventClient
from galenapass.targets.engines import (
    EngineClient,
    EngineState,
    Order,
    OrderAnswer,
    OrderOutcome,
)
from galenapass.verdicts import Reason, Run
from tests.callers_fakes import abort_connection, find_closed_port, serve

LOAD = {
    "incarnation": "a1",
    "sequence": 4,
    "running": 2,
    "waiting": 1,
    "prefill_queued": 900,
    "pieces_used": 70,
    "pieces_total": 2000,
    "piece_tokens": 16,
}
STATE = {
    "incarnation": "a1",
    "role": "mixed",
    "model": "juniper-8b",
    "adapters": ["tour"],
    "phase": "serving",
    "order": {"id": "o1", "fence": 3},
    "running": 2,
}
ORDER = Order("o1", 3, "role", "decode")


def respond_json(status, value):
    async def handler(request):
        return web.json_response(value, status=status)

    return handler


async def call_engine(handler, call):
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    engines = EngineClient()
    try:
        async with serve(app) as address:
            return await call(engines, address)
    finally:
        await engines.close()


class TestControl(TestCase):
    def call(self, handler, call):
        return asyncio.run(call_engine(handler, call))

    def send(self, handler):
        return self.call(handler, lambda engines, at: engines.send_order(at, ORDER))

    def test_load_is_parsed(self):
        got = self.call(respond_json(200, LOAD), lambda e, at: e.fetch_load(at))
        self.assertEqual(Ok(LoadReport("a1", 4, 2, 1, 900, 70, 2000, 16)), got)

    def test_state_is_parsed(self):
        got = self.call(respond_json(200, STATE), lambda e, at: e.fetch_state(at))
        state = EngineState(
            "a1", "mixed", "juniper-8b", ("tour",), "serving", "o1", 3, 2
        )
        self.assertEqual(Ok(state), got)

    def test_new_engine_has_no_order(self):
        without_order = respond_json(200, STATE | {"order": None})
        got = self.call(without_order, lambda e, at: e.fetch_state(at))
        self.assertEqual((None, None), (got.ok().order_id, got.ok().order_fence))

    def test_order_responses_are_parsed(self):
        stale = {"reason": "stale fence", "fence": 9}
        cases = [
            ((202, {}), OrderAnswer(OrderOutcome.ACCEPTED)),
            ((409, stale), OrderAnswer(OrderOutcome.STALE_FENCE, 9)),
            ((409, {"reason": "busy"}), OrderAnswer(OrderOutcome.BUSY)),
        ]
        for response, expected in cases:
            self.assertEqual(Ok(expected), self.send(respond_json(*response)))

    def test_unreadable_responses_may_have_run(self):
        for handler in (respond_json(409, []), respond_json(500, {}), abort_connection):
            got = self.send(handler)
            self.assertIsInstance(got, Err)
            self.assertEqual(Run.MAY_HAVE_RUN, got.err().run)

    def test_refused_connection_is_not_run(self):
        async def check():
            engines = EngineClient()
            got = await engines.send_order(find_closed_port(), ORDER)
            await engines.close()
            self.assertEqual(Run.NOT_RUN, got.err().run)
            self.assertEqual(Reason.TARGET_UNREACHABLE, got.err().reason)

        asyncio.run(check())


class TestCacheEvents(TestCase):
    def test_events_are_yielded_until_one_is_unreadable(self):
        event = b'data: {"sequence":%d,"stored":[1,2],"evicted":[3]}\n\n'
        stream = b": alive\n\n" + event % 1 + event % 4 + b"data: {}\n\n" + event % 5

        async def handler(request):
            return web.Response(body=stream, content_type="text/event-stream")

        async def follow(engines, address):
            follower = CacheEventClient()
            got = [event async for event in follower.follow(address)]
            await follower.close()
            return got

        got = asyncio.run(call_engine(handler, follow))
        self.assertEqual([CacheEvent(n, (1, 2), (3,)) for n in (1, 4)], got)
