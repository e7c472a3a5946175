"""Check that calls to plain services run as often as they may."""

import asyncio
import contextlib

import aiohttp
import orjson
from aiohttp import web
from testtools import TestCase
from yarl import URL

from galenapass.verdicts import Run
from tests.callers_fakes import (
    HEADERS,
    NOT_RUN_503,
    Bench,
    play_abort,
    play_status,
    route_to,
    serve,
)

ROOT = "/v1/services/booking"
KEYED = {"Idempotency-Key": "seat-7"}


class Desk:
    """Play one act for each call, then answer 201 with the path it was sent."""

    def __init__(self, *acts):
        self.acts = list(acts)
        self.seen = []
        self.app = web.Application()
        self.app.router.add_route("*", "/{path:.*}", self._play)

    async def _play(self, request):
        self.seen.append((request.method, request.raw_path, request.headers))
        await request.read()
        if self.acts:
            return await self.acts.pop(0)(request)
        return web.json_response({"path": request.raw_path}, status=201)


@contextlib.asynccontextmanager
async def run_desk(*acts, routes=5):
    desk = Desk(*acts)
    async with serve(desk.app) as address:
        bench = Bench([route_to(address)] * routes)
        async with bench.run():
            yield bench, desk


async def call(bench, method, path, headers=None, body=b""):
    url = URL(bench.url + ROOT + path, encoded=True)
    heads = HEADERS | (headers or {})
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=heads, data=body) as answer,
    ):
        return answer.status, orjson.loads(await answer.read()), answer.headers


class TestRepeatable(TestCase):
    def check_call(self, acts, expected, seen, method="GET", path="/seats"):
        async def check():
            async with run_desk(*acts) as (bench, desk):
                status, body, _ = await call(bench, method, path)
                self.assertEqual((expected, seen), (status, len(desk.seen)))
                self.assertEqual([], bench.claims.log)
                self.assertEqual(1, len(bench.dispatcher.ends))
                return body

        return asyncio.run(check())

    def test_a_listed_call_is_repeated(self):
        self.check_call([play_abort, NOT_RUN_503], 201, 3)

    def test_a_listed_prefix_counts(self):
        self.check_call([play_abort], 201, 2, "POST", "/quotes/7")

    def test_the_query_is_passed_on(self):
        body = self.check_call([], 201, 1, path="/seats?day=2026-01-05&q=a%2Fb")
        self.assertEqual("/seats?day=2026-01-05&q=a%2Fb", body["path"])

    def test_an_error_of_the_target_is_its_answer(self):
        self.check_call([play_status(500)], 500, 1)


class TestOnce(TestCase):
    def check_call(self, acts, expected, seen, log):
        async def check():
            async with run_desk(*acts) as (bench, desk):
                status, body, _ = await call(bench, "POST", "/holds", KEYED, b"{}")
                self.assertEqual((expected, seen), (status, len(desk.seen)))
                self.assertEqual(log, bench.claims.log)
                return body, desk.seen[0][2]

        return asyncio.run(check())

    def test_a_call_runs_under_its_claim(self):
        _, headers = self.check_call([], 201, 1, ["begin", "finish"])
        self.assertEqual("seat-7", headers["Idempotency-Key"])
        self.assertEqual("r1", headers["X-Request-Id"])

    def test_a_lost_answer_is_never_retried(self):
        body, _ = self.check_call([play_abort], 502, 1, ["begin", "leave open"])
        self.assertEqual("may have run", body["verdict"])

    def test_a_put_is_not_sent_twice_by_the_client_library(self):
        async def check():
            async with run_desk(play_status(200), play_abort) as (bench, desk):
                await call(bench, "PUT", "/holds", {"Idempotency-Key": "one"})
                await call(bench, "PUT", "/holds", {"Idempotency-Key": "two"})
                self.assertEqual(2, len(desk.seen))

        asyncio.run(check())

    def test_a_refused_call_moves_on_under_the_same_claim(self):
        self.check_call([NOT_RUN_503], 201, 2, ["begin", "finish"])

    def test_a_call_surely_not_run_gives_its_claim_back(self):
        body, _ = self.check_call([NOT_RUN_503] * 5, 503, 5, ["begin", "release"])
        self.assertEqual("not run", body["verdict"])

    def test_a_repeat_gets_the_earlier_answer(self):
        async def check():
            async with run_desk() as (bench, desk):
                first = await call(bench, "POST", "/holds", KEYED)
                again = await call(bench, "POST", "/holds", KEYED)
                self.assertEqual(first[:2], again[:2])
                self.assertNotIn("X-Replayed", first[2])
                self.assertEqual("yes", again[2]["X-Replayed"])
                self.assertEqual(1, len(desk.seen))

        asyncio.run(check())

    def test_a_vanished_caller_finds_its_answer_later(self):
        async def check():
            begun, go_on = asyncio.Event(), asyncio.Event()

            async def wait(request):
                begun.set()
                await go_on.wait()
                return web.json_response({"held": 7})

            async with run_desk(wait) as (bench, desk):
                calling = asyncio.create_task(call(bench, "POST", "/holds", KEYED))
                await asyncio.wait_for(begun.wait(), 2)
                calling.cancel()
                await asyncio.sleep(0.05)
                go_on.set()
                await asyncio.wait_for(bench.streams.wait_idle(), 2)
                status, body, _ = await call(bench, "POST", "/holds", KEYED)
                self.assertEqual((200, {"held": 7}), (status, body))
                self.assertEqual(1, len(desk.seen))
                self.assertEqual(Run.RAN, bench.dispatcher.ends[0].run)

        asyncio.run(check())

    def test_unsafe_calls_are_refused(self):
        cases = [
            ("POST", "/holds", {}),
            ("GET", "/holds", {}),
            ("GET", "/seats/1", {}),
            ("POST", "/quotes", {}),
            ("POST", "/holds", {"Idempotency-Key": "k" * 256}),
            ("POST", "/quotes/%2e%2e/holds", {}),
            ("POST", "/quotes/..%2Fholds", {}),
        ]

        async def check():
            async with run_desk() as (bench, desk):
                for method, path, headers in cases:
                    status, body, _ = await call(bench, method, path, headers)
                    self.assertEqual((400, "not run"), (status, body["verdict"]), path)
                self.assertEqual(([], []), (desk.seen, bench.claims.log))

        asyncio.run(check())
