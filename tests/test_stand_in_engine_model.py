"""Test the engine model on a manually advanced clock."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.tables.targets import Role
from stand_ins.engine_model import EngineModel
from stand_ins.engine_orders import Action, Order, Outcome
from stand_ins.engine_sizes import BLOCK_TOKENS, Sizes, choose_chunk, speed_up
from stand_ins.engine_work import Admission, Phase, Work

SMALL = Sizes(pieces_total=64, max_running=6, max_waiting=8)
CHANGE = timedelta(seconds=3)


def make_work(name, blocks=(), tail=1, outputs=5, **options):
    tokens = BLOCK_TOKENS * len(blocks) + tail
    return Work(name, tuple(blocks), tokens, outputs, **options)


def run(model, clock, limit=2000):
    """Run steps until the model is idle and return them."""
    steps = []
    while len(steps) < limit:
        step = model.step()
        if step is None and not model.running and not model.waiting:
            return steps
        if step is None:
            clock.advance(max(timedelta(0), model.next_time() - clock.monotonic()))
            continue
        clock.advance(step.duration)
        steps.append(step)
    raise AssertionError(f"not idle after {limit} steps: {model.report()}")


def find_end(steps, name):
    passed = timedelta(0)
    for step in steps:
        passed += step.duration
        if name in step.finished:
            return passed
    raise AssertionError(f"not finished: {name}")


class StepTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()

    @given(
        st.integers(0, 4096),
        st.integers(0, 256),
        st.sampled_from([1.0, 4.0]),
    )
    def test_time_follows_the_formula(self, prefill, decoding, factor):
        sizes = speed_up(Sizes(), factor)
        expected = (0.015 + prefill / 10_000 + 0.0001 * decoding) / factor
        self.assertAlmostEqual(
            expected, sizes.compute_step_seconds(prefill, decoding), places=9
        )

    @given(st.integers(1, 144), st.integers(200, 5000))
    def test_mixed_engine_keeps_the_token_target_beside_decoding(self, others, tail):
        clock = ManualClock()
        model = EngineModel(clock, Sizes(max_waiting=200, pieces_total=9999))
        for number in range(others):
            model.add(make_work(f"d{number}", outputs=400))
        model.step()
        model.add(make_work("long", tail=tail))
        step = model.step()
        self.assertGreater(step.prefill_tokens, 0)
        self.assertEqual(others, step.decoding)
        self.assertLessEqual(step.duration, timedelta(seconds=0.0311))

    def test_smallest_chunk_is_kept_beyond_the_token_target(self):
        self.assertEqual(16, choose_chunk(Role.MIXED, Sizes(), 250))

    def test_prefill_engine_takes_large_chunks(self):
        model = EngineModel(self.clock, role=Role.PREFILL)
        model.add(make_work("d", outputs=400))
        model.step()
        model.add(make_work("long", tail=5000))
        self.assertEqual(2048, model.step().prefill_tokens)

    def test_decode_engine_takes_small_chunks_even_alone(self):
        model = EngineModel(self.clock, role=Role.DECODE)
        model.add(make_work("long", tail=5000))
        self.assertLessEqual(model.step().duration, timedelta(seconds=0.0311))

    def test_resume_prefills_the_tokens_generated_elsewhere(self):
        model = EngineModel(self.clock)
        model.add(make_work("r", tail=100, outputs=60, offset=50))
        steps = run(model, self.clock)
        self.assertEqual(150, sum(step.prefill_tokens for step in steps))
        numbers = [step.tokens["r"] for step in steps if step.tokens]
        self.assertEqual(list(range(51, 61)), numbers)

    def test_cached_prefix_is_not_run_again(self):
        model = EngineModel(self.clock)
        model.add(make_work("a", blocks=[1, 2, 3], tail=10))
        run(model, self.clock)
        model.add(make_work("b", blocks=[1, 2, 9], tail=10))
        steps = run(model, self.clock)
        self.assertEqual(74, sum(step.prefill_tokens for step in steps))
        self.assertEqual([9], [one for step in steps for one in step.stored])

    def test_import_takes_the_transfer_time_and_no_prefill(self):
        source = EngineModel(self.clock, role=Role.PREFILL)
        work = make_work("p", blocks=range(20), phase=Phase.PREFILL)
        source.add(work)
        pending = source.step().prefilled["p"]
        self.assertEqual(pending, source.fetch(pending.handle))
        self.assertIsNone(source.fetch(pending.handle))
        self.assertEqual(0, source.memory.held)
        model = EngineModel(self.clock, role=Role.DECODE)
        model.add(make_work("p", blocks=range(20), imported=1281))
        self.assertEqual(["p"], model.step().started)
        self.assertIsNone(model.step())
        wait = model.next_time() - self.clock.monotonic()
        self.assertAlmostEqual(1281 * 131072 / 2.5e9, wait.total_seconds(), places=5)
        steps = run(model, self.clock)
        self.assertEqual(0, sum(step.prefill_tokens for step in steps))

    def test_unfetched_kv_cache_expires(self):
        model = EngineModel(self.clock)
        model.add(make_work("p", blocks=[1], phase=Phase.PREFILL))
        pending = model.step().prefilled["p"]
        self.assertGreater(model.report().pieces_used, 0)
        self.clock.advance(timedelta(seconds=30))
        self.assertEqual(0, model.report().pieces_used)
        self.assertIsNone(model.fetch(pending.handle))

    def test_urgent_work_passes_waiting_bulk(self):
        model = EngineModel(self.clock, Sizes(max_running=1))
        model.add(make_work("first", priority=2))
        started = model.step().started
        for name, priority in (("bulk", 2), ("urgent", 0)):
            model.add(make_work(name, priority=priority))
        started += [one for s in run(model, self.clock) for one in s.started]
        self.assertEqual(["first", "urgent", "bulk"], started)

    def test_long_prompt_ends_sooner_on_a_prefill_engine_than_beside_decoding(self):
        mixed = EngineModel(self.clock)
        prefill_engine = EngineModel(self.clock, role=Role.PREFILL)
        for number in range(30):
            mixed.add(make_work(f"d{number}", outputs=300))
        mixed.step()
        for model in (mixed, prefill_engine):
            model.add(make_work("p", tail=8000, phase=Phase.PREFILL))
        beside = find_end(run(mixed, self.clock), "p")
        alone = find_end(run(prefill_engine, self.clock), "p")
        self.assertGreater(beside, 1.5 * alone)

    def test_refuses_contradictory_work(self):
        model = EngineModel(self.clock)
        model.add(make_work("a"))
        for work in (
            make_work("a"),
            make_work("b", offset=5),
            make_work("c", imported=2),
            make_work("e", offset=1, phase=Phase.PREFILL),
            Work("d", (1, 2), BLOCK_TOKENS, 1),
        ):
            self.assertRaises(ValueError, model.add, work)


class OrderTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()

    def _order(self, model, name, fence, value="prefill"):
        return model.order(Order(name, fence, Action.ROLE, value))

    def test_role_change_ends_all_requests_and_refuses_new_ones(self):
        model = EngineModel(self.clock, Sizes(max_running=1))
        model.add(make_work("runs"))
        model.add(make_work("waits"))
        model.step()
        answer = self._order(model, "o1", 1)
        self.assertEqual((["runs"], ["waits"]), (answer.running, answer.waiting))
        self.assertIs(Admission.CHANGING, model.add(make_work("late")))
        self.assertIs(Role.MIXED, model.role)
        self.clock.advance(CHANGE)
        self.assertIs(Admission.ACCEPTED, model.add(make_work("later")))
        self.assertIs(Role.PREFILL, model.role)

    def test_fencing_engine_refuses_stale_and_conflicting_orders(self):
        model = EngineModel(self.clock)
        outcomes = [
            self._order(model, name, fence).outcome
            for name, fence in (("a", 5), ("b", 6), ("a", 6), ("c", 5))
        ]
        self.assertEqual(
            [Outcome.ACCEPTED, Outcome.BUSY, Outcome.REPEATED, Outcome.STALE], outcomes
        )
        self.assertEqual([], model.orders.conflicts)
        self.assertEqual(4, len(model.orders.records))

    def test_engine_without_fencing_accepts_all_and_records_the_conflict(self):
        model = EngineModel(self.clock, checks_fencing=False)
        self._order(model, "a", 5)
        self.assertIs(Outcome.ACCEPTED, self._order(model, "b", 4, "decode").outcome)
        (conflict,) = model.orders.conflicts
        self.assertEqual(("a", "b"), (conflict.under_way.id, conflict.accepted.id))
        self.clock.advance(CHANGE)
        self.assertFalse(model.changing)
        self.assertIs(Role.DECODE, model.role)
        self._order(model, "c", 4)
        self.assertEqual(1, len(model.orders.conflicts))

    def test_crash_halfway_keeps_the_role_and_the_fence(self):
        model = EngineModel(self.clock)
        self._order(model, "a", 5)
        self.clock.advance(CHANGE / 2)
        model.crash("2")
        self.clock.advance(CHANGE)
        self.assertFalse(model.changing)
        self.assertIs(Role.MIXED, model.role)
        self.assertIsNone(model.orders.last)
        self.assertIs(Outcome.STALE, self._order(model, "b", 4).outcome)
        self.assertIs(Outcome.ACCEPTED, self._order(model, "a", 5).outcome)


class EngineMachine(RuleBasedStateMachine):
    """Run random requests, cancellations, orders, crashes and steps."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.model = EngineModel(self.clock, SMALL)
        self.generated = {}
        self.active = {}
        self.started = set()
        self.cached = set()
        self.count = 0

    @rule(
        prefix=st.integers(0, 3),
        length=st.integers(0, 6),
        tail=st.integers(1, 200),
        outputs=st.integers(1, 40),
        priority=st.integers(0, 2),
        data=st.data(),
    )
    def add(self, prefix, length, tail, outputs, priority, data):
        self.count += 1
        name = f"r{self.count}"
        blocks = tuple(100 * prefix + number for number in range(length))
        phase = data.draw(st.sampled_from(Phase))
        most = outputs - 1 if phase is Phase.WHOLE else 0
        offset = data.draw(st.integers(0, most))
        tokens = BLOCK_TOKENS * length + tail
        imported = data.draw(st.sampled_from([0, tokens]))
        work = Work(name, blocks, tokens, outputs, priority, phase, offset, imported)
        if self.model.add(work) is Admission.ACCEPTED:
            self.active[name] = work
            self.generated[name] = offset

    @precondition(lambda self: self.active)
    @rule(data=st.data())
    def cancel(self, data):
        name = data.draw(st.sampled_from(sorted(self.active)))
        assert self.model.cancel(name) is (name in self.started)
        assert self.model.cancel(name) is None
        self._forget([name])

    @rule(count=st.integers(1, 20))
    def step(self, count):
        for _ in range(count):
            step = self.model.step()
            if step is None:
                return
            self._check_step(step)
            self.clock.advance(step.duration)

    @rule(seconds=st.floats(0, 40))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @rule(role=st.sampled_from(Role))
    def order(self, role):
        self.count += 1
        answer = self.model.order(Order(f"o{self.count}", 1, Action.ROLE, role.value))
        assert set(answer.running) <= self.started
        assert not set(answer.waiting) & self.started
        if answer.outcome is Outcome.ACCEPTED:
            assert {*answer.running, *answer.waiting} == self.active.keys()
            self._forget(list(self.active))

    @rule()
    def crash(self):
        assert set(self.model.crash("next")) == self.started
        self._forget(list(self.active))

    def _check_step(self, step):
        self.started.update(step.started)
        for name, number in step.tokens.items():
            assert name in self.started
            assert number == self.generated[name] + 1
            self.generated[name] = number
        for name in step.finished:
            work = self.active[name]
            whole = work.phase is Phase.WHOLE
            assert self.generated[name] == (
                work.output_tokens if whole else work.offset
            )
        self._forget(step.finished)
        assert not self.cached.intersection(step.stored) - set(step.evicted)
        self.cached = self.cached.difference(step.evicted).union(step.stored)

    def _forget(self, names):
        for name in names:
            del self.active[name]
            self.started.discard(name)

    @invariant()
    def memory_never_exceeds(self):
        memory = self.model.memory
        assert 0 <= memory.held <= memory.used <= SMALL.pieces_total

    @invariant()
    def counts_agree(self):
        report = self.model.report()
        assert report.running == len(self.started)
        assert report.running + report.waiting == len(self.active)
        assert report.running <= SMALL.max_running

    def teardown(self):
        for name in list(self.active):
            self.model.cancel(name)
        self.clock.advance(timedelta(seconds=60))
        assert self.model.report().pieces_used == 0


EngineMachineTest = EngineMachine.TestCase
