"""Bound how long a target may make no progress with a response."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock

__all__ = ["Progress", "ProgressTimeouts"]


@dataclass(slots=True, frozen=True)
class ProgressTimeouts:
    """Longest time without progress, before and after the first progress.

    None is no limit. ``may_switch_target`` returns whether the request could go to
    another target now; if not, no limit applies, as a stalled target may still answer.
    """

    first: timedelta | None = None
    later: timedelta | None = None
    may_switch_target: Callable[[], bool] = lambda: True


class Progress:
    """Time since a target last made progress.

    Load patterns: healthy streams with long pauses, and stalled streams that send
    single bytes from time to time, which is not progress.
    """

    __slots__ = ("_clock", "_has_begun", "_last_progress_at", "_progress_timeouts")

    def __init__(self, progress_timeouts: ProgressTimeouts, clock: Clock):
        self._progress_timeouts = progress_timeouts
        self._clock = clock
        self._last_progress_at = clock.monotonic()
        self._has_begun = False

    @property
    def is_limited(self) -> bool:
        """Return whether the time without progress has any limit."""
        return (
            self._progress_timeouts.first is not None
            or self._progress_timeouts.later is not None
        )

    def record(self) -> None:
        """Record progress now."""
        self._last_progress_at = self._clock.monotonic()
        self._has_begun = True

    def find_time_left(self) -> timedelta | None:
        """Return how long the target may still make no progress, None for no limit."""
        progress_timeouts = self._progress_timeouts
        limit = progress_timeouts.later if self._has_begun else progress_timeouts.first
        if limit is None or not progress_timeouts.may_switch_target():
            return None
        return max(
            self._last_progress_at + limit - self._clock.monotonic(), timedelta(0)
        )
