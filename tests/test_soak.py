"""Test the parts of the soak test, and run one short soak test."""

import asyncio
import pathlib
import signal
import sys
import tempfile

from testtools import TestCase

from experiments.processes import Process
from experiments.soak.__main__ import read_regressions
from experiments.soak.environment import START_MESSAGE, Daemon, hang_up
from experiments.soak.faults import (
    Fault,
    plan_faults,
    plan_releases,
    plan_restores,
    plan_stops,
)
from experiments.soak.invariants import (
    Outcome,
    PlannedStop,
    find_lost,
    find_violations,
)
from experiments.soak.kept_clients import KeptClient
from experiments.soak.proxies import Disturbance, Proxy
from experiments.soak.runs import describe, run_soak
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import wait_for

SEED = 2026
SECONDS = 8.0
STOP_SEED, STOP_SECONDS, STOP_GRACE = 2026, 5.0, 4.0
KILL_SEED, KILL_SECONDS = 1, 15.0
RELEASE_SEED, RELEASE_SECONDS = 1, 12.0
DAEMONS, RUNNERS = ["front-0", "front-1"], ["p0", "d0", "s0"]


def make_outcome(route="hold", **changes):
    values = {
        "status": 200,
        "complete": True,
        "signature": "signed",
        "body": b"s0 POST /hold/a1",
        "ended": 1.5,
    } | changes
    return Outcome("a1", route, "front-0", 1.0, 3.0, **values)


class TestSignals(TestCase):
    def test_a_hangup_of_a_process_whose_interpreter_does_not_run_yet_ends_it_not(self):
        # Seed 25, beside other soaks: "front-1 stopped with status -1".
        async def scenario(folder):
            daemon = Daemon("front-1", "zone-a", folder)
            await daemon.start(f"{daemon.ip}:1")
            daemon.pause()
            await asyncio.sleep(0.5)
            hanging_up = asyncio.create_task(hang_up(daemon))
            await asyncio.sleep(0.1)
            daemon.send(signal.SIGCONT)
            await hanging_up
            self.assertTrue(daemon.process.handles(signal.SIGHUP))
            await daemon.terminate()
            self.assertEqual([], daemon.exit_errors)

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(scenario(pathlib.Path(folder)))

    def test_a_hangup_reaches_a_daemon_that_has_started_without_handling_it(self):
        async def scenario(folder):
            daemon = Daemon("front-1", "zone-a", folder)
            # The tests may run where it is ignored, which processes inherit.
            code = f"""
import signal, time
signal.signal(signal.SIGHUP, signal.SIG_DFL)
print({START_MESSAGE!r}, flush=True)
time.sleep(60)
"""
            with daemon.log.open("wb") as log:
                child = await asyncio.create_subprocess_exec(
                    sys.executable, "-c", code, stdout=log
                )
            daemon.process = Process(daemon.name, child)
            await wait_for(daemon.has_started)
            await hang_up(daemon)
            self.assertEqual(-signal.SIGHUP, await daemon.process.wait())

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(scenario(pathlib.Path(folder)))


class TestFaultPlan(TestCase):
    def test_a_seed_always_gives_the_same_faults_within_the_time(self):
        for seed in range(50):
            planned = plan_faults(seed, SECONDS, 14, DAEMONS, RUNNERS)
            self.assertEqual(planned, plan_faults(seed, SECONDS, 14, DAEMONS, RUNNERS))
            self.assertGreaterEqual(len(planned), 14)
            for fault in planned:
                self.assertTrue(0 <= fault.at <= fault.end <= SECONDS)

    def test_restores_leave_the_plan_of_the_other_faults_as_it_is(self):
        for seed in range(20):
            (restore,) = plan_restores(seed, SECONDS, 1)
            self.assertEqual(("restore", "store"), (restore.kind, restore.component))
            self.assertLessEqual(restore.end, SECONDS)
            self.assertEqual([restore], plan_restores(seed, SECONDS, 1))

    def test_a_seed_always_gives_the_same_releases_within_the_time(self):
        for seed in range(50):
            planned = plan_releases(seed, SECONDS, 3, DAEMONS, RUNNERS)
            self.assertEqual(planned, plan_releases(seed, SECONDS, 3, DAEMONS, RUNNERS))
            for fault in planned:
                self.assertTrue(0 <= fault.at <= fault.end <= SECONDS)

    def test_stops_leave_the_plan_of_the_other_faults_as_it_is(self):
        for seed in range(50):
            planned = plan_stops(seed, SECONDS, 2, 3.0, DAEMONS, RUNNERS)
            self.assertEqual(
                planned, plan_stops(seed, SECONDS, 2, 3.0, DAEMONS, RUNNERS)
            )
            self.assertIn("terminate", {fault.kind for fault in planned})
            for fault in planned:
                self.assertTrue(0 <= fault.at <= fault.end <= SECONDS)

    def test_stops_come_in_turn_and_at_once_with_all_that_may_overlap_them(self):
        kinds, stopped = set(), set()
        for seed in range(200):
            planned = plan_stops(seed, SECONDS, 1, 3.0, DAEMONS, RUNNERS)
            kinds |= {fault.kind for fault in planned}
            times = [fault.at for fault in planned if fault.kind == "terminate"]
            stopped.add(len(times) - len(set(times)))
        expected = "terminate settings hangup configuration leave pause kill"
        self.assertEqual({*expected.split(), "unavailable", "restart"}, kinds)
        self.assertEqual({0, 1}, stopped)

    def test_plans_contain_series_and_overlapping_faults(self):
        planned = [plan_faults(n, SECONDS, 14, DAEMONS, RUNNERS) for n in range(20)]
        self.assertTrue(any(len(faults) > 14 for faults in planned))
        overlaps = [
            later.at < earlier.end
            for faults in planned
            for earlier, later in zip(faults, faults[1:], strict=False)
        ]
        self.assertIn(True, overlaps)

    def test_each_regression_names_its_cause(self):
        for seed, cause in read_regressions().items():
            self.assertGreaterEqual(int(seed), 0)
            self.assertTrue(cause)


class TestInvariants(TestCase):
    def check(self, outcome, *ran):
        return find_violations([outcome], {"s0": list(ran)}, STREAM_BODY)

    def test_correct_outcomes_give_no_violation(self):
        self.assertEqual([], self.check(make_outcome(), "a1"))
        self.assertEqual([], self.check(make_outcome(ended=4.5, waited=1.0), "a1"))
        refused = make_outcome(status=503, signature="", body=b"")
        self.assertEqual([], self.check(refused))
        self.assertEqual([], self.check(make_outcome(status=502, signature=""), "a1"))
        partial = make_outcome("notes", complete=False, body=STREAM_BODY[:20])
        self.assertEqual([], self.check(partial, "a1", "a1"))
        self.assertEqual([], self.check(make_outcome("notes", body=STREAM_BODY), "a1"))

    def test_each_broken_invariant_is_reported(self):
        cases = {
            "ran 2 times": (make_outcome(), "a1", "a1"),
            "refused as not run": (make_outcome(status=503, signature=""), "a1"),
            "held for": (make_outcome(ended=4.5), "a1"),
            "signature": (make_outcome(signature=""), "a1"),
            "other events": (make_outcome("once", body=STREAM_BODY[:-1]), "a1"),
            "another request's": (make_outcome(body=b"s0 POST /hold/a2"), "a1"),
            "without a run": (make_outcome(),),
            "never sent": (make_outcome(), "a1", "a7"),
        }
        for text, (outcome, *ran) in cases.items():
            (found,) = self.check(outcome, *ran)
            self.assertIn(text, found)


class TestCutProxy(TestCase):
    def test_a_connection_that_lost_bytes_stays_silent_after_the_cut(self):
        async def serve(reader, writer):
            for event in (b"1", b"2", b"3"):
                writer.write(event)
                await asyncio.sleep(0.2)
            writer.close()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            proxy = Proxy(f"{host}:{port}")
            await proxy.start()
            ip, _, proxy_port = proxy.address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(proxy_port))
            received = await reader.readexactly(1)
            proxy.disturb(Disturbance.CUT_RESPONSES)
            await asyncio.sleep(0.3)
            proxy.disturb(Disturbance.NONE)
            received += await reader.read()
            writer.close()
            await proxy.stop()
            server.close()
            return received

        self.assertEqual(b"1", asyncio.run(main()))


class TestLost(TestCase):
    STOPS = {"front-0": [PlannedStop(10.0, 6.0)]}

    def find(self, sent, ended, received=True, faults=(), **changes):
        values = {"complete": False, "sent": sent, "ended": ended} | changes
        outcome = make_outcome(**values)
        outcome.began, outcome.deadline = sent, sent + 8.0
        attempts = {"a1"} if received else set()
        services = {"s0": "desk", "d0": "lm"}
        return find_lost([outcome], attempts, self.STOPS, list(faults), services)

    def test_a_request_that_a_target_received_needs_a_whole_answer(self):
        self.assertIn("LOST hold", self.find(9.0, 10.1)[0])
        self.assertIn("sent +4.50 s, ended +5.50 s", self.find(14.5, 15.5)[0])
        self.assertEqual([], self.find(9.0, 10.1, complete=True))

    def test_work_at_a_target_may_be_cut_in_the_last_sixth(self):
        self.assertEqual([], self.find(12.9, 15.1))
        self.assertEqual(1, len(self.find(12.9, 14.9)))
        self.assertEqual(1, len(self.find(13.1, 15.1)))

    def test_a_request_that_was_not_received_may_cross_the_close(self):
        self.assertEqual([], self.find(11.0, 11.2, received=False))
        self.assertEqual(1, len(self.find(11.0, 11.3, received=False)))

    def test_neither_a_deadline_nor_another_time_counts(self):
        self.assertEqual([], self.find(2.5, 10.5))
        self.assertEqual([], self.find(2.5, 10.5, waited=2.0))
        self.assertEqual([], self.find(9.0, 9.5))
        self.assertEqual([], self.find(18.0, 18.5))

    def test_only_faults_that_nobody_planned_excuse(self):
        cases = {
            ("pause", "front-0"): True,
            ("unavailable", "store"): True,
            ("reset", "link s0"): True,
            ("restart", "s0"): True,
            ("restart", "d0"): False,
            ("pause", "front-1"): False,
            ("settings", "front-0"): False,
            ("configuration", "store"): False,
        }
        for (kind, component), is_excused in cases.items():
            lost = self.find(9.0, 10.5, faults=[Fault(5.5, 1.0, kind, component)])
            self.assertEqual(is_excused, not lost, (kind, component))
            lost = self.find(9.0, 10.5, faults=[Fault(10.6, 1.0, kind, component)])
            self.assertEqual(1, len(lost), "a fault after the end")

    def test_a_target_that_leaves_excuses_nothing_until_it_restarts(self):
        self.assertEqual(
            1, len(self.find(9, 10.5, faults=[Fault(9, 2, "leave", "s0")]))
        )
        self.assertEqual([], self.find(9, 10.5, faults=[Fault(9, 1, "leave", "s0")]))


class TestKeptClient(TestCase):
    def send_two(self, answer):
        """Return the outcomes of two requests that are answered by some bytes."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await asyncio.sleep(0.3)
            writer.transport.abort()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = KeptClient("k0", "front-0", f"{host}:{port}", "two", "7")
            loop = asyncio.get_running_loop()
            await client.run(loop.time(), lambda: bool(client.outcomes))
            server.close()
            return client.outcomes

        return asyncio.run(main())

    def test_nothing_behind_a_cut_answer_counts_as_sent(self):
        cut = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        first, second = self.send_two(cut)
        self.assertEqual((200, False), (first.status, first.complete))
        self.assertIsNotNone(first.sent)
        self.assertEqual((0, None), (second.status, second.sent))

    def test_a_request_behind_a_whole_answer_counts_as_sent(self):
        first, second = self.send_two(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual((503, True), (first.status, first.complete))
        self.assertEqual((0, False), (second.status, second.complete))
        self.assertGreater(second.ended - second.sent, 0.2)


class TestProxy(TestCase):
    def exchange(self, disturbance):
        """Return the response or error name through a disturbed proxy within 1 s."""

        async def echo(reader, writer):
            writer.write(b"got " + await reader.read(100))
            await writer.drain()

        async def main():
            server = await asyncio.start_server(echo, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            proxy = Proxy(f"{host}:{port}")
            await proxy.start()
            proxy.disturb(disturbance)
            ip, _, proxy_port = proxy.address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(proxy_port))
            try:
                writer.write(b"this")
                async with asyncio.timeout(1.0):
                    return await reader.read(100)
            except (TimeoutError, OSError) as error:
                return type(error).__name__
            finally:
                writer.close()
                await proxy.stop()
                server.close()

        return asyncio.run(main())

    def test_each_disturbance_has_its_effect(self):
        expected = {
            Disturbance.NONE: b"got this",
            Disturbance.DELAY: b"got this",
            Disturbance.SILENCE: "TimeoutError",
            Disturbance.CUT_REQUESTS: "TimeoutError",
            Disturbance.CUT_RESPONSES: "TimeoutError",
        }
        for disturbance, result in expected.items():
            self.assertEqual(result, self.exchange(disturbance))
        self.assertIn(self.exchange(Disturbance.RESET), (b"", "ConnectionResetError"))


class TestSoak(TestCase):
    def test_a_short_soak_finds_no_violation(self):
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                run_soak(SEED, SECONDS, 8, 2, 8, pathlib.Path(folder), 1)
            )
        self.assertEqual([], report.violations, describe(report))
        self.assertGreater(len(report.outcomes), 100)

    def test_order_streams_are_joined_amid_releases_and_kills(self):
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                run_soak(
                    RELEASE_SEED,
                    RELEASE_SECONDS,
                    0,
                    3,
                    12,
                    pathlib.Path(folder),
                    release_count=3,
                )
            )
        self.assertEqual([], report.violations, describe(report))
        self.assertGreater(report.taken_up, 0)

    def test_callers_on_kept_connections_lose_nothing_in_planned_stops(self):
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                run_soak(
                    STOP_SEED,
                    STOP_SECONDS,
                    0,
                    2,
                    24,
                    pathlib.Path(folder),
                    stop_count=1,
                    grace_seconds=STOP_GRACE,
                )
            )
        self.assertEqual([], report.violations, describe(report))
        self.assertGreater(len(report.outcomes), 100)

    def test_budget_of_hosts_that_are_killed_amid_refusals_is_one_budget(self):
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(
                run_soak(
                    KILL_SEED,
                    KILL_SECONDS,
                    0,
                    3,
                    10,
                    pathlib.Path(folder),
                    kill_count=6,
                )
            )
        self.assertEqual([], report.violations, describe(report))
        self.assertGreater(len(report.outcomes), 100)
