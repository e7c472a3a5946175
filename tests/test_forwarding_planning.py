"""Check when engines are ordered to change their role."""

import asyncio
from dataclasses import replace
from datetime import timedelta

from result import Ok
from testtools import TestCase

from galenapass.forwarding.engine_states import merge_engine_state
from galenapass.forwarding.planning import RolePlanner
from galenapass.forwarding.routes import Scaling
from galenapass.forwarding.target_messages import EngineState, OrderOutcome
from galenapass.tables.targets import Role, TargetState
from tests.forwarding_fakes import make_fleet, make_target

PERIOD = timedelta(milliseconds=250)


class FakeLeaseKeeper:
    """Fake lease keeper that always holds the lease."""

    is_holder = True
    fence = 1

    async def step(self):
        """Do nothing, as the lease is held."""

    async def release(self):
        """Do nothing, as there is no other candidate."""


class FakeEngines:
    """Fake engines that change their role ``change_time`` after an order."""

    def __init__(self, *targets, change_time=timedelta(seconds=4)):
        self.fleet = make_fleet(*targets)
        self.fleet.first_joined = self.fleet.last_joined = timedelta(0)
        self.now = timedelta(seconds=100)
        self.change_time = change_time
        self.accepted_orders = []
        self.changes = {}

    def monotonic(self):
        return self.now

    async def fetch_state(self, target):
        # An engine that changes its role reports the new one.
        role, at = self.changes.get(target.id, (target.role, None))
        return Ok(EngineState(0, at is not None, role, "", 0, 0))

    async def order_role(self, target, role, holder, fence, orders):
        self.accepted_orders.append((target.id, role))
        self.changes[target.id] = (role, self.now + self.change_time)
        return OrderOutcome.ACCEPTED

    def advance(self):
        self.now += PERIOD
        for name, (role, at) in list(self.changes.items()):
            if at <= self.now:
                del self.changes[name]
                self.fleet.targets[name] = replace(
                    self.fleet.targets[name], role=role, state=TargetState.SERVING
                )

    async def check(self, target):
        state = (await self.fetch_state(target)).ok_value
        updated = merge_engine_state(target, state)
        if updated is not None:
            self.fleet.targets[target.id] = updated


class PlannerCase(TestCase):
    def make_planner(self, engines, share, **options):
        return RolePlanner(
            engines.fleet,
            FakeLeaseKeeper(),
            engines,
            engines,
            lambda service: share,
            engines.check,
            **options,
        )

    def simulate(self, engines, planner, seconds):
        async def run_steps():
            steps = timedelta(seconds=seconds) // PERIOD
            for _ in range(steps):
                await planner.step()
                await asyncio.sleep(0)
                engines.advance()

        asyncio.run(run_steps())


class TestPlanner(PlannerCase):
    def test_no_second_engine_is_ordered_during_a_long_change(self):
        # An engine with long outputs took 7 s to change. A second one was ordered after
        # 6 s and then back, which left one engine to decode.
        targets = [make_target(f"p{n}") for n in range(6)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(3)]
        engines = FakeEngines(*targets, change_time=timedelta(seconds=12))
        self.simulate(engines, self.make_planner(engines, 7 / 9), seconds=30)
        self.assertEqual([Role.PREFILL], [role for _, role in engines.accepted_orders])

    def test_engines_that_are_away_for_seconds_change_no_role(self):
        # A domain that was cut off for 5 s led to five orders, four of which were
        # undone afterwards.
        targets = [make_target(f"p{n}") for n in range(6)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(3)]
        engines = FakeEngines(*targets)
        away = [engines.fleet.targets[name] for name in ("p0", "p1", "d0")]
        planner = self.make_planner(engines, share=6 / 9)
        self.simulate(engines, planner, seconds=5)
        for target in away:
            del engines.fleet.targets[target.id]
        self.simulate(engines, planner, seconds=4)
        engines.fleet.targets |= {target.id: target for target in away}
        self.simulate(engines, planner, seconds=30)
        self.assertEqual([], engines.accepted_orders)

    def test_a_role_without_engines_is_filled_at_once(self):
        targets = [make_target(f"p{n}") for n in range(5)]
        engines = FakeEngines(*targets, make_target("d1", Role.DECODE))
        planner = self.make_planner(engines, share=5 / 6)
        self.simulate(engines, planner, seconds=5)
        del engines.fleet.targets["d1"]
        self.simulate(engines, planner, seconds=1)
        self.assertEqual([Role.DECODE], [role for _, role in engines.accepted_orders])

    def test_engines_that_stay_away_are_replaced_in_their_role(self):
        targets = [make_target(f"p{n}") for n in range(6)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(3)]
        engines = FakeEngines(*targets)
        planner = self.make_planner(engines, share=6 / 9)
        self.simulate(engines, planner, seconds=5)
        for name in ("d0", "d1"):
            del engines.fleet.targets[name]
        self.simulate(engines, planner, seconds=6)
        self.assertEqual([Role.DECODE], [role for _, role in engines.accepted_orders])

    def test_a_leaving_engine_is_replaced_in_its_role_at_once(self):
        # The number of engines counted as settled only 5 s later, and the one engine
        # that was left to decode refused 1,300 requests.
        targets = [make_target(f"p{n}") for n in range(3)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(2)]
        engines = FakeEngines(*targets)
        planner = self.make_planner(engines, share=3 / 5)
        self.simulate(engines, planner, seconds=5)
        engines.fleet.targets["d0"] = make_target(
            "d0", Role.DECODE, state=TargetState.LEAVING
        )
        self.simulate(engines, planner, seconds=1)
        self.assertEqual([Role.DECODE], [role for _, role in engines.accepted_orders])
        del engines.fleet.targets["d0"]
        self.simulate(engines, planner, seconds=10)
        self.assertEqual(1, len(engines.accepted_orders))

    def test_a_new_lease_holder_does_not_repeat_orders_in_progress(self):
        # The holder of the lease was cut off after six orders. The next holder did not
        # know of them, sent six more and undid ten.
        targets = [make_target(f"p{n}") for n in range(17)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(13)]
        engines = FakeEngines(*targets)
        first = self.make_planner(engines, share=23 / 30)
        self.simulate(engines, first, seconds=1)
        self.assertEqual(6, len(engines.accepted_orders))
        engines.fleet.targets |= {t.id: t for t in targets}
        self.simulate(engines, self.make_planner(engines, share=23 / 30), seconds=20)
        self.assertEqual(6, len(engines.accepted_orders))

    def test_an_order_without_effect_is_repeated(self):
        engines = FakeEngines(make_target("p1"), make_target("p2"), make_target("p3"))
        order = engines.order_role

        async def lose_first(target, role, *rest):
            outcome = await order(target, role, *rest)
            if len(engines.accepted_orders) == 1:
                engines.changes.clear()
            return outcome

        engines.order_role = lose_first
        self.simulate(engines, self.make_planner(engines, 2 / 3), seconds=30)
        self.assertEqual(
            [Role.DECODE] * 2, [role for _, role in engines.accepted_orders]
        )

    def test_a_service_that_is_removed_during_an_order(self):
        # The planner failed and was started again without a record of the order. When
        # the service was back, the engine was ordered once more.
        engines = FakeEngines(*(make_target(f"p{n}") for n in range(3)))
        routes = engines.fleet.routes
        order = engines.order_role

        async def remove_service(*args):
            outcome = await order(*args)
            engines.changes.clear()
            engines.fleet.routes = replace(routes, services={})
            return outcome

        engines.order_role = remove_service
        planner = self.make_planner(engines, 2 / 3)
        self.simulate(engines, planner, seconds=1)
        engines.fleet.routes = routes
        self.simulate(engines, planner, seconds=2)
        self.assertEqual([Role.DECODE], [role for _, role in engines.accepted_orders])


class TestCutOffHolder(PlannerCase):
    def test_a_holder_that_reaches_no_engine_releases_the_lease(self):
        engines = FakeEngines(*(make_target(f"e{n}", Role.PREFILL) for n in range(4)))
        planner = self.make_planner(engines, 0.5, is_cut_off=lambda: True)
        released = []

        async def release():
            released.append(1)

        planner._keeper.release = release
        self.simulate(engines, planner, 20)
        self.assertTrue(released)
        self.assertEqual([], engines.accepted_orders)


class TestLostEngines(PlannerCase):
    """Engines fall silent at once; their entries lapse three heartbeats later."""

    def make_engines(self, *versions):
        """Return three prefill engines and one decode engine of each version."""
        return FakeEngines(
            *(
                make_target(f"{name}-{version}", role, version=version)
                for version in versions
                for name, role in (
                    ("p0", Role.PREFILL),
                    ("p1", Role.PREFILL),
                    ("p2", Role.PREFILL),
                    ("d0", Role.DECODE),
                )
            )
        )

    def play(self, engines, crashed, share=0.75):
        """Return the versions and roles of the orders within a second of a crash."""
        crashes = set()
        planner = self.make_planner(
            engines, share, has_crashed=lambda target, _: target.id in crashes
        )
        self.simulate(engines, planner, seconds=5)
        self.assertEqual([], engines.accepted_orders)
        crashes |= set(crashed)
        self.simulate(engines, planner, seconds=1)
        return planner, sorted(
            (engines.fleet.targets[name].version, role)
            for name, role in engines.accepted_orders
        )

    def test_lost_all_engines_that_decode_fall_silent_at_once(self):
        engines = self.make_engines("v1", "v2")
        _, orders = self.play(engines, ["d0-v1", "d0-v2"])
        self.assertEqual([("v1", Role.DECODE), ("v2", Role.DECODE)], orders)

    def test_lost_the_only_decode_engine_of_one_of_two_versions(self):
        # The order was due 5 s after the entry had lapsed, when no client came back.
        engines = self.make_engines("v1", "v2")
        _, orders = self.play(engines, ["d0-v1"])
        self.assertEqual([("v1", Role.DECODE)], orders)

    def test_another_decode_engine_of_the_version_is_enough(self):
        engines = self.make_engines("v1")
        engines.fleet.targets["d1"] = make_target("d1", Role.DECODE, version="v1")
        _, orders = self.play(engines, ["d0-v1"], share=0.6)
        self.assertEqual([], orders)

    def test_an_engine_that_does_not_answer_gets_no_order(self):
        engines = self.make_engines("v1")
        silent = engines.fleet.targets["p0-v1"]
        engines.fleet.load_of(silent).silent_since = engines.now
        engines.fleet.load_of(silent).missed_at = engines.now + timedelta(seconds=5)
        self.play(engines, ["d0-v1"])
        self.assertEqual([("p1-v1", Role.DECODE)], engines.accepted_orders)

    def test_a_silent_engine_that_is_back_leads_to_one_order_and_its_reverse(self):
        engines = self.make_engines("v1")
        planner, orders = self.play(engines, ["d0-v1"])
        self.assertEqual([("v1", Role.DECODE)], orders)
        load = engines.fleet.load_by_id("d0-v1")
        load.reached_at = engines.now
        planner._has_crashed = lambda target, _: False
        self.simulate(engines, planner, seconds=30)
        self.assertEqual(
            [Role.DECODE, Role.PREFILL], [role for _, role in engines.accepted_orders]
        )

    def test_an_entry_that_lapses_confirms_that_a_silent_engine_crashed(self):
        # The hosts had agreed less than 1.5 s before.
        engines = self.make_engines("v1", "v2")
        silent = set()
        planner = self.make_planner(
            engines,
            0.75,
            has_crashed=lambda target, min_silence: (
                target.id in silent and not min_silence
            ),
        )
        self.simulate(engines, planner, seconds=5)
        silent.add("d0-v1")
        self.simulate(engines, planner, seconds=1)
        self.assertEqual([], engines.accepted_orders)
        del engines.fleet.targets["d0-v1"]
        self.simulate(engines, planner, seconds=1)
        self.assertEqual([Role.DECODE], [role for _, role in engines.accepted_orders])
        (name,) = [name for name, _ in engines.accepted_orders]
        self.assertEqual("v1", engines.fleet.targets[name].version)

    def test_no_order_while_a_version_loses_its_entry_for_other_reasons(self):
        # A runner may leave without a notice, and serves on for a while.
        engines = self.make_engines("v1", "v2")
        planner = self.make_planner(engines, 0.75)
        self.simulate(engines, planner, seconds=5)
        del engines.fleet.targets["d0-v1"]
        self.simulate(engines, planner, seconds=2)
        self.assertEqual([], engines.accepted_orders)


class TestSizesThatChange(PlannerCase):
    def make_engines(self):
        targets = [make_target(f"p{n}") for n in range(6)]
        targets += [make_target(f"d{n}", Role.DECODE) for n in range(3)]
        engines = FakeEngines(*targets)
        services = engines.fleet.routes.services
        scaling = Scaling(1, 35, timedelta(seconds=4))
        services["lm"] = replace(services["lm"], scaling=scaling)
        return engines

    def test_started_engines_get_the_missing_role_at_once(self):
        # The number of engines counted as settled only 5 s after each order, and the
        # engines with cached parts changed instead of the empty ones.
        engines = self.make_engines()
        planner = self.make_planner(engines, 6 / 9, is_resizing=lambda service: True)
        self.simulate(engines, planner, seconds=5)
        for n in range(3):
            engines.fleet.targets[f"n{n}"] = make_target(f"n{n}")
        self.simulate(engines, planner, seconds=1)
        names = [name for name, _ in engines.accepted_orders]
        self.assertEqual(["n0"], names)
        self.assertIs(Role.DECODE, engines.accepted_orders[0][1])

    def test_released_and_leaving_engines_hold_no_roles_up_and_get_none(self):
        engines = self.make_engines()
        planner = self.make_planner(engines, 6 / 9, is_resizing=lambda service: True)
        self.simulate(engines, planner, seconds=5)
        del engines.fleet.targets["d0"]
        for name, role in (("d1", Role.DECODE), ("p0", Role.PREFILL)):
            target = make_target(name, role, state=TargetState.LEAVING)
            engines.fleet.targets[name] = target
        self.simulate(engines, planner, seconds=1)
        self.assertEqual([Role.DECODE], [role for _, role in engines.accepted_orders])
        self.assertNotIn("p0", [name for name, _ in engines.accepted_orders])

    def test_crashed_engines_still_wait_while_no_size_changes(self):
        engines = self.make_engines()
        planner = self.make_planner(engines, share=6 / 9)
        self.simulate(engines, planner, seconds=5)
        del engines.fleet.targets["d0"]
        self.simulate(engines, planner, seconds=4)
        self.assertEqual([], engines.accepted_orders)
