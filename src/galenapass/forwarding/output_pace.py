"""Measure how fast a target makes the events of one stream."""

from datetime import timedelta

__all__ = ["OutputPace"]


class OutputPace:
    """Pace of the events of one stream; times are monotonic.

    ``first_at`` is when the first event came, None before it; ``events`` counts all.
    """

    __slots__ = ("_last_at", "_longest_pause", "_pauses", "events", "first_at")

    def __init__(self) -> None:
        self.first_at: timedelta | None = None
        self.events = 0
        self._last_at = timedelta(0)
        self._longest_pause = timedelta(0)
        self._pauses = 0

    def record(self, now: timedelta, events: int) -> None:
        """Record events that came together."""
        self.events += events
        if self.first_at is None:
            self.first_at = now
        else:
            self._pauses += 1
            self._longest_pause = max(self._longest_pause, now - self._last_at)
        self._last_at = now

    def find(self) -> timedelta | None:
        """Return the time of one event, None if fewer than two came separately.

        The longest of several pauses is left out: a target that is silent once does
        not make every event slowly.
        """
        if self.first_at is None or not self._pauses:
            return None
        if self._pauses == 1:
            return self._longest_pause
        span = self._last_at - self.first_at - self._longest_pause
        return span / (self._pauses - 1)
