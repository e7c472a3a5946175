"""Test what callers of a daemon process get while it stops on SIGTERM."""

import asyncio
import contextlib
import signal
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from experiments.soak.environment import Environment
from experiments.soak.invariants import PlannedStop, list_lost
from experiments.soak.raw_requests import Exchange, make_request, read_answer
from experiments.soak.runs import wait_ready
from stand_ins.platform_routes import CONFIGURATION
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import wait_for

GRACE_SECONDS = 6.0
DEADLINE_MS = 8000
ROUTES = [route | {"timeout_ms": DEADLINE_MS} for route in CONFIGURATION["routes"]]


class Caller:
    """Caller with one connection to a daemon process."""

    def __init__(self, name, reader, writer):
        self.exchanges = []
        self._name = name
        self._reader = reader
        self._writer = writer

    def write(self, path, body=b"", cut=None, output_tokens=4, fields=b""):
        """Send a request, or its first ``cut`` bytes; return the exchange and rest.

        ``fields`` are lines to add to its head.
        """
        exchange = Exchange(f"{self._name}-{len(self.exchanges)}", time.monotonic())
        self.exchanges.append(exchange)
        data = make_request(
            path,
            exchange.attempt,
            DEADLINE_MS,
            body=body,
            output_tokens=output_tokens,
        )
        data = data.replace(b"\r\n\r\n", b"\r\n" + fields + b"\r\n", 1)
        with contextlib.suppress(OSError):
            self._writer.write(data[:cut])
        return exchange, b"" if cut is None else data[cut:]

    def write_rest(self, exchange, rest):
        """Send the rest of a request."""
        exchange.sent_at = time.monotonic()
        self._writer.write(rest)

    async def read(self, exchange):
        """Read the answer to a request."""
        await read_answer(self._reader, exchange)
        return exchange

    async def ask(self, path, body=b"", **options):
        """Send a request and read its answer."""
        return await self.read(self.write(path, body, **options)[0])

    async def close(self):
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()


class StoppingHost:
    """One daemon process with the stand-ins, and the callers that opened connections.

    ``signal_at`` is the monotonic time of SIGTERM in seconds.
    """

    def __init__(self, environment):
        self.environment = environment
        self.daemon = next(iter(environment.daemons.values()))
        self.callers = []
        self.signal_at = 0.0

    async def connect(self, **options):
        reader, writer = await asyncio.open_connection(
            self.daemon.ip, self.daemon.front_port, **options
        )
        self.callers.append(Caller(f"c{len(self.callers)}", reader, writer))
        return self.callers[-1]

    def stop(self):
        self.signal_at = time.monotonic()
        self.daemon.send(signal.SIGTERM)

    async def wait_until(self, seconds):
        """Wait until a time in seconds after the signal."""
        await asyncio.sleep(max(self.signal_at + seconds - time.monotonic(), 0))

    async def wait_exit(self):
        return await self.daemon.process.wait(2 * GRACE_SECONDS)

    def list_lost(self):
        exchanges = [e for caller in self.callers for e in caller.exchanges]
        stop = PlannedStop(self.signal_at, GRACE_SECONDS)
        return list_lost(exchanges, self.environment.list_received(), stop)


def run(scenario, event_seconds=0.0, call_seconds=0.0):
    """Run an async test scenario with a daemon process of its own."""

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            environment = Environment(
                Path(folder), 1, GRACE_SECONDS, CONFIGURATION | {"routes": ROUTES}
            )
            try:
                await environment.start()
                assert not await wait_ready(environment)
                for runner in environment.runners.values():
                    runner.faults.event_seconds = event_seconds
                    runner.faults.delay_seconds = 0 if runner.stage else call_seconds
                host = StoppingHost(environment)
                await scenario(host)
                await asyncio.gather(*(caller.close() for caller in host.callers))
            finally:
                await environment.stop()

    asyncio.run(main())


class TestLateRequests(TestCase):
    def check_late_requests(self, path, **options):
        """Send requests on kept connections until shortly before the end."""

        async def scenario(host):
            steps = [0.3 * n for n in range(18)]
            callers = [await host.connect() for _ in steps]
            for caller in callers:
                await caller.ask("/seats/1")
            # Keeps the process until the end of its grace period.
            slow = await host.connect()
            host.environment.runners["s0"].faults.delay_seconds = 4.5
            host.environment.runners["s1"].faults.delay_seconds = 4.5
            first = asyncio.create_task(slow.ask("/hold/1"))
            await asyncio.sleep(0.3)
            for name in ("s0", "s1"):
                faults = host.environment.runners[name].faults
                faults.delay_seconds = options.get("call_seconds", 0.0)
            host.stop()
            pending = [first]
            for caller, at in zip(callers, steps, strict=True):
                await host.wait_until(at)
                pending.append(asyncio.create_task(caller.ask(path)))
            status = await host.wait_exit()
            exchanges = await asyncio.gather(*pending)
            self.assertEqual(0, status)
            self.assertEqual([], host.list_lost())
            self.assertEqual({200}, {e.status for e in exchanges[:6]})

        run(scenario, **options)

    def test_late_streams_are_not_cut_at_the_end_of_the_grace_period(self):
        self.check_late_requests("/once/1", event_seconds=0.5)

    def test_late_calls_are_not_cut_at_the_end_of_the_grace_period(self):
        self.check_late_requests("/hold/1", call_seconds=2.0)


class TestLongerThanUsual(TestCase):
    # Later than the 3 s after SIGTERM in which a long run excuses a cut.
    SENT_SECONDS = 3.1
    USUAL_ANSWERS = 40

    def ask_late(self, usual, late, output_tokens=4, fields=b"", prepare=None):
        """Return the status of a late request, after usual ones before the stop.

        ``prepare`` is called with the host right before it is sent.
        """
        found = []

        async def scenario(host):
            caller = await host.connect()
            for _ in range(self.USUAL_ANSWERS):
                exchange = await caller.ask(usual, output_tokens=output_tokens)
                self.assertEqual(200, exchange.status)
            host.stop()
            await host.wait_until(self.SENT_SECONDS)
            if prepare is not None:
                prepare(host)
            exchange = await caller.ask(
                late, output_tokens=output_tokens, fields=fields
            )
            found.append((exchange.status, exchange.is_whole))
            self.assertEqual(0, await host.wait_exit())
            self.assertEqual([], host.list_lost())

        run(scenario)
        return found[0]

    def test_a_late_stream_is_refused_if_it_may_be_cut(self):
        # Guards against streams cut at the end of a stop, as they were longer than all
        # answers before them.
        usual = "/notes/1?events=3&seconds=0.02"
        late = "/notes/1?events=40&seconds=0.1"
        self.assertEqual((503, True), self.ask_late(usual, late, output_tokens=140))

    def test_a_late_stream_that_surely_ends_in_time_is_served(self):
        usual = "/notes/1?events=3&seconds=0.02"
        late = "/notes/1?events=20&seconds=0.04"
        self.assertEqual((200, True), self.ask_late(usual, late, output_tokens=20))

    def test_a_late_call_that_may_run_once_is_refused_if_it_may_be_cut(self):
        # Guards against a 502 that leaves open whether the call ran.
        late = self.ask_late("/hold/1?seconds=0.02", "/hold/1?seconds=4")
        self.assertEqual((503, True), late)

    def test_a_stream_taken_up_late_is_refused_if_it_may_be_cut(self):
        usual = "/notes/1?events=3&seconds=0.02"
        late = "/notes/1?events=40&seconds=0.1"
        fields = b"Last-Event-Id: 2\r\nResumes: c0-0\r\n"
        self.assertEqual((503, True), self.ask_late(usual, late, 140, fields))

    def test_a_stream_whose_prompt_is_read_late_is_refused_if_it_may_be_cut(self):
        def slow_down(host):
            for runner in host.environment.runners.values():
                if runner.stage == "prefill":
                    runner.faults.delay_seconds = 1.4

        path = "/once/1?events=3&seconds=0.05"
        late = self.ask_late(path, "/once/1?events=20&seconds=0.05", 20, b"", slow_down)
        self.assertEqual((503, True), late)

    def test_a_late_body_does_not_begin_a_call_that_may_be_cut(self):
        async def scenario(host):
            caller, late = await host.connect(), await host.connect()
            for _ in range(self.USUAL_ANSWERS):
                await caller.ask("/hold/1?seconds=0.02")
            exchange, rest = late.write("/hold/1?seconds=4", b"x" * 1000, cut=-500)
            host.stop()
            await host.wait_until(self.SENT_SECONDS)
            late.write_rest(exchange, rest)
            await late.read(exchange)
            self.assertEqual((503, True), (exchange.status, exchange.is_whole))
            self.assertEqual(0, await host.wait_exit())

        run(scenario)

    def test_a_late_call_that_may_be_repeated_is_served(self):
        late = self.ask_late("/seats/1?seconds=0.02", "/seats/1?seconds=0.5")
        self.assertEqual((200, True), late)


class TestOpenConnections(TestCase):
    def test_requests_sent_without_waiting_are_all_answered(self):
        async def scenario(host):
            caller = await host.connect()
            host.stop()
            await host.wait_until(0.2)
            exchanges = [caller.write(f"/seats/{n}")[0] for n in range(3)]
            for exchange in exchanges:
                await caller.read(exchange)
            self.assertEqual([200] * 3, [e.status for e in exchanges])
            await host.wait_exit()

        run(scenario, call_seconds=0.1)

    def test_a_request_sent_in_pieces_is_answered(self):
        async def scenario(host):
            callers = [await host.connect() for _ in range(3)]
            parts = [
                caller.write("/hold/1", b"x" * 1000, cut=300) for caller in callers
            ]
            await asyncio.sleep(0.1)
            host.stop()
            for caller, (exchange, rest), at in zip(
                callers, parts, (0.2, 1.5, 4.0), strict=True
            ):
                await host.wait_until(at)
                caller.write_rest(exchange, rest)
                await caller.read(exchange)
                self.assertTrue(exchange.is_whole, at)
                self.assertIn(exchange.status, (200, 503))
            await host.wait_exit()

        run(scenario)

    def test_a_body_that_never_arrives_whole_is_refused_before_the_end(self):
        async def scenario(host):
            early, late = await host.connect(), await host.connect()
            first, _ = early.write("/hold/1", b"x" * 1000, cut=-500)
            await asyncio.sleep(0.1)
            host.stop()
            await host.wait_until(0.5)
            second, _ = late.write("/hold/2", b"x" * 1000, cut=-500)
            for caller, exchange in ((early, first), (late, second)):
                await caller.read(exchange)
                self.assertEqual((503, True), (exchange.status, exchange.is_whole))
            self.assertEqual(0, await host.wait_exit())

        run(scenario)

    def test_an_answer_that_is_read_slowly_arrives_whole(self):
        async def scenario(host):
            size = 6 * 2**20
            for name in ("s0", "s1"):
                host.environment.runners[name].faults.body_bytes = size
            caller = await host.connect(limit=2**12)
            host.stop()
            exchange, _ = caller.write("/seats/1")
            await host.wait_until(0.55 * GRACE_SECONDS)
            await caller.read(exchange)
            self.assertEqual((200, size), (exchange.status, len(exchange.body)))
            await host.wait_exit()

        run(scenario)

    def test_an_idle_connection_is_closed_before_the_process_ends(self):
        async def scenario(host):
            caller = await host.connect()
            await caller.ask("/seats/1")
            slow = await host.connect()
            pending = asyncio.create_task(slow.ask("/once/1"))
            await asyncio.sleep(0.1)
            host.stop()
            exchange = Exchange("", time.monotonic())
            await caller.read(exchange)
            self.assertFalse(exchange.status)
            self.assertIsNone(host.daemon.process.status)
            self.assertEqual(STREAM_BODY, (await pending).body)
            await host.wait_exit()

        run(scenario, event_seconds=1.1)


class TestSignals(TestCase):
    def check_signal(self, number):
        """Send a signal over and over from the last log line until the exit."""

        async def scenario(host):
            host.stop()
            process = host.daemon.process
            while b"daemon has stopped" not in host.daemon.log.read_bytes():
                await asyncio.sleep(0.002)
            while process.status is None:
                host.daemon.send(number)
                await asyncio.sleep(0.005)
            self.assertEqual(0, process.status)

        run(scenario)

    def test_settings_that_change_as_the_process_ends_leave_its_status_0(self):
        self.check_signal(signal.SIGHUP)

    def test_a_second_sigterm_as_the_process_ends_leaves_its_status_0(self):
        self.check_signal(signal.SIGTERM)

    def test_a_daemon_that_is_stopped_while_it_starts_ends_at_once(self):
        async def scenario(host):
            host.stop()
            await host.wait_exit()
            await host.environment.start_daemon(host.daemon.name)
            process = host.daemon.process
            await wait_for(lambda: process.handles(signal.SIGTERM))
            # The imports have begun.
            await asyncio.sleep(0.3)
            started_at = time.monotonic()
            host.daemon.send(signal.SIGTERM)
            self.assertEqual(0, await host.wait_exit())
            self.assertLess(time.monotonic() - started_at, GRACE_SECONDS / 2)

        run(scenario)


class TestCutStreams(TestCase):
    def test_a_cut_stream_of_an_http_1_0_caller_does_not_look_complete(self):
        async def scenario(host):
            reader, writer = await asyncio.open_connection(
                host.daemon.ip, host.daemon.front_port
            )
            request = make_request("/once/1", "old", DEADLINE_MS)
            writer.write(request.replace(b"HTTP/1.1", b"HTTP/1.0"))
            await asyncio.sleep(0.3)
            host.stop()
            await reader.readuntil(b"id: 1")
            with self.assertRaises(ConnectionResetError):
                await reader.read()
            await host.wait_exit()
            writer.close()

        run(scenario, event_seconds=1.9)
