"""Bound how long a target may make no progress with an answer."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock

__all__ = ["ProgressTimeouts", "Progress"]


@dataclass(slots=True, frozen=True)
class ProgressTimeouts:
    """Hold how long a target may be silent before and after its first progress.

    None is no bound; ``may_switch_target`` tells whether the request could go to
    another target now, as a silent one is better than none.
    """

    first: timedelta | None = None
    later: timedelta | None = None
    may_switch_target: Callable[[], bool] = lambda: True


class Progress:
    """Hold when a target last made progress.

    Load patterns: streams whose pauses are long but sound, and stalled ones that send
    a byte now and then, which is no progress.
    """

    __slots__ = ("_at", "_clock", "_has_begun", "_progress_timeouts")

    def __init__(self, progress_timeouts: ProgressTimeouts, clock: Clock):
        self._progress_timeouts = progress_timeouts
        self._clock = clock
        self._at = clock.monotonic()
        self._has_begun = False

    def record(self) -> None:
        """Take note of progress."""
        self._at = self._clock.monotonic()
        self._has_begun = True

    def find_time_left(self) -> timedelta | None:
        """Return how long the target may go on without progress, None for ever."""
        progress_timeouts = self._progress_timeouts
        limit = progress_timeouts.later if self._has_begun else progress_timeouts.first
        if limit is None or not progress_timeouts.may_switch_target():
            return None
        return max(self._at + limit - self._clock.monotonic(), timedelta(0))
