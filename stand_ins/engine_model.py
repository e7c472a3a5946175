"""Simulate an engine's batching and memory on a given clock, without I/O."""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.tables.targets import LoadReport, Role
from stand_ins.engine_batch import Batch
from stand_ins.engine_features import Features
from stand_ins.engine_memory import Memory
from stand_ins.engine_orders import Action, Order, Orders, Outcome
from stand_ins.engine_sizes import BLOCK_TOKENS, Sizes, choose_chunk
from stand_ins.engine_work import (
    Admission,
    OrderResult,
    PendingExport,
    Phase,
    Sequence,
    Step,
    Work,
)

__all__ = ["EngineModel"]


class EngineModel:
    """Simulated engine with continuous batching, advanced step by step.

    Call ``step`` and wait for its duration before the next call; requests added or
    cancelled in between take effect in the next step. When ``step`` returns None,
    there is nothing to do before ``next_time`` unless work is added.
    """

    def __init__(
        self,
        clock: Clock,
        sizes: Sizes | None = None,
        role: Role = Role.MIXED,
        model: str = "",
        checks_fencing: bool = True,
        incarnation: str = "1",
    ):
        self.sizes = sizes or Sizes()
        self.features = Features(role, model)
        self.incarnation = incarnation
        self.slowdown = 1.0
        self.orders = Orders(checks_fencing)
        self.memory = Memory(self.sizes.pieces_total, self.sizes.block_pieces)
        self._clock = clock
        self._arrivals = 0
        self._report_sequence = 0
        self._batch = Batch(self.memory)

    # Current state

    @property
    def role(self) -> Role:
        """Return the current role."""
        return self.features.role

    @property
    def changing(self) -> bool:
        """Return whether an order is in progress; apply one that has completed."""
        self._complete_order()
        return self.orders.ends_at is not None

    @property
    def running(self) -> int:
        """Return the number of requests that are started and not ended."""
        return self._batch.running

    @property
    def waiting(self) -> int:
        """Return the number of requests that are not started yet."""
        return len(self._batch.waiting)

    def report(self) -> LoadReport:
        """Return the current load, without the report lag."""
        self._expire()
        self._report_sequence += 1
        queued = sum(self._count_prefill(sequence) for sequence in self._batch.waiting)
        queued += sum(sequence.remaining_prefill for sequence in self._batch.prefilling)
        return LoadReport(
            incarnation=self.incarnation,
            sequence=self._report_sequence,
            running=self.running,
            waiting=self.waiting,
            prefill_queued=queued,
            pieces_used=self.memory.held,
            pieces_total=self.sizes.pieces_total,
            piece_tokens=self.sizes.piece_tokens,
        )

    def next_time(self) -> timedelta | None:
        """Return the time of the next import, expiry or completed order, if any."""
        times = [
            sequence.import_ends
            for sequence in self._batch.importing.values()
            if sequence.import_ends
        ]
        times += [pending.expires for pending in self._batch.pending_exports.values()]
        if self.orders.ends_at is not None:
            times.append(self.orders.ends_at)
        return min(times, default=None)

    # Requests

    def add(self, work: Work) -> Admission:
        """Queue a request, or return the reason for its refusal.

        Raises ValueError if the sizes are inconsistent or the id is in use.
        """
        self._validate(work)
        if self.changing:
            return Admission.CHANGING
        sequence = Sequence(work, self._arrivals, generated=work.offset)
        if self._count_pieces(work) > self.sizes.pieces_total:
            return Admission.TOO_LARGE
        if len(self._batch.waiting) >= self.sizes.max_waiting:
            return Admission.FULL
        self._arrivals += 1
        self._batch.enqueue(sequence)
        return Admission.ACCEPTED

    def cancel(self, request_id: str) -> bool | None:
        """Cancel a request; return whether it was started, or None if unknown."""
        return self._batch.cancel(request_id)

    def fetch(self, handle: str) -> PendingExport | None:
        """Return and drop the KV cache of a pending export, or None."""
        self._expire()
        return self._batch.fetch(handle)

    def _validate(self, work: Work) -> None:
        if work.prompt_tokens < max(1, BLOCK_TOKENS * len(work.blocks)):
            raise ValueError(f"fewer prompt tokens than blocks hold: {work}")
        if not 0 <= work.offset < work.output_tokens:
            raise ValueError(f"offset outside of the output: {work}")
        if work.offset and work.phase is Phase.PREFILL:
            raise ValueError(f"a prompt alone has no offset: {work}")
        if not 0 <= work.imported <= work.prompt_tokens:
            raise ValueError(f"more imported than the prompt holds: {work}")
        if self._batch.contains(work.id):
            raise ValueError(f"request id in use: {work.id!r}")

    def _count_pieces(self, work: Work) -> int:
        outputs = work.output_tokens if work.phase is Phase.WHOLE else 0
        return self.sizes.count_pieces(work.prompt_tokens + outputs)

    def _count_prefill(self, sequence: Sequence) -> int:
        work = sequence.work
        ready = max(work.imported, BLOCK_TOKENS * sequence.cached_count)
        return work.prompt_tokens + work.offset - ready

    # Steps

    def step(self) -> Step | None:
        """Run one step; its results are valid once its duration has passed."""
        self._expire()
        if self.changing:
            return None
        step = Step(timedelta(0))
        self._start_waiting(step)
        self._finish_imports(step)
        if not self._batch.decoding and not self._batch.prefilling:
            return step if step.started else None
        step.decoding = len(self._batch.decoding)
        self._decode_tokens(step)
        self._prefill(step)
        step.evicted = self.memory.take_evicted()
        seconds = self.sizes.compute_step_seconds(step.prefill_tokens, step.decoding)
        step.duration = timedelta(seconds=seconds * self.slowdown)
        return step

    def _start_waiting(self, step: Step) -> None:
        while self._batch.waiting and self.running < self.sizes.max_running:
            sequence = self._batch.waiting[0]
            if not self._reserve(sequence):
                return
            del self._batch.waiting[0]
            step.started.append(sequence.work.id)
            self._assign_stage(sequence)

    def _reserve(self, sequence: Sequence) -> bool:
        work = sequence.work
        sequence.cached_count = self.memory.count_cached(work.blocks)
        pinned_blocks = work.blocks[: sequence.cached_count]
        shared = self.sizes.block_pieces * sequence.cached_count
        private_pieces = self._count_pieces(work) - shared
        if not self.memory.reserve(pinned_blocks, private_pieces):
            return False
        sequence.pinned_blocks = pinned_blocks
        sequence.private_pieces = private_pieces
        return True

    def _assign_stage(self, sequence: Sequence) -> None:
        sequence.remaining_prefill = self._count_prefill(sequence)
        missing = sequence.work.imported - BLOCK_TOKENS * sequence.cached_count
        if missing > 0:
            sequence.import_ends = (
                self._clock.monotonic() + self.sizes.compute_transfer_time(missing)
            )
            self._batch.importing[sequence.work.id] = sequence
        else:
            # The last token of a fully cached prompt is still prefilled.
            sequence.remaining_prefill = max(1, sequence.remaining_prefill)
            self._batch.add_prefilling(sequence)

    def _finish_imports(self, step: Step) -> None:
        now = self._clock.monotonic()
        for request_id, sequence in list(self._batch.importing.items()):
            if sequence.import_ends is None or sequence.import_ends > now:
                continue
            del self._batch.importing[request_id]
            if sequence.remaining_prefill or sequence.work.phase is Phase.PREFILL:
                self._batch.add_prefilling(sequence)
            else:
                self._store_blocks(sequence, step)
                self._batch.decoding[request_id] = sequence

    def _decode_tokens(self, step: Step) -> None:
        for sequence in list(self._batch.decoding.values()):
            self._emit_token(sequence, step)

    def _emit_token(self, sequence: Sequence, step: Step) -> None:
        work = sequence.work
        sequence.generated += 1
        step.tokens[work.id] = sequence.generated
        if sequence.generated == work.offset + 1:
            step.first_tokens.append(work.id)
        if sequence.generated == work.output_tokens:
            self._batch.decoding.pop(work.id, None)
            self._batch.release(sequence)
            step.finished.append(work.id)
        else:
            self._batch.decoding[work.id] = sequence

    def _prefill(self, step: Step) -> None:
        if not self._batch.prefilling:
            return
        budget = choose_chunk(self.role, self.sizes, step.decoding)
        while budget and self._batch.prefilling:
            sequence = self._batch.prefilling[0]
            chunk = min(budget, sequence.remaining_prefill)
            sequence.remaining_prefill -= chunk
            budget -= chunk
            step.prefill_tokens += chunk
            if not sequence.remaining_prefill:
                del self._batch.prefilling[0]
                self._store_blocks(sequence, step)
                _AFTER_PREFILL[sequence.work.phase](self, sequence, step)

    def _store_blocks(self, sequence: Sequence, step: Step) -> None:
        blocks = sequence.work.blocks[sequence.cached_count :]
        step.stored += self.memory.store(blocks)
        sequence.pinned_blocks = sequence.work.blocks
        sequence.private_pieces -= self.sizes.block_pieces * len(blocks)

    def _hold_for_export(self, sequence: Sequence, step: Step) -> None:
        work = sequence.work
        expires = self._clock.monotonic() + self.sizes.export_lifetime
        handle = f"{self.incarnation}-{sequence.arrival_number}"
        pending = PendingExport(handle, sequence, self._count_pieces(work), expires)
        self._batch.pending_exports[handle] = pending
        step.prefilled[work.id] = pending
        step.finished.append(work.id)

    def _expire(self) -> None:
        if self._batch.pending_exports:
            self._batch.expire(self._clock.monotonic())

    # Orders and crashes

    def order(self, order: Order) -> OrderResult:
        """Accept or refuse an order; an accepted order ends all requests.

        Raises ValueError if a role order has an unknown role.
        """
        if order.action is Action.ROLE:
            Role(order.value)
        self._complete_order()
        now = self._clock.monotonic()
        outcome = self.orders.submit(order, now, self.sizes.change)
        if outcome is not Outcome.ACCEPTED:
            return OrderResult(outcome)
        waiting = [sequence.work.id for sequence in self._batch.waiting]
        running = [sequence.work.id for sequence in self._batch.list_started()]
        self._batch.clear()
        return OrderResult(outcome, running, waiting)

    def crash(self, incarnation: str) -> list[str]:
        """Drop all requests and orders, keep the fence; return the started requests."""
        lost = [sequence.work.id for sequence in self._batch.list_started()]
        self._batch.clear()
        self.orders.reset()
        self.incarnation = incarnation
        self._report_sequence = 0
        return lost

    def _complete_order(self) -> None:
        order = self.orders.take_completed(self._clock.monotonic())
        if order is not None:
            self.features.apply(order)


_AFTER_PREFILL: dict[Phase, Callable[[EngineModel, Sequence, Step], None]] = {
    Phase.WHOLE: EngineModel._emit_token,
    Phase.PREFILL: EngineModel._hold_for_export,
}
