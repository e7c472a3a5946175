"""Check what schedulers do with targets that limit the rate of their requests."""

from datetime import timedelta

from testtools import TestCase

from galenapass.forwarding import placement
from galenapass.forwarding.admission import SlotCounts
from galenapass.forwarding.permits import Permit
from galenapass.forwarding.rate_limits import RateLimit
from galenapass.forwarding.slot_requests import Stage
from galenapass.tables.targets import Role
from galenapass.verdicts import Reason
from tests.forwarding_fakes import MS, make_fleet, make_prompt, make_target
from tests.test_forwarding_scheduling import (
    make_plain_target,
    make_slot_request,
    run_with_scheduler,
)

DECODE, PREFILL = Role.DECODE, Role.PREFILL


def limit(fleet, name, rate):
    target = fleet.targets[name]
    fleet.rate_limits[name, target.incarnation] = RateLimit(rate, 0 * MS)
    return Permit((name, target.incarnation))


def list_granted_targets(harness):
    return [
        first.ok_value.target.id
        for first, *_ in harness.answers.values()
        if first.is_ok()
    ]


class TestGrants(TestCase):
    def test_each_grant_at_a_limited_target_uses_a_permit(self):
        async def scenario(harness):
            permit = limit(harness.fleet, "s1", 2.0)
            for _ in range(2):
                harness.permits.apply_permit(permit)
            for number in range(4):
                harness.submit(make_slot_request(f"c{number}"))
            await harness.settle()
            self.assertEqual(["s1", "s1"], list_granted_targets(harness))

        run_with_scheduler(scenario, make_plain_target(slots=8))

    def test_other_targets_are_used_at_once_while_a_permit_is_missing(self):
        async def scenario(harness):
            limit(harness.fleet, "e1", 2.0)
            for number in range(4):
                harness.submit(make_slot_request(f"r{number}", Stage.PREFILL))
            await harness.settle()
            self.assertEqual(["e2"] * 4, list_granted_targets(harness))

        run_with_scheduler(
            scenario,
            make_target("e1"),
            make_target("e2"),
            make_target("d1", DECODE, slots=8),
        )

    def test_a_decode_waits_for_a_permit_of_the_only_engine(self):
        async def scenario(harness):
            permit = limit(harness.fleet, "d1", 2.0)
            harness.submit(make_slot_request("r1", Stage.DECODE))
            await harness.settle()
            self.assertEqual([], harness.granted())
            harness.permits.apply_permit(permit)
            harness.scheduler.wake()
            await harness.settle()
            self.assertEqual(["r1"], harness.granted())

        run_with_scheduler(
            scenario, make_target("e1"), make_target("d1", DECODE, slots=8)
        )

    def test_prompts_are_not_prefilled_for_a_limited_engine_that_others_wait_for(self):
        # Its slots stay free, so every prompt would be prefilled and then wait.
        async def scenario(harness):
            limit(harness.fleet, "d1", 2.0)
            for number in range(2):
                harness.submit(make_slot_request(f"w{number}", Stage.DECODE))
            harness.submit(make_slot_request("r1", Stage.PREFILL))
            await harness.settle()
            self.assertEqual([], harness.granted())

        run_with_scheduler(
            scenario, make_target("e1"), make_target("d1", DECODE, slots=8)
        )

    def test_the_end_of_a_limit_of_zero_can_be_noticed(self):
        # Without any usable slot no prompt would be prefilled, and no answer of the
        # only engine would lift the limit.
        async def scenario(harness):
            limit(harness.fleet, "d1", 0.0)
            harness.submit(make_slot_request("r1", Stage.PREFILL, deadline=9000))
            await harness.settle()
            self.assertEqual(["r1"], harness.granted())

        run_with_scheduler(
            scenario, make_target("e1"), make_target("d1", DECODE, slots=8)
        )


class TestRefusals(TestCase):
    def test_calls_beyond_the_limits_of_all_targets_are_refused_at_once(self):
        async def scenario(harness):
            for name in ("s1", "s2"):
                limit(harness.fleet, name, 1.0)
            for number in range(20):
                harness.submit(make_slot_request(f"c{number}", deadline=3000))
            await harness.settle()
            refused = harness.refused()
            # Two a second in 3 s.
            self.assertEqual(20 - 5, len(refused))
            for verdict in refused.values():
                self.assertIs(Reason.OVERLOADED, verdict.reason)
                self.assertGreaterEqual(verdict.retry_after, 200 * MS)

        run_with_scheduler(
            scenario, make_plain_target(8), make_plain_target(8, name="s2")
        )

    def test_prompts_beyond_the_limits_of_all_decode_engines_are_refused_at_once(self):
        async def scenario(harness):
            limit(harness.fleet, "d1", 1.0)
            for number in range(20):
                slot_request = make_slot_request(
                    f"r{number}", Stage.PREFILL, deadline=3000
                )
                harness.submit(slot_request)
            await harness.settle()
            self.assertGreaterEqual(len(harness.refused()), 20 - 4)
            self.assertLessEqual(len(harness.granted()), 1)

        run_with_scheduler(
            scenario, make_target("e1"), make_target("d1", DECODE, slots=64)
        )

    def test_the_wait_grows_with_the_requests_ahead_at_limited_targets(self):
        slots = SlotCounts(free=8, total=8, holding_ms=20.0, start_rate=4.0)
        self.assertEqual([250.0, 500.0, 750.0], [slots.wait_ms(n) for n in range(3)])
        shared = SlotCounts(8, 8, 20.0, schedulers=6, start_rate=4.0)
        self.assertEqual(1750.0, shared.wait_ms(1))


class TestPlacement(TestCase):
    def test_a_limited_engine_counts_with_the_slots_that_its_rate_fills(self):
        fleet = make_fleet(make_target("d1", DECODE, slots=64))
        fleet.load_by_id("d1").holding_ms = 1500.0
        limit(fleet, "d1", 2.0)
        serving = list(fleet.targets.values())
        self.assertEqual((3, 3), placement.count_decode_slots(serving, fleet.view(MS)))
        # Sequences that began before do not take slots of other engines.
        fleet.load_by_id("d1").requests = 40
        self.assertEqual((0, 3), placement.count_decode_slots(serving, fleet.view(MS)))

    def test_a_limited_engine_is_not_the_home_of_shared_parts(self):
        engines = [make_target(f"e{n}") for n in range(4)]
        prompt = make_prompt(shared=8000)

        def choose(fleet):
            parts = make_slot_request("r1", Stage.PREFILL, prompt=prompt).shared_parts
            view = fleet.view(timedelta(seconds=1))
            return placement.choose_prefill(engines, prompt, parts, view).target.id

        fleet = make_fleet(*engines)
        home = choose(fleet)
        limit(fleet, home, 2.0)
        self.assertNotEqual(home, choose(fleet))
