"""Count the requests of each organisation by window of true time.

Pure functions over tables. The sums of a window belong to a source, one process of one
host, and only grow, so that messages may be lost, repeated or late.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = [
    "Source",
    "SourceCounts",
    "UsageTable",
    "add_request",
    "find_end",
    "find_window",
    "forget_windows",
    "list_counts",
    "list_hidden",
    "list_missing",
    "merge_counts",
    "record_through",
    "sum_window",
]

# Host and start of its process, in milliseconds since 1970.
Source = tuple[str, int]

# A host that has told nothing for this long is not waited for.
HOST_TIMEOUT = timedelta(seconds=60)


@dataclass(slots=True)
class UsageTable:
    """Counts of the windows after ``closed``, by source and organisation.

    The counts of a source are complete up to its time in ``through``.
    """

    closed: int = -1
    counts: dict[int, dict[Source, dict[str, int]]] = field(default_factory=dict)
    through: dict[Source, timedelta] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class SourceCounts:
    """Counts of one source by window, complete up to a time."""

    source: Source
    through: timedelta
    counts: Mapping[int, Mapping[str, int]]


def find_window(time: timedelta, length: timedelta) -> int:
    """Return the window of a true time."""
    return time // length


def find_end(window: int, length: timedelta) -> timedelta:
    """Return the true time at which a window ends."""
    return (window + 1) * length


def add_request(
    table: UsageTable, source: Source, window: int, organisation: str
) -> bool:
    """Count one request; return False if its window is closed."""
    if window <= table.closed:
        return False
    counts = table.counts.setdefault(window, {}).setdefault(source, {})
    counts[organisation] = counts.get(organisation, 0) + 1
    return True


def merge_counts(
    table: UsageTable, source: Source, window: int, counts: Mapping[str, int]
) -> None:
    """Apply what is told of a source's window; smaller sums are older ones."""
    if window <= table.closed:
        return
    known = table.counts.setdefault(window, {}).setdefault(source, {})
    for organisation, count in counts.items():
        known[organisation] = max(known.get(organisation, 0), count)


def record_through(table: UsageTable, source: Source, through: timedelta) -> None:
    """Record that the counts of a source up to a time have come."""
    table.through[source] = max(table.through.get(source, through), through)


def sum_window(table: UsageTable, window: int) -> dict[str, int]:
    """Return the requests of each organisation over all sources."""
    total: Counter[str] = Counter()
    for counts in table.counts.get(window, {}).values():
        total.update(counts)
    return dict(sorted(total.items()))


def list_missing(table: UsageTable, end: timedelta, now: timedelta) -> list[str]:
    """Return the hosts whose counts up to ``end`` may be incomplete.

    A process that another one of its host has replaced tells nothing more.
    """
    latest: dict[str, timedelta] = {}
    for (host, _), through in table.through.items():
        latest[host] = max(latest.get(host, through), through)
    return sorted(
        host
        for host, through in latest.items()
        if through < end and now - through < HOST_TIMEOUT
    )


def list_hidden(
    table: UsageTable, hosts: Iterable[str], silent: Collection[str]
) -> list[str]:
    """Return the hosts that only schedulers that are silent may know."""
    if not silent:
        return []
    known = {host for host, _ in table.through}
    return sorted(set(hosts) - known - set(silent))


def list_counts(table: UsageTable, after: int) -> list[SourceCounts]:
    """Return the counts of each source in the windows after one."""
    return [
        SourceCounts(
            source,
            through,
            {
                window: counts[source]
                for window, counts in table.counts.items()
                if window > after and source in counts
            },
        )
        for source, through in table.through.items()
    ]


def forget_windows(table: UsageTable, closed: int, now: timedelta) -> None:
    """Forget the windows up to ``closed``, and sources that told nothing for long."""
    table.closed = max(table.closed, closed)
    for window in _list_up_to(table.counts, table.closed):
        del table.counts[window]
    in_use = {source for counts in table.counts.values() for source in counts}
    for source, through in list(table.through.items()):
        if now - through > HOST_TIMEOUT and source not in in_use:
            del table.through[source]


def _list_up_to(windows: Iterable[int], last: int) -> list[int]:
    return [window for window in windows if window <= last]
