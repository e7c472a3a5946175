"""Wake the systems on events, several of which share one tick."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from reactivex import interval
from reactivex.abc import DisposableBase
from reactivex.scheduler.eventloop import AsyncIOScheduler
from reactivex.subject import Subject

__all__ = ["Ticker"]


class Ticker:
    """Call a function once for all events of one turn of the loop.

    An event brings the tick on at once, so that waiting for the next period
    adds no latency; the period is for decisions that only time brings about.
    """

    __slots__ = ("_due", "_loop", "_period", "_timer", "events", "tick")

    def __init__(self, tick: Callable[[], None], period: timedelta):
        self.tick = tick
        self.events: Subject[None] = Subject()
        self._loop = asyncio.get_running_loop()
        self._period = period
        self._due = False
        self._timer: DisposableBase | None = None

    def start(self) -> None:
        """Begin to tick on events and once a period."""
        self.events.subscribe(lambda _: self._bring_on())
        scheduler = AsyncIOScheduler(self._loop)
        timer = interval(self._period, scheduler=scheduler)
        self._timer = timer.subscribe(lambda _: self._bring_on())

    def stop(self) -> None:
        """End all ticking."""
        self.events.on_completed()
        if self._timer is not None:
            self._timer.dispose()

    def wake(self) -> None:
        """Take note of an event."""
        self.events.on_next(None)

    def _bring_on(self) -> None:
        if self._due:
            return
        self._due = True
        self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._due = False
        self.tick()
