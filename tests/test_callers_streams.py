"""Check that a caller gets every token once, however the streams break."""

import asyncio
import contextlib

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
    Bench,
    FakeEngine,
    event_of,
    play_abort,
    play_status,
    play_stream,
    route_to,
    serve,
    whole_stream,
)

TOKENS = 6
POINTS = st.integers(0, TOKENS + 1)
CUTS = st.sampled_from([0, 1, 7, 64])

BREAKS = st.one_of(
    st.just(NOT_RUN_503),
    st.just(play_status(500)),
    st.just(play_abort),
    st.builds(
        play_stream,
        st.just(TOKENS),
        back=POINTS,
        until=POINTS,
        skip=st.none() | POINTS,
        end=st.sampled_from(["abort", "eof"]),
        cut=CUTS,
    ),
)
WHOLE = st.builds(play_stream, st.just(TOKENS), back=POINTS, cut=CUTS)


async def ask(bench, stream=True, **headers):
    body = {**BODY, "stream": stream}
    async with (
        aiohttp.ClientSession() as session,
        session.post(bench.url + CHAT, json=body, headers=HEADERS | headers) as answer,
    ):
        return answer.status, await answer.read(), answer.headers


@contextlib.asynccontextmanager
async def run_bench(*acts, **settings):
    engine = FakeEngine(*acts)
    async with serve(engine.app) as address:
        bench = Bench([route_to(address)] * len(acts), **settings)
        async with bench.run():
            yield bench, engine


class TestResume(TestCase):
    @given(st.lists(BREAKS, max_size=4), WHOLE)
    def test_every_token_comes_once(self, breaks, last):
        async def check():
            async with run_bench(*breaks, last) as (bench, engine):
                status, body, _ = await ask(bench)
                self.assertEqual((200, whole_stream(TOKENS)), (status, body))
                self.assertEqual(
                    ["ran"], [end.run.value for end in bench.dispatcher.ends]
                )
                self.assertEqual(1, bench.dispatcher.first_tokens)
                self.assertEqual(0, bench.streams.requests)

        asyncio.run(check())

    def test_each_resumed_attempt_is_told(self):
        async def check():
            broken = play_stream(TOKENS, until=3, end="abort")
            async with run_bench(broken, play_stream(TOKENS)) as (bench, _):
                await ask(bench)
                dispatcher = bench.dispatcher
                self.assertEqual((1, 1), (dispatcher.first_tokens, dispatcher.resumes))

        asyncio.run(check())

    @given(st.lists(BREAKS, max_size=2), WHOLE)
    def test_one_answer_is_assembled(self, breaks, last):
        async def check():
            async with run_bench(*breaks, last) as (bench, _):
                status, body, headers = await ask(bench, stream=False)
                self.assertEqual(200, status)
                self.assertEqual("application/json", headers["Content-Type"])
                answer = orjson.loads(body)
                text = "".join(f"t{number} " for number in range(1, TOKENS + 1))
                self.assertEqual(text, answer["choices"][0]["message"]["content"])
                self.assertEqual("stop", answer["choices"][0]["finish_reason"])
                self.assertEqual(TOKENS, answer["usage"]["completion_tokens"])

        asyncio.run(check())

    def test_an_old_caller_gets_an_unchunked_stream(self):
        async def check():
            async with run_bench(play_stream(TOKENS)) as (bench, _):
                host, port = bench.url.removeprefix("http://").split(":")
                reader, writer = await asyncio.open_connection(host, port)
                body = orjson.dumps({**BODY, "stream": True})
                key = HEADERS["Authorization"]
                head = f"POST {CHAT} HTTP/1.0\r\nAuthorization: {key}\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
                writer.write(body)
                _, _, answer = (await reader.read()).partition(b"\r\n\r\n")
                writer.close()
                self.assertEqual(whole_stream(TOKENS), answer)

        asyncio.run(check())

    @given(st.lists(st.integers(1, 120), max_size=30))
    def test_parts_make_no_difference(self, sizes):
        tail, data, out = EventCursor(), whole_stream(TOKENS), b""
        for size in [*sizes, len(data)]:
            out += tail.feed(data[:size]) if data and not tail.stopped else b""
            data = data[size:]
        self.assertEqual(whole_stream(TOKENS), out)
        self.assertTrue(tail.ended)
        self.assertEqual(TOKENS + 1, tail.delivered)

    def test_an_early_end_is_no_end(self):
        tail = EventCursor()
        self.assertEqual(event_of(1, 2), tail.feed(event_of(1, 2)))
        self.assertEqual(b"", tail.feed(b"data: [DONE]\n\n"))
        self.assertFalse(tail.ended)
        self.assertIn("unfinished after event 1", tail.fault)

    def test_a_gap_stops_at_once(self):
        tail = EventCursor()
        self.assertEqual(event_of(1, 5), tail.feed(event_of(1, 5) + event_of(3, 5)))
        self.assertTrue(tail.stopped)
        self.assertFalse(tail.ended)
