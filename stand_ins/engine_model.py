"""Model an engine's arithmetic, without input or output, on a clock passed in."""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.tables.targets import LoadReport, Role
from stand_ins.engine_batch import Batch
from stand_ins.engine_features import Features
from stand_ins.engine_memory import Memory
from stand_ins.engine_orders import Action, Order, Orders, Outcome
from stand_ins.engine_sizes import BLOCK_TOKENS, Sizes, choose_chunk
from stand_ins.engine_work import Admission, CutOff, Kept, Phase, Sequence, Step, Work

__all__ = ["EngineModel"]


class EngineModel:
    """Batch requests continuously, one step after the other.

    Call ``step`` and let its duration pass before calling it again; requests added
    or cancelled meanwhile count from the next step on. While ``step`` returns None
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
        self._added = 0
        self._reported = 0
        self._batch = Batch(self.memory)

    # What the engine is now

    @property
    def role(self) -> Role:
        """Return the role in force."""
        return self.features.role

    @property
    def changing(self) -> bool:
        """Tell whether an order is under way, after applying one that has ended."""
        self._end_order()
        return self.orders.ends is not None

    @property
    def running(self) -> int:
        """Return the count of requests that have been started and not ended."""
        return self._batch.running

    @property
    def waiting(self) -> int:
        """Return the count of requests that have not been started."""
        return len(self._batch.waiting)

    def report(self) -> LoadReport:
        """Return the load at this moment; the lag is the caller's to add."""
        self._expire()
        self._reported += 1
        queued = sum(self._count_prefill(one) for one in self._batch.waiting)
        queued += sum(one.left for one in self._batch.prefilling)
        return LoadReport(
            incarnation=self.incarnation,
            sequence=self._reported,
            running=self.running,
            waiting=self.waiting,
            prefill_queued=queued,
            pieces_used=self.memory.held,
            pieces_total=self.sizes.pieces_total,
            piece_tokens=self.sizes.piece_tokens,
        )

    def next_time(self) -> timedelta | None:
        """Return the next time at which something happens by itself."""
        times = [one.arrives for one in self._batch.importing.values() if one.arrives]
        times += [kept.expires for kept in self._batch.kept.values()]
        if self.orders.ends is not None:
            times.append(self.orders.ends)
        return min(times, default=None)

    # Requests

    def add(self, work: Work) -> Admission:
        """Take a request, or say why not; a refused one was not run.

        Raises ValueError where the sizes contradict each other or the id is in use.
        """
        self._check(work)
        if self.changing:
            return Admission.CHANGING
        sequence = Sequence(work, self._added, given=work.offset)
        if self._count_pieces(work) > self.sizes.pieces_total:
            return Admission.TOO_LARGE
        if len(self._batch.waiting) >= self.sizes.max_waiting:
            return Admission.FULL
        self._added += 1
        self._batch.wait(sequence)
        return Admission.ACCEPTED

    def cancel(self, request: str) -> bool | None:
        """End a request; return whether it was started, None where it is unknown."""
        return self._batch.cancel(request)

    def fetch(self, handle: str) -> Kept | None:
        """Export a kept KV cache and forget it."""
        self._expire()
        return self._batch.fetch(handle)

    def _check(self, work: Work) -> None:
        if work.prompt_tokens < max(1, BLOCK_TOKENS * len(work.blocks)):
            raise ValueError(f"fewer prompt tokens than blocks hold: {work}")
        if not 0 <= work.offset < work.output_tokens:
            raise ValueError(f"offset outside of the output: {work}")
        if work.offset and work.phase is Phase.PREFILL:
            raise ValueError(f"a prompt alone has no offset: {work}")
        if not 0 <= work.imported <= work.prompt_tokens:
            raise ValueError(f"more imported than the prompt holds: {work}")
        if self._batch.holds(work.id):
            raise ValueError(f"request id in use: {work.id!r}")

    def _count_pieces(self, work: Work) -> int:
        outputs = work.output_tokens if work.phase is Phase.WHOLE else 0
        return self.sizes.count_pieces(work.prompt_tokens + outputs)

    def _count_prefill(self, sequence: Sequence) -> int:
        work = sequence.work
        ready = max(work.imported, BLOCK_TOKENS * sequence.cached)
        return work.prompt_tokens + work.offset - ready

    # Steps

    def step(self) -> Step | None:
        """Run one step and return what is true once its duration has passed."""
        self._expire()
        if self.changing:
            return None
        step = Step(timedelta(0))
        self._start(step)
        self._import(step)
        if not self._batch.decoding and not self._batch.prefilling:
            return step if step.started else None
        step.decoding = len(self._batch.decoding)
        self._decode(step)
        self._prefill(step)
        step.evicted = self.memory.take_evicted()
        seconds = self.sizes.take_step(step.prefill_tokens, step.decoding)
        step.duration = timedelta(seconds=seconds * self.slowdown)
        return step

    def _start(self, step: Step) -> None:
        while self._batch.waiting and self.running < self.sizes.max_running:
            sequence = self._batch.waiting[0]
            if not self._reserve(sequence):
                return
            del self._batch.waiting[0]
            step.started.append(sequence.work.id)
            self._place(sequence)

    def _reserve(self, sequence: Sequence) -> bool:
        work = sequence.work
        sequence.cached = self.memory.count_cached(work.blocks)
        pinned = work.blocks[: sequence.cached]
        shared = self.sizes.block_pieces * sequence.cached
        private = self._count_pieces(work) - shared
        if not self.memory.reserve(pinned, private):
            return False
        sequence.pinned = pinned
        sequence.private = private
        return True

    def _place(self, sequence: Sequence) -> None:
        sequence.left = self._count_prefill(sequence)
        missing = sequence.work.imported - BLOCK_TOKENS * sequence.cached
        if missing > 0:
            sequence.arrives = self._clock.monotonic() + self.sizes.transfer(missing)
            self._batch.importing[sequence.work.id] = sequence
        else:
            # Even a prompt that is cached as a whole needs its last token run.
            sequence.left = max(1, sequence.left)
            self._batch.prefill(sequence)

    def _import(self, step: Step) -> None:
        now = self._clock.monotonic()
        for request, sequence in list(self._batch.importing.items()):
            if sequence.arrives is None or sequence.arrives > now:
                continue
            del self._batch.importing[request]
            if sequence.left or sequence.work.phase is Phase.PREFILL:
                self._batch.prefill(sequence)
            else:
                self._store(sequence, step)
                self._batch.decoding[request] = sequence

    def _decode(self, step: Step) -> None:
        for sequence in list(self._batch.decoding.values()):
            self._give(sequence, step)

    def _give(self, sequence: Sequence, step: Step) -> None:
        work = sequence.work
        sequence.given += 1
        step.tokens[work.id] = sequence.given
        if sequence.given == work.offset + 1:
            step.firsts.append(work.id)
        if sequence.given == work.output_tokens:
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
            chunk = min(budget, sequence.left)
            sequence.left -= chunk
            budget -= chunk
            step.prefill_tokens += chunk
            if not sequence.left:
                del self._batch.prefilling[0]
                self._store(sequence, step)
                _ENDS[sequence.work.phase](self, sequence, step)

    def _store(self, sequence: Sequence, step: Step) -> None:
        blocks = sequence.work.blocks[sequence.cached :]
        step.stored += self.memory.store(blocks)
        sequence.pinned = sequence.work.blocks
        sequence.private -= self.sizes.block_pieces * len(blocks)

    def _keep(self, sequence: Sequence, step: Step) -> None:
        work = sequence.work
        expires = self._clock.monotonic() + self.sizes.keep
        handle = f"{self.incarnation}-{sequence.number}"
        kept = Kept(handle, sequence, self._count_pieces(work), expires)
        self._batch.kept[handle] = kept
        step.prefilled[work.id] = kept
        step.finished.append(work.id)

    def _expire(self) -> None:
        if self._batch.kept:
            self._batch.expire(self._clock.monotonic())

    # Orders and crashes

    def order(self, order: Order) -> CutOff:
        """Accept or refuse an order; an accepted one ends all requests.

        Raises ValueError where a role order names no role.
        """
        if order.action is Action.ROLE:
            Role(order.value)
        self._end_order()
        now = self._clock.monotonic()
        outcome = self.orders.offer(order, now, self.sizes.change)
        if outcome is not Outcome.ACCEPTED:
            return CutOff(outcome)
        waiting = [one.work.id for one in self._batch.waiting]
        running = [one.work.id for one in self._batch.list_started()]
        self._batch.clear()
        return CutOff(outcome, running, waiting)

    def crash(self, incarnation: str) -> list[str]:
        """Lose everything but the fence; return the requests that were started."""
        lost = [one.work.id for one in self._batch.list_started()]
        self._batch.clear()
        self.orders.forget()
        self.incarnation = incarnation
        self._reported = 0
        return lost

    def _end_order(self) -> None:
        order = self.orders.take_ended(self._clock.monotonic())
        if order is not None:
            self.features.apply(order)


_ENDS: dict[Phase, Callable[[EngineModel, Sequence, Step], None]] = {
    Phase.WHOLE: EngineModel._give,
    Phase.PREFILL: EngineModel._keep,
}
