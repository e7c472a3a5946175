"""Test faults that operators of similar systems have reported.

Raw sockets act as targets and clients that behave as no HTTP library would.
"""

import asyncio
import contextlib
import os
import signal
from datetime import timedelta

import aiohttp
from eliot.testing import MemoryLogger, swap_logger
from result import Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import background, fleet
from galenapass.forwarding.datagrams import encode_datagram
from galenapass.forwarding.progress import Progress, ProgressTimeouts
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from galenapass.forwarding.store_watches import StoreWatch
from galenapass.platform.messages import ObjectChange, ObjectListing
from galenapass.tables.targets import TargetState
from stand_ins.platform_routes import make_headers
from stand_ins.runner import SIGNATURE, STREAM_BODY
from tests.forwarding_fakes import MS, make_fleet, make_target
from tests.platform_fleet import run
from tests.test_forwarding_store_watches import FakeStore

SECOND = timedelta(seconds=1)


@contextlib.asynccontextmanager
async def raw_target(serve):
    """Listen as a target that sends raw bytes; yield its address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
    finally:
        server.close()


async def read_head(reader):
    """Return the attempt ID of the next request, or None when the client closed."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except asyncio.IncompleteReadError:
        return None
    lines = dict(
        line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
    )
    length = int(lines.get("content-length", 0))
    if length:
        await reader.readexactly(length)
    return lines["x-galenapass-attempt-id"]


def make_answer(attempt, body):
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Galenapass-Attempt-Id: {attempt}\r\n"
        f"{SIGNATURE}: signed\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def replace_plain_targets(platform_fleet, name, address):
    """Replace both targets of the plain service by one raw target."""
    for runner in (platform_fleet.plain, platform_fleet.second_plain):
        platform_fleet.store.remove("servers", runner.id)
    entry = platform_fleet.plain.entry(address=address, born=5)
    platform_fleet.store.put("servers", name, entry)


class TestDuplicateResponses(TestCase):
    def test_a_duplicate_response_reaches_no_client(self):
        async def scenario(fleet):
            async def serve(reader, writer):
                with contextlib.suppress(ConnectionError):
                    while (attempt := await read_head(reader)) is not None:
                        answer = make_answer(attempt, f"for {attempt}".encode())
                        writer.write(answer)
                        await writer.drain()
                        # The duplicate arrives while the connection is idle, or late.
                        await asyncio.sleep(0.02)
                        writer.write(answer)

            async with raw_target(serve) as address:
                replace_plain_targets(fleet, "raw", address)
                await fleet.wait_for(
                    lambda: set(self.list_plain_targets(fleet)) == {"raw"}
                )
                for _ in range(8):
                    status, body, headers = await fleet.send("/seats/1")
                    own = headers.get("X-Galenapass-Attempt-Id", "").encode()
                    self.assertIn(status, (200, 502, 503))
                    if status == 200:
                        self.assertEqual(b"for " + own, body)
                        self.assertEqual(f"a{fleet._number}".encode(), own)
                    await asyncio.sleep(0.03)

        run(scenario)

    def list_plain_targets(self, fleet):
        known = fleet.daemon.fleet.targets
        return [name for name, target in known.items() if target.service == "desk"]

    def test_bytes_after_an_answer_reach_no_client(self):
        async def scenario(fleet):
            async def serve(reader, writer):
                with contextlib.suppress(ConnectionError):
                    while (attempt := await read_head(reader)) is not None:
                        writer.write(make_answer(attempt, b"own") + b"more bytes")
                        await writer.drain()

            async with raw_target(serve) as address:
                replace_plain_targets(fleet, "raw", address)
                await fleet.wait_for(
                    lambda: set(self.list_plain_targets(fleet)) == {"raw"}
                )
                for _ in range(5):
                    status, body, _ = await fleet.send("/seats/1")
                    self.assertTrue(status != 200 or body == b"own", (status, body))

        run(scenario)

    def test_pipelined_requests_get_their_own_answers_in_turn(self):
        async def scenario(fleet):
            reader, writer = await asyncio.open_connection(*fleet.settings.front)
            for number in range(3):
                named = make_headers(f"p{number}", 2500)
                lines = "".join(f"{name}: {value}\r\n" for name, value in named.items())
                writer.write(f"GET /seats/{number} HTTP/1.1\r\n{lines}\r\n".encode())
            for number in range(3):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.assertIn("200 OK", head)
                self.assertIn(f"X-Galenapass-Attempt-Id: p{number}", head)
                length = int(head.lower().split("content-length: ")[1].split()[0])
                body = await reader.readexactly(length)
                self.assertTrue(body.endswith(f"GET /seats/{number}".encode()), body)
            writer.close()

        run(scenario)


class TestStops(TestCase):
    def test_what_was_accepted_during_a_stop_is_answered(self):
        # Reused connections, new ones in the listen queue and open streams.
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.delay_seconds = 0.15
            fleet.decode.faults.event_seconds = (
                fleet.second_decode.faults.event_seconds
            ) = 0.08
            url = f"http://127.0.0.1:{fleet.settings.front[1]}/hold/1"
            statuses = []

            async def send_on(session, name):
                for number in range(4):
                    headers = make_headers(f"{name}-{number}", 2500)
                    async with session.post(url, headers=headers) as answer:
                        statuses.append(answer.status)
                        await answer.read()
                        if answer.headers.get("Connection") == "close":
                            return

            async with aiohttp.ClientSession() as session:
                pending = [
                    asyncio.create_task(send_on(session, f"k{n}")) for n in range(5)
                ]
                stream = asyncio.create_task(fleet.send("/notes/1", "POST"))
                await asyncio.sleep(0.1)
                stopping = asyncio.create_task(fleet.daemon.stop())
                late = asyncio.create_task(fleet.send("/hold/9", "POST"))
                await asyncio.gather(*pending)
                statuses.append((await late)[0])
                status, body, _ = await stream
                self.assertEqual((200, STREAM_BODY), (status, body))
                await stopping
            self.assertEqual({200}, set(statuses))

        run(scenario)


class TestProgress(TestCase):
    def make(self, may_switch_target=lambda: True):
        clock = ManualClock()
        progress_timeouts = ProgressTimeouts(3 * SECOND, SECOND, may_switch_target)
        return Progress(progress_timeouts, clock), clock

    def test_single_bytes_are_no_progress(self):
        async def scenario(fleet):
            async def trickle(reader, writer):
                with contextlib.suppress(ConnectionError):
                    attempt = await read_head(reader)
                    writer.write(
                        (
                            "HTTP/1.1 200 OK\r\n"
                            f"X-Galenapass-Attempt-Id: {attempt}\r\n"
                            f"{SIGNATURE}: signed\r\n\r\n"
                            "id: 1\ndata: t1\n\n"
                        ).encode()
                    )
                    for _ in range(60):
                        writer.write(b"i")
                        await writer.drain()
                        await asyncio.sleep(0.05)

            async with raw_target(trickle) as address:
                fleet.store.remove("servers", "d2")
                entry = fleet.second_decode.entry(address=address, born=7)
                fleet.store.put("servers", "raw", entry)
                fleet.register(fleet.decode, zone="zone-b")
                await fleet.wait_for(lambda: "raw" in fleet.daemon.fleet.targets)
                await fleet.wait_for(lambda: "d2" not in fleet.daemon.fleet.targets)
                loop = asyncio.get_running_loop()
                started = loop.time()
                status, body, _ = await fleet.send("/notes/1", "POST")
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertLess(loop.time() - started, 1.9)

        run(scenario)

    def test_the_first_event_may_take_longer_than_later_ones(self):
        progress, clock = self.make()
        clock.advance(2 * SECOND)
        self.assertEqual(SECOND, progress.find_time_left())
        progress.record()
        self.assertEqual(SECOND, progress.find_time_left())
        clock.advance(2 * SECOND)
        self.assertEqual(timedelta(0), progress.find_time_left())

    def test_a_slow_stream_goes_on_while_no_other_target_may_run_it(self):
        # Streams were aborted after 0.8 s of silence although no attempts or no retry
        # budget were left: 28 of 3,420 requests failed (khomsabai-post scale-1).
        progress, clock = self.make(may_switch_target=lambda: False)
        clock.advance(60 * SECOND)
        self.assertIsNone(progress.find_time_left())

        async def scenario(fleet):
            fleet.daemon.retry_accounts.terms = RetryBudgetTerms()
            for runner in (fleet.decode, fleet.second_decode):
                runner.faults.event_seconds = 1.0
            status, body, _ = await fleet.send(
                "/notes/1", "POST", X_Galenapass_Deadline_Ms="6000"
            )
            self.assertEqual(200, status)
            self.assertEqual(body, STREAM_BODY[: len(body)])
            self.assertEqual(1, len(fleet.decode.ran + fleet.second_decode.ran))

        with contextlib.suppress(aiohttp.ClientPayloadError):
            run(scenario)


class TestRestarts(TestCase):
    def test_an_older_entry_does_not_revive_a_leaving_target(self):
        tables = make_fleet(make_target("t1", incarnation="5"))
        fleet.record_leaving(tables, "t1", "5")
        for entry in (make_target("t1", incarnation="5"),):
            fleet.remove_target(tables, "t1", 0 * MS)
            fleet.apply_listing(tables, [entry], 0 * MS)
            self.assertIs(TargetState.LEAVING, tables.targets["t1"].state)
            self.assertIn("t1", fleet.list_excluded(tables, 0 * MS))
        fleet.apply_target_entry(tables, make_target("t1", incarnation="6"), 0 * MS)
        self.assertIs(TargetState.SERVING, tables.targets["t1"].state)
        self.assertNotIn("t1", fleet.list_excluded(tables, 0 * MS))

    def test_a_daemon_that_starts_again_uses_no_target_that_left(self):
        async def scenario(fleet):
            fleet.store.remove("servers", "s1")
            await fleet.daemon.stop()
            await fleet.daemon.close()
            again = fleet.daemon.__class__(fleet.settings, 0)
            fleet.daemons[0] = again
            await again.start()
            await fleet.wait_for(lambda: again.fleet.targets)
            for _ in range(4):
                _, body, _ = await fleet.send("/seats/1")
                self.assertTrue(body.startswith(b"s2"), body)

        run(scenario)


class TestOneBadMessage(TestCase):
    def run_logged(self, scenario, **options):
        logger = MemoryLogger()
        previous = swap_logger(logger)
        try:
            run(scenario, **options)
        finally:
            swap_logger(previous)
        return [m["text"] for m in logger.messages if "text" in m]

    def test_malformed_datagrams_disrupt_nothing(self):
        async def scenario(fleet):
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=fleet.settings.peers
            )
            row = ["ask", "t", "r", "lm", "read", 100, 900, 1, None, [], [], [], "", ""]
            for data in (
                b"\xff\x00",
                b"[]",
                b'["h2", [["news"]]]',
                b'["h2", [["grant", 1, 2]]]',
                # Well formed, but without a prompt.
                encode_datagram("h2", [row]),
            ):
                transport.sendto(data)
            await asyncio.sleep(0.2)
            # A slot request without a prompt blocked all others until its deadline.
            async with asyncio.timeout(0.6):
                self.assertEqual(200, (await fleet.send("/notes/1", "POST"))[0])
                self.assertEqual(200, (await fleet.send("/seats/1"))[0])
            transport.close()

        texts = self.run_logged(scenario)
        self.assertIn("peers: datagram is unreadable", texts)

    def test_a_failed_duty_restarts(self):
        failures, begun = [], []

        async def fail():
            begun.append(1)
            if len(begun) < 3:
                raise RuntimeError("unexpected")

        async def scenario():
            pause = background.RESTART_PAUSE_SECONDS
            background.RESTART_PAUSE_SECONDS = 0.01
            try:
                await background.keep_running("t", "duty", fail, failures.append)
            finally:
                background.RESTART_PAUSE_SECONDS = pause

        asyncio.run(scenario())
        self.assertEqual((["duty", "duty"], 3), (failures, len(begun)))

    def test_a_change_that_cannot_be_applied_delays_no_other(self):
        clock, applied = ManualClock(), []

        def apply(change):
            if change.name == "bad":
                raise RuntimeError("unexpected")
            applied.append(change.name)

        changes = (ObjectChange("bad", 2, "{}"), ObjectChange("good", 3, "{}"))
        store = FakeStore(clock, (0, Ok(ObjectListing(1, ()))), (0, Ok((3, changes))))
        store_watch = StoreWatch(
            store, "targets", SECOND, lambda listing: None, apply, clock, None
        )

        async def scenario():
            await store_watch.step()
            await store_watch.step()

        asyncio.run(scenario())
        self.assertEqual((["good"], 3), (applied, store_watch.version))

    def test_a_repeated_signal_is_one_stop(self):
        # The signal handlers only set an event, so a second signal has no effect.
        async def scenario(fleet):
            stopping = asyncio.Event()
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, stopping.set)
            try:
                os.kill(os.getpid(), signal.SIGTERM)
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.wait_for(stopping.wait(), 1.0)
            finally:
                loop.remove_signal_handler(signal.SIGTERM)
            self.assertEqual(200, (await fleet.send("/seats/1"))[0])

        run(scenario)
