"""Test responses to callers and cancellations at targets after failures."""

import asyncio
import contextlib
from datetime import timedelta

import aiohttp
import openai
import orjson
from testtools import TestCase

from galenapass.callers.limits import Limits
from galenapass.verdicts import Reason, Run, Verdict
from tests.callers_fakes import (
    BODY,
    CHAT,
    HEADERS,
    KEY,
    NOT_RUN_503,
    FakeEngine,
    Harness,
    abort_connection,
    find_closed_port,
    make_complete_stream,
    make_status_handler,
    make_stream_handler,
    route_to,
    serve,
)
from tests.test_callers_streams import post_completion, run_harness

STREAM = {**BODY, "stream": True}
SHORT_LIMITS = Limits(
    body_bytes=1000,
    body_timeout=timedelta(seconds=0.2),
    write_timeout=timedelta(seconds=0.5),
    silence_timeout=timedelta(seconds=0.5),
)
NOT_REPEATABLE = {"X-Repeatable": "no"}


PREEMPTED_VERDICT = Verdict(
    Run.MAY_HAVE_RUN, Reason.PREEMPTED, "urgent work comes first"
)


async def handle_prefill(request):
    return aiohttp.web.json_response({"handle": "h1", "pieces": 1, "tokens": 4})


async def wait_for(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


class TestVerdicts(TestCase):
    def check_verdict(self, handlers, status, verdict, stream=True, **headers):
        async def check():
            async with run_harness(*handlers) as (harness, engine):
                response_status, body, response_headers = await post_completion(
                    harness, stream, **headers
                )
                problem = orjson.loads(body)
                self.assertEqual(status, response_status)
                self.assertEqual(
                    "application/problem+json", response_headers["Content-Type"]
                )
                self.assertEqual(verdict, problem["verdict"])
                self.assertEqual(status, problem["status"])
                self.assertEqual(1, len(harness.dispatcher.ends))
                return len(engine.received), response_headers

        return asyncio.run(check())

    def test_a_refusal_is_not_run(self):
        self.check_verdict([NOT_RUN_503, NOT_RUN_503], 503, "not run")

    def test_a_plain_503_may_have_run(self):
        _, response_headers = self.check_verdict(
            [make_status_handler(503)], 502, "may have run"
        )
        self.assertEqual("false", response_headers["X-Should-Retry"])

    def test_a_lost_connection_may_have_run(self):
        self.check_verdict([abort_connection], 502, "may have run", stream=False)

    def test_a_refusal_does_not_undo_an_earlier_run(self):
        self.check_verdict([abort_connection, NOT_RUN_503], 503, "may have run")

    def test_a_target_that_rejects_the_request_is_final(self):
        received, _ = self.check_verdict(
            [make_status_handler(400)] * 2, 400, "may have run"
        )
        self.assertEqual(1, received)

    def test_a_request_that_is_not_repeatable_runs_once(self):
        handlers = [abort_connection, make_stream_handler(3)]
        received, _ = self.check_verdict(
            handlers, 502, "may have run", **NOT_REPEATABLE
        )
        self.assertEqual(1, received)

    def test_a_request_that_is_not_repeatable_is_rerouted_if_not_run(self):
        async def check():
            async with run_harness(NOT_RUN_503, make_stream_handler(3)) as (harness, _):
                self.assertEqual(
                    make_complete_stream(3),
                    (await post_completion(harness, **NOT_REPEATABLE))[1],
                )

        asyncio.run(check())

    def test_a_refused_connection_is_not_run(self):
        async def check():
            async with Harness([route_to(find_closed_port())]).run() as harness:
                _, body, _ = await post_completion(harness)
                self.assertEqual("not run", orjson.loads(body)["verdict"])
                self.assertEqual(Run.NOT_RUN, harness.dispatcher.failures[0].run)

        asyncio.run(check())

    def test_no_target_sets_retry_after(self):
        async def check():
            async with Harness().run() as harness:
                status, _, response_headers = await post_completion(harness)
                self.assertEqual((503, "2"), (status, response_headers["Retry-After"]))
                self.assertNotIn("X-Should-Retry", response_headers)

        asyncio.run(check())

    def test_a_silent_target_passes_the_deadline(self):
        async def check():
            handlers = [make_stream_handler(3, last_event=0, end="hang")]
            async with run_harness(*handlers, patience=timedelta(seconds=0.2)) as (
                harness,
                engine,
            ):
                status, body, _ = await post_completion(harness)
                self.assertEqual(504, status)
                self.assertEqual("may have run", orjson.loads(body)["verdict"])
                await asyncio.wait_for(engine.was_cancelled.wait(), 2)

        asyncio.run(check())

    def test_a_deadline_that_passed_in_the_queue_is_not_run(self):
        async def check():
            async with run_harness(make_stream_handler(3), patience=timedelta(0)) as (
                harness,
                engine,
            ):
                status, body, _ = await post_completion(harness)
                self.assertEqual(504, status)
                self.assertEqual("not run", orjson.loads(body)["verdict"])
                self.assertEqual([], engine.received)

        asyncio.run(check())

    def test_a_failure_after_the_first_event_is_an_error_event(self):
        async def check():
            async with run_harness(
                make_stream_handler(5, last_event=2, end="abort")
            ) as (harness, _):
                status, body, _ = await post_completion(harness)
                *_, last = body.rstrip().split(b"\n\n")
                name, data = last.split(b"\ndata: ")
                self.assertEqual((200, b"event: error"), (status, name))
                self.assertEqual("may have run", orjson.loads(data)["verdict"])
                self.assertEqual(2, body.count(b"id: "))

        asyncio.run(check())


class TestRerouting(TestCase):
    def test_a_silent_stream_is_resumed_at_another_target(self):
        async def check():
            stalled_engine = FakeEngine(
                make_stream_handler(5, last_event=2, end="hang")
            )
            next_engine = FakeEngine(make_stream_handler(5))
            async with (
                serve(stalled_engine.app) as first,
                serve(next_engine.app) as second,
            ):
                routes = [route_to(first), route_to(second)]
                async with Harness(routes, limits=SHORT_LIMITS).run() as harness:
                    self.assertEqual(
                        make_complete_stream(5), (await post_completion(harness))[1]
                    )
                    self.assertEqual(
                        "2", next_engine.received[0].headers["Last-Event-ID"]
                    )
                    await asyncio.wait_for(stalled_engine.was_cancelled.wait(), 2)
                    self.assertEqual([], next_engine.cancelled)

        asyncio.run(check())

    def test_an_aborted_attempt_is_cancelled_and_resumed_without_loss(self):
        async def check():
            handlers = [
                make_stream_handler(5, last_event=3, end="hang"),
                make_stream_handler(5, overlap=2),
            ]
            async with run_harness(*handlers) as (harness, engine):
                pending = asyncio.create_task(post_completion(harness))
                await wait_for(lambda: harness.dispatcher.first_tokens)
                self.assertTrue(harness.streams.abort_attempt("r1", PREEMPTED_VERDICT))
                self.assertEqual(make_complete_stream(5), (await pending)[1])
                self.assertEqual(["run", "cancel", "run"], engine.log)

        asyncio.run(check())

    def test_a_request_that_is_not_repeatable_is_never_aborted(self):
        async def check():
            handler = make_stream_handler(3, last_event=1, end="hang")
            async with run_harness(handler, patience=timedelta(seconds=1)) as (
                harness,
                _,
            ):
                pending = asyncio.create_task(
                    post_completion(harness, **NOT_REPEATABLE)
                )
                await wait_for(lambda: harness.dispatcher.first_tokens)
                self.assertFalse(harness.streams.abort_attempt("r1", PREEMPTED_VERDICT))
                pending.cancel()

        asyncio.run(check())

    def test_a_prefill_target_processes_the_prompt(self):
        async def check():
            prefill_engine, decode_engine = (
                FakeEngine(handle_prefill),
                FakeEngine(make_stream_handler(3)),
            )
            async with (
                serve(prefill_engine.app) as first,
                serve(decode_engine.app) as second,
            ):
                async with Harness([route_to(second, first)]).run() as harness:
                    self.assertEqual(
                        make_complete_stream(3), (await post_completion(harness))[1]
                    )
                    source = decode_engine.received[0].headers["X-KV-Source"]
                    self.assertEqual(f"http://{first}/kv/h1", source)
                    self.assertEqual(
                        "prefill", prefill_engine.received[0].headers["X-Phase"]
                    )

        asyncio.run(check())

    def test_a_request_after_a_completed_prefill_may_have_run(self):
        async def check():
            prefill_engine, decode_engine = (
                FakeEngine(handle_prefill),
                FakeEngine(NOT_RUN_503),
            )
            async with (
                serve(prefill_engine.app) as first,
                serve(decode_engine.app) as second,
            ):
                async with Harness([route_to(second, first)]).run() as harness:
                    _, body, _ = await post_completion(harness)
                    self.assertEqual("may have run", orjson.loads(body)["verdict"])

        asyncio.run(check())

    def test_a_request_is_rerouted_after_a_failed_prefill(self):
        async def check():
            prefill_engine, decode_engine = (
                FakeEngine(make_status_handler(500)),
                FakeEngine(make_stream_handler(3)),
            )
            async with (
                serve(prefill_engine.app) as first,
                serve(decode_engine.app) as second,
            ):
                routes = [route_to(second, first), route_to(second)]
                async with Harness(routes).run() as harness:
                    self.assertEqual(
                        make_complete_stream(3), (await post_completion(harness))[1]
                    )
                    self.assertNotIn("X-KV-Source", decode_engine.received[0].headers)

        asyncio.run(check())


class TestCallerFailures(TestCase):
    def test_a_disconnected_caller_cancels_at_once(self):
        async def check():
            for handler in (
                make_stream_handler(5, last_event=0, end="hang"),
                make_stream_handler(5, last_event=2, end="hang"),
            ):
                async with run_harness(handler) as (harness, engine):
                    pending = asyncio.create_task(post_completion(harness))
                    await wait_for(lambda: engine.received)
                    pending.cancel()
                    await asyncio.wait_for(engine.was_cancelled.wait(), 2)
                    self.assertEqual(["r1"], engine.cancelled)
                    ends = [end.reason for end in harness.dispatcher.ends]
                    self.assertEqual([Reason.CANCELLED], ends)
                    await asyncio.wait_for(harness.streams.wait_idle(), 2)

        asyncio.run(check())

    def test_a_caller_that_does_not_read_is_disconnected(self):
        async def flood(request):
            response = aiohttp.web.StreamResponse()
            await response.prepare(request)
            with contextlib.suppress(ConnectionError):
                for number in range(1, 2000):
                    pad = b"x" * 20_000
                    await response.write(b'id: %d\ndata: "%s"\n\n' % (number, pad))
            return response

        async def check():
            async with run_harness(flood, limits=SHORT_LIMITS) as (harness, engine):
                host, port = harness.url.removeprefix("http://").split(":")
                reader, writer = await asyncio.open_connection(host, port, limit=1024)
                body = orjson.dumps(STREAM)
                head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}"
                writer.write(f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                await asyncio.wait_for(engine.was_cancelled.wait(), 10)
                self.assertEqual(Reason.CANCELLED, harness.dispatcher.ends[0].reason)
                self.assertLess(harness.dispatcher.requests[0].delivered, 1999)
                writer.close()

        asyncio.run(check())

    def test_invalid_requests_get_the_matching_problem(self):
        cases = [
            (401, CHAT, STREAM, {"Authorization": "Bearer wrong"}),
            (401, CHAT, STREAM, {"Authorization": ""}),
            (404, CHAT, {**BODY, "model": "nothing"}, {}),
            (403, CHAT, {**BODY, "model": "other-8b"}, {}),
            (400, CHAT, b"{nonsense", {}),
            (400, CHAT, [1], {}),
            (400, CHAT, {"model": "juniper-8b"}, {}),
            (400, CHAT, {**BODY, "max_tokens": -1}, {}),
            (400, CHAT, {**BODY, "max_tokens": True}, {}),
            (400, CHAT, {**BODY, "stream": "yes"}, {}),
            (400, "/v1/completions", {"model": "juniper-8b", "prompt": 3}, {}),
            (413, CHAT, {**BODY, "pad": "x" * 2000}, {}),
            (404, "/v1/nowhere", BODY, {}),
        ]

        async def check():
            async with (
                Harness(limits=SHORT_LIMITS).run() as harness,
                aiohttp.ClientSession() as session,
            ):
                for status, path, body, headers in cases:
                    data = body if isinstance(body, bytes) else orjson.dumps(body)
                    request_headers = HEADERS | headers
                    async with session.post(
                        harness.url + path, data=data, headers=request_headers
                    ) as response:
                        problem = orjson.loads(await response.read())
                        self.assertEqual(
                            (status, status), (response.status, problem["status"])
                        )
                        self.assertEqual("not run", problem["verdict"])
                self.assertEqual([], harness.dispatcher.requests)

        asyncio.run(check())

    def test_a_slow_request_body_times_out(self):
        async def trickle():
            yield b"{"
            await asyncio.sleep(1)

        async def check():
            async with (
                Harness(limits=SHORT_LIMITS).run() as harness,
                aiohttp.ClientSession() as session,
            ):
                url = harness.url + CHAT
                async with session.post(
                    url, data=trickle(), headers=HEADERS
                ) as response:
                    self.assertEqual(408, response.status)

        asyncio.run(check())

    def test_a_stopping_host_accepts_no_new_requests(self):
        async def check():
            async with Harness().run() as harness, aiohttp.ClientSession() as session:
                harness.daemon_view.is_ready = False
                self.assertEqual(503, (await post_completion(harness))[0])
                async with session.get(harness.url + "/readyz") as response:
                    self.assertEqual(503, response.status)
                async with session.get(harness.url + "/healthz") as response:
                    self.assertEqual(200, response.status)

        asyncio.run(check())


class TestOpenAIClient(TestCase):
    def test_the_openai_client_works_unchanged(self):
        async def check():
            handlers = [
                make_stream_handler(3),
                make_stream_handler(3),
                make_stream_handler(3, last_event=1, end="abort"),
            ]
            async with run_harness(*handlers) as (harness, _):
                client = openai.AsyncOpenAI(api_key=KEY, base_url=harness.url + "/v1")
                async with client:
                    models = [model.id async for model in client.models.list()]
                    self.assertEqual(["juniper-8b"], models)
                    response = await client.chat.completions.create(**BODY)
                    self.assertEqual("t1 t2 t3 ", response.choices[0].message.content)
                    parts = await client.chat.completions.create(**STREAM)
                    texts = [p.choices[0].delta.content or "" async for p in parts]
                    self.assertEqual(["t1 ", "t2 ", "t3 ", ""], texts)
                    broken = await client.chat.completions.create(**STREAM)
                    with self.assertRaises(openai.APIError):
                        async for _ in broken:
                            pass

        asyncio.run(check())
