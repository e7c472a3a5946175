"""Run the systems on events; events that arrive together share one tick."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from reactivex import interval
from reactivex.abc import DisposableBase
from reactivex.scheduler.eventloop import AsyncIOScheduler
from reactivex.subject import Subject

__all__ = ["Ticker"]


class Ticker:
    """Scheduler that calls a function once for all events of one loop iteration.

    An event schedules the tick at once, so waiting for the next period adds no
    latency; the period serves decisions that depend only on elapsed time.
    """

    __slots__ = ("_is_scheduled", "_loop", "_period", "_timer", "events", "tick")

    def __init__(self, tick: Callable[[], None], period: timedelta):
        self.tick = tick
        self.events: Subject[None] = Subject()
        self._loop = asyncio.get_running_loop()
        self._period = period
        self._is_scheduled = False
        self._timer: DisposableBase | None = None

    def start(self) -> None:
        """Start ticking on events and once per period."""
        self.events.subscribe(lambda _: self._schedule())
        scheduler = AsyncIOScheduler(self._loop)
        timer = interval(self._period, scheduler=scheduler)
        self._timer = timer.subscribe(lambda _: self._schedule())

    def stop(self) -> None:
        """Stop ticking."""
        self.events.on_completed()
        if self._timer is not None:
            self._timer.dispose()

    def wake(self) -> None:
        """Signal an event that requires a tick."""
        self.events.on_next(None)

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        self.tick()
