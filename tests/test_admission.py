"""Check admission and dispatch against reservations recounted by an oracle."""

from datetime import timedelta
from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from testtools import TestCase

from galenapass.systems import admission, crashes, estimates, routing
from galenapass.tables.requests import Request, RequestState, Urgency
from galenapass.tables.targets import LoadReport, Role, TargetState
from galenapass.verdicts import Reason, Run, Verdict
from tests.test_routing import make_request, make_world, seconds

ROLES = (Role.MIXED, Role.MIXED, Role.PREFILL, Role.DECODE)
RUNNING = (RequestState.DISPATCHED, RequestState.STREAMING)
COMPLETED = Verdict(Run.RAN, Reason.COMPLETED)
FAILED = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)


class Daemon(RuleBasedStateMachine):
    """Daemon under random events; the oracle recounts the requests' reservations."""

    def __init__(self):
        super().__init__()
        self.world = make_world(ROLES)
        self.now = seconds(0)
        self.random = Random(5)
        self.number = 0
        self.dispatched = set()

    def running(self):
        return [r for r in self.world.requests.values() if r.state in RUNNING]

    @rule(
        urgency=st.sampled_from(Urgency),
        prompt=st.integers(1, 9000),
        output=st.integers(1, 2000),
        patience=st.floats(0.1, 60),
    )
    def arrive(self, urgency, prompt, output, patience):
        self.number += 1
        request = Request(
            f"r{self.number}",
            "guide",
            "notes",
            self.now,
            self.now + seconds(patience),
            urgency,
            prompt_tokens=prompt,
            output_tokens=output,
            blocks=tuple(range(prompt // 640)),
        )
        answer = admission.admit(self.world, request, self.now)
        if isinstance(answer, admission.Refused):
            assert answer.verdict.run is Run.NOT_RUN
        else:
            assert self.now + answer.wait <= request.deadline
            self.world.requests[request.id] = request

    @rule(step=st.floats(0.0, 5.0))
    def tick(self, step):
        self.now += seconds(step)
        before = {r.id: r.state for r in self.world.requests.values()}
        for effect in admission.next_dispatches(self.world, self.now, self.random):
            request = self.world.requests[effect.request]
            if isinstance(effect, admission.Dispatch):
                assert before[request.id] is RequestState.WAITING
                self.dispatched.add(request.id)
            if isinstance(effect, admission.Refuse):
                self.check_refusal(request, effect.verdict)
                del self.world.requests[request.id]
            if isinstance(effect, admission.Preempt):
                assert request.urgency is Urgency.BULK

    def check_refusal(self, request, verdict):
        assert request.id not in self.dispatched or verdict.run is not Run.NOT_RUN
        assert not request.reservations
        assert verdict.retry_after >= seconds(1)

    @precondition(lambda self: self.running())
    @rule(data=st.data())
    def begin_output(self, data):
        request = data.draw(st.sampled_from(self.running()))
        admission.record_first_token(self.world, request, self.now)

    @precondition(lambda self: self.running())
    @rule(data=st.data(), verdict=st.sampled_from([COMPLETED, FAILED]))
    def end(self, data, verdict):
        request = data.draw(st.sampled_from(self.running()))
        estimates.learn_from_attempt(self.world, request, verdict, self.now)
        admission.release_reservations(self.world, request, self.now)
        admission.release_reservations(self.world, request, self.now)
        request.state = RequestState.WAITING
        request.may_have_run = True
        if verdict is COMPLETED:
            del self.world.requests[request.id]

    @rule(name=st.integers(0, 3), used=st.integers(0, 2000), running=st.integers(0, 9))
    def report(self, name, used, running):
        target = self.world.targets[f"t{name}"]
        load = LoadReport("a", self.number, running, 0, 0, used, 2000, 16)
        estimates.apply_load_report(target, load, self.now)

    @invariant()
    def counts_match(self):
        reservations = [v for r in self.world.requests.values() for v in r.reservations]
        for target in self.world.targets.values():
            at_target = [r for r in reservations if r.target == target.id]
            assert target.own_requests == len(at_target)
            assert target.own_prefill == sum(r.prefill for r in at_target)
            assert target.own_pieces == sum(r.pieces for r in at_target)
            assert target.own_pieces <= estimates.pieces_total(target)

    def teardown(self):
        for request in self.running():
            admission.release_reservations(self.world, request, self.now)
        for target in self.world.targets.values():
            counts = (target.own_requests, target.own_prefill, target.own_pieces)
            assert counts == (0, 0, 0)


TestDaemon = Daemon.TestCase


class TestUrgencyClasses(TestCase):
    def fill(self, world, urgency, count):
        for number in range(count):
            request = make_request(
                f"{urgency.name}{number}", urgency, prompt_tokens=3000
            )
            world.requests[request.id] = request
        return admission.next_dispatches(world, seconds(0), Random(3))

    def test_bulk_leaves_reserved_capacity_to_urgent_work(self):
        world = make_world()
        self.fill(world, Urgency.BULK, 60)
        for target in world.targets.values():
            self.assertLessEqual(
                target.own_pieces, routing.MAX_FILL[Urgency.BULK] * 2000
            )
        effects = self.fill(world, Urgency.URGENT, 3)
        sent = [e.request for e in effects if isinstance(e, admission.Dispatch)]
        self.assertEqual({"rURGENT0", "rURGENT1", "rURGENT2"}, set(sent))

    def test_urgent_goes_before_bulk_of_an_earlier_deadline(self):
        world = make_world((Role.MIXED,))
        bulk = make_request(1, Urgency.BULK, patience=9.0)
        urgent = make_request(2, Urgency.URGENT, patience=30.0)
        world.requests = {r.id: r for r in (bulk, urgent)}
        effects = admission.next_dispatches(world, seconds(0), Random(3))
        self.assertEqual("r2", effects[0].request)

    def test_each_urgent_request_without_capacity_preempts_one_bulk_stream(self):
        world = make_world((Role.MIXED,))
        self.fill(world, Urgency.BULK, 4)
        for request in world.requests.values():
            if request.state is RequestState.DISPATCHED:
                admission.record_first_token(world, request, seconds(1))
        world.targets["t0"].rates.concurrency = 1.0
        urgent = make_request(9, Urgency.URGENT)
        world.requests[urgent.id] = urgent
        preemptions = []
        for _ in range(3):
            effects = admission.next_dispatches(world, seconds(1), Random(3))
            preemptions += [e for e in effects if isinstance(e, admission.Preempt)]
        self.assertEqual(1, len(preemptions))

    def test_a_suspect_that_waits_for_its_trial_preempts_nothing(self):
        world = make_world((Role.MIXED,))
        self.fill(world, Urgency.BULK, 4)
        for request in world.requests.values():
            if request.state is RequestState.DISPATCHED:
                admission.record_first_token(world, request, seconds(1))
        world.targets["t0"].rates.concurrency = 1.0
        urgent = make_request(9, Urgency.URGENT, fingerprint="suspect", target="t0")
        urgent.state = RequestState.DISPATCHED
        world.requests[urgent.id] = urgent
        crashes.record_target_crash(world, "t0", seconds(1))
        urgent.state = RequestState.WAITING
        effects = admission.next_dispatches(world, seconds(1), Random(3))
        self.assertEqual([], [e for e in effects if isinstance(e, admission.Preempt)])

    def admit_without_usable_target(self, state, avoid_until):
        world = make_world((Role.MIXED, Role.MIXED))
        for target in world.targets.values():
            target.state = state
            target.avoid_until = avoid_until
        return admission.admit(world, make_request(patience=10.0), seconds(1))

    def test_request_is_refused_if_no_target_returns_before_its_deadline(self):
        leaving = self.admit_without_usable_target(TargetState.LEAVING, None)
        late = self.admit_without_usable_target(TargetState.SERVING, seconds(30))
        for refused in (leaving, late):
            self.assertIs(Run.NOT_RUN, refused.verdict.run)
            self.assertGreater(refused.verdict.retry_after, timedelta(0))

    def test_request_waits_if_a_target_returns_before_its_deadline(self):
        soon = self.admit_without_usable_target(TargetState.SERVING, seconds(3))
        self.assertEqual(seconds(2), soon.wait)
        changing = self.admit_without_usable_target(TargetState.CHANGING, None)
        self.assertEqual(seconds(0), changing.wait)

    def test_retry_after_of_refusals_is_spread(self):
        world = make_world((Role.MIXED,))
        verdicts = [
            admission.admit(world, make_request(n, patience=0.01), seconds(0)).verdict
            for n in range(50)
        ]
        delays = {verdict.retry_after for verdict in verdicts}
        self.assertGreater(len(delays), 40)
        self.assertLessEqual(max(delays) - min(delays), timedelta(seconds=1))


class TestLateDispatch(TestCase):
    def dispatch(self, **fields):
        world = make_world((Role.MIXED,))
        request = make_request(patience=1.0, prompt_tokens=9000, **fields)
        world.requests[request.id] = request
        return admission.next_dispatches(world, seconds(0.5), Random(1))[0]

    def test_request_that_would_end_late_is_refused_before_dispatch(self):
        effect = self.dispatch()
        self.assertIsInstance(effect, admission.Refuse)
        self.assertEqual(Run.NOT_RUN, effect.verdict.run)

    def test_late_urgent_or_retried_request_is_dispatched(self):
        for fields in ({"urgency": Urgency.URGENT}, {"attempts": 1}):
            self.assertIsInstance(self.dispatch(**fields), admission.Dispatch)
