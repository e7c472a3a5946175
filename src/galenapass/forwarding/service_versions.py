"""Track which software versions the targets of each service have, and had before."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.tables.targets import Target

__all__ = [
    "ANOTHER_SERVICE",
    "STREAM_LIFETIME",
    "UNNAMED_VERSION",
    "ServiceVersion",
    "VersionHistory",
    "VersionRow",
]

# Clients wait for seconds; a stream that began before this is over.
STREAM_LIFETIME = timedelta(seconds=60)
# In place of a version: open streams of a route to the service began at another one.
ANOTHER_SERVICE = "another service"
# In place of a version: builds that know no versions name none in what they grant.
UNNAMED_VERSION = "unnamed version"
# Far more versions than serve within the lifetime of a stream.
MAX_VERSIONS = 4096


@dataclass(slots=True, frozen=True)
class ServiceVersion:
    """Service and the version of the software of some of its targets."""

    service: str
    version: str


@dataclass(slots=True, frozen=True)
class VersionRow:
    """Version in a history; ``left_at`` is None while a target has it."""

    origin: ServiceVersion
    left_at: timedelta | None


class VersionHistory:
    """Versions that may have begun a stream which is still open.

    It is complete once the history of earlier starts, and of other hosts, was loaded,
    or after the lifetime of a stream.
    """

    __slots__ = ("_complete_at", "_heard_at", "_present", "_seen_at")

    def __init__(self) -> None:
        self._complete_at: timedelta | None = None
        self._present: frozenset[ServiceVersion] = frozenset()
        self._seen_at: dict[ServiceVersion, timedelta] = {}
        # What other hosts wrote is not written again: two hosts that read of each
        # other would never forget a version.
        self._heard_at: dict[ServiceVersion, timedelta] = {}

    def restart(self) -> None:
        """Begin again after a time in which the targets were not followed."""
        self._complete_at, self._present = None, frozenset()

    def load(
        self,
        rows: Iterable[VersionRow],
        now: timedelta,
        *,
        is_first_start: bool,
        is_complete: bool = True,
    ) -> None:
        """Add what earlier starts and other hosts wrote.

        A version that was present when its row was written may have been used up to
        now. Without any row, or if none of the writers ``is_complete``, nothing is
        known of before, except at the first start.
        """
        rows = list(rows)
        if self._complete_at is None:
            is_known = is_first_start or (is_complete and bool(rows))
            self._complete_at = now if is_known else now + STREAM_LIFETIME
        for row in rows:
            self.record(row.origin, now if row.left_at is None else row.left_at)

    def complete(self, now: timedelta) -> None:
        """Record that all that others with a complete history wrote was added."""
        if self._complete_at is not None:
            self._complete_at = min(self._complete_at, now)

    def hear(self, rows: Iterable[VersionRow], now: timedelta) -> None:
        """Add what another host has written lately, like ``load``."""
        for row in rows:
            at = now if row.left_at is None else row.left_at
            _record_latest(self._heard_at, row.origin, at)

    def observe(self, targets: Iterable[Target], now: timedelta) -> bool:
        """Record the versions of the known targets; return whether the rows changed."""
        present = frozenset(ServiceVersion(t.service, t.version) for t in targets)
        has_changed = present != self._present
        for origin in present | self._present if has_changed else present:
            self.record(origin, now)
        self._present = present
        return has_changed

    def forget_left(self, now: timedelta) -> bool:
        """Drop the versions that began no open stream; return whether there are any.

        A row that was read counts from then on, so an old one must not stay published.
        """
        has_left = _drop_ended(self._seen_at, now)
        _drop_ended(self._heard_at, now)
        return has_left

    def record(self, origin: ServiceVersion, at: timedelta) -> None:
        """Record that a version was in use at a time."""
        _record_latest(self._seen_at, origin, at)

    def is_complete(self, now: timedelta) -> bool:
        """Return whether it holds each version that may have begun an open stream."""
        return self._complete_at is not None and self._complete_at <= now

    def find_only(self, service: str, now: timedelta) -> ServiceVersion | None:
        """Return the version that began each open stream of a service.

        Return None if it may be one of several.
        """
        if not self.is_complete(now):
            return None
        found = {
            origin
            for times in (self._seen_at, self._heard_at)
            for origin, seen_at in times.items()
            if origin.service == service and now - seen_at < STREAM_LIFETIME
        }
        return found.pop() if len(found) == 1 else None

    def list_rows(self, now: timedelta) -> list[VersionRow]:
        """Return the versions that may have begun an open stream."""
        return [
            VersionRow(origin, None if origin in self._present else seen_at)
            for origin, seen_at in self._seen_at.items()
            if origin in self._present or now - seen_at < STREAM_LIFETIME
        ]


def _record_latest(
    times: dict[ServiceVersion, timedelta], origin: ServiceVersion, at: timedelta
) -> None:
    """Record that a version was in use at a time, if that is the latest so far."""
    times[origin] = max(at, times.pop(origin, at))
    while len(times) > MAX_VERSIONS:
        del times[next(iter(times))]


def _drop_ended(times: dict[ServiceVersion, timedelta], now: timedelta) -> bool:
    """Drop the versions that began no open stream; return whether there are any."""
    ended = [name for name, at in times.items() if now - at >= STREAM_LIFETIME]
    for name in ended:
        del times[name]
    return bool(ended)
