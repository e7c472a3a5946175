"""Test what a client gets of a stream whose next runner answers with an error."""

import asyncio
import contextlib

import aiohttp
from testtools import TestCase

from stand_ins.runner import SIGNATURE
from tests.platform_fleet import run
from tests.test_platform_faults import raw_target

EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)]
WHOLE = b"".join(EVENTS)
ERROR = b'{"error":"internal"}\n\n'


def make_head(attempt, status="200 OK", kind="text/event-stream", more=""):
    return (
        f"HTTP/1.1 {status}\r\nX-Galenapass-Attempt-Id: {attempt}\r\n"
        f"{SIGNATURE}: s\r\nContent-Type: {kind}\r\nConnection: close\r\n{more}\r\n"
    ).encode()


class Engine:
    """Decode engine whose streams break off, and which resumes them with an error.

    ``resume`` makes the bytes of the answer to a resumed stream from the attempt's id;
    ``pieces`` are sent with a pause between.
    """

    def __init__(self, resume, events=2):
        self.resume, self.events = resume, events
        self.resumed = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            lines = dict(
                row.split(": ", 1) for row in head.split("\r\n") if ": " in row
            )
            attempt = lines.get("x-galenapass-attempt-id", "")
            if "last-event-id" in lines:
                self.resumed += 1
                for piece in self.resume(attempt):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.01)
            else:
                begun = b"".join(EVENTS[: self.events])
                writer.write(make_head(attempt) + begun + b"id: ")
                await writer.drain()
                await asyncio.sleep(0.01)
        writer.close()


class TestResumedStreams(TestCase):
    def play(self, resume, events=2):
        """Return the bytes that a client got and whether they looked complete."""
        result = []

        async def scenario(fleet):
            engine = Engine(resume, events)
            async with raw_target(engine.serve) as one, raw_target(engine.serve) as two:
                for runner in (fleet.decode, fleet.second_decode):
                    fleet.store.remove("servers", runner.id)
                for name, address in (("raw1", one), ("raw2", two)):
                    entry = fleet.decode.entry(address=address, born=5)
                    fleet.store.put("servers", name, entry)
                known = fleet.daemon.fleet.targets
                await fleet.wait_for(
                    lambda: {"raw1", "raw2"} <= set(known) and "d1" not in known
                )
                result.extend(await self.read(fleet))
            self.assertGreater(engine.resumed, 0)

        run(scenario)
        return result

    async def read(self, fleet):
        url = f"http://127.0.0.1:{fleet.settings.front[1]}/notes/1"
        headers = {
            "Host": "a.example",
            "X-Galenapass-Attempt-Id": "a1",
            "X-Galenapass-Deadline-Ms": "2500",
            "X-Galenapass-Token-Count": "1200,4",
            "X-Galenapass-Prompt-Prefix": "aa:1000,bb:200",
        }
        got = b""
        try:
            async with fleet.client.post(url, headers=headers) as response:
                async for chunk in response.content.iter_any():
                    got += chunk
        except aiohttp.ClientError:
            return got, False
        return got, True

    def check_cut(self, resume, events=2):
        """Check that the stream is visibly cut after the events before it broke off."""
        got, complete = self.play(resume, events)
        self.assertEqual((b"".join(EVENTS[:events]), False), (got, complete))

    def test_an_error_status(self):
        self.check_cut(lambda a: [make_head(a, "500 Internal Server Error") + ERROR])

    def test_an_error_status_of_a_runner_that_refuses(self):
        self.check_cut(lambda a: [make_head(a, "400 Bad Request") + ERROR])

    def test_an_error_text_with_a_good_status(self):
        self.check_cut(lambda a: [make_head(a, kind="application/json") + ERROR])

    def test_an_error_text_as_an_event_stream(self):
        self.check_cut(lambda a: [make_head(a) + ERROR])

    def test_a_whole_head_in_the_middle_of_an_answer(self):
        inner = make_head("a1", "500 Internal Server Error").replace(b"\r", b"")
        self.check_cut(lambda a: [make_head(a) + inner + ERROR])

    def test_a_head_before_the_next_event(self):
        inner = make_head("a1", "500 Internal Server Error")
        self.check_cut(lambda a: [make_head(a) + inner + EVENTS[2] + EVENTS[3]])

    def test_an_answer_without_events(self):
        self.check_cut(lambda a: [make_head(a)])

    def test_an_answer_that_repeats_events_only(self):
        self.check_cut(lambda a: [make_head(a) + EVENTS[0] + EVENTS[1] + b"id: "])

    def test_an_error_after_the_next_event(self):
        got, complete = self.play(lambda a: [make_head(a) + EVENTS[2], ERROR])
        self.assertEqual((b"".join(EVENTS[:3]), False), (got, complete))

    def test_a_stream_that_goes_on_is_whole(self):
        got, complete = self.play(lambda a: [make_head(a) + EVENTS[2], EVENTS[3]])
        self.assertEqual((WHOLE, True), (got, complete))
