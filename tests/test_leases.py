"""Test that at most one process at a time holds a failure domain's lease."""

from datetime import timedelta
from unittest import mock

import orjson
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Ok
from testtools import TestCase

from galenapass.platform.messages import StoredObject
from galenapass.systems import leases
from galenapass.systems.leases import (
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    ReadLease,
    StopLease,
    step_lease,
)
from galenapass.tables.leases import Lease
from tests.fake_objects import CALL_OUTCOMES, UNKNOWN, CallOutcome, FakeObjects

TERM = timedelta(seconds=8)
HOSTS = 3
SEARCH = settings(
    max_examples=2000,
    stateful_step_count=50,
    phases=[Phase.generate],
    print_blob=False,
)


class Process:
    """One daemon with its own clock offset and its pending call and answer."""

    def __init__(self, number, incarnation):
        self.lease = Lease("north", f"h{number}", incarnation, TERM)
        self.offset = timedelta(seconds=100 * number + incarnation)
        self.call = None
        self.answer = None

    def apply(self, event, now):
        effect = step_lease(self.lease, event, now + self.offset)
        self.call = effect if effect is not None else self.call

    def send(self, objects, call_outcome):
        call, self.call = self.call, None
        if isinstance(call, ReadLease):
            self.answer = LeaseRead(objects.read("north", call_outcome))
        else:
            answer = objects.write("north", call.body, call.if_version, call_outcome)
            self.answer = LeaseWritten(answer)

    def receive(self, now):
        answer, self.answer = self.answer, None
        self.apply(answer, now)

    def make_call(self, objects, call_outcome, now):
        self.send(objects, call_outcome)
        self.receive(now)

    def run_calls(self, objects, now):
        self.apply(LeaseTick(), now)
        while self.call is not None:
            self.make_call(objects, CallOutcome.ANSWERED, now)

    def is_valid(self, now):
        return leases.is_valid(self.lease, now + self.offset)


class LeaseMachine(RuleBasedStateMachine):
    """Processes that compete for one lease and are killed, paused, cut off, stopped."""

    numbers = st.integers(0, HOSTS - 1)

    def __init__(self):
        super().__init__()
        self.now = timedelta(0)
        self.objects = FakeObjects()
        self.starts = 0
        self.processes = [self._start(number) for number in range(HOSTS)]

    def _start(self, number):
        self.starts += 1
        return Process(number, self.starts)

    @rule(number=numbers)
    def tick(self, number):
        self.processes[number].apply(LeaseTick(), self.now)

    @rule(
        number=numbers,
        call_outcome=st.sampled_from([CallOutcome.ANSWERED] * 5 + CALL_OUTCOMES),
    )
    def send(self, number, call_outcome):
        if self.processes[number].call is not None:
            self.processes[number].send(self.objects, call_outcome)

    @rule(number=numbers)
    def receive(self, number):
        if self.processes[number].answer is not None:
            self.processes[number].receive(self.now)

    @rule(number=numbers)
    def tick_and_call(self, number):
        self.processes[number].apply(LeaseTick(), self.now)
        while self.processes[number].call or self.processes[number].answer:
            self.send(number, CallOutcome.ANSWERED)
            self.receive(number)

    @rule(number=numbers, tenths=st.integers(1, 90))
    def delay_an_answer(self, number, tenths):
        self.tick(number)
        self.send(number, CallOutcome.ANSWERED)
        for other in range(HOSTS):
            if other != number:
                self.tick_and_call(other)
        self.advance(tenths)
        self.receive(number)

    @rule(tenths=st.integers(1, 90))
    def advance(self, tenths):
        self.now += timedelta(milliseconds=100 * tenths)

    @rule(number=numbers)
    def kill(self, number):
        self.processes[number] = self._start(number)

    @rule(number=numbers)
    def stop(self, number):
        self.processes[number].apply(StopLease(), self.now)

    @precondition(lambda self: self.objects.late)
    @rule()
    def apply_late_write(self):
        self.objects.apply_late_write()

    @invariant()
    def one_holder_at_a_time(self):
        valid = [p.lease.host for p in self.processes if p.is_valid(self.now)]
        assert len(valid) <= 1, valid

    @invariant()
    def each_fence_has_one_holder(self):
        holders = {}
        for value in map(orjson.loads, (s.body for s in self.objects.history)):
            holder = value["holder"], value["incarnation"]
            if value["holder"]:
                assert holders.setdefault(value["fence"], holder) == holder
        assert list(holders) == sorted(holders)


class RestoredProcess(Process):
    """Process that sees the store's epoch in each answer."""

    def send(self, objects, call_outcome):
        super().send(objects, call_outcome)
        is_answer = call_outcome is CallOutcome.ANSWERED
        self.answer_epoch = objects.epoch if is_answer else None

    def receive(self, now):
        if self.answer_epoch is not None:
            if self.answer_epoch < self.lease.epoch:
                # The client of the store drops it.
                self.answer = type(self.answer)(UNKNOWN)
            leases.apply_epoch(self.lease, self.answer_epoch, now + self.offset)
        super().receive(now)


class RestoreMachine(LeaseMachine):
    """The same processes while the store returns to older copies of itself."""

    def __init__(self):
        super().__init__()
        self.objects.epoch = 1
        for process in self.processes:
            process.lease.fresh_until = process.offset + TERM
        self.copies = [self.objects.copy()]
        self.used_fences = {}

    def _start(self, number):
        self.starts += 1
        return RestoredProcess(number, self.starts)

    @rule()
    def copy_the_store(self):
        self.copies.append(self.objects.copy())

    @precondition(lambda self: self.now >= TERM)
    @rule(age=st.integers(1, 4))
    def restore_the_store(self, age):
        self.objects.restore(self.copies[-min(age, len(self.copies))])

    @rule(number=LeaseMachine.numbers)
    def hear_the_epoch_from_a_peer(self, number):
        epoch = max(process.lease.epoch for process in self.processes)
        process = self.processes[number]
        leases.apply_epoch(process.lease, epoch, self.now + process.offset)

    @invariant()
    def each_fence_has_one_holder(self):
        # A write prepared before a restore may still reach the store. Its sender does
        # not become the holder, so only fences that a holder may use count.
        for process in self.processes:
            if process.is_valid(self.now):
                fence = process.lease.value.fence
                holder = process.lease.host, process.lease.incarnation
                assert fence >= max(self.used_fences, default=0)
                assert self.used_fences.setdefault(fence, holder) == holder


LeaseMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
RestoreMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)


class RestoreMachineTest(RestoreMachine.TestCase):
    pass


class RestoreTest(TestCase):
    def test_restore_the_next_holder_waits_and_has_a_higher_fence(self):
        for is_empty in (True, False):
            objects, now = FakeObjects(epoch=1), TERM * 2
            copy = objects.copy()
            first, second = RestoredProcess(0, 1), RestoredProcess(1, 1)
            for _ in range(2):
                first.run_calls(objects, now)
                now += TERM
            fence = first.lease.value.fence
            self.assertTrue(first.is_valid(now - TERM))
            objects.restore(copy if is_empty else objects.copy())
            restored, now = now, now + TERM / 10
            while not second.is_valid(now):
                second.run_calls(objects, now)
                now += TERM / 10
            self.assertGreaterEqual(now - restored, TERM)
            self.assertLessEqual(now - restored, TERM * 2.5)
            self.assertGreater(second.lease.value.fence, fence)

    def test_restore_the_holder_stops_at_the_first_answer_of_the_new_epoch(self):
        objects, now = FakeObjects(epoch=1), TERM * 2
        process = RestoredProcess(0, 1)
        while not process.is_valid(now):
            process.run_calls(objects, now)
            now += TERM / 10
        leases.apply_epoch(process.lease, 2, now + process.offset)
        self.assertFalse(process.is_valid(now))


class RestoreMutationTest(TestCase):
    """The state machine must fail when a mechanism for restores is disabled."""

    def _assert_required(self, name, mutant):
        with mock.patch.object(leases, name, mutant):
            self.assertRaises(
                AssertionError,
                run_state_machine_as_test,
                RestoreMachine,
                settings=SEARCH,
            )

    def test_restore_needs_the_end_of_a_lease_of_an_earlier_epoch(self):
        self._assert_required("_is_of_current_epoch", lambda lease: True)

    def test_restore_needs_the_epoch(self):
        self._assert_required("apply_epoch", lambda lease, epoch, now: None)


class LeaseMachineTest(LeaseMachine.TestCase):
    pass


class LeaseTest(TestCase):
    def test_can_be_acquired_at_once_after_a_release(self):
        objects, now = FakeObjects(), timedelta(0)
        first, second = Process(0, 1), Process(1, 1)
        first.run_calls(objects, now)
        first.apply(StopLease(), now)
        self.assertFalse(first.is_valid(now))
        first.make_call(objects, CallOutcome.ANSWERED, now)
        second.run_calls(objects, now)
        self.assertTrue(second.is_valid(now))
        self.assertEqual(2, second.lease.value.fence)

    def test_keeps_its_fence_through_renewals(self):
        objects = FakeObjects()
        process = Process(0, 1)
        for second in range(30):
            process.run_calls(objects, timedelta(seconds=second))
            self.assertTrue(process.is_valid(timedelta(seconds=second)))
        self.assertEqual(1, process.lease.value.fence)
        self.assertLess(objects.version, 13)

    def test_finds_its_own_write_when_the_answer_was_lost(self):
        objects, now = FakeObjects(), timedelta(0)
        process = Process(0, 1)
        process.apply(LeaseTick(), now)
        process.make_call(objects, CallOutcome.ANSWERED, now)
        process.make_call(objects, CallOutcome.ANSWER_LOST, now)
        self.assertFalse(process.is_valid(now))
        process.make_call(objects, CallOutcome.ANSWERED, now + TERM / 2)
        self.assertTrue(process.is_valid(now + TERM / 2))
        self.assertFalse(process.is_valid(now + TERM))

    def test_continues_from_the_last_fence_when_the_object_is_deleted(self):
        objects, now = FakeObjects(), timedelta(0)
        holder, follower = Process(0, 1), Process(1, 1)
        holder.run_calls(objects, now)
        follower.run_calls(objects, now)
        objects.objects.clear()
        follower.run_calls(objects, now + TERM)
        self.assertEqual(2, follower.lease.value.fence)


class OddLeaseTest(TestCase):
    def test_a_lease_with_an_odd_value_is_never_claimable(self):
        good = {
            "holder": "h2",
            "incarnation": 1,
            "fence": 3,
            "term_ms": 1000,
            "nonce": "n",
        }
        odd = [
            {"term_ms": 2**63},
            {"term_ms": "1000"},
            {"fence": "3"},
            {"holder": []},
            {"incarnation": None},
            {"nonce": 1},
        ]
        for change in odd:
            process = Process(1, 1)
            process.apply(LeaseTick(), timedelta(0))
            stored = StoredObject("north", 1, orjson.dumps(good | change).decode())
            process.apply(LeaseRead(Ok(stored)), timedelta(0))
            now = process.offset + timedelta(days=1)
            self.assertFalse(leases.is_claimable(process.lease, now), change)


class LeaseMutationTest(TestCase):
    """The state machine must fail when a mechanism is disabled."""

    def _assert_required(self, name, mutant):
        with mock.patch.object(leases, name, mutant):
            self.assertRaises(
                AssertionError,
                run_state_machine_as_test,
                LeaseMachine,
                settings=SEARCH,
            )

    def test_needs_the_end_of_validity(self):
        self._assert_required(
            "is_valid", lambda lease, now: lease.valid_until is not None
        )

    def test_needs_the_wait_of_a_full_term(self):
        self._assert_required("is_claimable", lambda lease, now: True)

    def test_needs_validity_to_start_before_the_send(self):
        self._assert_required("start_validity", lambda attempt, now: now)

    def test_needs_a_fence_that_grows(self):
        self._assert_required(
            "next_fence", lambda lease: lease.value.fence if lease.value else 1
        )
