"""Check the choice of targets and the load estimates that it depends on."""

from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.systems import admission, estimates, routing
from galenapass.tables.requests import Request, Urgency
from galenapass.tables.targets import LoadChange, LoadReport, Role, Target, TargetKind
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict


def seconds(value):
    return timedelta(seconds=value)


def make_world(roles=(Role.MIXED,) * 3, kind=TargetKind.ENGINE):
    world = World("d1", "west")
    for number, role in enumerate(roles):
        name = f"t{number}"
        world.targets[name] = Target(
            name, f"10.0.0.{number}:1", "west", kind, "notes", role
        )
    return world


def make_request(number=0, urgency=Urgency.NORMAL, patience=60.0, **fields):
    values = {"prompt_tokens": 400, "output_tokens": 50, **fields}
    return Request(
        f"r{number}",
        "guide",
        "notes",
        timedelta(0),
        seconds(patience),
        urgency,
        **values,
    )


class TestChoice(TestCase):
    @given(st.lists(st.integers(0, 2**64 - 1), min_size=1, max_size=20))
    def test_equal_prefixes_share_a_target_under_even_load(self, blocks):
        first, second = make_world(), make_world()
        one = make_request(1, blocks=tuple(blocks))
        other = make_request(2, blocks=(*blocks[:16], *blocks[16:], 7)[: len(blocks)])
        left = routing.choose_target(first, one, seconds(0), Random(1))
        right = routing.choose_target(second, other, seconds(0), Random(1))
        self.assertEqual(left.target, right.target)

    def test_frequent_prefix_spreads_within_the_load_bound(self):
        world = make_world()
        for number in range(30):
            request = make_request(number, blocks=(1, 2, 3, 4))
            choice = routing.choose_target(world, request, seconds(0), Random(number))
            admission.reserve(world, request, choice, seconds(0))
        busiest = max(t.own_requests for t in world.targets.values())
        self.assertLessEqual(busiest, routing.LOAD_BOUND * 31 / 3 + 1)

    def test_split_request_needs_both_roles(self):
        world = make_world((Role.PREFILL, Role.DECODE))
        choice = routing.choose_target(world, make_request(), seconds(0), Random(1))
        self.assertEqual(("t1", "t0"), (choice.target, choice.prefill_target))
        del world.targets["t0"]
        choice = routing.choose_target(world, make_request(), seconds(0), Random(1))
        self.assertIsNone(choice)


class TestEstimates(TestCase):
    def test_peer_announcement_counts_until_a_report_includes_it(self):
        target = make_world().targets["t0"]
        report = LoadReport("a", 1, 3, 0, 0, 30, 2000, 16)
        estimates.apply_load_report(target, report, seconds(10))
        estimates.record_peer_change(target, LoadChange(seconds(11), 1, 400, 30))
        load = estimates.estimate_load(target, seconds(11))
        self.assertEqual((4, 400, 60), (load.requests, load.prefill, load.pieces))
        report = LoadReport("a", 2, 4, 0, 0, 60, 2000, 16)
        estimates.apply_load_report(target, report, seconds(13))
        self.assertEqual(4, estimates.estimate_load(target, seconds(13)).requests)


class TestFailures(TestCase):
    def fail(self, world, sent, now):
        request = make_request(dispatched=seconds(sent))
        request.target = "t0"
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        estimates.learn_from_attempt(world, request, verdict, seconds(now))

    def test_streams_that_break_together_count_as_one_failure(self):
        world = make_world()
        for number in range(20):
            self.fail(world, sent=number / 20, now=1.0 + number / 1000)
        self.assertIn(
            world.targets["t0"],
            estimates.list_usable_targets(world, "notes", seconds(2)),
        )

    def test_each_later_failure_is_counted(self):
        world = make_world()
        for number in range(4):
            self.fail(world, sent=number, now=number + 0.5)
        self.assertEqual(4, world.targets["t0"].failures)
        usable = estimates.list_usable_targets(world, "notes", seconds(3.6))
        self.assertNotIn(world.targets["t0"], usable)
