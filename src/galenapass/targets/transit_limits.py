"""Limit how long requests may be on their way to targets that have left.

The kernel sends what a target has not acknowledged again, also seconds later, once a
cut of the link has ended. The target may have left by then, and its host knows.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.http_connections import reset_connection
from galenapass.logs import make_log
from galenapass.tables.targets import Target
from galenapass.targets.connection_records import Call
from galenapass.targets.tcp_states import has_unacknowledged

__all__ = ["MAX_TRANSIT_TIME", "TransitLimits"]

# Since the news that the target has left; it serves for two seconds or more after it.
MAX_TRANSIT_TIME = timedelta(seconds=1.4)

_log = make_log("connections")


@dataclass(slots=True, eq=False)
class _Transit:
    """Request whose response has not begun; ``left_at`` is None until it is known."""

    target: Target
    call: Call
    left_at: timedelta | None = None


class TransitLimits:
    """Limits of one host's requests whose responses have not begun.

    ``has_left`` returns whether a target has left.
    """

    __slots__ = ("_clock", "_has_left", "_transits")

    def __init__(self, clock: Clock, has_left: Callable[[Target], bool]):
        self._clock = clock
        self._has_left = has_left
        self._transits: set[_Transit] = set()

    @contextmanager
    def track(self, target: Target, call: Call) -> Iterator[None]:
        """Limit a call, if its target leaves, until its response begins."""
        transit = _Transit(target, call)
        self._transits.add(transit)
        try:
            yield
        finally:
            self._transits.remove(transit)

    def update(self) -> None:
        """Reset the connections of the calls that are on their way for too long."""
        now = self._clock.monotonic()
        for transit in self._transits:
            if transit.left_at is None:
                transit.left_at = now if self._has_left(transit.target) else None
            elif now - transit.left_at >= MAX_TRANSIT_TIME:
                _reset_unacknowledged(transit)


def _reset_unacknowledged(transit: _Transit) -> None:
    connection = transit.call.connection
    if connection is None or not has_unacknowledged(connection.transport):
        return
    _log(
        "request has not reached a target that has left",
        target=transit.target.id,
        request=transit.call.attempt,
    )
    reset_connection(connection.transport)
