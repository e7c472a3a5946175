"""Hold an engine's requests by the stage that each has reached."""

from bisect import insort
from datetime import timedelta
from operator import attrgetter

from stand_ins.engine_memory import Memory
from stand_ins.engine_work import PendingExport, Sequence

__all__ = ["Batch"]

_RANK = attrgetter("rank")


class Batch:
    """Hold sequences and the memory that those started hold.

    Waiting and prefilling sequences are in order of priority, then arrival.
    """

    __slots__ = (
        "decoding",
        "importing",
        "memory",
        "pending_exports",
        "prefilling",
        "waiting",
    )

    def __init__(self, memory: Memory):
        self.memory = memory
        self.waiting: list[Sequence] = []
        self.importing: dict[str, Sequence] = {}
        self.prefilling: list[Sequence] = []
        self.decoding: dict[str, Sequence] = {}
        self.pending_exports: dict[str, PendingExport] = {}

    @property
    def running(self) -> int:
        """Return the count of sequences started and not ended."""
        return len(self.importing) + len(self.prefilling) + len(self.decoding)

    def enqueue(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        insort(self.waiting, sequence, key=_RANK)

    def add_prefilling(self, sequence: Sequence) -> None:
        """Let a started sequence run its prompt."""
        insort(self.prefilling, sequence, key=_RANK)

    def list_started(self) -> list[Sequence]:
        """Return all sequences that hold memory, but for kept ones."""
        return [
            *self.importing.values(),
            *self.prefilling,
            *self.decoding.values(),
        ]

    def contains(self, request_id: str) -> bool:
        """Tell whether a request waits or has been started."""
        started = request_id in self.importing or request_id in self.decoding
        queued = (*self.waiting, *self.prefilling)
        return started or any(one.work.id == request_id for one in queued)

    def cancel(self, request_id: str) -> bool | None:
        """End a request; return whether it was started, None where it is unknown."""
        if self._remove(self.waiting, request_id) is not None:
            return False
        sequence = self.importing.pop(request_id, None)
        sequence = sequence or self.decoding.pop(request_id, None)
        sequence = sequence or self._remove(self.prefilling, request_id)
        if sequence is None:
            return None
        self.release(sequence)
        return True

    def _remove(self, queue: list[Sequence], request_id: str) -> Sequence | None:
        for index, one in enumerate(queue):
            if one.work.id == request_id:
                return queue.pop(index)
        return None

    def release(self, sequence: Sequence) -> None:
        """Give the memory of a sequence back."""
        self.memory.release(sequence.pinned_blocks, sequence.private_pieces)

    def fetch(self, handle: str) -> PendingExport | None:
        """Take a kept KV cache out and give its memory back."""
        pending = self.pending_exports.pop(handle, None)
        if pending is not None:
            self.release(pending.sequence)
        return pending

    def expire(self, now: timedelta) -> None:
        """Forget kept KV caches whose time is over."""
        for handle in [
            h for h, pending in self.pending_exports.items() if pending.expires <= now
        ]:
            self.fetch(handle)

    def clear(self) -> None:
        """Forget every sequence and evict every block."""
        self.waiting.clear()
        self.importing.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.pending_exports.clear()
        self.memory.clear()
