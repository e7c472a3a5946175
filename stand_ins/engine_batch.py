"""Keep an engine's sequences by their stage."""

from bisect import insort
from datetime import timedelta
from operator import attrgetter

from stand_ins.engine_memory import Memory
from stand_ins.engine_work import PendingExport, Sequence

__all__ = ["Batch"]

_RANK = attrgetter("rank")


class Batch:
    """Sequences of an engine by stage, and the memory allocated to the started ones.

    Waiting and prefilling sequences are ordered by priority, then by arrival.
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
        """Return the number of sequences that are started and not ended."""
        return len(self.importing) + len(self.prefilling) + len(self.decoding)

    def enqueue(self, sequence: Sequence) -> None:
        """Add a sequence to the waiting queue."""
        insort(self.waiting, sequence, key=_RANK)

    def add_prefilling(self, sequence: Sequence) -> None:
        """Add a started sequence to the prefilling queue."""
        insort(self.prefilling, sequence, key=_RANK)

    def list_started(self) -> list[Sequence]:
        """Return the started sequences; pending exports are not included."""
        return [
            *self.importing.values(),
            *self.prefilling,
            *self.decoding.values(),
        ]

    def contains(self, request_id: str) -> bool:
        """Return whether a request is waiting or started."""
        started = request_id in self.importing or request_id in self.decoding
        queued = (*self.waiting, *self.prefilling)
        return started or any(sequence.work.id == request_id for sequence in queued)

    def cancel(self, request_id: str) -> bool | None:
        """Cancel a request; return whether it was started, or None if unknown."""
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
        for index, sequence in enumerate(queue):
            if sequence.work.id == request_id:
                return queue.pop(index)
        return None

    def release(self, sequence: Sequence) -> None:
        """Release the memory of a sequence."""
        self.memory.release(sequence.pinned_blocks, sequence.private_pieces)

    def fetch(self, handle: str) -> PendingExport | None:
        """Remove a pending export, release its memory and return it."""
        pending = self.pending_exports.pop(handle, None)
        if pending is not None:
            self.release(pending.sequence)
        return pending

    def expire(self, now: timedelta) -> None:
        """Drop the pending exports that have expired."""
        for handle in [
            h for h, pending in self.pending_exports.items() if pending.expires <= now
        ]:
            self.fetch(handle)

    def clear(self) -> None:
        """Drop all sequences and evict all blocks."""
        self.waiting.clear()
        self.importing.clear()
        self.prefilling.clear()
        self.decoding.clear()
        self.pending_exports.clear()
        self.memory.clear()
