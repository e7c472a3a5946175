"""Hold an engine's requests by the stage that each has reached."""

from bisect import insort
from datetime import timedelta
from operator import attrgetter

from stand_ins.engine_memory import Memory
from stand_ins.engine_work import Kept, Sequence

__all__ = ["Batch"]

_RANK = attrgetter("rank")


class Batch:
    """Hold sequences and the memory that those started hold.

    Waiting and prefilling sequences are in order of priority, then arrival.
    """

    __slots__ = ("decoding", "importing", "kept", "memory", "prefilling", "waiting")

    def __init__(self, memory: Memory):
        self.memory = memory
        self.waiting: list[Sequence] = []
        self.importing: dict[str, Sequence] = {}
        self.prefilling: list[Sequence] = []
        self.decoding: dict[str, Sequence] = {}
        self.kept: dict[str, Kept] = {}

    @property
    def running(self) -> int:
        """Return the count of sequences started and not ended."""
        return len(self.importing) + len(self.prefilling) + len(self.decoding)

    def wait(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        insort(self.waiting, sequence, key=_RANK)

    def prefill(self, sequence: Sequence) -> None:
        """Let a started sequence run its prompt."""
        insort(self.prefilling, sequence, key=_RANK)

    def list_started(self) -> list[Sequence]:
        """Return all sequences that hold memory, but for kept ones."""
        return [
            *self.importing.values(),
            *self.prefilling,
            *self.decoding.values(),
        ]

    def holds(self, request: str) -> bool:
        """Tell whether a request waits or has been started."""
        started = request in self.importing or request in self.decoding
        queued = (*self.waiting, *self.prefilling)
        return started or any(one.work.id == request for one in queued)

    def cancel(self, request: str) -> bool | None:
        """End a request; return whether it was started, None where it is unknown."""
        if self._remove(self.waiting, request) is not None:
            return False
        sequence = self.importing.pop(request, None)
        sequence = sequence or self.decoding.pop(request, None)
        sequence = sequence or self._remove(self.prefilling, request)
        if sequence is None:
            return None
        self.release(sequence)
        return True

    def _remove(self, queue: list[Sequence], request: str) -> Sequence | None:
        for number, one in enumerate(queue):
            if one.work.id == request:
                return queue.pop(number)
        return None

    def release(self, sequence: Sequence) -> None:
        """Give the memory of a sequence back."""
        self.memory.release(sequence.pinned, sequence.private)

    def fetch(self, handle: str) -> Kept | None:
        """Take a kept KV cache out and give its memory back."""
        kept = self.kept.pop(handle, None)
        if kept is not None:
            self.release(kept.sequence)
        return kept

    def expire(self, now: timedelta) -> None:
        """Forget kept KV caches whose time is over."""
        for handle in [h for h, kept in self.kept.items() if kept.expires <= now]:
            self.fetch(handle)

    def clear(self) -> None:
        """Forget every sequence and evict every block."""
        self.waiting.clear()
        self.importing.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.kept.clear()
        self.memory.clear()
