"""Hand out an engine's memory in pieces and keep prompt blocks cached in the rest."""

from collections.abc import Iterable, Sequence

__all__ = ["Memory"]


class Memory:
    """Count pieces held by requests and by cached blocks; the sum never exceeds all.

    A pinned block is in use by at least one request. An idle one stays cached until
    its pieces are wanted; the least recently used goes first.
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
        """Return the pieces that requests hold, shared blocks counted once."""
        return self._private_pieces + self._block_pieces * len(self._pins)

    @property
    def used(self) -> int:
        """Return the pieces held and those of idle cached blocks."""
        return self.held + self._block_pieces * len(self._idle)

    def count_cached(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are cached."""
        for count, block in enumerate(blocks):
            if block not in self._pins and block not in self._idle:
                return count
        return len(blocks)

    def reserve(self, cached_blocks: Sequence[int], private_pieces: int) -> bool:
        """Pin cached blocks and take private pieces; change nothing if too few."""
        reused_idle = sum(block in self._idle for block in cached_blocks)
        if self.held + self._block_pieces * reused_idle + private_pieces > self.total:
            return False
        for block in cached_blocks:
            self._pin(block)
        self._private_pieces += private_pieces
        self._evict_idle()
        return True

    def store(self, blocks: Iterable[int]) -> list[int]:
        """Turn private pieces into pinned blocks; return the newly cached ones."""
        stored = []
        for block in blocks:
            if block not in self._pins and block not in self._idle:
                stored.append(block)
            self._private_pieces -= self._block_pieces
            self._pin(block)
        return stored

    def release(self, pinned_blocks: Sequence[int], private_pieces: int) -> None:
        """Give private pieces back and unpin blocks, which stay cached while idle."""
        self._private_pieces -= private_pieces
        # The last block goes idle first, so that a prefix loses its end first.
        for block in reversed(pinned_blocks):
            self._unpin(block)

    def clear(self) -> None:
        """Forget every request and evict every block."""
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
