"""Check how daemons query engine states and apply them to the target table."""

import asyncio
from datetime import timedelta

from result import Err, Ok
from testtools import TestCase

from galenapass.forwarding import loads, placement
from galenapass.forwarding.engine_states import (
    PROBE_INTERVAL,
    EngineStateTracker,
    merge_engine_state,
)
from galenapass.forwarding.fleet import apply_target_entry
from galenapass.forwarding.target_messages import EngineState
from galenapass.tables.targets import Role, TargetState
from galenapass.verdicts import Reason, Run, Verdict
from tests.forwarding_fakes import MS, make_fleet, make_target

GONE = Err(Verdict(Run.NOT_RUN, Reason.TARGET_UNREACHABLE))


def make_state(role=Role.DECODE, changing=False, incarnation=""):
    return EngineState(0, changing, role, incarnation, 0, 0)


class FakeEngines:
    """Fake engines, clock and wake-up of waiting requests, with a tracker."""

    def __init__(self, *targets):
        self.fleet = make_fleet(*targets)
        self.answers = {}
        self.queried = []
        self.now = timedelta(seconds=10)
        self.woken = 0
        self.on_fetch = lambda: None
        self.states = EngineStateTracker(self.fleet, self, self, self._wake)

    def monotonic(self):
        return self.now

    async def fetch_state(self, target):
        self.queried.append(target.id)
        self.on_fetch()
        return self.answers[target.id]

    def _wake(self):
        self.woken += 1

    def probe_unreachable(self):
        targets = [t for t in self.fleet.targets.values() if t.role is Role.DECODE]
        asyncio.run(self.states.probe_unreachable(targets))

    def lacks_decode_engine(self):
        targets = list(self.fleet.targets.values())
        return placement.lacks_decode_engine(targets, self.fleet.view(self.now))


class TestEngineStates(TestCase):
    def test_a_state_applies_only_to_its_incarnation(self):
        known = make_target("d1", Role.DECODE)
        self.assertIsNone(merge_engine_state(known, make_state()))
        self.assertIs(
            Role.PREFILL, merge_engine_state(known, make_state(Role.PREFILL)).role
        )
        changing = merge_engine_state(known, make_state(changing=True))
        self.assertIs(TargetState.CHANGING, changing.state)
        other = make_state(Role.PREFILL, incarnation="another")
        self.assertIsNone(merge_engine_state(known, other))
        leaving = make_target("d2", Role.DECODE, state=TargetState.LEAVING)
        self.assertIsNone(merge_engine_state(leaving, make_state(Role.PREFILL)))

    def test_a_changing_engine_keeps_its_ordered_role(self):
        # An engine that still finished its work reported its old role. The next holder
        # of the lease counted it as decoding and ordered the last engine that really
        # decoded to prefill.
        ordered = make_target("d1", state=TargetState.CHANGING)
        updated = merge_engine_state(ordered, make_state(Role.DECODE, changing=True))
        self.assertIsNone(updated)
        done = merge_engine_state(ordered, make_state(Role.PREFILL))
        self.assertEqual((Role.PREFILL, TargetState.SERVING), (done.role, done.state))

    def test_an_ordered_engine_gets_no_work_until_it_serves(self):
        engines = FakeEngines(make_target("e1"), make_target("d1", Role.DECODE))
        engines.answers["d1"] = Ok(make_state(Role.PREFILL))
        target, states = engines.fleet.targets["d1"], []
        engines.on_fetch = lambda: states.append(engines.fleet.targets["d1"].state)
        asyncio.run(engines.states.track_order(target, Role.PREFILL, own=True))
        self.assertEqual([TargetState.CHANGING], states)
        now = engines.fleet.targets["d1"]
        self.assertEqual((Role.PREFILL, TargetState.SERVING), (now.role, now.state))

    def test_an_engine_that_refuses_often_is_queried_once_a_second(self):
        engines = FakeEngines(make_target("d1", Role.DECODE))
        engines.answers["d1"] = Ok(make_state())
        target = engines.fleet.targets["d1"]
        for _ in range(5):
            asyncio.run(engines.states.check(target))
        self.assertEqual(["d1"], engines.queried)
        engines.now += timedelta(seconds=1)
        asyncio.run(engines.states.check(target))
        self.assertEqual(["d1", "d1"], engines.queried)

    def test_an_entry_overrides_a_state_that_arrives_just_after_it(self):
        # An engine's state was 0.1 s old and undid its new role in the table for 15 s.
        target = make_target("d1", Role.PREFILL)
        engines = FakeEngines(target)
        engines.answers["d1"] = Ok(make_state(changing=True))
        engines.on_fetch = lambda: apply_target_entry(
            engines.fleet, target, engines.now
        )
        asyncio.run(engines.states.check(target))
        self.assertEqual(target, engines.fleet.targets["d1"])

    def test_no_request_is_sent_to_engines_that_do_not_answer(self):
        # Domains that were cut off got one request every 0.3 s, and all others that
        # arrived before it timed out: 100 prefills were wasted.
        far = [make_target(f"d{n}", Role.DECODE, domain="b") for n in range(3)]
        engines = FakeEngines(make_target("e1"), *far)
        for target in far:
            engines.answers[target.id] = GONE
        loads.record_reachability(
            engines.fleet.domain_failures_of(far[0]), False, engines.now
        )
        for _ in range(60):
            self.assertTrue(engines.lacks_decode_engine())
            engines.probe_unreachable()
            engines.now += 50 * MS
        self.assertEqual(["d0", "d1", "d2"], engines.queried[:3])
        self.assertEqual(3000 * MS // PROBE_INTERVAL, len(engines.queried))
        self.assertEqual(0, engines.woken)

    def test_a_probed_engine_that_changes_is_queried_until_it_serves(self):
        # Such an engine was never queried again and got no more work.
        engines = FakeEngines(make_target("e1"), make_target("d1", Role.DECODE))
        loads.record_reachability(
            engines.fleet.domain_failures_of(make_target("d1")), False, engines.now
        )
        engines.answers["d1"] = Ok(make_state(changing=True))
        states = []

        def answer():
            states.append(engines.fleet.targets["d1"].state)
            if len(states) == 2:
                engines.answers["d1"] = Ok(make_state())

        engines.on_fetch = answer
        engines.probe_unreachable()
        self.assertIs(TargetState.CHANGING, states[1])
        self.assertIs(TargetState.SERVING, engines.fleet.targets["d1"].state)

    def test_one_answer_makes_a_domain_reachable_again(self):
        far = [make_target(f"d{n}", Role.DECODE, domain="b") for n in range(2)]
        engines = FakeEngines(make_target("e1"), *far)
        for _ in range(4):
            loads.record_reachability(
                engines.fleet.domain_failures_of(far[0]), False, engines.now
            )
        self.assertTrue(engines.lacks_decode_engine())
        engines.answers["d0"] = Ok(make_state())
        engines.probe_unreachable()
        self.assertFalse(engines.lacks_decode_engine())
        self.assertEqual(1, engines.woken)

    def test_a_silent_engine_is_confirmed_without_blaming_its_domain(self):
        # Probes of crashed engines marked their domain down, and with it the engine
        # that had taken over their role.
        crashed = make_target("d1", Role.DECODE)
        sound = make_target("d2", Role.DECODE)
        engines = FakeEngines(crashed, sound)
        engines.answers = {"d1": GONE, "d2": Ok(make_state())}
        silence = 800 * MS
        asyncio.run(engines.states.confirm_silence([crashed, sound], silence))
        loads_by_id = engines.fleet.loads
        self.assertEqual(engines.now - silence, loads_by_id["d1"].silent_since)
        self.assertIsNone(loads_by_id["d2"].silent_since)
        self.assertFalse(engines.fleet.view(engines.now).is_down(sound))
