"""Check that no key runs twice when daemons, calls or writes fail at any point."""

import asyncio
from random import Random
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.dispatch import Claim, StoredAnswer
from galenapass.duties.claim_store import ClaimStore
from galenapass.systems import claims
from galenapass.verdicts import Reason, Run
from tests.fake_objects import CALL_OUTCOMES, CallOutcome, FakeObjects

KEYS = ("hold-1", "hold-2")
DAEMONS = ("entry-1", "entry-2", "entry-3")
SETTLE_TURNS = 60  # of the event loop, enough for all pending work to finish
TIMEOUT_SECONDS = 10.0


class ManualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time only the test advances."""

    now = 0.0

    def time(self):
        return self.now


class Store:
    """Object store of one daemon, whose calls wait while the daemon is paused."""

    def __init__(self, machine, name):
        self.machine, self.name = machine, name

    async def read(self, kind, name):
        await self.machine.awake[self.name].wait()
        return self.machine.objects.read(name, self.machine.draw_call_outcome())

    async def write(self, kind, name, body, if_version=None):
        call_outcome = self.machine.draw_call_outcome()
        answer = self.machine.objects.write(name, body, if_version, call_outcome)
        # A daemon may be paused between the write and the answer to it.
        await self.machine.awake[self.name].wait()
        return answer


class ClaimMachine(RuleBasedStateMachine):
    """Calls with few keys through daemons that are paused and killed."""

    def __init__(self):
        super().__init__()
        self.loop = ManualLoop()
        self.objects = FakeObjects()
        self.call_outcomes = []
        self.runs = dict.fromkeys(KEYS, 0)
        self.refusals = []
        self.started = 0
        self.awake = {name: asyncio.Event() for name in DAEMONS}
        self.tasks = {name: [] for name in DAEMONS}
        self.claim_stores = {name: self.make_claim_store(name) for name in DAEMONS}
        for event in self.awake.values():
            event.set()

    def make_claim_store(self, name):
        self.started += 1
        random = Random(self.started)
        store = Store(self, name)
        no_delay = lambda seconds: asyncio.sleep(0)  # noqa: E731
        return ClaimStore(store, name, ManualClock(), random, no_delay)

    def draw_call_outcome(self):
        return self.call_outcomes.pop(0) if self.call_outcomes else CallOutcome.ANSWERED

    def settle(self):
        self.loop.run_until_complete(self._turn())

    async def _turn(self):
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    async def call(self, name, key, outcome):
        claim_store = self.claim_stores[name]
        begun = await claim_store.begin("agents", "booking", key, "f" * 16)
        if isinstance(begun, Err):
            self.refusals.append((key, begun.err_value.run))
            return
        if isinstance(begun.ok_value, StoredAnswer):
            assert begun.ok_value.body == key.encode(), begun
            return
        assert isinstance(begun.ok_value, Claim)
        await self.awake[name].wait()
        if outcome == "refused":
            await claim_store.release(begun.ok_value)
            return
        self.runs[key] += 1
        answer = StoredAnswer(200, "text/plain", key.encode())
        await claim_store.finish(begun.ok_value, None if outcome == "lost" else answer)

    @rule(
        name=st.sampled_from(DAEMONS),
        key=st.sampled_from(KEYS),
        outcome=st.sampled_from(["ran", "lost", "refused"]),
        settle=st.booleans(),
    )
    def send(self, name, key, outcome, settle):
        task = self.loop.create_task(self.call(name, key, outcome))
        self.tasks[name].append(task)
        if settle:
            self.settle()

    @rule(
        call_outcomes=st.lists(st.sampled_from(CALL_OUTCOMES), min_size=1, max_size=4)
    )
    def disturb(self, call_outcomes):
        self.call_outcomes += call_outcomes

    @rule()
    def apply_late_write(self):
        self.objects.apply_late_write()

    @rule(name=st.sampled_from(DAEMONS))
    def pause(self, name):
        self.awake[name].clear()

    @rule(name=st.sampled_from(DAEMONS))
    def resume(self, name):
        self.awake[name].set()
        self.settle()

    @rule()
    def pass_time(self):
        self.loop.now += TIMEOUT_SECONDS
        self.settle()

    @rule(name=st.sampled_from(DAEMONS))
    def kill(self, name):
        queues = self.claim_stores[name]._queues.values()
        workers = [queue.worker for queue in queues if queue.worker]
        for task in [*self.tasks[name], *workers]:
            task.cancel()
        self.settle()
        self.tasks[name] = []
        self.awake[name].set()
        self.claim_stores[name] = self.make_claim_store(name)

    @invariant()
    def no_key_ran_twice(self):
        assert max(self.runs.values()) <= 1, self.runs

    def teardown(self):
        self.call_outcomes.clear()
        for name in DAEMONS:
            self.resume(name)
        self.pass_time()
        for tasks in self.tasks.values():
            for task in tasks:
                assert task.done(), task
                if not task.cancelled():
                    task.result()
        self.no_key_ran_twice()
        self.loop.close()


class ClaimMachineTest(TestCase):
    def test_no_key_runs_twice(self):
        run_state_machine_as_test(ClaimMachine)

    def test_invariant_fails_without_conditional_writes(self):
        def write_anyway(self, name, body, if_version):
            self.version += 1
            self.objects[name] = mock.Mock(version=self.version, body=body)
            return Ok(self.version)

        with mock.patch.object(FakeObjects, "_put", write_anyway):
            self.assert_fails()

    def test_invariant_fails_if_a_claimed_key_is_acquired_again(self):
        acquired = lambda entry: claims.ClaimAcquired()  # noqa: E731
        repeats = dict.fromkeys(claims._REPEAT_OUTCOMES, acquired)
        with mock.patch.object(claims, "_REPEAT_OUTCOMES", repeats):
            self.assert_fails()

    def assert_fails(self):
        thorough = settings(settings(), max_examples=300, phases=[Phase.generate])
        try:
            run_state_machine_as_test(ClaimMachine, settings=thorough)
        except (AssertionError, ExceptionGroup):
            return
        self.fail("the invariant holds without the mechanism under test")


class ClaimStoreTest(TestCase):
    def run_with(self, store, body):
        claim_store = ClaimStore(store, "entry-1", ManualClock(), Random(1))
        return asyncio.run(body(claim_store))

    def test_claims_that_wait_together_are_stored_in_one_write(self):
        objects = FakeObjects()
        store = mock.Mock()
        store.read = mock.AsyncMock(side_effect=lambda kind, name: objects.read(name))
        store.write = mock.AsyncMock(
            side_effect=lambda kind, *rest: objects.write(*rest)
        )

        async def begin_many(claim_store):
            with mock.patch("galenapass.systems.claims.SLICE_COUNT", 1):
                begins = (claim_store.begin("c", "s", str(n), "f") for n in range(50))
                return await asyncio.gather(*begins)

        begun = self.run_with(store, begin_many)
        self.assertTrue(all(isinstance(b.ok_value, Claim) for b in begun))
        self.assertEqual(1, store.write.await_count)

    def test_unavailable_platform_refuses_at_once_as_not_run(self):
        objects = FakeObjects()
        store = mock.Mock()
        store.read = mock.AsyncMock(
            return_value=objects.read("x", CallOutcome.UNAVAILABLE)
        )

        async def begin(claim_store):
            refused = await claim_store.begin("c", "s", "k", "f")
            return (
                refused.err_value,
                claim_store.count_waiting(),
                len(claim_store._unsent),
            )

        verdict, waiting, unsent = self.run_with(store, begin)
        self.assertEqual(
            (Run.NOT_RUN, Reason.PLATFORM_UNAVAILABLE), (verdict.run, verdict.reason)
        )
        self.assertIsNotNone(verdict.retry_after)
        self.assertEqual((0, 0), (waiting, unsent))


class SliceTest(TestCase):
    def begin(self, entries, fingerprint="f", nonce="n1", at=0):
        return claims.apply_operation(
            entries, claims.AcquireClaim("k", nonce, fingerprint), at
        )

    def test_different_call_with_the_same_key_is_not_run(self):
        entries = {}
        self.begin(entries)
        verdict = self.begin(entries, "other", "n2")
        self.assertEqual(
            (Run.NOT_RUN, Reason.KEY_REUSED), (verdict.run, verdict.reason)
        )

    def test_key_is_kept_after_its_answer_expires(self):
        entries = {}
        self.begin(entries)
        answer = StoredAnswer(200, "text/plain", b"seat 12")
        claims.apply_operation(entries, claims.FinishClaim("k", "n1", answer), 0)
        self.assertEqual(answer, self.begin(entries, nonce="n2"))
        days = int(claims.ANSWER_LIFETIME.total_seconds()) * 3
        body = claims.encode_slice(entries, days)
        later = claims.decode_slice(1, body).entries
        verdict = self.begin(later, nonce="n3", at=days)
        self.assertIs(Run.RAN, verdict.run)

    def test_full_slice_drops_answers_and_then_refuses_new_keys(self):
        answer = StoredAnswer(200, "text/plain", b"x" * 60_000)
        entries = {}
        for number in range(20):
            key = f"{number:032x}"
            claims.apply_operation(entries, claims.AcquireClaim(key, "n", "f"), 0)
            claims.apply_operation(entries, claims.FinishClaim(key, "n", answer), 0)
        kept = claims.decode_slice(1, claims.encode_slice(entries, 0)).entries
        self.assertEqual(entries.keys(), kept.keys())
        self.assertTrue(all(entry.answer is None for entry in kept.values()))
        for number in range(20, 12_000):
            claims.apply_operation(
                entries, claims.AcquireClaim(f"{number:032x}", "n" * 40, "f"), 0
            )
        self.assertIsNone(claims.encode_slice(entries, 0))
