"""Check when a silent target is given up, and what a preparation leaves behind."""

import asyncio
import contextlib

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.forwarding import silence
from galenapass.forwarding.progress import Progress, ProgressTimeouts
from galenapass.forwarding.sending import Exchange, Send, Sender
from galenapass.forwarding.silence import SilenceWatch, SilentTargetError
from galenapass.forwarding.slot_client import Slot
from galenapass.forwarding.slot_requests import Grant, Stage
from galenapass.forwarding.switching import Standby, SwitchSteps
from galenapass.forwarding.target_messages import ClientRequest, TargetResponse
from galenapass.verdicts import Reason, Run, Verdict
from tests.forwarding_fakes import MS, make_request, make_suspects, make_target

LIMIT = 30 * MS
REFUSED = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "no target")


class Steps:
    """Steps of a preparation that take a while; ``calls`` lists them."""

    def __init__(self, outcome, seconds=0.0, allowed=True):
        self.calls = []
        self.outcome = outcome
        self.seconds = seconds
        self.allowed = allowed

    def make_standby(self):
        return Standby("r1", SwitchSteps(self.reserve, self.prepare, self.discard))

    def reserve(self):
        if not self.allowed:
            return None
        self.calls.append("reserve")
        return lambda: self.calls.append("give back")

    async def prepare(self):
        await asyncio.sleep(self.seconds)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def discard(self, send):
        self.calls.append(f"discard {send}")


def watch_read(steps, events, limit=LIMIT):
    """Read events of given delays in seconds; return their count and the standby."""

    async def main():
        standby = steps.make_standby()
        progress = Progress(ProgressTimeouts(limit, limit), SystemClock())
        watch = SilenceWatch(progress, standby)
        read = 0
        try:
            for delay in events:
                await watch.read(asyncio.sleep(delay))
                watch.record_progress()
                read += 1
        except SilentTargetError:
            pass
        finally:
            watch.stop()
        return read, standby.take()

    return asyncio.run(main())


class TestSilence(TestCase):
    def test_a_target_is_given_up_once_the_next_send_is_ready(self):
        steps = Steps(Ok("send"), 0.05)
        self.assertEqual((1, "send"), watch_read(steps, [0.01, 5.0]))
        self.assertEqual(["reserve"], steps.calls)

    def test_a_target_is_awaited_while_the_budget_allows_no_switch(self):
        steps = Steps(Ok("send"), allowed=False)
        self.assertEqual((2, None), watch_read(steps, [0.01, 0.2]))

    def test_a_target_is_awaited_while_no_other_is_free(self):
        steps = Steps(Err(REFUSED))
        self.assertEqual((2, None), watch_read(steps, [0.01, 0.2]))
        self.assertEqual(["reserve", "give back"], steps.calls)

    def test_a_preparation_that_fails_ends_no_answer(self):
        steps = Steps(RuntimeError("unexpected"))
        self.assertEqual((2, None), watch_read(steps, [0.01, 0.2]))
        self.assertEqual(["reserve", "give back"], steps.calls)

    def test_progress_ends_a_preparation(self):
        steps = Steps(Ok("send"), 0.5)
        self.assertEqual((3, None), watch_read(steps, [0.01, 0.1, 0.01]))
        self.assertEqual(["reserve", "give back"], steps.calls)


class NextSendAsOutputComes:
    """Next send that is ready in the same pass of the event loop as output comes."""

    def __init__(self):
        self.output = asyncio.get_running_loop().create_future()
        self.cancelled = 0

    async def prepare(self):
        self.output.set_result(b"id: ")
        return True

    def cancel(self):
        self.cancelled += 1


class TestOutputAtTheSwitch(TestCase):
    def test_a_next_send_is_not_forgotten_as_a_part_of_an_event_comes(self):
        # It stayed at its target, and was prepared again after a pause.
        async def main():
            next_send = NextSendAsOutputComes()
            progress = Progress(ProgressTimeouts(LIMIT, LIMIT), SystemClock())
            watch = SilenceWatch(progress, next_send)
            try:
                return await watch.read(next_send.output), next_send.cancelled
            finally:
                watch.stop()

        self.assertEqual((b"id: ", 1), asyncio.run(main()))


class EagerTargetClient:
    """Client of a target that sends an event again shortly after the last was read."""

    @contextlib.asynccontextmanager
    async def run(self, target, message, time_left, **options):
        yield Ok(TargetResponse(200, [], True, self.make_chunks()))

    async def make_chunks(self):
        for number in (1, 2):
            await asyncio.sleep(0.05)
            yield f"id: {number}\ndata: t\n\n".encode()


class SlowSink:
    """Sink whose client takes a while to read each event."""

    began = False

    async def begin(self, status, headers):
        self.began = True

    async def write(self, events):
        await asyncio.sleep(0.4)

    async def finish(self):
        pass


class TestSlowClients(TestCase):
    def test_a_client_that_reads_slowly_is_no_silence_of_the_target(self):
        # The time to write an event to the client counted as silence of the target, so
        # the next read had no time left.
        self.patch(silence, "RETRY_INTERVAL", 10 * MS)
        clock, steps = SystemClock(), Steps(Err(REFUSED))

        async def main():
            sender = Sender(
                EagerTargetClient(),
                make_suspects("h1", clock),
                clock,
                on_stream_begin=lambda request, target: None,
            )
            grant = Grant("t1", make_target("d1"), 0.0, 0.0, 0, 0.0, "")
            slot = Slot(grant, Stage.DECODE, clock, lambda release: None)
            limit = 200 * MS
            send = Send(slot, progress_timeouts=ProgressTimeouts(limit, limit))
            request = make_request(arrived=clock.monotonic() / MS)
            message = ClientRequest("r1", "POST", "/notes/1", "a.example", (), b"")
            standby = steps.make_standby()
            return await sender.run(request, message, SlowSink(), send, standby)

        self.assertEqual((Ok(None), []), (asyncio.run(main()), steps.calls))


class TestExchange(TestCase):
    def test_a_request_is_not_sent_as_its_client_leaves_before_it_is_on_its_way(self):
        # It was sent as the exchange was closed, and its response awaited.
        sent = []

        @contextlib.asynccontextmanager
        async def run():
            sent.append("r1")
            yield Err(REFUSED)

        async def exchange_once():
            exchange = Exchange(run())
            try:
                await exchange.open()
            finally:
                await exchange.close()

        async def main():
            task = asyncio.create_task(exchange_once())
            # In the pass of the event loop in which the exchange begins.
            asyncio.get_running_loop().call_soon(task.cancel)
            await asyncio.wait((task,))
            return task.cancelled()

        self.assertEqual((True, []), (asyncio.run(main()), sent))


class TestDroppedSends(TestCase):
    def drop(self, answer, *, connects):
        """Return the runs of a request whose next send is dropped after an answer.

        Without an answer, it is dropped while that is awaited.
        """
        opened = asyncio.Event()

        class Client:
            @contextlib.asynccontextmanager
            async def run(self, target, message, time_left, **options):
                if connects:
                    options["on_connection"]()
                opened.set()
                if answer is None:
                    await asyncio.sleep(60)
                yield answer

        async def main():
            clock = SystemClock()
            sender = Sender(
                Client(), make_suspects("h1", clock), clock, lambda *stream: None
            )
            grant = Grant("t1", make_target("d1"), 0.0, 0.0, 0, 0.0, "")
            slot = Slot(grant, Stage.DECODE, clock, lambda release: None)
            request = make_request(arrived=clock.monotonic() / MS)
            message = ClientRequest("r1", "POST", "/notes/1", "a.example", (), b"")
            task = asyncio.create_task(sender.begin(request, message, Send(slot)))
            await opened.wait()
            # In the pass of the event loop in which an answer comes.
            task.cancel()
            await asyncio.wait((task,))
            self.assertTrue(task.cancelled())
            return request.runs

        return asyncio.run(main())

    def test_a_dropped_send_that_was_not_connected_is_no_run(self):
        self.assertEqual(0, self.drop(None, connects=False))

    def test_a_dropped_send_that_is_on_its_way_is_a_run(self):
        self.assertEqual(1, self.drop(None, connects=True))

    def test_a_dropped_send_that_was_refused_is_no_run(self):
        self.assertEqual(0, self.drop(Err(REFUSED), connects=True))

    def test_a_dropped_send_that_was_answered_is_a_run(self):
        answer = Ok(TargetResponse(200, [], True, None))
        self.assertEqual(1, self.drop(answer, connects=True))


class TestStandby(TestCase):
    def test_a_send_that_is_not_used_is_released(self):
        async def main():
            steps = Steps(Ok("send"))
            standby = steps.make_standby()
            self.assertTrue(await standby.prepare())
            standby.cancel()
            standby.cancel()
            self.assertFalse(standby.is_ready)
            return steps.calls

        self.assertEqual(["reserve", "discard send", "give back"], asyncio.run(main()))

    def test_a_send_that_is_taken_keeps_its_reservation(self):
        async def main():
            steps = Steps(Ok("send"))
            standby = steps.make_standby()
            await standby.prepare()
            self.assertEqual("send", standby.take())
            standby.cancel()
            return steps.calls

        self.assertEqual(["reserve"], asyncio.run(main()))
