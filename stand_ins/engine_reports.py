"""Let an engine's reports lag and its cache events come late and with gaps."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.tables.targets import LoadReport

__all__ = ["CacheBatch", "CacheEvents", "LaggedReports"]

LOST_BATCH_INTERVAL = 20


class LaggedReports:
    """Give the newest load report that is older than the lag."""

    __slots__ = ("_lag", "_reports")

    def __init__(self, lag: timedelta):
        self._lag = lag
        self._reports: deque[tuple[timedelta, LoadReport]] = deque()

    def add(self, now: timedelta, report: LoadReport) -> None:
        """Record a report made now."""
        self._reports.append((now, report))
        self._drop_old(now)

    def read(self, now: timedelta) -> LoadReport | None:
        """Return the report that is seen now; the oldest while all are too new."""
        self._drop_old(now)
        return self._reports[0][1] if self._reports else None

    def clear(self) -> None:
        """Forget every report, as a restart does."""
        self._reports.clear()

    def _drop_old(self, now: timedelta) -> None:
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._lag:
            self._reports.popleft()


@dataclass(slots=True)
class CacheBatch:
    """Hold one event about cached blocks."""

    sequence: int
    stored: list[int] = field(default_factory=list)
    evicted: list[int] = field(default_factory=list)


class CacheEvents:
    """Gather cached and evicted blocks into batches, each given one period late."""

    __slots__ = ("_gathered", "_delayed", "_sequence")

    def __init__(self) -> None:
        self._sequence = 1
        self._gathered = CacheBatch(1)
        self._delayed: CacheBatch | None = None

    def add(self, stored: list[int], evicted: list[int]) -> None:
        """Record blocks."""
        self._gathered.stored += stored
        self._gathered.evicted += evicted

    def take(self) -> CacheBatch | None:
        """End a period; return the batch of the one before, None where it is lost."""
        delayed = self._delayed
        self._delayed = None
        if self._gathered.stored or self._gathered.evicted:
            self._delayed = self._gathered
            self._sequence += 1
            self._gathered = CacheBatch(self._sequence)
        if delayed is None or delayed.sequence % LOST_BATCH_INTERVAL == 0:
            return None
        return delayed
