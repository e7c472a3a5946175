"""Exchange the rate limits of targets with other hosts.

Hosts tell each other what targets' responses named. A host of a build that does not
know rate limits leaves them out of its messages.
"""

from dataclasses import dataclass
from datetime import timedelta
from itertools import islice

from galenapass.clocks import Clock
from galenapass.forwarding.rate_limits import (
    Incarnation,
    RateLimit,
    RateLimits,
    merge_rate_limit,
)
from galenapass.logs import make_log

__all__ = ["LimitNotice", "LimitSharing"]

# Limits are told again this often, as a datagram may be lost.
SHARE_PERIOD = timedelta(milliseconds=500)
# Limits that fit into one datagram of usual size.
MAX_NOTICES = 16

_log = make_log("limits")


@dataclass(slots=True, frozen=True)
class LimitNotice:
    """Rate limit of one incarnation of a target."""

    incarnation: Incarnation
    limit: RateLimit


class LimitSharing:
    """Rate limits to tell other hosts, and the hosts that know rate limits.

    ``aware`` names the hosts whose last message showed that they do.
    """

    __slots__ = ("_clock", "_limits", "_next", "_shared_at", "aware")

    def __init__(self, limits: RateLimits, clock: Clock):
        self.aware: set[str] = set()
        self._limits = limits
        self._clock = clock
        self._shared_at: timedelta | None = None
        self._next = 0

    def is_due(self) -> bool:
        """Return whether all schedulers are to be told the limits again."""
        if not self._limits:
            return False
        now = self._clock.monotonic()
        return self._shared_at is None or now - self._shared_at >= SHARE_PERIOD

    def record_share(self) -> None:
        """Record that all schedulers were told."""
        self._shared_at = self._clock.monotonic()

    def next_notices(self) -> tuple[LimitNotice, ...]:
        """Return limits to tell; with many of them, each call returns the next ones."""
        count = len(self._limits)
        if count <= MAX_NOTICES:
            return tuple(LimitNotice(*item) for item in self._limits.items())
        first, self._next = self._next % count, self._next + MAX_NOTICES
        rotated = [*self._limits.items()] * 2
        chosen = islice(rotated, first, first + MAX_NOTICES)
        return tuple(LimitNotice(*item) for item in chosen)

    def apply(self, host: str, notices: tuple[LimitNotice, ...] | None) -> bool:
        """Apply what a host tells; return whether a limit changed.

        ``notices`` is None if the host does not know rate limits.
        """
        if notices is None:
            self.aware.discard(host)
            return False
        self.aware.add(host)
        changed = [
            notice
            for notice in notices
            if merge_rate_limit(self._limits, notice.incarnation, notice.limit)
        ]
        for notice in changed:
            target, _ = notice.incarnation
            _log("limit is heard", target=target, rate=notice.limit.rate, host=host)
        return bool(changed)
