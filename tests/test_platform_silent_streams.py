"""Test what becomes of answers whose targets are silent for a while, or for good."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import aiohttp
from testtools import TestCase

from galenapass.forwarding.retry_budgets import EARNED_SHARE, RetryBudgetTerms
from stand_ins.platform_routes import CONFIGURATION
from stand_ins.runner import SIGNATURE, STREAM_BODY
from tests.platform_fleet import run
from tests.test_platform_faults import raw_target, read_head

DEADLINE_MS = 9000
ROUTES = [route | {"timeout_ms": DEADLINE_MS} for route in CONFIGURATION["routes"]]
PATIENT = CONFIGURATION | {"routes": ROUTES}
# A pause that is longer than a silent target is waited for where another one is ready.
PAUSE_SECONDS = 0.9
SILENCE_SECONDS = 1.4


def set_budget(fleet, retries):
    """Let the daemon send ``retries`` more times in all."""
    terms = RetryBudgetTerms(0.0, retries, timedelta(seconds=60))
    fleet.daemon.retry_accounts.terms = terms


def set_pauses(fleet, seconds):
    for runner in (fleet.decode, fleet.second_decode):
        runner.faults.event_seconds = seconds


def count_spent(fleet, service="lm"):
    """Return the retries that were taken from the budget since the fleet started."""
    accounts = fleet.daemon.retry_accounts
    budget = accounts._budgets[service]
    earned = EARNED_SHARE * accounts.terms.share * fleet.sent
    return round(earned - budget.earned.total + budget.used.total)


async def ask(fleet, path="/notes/1", deadline_ms=DEADLINE_MS):
    """Return the status and body of an answer and how many seconds it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    status, body, _ = await fleet.send(
        path, "POST", X_Galenapass_Deadline_Ms=str(deadline_ms)
    )
    return status, body, loop.time() - started


class SilentEngine:
    """Decode engine that sends one event and then nothing more.

    ``closed_at`` lists when its connections were closed, in seconds of the event loop.
    """

    def __init__(self):
        self.attempts = []
        self.closed_at = []
        self._ended = asyncio.Event()

    def end(self):
        """Break off the streams."""
        self._ended.set()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            attempt = await read_head(reader)
            if attempt is None:
                # A probe, which tells a silent target from one that has crashed.
                writer.close()
                return
            self.attempts.append(attempt)
            writer.write(
                (
                    "HTTP/1.1 200 OK\r\n"
                    f"X-Galenapass-Attempt-Id: {attempt}\r\n"
                    f"{SIGNATURE}: signed\r\n\r\n"
                    "id: 1\ndata: t1\n\n"
                ).encode()
            )
            waits = [
                asyncio.create_task(work)
                for work in (reader.read(), self._ended.wait())
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if self._ended.is_set():
                writer.write(b"id: ")
        self.closed_at.append(asyncio.get_running_loop().time())
        writer.close()

    @contextlib.asynccontextmanager
    async def replace(self, fleet, names):
        """Serve in place of decode engines of the fleet."""
        async with raw_target(self.serve) as address:
            for name in names:
                fleet.store.remove("servers", name)
            entry = fleet.decode.entry(address=address, born=7)
            fleet.store.put("servers", "raw", entry)
            known = fleet.daemon.fleet.targets
            await fleet.wait_for(
                lambda: "raw" in known and not known.keys() & set(names)
            )
            yield


class PausingEngine(SilentEngine):
    """Decode engine that sends one event, is silent for a while and then goes on."""

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            attempt = await read_head(reader)
            if attempt is None:
                writer.close()
                return
            self.attempts.append(attempt)
            head = (
                f"HTTP/1.1 200 OK\r\nX-Galenapass-Attempt-Id: {attempt}\r\n"
                f"{SIGNATURE}: signed\r\nConnection: close\r\n\r\n"
            )
            first = b"id: 1\ndata: t1\n\n"
            writer.write(head.encode() + first)
            await asyncio.sleep(SILENCE_SECONDS)
            writer.write(STREAM_BODY.removeprefix(first))
            await writer.drain()
        self.closed_at.append(asyncio.get_running_loop().time())
        writer.close()


class BreakingEngine(SilentEngine):
    """Decode engine that is silent twice, with an event after each, and breaks off."""

    def __init__(self):
        super().__init__()
        self.goes_on = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            attempt = await read_head(reader)
            if attempt is None:
                writer.close()
                return
            self.attempts.append(attempt)
            head = (
                f"HTTP/1.1 200 OK\r\nX-Galenapass-Attempt-Id: {attempt}\r\n"
                f"{SIGNATURE}: signed\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + b"id: 1\ndata: t1\n\n")
            await self.goes_on.wait()
            writer.write(b"id: 2\ndata: t2\n\n")
            await self._ended.wait()
            writer.write(b"id: ")
        writer.close()


@contextlib.asynccontextmanager
async def accept_nothing():
    """Yield an address at which attempts to connect get no answer."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        await asyncio.sleep(0.05)
        yield "{}:{}".format(*listener.getsockname())


class TestPauses(TestCase):
    def test_streams_that_pause_together_are_all_whole(self):
        # 22 of 24 streams were cut: all were given up at once, and the retry budget
        # and the free slots were enough for a few of them only.
        async def scenario(fleet):
            set_budget(fleet, 4)
            set_pauses(fleet, PAUSE_SECONDS)
            answers = await asyncio.gather(*(ask(fleet) for _ in range(12)))
            self.assertEqual(
                [(200, STREAM_BODY)] * 12, [answer[:2] for answer in answers]
            )
            runs = fleet.decode.ran + fleet.second_decode.ran
            extra = len(runs) + len(fleet.prefill.received) - 2 * 12
            self.assertLessEqual(extra, 4)
            self.assertEqual(extra, count_spent(fleet))

        run(scenario, configuration=PATIENT)

    def test_a_stream_is_awaited_while_no_other_target_is_there(self):
        async def scenario(fleet):
            fleet.store.remove("servers", "d2")
            await fleet.wait_for(lambda: "d2" not in fleet.daemon.fleet.targets)
            set_pauses(fleet, PAUSE_SECONDS)
            status, body, _ = await ask(fleet)
            self.assertEqual((200, STREAM_BODY), (status, body))
            self.assertEqual(1, len(fleet.decode.ran))
            self.assertEqual(1, len(fleet.prefill.received))
            self.assertEqual(0, count_spent(fleet))

        run(scenario, configuration=PATIENT)

    def test_an_event_ends_the_preparation_of_a_switch(self):
        async def scenario(fleet):
            set_pauses(fleet, PAUSE_SECONDS)
            pending = asyncio.create_task(ask(fleet))
            await fleet.wait_for(lambda: fleet.decode.ran + fleet.second_decode.ran)
            fleet.prefill.faults.delay_seconds = 0.5
            status, body, _ = await pending
            self.assertEqual((200, STREAM_BODY), (status, body))
            self.assertEqual(1, len(fleet.decode.ran + fleet.second_decode.ran))
            # What was sent in vain still counts against the budget, nothing else.
            prefills = len(fleet.prefill.received)
            self.assertGreater(prefills, 1)
            self.assertEqual(prefills - 1, count_spent(fleet))
            loads = fleet.daemon.fleet.loads
            for name in ("e1", "d1", "d2"):
                held = (
                    loads[name].prompts + loads[name].sequences if name in loads else 0
                )
                self.assertEqual(0, held, name)

        run(scenario, configuration=PATIENT)

    def check_refused_switch(self, **faults):
        """Check that a stream is whole whose next target fails while it is silent."""

        async def scenario(fleet):
            engine = PausingEngine()
            async with engine.replace(fleet, ["d1"]):
                await move_second_decode(fleet)
                # For one switch, which consists of a prefill and a send.
                set_budget(fleet, 2)
                for name, value in faults.items():
                    setattr(fleet.second_decode.faults, name, value)
                status, body, _ = await ask(fleet)
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertEqual(1, len(engine.attempts))
                self.assertEqual(2, len(fleet.prefill.received))
                self.assertEqual(1, len(fleet.second_decode.received))
                self.assertEqual(2, count_spent(fleet))
                loads = fleet.daemon.fleet.loads
                self.assertEqual(0, loads["d2"].sequences)

        run(scenario, configuration=PATIENT)

    def test_a_stream_is_not_lost_as_the_target_after_a_silent_one_refuses(self):
        self.check_refused_switch(shed=True)

    def test_a_stream_is_not_lost_as_the_target_after_a_silent_one_breaks_off(self):
        self.check_refused_switch(crash=True)

    def test_a_stream_is_not_lost_as_the_target_after_a_silent_one_is_unproven(self):
        self.check_refused_switch(unsigned=True)

    def test_a_stream_is_not_lost_as_the_target_after_a_silent_one_is_unreachable(self):
        async def scenario(fleet):
            engine = PausingEngine()
            async with engine.replace(fleet, ["d1"]), accept_nothing() as address:
                fleet.register(fleet.second_decode, zone="zone-b", address=address)
                known = fleet.daemon.fleet.targets
                await fleet.wait_for(lambda: known["d2"].address == address)
                set_budget(fleet, 2)
                status, body, _ = await ask(fleet)
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertEqual(2, len(fleet.prefill.received))

        run(scenario, configuration=PATIENT)

    def test_a_stream_goes_on_as_a_silent_target_ends_while_the_next_begins(self):
        async def scenario(fleet):
            engine = SilentEngine()
            async with engine.replace(fleet, ["d1"]):
                await move_second_decode(fleet)
                set_budget(fleet, 2)
                fleet.second_decode.faults.delay_seconds = 0.15
                pending = asyncio.create_task(ask(fleet))
                await fleet.wait_for(lambda: fleet.second_decode.received)
                engine.end()
                status, body, _ = await pending
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertEqual((1, 1), (len(engine.attempts), count_runs(fleet)))

        run(scenario, configuration=PATIENT)

    def test_a_stream_is_not_lost_as_the_target_after_a_silent_one_leaves(self):
        # Its answer, which says that it leaves, was dropped and the stream was cut.
        async def scenario(fleet):
            engine = SilentEngine()
            async with engine.replace(fleet, ["d1"]):
                await move_second_decode(fleet)
                set_budget(fleet, 2)
                fleet.second_decode.faults.delay_seconds = 0.1
                pending = asyncio.create_task(ask(fleet))
                await fleet.wait_for(lambda: fleet.second_decode.received)
                fleet.second_decode.faults.leaving = True
                status, body, _ = await pending
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertEqual((1, 1), (len(engine.attempts), count_runs(fleet)))
                self.assertEqual(2, len(fleet.prefill.received))

        run(scenario, configuration=PATIENT)

    def test_a_next_send_that_never_connected_is_no_run(self):
        # The stream was cut as it broke off later: "its runs are used up".
        async def scenario(fleet):
            engine = BreakingEngine()
            async with engine.replace(fleet, ["d1"]), accept_nothing() as address:
                fleet.register(fleet.second_decode, zone="zone-b", address=address)
                known = fleet.daemon.fleet.targets
                await fleet.wait_for(lambda: known["d2"].address == address)
                set_budget(fleet, 4)
                pending = asyncio.create_task(ask(fleet))
                await fleet.wait_for(lambda: len(fleet.prefill.received) == 2)
                await asyncio.sleep(0.1)
                engine.goes_on.set()
                await asyncio.sleep(0.1)
                fleet.register(fleet.second_decode)
                await fleet.wait_for(lambda: known["d2"].address != address)
                engine.end()
                status, body, _ = await pending
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertEqual((1, 1), (len(engine.attempts), count_runs(fleet)))

        run(scenario, configuration=PATIENT)

    def test_a_next_send_that_may_have_run_stays_a_run(self):
        async def scenario(fleet):
            fleet.more_decode[0].faults.delay_seconds = 0.0
            engine = BreakingEngine()
            async with engine.replace(fleet, ["d1", "d3"]):
                await move_second_decode(fleet)
                set_budget(fleet, 8)
                fleet.second_decode.faults.delay_seconds = 0.2
                pending = asyncio.create_task(ask(fleet))
                await fleet.wait_for(lambda: fleet.second_decode.received)
                engine.goes_on.set()
                await asyncio.sleep(0.3)
                fleet.register(fleet.more_decode[0])
                await fleet.wait_for(lambda: "d3" in fleet.daemon.fleet.targets)
                engine.end()
                with self.assertRaises(aiohttp.ClientError):
                    await pending
                # Its route allows two runners.
                self.assertEqual(1, len(fleet.second_decode.received))
                self.assertEqual(0, len(fleet.more_decode[0].received))

        run(scenario, configuration=PATIENT, more_decode=1)

    def test_a_next_send_that_is_dropped_frees_its_kv_cache(self):
        async def scenario(fleet):
            engine = BreakingEngine()
            async with engine.replace(fleet, ["d1"]):
                await move_second_decode(fleet)
                set_budget(fleet, 2)
                fleet.second_decode.faults.delay_seconds = 0.2
                pending = asyncio.create_task(ask(fleet))
                await fleet.wait_for(lambda: fleet.second_decode.received)
                (source,) = (
                    request.headers["X-Galenapass-Kv-Source"]
                    for request in fleet.second_decode.received
                )
                handle = source.rpartition("/")[2]
                self.assertIn(handle, fleet.prefill.handles)
                engine.goes_on.set()
                await fleet.wait_for(lambda: handle not in fleet.prefill.handles, 1.0)
                pending.cancel()

        run(scenario, configuration=PATIENT)

    def check_freed(self, ask_once, **faults):
        """Check that the KV cache of a prompt is freed that was not taken."""

        async def scenario(fleet):
            for runner in (fleet.decode, fleet.second_decode):
                for name, value in faults.items():
                    setattr(runner.faults, name, value)
            set_budget(fleet, 0)
            await ask_once(fleet)
            await fleet.wait_for(lambda: not fleet.prefill.handles, 1.0)

        run(scenario, configuration=PATIENT)

    def test_a_send_that_is_refused_frees_its_kv_cache(self):
        async def ask_once(fleet):
            status, _, _ = await ask(fleet)
            self.assertEqual(503, status)
            self.assertEqual(1, len(fleet.prefill.received))

        self.check_freed(ask_once, shed=True)

    def test_a_client_that_leaves_before_an_answer_frees_its_kv_cache(self):
        async def ask_once(fleet):
            pending = asyncio.create_task(ask(fleet))
            await fleet.wait_for(
                lambda: fleet.decode.received + fleet.second_decode.received
            )
            self.assertEqual(1, len(fleet.prefill.handles))
            pending.cancel()

        self.check_freed(ask_once, delay_seconds=3.0)

    def test_a_call_is_awaited_while_no_other_target_is_there(self):
        # It was given up after 0.45 of its time and sent to the same target again.
        async def scenario(fleet):
            fleet.store.remove("servers", "s2")
            await fleet.wait_for(lambda: "s2" not in fleet.daemon.fleet.targets)
            fleet.plain.faults.delay_seconds = 1.4
            status, _, _ = await ask(fleet, "/seats/1", 2000)
            self.assertEqual((200, 1), (status, len(fleet.plain.ran)))

        run(scenario, configuration=PATIENT)


class TestSilentTargets(TestCase):
    def test_a_stalled_target_is_left_for_another_one(self):
        async def scenario(fleet):
            engine = SilentEngine()
            async with engine.replace(fleet, ["d1"]):
                await move_second_decode(fleet)
                status, body, seconds = await ask(fleet)
                self.assertEqual((200, STREAM_BODY), (status, body))
                self.assertEqual((1, 1), (len(engine.attempts), count_runs(fleet)))
                self.assertLess(seconds, 1.5)
                await fleet.wait_for(lambda: engine.closed_at)
                moved_at = fleet.second_decode.received_at[-1]
                self.assertLess(engine.closed_at[0] - moved_at, 0.4)

        run(scenario, configuration=PATIENT)

    def test_a_stalled_call_is_left_for_another_target(self):
        async def scenario(fleet):
            fleet.plain.faults.delay_seconds = 30.0
            for _ in range(3):
                status, body, _ = await ask(fleet, "/seats/1", 3000)
                self.assertEqual(200, status)
                self.assertTrue(body.startswith(b"s2"), body)

        run(scenario, configuration=PATIENT)

    def test_the_deadline_ends_the_wait_for_a_silent_target(self):
        async def scenario(fleet):
            engine = SilentEngine()
            async with engine.replace(fleet, ["d1", "d2"]):
                tasks = asyncio.all_tasks()
                started = asyncio.get_running_loop().time()
                with contextlib.suppress(Exception):
                    await ask(fleet, deadline_ms=1800)
                await fleet.wait_for(lambda: engine.closed_at, 0.5)
                self.assertAlmostEqual(1.8, engine.closed_at[0] - started, delta=0.4)
                self.assertEqual(1, len(engine.attempts))
                await asyncio.sleep(0.1)
                self.assertFalse(list_watches(asyncio.all_tasks() - tasks))

        run(scenario, configuration=PATIENT)

    def test_a_client_that_leaves_ends_a_switch_in_preparation(self):
        async def scenario(fleet):
            engine = SilentEngine()
            async with engine.replace(fleet, ["d1"]):
                await move_second_decode(fleet)
                tasks = asyncio.all_tasks()
                pending = asyncio.create_task(ask(fleet))
                await fleet.wait_for(lambda: engine.attempts)
                fleet.prefill.faults.delay_seconds = 1.5
                await fleet.wait_for(lambda: len(fleet.prefill.received) > 1)
                pending.cancel()
                await fleet.wait_for(lambda: engine.closed_at, 0.5)
                await asyncio.sleep(0.2)
                self.assertFalse(list_watches(asyncio.all_tasks() - tasks))
                self.assertEqual(0, count_runs(fleet))

        run(scenario, configuration=PATIENT)


async def move_second_decode(fleet):
    """Move a decode engine to another domain, so that it is chosen last."""
    fleet.register(fleet.second_decode, zone="zone-b")
    known = fleet.daemon.fleet.targets
    await fleet.wait_for(lambda: known["d2"].domain == "zone-b")


def count_runs(fleet):
    return len(fleet.decode.ran + fleet.second_decode.ran)


def list_watches(tasks):
    """Return the tasks of silence watches and preparations."""
    names = ("SilenceWatch", "Standby")
    return [t for t in tasks if t.get_coro().__qualname__.startswith(names)]
