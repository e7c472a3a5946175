"""Replay mixes of prefill and decode for the split of the engines.

Each load is replayed with every fixed split; the split found from the demand has to
serve about as many requests on time as the best of them.
"""

import heapq
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import splits, workload
from galenapass.forwarding.split_goals import SplitGoals
from galenapass.forwarding.splits import EngineSize, SplitGoal
from galenapass.forwarding.workload import MeasuredDemand, ServiceDemand
from galenapass.tables.targets import Role
from tests.forwarding_fakes import MS, make_fleet, make_target

OBJECTIVE_MS = 600.0
SIZE = EngineSize(slots=48, tokens=589_479)


@dataclass
class Load:
    """Load in requests per second, with prefill milliseconds and output events."""

    rate: float
    prefill_ms: float
    events: int
    interval_ms: float = 20.0
    growth_ms: float = 0.4
    tokens: int = 1000


class Replay:
    """Replay of a load with prefill engines and decode engines.

    Prompts are prefilled one after the other; decoding slows down with the number of
    concurrent sequences.
    """

    def __init__(self, load, prefill_engines, decode_engines, seconds=8.0, seed=1):
        self.load = load
        self.random = Random(seed)
        self.free_at = [0.0] * prefill_engines
        self.running = [[] for _ in range(decode_engines)]
        self.measured = ServiceDemand()
        self.seconds = seconds
        self.on_time = self.requests = 0

    def play(self):
        """Return the share of requests whose first output was on time."""
        now, waiting = 0.0, []
        while now < self.seconds * 1000:
            now += self.random.expovariate(self.load.rate / 1000)
            cost = self.random.uniform(0.5, 1.5) * self.load.prefill_ms
            workload.record_prompt(self.measured, cost, self.load.tokens, now * MS)
            engine = min(range(len(self.free_at)), key=self.free_at.__getitem__)
            self.free_at[engine] = max(self.free_at[engine], now) + cost
            heapq.heappush(waiting, (self.free_at[engine], now))
            while waiting and waiting[0][0] <= now:
                self._decode(*heapq.heappop(waiting))
        for prefilled_at, arrived in sorted(waiting):
            self._decode(prefilled_at, arrived)
        return self.on_time / self.requests

    def _decode(self, now, arrived):
        for engine in self.running:
            while engine and engine[0] <= now:
                heapq.heappop(engine)
        engine = min(self.running, key=len)
        start = now
        if len(engine) >= SIZE.slots:
            start = sorted(engine)[len(engine) - SIZE.slots]
        concurrency = min(len(engine), SIZE.slots - 1)
        interval = self.load.interval_ms + self.load.growth_ms * concurrency
        first = start - now + interval
        after = interval * (self.load.events - 1)
        heapq.heappush(engine, start + interval + after)
        workload.record_output(
            self.measured, concurrency, first, after, self.load.events
        )
        self.requests += 1
        self.on_time += start + interval - arrived <= OBJECTIVE_MS

    def measure(self):
        return workload.measure_demand("lm", self.measured, self.seconds * 1000 * MS)


def measure_splits(load, engines):
    """Return the share of requests on time for each number of prefill engines."""
    return {n: Replay(load, n, engines - n).play() for n in range(2, engines - 1)}


def plan(load, engines, prefill_engines, seconds=8.0):
    """Return the split found from the demand measured with another split."""
    replay = Replay(load, prefill_engines, engines - prefill_engines, seconds)
    replay.play()
    return splits.find_split(replay.measure(), engines, SIZE, 3)[0]


LOADS = {
    "long prompts, short answers": Load(16.0, 150.0, 4, tokens=17_000),
    "short prompts at a high rate": Load(200.0, 6.0, 5),
    "long answers": Load(30.0, 20.0, 60),
    "much of both": Load(40.0, 45.0, 20),
}


class TestSplits(TestCase):
    def test_each_mix_gets_nearly_its_best_split(self):
        # A fixed share derived from two sites left 1 of 5 engines to decode; 2 were
        # needed: a score of 0.14 instead of 0.80 (cwpc-shared quiet-1).
        for name, load in LOADS.items():
            with self.subTest(name):
                served = measure_splits(load, 5)
                found = plan(load, 5, prefill_engines=2)
                self.assertGreaterEqual(served[found], max(served.values()) - 0.03)

    def test_a_fleet_of_59_engines_gets_nearly_its_best_split(self):
        for name, load in LOADS.items():
            with self.subTest(name):
                large = replace(load, rate=load.rate * 11.0)
                found = plan(large, 59, prefill_engines=24, seconds=2.0)
                served = Replay(large, found, 59 - found, 2.0).play()
                options = (6, 18, 30, 42, 54)
                best = max(Replay(large, n, 59 - n, 2.0).play() for n in options)
                self.assertGreaterEqual(served, best - 0.03)

    def test_a_shift_of_the_mix_changes_the_split_within_seconds(self):
        goal, now = SplitGoal(), timedelta(0)
        prefill = MeasuredDemand("lm", 3.2, 20.0, 20_000.0, self.make_model())
        output = MeasuredDemand("lm", 0.4, 420.0, 90_000.0, self.make_model())
        shares = []
        for demand in (prefill, output):
            for _ in range(24):
                now += 250 * MS
                splits.update_goal(goal, demand, 5, SIZE, 3, now)
            shares.append(goal.share)
        self.assertEqual([0.6, 0.4], shares)

    def test_a_short_burst_changes_no_split(self):
        goal, now, first = SplitGoal(), timedelta(0), None
        calm = MeasuredDemand("lm", 1.0, 60.0, 20_000.0, self.make_model())
        burst = MeasuredDemand("lm", 1.5, 60.0, 20_000.0, self.make_model())
        for demand, steps in ((calm, 20), (burst, 8), (calm, 8), (burst, 8)):
            for _ in range(steps):
                now += 250 * MS
                splits.update_goal(goal, demand, 5, SIZE, 3, now)
            first = first or goal.share
            self.assertEqual(first, goal.share)

    def test_among_equal_splits_both_stages_have_spare_capacity(self):
        # 18 of 23 engines were assigned to prefill for a delay of 4 ms, and the
        # next shift of the mix filled the 80 slots of the others (cwpc-shared-grown
        # trouble-1).
        size = EngineSize(slots=16, tokens=500_000)
        model = workload.DecodeStatistics(
            sequences=100.0, first_ms=25_000.0, duration_ms=25_000.0
        )
        demand = MeasuredDemand("lm", 5.0, 300.0, 300_000.0, model)
        prefill, _ = splits.find_split(demand, 23, size, 3)
        self.assertTrue(10 <= prefill <= 13)
        shifted = replace(demand, decode_rate=600.0)
        self.assertLess(
            splits._find_bottleneck(shifted, prefill, 23 - prefill, size), 1.1
        )

    def test_an_overload_is_shared_by_both_stages(self):
        # Each request needs both stages, so the busier one limits the throughput.
        size = EngineSize(slots=16, tokens=500_000)
        model = workload.DecodeStatistics(
            sequences=100.0, first_ms=25_000.0, duration_ms=25_000.0
        )
        demand = MeasuredDemand("lm", 30.0, 900.0, 900_000.0, model)
        prefill, _ = splits.find_split(demand, 23, size, 3)
        bottlenecks = {
            n: splits._find_bottleneck(demand, n, 23 - n, size) for n in range(2, 22)
        }
        self.assertEqual(min(bottlenecks.values()), bottlenecks[prefill])

    def test_each_stage_has_a_spare_engine(self):
        # The only decode engine was lost for 4 s, and every prompt with it (tena-tours
        # trouble-1, 14 to 18 s).
        for engines in (5, 9, 59):
            prompts = MeasuredDemand(
                "lm", 0.9 * engines, 20.0, 20_000.0, self.make_model()
            )
            output = MeasuredDemand(
                "lm", 0.1, 40.0 * engines, 90_000.0, self.make_model()
            )
            for demand in (prompts, output):
                found, _ = splits.find_split(demand, engines, SIZE, 3)
                self.assertTrue(2 <= found <= engines - 2)

    def test_measured_demand_replaces_the_initial_split(self):
        measured = [MeasuredDemand("lm")]
        clock, fleet = (
            ManualClock(),
            make_fleet(
                *(make_target(f"e{n}", Role.DECODE, f"d{n % 3}") for n in range(9))
            ),
        )
        split_goals = SplitGoals(
            fleet, lambda name: measured[0], clock, is_first_start=True
        )
        self.assertEqual(
            splits.INITIAL_PREFILL_SHARE, split_goals.plan_prefill_share("lm")
        )
        clock.advance(timedelta(seconds=2))
        measured[0] = MeasuredDemand("lm", 0.5, 700.0, 90_000.0, self.make_model())
        self.assertAlmostEqual(3 / 9, split_goals.plan_prefill_share("lm"))
        later = SplitGoals(
            fleet, lambda name: MeasuredDemand("lm"), clock, is_first_start=False
        )
        self.assertIsNone(later.plan_prefill_share("lm"))
        later.apply_share("lm", 0.4)
        self.assertEqual(0.4, later.plan_prefill_share("lm"))

    def test_no_split_is_planned_without_demand(self):
        goal = SplitGoal()
        self.assertIsNone(
            splits.update_goal(
                goal, MeasuredDemand("lm"), 9, SIZE, 3, timedelta(seconds=9)
            )
        )
        self.assertIsNone(goal.share)

    @given(
        st.floats(0, 200),
        st.floats(0, 3000),
        st.integers(2, 60),
        st.integers(1, 5),
    )
    def test_each_stage_has_an_engine(self, prefill, runs, engines, domains):
        demand = MeasuredDemand("lm", prefill, runs, runs * 1000, self.make_model())
        found, delay = splits.find_split(demand, engines, SIZE, domains)
        self.assertTrue(1 <= found <= engines - 1)
        self.assertGreaterEqual(delay, 0)

    def make_model(self):
        measured = ServiceDemand()
        for concurrency in (0, 10, 20, 30):
            interval = 20.0 + 0.4 * concurrency
            workload.record_output(measured, concurrency, 40.0, interval * 5, 6)
        return measured.decode


class TestDemand(TestCase):
    def test_a_rate_is_accurate_after_its_first_second(self):
        rate = workload.Rate()
        for step in range(1, 61):
            workload._add_amount(rate, 5.0, step * 50 * MS)
            if step == 10:
                self.assertEqual(0.0, workload.compute_rate(rate, step * 50 * MS))
            if step >= 25:
                measured_rate = workload.compute_rate(rate, step * 50 * MS)
                self.assertAlmostEqual(100.0, measured_rate, delta=8.0)

    def test_the_model_separates_base_duration_from_concurrency(self):
        alone, growth = TestSplits.make_model(self).fit()
        self.assertAlmostEqual(40.0 + 5 * 20.0, alone, delta=1.0)
        self.assertAlmostEqual(5 * 0.4, growth, delta=0.05)

    def test_unfinished_sequences_count_just_after_a_start(self):
        # The first split assumed 101 ms per sequence, the mean of those that had ended
        # within the first second; later it was 328 ms (cwpc-shared-grown trouble-1).
        demand, random, mean = ServiceDemand(), Random(1), 300.0
        runs = sorted(
            (start := random.uniform(0, 500.0), start + random.expovariate(1 / mean))
            for _ in range(200)
        )
        for start, end in runs:
            workload.record_sequence_start(demand, start * MS)
            if end <= 500.0:
                workload.record_sequence_end(demand, start * MS)
                workload.record_output(demand, 5, 10.0, end - start - 10.0, 10)
        ended, _ = demand.decode.fit()
        known, _ = workload.measure_demand("lm", demand, 500 * MS).decode.fit()
        self.assertLess(ended, 0.6 * mean)
        self.assertAlmostEqual(mean, known, delta=0.25 * mean)

    def test_the_demand_of_schedulers_adds_up(self):
        model = TestSplits.make_model(self)
        part = MeasuredDemand("lm", 0.5, 20.0, 9000.0, model)
        total = workload.sum_demand("lm", [part, part])
        self.assertEqual(
            (1.0, 40.0, 18_000.0),
            (total.prefill_load, total.decode_rate, total.token_rate),
        )
        self.assertEqual(model.fit(), total.decode.fit())
