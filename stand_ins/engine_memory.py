"""Allocate an engine's memory in pieces and cache prompt blocks in unused ones."""

from collections.abc import Iterable, Sequence

__all__ = ["Memory"]


class Memory:
    """Pieces used by requests and by cached blocks, never more than ``total``.

    A pinned block is in use by at least one request. An idle block stays cached until
    its pieces are needed; the least recently used is evicted first.
    """

    __slots__ = (
        "_block_pieces",
        "_evicted",
        "_idle",
        "_pins",
        "_private_pieces",
        "total",
    )

    def __init__(self, total: int, block_pieces: int):
        self.total = total
        self._block_pieces = block_pieces
        self._private_pieces = 0
        self._pins: dict[int, int] = {}
        self._idle: dict[int, None] = {}
        self._evicted: list[int] = []

    @property
    def held(self) -> int:
        """Return the pieces allocated to requests; a shared block counts once."""
        return self._private_pieces + self._block_pieces * len(self._pins)

    @property
    def used(self) -> int:
        """Return the pieces of requests and of idle cached blocks."""
        return self.held + self._block_pieces * len(self._idle)

    def count_cached(self, blocks: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached."""
        for count, block in enumerate(blocks):
            if block not in self._pins and block not in self._idle:
                return count
        return len(blocks)

    def reserve(self, cached_blocks: Sequence[int], private_pieces: int) -> bool:
        """Pin blocks and allocate private pieces; return False if they do not fit."""
        reused_idle = sum(block in self._idle for block in cached_blocks)
        if self.held + self._block_pieces * reused_idle + private_pieces > self.total:
            return False
        for block in cached_blocks:
            self._pin(block)
        self._private_pieces += private_pieces
        self._evict_idle()
        return True

    def store(self, blocks: Iterable[int]) -> list[int]:
        """Convert private pieces to pinned blocks; return the newly cached blocks."""
        stored = []
        for block in blocks:
            if block not in self._pins and block not in self._idle:
                stored.append(block)
            self._private_pieces -= self._block_pieces
            self._pin(block)
        return stored

    def release(self, pinned_blocks: Sequence[int], private_pieces: int) -> None:
        """Release private pieces and unpin blocks, which stay cached while idle."""
        self._private_pieces -= private_pieces
        # In reverse order, so that the end of a prefix is evicted before its start.
        for block in reversed(pinned_blocks):
            self._unpin(block)

    def clear(self) -> None:
        """Drop all allocations and evict all blocks."""
        self._evicted.extend([*self._pins, *self._idle])
        self._pins.clear()
        self._idle.clear()
        self._private_pieces = 0

    def take_evicted(self) -> list[int]:
        """Return the blocks evicted since the last call."""
        evicted = self._evicted
        self._evicted = []
        return evicted

    def _pin(self, block: int) -> None:
        self._idle.pop(block, None)
        self._pins[block] = self._pins.get(block, 0) + 1

    def _unpin(self, block: int) -> None:
        pins = self._pins.pop(block)
        if pins > 1:
            self._pins[block] = pins - 1
        else:
            self._idle[block] = None

    def _evict_idle(self) -> None:
        while self.used > self.total:
            block = next(iter(self._idle))
            del self._idle[block]
            self._evicted.append(block)
