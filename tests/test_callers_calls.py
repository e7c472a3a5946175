"""Test which calls to plain services are retried and which run at most once."""

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
    Harness,
    abort_connection,
    make_status_handler,
    route_to,
    serve,
)

ROOT = "/v1/services/booking"
KEY_HEADERS = {"Idempotency-Key": "seat-7"}


class FakeService:
    """Plain service that runs one handler per call, then answers 201 with the path."""

    def __init__(self, *handlers):
        self.handlers = list(handlers)
        self.received = []
        self.app = web.Application()
        self.app.router.add_route("*", "/{path:.*}", self._handle)

    async def _handle(self, request):
        self.received.append((request.method, request.raw_path, request.headers))
        await request.read()
        if self.handlers:
            return await self.handlers.pop(0)(request)
        return web.json_response({"path": request.raw_path}, status=201)


@contextlib.asynccontextmanager
async def run_service(*handlers, routes=5):
    service = FakeService(*handlers)
    async with serve(service.app) as address:
        harness = Harness([route_to(address)] * routes)
        async with harness.run():
            yield harness, service


async def send_call(harness, method, path, headers=None, body=b""):
    url = URL(harness.url + ROOT + path, encoded=True)
    request_headers = HEADERS | (headers or {})
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=request_headers, data=body) as response,
    ):
        return response.status, orjson.loads(await response.read()), response.headers


class TestRepeatable(TestCase):
    def check_call(self, handlers, expected, received, method="GET", path="/seats"):
        async def check():
            async with run_service(*handlers) as (harness, service):
                status, body, _ = await send_call(harness, method, path)
                self.assertEqual((expected, received), (status, len(service.received)))
                self.assertEqual([], harness.claims.log)
                self.assertEqual(1, len(harness.dispatcher.ends))
                return body

        return asyncio.run(check())

    def test_a_repeatable_call_is_retried(self):
        self.check_call([abort_connection, NOT_RUN_503], 201, 3)

    def test_a_call_below_a_repeatable_prefix_is_retried(self):
        self.check_call([abort_connection], 201, 2, "POST", "/quotes/7")

    def test_the_query_is_passed_on(self):
        body = self.check_call([], 201, 1, path="/seats?day=2026-01-05&q=a%2Fb")
        self.assertEqual("/seats?day=2026-01-05&q=a%2Fb", body["path"])

    def test_an_error_response_of_the_target_is_returned(self):
        self.check_call([make_status_handler(500)], 500, 1)


class TestAtMostOnce(TestCase):
    def check_call(self, handlers, expected, received, log):
        async def check():
            async with run_service(*handlers) as (harness, service):
                status, body, _ = await send_call(
                    harness, "POST", "/holds", KEY_HEADERS, b"{}"
                )
                self.assertEqual((expected, received), (status, len(service.received)))
                self.assertEqual(log, harness.claims.log)
                return body, service.received[0][2]

        return asyncio.run(check())

    def test_a_call_runs_under_its_claim(self):
        _, headers = self.check_call([], 201, 1, ["begin", "finish"])
        self.assertEqual("seat-7", headers["Idempotency-Key"])
        self.assertEqual("r1", headers["X-Request-Id"])

    def test_a_call_with_a_lost_answer_is_never_retried(self):
        body, _ = self.check_call([abort_connection], 502, 1, ["begin", "leave open"])
        self.assertEqual("may have run", body["verdict"])

    def test_a_put_is_not_sent_twice_by_the_client_library(self):
        async def check():
            async with run_service(make_status_handler(200), abort_connection) as (
                harness,
                service,
            ):
                await send_call(harness, "PUT", "/holds", {"Idempotency-Key": "one"})
                await send_call(harness, "PUT", "/holds", {"Idempotency-Key": "two"})
                self.assertEqual(2, len(service.received))

        asyncio.run(check())

    def test_a_refused_call_is_rerouted_under_the_same_claim(self):
        self.check_call([NOT_RUN_503], 201, 2, ["begin", "finish"])

    def test_a_call_that_did_not_run_releases_its_claim(self):
        body, _ = self.check_call([NOT_RUN_503] * 5, 503, 5, ["begin", "release"])
        self.assertEqual("not run", body["verdict"])

    def test_a_resend_gets_the_stored_answer(self):
        async def check():
            async with run_service() as (harness, service):
                first = await send_call(harness, "POST", "/holds", KEY_HEADERS)
                repeated = await send_call(harness, "POST", "/holds", KEY_HEADERS)
                self.assertEqual(first[:2], repeated[:2])
                self.assertNotIn("X-Replayed", first[2])
                self.assertEqual("yes", repeated[2]["X-Replayed"])
                self.assertEqual(1, len(service.received))

        asyncio.run(check())

    def test_the_answer_of_a_disconnected_caller_is_stored(self):
        async def check():
            started, may_finish = asyncio.Event(), asyncio.Event()

            async def wait(request):
                started.set()
                await may_finish.wait()
                return web.json_response({"held": 7})

            async with run_service(wait) as (harness, service):
                pending = asyncio.create_task(
                    send_call(harness, "POST", "/holds", KEY_HEADERS)
                )
                await asyncio.wait_for(started.wait(), 2)
                pending.cancel()
                await asyncio.sleep(0.05)
                may_finish.set()
                await asyncio.wait_for(harness.streams.wait_idle(), 2)
                status, body, _ = await send_call(
                    harness, "POST", "/holds", KEY_HEADERS
                )
                self.assertEqual((200, {"held": 7}), (status, body))
                self.assertEqual(1, len(service.received))
                self.assertEqual(Run.RAN, harness.dispatcher.ends[0].run)

        asyncio.run(check())

    def test_calls_without_a_valid_key_or_path_are_rejected(self):
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
            async with run_service() as (harness, service):
                for method, path, headers in cases:
                    status, body, _ = await send_call(harness, method, path, headers)
                    self.assertEqual((400, "not run"), (status, body["verdict"]), path)
                self.assertEqual(([], []), (service.received, harness.claims.log))

        asyncio.run(check())
