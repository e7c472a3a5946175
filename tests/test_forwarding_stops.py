"""Test which requests a stopping host starts, and how it ends those it has."""

import asyncio
import contextlib
from datetime import timedelta

from result import Ok
from testtools import TestCase

from galenapass.clocks import BootClock, ManualClock
from galenapass.forwarding.answer_times import AnswerTimes, ExpectedTime
from galenapass.forwarding.open_requests import OpenRequests
from galenapass.forwarding.output_pace import OutputPace
from galenapass.forwarding.relay import Relay
from galenapass.forwarding.requests import Part, Prompt
from galenapass.forwarding.retry_accounts import RetryAccounts
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from galenapass.forwarding.routes import Repeat
from galenapass.forwarding.slot_client import Slot
from galenapass.forwarding.slot_requests import Grant, Stage
from galenapass.forwarding.stop_times import Certainty, find_latest_start, plan_stop
from galenapass.forwarding.target_messages import ClientRequest, TargetResponse
from galenapass.tables.targets import Role
from galenapass.verdicts import Reason, Run
from tests.forwarding_fakes import (
    MS,
    FakeOrigins,
    make_fleet,
    make_request,
    make_route,
    make_suspects,
    make_target,
)

SECOND = timedelta(seconds=1)


def make_sized(output, tokens=1000):
    return make_request(prompt=Prompt(tokens, output, (Part("p", tokens),)))


class TestLatestStart(TestCase):
    times = plan_stop(0 * SECOND, 10 * SECOND)

    def test_the_phases_follow_each_other_within_the_grace_period(self):
        times = self.times
        ends = [
            times.excused_until,
            times.early_until,
            times.listen_until,
            times.idle_until,
            times.answer_until,
            times.exit_by,
        ]
        self.assertEqual(sorted(ends), ends)
        self.assertLess(times.exit_by, 10 * SECOND)

    def find(self, expected, needed=Certainty.USUAL, times=None):
        return find_latest_start(times or self.times, expected, needed).at

    def test_a_short_request_may_start_late(self):
        expected = ExpectedTime(100 * MS, 200 * MS)
        self.assertEqual(self.times.answer_until - 250 * MS, self.find(expected))

    def test_an_early_request_must_only_be_likely_to_end(self):
        latest = self.find(ExpectedTime(SECOND, 9 * SECOND))
        self.assertEqual(self.times.early_until, latest)

    def test_a_request_that_is_likely_to_be_cut_never_starts(self):
        latest = self.find(ExpectedTime(8 * SECOND, 9 * SECOND))
        self.assertLess(latest, 0 * SECOND)

    def test_an_unknown_request_may_start_early(self):
        self.assertEqual(self.times.early_until, self.find(None))

    def test_usual_answers_do_not_bound_a_request_that_must_not_be_cut(self):
        expected = ExpectedTime(100 * MS, 200 * MS)
        latest = self.find(expected, Certainty.BOUNDED)
        self.assertEqual(self.times.excused_until, latest)

    def test_a_request_that_must_not_be_cut_may_start_late_if_it_is_bounded(self):
        expected = ExpectedTime(100 * MS, 200 * MS, 400 * MS)
        latest = self.find(expected, Certainty.BOUNDED)
        self.assertEqual(self.times.answer_until - 500 * MS, latest)

    def test_a_request_that_may_have_run_must_only_be_likely_to_end(self):
        expected = ExpectedTime(SECOND, 9 * SECOND)
        latest = self.find(expected, Certainty.LIKELY)
        self.assertEqual(self.times.answer_until - 1.25 * SECOND, latest)

    def test_a_long_grace_period_does_not_prolong_the_time_that_excuses_a_cut(self):
        times = plan_stop(0 * SECOND, 20 * SECOND)
        latest = self.find(None, Certainty.BOUNDED, times)
        self.assertLess(latest, 3 * SECOND)

    def test_a_call_that_may_be_repeated_is_early_for_a_share_of_the_grace_period(self):
        times = plan_stop(0 * SECOND, 20 * SECOND)
        expected = ExpectedTime(SECOND, 18 * SECOND)
        self.assertEqual(7 * SECOND, self.find(expected, Certainty.USUAL, times))


def make_pace(events, gap, first=0 * SECOND):
    """Return the pace of a stream with ``events`` events every ``gap``."""
    pace = OutputPace()
    for number in range(events):
        pace.record(first + number * gap, 1)
    return pace


class TestOutputPace(TestCase):
    def test_no_pace_is_known_of_events_that_came_together(self):
        pace = OutputPace()
        pace.record(SECOND, 3)
        self.assertIsNone(pace.find())

    def test_the_pace_is_the_time_of_one_event(self):
        self.assertEqual(100 * MS, make_pace(5, 100 * MS).find())

    def test_one_long_silence_does_not_slow_the_pace(self):
        pace = make_pace(5, 100 * MS)
        pace.record(3 * SECOND, 1)
        self.assertEqual(100 * MS, pace.find())

    def test_two_events_give_a_pace(self):
        self.assertEqual(SECOND, make_pace(2, SECOND).find())


class TestLimits(TestCase):
    def expect(self, *samples, output=40, stage=Stage.DECODE):
        times = AnswerTimes()
        for size, took, pace in samples:
            times.record(make_sized(size), stage, took, pace)
        return times.expect(make_sized(output), stage).limit

    def test_a_short_answer_does_not_bound_one_that_may_be_longer(self):
        sample = (40, 300 * MS, make_pace(3, 100 * MS))
        self.assertGreaterEqual(self.expect(*[sample] * 200), 4 * SECOND)

    def test_a_whole_answer_bounds_one_of_its_size(self):
        sample = (40, 4 * SECOND, make_pace(40, 100 * MS))
        self.assertLess(self.expect(*[sample] * 200), 5 * SECOND)

    def test_the_slowest_pace_counts(self):
        fast = (40, 30 * MS, make_pace(3, 10 * MS))
        slow = (40, 300 * MS, make_pace(3, 100 * MS))
        limit = self.expect(slow, *[fast] * 200)
        self.assertGreaterEqual(limit, 3.7 * SECOND)

    def test_nothing_bounds_an_output_of_unknown_pace(self):
        self.assertIsNone(self.expect((40, SECOND, make_pace(1, SECOND))))

    def test_nothing_bounds_a_plain_call(self):
        self.assertIsNone(self.expect((1, SECOND, None), stage=Stage.CALL))


class TestAnswerTimes(TestCase):
    def test_nothing_is_expected_of_unknown_work(self):
        self.assertIsNone(AnswerTimes().expect(make_request(), Stage.DECODE))

    def test_a_larger_output_is_expected_to_take_longer(self):
        times = AnswerTimes()
        for _ in range(64):
            times.record(make_sized(10), Stage.DECODE, SECOND)
        expected = times.expect(make_sized(100), Stage.DECODE)
        self.assertEqual(10 * SECOND, expected.median)

    def test_answers_of_other_sizes_do_not_count_beside_similar_ones(self):
        times = AnswerTimes()
        for _ in range(64):
            times.record(make_sized(10), Stage.DECODE, SECOND)
            times.record(make_sized(1000), Stage.DECODE, 20 * SECOND)
        self.assertEqual(SECOND, times.expect(make_sized(10), Stage.DECODE).median)

    def test_few_answers_say_little_about_the_longest(self):
        times = AnswerTimes()
        times.record(make_sized(10), Stage.DECODE, SECOND)
        first = times.expect(make_sized(10), Stage.DECODE).longest
        for _ in range(100):
            times.record(make_sized(10), Stage.DECODE, SECOND)
        later = times.expect(make_sized(10), Stage.DECODE).longest
        self.assertGreater(first, 5 * later)
        self.assertGreater(later, SECOND)

    def test_a_prompt_to_be_read_takes_both_stages(self):
        times = AnswerTimes()
        times.record(make_sized(10), Stage.PREFILL, SECOND)
        times.record(make_sized(10), Stage.DECODE, 2 * SECOND)
        expected = times.expect(make_sized(10), Stage.PREFILL)
        self.assertEqual(3 * SECOND, expected.median)


class TestOpenRequests(TestCase):
    def make(self, clock, answer_times=None):
        return OpenRequests(clock, answer_times or AnswerTimes())

    def run_bounded(self, clock, request, act):
        """Return the verdict for a request during which ``act`` is called."""
        open_requests = self.make(clock)

        async def scenario():
            try:
                async with open_requests.bound(request, Stage.CALL):
                    act(open_requests)
                    await asyncio.sleep(2)
            except TimeoutError:
                return open_requests.make_verdict(request)

        return asyncio.run(scenario())

    def make_bounded(self, clock, patience=5000):
        now = clock.monotonic() // MS
        return make_request(arrived=now, patience=patience)

    def test_a_request_that_waits_ends_when_it_would_come_too_late(self):
        clock = BootClock()

        def act(open_requests):
            grace = timedelta(milliseconds=100)
            open_requests.begin_stop(plan_stop(clock.monotonic(), grace))

        verdict = self.run_bounded(clock, self.make_bounded(clock), act)
        self.assertEqual((Run.NOT_RUN, Reason.STOPPING), (verdict.run, verdict.reason))
        self.assertIsNotNone(verdict.retry_after)

    def test_a_request_that_runs_ends_with_the_answers(self):
        clock, request = BootClock(), None
        request = self.make_bounded(clock)

        def act(open_requests):
            request.runs += 1
            open_requests.record_start(request)
            grace = timedelta(milliseconds=100)
            open_requests.begin_stop(plan_stop(clock.monotonic(), grace))

        verdict = self.run_bounded(clock, request, act)
        self.assertIs(Run.MAY_HAVE_RUN, verdict.run)
        self.assertIs(Reason.STOPPING, verdict.reason)

    def test_a_deadline_before_the_end_of_the_stop_stays(self):
        clock = BootClock()

        def act(open_requests):
            grace = timedelta(seconds=10)
            open_requests.begin_stop(plan_stop(clock.monotonic(), grace))

        verdict = self.run_bounded(clock, self.make_bounded(clock, 100), act)
        self.assertIs(Reason.DEADLINE_PASSED, verdict.reason)

    def check_late_start(self, request):
        """Return whether a request may start late, after 200 short answers."""
        clock, times = ManualClock(), AnswerTimes()
        for _ in range(200):
            times.record(request, Stage.CALL, 100 * MS)
        open_requests = self.make(clock, times)
        open_requests.begin_stop(plan_stop(clock.monotonic(), 10 * SECOND))
        clock.advance(6 * SECOND)

        async def scenario():
            async with open_requests.bound(request, Stage.CALL):
                return open_requests.may_start(request)

        return asyncio.run(scenario())

    def test_a_late_call_may_start_by_the_answers_before_only_if_it_may_be_repeated(
        self,
    ):
        for repeat, streams, may_start in (
            (Repeat.ONCE, False, False),
            (Repeat.ANY, False, True),
            (Repeat.RESUME, True, False),
        ):
            with self.subTest(repeat, streams=streams):
                route = make_route(repeat=repeat, streams=streams)
                request = make_request(arrived=6000, patience=8000, route=route)
                self.assertIs(may_start, self.check_late_start(request))

    def test_what_may_have_run_is_sent_again_late_if_it_is_likely_to_end(self):
        request = make_request(arrived=6000, patience=8000)
        request.runs = 1
        self.assertTrue(self.check_late_start(request))

    def test_a_late_request_may_not_start(self):
        clock = ManualClock()
        open_requests = self.make(clock)
        open_requests.begin_stop(plan_stop(clock.monotonic(), 10 * SECOND))
        clock.advance(4 * SECOND)
        request = make_request(arrived=4000, patience=8000)

        async def scenario():
            async with open_requests.bound(request, Stage.CALL):
                return open_requests.may_start(request)

        self.assertFalse(asyncio.run(scenario()))


class FakeEngine:
    """Engine that reads prompts and generates; a manual clock passes meanwhile."""

    is_local = True

    def __init__(self, clock, read_time, output_time):
        self._clock = clock
        self._read_time = read_time
        self._output_time = output_time

    async def acquire(self, slot_request):
        grant = Grant(
            slot_request.ticket, make_target("e1", Role.DECODE), 1.0, 0.0, 0, 0.0, ""
        )
        return Ok(Slot(grant, slot_request.stage, self._clock, lambda release: None))

    @contextlib.asynccontextmanager
    async def run(self, target, message, time_left, **options):
        yield Ok(TargetResponse(200, [], True, self._generate()))

    async def _generate(self):
        self._clock.advance(self._read_time)
        yield b"id: 1\ndata: t1\n\n"
        self._clock.advance(self._output_time)
        yield b"id: 2\ndata: t2\n\n"


class FakeSink:
    began = False

    async def begin(self, status, headers):
        self.began = True

    async def write(self, events):
        pass

    async def finish(self):
        pass


class TestRelay(TestCase):
    def serve(self, relay, clock):
        request = make_request(arrived=clock.monotonic() // MS, patience=60_000)
        message = ClientRequest("r1", "POST", "/notes/1", "a.example", (), b"")
        return asyncio.run(relay.serve(request, message, FakeSink()))

    def test_the_time_to_read_a_prompt_counts_where_output_is_generated(self):
        clock = ManualClock()
        engine = FakeEngine(clock, 2 * SECOND, 100 * MS)
        relay = Relay(
            make_fleet(make_target("e1", Role.DECODE)),
            engine,
            engine,
            make_suspects("host-1", clock),
            clock,
            RetryAccounts(clock, RetryBudgetTerms()),
            on_left=lambda target: None,
            on_limit_change=lambda: None,
            on_limited_send=lambda target, stage: None,
            origins=FakeOrigins(),
        )
        for _ in range(8):
            self.assertTrue(self.serve(relay, clock).is_ok())
        relay.begin_stop(plan_stop(clock.monotonic(), 10 * SECOND))
        clock.advance(7.2 * SECOND)
        verdict = self.serve(relay, clock).unwrap_err()
        self.assertEqual((Run.NOT_RUN, Reason.STOPPING), (verdict.run, verdict.reason))
