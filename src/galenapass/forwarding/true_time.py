"""Estimate the true time although wall clocks jump and differ between hosts.

The boot clock keeps its pace, so the true time is that clock and an offset. A host's
own offset is that of its wall clock without its steps; the median over the hosts
outvotes one that started while its wall clock was off.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from galenapass.clocks import Clock
from galenapass.logs import make_log

__all__ = ["ClockReading", "TrueTime", "WallClock", "find_median", "follow_wall_clock"]

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Clocks are slewed by far less between two readings of a second or less.
MIN_STEP = timedelta(milliseconds=50)
# Between the readings of two clocks; a longer pause would look like a step.
MAX_READING_TIME = timedelta(milliseconds=5)
# A one-way reading lags by the delay of its message, so the latest one of this time
# with the least delay counts.
READING_TIME = timedelta(seconds=15)
# A reading whose round trip took longer is too vague.
MAX_ROUND_TRIP = timedelta(milliseconds=200)
# Smaller differences are left, so that windows do not move with each reading.
TOLERANCE = timedelta(milliseconds=20)
MIN_SETTLED_WEIGHT = 2
# A host that knows no other clocks by then uses its own.
SETTLE_TIME = timedelta(seconds=2)
# Of the clocks that another host has compared, as many count.
MAX_WEIGHT = 5

_log = make_log("time")


@dataclass(slots=True)
class WallClock:
    """Offset of a wall clock to the boot clock, and the same without its steps."""

    seen: timedelta
    offset: timedelta


@dataclass(slots=True, frozen=True)
class ClockReading:
    """Offset of another host's clock to this host's boot clock, read at a time."""

    offset: timedelta
    weight: int
    read_at: timedelta
    is_round_trip: bool = False


def follow_wall_clock(wall_clock: WallClock, seen: timedelta) -> timedelta | None:
    """Apply the offset that a wall clock shows now; return its step if it jumped."""
    moved = seen - wall_clock.seen
    wall_clock.seen = seen
    if abs(moved) >= MIN_STEP:
        return moved
    wall_clock.offset += moved
    return None


def find_median(readings: Iterable[ClockReading]) -> timedelta:
    """Return the weighted median of offsets, of which there is at least one."""
    ordered = sorted(readings, key=lambda reading: reading.offset)
    left = sum(reading.weight for reading in ordered) / 2
    for reading in ordered:
        left -= reading.weight
        if left <= 0:
            return reading.offset
    raise ValueError("no reading")


class TrueTime:
    """True time of this host, compared with the clocks of other hosts.

    It ``is_settled`` once it was compared, or no other clock can be expected.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._started = clock.monotonic()
        seen = self._read_wall_clock() or clock.now() - EPOCH - clock.monotonic()
        self._wall_clock = WallClock(seen, seen)
        self._readings: dict[str, ClockReading] = {}
        self.offset = seen
        self.is_settled = False

    @property
    def weight(self) -> int:
        """Return how many clocks the estimate comes from, up to the highest weight."""
        return min(1 + len(self._readings), MAX_WEIGHT)

    def now(self) -> timedelta:
        """Return the true time since the start of 1970."""
        return self._clock.monotonic() + self.offset

    def read_own_clock(self) -> timedelta:
        """Return the time of the wall clock without its steps."""
        return self._clock.monotonic() + self._wall_clock.offset

    def apply_clock(self, host: str, told: timedelta) -> None:
        """Apply the time of another host's own clock, as its message came."""
        now = self._clock.monotonic()
        offset, known = told - now, self._readings.get(host)
        is_later = known is None or (not known.is_round_trip and offset > known.offset)
        if is_later or (known is not None and _is_old(known, now)):
            self._readings[host] = ClockReading(offset, 1, now)

    def apply_reply(
        self, host: str, told: timedelta, weight: int, sent_at: timedelta
    ) -> None:
        """Apply the true time of another host, from a round trip begun at a time."""
        now = self._clock.monotonic()
        if now - sent_at > MAX_ROUND_TRIP:
            return
        offset = told - (sent_at + now) / 2
        weight = min(max(weight, 1), MAX_WEIGHT)
        self._readings[host] = ClockReading(offset, weight, now, True)

    def update(self) -> None:
        """Follow the own wall clock and the median of all clocks."""
        now = self._clock.monotonic()
        seen = self._read_wall_clock()
        if seen is not None:
            step = follow_wall_clock(self._wall_clock, seen)
            if step is not None:
                _log("wall clock was stepped", seconds=step.total_seconds())
        self._readings = {
            host: reading
            for host, reading in self._readings.items()
            if not _is_old(reading, now)
        }
        own = ClockReading(self._wall_clock.offset, 1, now)
        median = find_median([own, *self._readings.values()])
        if abs(median - self.offset) > TOLERANCE:
            seconds = (median - self.offset).total_seconds()
            _log("true time is corrected", seconds=seconds, clocks=self.weight)
            self.offset = median
        weight = sum(reading.weight for reading in self._readings.values())
        # Of two clocks that differ either may be off.
        is_compared = weight >= MIN_SETTLED_WEIGHT
        self.is_settled |= is_compared or now - self._started >= SETTLE_TIME

    def _read_wall_clock(self) -> timedelta | None:
        """Return the wall clock's offset, None if the process paused meanwhile."""
        before = self._clock.monotonic()
        wall = self._clock.now() - EPOCH
        after = self._clock.monotonic()
        return None if after - before > MAX_READING_TIME else wall - after


def _is_old(reading: ClockReading, now: timedelta) -> bool:
    return now - reading.read_at > READING_TIME
