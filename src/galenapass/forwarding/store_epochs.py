"""Track the store's epoch, which rises each time the store returns to an older copy.

After a restore nothing that was read from the store or acknowledged by it in an earlier
epoch need still hold: revisions are given out again and leases are gone.
"""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.logs import make_log

__all__ = ["StoreEpochs"]

# Other hosts are told of a new epoch for this long, as a datagram may be lost.
TELL_TIME = timedelta(seconds=3)

_log = make_log("store")


class StoreEpochs:
    """Epoch of the store as far as this host knows.

    ``on_restore`` is called once for each later epoch than the known one. ``current``
    is None until an answer of the store or another host names an epoch; stores of
    earlier builds name none. ``seen_at`` is the monotonic time at which this process
    first saw the current epoch.
    """

    __slots__ = ("_clock", "_on_restore", "_restored_at", "current", "seen_at")

    def __init__(
        self, clock: Clock, on_restore: Callable[[], None] = lambda: None
    ) -> None:
        self.current: int | None = None
        self.seen_at: timedelta | None = None
        self._clock = clock
        self._on_restore = on_restore
        self._restored_at: timedelta | None = None

    @property
    def is_new(self) -> bool:
        """Return whether other hosts are to be told of the epoch again."""
        restored_at = self._restored_at
        if restored_at is None:
            return False
        return self._clock.monotonic() - restored_at < TELL_TIME

    def observe(self, epoch: int | None, source: str) -> None:
        """Record the epoch that the store or another host named."""
        before = self.current
        if epoch is None or (before is not None and epoch <= before):
            return
        self.current = epoch
        self.seen_at = self._clock.monotonic()
        if before is None:
            return
        self._restored_at = self.seen_at
        _log("store was restored", epoch=epoch, before=before, source=source)
        self._on_restore()

    def is_outdated(self, epoch: int | None) -> bool:
        """Return whether an answer of this epoch was given before the last restore."""
        return epoch is not None and self.current is not None and epoch < self.current
