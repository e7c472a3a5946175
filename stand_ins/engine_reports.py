"""Delay an engine's load reports; delay its cache events and drop some."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.tables.targets import LoadReport

__all__ = ["CacheBatch", "CacheEvents", "LaggedReports"]

LOST_BATCH_INTERVAL = 20


class LaggedReports:
    """Load reports of an engine, readable after a lag."""

    __slots__ = ("_lag", "_reports")

    def __init__(self, lag: timedelta):
        self._lag = lag
        self._reports: deque[tuple[timedelta, LoadReport]] = deque()

    def add(self, now: timedelta, report: LoadReport) -> None:
        """Record a report made at ``now``."""
        self._reports.append((now, report))
        self._drop_old(now)

    def read(self, now: timedelta) -> LoadReport | None:
        """Return the newest report older than the lag, or else the oldest."""
        self._drop_old(now)
        return self._reports[0][1] if self._reports else None

    def clear(self) -> None:
        """Drop all reports, as a restart does."""
        self._reports.clear()

    def _drop_old(self, now: timedelta) -> None:
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._lag:
            self._reports.popleft()


@dataclass(slots=True)
class CacheBatch:
    """Event with the hashes of newly stored and evicted blocks."""

    sequence: int
    stored: list[int] = field(default_factory=list)
    evicted: list[int] = field(default_factory=list)


class CacheEvents:
    """Stored and evicted blocks, batched by period and published one period late."""

    __slots__ = ("_delayed", "_gathered", "_sequence")

    def __init__(self) -> None:
        self._sequence = 1
        self._gathered = CacheBatch(1)
        self._delayed: CacheBatch | None = None

    def add(self, stored: list[int], evicted: list[int]) -> None:
        """Add blocks to the current batch."""
        self._gathered.stored += stored
        self._gathered.evicted += evicted

    def take(self) -> CacheBatch | None:
        """End a period; return the previous batch, or None if empty or lost."""
        delayed = self._delayed
        self._delayed = None
        if self._gathered.stored or self._gathered.evicted:
            self._delayed = self._gathered
            self._sequence += 1
            self._gathered = CacheBatch(self._sequence)
        if delayed is None or delayed.sequence % LOST_BATCH_INTERVAL == 0:
            return None
        return delayed
