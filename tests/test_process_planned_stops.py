"""Test with processes what callers get whose requests meet a planned stop."""

import asyncio
import contextlib
import os
import signal
import time

import orjson
from testtools import TestCase

from experiments.answers import CHAT_PATH, is_complete_answer, make_chat, read_error
from experiments.fleet import CALLER_KEY, TOKEN, TargetSpec
from experiments.soak.raw_requests import Exchange, read_answer
from tests.process_fleet import make_engines, wait_until, with_fleet

HOLD_PATH = "/v1/services/booking/holds"
SEATS_PATH = "/v1/services/booking/seats"
DESK = TargetSpec("desk-1", "north", service="booking")
STOP_SECONDS = 4.0
STOP_WITHIN = "4 s"
# From the end of the stop to the end of the process, on a busy machine.
EXIT_SECONDS = 0.5
# A start waits up to 4 s for a platform that does not answer.
START_STOP_SECONDS = 2.0
PACED = ("--token-interval", "0.03")
SLOW = ("--token-interval", "0.2")
TOKENS = 60
NOT_RUN = (503, "not run", "stopping")
MAY_HAVE_RUN = (503, "may have run", "stopping")


def make_request(path, body=b"", key=None, token=CALLER_KEY, method="POST", **more):
    lines = [f"{method} {path} HTTP/1.1", "Host: galenapass"]
    headers = {"Authorization": f"Bearer {token}", "Content-Length": len(body), **more}
    if key is not None:
        headers["Idempotency-Key"] = key
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_chat_request(content, tokens, **more):
    body = orjson.dumps(make_chat(content, tokens) | more)
    return make_request(CHAT_PATH, body)


class Connection:
    """Raw connection to a port of a daemon."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def write(self, data):
        """Send bytes; return the exchange that they begin or belong to."""
        with contextlib.suppress(OSError):
            self._writer.write(data)
        return Exchange("", time.monotonic())

    async def read(self, exchange):
        await read_answer(self._reader, exchange)
        return exchange

    async def ask(self, data):
        return await self.read(self.write(data))

    async def close(self):
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def read_end(self):
        """Return whether the connection ends without a further byte."""
        try:
            return not await self._reader.read(1)
        except OSError:
            return False


async def connect(address, **options):
    ip, _, port = address.rpartition(":")
    return Connection(*await asyncio.open_connection(ip, int(port), **options))


def read_refusal(exchange):
    """Return status, verdict and reason of a whole problem answer or error event."""
    if not exchange.is_whole:
        return None
    problem = read_error(exchange.body) or {}
    return exchange.status, problem.get("verdict"), problem.get("reason")


class PlannedStop:
    """Daemon of a fleet that is stopped, with its exit status and time."""

    def __init__(self, fleet, name="entry-1"):
        self.fleet = fleet
        self.spec = fleet.daemons[name]
        self.process = fleet.processes[name]
        self.signal_at = 0.0

    async def connect(self, **options):
        return await connect(self.spec.entry, **options)

    def begin(self):
        self.signal_at = time.monotonic()
        self.process.send(signal.SIGTERM)

    async def wait(self, test, stop_seconds=STOP_SECONDS):
        """Check that the process ends in time with status 0."""
        status = await self.process.wait(30)
        test.assertEqual(0, status)
        seconds = time.monotonic() - self.signal_at
        test.assertLess(seconds, stop_seconds + EXIT_SECONDS)

    async def wait_run(self, name, count=1):
        async def has_run():
            account = await self.fleet.read_account(name)
            unnamed = account.get("runs_without_key", 0)
            return len(account["runs"]) + unnamed >= count

        await wait_until(has_run)


class TestOpenConnections(TestCase):
    @with_fleet(1, make_engines(1, *PACED), stop_within=STOP_WITHIN)
    async def test_requests_sent_without_waiting_are_all_answered(self, fleet):
        stop = PlannedStop(fleet)
        stream = await stop.connect()
        first = stream.write(make_chat_request("open", TOKENS))
        await stop.wait_run("runner-1")
        before, during = await stop.connect(), await stop.connect()
        sent = [before.write(make_chat_request("before", TOKENS))]
        sent += [before.write(make_chat_request(f"{n}", TOKENS)) for n in range(2)]
        await stop.wait_run("runner-1", 2)
        stop.begin()
        await asyncio.sleep(0.3)
        late = make_chat_request("late", TOKENS)
        refused = [during.write(late * 3), *[Exchange("", 0.0) for _ in range(2)]]
        for exchange in refused:
            await during.read(exchange)
        for exchange in sent:
            await before.read(exchange)
        await stream.read(first)
        self.assertEqual([NOT_RUN] * 3, [read_refusal(e) for e in refused])
        self.assertTrue(
            is_complete_answer(make_chat("before", TOKENS), 200, sent[0].body)
        )
        self.assertEqual([NOT_RUN] * 2, [read_refusal(e) for e in sent[1:]])
        self.assertEqual([False] * 2 + [True], [e.closes for e in refused])
        await stop.wait(self)

    @with_fleet(1, make_engines(1, *PACED), stop_within=STOP_WITHIN)
    async def test_requests_whose_body_is_on_the_way_are_refused_at_once(self, fleet):
        stop = PlannedStop(fleet)
        data = make_chat_request("pieces", TOKENS)
        callers = [await stop.connect() for _ in range(2)]
        exchanges = [caller.write(data[:-20]) for caller in callers]
        await asyncio.sleep(0.2)
        stop.begin()
        await callers[0].read(exchanges[0])
        await callers[0].close()
        callers[1].write(data[-20:])
        await callers[1].read(exchanges[1])
        self.assertEqual([NOT_RUN] * 2, [read_refusal(e) for e in exchanges])
        await stop.wait(self)
        self.assertLess(time.monotonic() - stop.signal_at, 2.5)

    @with_fleet(1, make_engines(1), stop_within="20 s")
    async def test_an_answer_that_is_read_slowly_arrives_whole(self, fleet):
        stop = PlannedStop(fleet)
        callers = [await stop.connect(limit=2**12) for _ in range(2)]
        # The answers to many requests, more than the buffers of sockets hold.
        request = make_request("/metrics", method="GET")
        count = 1500
        for caller in callers:
            caller.write(request * count)
        await asyncio.sleep(0.5)
        stop.begin()
        await asyncio.sleep(1.0)

        async def read_all(caller):
            exchanges = [Exchange("", 0.0) for _ in range(count)]
            for exchange in exchanges:
                await caller.read(exchange)
            return sum(e.is_whole and e.status == 200 for e in exchanges)

        whole = await asyncio.gather(*(read_all(caller) for caller in callers))
        self.assertEqual([count] * 2, whole)
        await stop.wait(self, 20.0)

    @with_fleet(1, make_engines(1, *PACED), stop_within=STOP_WITHIN)
    async def test_idle_connections_close_and_kept_ones_get_whole_answers(self, fleet):
        stop = PlannedStop(fleet)
        idle = await stop.connect()
        await idle.ask(make_request("/healthz", method="GET"))
        stream = await stop.connect()
        open_stream = asyncio.create_task(stream.ask(make_chat_request("open", TOKENS)))
        await stop.wait_run("runner-1")
        kept = await self.send_until_closed(stop)
        self.assertTrue(await idle.read_end())
        answer = await open_stream
        self.assertTrue(is_complete_answer(make_chat("open", TOKENS), 200, answer.body))
        await stop.wait(self)
        broken = [e for e in kept if not e.is_whole and e.status]
        self.assertEqual([], broken)
        self.assertEqual({200, 503}, {e.status for e in kept if e.is_whole})
        refused = [e for e in kept if e.status == 503]
        self.assertEqual({NOT_RUN}, {read_refusal(e) for e in refused})

    async def send_until_closed(self, stop):
        """Send requests on connections until none can be opened; return them."""
        exchanges = []

        async def run(n):
            data = make_chat_request(f"kept {n}", 2)
            while True:
                try:
                    caller = await stop.connect()
                except OSError:
                    return
                while True:
                    exchange = await caller.ask(data)
                    exchanges.append(exchange)
                    if not exchange.is_whole or exchange.closes:
                        break
                    await asyncio.sleep(0.01)

        callers = [asyncio.create_task(run(n)) for n in range(6)]
        await asyncio.sleep(0.3)
        stop.begin()
        await asyncio.gather(*callers)
        return exchanges


class TestStopLimit(TestCase):
    async def stop_calls(self, fleet, **faults):
        """Stop a daemon with calls at work at a service; return stop and answers."""
        stop = PlannedStop(fleet)
        await fleet.set_faults("desk-1", delay=8.0)
        seats = make_request(SEATS_PATH, method="GET")
        calls = [make_request(HOLD_PATH, b"{}", key="hold-1"), seats]
        sent = [asyncio.create_task((await stop.connect()).ask(c)) for c in calls]
        await stop.wait_run("desk-1", 2)
        if faults:
            await fleet.set_faults("platform", **faults)
        stop.begin()
        answers = await asyncio.gather(*sent)
        await stop.wait(self)
        self.assertEqual([MAY_HAVE_RUN] * 2, [read_refusal(e) for e in answers])
        account = await fleet.read_account("desk-1")
        self.assertEqual(
            (1, 1), (account["runs"]["hold-1"], account["runs_without_key"])
        )

    @with_fleet(2, [DESK], stop_within=STOP_WITHIN)
    async def test_calls_at_work_at_the_limit_are_answered_and_not_repeated(
        self, fleet
    ):
        await self.stop_calls(fleet)
        await fleet.set_faults("desk-1", delay=0.0)
        again = await fleet.send("entry-2", HOLD_PATH, {}, Idempotency_Key="hold-1")
        problem = orjson.loads(again.body)
        self.assertEqual("may have run", problem["verdict"])
        self.assertNotIn("under way", problem["detail"])
        account = await fleet.read_account("desk-1")
        self.assertEqual({"hold-1": 1}, account["runs"])

    @with_fleet(1, [DESK], stop_within=STOP_WITHIN)
    async def test_calls_at_work_without_the_platform_are_answered(self, fleet):
        await self.stop_calls(fleet, outage=True)

    @with_fleet(1, make_engines(1, *SLOW), stop_within=STOP_WITHIN)
    async def test_a_completion_that_is_not_streamed_is_answered(self, fleet):
        stop = PlannedStop(fleet)
        caller = await stop.connect()
        exchange = caller.write(make_chat_request("whole", 100, stream=False))
        await stop.wait_run("runner-1")
        stop.begin()
        await caller.read(exchange)
        self.assertEqual(MAY_HAVE_RUN, read_refusal(exchange))
        await stop.wait(self)

    @with_fleet(1, make_engines(1, *SLOW), stop_within=STOP_WITHIN)
    async def test_requests_that_wait_are_refused_as_not_run(self, fleet):
        stop = PlannedStop(fleet)
        fleet.processes["runner-1"].send(signal.SIGKILL)
        await asyncio.sleep(2.0)
        callers = [await stop.connect() for _ in range(20)]
        sent = [c.ask(make_chat_request(f"{n}", 60)) for n, c in enumerate(callers)]
        pending = asyncio.gather(*sent)
        await asyncio.sleep(0.5)
        stop.begin()
        answers = await pending
        self.assertEqual([NOT_RUN] * 20, [read_refusal(e) for e in answers])
        await stop.wait(self)

    @with_fleet(2, [DESK], stop_within=STOP_WITHIN)
    async def test_a_call_refused_by_a_stop_leaves_its_key_free(self, fleet):
        stop = PlannedStop(fleet)
        await fleet.set_faults("desk-1", delay=1.0)
        first = asyncio.create_task(
            (await stop.connect()).ask(make_request(HOLD_PATH, b"{}", key="first"))
        )
        await stop.wait_run("desk-1")
        callers = [await stop.connect() for _ in range(20)]
        stop.begin()
        sent = []
        for n, caller in enumerate(callers):
            data = make_request(HOLD_PATH, b"{}", key=f"key-{n}")
            sent.append(asyncio.create_task(caller.ask(data)))
            await asyncio.sleep(0.03)
        answers = await asyncio.gather(*sent)
        self.assertEqual(200, (await first).status)
        await stop.wait(self)
        await fleet.set_faults("desk-1", delay=0.0)
        refused = [n for n, e in enumerate(answers) if read_refusal(e) == NOT_RUN]
        self.assertNotEqual([], refused)
        for n, exchange in enumerate(answers):
            self.assertTrue(exchange.is_whole or not exchange.status, n)
            key = f"key-{n}"
            again = await fleet.send("entry-2", HOLD_PATH, {}, Idempotency_Key=key)
            self.assertEqual(200, again.status, (n, again.body))


class TestSignals(TestCase):
    @with_fleet(1, make_engines(1), stop_within=STOP_WITHIN)
    async def test_signals_up_to_the_end_of_the_process_leave_its_status_0(self, fleet):
        for numbers in (
            (signal.SIGTERM, signal.SIGTERM),
            (signal.SIGTERM, signal.SIGINT),
            (signal.SIGINT, signal.SIGTERM),
        ):
            process = fleet.processes["entry-1"]
            for _ in range(2000):
                if process.status is not None:
                    break
                for number in numbers:
                    # Process.send would take the exit status from the loop's watcher.
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(process.pid, number)
                await asyncio.sleep(0.002)
            self.assertEqual(0, await process.wait(8), numbers)
            await fleet.start_daemon("entry-1")
            await fleet.wait_ready()

    @with_fleet(1, make_engines(1), stop_within=STOP_WITHIN)
    async def test_a_stop_does_not_wait_for_the_start(self, fleet):
        fleet.processes["entry-1"].send(signal.SIGTERM)
        await fleet.processes["entry-1"].wait(8)
        fleet.processes["platform"].send(signal.SIGSTOP)
        await fleet.start_daemon("entry-1")
        log = fleet.folder / "entry-1.log"
        starts = log.read_text(encoding="utf-8").count("daemon starts")

        async def has_started():
            text = log.read_text(encoding="utf-8")
            return text.count("daemon starts") > starts

        await wait_until(has_started)
        stop = PlannedStop(fleet)
        stop.begin()
        await stop.wait(self)
        self.assertLess(time.monotonic() - stop.signal_at, START_STOP_SECONDS)


class TestOperators(TestCase):
    @with_fleet(1, make_engines(1), stop_within=STOP_WITHIN)
    async def test_an_apply_at_work_is_answered_and_then_in_force(self, fleet):
        stop = PlannedStop(fleet)
        text = fleet.format_operators_file(weight=0.5).encode()
        state = await fleet.query_operators_port("entry-1", "/status")
        version = state["settings_version"]
        await fleet.set_faults("platform", delay=1.5)
        operators = await connect(stop.spec.operators_address)
        exchange = operators.write(
            make_request(
                "/configuration",
                text,
                token=TOKEN,
                method="PUT",
                If_Match=f'"{version}"',
            )
        )
        await asyncio.sleep(0.3)
        stop.begin()
        await operators.read(exchange)
        await stop.wait(self)
        await fleet.set_faults("platform")
        self.assertTrue(exchange.is_whole)
        self.assertEqual(200, exchange.status, exchange.body)
