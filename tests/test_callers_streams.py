"""Test that a caller gets every token exactly once, however its streams fail."""

import asyncio
import contextlib
import time
from datetime import timedelta

import aiohttp
import orjson
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.callers.events import EventCursor
from tests.callers_fakes import (
    BODY,
    CHAT,
    HEADERS,
    NOT_RUN_503,
    FakeEngine,
    Harness,
    abort_connection,
    make_complete_stream,
    make_event,
    make_status_handler,
    make_stream_handler,
    route_to,
    serve,
)
from tests.patient_loops import LoopClock, run_patiently

TOKENS = 6
EVENT_NUMBERS = st.integers(0, TOKENS + 1)
WRITE_SIZES = st.sampled_from([0, 1, 7, 64])

FAILING_HANDLERS = st.one_of(
    st.just(NOT_RUN_503),
    st.just(make_status_handler(500)),
    st.just(abort_connection),
    st.builds(
        make_stream_handler,
        st.just(TOKENS),
        overlap=EVENT_NUMBERS,
        last_event=EVENT_NUMBERS,
        skipped_event=st.none() | EVENT_NUMBERS,
        end=st.sampled_from(["abort", "eof"]),
        write_size=WRITE_SIZES,
    ),
)
COMPLETE_HANDLERS = st.builds(
    make_stream_handler, st.just(TOKENS), overlap=EVENT_NUMBERS, write_size=WRITE_SIZES
)


async def wait_for_ever(request):
    await asyncio.Event().wait()


async def spin(request):
    while True:
        await asyncio.sleep(0)


async def post_completion(harness, stream=True, **headers):
    body = {**BODY, "stream": stream}
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            harness.url + CHAT, json=body, headers=HEADERS | headers
        ) as answer,
    ):
        return answer.status, await answer.read(), answer.headers


@contextlib.asynccontextmanager
async def run_harness(*handlers, **settings):
    engine = FakeEngine(*handlers)
    async with serve(engine.app) as address:
        harness = Harness([route_to(address)] * len(handlers), **settings)
        async with harness.run():
            yield harness, engine


class TestPatience(TestCase):
    """What counts as waiting in the tests that follow."""

    def complete(self, handler):
        async def check():
            settings = {"clock": LoopClock(), "patience": timedelta(seconds=0.5)}
            async with run_harness(handler, **settings) as (harness, _):
                status, _, _ = await post_completion(harness)
                return status

        return run_patiently(check())

    def test_a_wake_up_that_is_lost_ends_at_the_deadline(self):
        self.assertEqual(504, self.complete(wait_for_ever))

    def test_a_loop_that_does_not_come_to_an_end_ends_at_the_deadline(self):
        self.assertEqual(504, self.complete(spin))

    def test_504_a_process_that_is_stopped_has_not_waited(self):
        # A whole CI beside other work: "no answer began in time" after 5 s.
        async def stop(request):
            time.sleep(1.0)
            return await make_stream_handler(TOKENS)(request)

        self.assertEqual(200, self.complete(stop))


class TestResume(TestCase):
    @given(st.lists(FAILING_HANDLERS, max_size=4), COMPLETE_HANDLERS)
    def test_every_token_comes_once(self, failures, complete_handler):
        async def check():
            async with run_harness(*failures, complete_handler, clock=LoopClock()) as (
                harness,
                engine,
            ):
                status, body, _ = await post_completion(harness)
                self.assertEqual((200, make_complete_stream(TOKENS)), (status, body))
                self.assertEqual(
                    ["ran"], [end.run.value for end in harness.dispatcher.ends]
                )
                self.assertEqual(1, harness.dispatcher.first_tokens)
                self.assertEqual(0, harness.streams.requests)

        run_patiently(check())

    def test_each_resumed_attempt_is_recorded(self):
        async def check():
            broken = make_stream_handler(TOKENS, last_event=3, end="abort")
            async with run_harness(broken, make_stream_handler(TOKENS)) as (harness, _):
                await post_completion(harness)
                dispatcher = harness.dispatcher
                self.assertEqual(
                    (1, 1), (dispatcher.first_tokens, dispatcher.resumptions)
                )

        asyncio.run(check())

    @given(st.lists(FAILING_HANDLERS, max_size=2), COMPLETE_HANDLERS)
    def test_one_answer_is_assembled(self, failures, complete_handler):
        async def check():
            async with run_harness(*failures, complete_handler, clock=LoopClock()) as (
                harness,
                _,
            ):
                status, body, headers = await post_completion(harness, stream=False)
                self.assertEqual(200, status)
                self.assertEqual("application/json", headers["Content-Type"])
                answer = orjson.loads(body)
                text = "".join(f"t{number} " for number in range(1, TOKENS + 1))
                self.assertEqual(text, answer["choices"][0]["message"]["content"])
                self.assertEqual("stop", answer["choices"][0]["finish_reason"])
                self.assertEqual(TOKENS, answer["usage"]["completion_tokens"])

        run_patiently(check())

    def test_an_http_1_0_caller_gets_an_unchunked_stream(self):
        async def check():
            async with run_harness(make_stream_handler(TOKENS)) as (harness, _):
                host, port = harness.url.removeprefix("http://").split(":")
                reader, writer = await asyncio.open_connection(host, port)
                body = orjson.dumps({**BODY, "stream": True})
                key = HEADERS["Authorization"]
                head = f"POST {CHAT} HTTP/1.0\r\nAuthorization: {key}\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                _, _, answer = (await reader.read()).partition(b"\r\n\r\n")
                writer.close()
                self.assertEqual(make_complete_stream(TOKENS), answer)

        asyncio.run(check())

    @given(st.lists(st.integers(1, 120), max_size=30))
    def test_chunk_boundaries_make_no_difference(self, sizes):
        cursor, data, out = EventCursor(), make_complete_stream(TOKENS), b""
        for size in [*sizes, len(data)]:
            out += cursor.feed(data[:size]) if data and not cursor.stopped else b""
            data = data[size:]
        self.assertEqual(make_complete_stream(TOKENS), out)
        self.assertTrue(cursor.ended)
        self.assertEqual(TOKENS + 1, cursor.delivered)

    def test_an_end_before_the_finish_reason_is_an_error(self):
        cursor = EventCursor()
        self.assertEqual(make_event(1, 2), cursor.feed(make_event(1, 2)))
        self.assertEqual(b"", cursor.feed(b"data: [DONE]\n\n"))
        self.assertFalse(cursor.ended)
        self.assertIn("unfinished after event 1", cursor.error)

    def test_a_gap_in_event_numbers_stops_the_stream(self):
        cursor = EventCursor()
        self.assertEqual(
            make_event(1, 5), cursor.feed(make_event(1, 5) + make_event(3, 5))
        )
        self.assertTrue(cursor.stopped)
        self.assertFalse(cursor.ended)
