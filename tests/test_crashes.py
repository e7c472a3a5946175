"""Check that a request that crashes targets crashes few, and harmless ones complete."""

from datetime import timedelta
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from testtools import TestCase

from galenapass.systems import admission, crashes, retries
from galenapass.tables.requests import RequestState
from galenapass.tables.targets import Role
from galenapass.verdicts import Reason, Run, Verdict
from tests.test_routing import make_request, make_world, seconds

FAILED = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
POISON = "poison"
RUNNING = (RequestState.DISPATCHED, RequestState.STREAMING)


def exchange_updates(worlds, now):
    for sender in worlds:
        for receiver in worlds:
            updates = crashes.list_suspect_updates(sender, now)
            crashes.apply_suspect_updates(receiver, updates, now)


class Fleet(RuleBasedStateMachine):
    """Daemons that exchange suspects; the record of crashes is the oracle."""

    ROLES = (Role.MIXED,) * 6

    def __init__(self):
        super().__init__()
        self.worlds = [make_world(self.ROLES) for _ in range(3)]
        self.now = seconds(0)
        self.random = Random(7)
        self.number = 0
        self.crashed = []
        self.refused = set()

    @rule(daemon=st.integers(0, 2), kind=st.sampled_from([POISON, "a", "b", "c"]))
    def send(self, daemon, kind):
        world = self.worlds[daemon]
        self.number += 1
        request = make_request(self.number, fingerprint=kind, patience=9e9)
        if crashes.check_crash_suspicion(world, request) is not None:
            self.refused.add(kind)
            return
        world.requests[request.id] = request
        self.dispatch(world)

    def dispatch(self, world):
        for target in world.targets.values():
            target.failures = 0
            target.avoid_until = None
        for effect in admission.next_dispatches(world, self.now, self.random):
            if isinstance(effect, admission.Preempt):
                request = world.requests[effect.request]
                admission.release_reservations(world, request, self.now)
                request.state = RequestState.WAITING
                request.target = request.prefill_target = None

    @rule(choice=st.integers(0, 5))
    def run_poison(self, choice):
        """Crash a target that runs the poison, exchange updates and dispatch again."""
        names = {
            r.prefill_target or r.target
            for world in self.worlds
            for r in world.requests.values()
            if r.fingerprint == POISON and r.state in RUNNING
        }
        if not names:
            return
        name = sorted(names)[choice % len(names)]
        self.crashed.append(name)
        for world in self.worlds:
            self.crash_target(world, name)
        exchange_updates(self.worlds, self.now)
        for world in self.worlds:
            self.dispatch(world)

    def crash_target(self, world, name):
        lost = [
            r
            for r in world.requests.values()
            if r.state in RUNNING and name in (r.target, r.prefill_target)
        ]
        if lost:
            crashes.record_target_crash(world, name, self.now)
        for request in lost:
            admission.release_reservations(world, request, self.now)
            request.attempts = 1
            world.retries.tokens = retries.MAX_BUDGET
            decision = retries.decide_retry(world, request, FAILED, self.now)
            if isinstance(decision, Verdict):
                assert decision.reason is Reason.CRASHES_TARGETS
                self.refused.add(request.fingerprint)
                del world.requests[request.id]

    @rule(daemon=st.integers(0, 2))
    def complete(self, daemon):
        world = self.worlds[daemon]
        for request in list(world.requests.values()):
            if request.state in RUNNING and request.fingerprint != POISON:
                crashes.record_completion(world, request, self.now)
                admission.release_reservations(world, request, self.now)
                del world.requests[request.id]
        exchange_updates(self.worlds, self.now)
        self.dispatch(world)

    @invariant()
    def at_most_two_targets_crash(self):
        assert len(self.crashed) <= 2

    @invariant()
    def harmless_requests_are_not_refused(self):
        assert self.refused <= {POISON}


TestFleet = Fleet.TestCase


class SplitFleet(Fleet):
    ROLES = (Role.PREFILL,) * 3 + (Role.DECODE,) * 3


TestSplitFleet = SplitFleet.TestCase


class TestSuspects(TestCase):
    def crash_one(self, count):
        world = make_world((Role.MIXED,) * 6)
        for number in range(count):
            request = make_request(number, fingerprint=f"f{number}")
            request.state = RequestState.STREAMING
            request.target = "t0"
            world.requests[request.id] = request
        crashes.record_target_crash(world, "t0", seconds(0))
        for request in world.requests.values():
            request.state = RequestState.WAITING
            request.target = None
        return world

    def test_suspects_of_one_crash_run_at_different_targets(self):
        world = self.crash_one(5)
        admission.next_dispatches(world, seconds(0), Random(1))
        targets = [r.target for r in world.requests.values()]
        self.assertEqual(5, len(set(targets)))
        self.assertNotIn("t0", targets)

    def test_more_suspects_than_targets_all_get_a_trial(self):
        world = self.crash_one(9)
        for _ in range(9):
            admission.next_dispatches(world, seconds(0), Random(1))
            running = [r for r in world.requests.values() if r.state in RUNNING]
            targets = [r.target for r in running]
            self.assertEqual(len(targets), len(set(targets)))
            for request in running:
                crashes.record_completion(world, request, seconds(0))
                admission.release_reservations(world, request, seconds(0))
                del world.requests[request.id]
        self.assertEqual({}, world.requests)

    def test_abandoned_suspect_does_not_block_other_trials(self):
        """Two engines remain, one crashed, and one suspect is never sent again."""
        world = self.crash_one(3)
        for name in ("t2", "t3", "t4", "t5"):
            del world.targets[name]
        for request in world.requests.values():
            request.deadline = seconds(900)
        first = admission.next_dispatches(world, seconds(0), Random(1))[0].request
        admission.release_reservations(world, world.requests[first], seconds(0))
        del world.requests[first]
        done = set()
        for turn in range(1, 4):
            now = seconds(0) + turn * crashes.TRIAL_TIME + seconds(1)
            admission.next_dispatches(world, now, Random(1))
            for request in list(world.requests.values()):
                if request.state in RUNNING:
                    done.add(request.fingerprint)
                    admission.release_reservations(world, request, now)
                    del world.requests[request.id]
        self.assertEqual(2, len(done))

    def test_repeated_and_late_updates_do_not_change_the_crash_count(self):
        world = self.crash_one(1)
        other = make_world()
        updates = crashes.list_suspect_updates(world, seconds(1))
        crashes.apply_suspect_updates(other, updates + updates, seconds(1))
        request = make_request(1, fingerprint="f0")
        self.assertIsNone(crashes.check_crash_suspicion(other, request))
        crashes.record_completion(other, request, seconds(2))
        crashes.apply_suspect_updates(other, updates, seconds(3))
        self.assertEqual(set(), other.crashes.suspects["f0"].open_crashes)
        crashes.forget_old(other, timedelta(hours=2))
        self.assertEqual({}, other.crashes.suspects)
