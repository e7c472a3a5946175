"""Hold a granted place at a target while a daemon uses it."""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding.asks import End, Grant, Outcome

__all__ = ["Place"]

MILLISECOND = timedelta(milliseconds=1)


class Place:
    """Hold a place until ``end`` gives it back through ``give_back``."""

    __slots__ = ("_clock", "_first_at", "_give_back", "_is_ended", "_started", "grant")

    def __init__(self, grant: Grant, clock: Clock, give_back: Callable[[End], None]):
        self.grant = grant
        self._clock = clock
        self._give_back = give_back
        self._started = clock.monotonic()
        self._first_at: timedelta | None = None
        self._is_ended = False

    def note_output(self) -> None:
        """Take note of output; the first one ends the reading of a prompt."""
        if self._first_at is None and not self._is_ended:
            self._first_at = self._clock.monotonic()
            self._give_back(End(self.grant.ticket, Outcome.DONE, only_read=True))

    def end(self, outcome: Outcome, events: int = 0) -> None:
        """Give the place back after so many events; a second call does nothing."""
        if self._is_ended:
            return
        self._is_ended = True
        now = self._clock.monotonic()
        took = (now - self._started) / MILLISECOND
        first = ((self._first_at or now) - self._started) / MILLISECOND
        self._give_back(End(self.grant.ticket, outcome, took, first, False, events))
