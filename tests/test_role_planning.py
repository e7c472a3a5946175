"""Test when role changes are proposed and when they are not."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.systems import demand, role_planning
from galenapass.tables.configurations import Service
from galenapass.tables.demand import Demand
from galenapass.tables.targets import Role, TargetKind, TargetState
from tests.test_routing import make_request, make_world, seconds

roles = st.lists(st.sampled_from(Role), min_size=2, max_size=9)
levels = st.floats(0, 20)


def make_demand(world, prefill, decode):
    entry = Demand("notes", samples=role_planning.MIN_SAMPLES)
    entry.prefill.level = prefill
    entry.decode.level = decode
    world.demand.demands["notes"] = entry


class TestProposals(TestCase):
    @given(roles, levels, levels, st.integers(0, 3), st.integers(0, 3))
    def test_floors_hold_and_gain_exceeds_cost(self, mix, prefill, decode, fp, fd):
        world = make_world(tuple(mix))
        service = Service("notes", TargetKind.ENGINE, floor_prefill=fp, floor_decode=fd)
        world.configuration = replace(
            world.configuration, services={"notes": service}, role_change_weight=2.0
        )
        make_demand(world, prefill, decode)
        for change in role_planning.propose_changes(world, seconds(100)):
            self.assertGreater(change.gain, change.cost)
            role_planning.record_role(
                world, change.target, Role(change.value), seconds(100)
            )
            after = [t.role for t in world.targets.values()]
            self.assertGreaterEqual(len(after) - after.count(Role.DECODE), fp)
            self.assertGreaterEqual(len(after) - after.count(Role.PREFILL), fd)

    @given(roles, st.lists(st.tuples(levels, levels), min_size=1, max_size=60))
    def test_no_target_changes_twice_within_the_interval(self, mix, shifts):
        world = make_world(tuple(mix))
        last = {}
        for number, (prefill, decode) in enumerate(shifts):
            now = seconds(5 * number)
            make_demand(world, prefill, decode)
            for change in role_planning.propose_changes(world, now):
                earlier = last.get(change.target, timedelta(days=-1))
                self.assertGreaterEqual(
                    now - earlier, role_planning.MIN_CHANGE_INTERVAL
                )
                last[change.target] = now
                role_planning.record_role(world, change.target, Role(change.value), now)

    @given(roles, levels, levels)
    def test_changes_cease_under_a_steady_demand(self, mix, prefill, decode):
        world = make_world(tuple(mix))
        make_demand(world, prefill, decode)
        changes = 0
        for number in range(3 * len(mix)):
            now = seconds(61 * number)
            for change in role_planning.propose_changes(world, now):
                changes += 1
                role_planning.record_role(world, change.target, Role(change.value), now)
        self.assertLessEqual(changes, len(mix))

    def test_one_domain_acts_and_one_target_at_a_time(self):
        world = make_world((Role.MIXED,) * 9)
        for number, target in enumerate(world.targets.values()):
            target.domain = ("west", "east", "south")[number % 3]
        make_demand(world, 9.0, 1.0)
        acting = []
        for domain in ("west", "east", "south"):
            world.domain = domain
            acting += role_planning.propose_changes(world, seconds(100))
        self.assertEqual(1, len(acting))
        world.domain = world.targets[acting[0].target].domain
        world.targets[acting[0].target].state = TargetState.DRAINING
        for domain in ("west", "east", "south"):
            world.domain = domain
            self.assertEqual([], role_planning.propose_changes(world, seconds(100)))

    def test_a_higher_weight_prevents_changes(self):
        world = make_world((Role.MIXED,) * 9)
        make_demand(world, 6.0, 1.0)
        self.assertEqual(1, len(role_planning.propose_changes(world, seconds(100))))
        world.configuration = replace(world.configuration, role_change_weight=20.0)
        self.assertEqual([], role_planning.propose_changes(world, seconds(100)))


class TestDemand(TestCase):
    def test_the_level_follows_a_step_and_the_trend_runs_ahead(self):
        world = make_world()
        arrived = 0
        for second in range(120):
            for number in range(2 + second // 20):
                request = make_request(number, prompt_tokens=1000)
                demand.record_arrival(world, request, seconds(second))
                arrived += second >= 100
            demand.sample(world, seconds(second))
        entry = world.demand.demands["notes"]
        self.assertAlmostEqual(arrived / 20 / 10, entry.prefill.level, delta=0.15)
        ahead = demand.forecast(entry.prefill, seconds(20))
        self.assertGreater(ahead, entry.prefill.level)

    @given(levels, levels)
    def test_peers_add_to_the_demand_until_they_fall_silent(self, prefill, decode):
        world = make_world()
        reported = {"notes": demand.PeerDemand(prefill, decode, seconds(0))}
        demand.apply_peer_demand(world, "d2", reported, seconds(0))
        demand.sample(world, seconds(2))
        entry = world.demand.demands["notes"]
        self.assertAlmostEqual(prefill, entry.prefill.level)
        for second in range(14, 200, 2):
            demand.sample(world, seconds(second))
        self.assertLess(entry.prefill.level, max(0.2, 0.1 * prefill))
