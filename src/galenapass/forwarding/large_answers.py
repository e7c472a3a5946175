"""Bound the memory of all large answers that are held at the same time."""

import asyncio
from collections import Counter
from datetime import timedelta
from types import TracebackType

from galenapass.logs import make_log
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "EVICTED",
    "MAX_ANSWER_BYTES",
    "SMALL_ANSWER_BYTES",
    "AnswerEvictedError",
    "HeldAnswer",
    "LargeAnswers",
    "count_slots",
]

# Largest answer that is not streamed. It is buffered until it is complete, so that a
# truncated one is never relayed.
MAX_ANSWER_BYTES = 8 * 2**20
# An answer up to this size is never delayed.
SMALL_ANSWER_BYTES = 64 * 2**10
# Share of the memory of the process that large answers may take; the rest is for the
# interpreter, the tables and the buffers of connections.
MEMORY_SHARE = 0.25
# Where the memory of the process is not known.
DEFAULT_SLOTS = 8
# Sound answers end within this time; it is waited for before one is given up.
EVICTION_DELAY = timedelta(milliseconds=500)

_log = make_log("forwarding")


class AnswerEvictedError(Exception):
    """An answer was given up, as those of other targets need its memory."""


class HeldAnswer:
    """Answer of one target, held while its context is open; ``size`` is in bytes.

    One that ``is_whole`` is on its way to the client and is not given up. The context
    raises AnswerEvictedError if the answer is given up.
    """

    __slots__ = ("_answers", "_timer", "is_whole", "size", "target")

    def __init__(self, answers: "LargeAnswers", target: str):
        self._answers = answers
        self._timer: asyncio.Timeout | None = None
        self.is_whole = False
        self.size = 0
        self.target = target

    async def __aenter__(self) -> "HeldAnswer":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is None:
            return
        try:
            await self._timer.__aexit__(kind, error, trace)
        except TimeoutError:
            raise AnswerEvictedError from None
        finally:
            self._answers.release(self)

    async def extend(self, size: int) -> None:
        """Let the answer grow to a size; wait for a slot once it is large."""
        self.size = size
        if size <= SMALL_ANSWER_BYTES:
            return
        if self._timer is None:
            self._timer = asyncio.timeout(None)
            await self._timer.__aenter__()
        await self._answers.acquire(self)

    def evict(self) -> None:
        """End the context with an error."""
        if self._timer is not None and not self._timer.expired():
            self._timer.reschedule(asyncio.get_running_loop().time())


class LargeAnswers:
    """Slots of the answers that are larger than ``SMALL_ANSWER_BYTES``.

    An answer without a slot is not read on. A target that waits takes a slot from one
    that has two more: a target that floods this host delays the large answers of other
    targets by ``EVICTION_DELAY`` at most, and small ones not at all.
    """

    __slots__ = ("_held", "_slots", "_waiting")

    def __init__(self, slots: int = DEFAULT_SLOTS):
        self._slots = slots
        self._held: set[HeldAnswer] = set()
        self._waiting: dict[HeldAnswer, asyncio.Event] = {}

    @property
    def held(self) -> int:
        """Return the number of slots in use."""
        return len(self._held)

    def hold(self, target: str) -> HeldAnswer:
        """Return the context in which an answer of a target is held."""
        return HeldAnswer(self, target)

    def release(self, answer: HeldAnswer) -> None:
        """Give back the slot of an answer, if it has one."""
        self._held.discard(answer)
        self._grant()

    async def acquire(self, answer: HeldAnswer) -> None:
        """Wait until an answer has a slot."""
        if answer in self._held:
            return
        granted = self._waiting[answer] = asyncio.Event()
        try:
            self._grant()
            while not granted.is_set():
                try:
                    async with asyncio.timeout(EVICTION_DELAY.total_seconds()):
                        await granted.wait()
                except TimeoutError:
                    self._evict_for(answer)
        finally:
            self._waiting.pop(answer, None)

    def _grant(self) -> None:
        """Give free slots to the targets that have the fewest, in order of arrival."""
        while self._waiting and len(self._held) < self._slots:
            counts = self._count_by_target()
            answer = min(self._waiting, key=lambda waiting: counts[waiting.target])
            self._held.add(answer)
            self._waiting.pop(answer).set()

    def _evict_for(self, answer: HeldAnswer) -> None:
        """Give up the largest answer of a target that has two slots more."""
        counts = self._count_by_target()
        target, count = max(counts.items(), key=lambda item: item[1])
        if answer in self._held or count < counts[answer.target] + 2:
            return
        owned = [h for h in self._held if h.target == target and not h.is_whole]
        if not owned:
            return
        evicted = max(owned, key=lambda held: held.size)
        self._held.discard(evicted)
        evicted.evict()
        _log("large answer is given up", target=target, bytes=evicted.size, held=count)
        self._grant()

    def _count_by_target(self) -> Counter[str]:
        return Counter(held.target for held in self._held)


def count_slots(memory_bytes: int) -> int:
    """Return how many large answers a process with this much memory may hold."""
    return max(int(memory_bytes * MEMORY_SHARE / MAX_ANSWER_BYTES), 1)


EVICTED = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.TARGET_FAILED,
    "the answers of other targets need the memory of this one",
)
"""Verdict on a request whose answer was given up."""
