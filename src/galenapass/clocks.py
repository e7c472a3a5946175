"""Provide clocks that tests and measurements can replace and advance."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of wall time for hours of the day and monotonic time for the rest."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start; it never decreases."""


class SystemClock:
    """System clocks of this host."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the host started."""
        return timedelta(seconds=time.monotonic())


class BootClock(SystemClock):
    """System clocks of this host; monotonic time includes suspension."""

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the time since the host started, including suspension."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """Clock that changes only when it is advanced."""

    __slots__ = ("_elapsed", "_start")

    def __init__(self, start: datetime = datetime(2026, 1, 5, 9, 0, tzinfo=UTC)):
        self._start = start
        self._elapsed = timedelta(0)

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Advance wall time and monotonic time by a step.

        Raise ValueError for a negative step.
        """
        if step < timedelta(0):
            raise ValueError(f"a clock cannot go back: {step}")
        self._elapsed += step
