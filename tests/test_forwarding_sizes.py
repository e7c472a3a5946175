"""Check how many targets are wanted, and that replayed loads are always served."""

import math
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import sizes, workload
from galenapass.forwarding.grants import GrantTable
from galenapass.forwarding.loads import PartDigest, record_parts
from galenapass.forwarding.operations import CallOutcome
from galenapass.forwarding.placement import choose_decode, choose_plain, choose_prefill
from galenapass.forwarding.routes import Scaling
from galenapass.forwarding.size_counts import count_shared_tokens
from galenapass.forwarding.sizes import SizeInputs
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.forwarding.splits import EngineSize
from galenapass.forwarding.workload import DecodeStatistics, MeasuredDemand
from galenapass.tables.targets import Role, TargetState
from tests.forwarding_fakes import make_fleet, make_prompt, make_target
from tests.size_replays import FakeLease, Replay, make_deployment_a
from tests.size_replays import make_small_deployment as make_small

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}


def make_inputs(load=5.7, rate=120.0, **changes):
    decode = DecodeStatistics(100, 2500, 1900, 100, 800, 2500, 8000, 20500, 50000)
    values = {
        "is_model": True,
        "scaling": Scaling(1, 35, timedelta(seconds=4), 0.22, PRICES),
        "peak": MeasuredDemand("lm", load, rate, rate * 3000, decode),
        "domains": tuple(PRICES),
        "size": EngineSize(64, 500_000),
        "objective": timedelta(milliseconds=600),
    }
    return SizeInputs(**(values | changes))


def make_call(name):
    due = timedelta(seconds=9)
    return SlotRequest(name, name, "desk", Stage.CALL, due, due, 1)


def count_goals(inputs):
    return {(g.domain, g.reclaimable): g.count for g in sizes.find_sizes(inputs)}


class TestSizes(TestCase):
    @settings(max_examples=30)
    @given(
        st.floats(0.1, 25),
        st.floats(1, 400),
        st.integers(2, 4),
        st.none() | st.floats(0.1, 0.9),
        st.integers(0, 3),
    )
    def test_enough_is_left_after_each_loss(self, load, rate, domains, price, least):
        names = tuple(PRICES)[:domains]
        scaling = Scaling(least, 35, timedelta(seconds=4), price, PRICES)
        inputs = make_inputs(load, rate, scaling=scaling, domains=names)
        need = sizes.count_needed(inputs)
        counts = count_goals(inputs)
        total = sum(counts.values())
        by_domain = Counter()
        for (domain, _), number in counts.items():
            by_domain[domain] += number
        for domain in names:
            self.assertTrue(max(least, 2) <= by_domain[domain] <= 35)
            self.assertGreaterEqual(total - by_domain[domain], need.reduced)
        fixed = sum(n for (_, reclaimable), n in counts.items() if not reclaimable)
        self.assertGreaterEqual(fixed, need.reduced)
        self.assertGreaterEqual(total - math.ceil(total / 4), need.reduced)
        self.assertGreaterEqual(total, need.full)

    def test_the_worked_case_of_the_operators_page_holds(self):
        shared = {"shared_tokens": 480_000, "shared_ms": 7500.0}
        inputs = make_inputs(4.3, 92.0, bursts=(1.1, 1.08), **shared)
        self.assertEqual(sizes.SizeNeed(12, 9), sizes.count_needed(inputs))
        kinds = {("a", True): 2, ("b", False): 5, ("c", True): 2}
        self.assertEqual(
            {**kinds, ("d", False): 4, ("d", True): 1}, count_goals(inputs)
        )
        price = sizes.compute_price(count_goals(inputs), inputs.scaling)
        self.assertAlmostEqual(8.79, price, places=2)

    def test_no_cheaper_placement_suffices(self):
        # A placement that prefers cheap domains too much needs more targets in all.
        scaling = Scaling(1, 9, timedelta(seconds=4), 0.3, {"a": 1.0, "b": 0.5})
        inputs = make_inputs(1.5, 30.0, scaling=scaling, domains=("a", "b"))
        need = sizes.count_needed(inputs)
        price = sizes.compute_price(count_goals(inputs), scaling)
        subjects = [(d, kind) for d in "ab" for kind in (False, True)]
        ranges = [range(10)] * 4
        for numbers in st_product(ranges):
            counts = dict(zip(subjects, numbers, strict=True))
            if sizes.is_enough(counts, need, inputs):
                self.assertGreaterEqual(
                    sizes.compute_price(counts, scaling) + 1e-9, price
                )

    def test_targets_are_placed_elsewhere_if_none_are_available(self):
        inputs = make_inputs()
        normal = count_goals(inputs)
        gone = {("a", True): 0, ("c", True): 0}
        counts = count_goals(replace(inputs, unavailable=gone))
        self.assertTrue(normal.get(("a", True)))
        self.assertFalse(counts.get(("a", True)) or counts.get(("c", True)))
        self.assertTrue(sizes.is_enough(counts, sizes.count_needed(inputs), inputs))

    def test_shared_parts_and_slow_sequences_need_more_targets(self):
        base = sizes.count_needed(make_inputs()).full
        read = sizes.count_needed(make_inputs(shared_ms=90_000.0)).full
        cached = sizes.count_needed(make_inputs(shared_tokens=5_000_000)).full
        bursts = sizes.count_needed(make_inputs(bursts=(1.6, 1.6))).full
        self.assertGreater(read, base)
        self.assertGreater(bursts, base)
        self.assertEqual(20, cached)

    def test_plain_services_are_sized_by_calls_and_holding_time(self):
        held = DecodeStatistics(100, 100 * 150.0, duration_ms=100 * 150.0)
        one = ("a",)
        for calls, least, most in ((10, 1, 3), (200, 6, 16)):
            inputs = make_inputs(
                is_model=False,
                domains=one,
                peak=MeasuredDemand("desk", 0.0, calls, 0.0, held),
                size=EngineSize(6),
            )
            total = sum(count_goals(inputs).values())
            self.assertTrue(least <= total <= most, f"{total} for {calls}")


def st_product(ranges):
    if not ranges:
        return [()]
    return [(n, *rest) for n in ranges[0] for rest in st_product(ranges[1:])]


class TestReplays(TestCase):
    def check_served(self, replay, orders):
        self.assertEqual([], replay.shortages)
        self.assertLessEqual(len(replay.orders), orders)

    def test_nothing_is_released_before_a_window_is_known(self):
        # Its peak came a few seconds after the release, and the first output was late.
        replay = Replay(make_deployment_a())
        replay.run(40)
        self.assertEqual([], replay.calls)

    def test_steady_load_is_served_for_a_third_of_the_price(self):
        replay = Replay(make_deployment_a())
        replay.run(60)
        replay.restart_price()
        replay.run(100)
        self.check_served(replay, 12)
        self.assertLess(replay.price_share, 0.3)
        ordered = len(replay.calls)
        replay.run(60)
        self.assertEqual(ordered, len(replay.calls))

    def test_waves_and_swaps_cause_few_orders(self):
        # Sizes that follow each wave release targets with what they cached.
        def wave(seconds):
            return (1 + 0.27 * math.sin(2 * math.pi * seconds / 11),) * 2

        def swap(seconds):
            return (1.6, 0.5) if int(seconds / 2.8) % 2 else (0.4, 1.5)

        for load in (wave, swap):
            replay = Replay(make_deployment_a(), load)
            replay.run(60)
            replay.restart_price()
            replay.run(110)
            self.check_served(replay, 18)
            self.assertLess(replay.price_share, 0.36)

    def test_a_doubling_burst_is_followed_up_at_once_and_down_later(self):
        replay = Replay(
            make_deployment_a(), lambda s: (2, 2) if 50 < s < 60 else (1, 1)
        )
        replay.run(53)
        self.assertTrue([call for call in replay.orders if call[0] > 50])
        replay.run(32)
        self.check_served(replay, 20)
        grown = sum(replay.desired.values())
        replay.run(60)
        self.assertLess(sum(replay.desired.values()), grown)

    def test_reclaimed_targets_are_replaced_elsewhere_at_once(self):
        replay = Replay(make_deployment_a())
        replay.run(110)
        before, wanted = len(replay.calls), replay.desired["a", True]
        for domain in PRICES:
            replay.reclaim(domain)
        replay.run(0.75)
        tried = [call[1:4] for call in replay.calls[before:]]
        self.assertEqual([("a", True, wanted), ("a", False, 2)], tried)
        replay.run(10)
        replay.unavailable.clear()
        replay.run(80)
        self.check_served(replay, 34)
        self.assertLessEqual(len(replay.calls) - before, 36)
        self.assertTrue(any(n for (_, r), n in replay.desired.items() if r))

    def test_a_lost_domain_and_crashed_engines_cause_no_order(self):
        replay = Replay(make_deployment_a())
        replay.run(60)
        ordered = len(replay.calls)
        replay.hide_domain("b")
        replay.run(10)
        replay.show_domain("b")
        replay.run(10)
        self.check_served(replay, 12)
        self.assertEqual(ordered, len(replay.calls))

    def test_a_new_holder_orders_nothing_that_is_in_effect(self):
        replay = Replay(make_deployment_a())
        lease = FakeLease(None)
        replay.planners.append(replay.make_planner(lease, "host-2"))
        replay.run(60)
        ordered = len(replay.calls)
        replay.lease.fence, lease.fence = None, 2
        replay.run(30)
        self.assertEqual(ordered, len(replay.calls))
        replay.reclaim("a")
        replay.run(5)
        self.assertEqual({("host-2", 2)}, {c[4:] for c in replay.calls[ordered:]})

    def test_a_new_holder_keeps_targets_that_join_late(self):
        # Ordered by the last holder, they came after the wait for them, between two
        # counts of the new holder, which then ordered the smaller number.
        replay = Replay(make_deployment_a())
        lease = FakeLease(None)
        replay.planners.append(replay.make_planner(lease, "host-2"))
        replay.run(60)
        ordered = len(replay.calls)
        subject = next(each for each, count in replay.desired.items() if count)
        start_seconds = replay.deployment.scaling.start_time.total_seconds()
        replay.lease.fence, lease.fence = None, 2
        for seconds in (start_seconds + 1.5, 0.25, 0.25, 0.25):
            replay.run(seconds)
            replay.join(subject)
        replay.run(10)
        self.assertEqual([], replay.calls[ordered:])

    def test_a_new_holder_replaces_reclaimed_targets_at_once(self):
        # It waited for what the last holder may have ordered, while engines were short.
        replay = Replay(make_deployment_a())
        replay.run(60)
        ordered = len(replay.calls)
        replay.reclaim("a")
        replay.lease.fence = 2
        replay.run(1)
        self.assertEqual(("host-1", 2), replay.calls[ordered][4:])

    def test_a_host_without_a_valid_lease_sends_nothing(self):
        replay = Replay(make_deployment_a())
        replay.lease.time_left = timedelta(milliseconds=100)
        replay.run(20)
        replay.lease.fence = None
        replay.run(20)
        self.assertEqual([], replay.calls)

    def test_silence_and_throttling_bound_the_calls(self):
        for outcome in (
            CallOutcome.UNKNOWN,
            CallOutcome.THROTTLED,
            CallOutcome.REJECTED,
            CallOutcome.UNAVAILABLE,
        ):
            replay = Replay(make_deployment_a())
            replay.outcome = outcome
            replay.run(120)
            calls = [call[0] for call in replay.calls]
            self.assertLessEqual(sum(call < 20 for call in calls), 16)
            self.assertLessEqual(sum(call < 60 for call in calls), 24)
            self.assertLessEqual(len(calls), 48)
            replay.outcome = None
            replay.run(60)
            self.check_served(replay, 20)
            self.assertLess(sum(replay.desired.values()), 30)

    def test_orders_whose_answers_are_lost_have_effect_once(self):
        replay = Replay(make_deployment_a())
        replay.lost_answers = True
        replay.run(110)
        self.check_served(replay, 24)
        self.assertLess(sum(replay.desired.values()), 30)

    def test_another_deployment_grows_and_shrinks_with_its_load(self):
        replay = Replay(
            make_small(), lambda s: (3, 3) if 80 < s < 130 else (1, 1), seed=3
        )
        replay.run(78)
        small = sum(replay.desired.values())
        replay.run(40)
        self.assertGreater(sum(replay.desired.values()), small)
        replay.run(110)
        self.assertLessEqual(sum(replay.desired.values()), small + 2)
        self.assertGreaterEqual(min(replay.desired[d, False] for d in "xy"), 2)
        self.assertEqual([], replay.shortages)

    def test_both_kinds_together_never_exceed_the_bound_of_a_domain(self):
        scaling = Scaling(1, 19, timedelta(seconds=4), 0.22, PRICES)
        replay = Replay(make_deployment_a(scaling=scaling))
        for _ in range(40):
            replay.run(1)
            for domain in PRICES:
                both = sum(replay.desired[domain, kind] for kind in (False, True))
                self.assertLessEqual(both, 19)
        self.check_served(replay, 20)

    def test_nothing_is_released_while_many_engines_change_their_role(self):
        # Those left could be the ones that change, which takes seconds.
        replay = Replay(make_deployment_a())
        for target in replay.list_all()[:12]:
            target.state = TargetState.CHANGING
        replay.run(55)
        self.assertTrue(replay.orders)
        self.assertEqual([], [c for c in replay.orders if not c[2]])
        for target in replay.list_all():
            target.state = TargetState.SERVING
        replay.run(5)
        self.assertTrue([c for c in replay.orders if not c[2]])

    def test_full_domains_make_room_without_a_loss_of_capacity(self):
        # All targets of a full domain were released before others could start.
        scaling = Scaling(1, 12, timedelta(seconds=6), 0.3, {"x": 1.0})
        full = {"scaling": scaling, "prices": {"x": 1.0}, "targets": {("x", False): 12}}
        replay = Replay(make_small(**full, tokens=60_000))
        replay.run(60)
        self.check_served(replay, 6)
        self.assertTrue(replay.desired["x", True])
        self.assertGreater(replay.lowest, 1.6)

    def test_a_service_of_a_fixed_size_gets_no_order(self):
        replay = Replay(make_deployment_a())
        services = replay.fleet.routes.services
        services["lm"] = replace(services["lm"], scaling=None)
        replay.run(10)
        self.assertEqual([], replay.calls)


class TestStartedTargets(TestCase):
    def test_load_on_a_started_target_increases_gradually(self):
        # An empty engine beside busy ones got all new prompts, each of which it had to
        # read in full.
        replay = Replay(make_deployment_a())
        replay.now += timedelta(seconds=10)
        replay.join(("a", False))
        fleet, name = replay.fleet, f"e{replay.numbers}"
        started = fleet.targets[name]
        others = [t for t in fleet.targets.values() if t.id != name]
        for other in others:
            fleet.load_of(other).work_ms = fleet.load_of(other).latency_ms = 25.0
        eligible = [t for t in (started, *others) if t.domain == "a"]
        for choose in (
            lambda view: choose_prefill(eligible, make_prompt(), (), view),
            lambda view: choose_decode(eligible, None, view),
            lambda view: choose_plain(eligible, view),
        ):
            at_once = choose(fleet.view(replay.now)).target
            later = choose(fleet.view(replay.now + timedelta(seconds=4))).target
            self.assertEqual((False, True), (at_once.id == name, later.id == name))

    def test_targets_found_at_the_start_serve_in_full(self):
        replay = Replay(make_deployment_a())
        loads = [replay.fleet.load_of(t) for t in replay.list_all()]
        self.assertEqual({None}, {load.ramps_until for load in loads})


class TestMeasuredInputs(TestCase):
    def test_calls_of_plain_services_are_measured_only_for_their_size(self):
        # Elsewhere announcements would grow by a demand that nobody reads.
        for scaling in (None, Scaling(1, 4, timedelta(seconds=2))):
            fleet = make_fleet(make_target("s1", Role.MIXED, service="desk"))
            services = fleet.routes.services
            services["desk"] = replace(services["desk"], scaling=scaling)
            clock = ManualClock()
            grants = GrantTable(fleet, clock, lambda target: None, lambda *each: None)
            for number in range(20):
                request = make_call(f"c{number}")
                grant = Grant(request.ticket, fleet.targets["s1"], 0.0, 0.0, 0, 0.0, "")
                grants.add(request, grant)
                clock.advance(timedelta(milliseconds=100))
                grants.release(SlotRelease(request.ticket, Outcome.DONE, 150.0, 150.0))
            if scaling is None:
                self.assertEqual({}, grants.demand)
                continue
            demand = grants.demand["desk"]
            measured = workload.measure_demand("desk", demand, clock.monotonic())
            self.assertAlmostEqual(10.0, measured.decode_rate, delta=1.5)
            self.assertAlmostEqual(150.0, measured.decode.fit()[0], delta=1.0)

    def test_parts_of_single_requests_are_not_read_by_new_targets(self):
        fleet = make_fleet(*(make_target(f"e{n}") for n in range(4)))
        for number, target in enumerate(fleet.targets.values()):
            load = fleet.load_of(target)
            record_parts(load, (PartDigest(7, 5500),), 10**6, timedelta(0))
            own = PartDigest(100 + number // 2, 3000)
            record_parts(load, (own,), 10**6, timedelta(0))
        targets = list(fleet.targets.values())
        self.assertEqual(5500, count_shared_tokens(fleet, targets))
