"""Time out on a silent peer, and not on a pause of this process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

__all__ = ["limit_silence"]

TICK = timedelta(milliseconds=25)
# A pause counts as this much time at most, however long it is.
MAX_PAUSE = timedelta(milliseconds=50)


@asynccontextmanager
async def limit_silence(limit: timedelta) -> AsyncIterator[None]:
    """Raise TimeoutError once the event loop has run for ``limit``.

    Load pattern: a process that pauses for longer than its peers may take, as for a
    garbage collection, a large configuration or a busy processor. Their answers have
    come, but timers that count the pause end before they are read.
    """
    async with asyncio.timeout(None) as timeout:
        countdown = _Countdown(timeout, limit)
        try:
            yield
        finally:
            countdown.stop()


class _Countdown:
    """Ticks until a timeout ends."""

    __slots__ = ("_due", "_handle", "_is_extended", "_left", "_loop", "_timeout")

    def __init__(self, timeout: asyncio.Timeout, limit: timedelta):
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._left = limit.total_seconds()
        self._is_extended = False
        self._schedule()

    def stop(self) -> None:
        self._handle.cancel()

    def _schedule(self) -> None:
        self._due = self._loop.time() + min(self._left, TICK.total_seconds())
        self._handle = self._loop.call_at(self._due, self._tick)

    def _tick(self) -> None:
        now, tick = self._loop.time(), TICK.total_seconds()
        late = now - self._due
        self._left -= min(tick + late, MAX_PAUSE.total_seconds())
        if self._left < tick / 2 and late > tick and not self._is_extended:
            # What came during the pause takes a few passes of the loop to be read.
            self._is_extended = True
            self._left = tick / 2
        if self._left > 0:
            self._schedule()
        else:
            self._timeout.reschedule(now)
