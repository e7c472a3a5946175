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

    __slots__ = ("_complete_at", "_known", "_present", "_seen_at")

    def __init__(self) -> None:
        self._complete_at: timedelta | None = None
        # All versions that were ever recorded, also those that have left.
        self._known: dict[ServiceVersion, None] = {}
        self._present: frozenset[ServiceVersion] = frozenset()
        self._seen_at: dict[ServiceVersion, timedelta] = {}

    def restart(self) -> None:
        """Begin again after a time in which the targets were not followed."""
        self._complete_at, self._present = None, frozenset()

    def load(
        self, rows: Iterable[VersionRow], now: timedelta, *, is_first_start: bool
    ) -> None:
        """Add what earlier starts and other hosts wrote.

        A version that was present when its row was written may have been used up to
        now. Without any row nothing is known of before, except at the first start.
        """
        rows = list(rows)
        if self._complete_at is None:
            is_known = is_first_start or bool(rows)
            self._complete_at = now if is_known else now + STREAM_LIFETIME
        for row in rows:
            self.record(row.origin, now if row.left_at is None else row.left_at)

    def add_unseen(self, rows: Iterable[VersionRow], now: timedelta) -> None:
        """Record the versions that this host has never seen, as in use now.

        Objects of hosts that are gone name versions that left long ago.
        """
        for row in rows:
            if row.origin not in self._known and row.left_at is None:
                self.record(row.origin, now)

    def observe(self, targets: Iterable[Target], now: timedelta) -> bool:
        """Record the versions of the known targets; return whether the rows changed."""
        present = frozenset(ServiceVersion(t.service, t.version) for t in targets)
        has_changed = present != self._present
        for origin in present | self._present if has_changed else present:
            self.record(origin, now)
        self._present = present
        return self._forget_left(now) or has_changed

    def _forget_left(self, now: timedelta) -> bool:
        """Drop the versions that began no open stream; return whether there are any.

        A row that was read counts from then on, so an old one must not stay published.
        """
        left = [
            origin
            for origin, seen_at in self._seen_at.items()
            if now - seen_at >= STREAM_LIFETIME
        ]
        for origin in left:
            del self._seen_at[origin]
        return bool(left)

    def record(self, origin: ServiceVersion, at: timedelta) -> None:
        """Record that a version was in use at a time."""
        latest = max(at, self._seen_at.pop(origin, at))
        self._seen_at[origin] = latest
        self._known[origin] = None
        for versions in (self._seen_at, self._known):
            while len(versions) > MAX_VERSIONS:
                del versions[next(iter(versions))]

    def find_only(self, service: str, now: timedelta) -> ServiceVersion | None:
        """Return the version that began each open stream of a service.

        Return None if it may be one of several.
        """
        if self._complete_at is None or now < self._complete_at:
            return None
        found = [
            origin
            for origin, seen_at in self._seen_at.items()
            if origin.service == service and now - seen_at < STREAM_LIFETIME
        ]
        return found[0] if len(found) == 1 else None

    def list_rows(self, now: timedelta) -> list[VersionRow]:
        """Return the versions that may have begun an open stream."""
        return [
            VersionRow(origin, None if origin in self._present else seen_at)
            for origin, seen_at in self._seen_at.items()
            if origin in self._present or now - seen_at < STREAM_LIFETIME
        ]
