"""Check what callers are told, and what targets are told, when things fail."""

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
    Bench,
    FakeEngine,
    find_closed_port,
    play_abort,
    play_status,
    play_stream,
    route_to,
    serve,
    whole_stream,
)
from tests.test_callers_streams import ask, run_bench

STREAM = {**BODY, "stream": True}
SHORT = Limits(
    body_bytes=1000,
    body_timeout=timedelta(seconds=0.2),
    write_timeout=timedelta(seconds=0.5),
    silence_timeout=timedelta(seconds=0.5),
)
ONCE = {"X-Repeatable": "no"}


PLANNED = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED, "urgent work comes first")


async def play_prefill(request):
    return aiohttp.web.json_response({"handle": "h1", "pieces": 1, "tokens": 4})


async def wait_for(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


class TestVerdicts(TestCase):
    def check_verdict(self, acts, status, verdict, stream=True, **headers):
        async def check():
            async with run_bench(*acts) as (bench, engine):
                answered, body, heads = await ask(bench, stream, **headers)
                problem = orjson.loads(body)
                self.assertEqual(status, answered)
                self.assertEqual("application/problem+json", heads["Content-Type"])
                self.assertEqual(verdict, problem["verdict"])
                self.assertEqual(status, problem["status"])
                self.assertEqual(1, len(bench.dispatcher.ends))
                return len(engine.seen), heads

        return asyncio.run(check())

    def test_a_refusal_is_not_run(self):
        self.check_verdict([NOT_RUN_503, NOT_RUN_503], 503, "not run")

    def test_a_plain_503_may_have_run(self):
        _, heads = self.check_verdict([play_status(503)], 502, "may have run")
        self.assertEqual("false", heads["X-Should-Retry"])

    def test_a_lost_connection_may_have_run(self):
        self.check_verdict([play_abort], 502, "may have run", stream=False)

    def test_a_refusal_does_not_undo_an_earlier_run(self):
        self.check_verdict([play_abort, NOT_RUN_503], 503, "may have run")

    def test_the_targets_own_fault_found_is_final(self):
        seen, _ = self.check_verdict([play_status(400)] * 2, 400, "may have run")
        self.assertEqual(1, seen)

    def test_what_may_not_repeat_runs_once(self):
        acts = [play_abort, play_stream(3)]
        seen, _ = self.check_verdict(acts, 502, "may have run", **ONCE)
        self.assertEqual(1, seen)

    def test_what_may_not_repeat_moves_when_surely_not_run(self):
        async def check():
            async with run_bench(NOT_RUN_503, play_stream(3)) as (bench, _):
                self.assertEqual(whole_stream(3), (await ask(bench, **ONCE))[1])

        asyncio.run(check())

    def test_a_refused_connection_is_not_run(self):
        async def check():
            async with Bench([route_to(find_closed_port())]).run() as bench:
                _, body, _ = await ask(bench)
                self.assertEqual("not run", orjson.loads(body)["verdict"])
                self.assertEqual(Run.NOT_RUN, bench.dispatcher.failures[0].run)

        asyncio.run(check())

    def test_no_target_says_when_to_come_back(self):
        async def check():
            async with Bench().run() as bench:
                status, _, heads = await ask(bench)
                self.assertEqual((503, "2"), (status, heads["Retry-After"]))
                self.assertNotIn("X-Should-Retry", heads)

        asyncio.run(check())

    def test_a_silent_target_passes_the_deadline(self):
        async def check():
            acts = [play_stream(3, until=0, end="hang")]
            async with run_bench(*acts, patience=timedelta(seconds=0.2)) as (b, engine):
                status, body, _ = await ask(b)
                self.assertEqual(504, status)
                self.assertEqual("may have run", orjson.loads(body)["verdict"])
                await asyncio.wait_for(engine.was_cancelled.wait(), 2)

        asyncio.run(check())

    def test_a_deadline_that_passed_in_the_queue_is_not_run(self):
        async def check():
            async with run_bench(play_stream(3), patience=timedelta(0)) as (b, engine):
                status, body, _ = await ask(b)
                self.assertEqual(504, status)
                self.assertEqual("not run", orjson.loads(body)["verdict"])
                self.assertEqual([], engine.seen)

        asyncio.run(check())

    def test_a_late_failure_is_an_event(self):
        async def check():
            async with run_bench(play_stream(5, until=2, end="abort")) as (bench, _):
                status, body, _ = await ask(bench)
                *_, last = body.rstrip().split(b"\n\n")
                name, data = last.split(b"\ndata: ")
                self.assertEqual((200, b"event: error"), (status, name))
                self.assertEqual("may have run", orjson.loads(data)["verdict"])
                self.assertEqual(2, body.count(b"id: "))

        asyncio.run(check())


class TestMoves(TestCase):
    def test_silence_in_a_stream_moves_it(self):
        async def check():
            old = FakeEngine(play_stream(5, until=2, end="hang"))
            new = FakeEngine(play_stream(5))
            async with serve(old.app) as first, serve(new.app) as second:
                routes = [route_to(first), route_to(second)]
                async with Bench(routes, limits=SHORT).run() as bench:
                    self.assertEqual(whole_stream(5), (await ask(bench))[1])
                    self.assertEqual("2", new.seen[0].headers["Last-Event-ID"])
                    await asyncio.wait_for(old.was_cancelled.wait(), 2)
                    self.assertEqual([], new.cancelled)

        asyncio.run(check())

    def test_a_planned_move_frees_the_target_and_loses_nothing(self):
        async def check():
            acts = [play_stream(5, until=3, end="hang"), play_stream(5, back=2)]
            async with run_bench(*acts) as (bench, engine):
                asking = asyncio.create_task(ask(bench))
                await wait_for(lambda: bench.dispatcher.first_tokens)
                self.assertTrue(bench.streams.abort_attempt("r1", PLANNED))
                self.assertEqual(whole_stream(5), (await asking)[1])
                self.assertEqual(["run", "cancel", "run"], engine.log)

        asyncio.run(check())

    def test_what_may_not_repeat_is_never_moved(self):
        async def check():
            act = play_stream(3, until=1, end="hang")
            async with run_bench(act, patience=timedelta(seconds=1)) as (bench, _):
                asking = asyncio.create_task(ask(bench, **ONCE))
                await wait_for(lambda: bench.dispatcher.first_tokens)
                self.assertFalse(bench.streams.abort_attempt("r1", PLANNED))
                asking.cancel()

        asyncio.run(check())

    def test_a_hand_over_runs_the_prompt_elsewhere(self):
        async def check():
            one, two = FakeEngine(play_prefill), FakeEngine(play_stream(3))
            async with serve(one.app) as first, serve(two.app) as second:
                async with Bench([route_to(second, first)]).run() as bench:
                    self.assertEqual(whole_stream(3), (await ask(bench))[1])
                    source = two.seen[0].headers["X-KV-Source"]
                    self.assertEqual(f"http://{first}/kv/h1", source)
                    self.assertEqual("prefill", one.seen[0].headers["X-Phase"])

        asyncio.run(check())

    def test_a_prompt_that_ran_elsewhere_may_have_run(self):
        async def check():
            one, two = FakeEngine(play_prefill), FakeEngine(NOT_RUN_503)
            async with serve(one.app) as first, serve(two.app) as second:
                async with Bench([route_to(second, first)]).run() as bench:
                    _, body, _ = await ask(bench)
                    self.assertEqual("may have run", orjson.loads(body)["verdict"])

        asyncio.run(check())

    def test_a_failed_hand_over_goes_elsewhere(self):
        async def check():
            one, two = FakeEngine(play_status(500)), FakeEngine(play_stream(3))
            async with serve(one.app) as first, serve(two.app) as second:
                routes = [route_to(second, first), route_to(second)]
                async with Bench(routes).run() as bench:
                    self.assertEqual(whole_stream(3), (await ask(bench))[1])
                    self.assertNotIn("X-KV-Source", two.seen[0].headers)

        asyncio.run(check())


class TestCallersFaults(TestCase):
    def test_a_vanished_caller_cancels_at_once(self):
        async def check():
            for act in (
                play_stream(5, until=0, end="hang"),
                play_stream(5, until=2, end="hang"),
            ):
                async with run_bench(act) as (bench, engine):
                    asking = asyncio.create_task(ask(bench))
                    await wait_for(lambda: engine.seen)
                    asking.cancel()
                    await asyncio.wait_for(engine.was_cancelled.wait(), 2)
                    self.assertEqual(["r1"], engine.cancelled)
                    ends = [end.reason for end in bench.dispatcher.ends]
                    self.assertEqual([Reason.CANCELLED], ends)
                    await asyncio.wait_for(bench.streams.wait_idle(), 2)

        asyncio.run(check())

    def test_a_caller_that_does_not_read_is_let_go(self):
        async def flood(request):
            answer = aiohttp.web.StreamResponse()
            await answer.prepare(request)
            with contextlib.suppress(ConnectionError):
                for number in range(1, 2000):
                    pad = b"x" * 20_000
                    await answer.write(b'id: %d\ndata: "%s"\n\n' % (number, pad))
            return answer

        async def check():
            async with run_bench(flood, limits=SHORT) as (bench, engine):
                host, port = bench.url.removeprefix("http://").split(":")
                reader, writer = await asyncio.open_connection(host, port, limit=1024)
                body = orjson.dumps(STREAM)
                head = f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}"
                writer.write(f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                await asyncio.wait_for(engine.was_cancelled.wait(), 10)
                self.assertEqual(Reason.CANCELLED, bench.dispatcher.ends[0].reason)
                self.assertLess(bench.dispatcher.requests[0].delivered, 1999)
                writer.close()

        asyncio.run(check())

    def test_wrong_requests_are_told_what_is_wrong(self):
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
            async with Bench(limits=SHORT).run() as bench, aiohttp.ClientSession() as s:
                for status, path, body, headers in cases:
                    data = body if isinstance(body, bytes) else orjson.dumps(body)
                    heads = HEADERS | headers
                    async with s.post(bench.url + path, data=data, headers=heads) as a:
                        problem = orjson.loads(await a.read())
                        self.assertEqual(
                            (status, status), (a.status, problem["status"])
                        )
                        self.assertEqual("not run", problem["verdict"])
                self.assertEqual([], bench.dispatcher.requests)

        asyncio.run(check())

    def test_a_slow_sender_is_told_so(self):
        async def trickle():
            yield b"{"
            await asyncio.sleep(1)

        async def check():
            async with Bench(limits=SHORT).run() as bench, aiohttp.ClientSession() as s:
                url = bench.url + CHAT
                async with s.post(url, data=trickle(), headers=HEADERS) as answer:
                    self.assertEqual(408, answer.status)

        asyncio.run(check())

    def test_a_host_that_stops_takes_no_new_work(self):
        async def check():
            async with Bench().run() as bench, aiohttp.ClientSession() as session:
                bench.daemon_view.is_ready = False
                self.assertEqual(503, (await ask(bench))[0])
                async with session.get(bench.url + "/readyz") as answer:
                    self.assertEqual(503, answer.status)
                async with session.get(bench.url + "/healthz") as answer:
                    self.assertEqual(200, answer.status)

        asyncio.run(check())


class TestUsualClient(TestCase):
    def test_the_usual_client_works_unchanged(self):
        async def check():
            acts = [
                play_stream(3),
                play_stream(3),
                play_stream(3, until=1, end="abort"),
            ]
            async with run_bench(*acts) as (bench, _):
                client = openai.AsyncOpenAI(api_key=KEY, base_url=bench.url + "/v1")
                async with client:
                    models = [model.id async for model in client.models.list()]
                    self.assertEqual(["juniper-8b"], models)
                    answer = await client.chat.completions.create(**BODY)
                    self.assertEqual("t1 t2 t3 ", answer.choices[0].message.content)
                    parts = await client.chat.completions.create(**STREAM)
                    texts = [p.choices[0].delta.content or "" async for p in parts]
                    self.assertEqual(["t1 ", "t2 ", "t3 ", ""], texts)
                    broken = await client.chat.completions.create(**STREAM)
                    with self.assertRaises(openai.APIError):
                        async for _ in broken:
                            pass

        asyncio.run(check())
