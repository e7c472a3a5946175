"""Test that the second answer of a target that stutters is read as no other one's.

Such a target answers twice, the second time late, on a connection that is kept.
"""

import asyncio
import contextlib
import itertools
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
import orjson
from result import Err
from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.forwarding.target_messages import ClientRequest, OrderOutcome
from galenapass.platform.runner_client import RunnerClient
from galenapass.tables.targets import Role
from stand_ins.platform_routes import make_headers
from stand_ins.runner import ATTEMPT, SIGNATURE
from tests.forwarding_fakes import make_target
from tests.platform_fleet import run
from tests.test_platform_faults import raw_target

# Time from a late second answer to the answer that is due.
PAUSE_SECONDS = 0.03
TRIES = 6
SECOND = timedelta(seconds=1)
STREAM = "text/event-stream"


@dataclass(frozen=True)
class Request:
    """Request that a target has read; ``number`` counts those of the target."""

    method: str
    path: str
    headers: dict
    number: int

    @property
    def attempt(self):
        return self.headers.get(ATTEMPT.lower(), "")

    @property
    def is_prefill(self):
        return self.headers.get("x-galenapass-stage") == "prefill"


def make_head(*lines, status="200 OK"):
    return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode()


def make_answer(body, *lines, status="200 OK"):
    """Return an answer with a length."""
    return make_head(*lines, f"Content-Length: {len(body)}", status=status) + body


def make_chunked(body, *lines):
    head = make_head(*lines, "Transfer-Encoding: chunked")
    return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


def name_lines(request, kind="text/plain"):
    """Return the lines of the head of an answer that names its request."""
    return (
        f"{ATTEMPT}: {request.attempt}",
        f"{SIGNATURE}: s-{request.attempt}",
        f"Content-Type: {kind}",
    )


def make_body(attempt):
    """Return the body of the answer to a run, which is longer than most answers."""
    return b"".join(b"%d for %b\n" % (n, attempt.encode()) for n in range(60))


def make_events(attempt):
    return [f"id: {n}\ndata: {attempt} {n}\n\n".encode() for n in range(1, 5)]


def make_run(request):
    return make_answer(make_body(request.attempt), *name_lines(request))


def make_stream(request):
    events = b"".join(make_events(request.attempt))
    return make_chunked(events, *name_lines(request, STREAM))


def make_prefill(request, is_named=False):
    values = {"kv_handle": f"h-{request.attempt}", "tokens": 1, "version": 1}
    lines = [f"{ATTEMPT}: {request.attempt}"] if is_named else []
    return make_answer(orjson.dumps(values), *lines)


def make_named_prefill(request):
    return make_prefill(request, is_named=True)


def make_report(request, *lines, stage="prefill"):
    """Return a report in which each value tells which request it answers."""
    values = {
        "stage": stage,
        "busy": request.number % 2 == 0,
        "seq": request.number,
        "num_waiting": request.number,
        "num_running": request.number,
        "born": request.number,
    }
    return make_answer(orjson.dumps(values), *lines)


def make_steady_report(stage):
    """Return the report of a target that never changes."""
    values = {"stage": stage, "busy": False, "seq": 0, "born": 7}
    return make_answer(orjson.dumps(values))


def make_parts(request):
    held = [["", f"p{request.number}", request.number, "m"]]
    return make_answer(orjson.dumps({"epoch": 1, "next": 1, "held": held}))


def make_any(request, is_named=False):
    """Return the answer to a request of any kind."""
    if request.path == "/report":
        return make_report(request)
    if request.path == "/kv-list":
        return make_parts(request)
    if request.path == "/order":
        return make_answer(b"", status="202 Accepted")
    if request.method == "DELETE":
        return make_answer(b"")
    if request.is_prefill:
        return make_prefill(request, is_named)
    return make_run(request)


def make_any_named(request):
    return make_any(request, is_named=True)


def answer_once(make):
    """Return the play of a sound target."""

    async def play(writer, request, former):
        writer.write(make(request))

    return play


def answer_late(make, pause=PAUSE_SECONDS):
    """Return a play whose second answers come just after the next request.

    The answer to that request follows after ``pause`` seconds.
    """

    async def play(writer, request, former):
        if former is not None:
            writer.write(make(former))
            await asyncio.sleep(pause)
        writer.write(make(request))

    return play


def answer_after(make, late, work=0.0):
    """Return a play whose second answers come ``late`` seconds after the first."""

    async def play(writer, request, former):
        await asyncio.sleep(work)
        writer.write(make(request))
        asyncio.get_running_loop().call_later(late, writer.write, make(request))

    return play


class PlayedTarget:
    """Target that answers by a play, which gets the former request of a connection.

    A play that returns true ends its connection. ``connections`` lists the requests of
    each connection; calls of a daemon for reports are not among them if they are
    answered by ``report``.
    """

    def __init__(self, play, report=None):
        self.play, self.report = play, report
        self.connections = []
        self._numbers = itertools.count(1)

    @property
    def requests(self):
        return [request for requests in self.connections for request in requests]

    async def serve(self, reader, writer):
        requests = []
        self.connections.append(requests)
        ends = OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        with contextlib.suppress(*ends):
            while True:
                request = await self.read(reader)
                if self.report is not None and request.path == "/report":
                    writer.write(self.report)
                    continue
                former = requests[-1] if requests else None
                requests.append(request)
                if await self.play(writer, request, former):
                    break
                await writer.drain()
        writer.close()

    async def read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if line)
        headers = {name.lower(): value for name, value in headers.items()}
        await reader.readexactly(int(headers.get("content-length", 0)))
        method, path, _ = first.split(" ")
        return Request(method, path, headers, next(self._numbers))

    @contextlib.asynccontextmanager
    async def replace(self, fleet, *runners, name="raw"):
        """Serve in place of runners of the fleet."""
        async with raw_target(self.serve) as address:
            known, gone = fleet.daemon.fleet.targets, {r.id for r in runners}
            for runner_id in gone & fleet.store.objects["servers"].keys():
                fleet.store.remove("servers", runner_id)
            entry = runners[0].entry(address=address, born=7)
            fleet.store.put("servers", name, entry)
            await fleet.wait_for(lambda: name in known and not gone & known.keys())
            yield


class Caller:
    """Client of one played target, by each kind of call."""

    def __init__(self, address):
        self.notices = []
        self.client = RunnerClient(
            SystemClock(), lambda target, notice: self.notices.append(notice)
        )
        self.target = make_target("e1", address=address)

    def make_message(self, attempt):
        headers = ((ATTEMPT, attempt),)
        path = f"/notes/{attempt}"
        return ClientRequest(attempt, "POST", path, "a.example", headers, b"")

    async def prefill(self, attempt):
        """Return the handle of a prefill, None if it failed."""
        message = self.make_message(attempt)
        result = await self.client.prefill(self.target, message, SECOND, 0, None)
        if isinstance(result, Err):
            return None
        return result.ok_value.removeprefix(f"{self.target.address}/")

    async def run(self, attempt, once=False):
        """Return the body of the answer to a run, None if it failed or was cut."""
        context = self.client.run(
            self.target,
            self.make_message(attempt),
            SECOND,
            priority=None,
            source=None,
            last_event=None,
            once=once,
        )
        try:
            async with context as response, asyncio.timeout(1.5):
                if isinstance(response, Err):
                    return None
                return b"".join([chunk async for chunk in response.ok_value.chunks])
        except (aiohttp.ClientError, OSError):
            return None

    async def fetch_state(self):
        """Return the state that a report tells, None if there is none."""
        result = await self.client.fetch_state(self.target)
        return None if isinstance(result, Err) else result.ok_value

    async def fetch_parts(self):
        result = await self.client.fetch_parts(self.target)
        if isinstance(result, Err):
            return None
        return [(part.id, part.tokens) for part in result.ok_value]

    async def release(self, handle):
        await self.client.release_kv_cache(f"{self.target.address}/{handle}")

    async def order(self, orders=0):
        return await self.client.order_role(self.target, Role.DECODE, "h", 1, orders)


def call(play, scenario):
    """Run a scenario with a caller of a played target, and return its result."""

    async def main():
        target = PlayedTarget(play)
        async with asyncio.timeout(30), raw_target(target.serve) as address:
            caller = Caller(address)
            try:
                return await scenario(caller, target)
            finally:
                await caller.client.close()

    return asyncio.run(main())


class ClientTestCase(TestCase):
    def check_prefills(self, play, pauses=(0.0,) * TRIES, least=0):
        """Check that a prefill gets its own handle or fails; ``least`` succeed."""

        async def scenario(caller, target):
            handles = {}
            for number, pause in enumerate(pauses):
                attempt = f"a{number}"
                handles[attempt] = await caller.prefill(attempt)
                await asyncio.sleep(pause)
            return handles

        handles = call(play, scenario)
        self.check_own(handles, lambda attempt: f"h-{attempt}", least)

    def check_runs(self, play, pauses=(0.0,) * TRIES, once=False, least=0):
        """Check that a run gets its own body or fails; ``least`` succeed."""

        async def scenario(caller, target):
            bodies = {}
            for number, pause in enumerate(pauses):
                attempt = f"a{number}"
                bodies[attempt] = await caller.run(attempt, once)
                await asyncio.sleep(pause)
            return bodies

        self.check_own(call(play, scenario), make_body, least)

    def check_own(self, results, make_own, least):
        read = {key: result for key, result in results.items() if result is not None}
        # A body is too long to be printed.
        foreign = {
            key: len(got) if isinstance(got, bytes) else got
            for key, got in read.items()
            if got != make_own(key)
        }
        self.assertEqual({}, foreign)
        self.assertGreaterEqual(len(read), least)


class TestPrefills(ClientTestCase):
    def test_a_late_prefill_without_an_id_is_not_read_as_the_next(self):
        self.check_prefills(answer_late(make_prefill))

    def test_a_late_prefill_with_an_id_is_not_read_as_the_next(self):
        self.check_prefills(answer_late(make_named_prefill))

    def test_a_prefill_on_an_idle_connection_is_not_read_as_the_next(self):
        play = answer_after(make_prefill, 0.01)
        self.check_prefills(play, (0.04,) * TRIES, least=TRIES)

    def test_prefills_without_an_id_that_are_late_by_any_time(self):
        pauses = [0.001 * (number % 8) for number in range(40)]
        self.check_prefills(answer_after(make_prefill, 0.004, 0.002), pauses)

    def test_prefills_with_an_id_that_are_late_by_any_time(self):
        pauses = [0.001 * (number % 8) for number in range(40)]
        self.check_prefills(answer_after(make_named_prefill, 0.004, 0.002), pauses)

    def test_a_late_run_is_not_read_as_a_prefill(self):
        async def scenario(caller, target):
            return [
                (await caller.run(f"a{n}"), await caller.prefill(f"b{n}"))[1]
                for n in range(TRIES)
            ]

        handles = call(answer_late(make_any), scenario)
        for number, handle in enumerate(handles):
            self.assertIn(handle, (None, f"h-b{number}"))


def answer_inside(cut, before=PAUSE_SECONDS, after=0.0):
    """Return a play with the former answer inside the body of the next one.

    ``before`` and ``after`` are the seconds from and to the bytes around it.
    """

    async def play(writer, request, former):
        answer = make_run(request)
        if former is None:
            writer.write(answer)
            return
        middle = answer.index(b"\r\n\r\n") + 4 + cut
        pieces = (answer[:middle], before), (make_run(former), after)
        for piece, pause in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(answer[middle:])

    return play


def answer_inside_chunks(cut):
    """Return a play with the former answer inside the second chunk of the next one.

    It comes ``cut`` bytes after the start of that chunk, or before the chunk if 0.
    """

    async def play(writer, request, former):
        head = make_head(*name_lines(request), "Transfer-Encoding: chunked")
        body = make_body(request.attempt)
        chunks = [b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:100], body[100:])]
        end = b"0\r\n\r\n"
        if former is None:
            writer.write(head + chunks[0] + chunks[1] + end)
            return
        pieces = (
            head + chunks[0] + chunks[1][:cut],
            make_run(former),
            chunks[1][cut:] + end,
        )
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)

    return play


class TestFramedBodies(ClientTestCase):
    LENGTH = len(make_body("a0"))

    def test_a_former_answer_at_the_start_of_a_body(self):
        self.check_runs(answer_inside(0))

    def test_a_former_answer_inside_a_body(self):
        self.check_runs(answer_inside(self.LENGTH // 2))

    def test_a_former_answer_inside_a_body_without_pauses(self):
        self.check_runs(answer_inside(self.LENGTH // 2, before=0.0))

    def test_a_former_answer_inside_a_body_that_goes_on_later(self):
        self.check_runs(answer_inside(self.LENGTH // 4, after=PAUSE_SECONDS))

    def test_a_former_answer_inside_a_body_that_ends_with_the_bytes_read(self):
        # Bytes beyond the length come when the body has been read.
        async def play(writer, request, former):
            answer = make_run(request)
            if former is None:
                writer.write(answer)
                return
            mixed = answer[:300] + make_run(former)[:200] + answer[300:]
            for start, end in ((0, 300), (300, len(answer)), (len(answer), None)):
                writer.write(mixed[start:end])
                await writer.drain()
                await asyncio.sleep(PAUSE_SECONDS)

        self.check_runs(play)

    def test_a_former_answer_before_the_last_byte_of_a_body(self):
        self.check_runs(answer_inside(self.LENGTH - 1))

    def test_a_former_answer_inside_a_chunk(self):
        self.check_runs(answer_inside_chunks(cut=20))

    def test_a_former_answer_between_chunks(self):
        self.check_runs(answer_inside_chunks(cut=0))

    def test_a_former_answer_inside_a_chunk_is_a_failure_at_once(self):
        # The reader of the body was told nothing and waited for its whole time.
        self.check_failure_at_once(cut=20)

    def test_a_former_answer_between_chunks_is_a_failure_at_once(self):
        self.check_failure_at_once(cut=0)

    def check_failure_at_once(self, cut):
        async def scenario(caller, target):
            loop = asyncio.get_running_loop()
            spent = []
            for number in range(TRIES):
                started = loop.time()
                await caller.run(f"a{number}")
                spent.append(loop.time() - started)
            return spent

        spent = call(answer_inside_chunks(cut), scenario)
        self.assertEqual([], [seconds for seconds in spent if seconds > 1])

    def test_a_former_answer_after_a_body(self):
        self.check_runs(answer_inside(self.LENGTH, before=0.0))
        self.check_runs(answer_inside(self.LENGTH))


def answer_without_length(pause, second=True):
    """Return a play of answers that end with their connection, which come twice."""

    async def play(writer, request, former):
        head = make_head(*name_lines(request))
        body = make_body(request.attempt)
        writer.write(head + body)
        await writer.drain()
        await asyncio.sleep(pause)
        if second:
            writer.write(head + body)
        return True

    return play


class TestBodiesWithoutALength(ClientTestCase):
    def test_a_second_answer_at_once(self):
        self.check_runs(answer_without_length(0.0))

    def test_a_second_answer_before_the_close(self):
        self.check_runs(answer_without_length(PAUSE_SECONDS))

    def test_a_second_answer_to_a_request_that_runs_once(self):
        self.check_runs(answer_without_length(PAUSE_SECONDS), once=True)

    def test_a_former_answer_inside_a_body_on_a_kept_connection(self):
        async def play(writer, request, former):
            if former is None:
                writer.write(make_run(request))
                return False
            head, body = make_head(*name_lines(request)), make_body(request.attempt)
            writer.write(head + body[:200])
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(make_run(former) + body[200:])
            return True

        self.check_runs(play)


class TestEqualIds(ClientTestCase):
    def check_second(self, first, second, own):
        """Check that the second of two calls with one id gets its own answer."""

        async def scenario(caller, target):
            results = []
            for number in range(TRIES):
                await first(caller, f"a{number}")
                results.append(await second(caller, f"a{number}"))
            return results, target

        results, target = call(answer_late(self.make_numbered), scenario)
        last = {request.attempt: request.number for request in target.requests}
        for number, result in enumerate(results):
            if result is not None:
                self.assertEqual(own(last[f"a{number}"]), result)

    def make_numbered(self, request):
        """Return an answer that names its request and tells which call it answers."""
        number = request.number
        if request.is_prefill:
            values = {"kv_handle": f"h-{number}", "tokens": 1, "version": 1}
            return make_answer(orjson.dumps(values), f"{ATTEMPT}: {request.attempt}")
        return make_answer(b"run %d" % number, *name_lines(request))

    def test_a_late_prefill_is_not_read_as_the_run_of_its_request(self):
        self.check_second(Caller.prefill, Caller.run, lambda n: b"run %d" % n)

    def test_a_late_run_is_not_read_as_the_next_run_of_its_request(self):
        self.check_second(Caller.run, Caller.run, lambda n: b"run %d" % n)

    def test_a_late_prefill_is_not_read_as_the_next_prefill_of_its_request(self):
        self.check_second(Caller.prefill, Caller.prefill, lambda n: f"h-{n}")

    def test_a_late_run_is_not_read_as_the_prefill_of_its_request(self):
        self.check_second(Caller.run, Caller.prefill, lambda n: f"h-{n}")


class TestCallsWithoutIds(ClientTestCase):
    def check_states(self, before, make=make_any):
        """Check that each report is the one that was asked for, or is refused."""

        async def scenario(caller, target):
            found = []
            for number in range(TRIES):
                await before(caller, f"a{number}")
                state = await caller.fetch_state()
                found.append((state, target.requests))
            return found

        for state, requests in call(answer_late(make), scenario):
            if state is None:
                continue
            asked = max(r.number for r in requests if r.path == "/report")
            expected = (asked, asked % 2 == 0, str(asked), asked, asked)
            self.assertEqual(
                expected,
                (
                    state.orders,
                    state.changing,
                    state.incarnation,
                    state.waiting,
                    state.running,
                ),
            )

    def test_an_older_report_is_not_read_as_the_next(self):
        async def before(caller, attempt):
            await asyncio.sleep(0)

        self.check_states(before)

    def test_an_older_report_names_another_stage(self):
        stages = "prefill", "decode"

        def make(request):
            return make_report(request, stage=stages[request.number % 2])

        async def scenario(caller, target):
            found = []
            for _ in range(TRIES):
                state = await caller.fetch_state()
                found.append((state, max(r.number for r in target.requests)))
            return found

        for state, asked in call(answer_late(make), scenario):
            if state is not None:
                expected = (Role.PREFILL, Role.DECODE)[asked % 2]
                self.assertIs(expected, state.role)

    def test_an_older_report_after_a_prefill_is_not_read_as_the_next(self):
        # The report comes twice; the answer to the prefill does not.
        async def play(writer, request, former):
            if former is not None and former.is_prefill:
                writer.write(reports[-1])
                await asyncio.sleep(PAUSE_SECONDS)
            answer = make_any(request, is_named=True)
            if request.path == "/report":
                reports.append(answer)
            writer.write(answer)

        reports = [make_steady_report("prefill")]

        async def scenario(caller, target):
            found = []
            for number in range(TRIES):
                await caller.prefill(f"a{number}")
                state = await caller.fetch_state()
                found.append((state, max(r.number for r in target.requests)))
            return found

        for state, asked in call(play, scenario):
            if state is not None:
                self.assertEqual(asked, state.orders)

    def test_a_late_prefill_is_not_read_as_a_report(self):
        # It has the fields of both.
        def make(request):
            if request.is_prefill:
                values = {"kv_handle": "h", "stage": "decode", "busy": True, "seq": -1}
                return make_answer(orjson.dumps(values), f"{ATTEMPT}: a")
            return make_any(request)

        self.check_states(Caller.prefill, make)

    def test_a_late_run_is_not_read_as_a_report(self):
        def make(request):
            if request.path == "/report":
                return make_any(request)
            values = {"stage": "decode", "busy": True, "seq": -1}
            return make_answer(orjson.dumps(values), *name_lines(request))

        self.check_states(Caller.run, make)

    def test_a_late_list_of_parts_is_not_read_as_the_next(self):
        async def scenario(caller, target):
            found = []
            for _ in range(TRIES):
                parts = await caller.fetch_parts()
                found.append((parts, max(r.number for r in target.requests)))
            return found

        for parts, asked in call(answer_late(make_any), scenario):
            self.assertIn(parts, (None, [(f"p{asked}", asked)]))

    def test_a_late_run_is_not_read_as_a_list_of_parts(self):
        def make(request):
            if request.path == "/kv-list":
                return make_any(request)
            body = orjson.dumps({"held": [["", "foreign", 5, "m"]]})
            return make_answer(body, *name_lines(request))

        async def scenario(caller, target):
            found = []
            for number in range(TRIES):
                await caller.run(f"a{number}")
                parts = await caller.fetch_parts()
                found.append((parts, max(r.number for r in target.requests)))
            return found

        for parts, asked in call(answer_late(make), scenario):
            self.assertIn(parts, (None, [(f"p{asked}", asked)]))

    def check_released(self, make):
        """Check that a release leaves no answer for the call after it."""

        async def scenario(caller, target):
            found = []
            for number in range(TRIES):
                await caller.prefill(f"a{number}")
                await caller.release(f"h-a{number}")
                released = [r for r in target.requests if r.method == "DELETE"]
                state = await caller.fetch_state()
                found.append((len(released), state))
            return found, target

        async def play(writer, request, former):
            if former is not None and former.is_prefill:
                writer.write(make(former))
                await asyncio.sleep(PAUSE_SECONDS)
            writer.write(make(request))

        found, target = call(play, scenario)
        reports = sorted(r.number for r in target.requests if r.path == "/report")
        self.assertEqual(list(range(1, TRIES + 1)), [count for count, _ in found])
        states = [state and state.orders for _, state in found]
        self.assertEqual(reports, states)

    def test_a_late_prefill_is_not_read_as_a_release(self):
        self.check_released(make_any)

    def test_a_late_prefill_with_an_id_is_not_read_as_a_release(self):
        self.check_released(make_any_named)

    def test_the_answer_to_a_release_is_not_read_as_a_report(self):
        def make(request):
            if request.method == "DELETE":
                return make_steady_report("decode")
            return make_any(request)

        self.check_released(make)


class TestNotices(ClientTestCase):
    def check_notices(self, line, first, second):
        """Check that the second call of each pair gets no notice of the first."""

        def make(request):
            if request.headers.get(ATTEMPT.lower(), "").startswith("first"):
                return make_any_named(request).replace(
                    b"\r\n", b"\r\n%b\r\n" % line.encode(), 1
                )
            return make_any_named(request)

        async def scenario(caller, target):
            found = []
            for number in range(TRIES):
                await first(caller, f"first{number}")
                before = len(caller.notices)
                await second(caller)
                found.extend(caller.notices[before:])
            return found

        for notice in call(answer_late(make), scenario):
            self.assertEqual(
                (False, None, None),
                (notice.leaving, notice.rate_limit, notice.back_off),
            )

    def test_a_report_does_not_get_the_leaving_notice_of_a_run(self):
        self.check_notices("Server-Leaving: 1", Caller.run, Caller.fetch_state)

    def test_a_report_does_not_get_the_limit_of_a_run(self):
        self.check_notices("Server-Limit: 3", Caller.run, Caller.fetch_state)

    def test_a_report_does_not_get_the_limit_of_a_prefill(self):
        self.check_notices("Server-Limit: 3", Caller.prefill, Caller.fetch_state)

    def test_a_list_of_parts_does_not_get_the_limit_of_a_run(self):
        self.check_notices("Server-Limit: 3", Caller.run, Caller.fetch_parts)

    def test_a_run_does_not_get_the_limit_of_another_run(self):
        self.check_notices("Server-Limit: 3", Caller.run, lambda c: c.run("other"))

    def test_a_prefill_does_not_get_the_limit_of_a_run(self):
        self.check_notices("Server-Limit: 3", Caller.run, lambda c: c.prefill("other"))


class TestOrders(ClientTestCase):
    def test_a_late_answer_is_not_read_as_that_to_an_order(self):
        def make(request):
            if request.path == "/order":
                return make_answer(b"", status="409 Conflict")
            status = "202 Accepted"
            return make_answer(b"", *name_lines(request), status=status)

        async def scenario(caller, target):
            outcomes = []
            for number in range(TRIES):
                await caller.run(f"a{number}")
                outcomes.append(await caller.order())
            return outcomes, target

        outcomes, target = call(answer_late(make), scenario)
        self.assertEqual([OrderOutcome.CONFLICT] * TRIES, outcomes)
        for requests in target.connections:
            paths = [request.path for request in requests]
            self.assertTrue(paths == ["/order"] or "/order" not in paths, paths)

    def test_an_order_answered_twice_is_not_read_as_the_next(self):
        statuses = "409 Conflict", "202 Accepted"

        def make(request):
            return make_answer(b"", status=statuses[request.number % 2])

        async def scenario(caller, target):
            return [await caller.order() for _ in range(TRIES)]

        expected = [OrderOutcome.ACCEPTED, OrderOutcome.CONFLICT] * (TRIES // 2)
        self.assertEqual(expected, call(answer_late(make), scenario))
        self.assertEqual(
            [OrderOutcome.ACCEPTED] * TRIES,
            call(answer_after(make_any, 0.0), scenario),
        )


class TestSoundTargets(ClientTestCase):
    QUOTED = b"before\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes\r\nafter"

    def test_prefills_without_an_id_are_accepted(self):
        self.check_prefills(answer_once(make_prefill), (0.0,) * 10, least=10)

    def check_connections(self, make, one):
        async def scenario(caller, target):
            results = [await one(caller, f"a{number}") for number in range(10)]
            return results, target

        results, target = call(answer_once(make), scenario)
        self.assertNotIn(None, results)
        self.assertEqual(10, len(target.requests))
        self.assertLessEqual(len(target.connections), 2)

    def test_prefills_with_an_id_reuse_a_connection(self):
        self.check_connections(make_named_prefill, Caller.prefill)

    def test_runs_reuse_a_connection(self):
        self.check_connections(make_run, Caller.run)

    def test_calls_without_an_id_get_their_answers(self):
        async def scenario(caller, target):
            found = []
            for number in range(TRIES):
                handle = await caller.prefill(f"a{number}")
                await caller.release(handle)
                state, parts = await caller.fetch_state(), await caller.fetch_parts()
                found.append((handle, state is not None, parts is not None))
            return found, target

        found, target = call(answer_once(make_any), scenario)
        expected = [(f"h-a{number}", True, True) for number in range(TRIES)]
        self.assertEqual(expected, found)
        released = [r for r in target.requests if r.method == "DELETE"]
        self.assertEqual(TRIES, len(released))

    def check_whole(self, body, make):
        """Check that a body is returned whole, on new and on kept connections."""

        async def play(writer, request, former):
            answer, ends = make(request, body)
            middle = len(answer) - len(body) // 2
            writer.write(answer[:middle])
            await writer.drain()
            await asyncio.sleep(0.005)
            writer.write(answer[middle:])
            return ends

        async def scenario(caller, target):
            return [await caller.run(f"a{n}", n == 5) for n in range(TRIES)]

        self.assertEqual([body] * TRIES, call(play, scenario))

    def make_framed(self, request, body):
        return make_answer(body, *name_lines(request)), False

    def make_chunks(self, request, body):
        return make_chunked(body, *name_lines(request)), False

    def make_unframed(self, request, body):
        return make_head(*name_lines(request)) + body, True

    def test_a_body_that_quotes_an_answer_is_whole(self):
        for make in (self.make_framed, self.make_chunks, self.make_unframed):
            self.check_whole(self.QUOTED, make)

    def test_a_body_that_quotes_an_answer_to_a_request_never_sent_is_whole(self):
        request = Request("POST", "/", {ATTEMPT.lower(): "elsewhere"}, 1)
        body = b"before" + make_run(request) + b"after"
        for make in (self.make_framed, self.make_chunks, self.make_unframed):
            self.check_whole(body, make)

    def test_a_body_without_a_length_is_whole(self):
        for body in (b"x", make_body("a0"), bytes(100_000)):
            self.check_whole(body, self.make_unframed)

    def test_an_answer_without_a_length_to_a_request_that_runs_once(self):
        play = answer_without_length(PAUSE_SECONDS, second=False)
        self.check_runs(play, once=True, least=TRIES)


class DaemonClient:
    """Client of a daemon on kept connections."""

    def __init__(self, fleet, session):
        self.fleet, self.session = fleet, session

    async def send(self, path, attempt):
        """Return the status and body of an answer, and whether it is complete."""
        url = f"http://127.0.0.1:{self.fleet.settings.front[1]}{path}"
        headers = make_headers(attempt, 2500)
        # Equal prompts whose runs break off pass for crashing ones.
        headers["X-Galenapass-Prompt-Prefix"] = f"{attempt}:1000,{attempt}-own:200"
        status, body = None, b""
        try:
            async with self.session.post(url, headers=headers) as response:
                status = response.status
                async for piece in response.content.iter_any():
                    body += piece
        except aiohttp.ClientError:
            return status, body, False
        return status, body, True


@contextlib.asynccontextmanager
async def open_daemon_client(fleet):
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield DaemonClient(fleet, session)


class DaemonTestCase(TestCase):
    COUNT = 12

    def check_plain(self, play, path):
        """Check that a client of a plain target gets its own body or a failure."""

        async def scenario(fleet):
            target = PlayedTarget(play)
            async with (
                target.replace(fleet, fleet.plain, fleet.second_plain),
                open_daemon_client(fleet) as client,
            ):
                answers = {}
                for number in range(self.COUNT):
                    attempt = f"a{number}"
                    answers[attempt] = await client.send(f"{path}{attempt}", attempt)
            foreign = {
                attempt: len(body)
                for attempt, (status, body, complete) in answers.items()
                if status == 200 and complete and body != make_body(attempt)
            }
            self.assertEqual({}, foreign)
            self.assertGreater(len(target.requests), 0)

        run(scenario)


class TestPlainTargets(DaemonTestCase):
    def test_a_former_answer_inside_a_body(self):
        self.check_plain(answer_inside(300), "/seats/")

    def test_a_former_answer_inside_a_body_that_goes_on_later(self):
        self.check_plain(answer_inside(300, after=PAUSE_SECONDS), "/seats/")

    def test_a_late_answer_just_after_the_next_request(self):
        self.check_plain(answer_late(make_run), "/seats/")

    def test_a_second_answer_without_a_length(self):
        self.check_plain(answer_without_length(PAUSE_SECONDS), "/seats/")

    def test_a_second_answer_without_a_length_to_a_request_that_runs_once(self):
        self.check_plain(answer_without_length(PAUSE_SECONDS), "/hold/")


class TestPrefillTargets(DaemonTestCase):
    def check_sources(self, play, least=0):
        """Check that each stream goes on from the handle of its own prefill.

        At least ``least`` streams do.
        """

        async def scenario(fleet):
            target = PlayedTarget(play, make_steady_report("prefill"))
            async with (
                target.replace(fleet, fleet.prefill),
                open_daemon_client(fleet) as client,
            ):
                for number in range(self.COUNT):
                    await client.send(f"/notes/{number}", f"a{number}")
                await asyncio.gather(
                    *(client.send(f"/notes/b{n}", f"b{n}") for n in range(8))
                )
            received = fleet.decode.received + fleet.second_decode.received
            foreign, own = {}, set()
            for request in received:
                attempt = request.headers[ATTEMPT]
                source = request.headers.get("X-Galenapass-Kv-Source", "")
                handle = source.rpartition("/")[2]
                if handle == f"h-{attempt}":
                    own.add(attempt)
                elif handle:
                    foreign[attempt] = handle
            self.assertEqual({}, foreign)
            self.assertGreaterEqual(len(own), least)
            self.assertGreater(len(target.requests), 0)

        run(scenario)

    def test_sound_prefills_without_an_id_are_used(self):
        self.check_sources(answer_once(make_any), self.COUNT + 8)

    def test_late_prefills_without_an_id_give_no_handle_to_other_requests(self):
        self.check_sources(answer_late(make_any))

    def test_late_prefills_with_an_id_give_no_handle_to_other_requests(self):
        self.check_sources(answer_late(make_any_named))


class TestStreams(DaemonTestCase):
    def check_streams(self, play, count=DaemonTestCase.COUNT):
        """Check that a stream has its own events only, and all if it is complete.

        The first stream of each connection is sound. Return how many seconds each of
        ``count`` streams took.
        """
        spent = []

        async def first_sound(writer, request, former):
            if former is None:
                writer.write(make_stream(request))
                return False
            return await play(writer, request, former)

        async def scenario(fleet):
            target = PlayedTarget(first_sound, make_steady_report("decode"))
            async with (
                target.replace(fleet, *fleet.decode_runners),
                open_daemon_client(fleet) as client,
            ):
                for number in range(count):
                    attempt = f"a{number}"
                    started = asyncio.get_running_loop().time()
                    status, body, complete = await client.send("/notes/1", attempt)
                    spent.append(asyncio.get_running_loop().time() - started)
                    own = b"".join(make_events(attempt))
                    if status != 200:
                        continue
                    self.assertEqual(own[: len(body)], body, f"complete: {complete}")
                    if complete:
                        self.assertEqual(own, body)
            used_again = [r for r in target.connections if len(r) > 1]
            self.assertGreater(len(used_again), 0)

        run(scenario)
        return spent

    def answer_unframed(self, make_pieces):
        """Return a play of a stream that ends with its connection."""

        async def play(writer, request, former):
            writer.write(make_head(*name_lines(request, STREAM)))
            for piece in make_pieces(make_events(request.attempt), make_stream(former)):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.005)
            return True

        return play

    def test_a_former_answer_before_the_events(self):
        self.check_streams(
            self.answer_unframed(lambda events, former: [former, *events])
        )

    def test_a_former_answer_between_events(self):
        self.check_streams(
            self.answer_unframed(lambda e, former: [*e[:2], former, *e[2:]])
        )

    def test_a_former_answer_inside_an_event(self):
        self.check_streams(
            self.answer_unframed(
                lambda e, former: [*e[:2], e[2][:9] + former + e[2][9:], e[3]]
            )
        )

    def test_a_former_answer_inside_the_data_of_an_event(self):
        self.check_streams(
            self.answer_unframed(
                lambda e, former: [*e[:2], e[2][:15] + former + e[2][15:], e[3]]
            )
        )

    def test_a_former_answer_after_the_events(self):
        self.check_streams(
            self.answer_unframed(lambda events, former: [*events, former])
        )

    def answer_unframed_twice(self, events, cut=0):
        """Return a play whose second answer comes after a number of own events.

        It comes ``cut`` bytes after the start of the next event.
        """

        async def play(writer, request, former):
            head = make_head(*name_lines(request, STREAM))
            body = b"".join(make_events(request.attempt))
            begun = len(b"".join(make_events(request.attempt)[:events])) + cut
            for piece in (head + body[:begun], head + body):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.005)
            return True

        return play

    def test_the_second_answer_to_a_stream_after_some_events(self):
        self.check_streams(self.answer_unframed_twice(2))

    def test_the_second_answer_to_a_stream_inside_an_event(self):
        self.check_streams(self.answer_unframed_twice(2, cut=9))

    def test_the_second_answer_to_a_stream_after_all_events(self):
        self.check_streams(self.answer_unframed_twice(4))

    def check_chunk(self, cut):
        """Check streams in one chunk, with the former one ``cut`` bytes into an event.

        Return how many seconds each stream took.
        """

        async def play(writer, request, former):
            stream = make_stream(request)
            middle = stream.index(b"id: 3") + cut
            for piece in (stream[:middle], make_stream(former), stream[middle:]):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)

        return self.check_streams(play, count=4)

    def test_a_former_answer_inside_a_chunk_does_not_hold_a_stream(self):
        # The streams were held until their deadlines, 2.5 s.
        spent = self.check_chunk(0)
        self.assertEqual([], [seconds for seconds in spent if seconds > 1.5])

    def test_a_former_answer_between_events_of_a_chunk(self):
        self.check_chunk(0)

    def test_a_former_answer_inside_an_event_of_a_chunk(self):
        self.check_chunk(9)

    def test_a_former_answer_before_a_stream(self):
        async def play(writer, request, former):
            writer.write(make_stream(former))
            await asyncio.sleep(PAUSE_SECONDS)
            writer.write(make_stream(request))

        self.check_streams(play)


def answer_in_pieces(late=None, pause=0.02):
    """Return a play of streams with pauses between events.

    The second answer comes ``late`` seconds after the end of the first, if set.
    """

    async def play(writer, request, former):
        writer.write(
            make_head(*name_lines(request, STREAM), "Transfer-Encoding: chunked")
        )
        for event in make_events(request.attempt):
            await asyncio.sleep(pause)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        if late is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(late, writer.write, make_stream(request))

    return play


class TestStutterers(TestCase):
    """What one target of four that answers everything twice costs the callers."""

    CALLERS = 8
    REQUESTS = 10
    LATE_SECONDS = 0.05
    WORK_SECONDS = 0.03

    def check_cost(self, plays, find_runners, report, path, make_own):
        """Check that the first play, that of the stutterer, costs no caller a call."""

        async def scenario(fleet):
            targets = [PlayedTarget(play, report) for play in plays]
            async with contextlib.AsyncExitStack() as stack:
                for number, target in enumerate(targets):
                    served = target.replace(
                        fleet, *find_runners(fleet), name=f"raw{number}"
                    )
                    await stack.enter_async_context(served)
                client = await stack.enter_async_context(open_daemon_client(fleet))

                async def call_in_turn(caller):
                    outcomes = []
                    for number in range(self.REQUESTS):
                        attempt = f"a{caller}x{number}"
                        status, body, complete = await client.send(
                            f"{path}{attempt}", attempt
                        )
                        is_own = body == make_own(attempt)
                        outcomes.append((status, complete, is_own))
                    return outcomes

                outcomes = await asyncio.gather(
                    *(call_in_turn(caller) for caller in range(self.CALLERS))
                )
            self.assertGreater(len(targets[0].requests), 0)
            counts = Counter(itertools.chain.from_iterable(outcomes))
            expected = {(200, True, True): self.CALLERS * self.REQUESTS}
            self.assertEqual(expected, dict(counts))

        run(scenario)

    def answer_soundly(self, make):
        async def play(writer, request, former):
            await asyncio.sleep(self.WORK_SECONDS)
            writer.write(make(request))

        return play

    def test_calls_beside_a_target_that_answers_twice(self):
        stutterer = answer_after(make_run, self.LATE_SECONDS, self.WORK_SECONDS)
        self.check_cost(
            [stutterer, *[self.answer_soundly(make_run)] * 3],
            lambda fleet: (fleet.plain, fleet.second_plain),
            make_steady_report(""),
            "/seats/",
            make_body,
        )

    def test_calls_in_chunks_beside_a_target_that_answers_twice(self):
        self.check_cost(
            [answer_in_pieces(self.LATE_SECONDS), *[answer_in_pieces()] * 3],
            lambda fleet: (fleet.plain, fleet.second_plain),
            make_steady_report(""),
            "/seats/",
            lambda attempt: b"".join(make_events(attempt)),
        )

    def test_streams_beside_a_target_that_answers_twice(self):
        self.check_cost(
            [answer_in_pieces(self.LATE_SECONDS), *[answer_in_pieces()] * 3],
            lambda fleet: fleet.decode_runners,
            make_steady_report("decode"),
            "/notes/",
            lambda attempt: b"".join(make_events(attempt)),
        )
