"""Give up the answer of a silent target only once the next send is ready."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import Protocol, TypeVar

from galenapass.forwarding.progress import Progress

__all__ = ["NextSend", "SilenceWatch", "SilentTargetError"]

# After a next send could not be prepared, or may not be, it is tried again after this
# time: about as long as a full target takes to have a free slot.
RETRY_INTERVAL = timedelta(seconds=0.5)

T = TypeVar("T")


class SilentTargetError(Exception):
    """A target made no progress for too long, and the next send is ready."""


class NextSend(Protocol):
    """Next send of a request, prepared while the present one goes on."""

    async def prepare(self) -> bool:
        """Prepare it and return whether it is ready."""

    def cancel(self) -> None:
        """End the preparation, or release what is ready."""


class SilenceWatch:
    """Watch over the silence of the target of one send.

    Load pattern: many healthy streams that pause at the same time. Targets that were
    given up before another one was found cut them, as the retry budget and the free
    slots are enough for a few of them only.
    """

    __slots__ = ("_next_send", "_progress", "_reading", "_task")

    def __init__(self, progress: Progress, next_send: NextSend):
        self._progress = progress
        self._next_send = next_send
        self._reading: asyncio.Timeout | None = None
        self._task: asyncio.Task[None] | None = None
        if progress.is_limited:
            self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """End the watch; a next send that is ready remains ready."""
        if self._task is not None:
            self._task.cancel()

    def record_progress(self) -> None:
        """Record progress now; a switch that is being prepared is cancelled."""
        self._progress.record()
        if self._task is not None:
            self._next_send.cancel()

    async def read(self, work: Awaitable[T]) -> T:
        """Await what a target sends; raise SilentTargetError if it is given up."""
        try:
            async with asyncio.timeout(None) as timer:
                self._reading = timer
                received = await work
                if timer.when() is not None:
                    # It came before the target could be given up.
                    self._next_send.cancel()
                return received
        except TimeoutError:
            if timer.expired():
                raise SilentTargetError from None
            raise
        finally:
            self._reading = None

    async def _watch(self) -> None:
        retry_seconds = RETRY_INTERVAL.total_seconds()
        while True:
            time_left = self._progress.find_time_left()
            if time_left is None or self._reading is None:
                # Without a read, the client is slow and not the target.
                await asyncio.sleep(retry_seconds)
            elif time_left:
                await asyncio.sleep(time_left.total_seconds())
            else:
                if await self._next_send.prepare():
                    self._end_read()
                await asyncio.sleep(retry_seconds)

    def _end_read(self) -> None:
        if self._reading is None:
            self._next_send.cancel()
        else:
            self._reading.reschedule(asyncio.get_running_loop().time())
