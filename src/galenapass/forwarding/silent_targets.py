"""Find targets that crashed, from which hosts cannot reach them.

A host cannot tell a crash from a cut of its own links, so several hosts have to agree,
one of which is in the target's failure domain. Pure functions; times are monotonic.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.loads import MAX_ATTEMPT_AGE, Load
from galenapass.tables.targets import Role, Target

__all__ = [
    "SilenceReport",
    "SilentTargets",
    "has_crashed",
    "is_silent",
    "list_silent",
    "list_unconfirmed",
    "make_report",
]

MAX_REPORT_AGE = timedelta(seconds=1)
# A host that was in contact with a target since then needs no probe to know of it.
MAX_CONTACT_AGE = timedelta(seconds=1)
MIN_HOSTS = 2
# Targets that fit into one datagram of usual size.
MAX_TARGETS = 32


@dataclass(slots=True, frozen=True)
class SilentTargets:
    """Targets that a host of a failure domain cannot reach.

    ``targets`` holds their id, their incarnation and since when.
    """

    domain: str
    targets: tuple[tuple[str, str, timedelta], ...]


@dataclass(slots=True, frozen=True)
class SilenceReport:
    """What one host of a failure domain last reported, and when that arrived.

    ``since`` maps the id and incarnation of silent targets to since when.
    """

    domain: str
    since: dict[tuple[str, str], timedelta]
    received_at: timedelta

    def find_since(self, target: Target, now: timedelta) -> timedelta | None:
        """Return since when a target is silent, None if it is not or if unknown."""
        if now - self.received_at > MAX_REPORT_AGE:
            return None
        return self.since.get((target.id, target.incarnation))


def make_report(silent: SilentTargets, now: timedelta) -> SilenceReport:
    """Return the report of a message that arrives now."""
    since = {(name, incarnation): at for name, incarnation, at in silent.targets}
    return SilenceReport(silent.domain, since, now)


def is_silent(load: Load, now: timedelta) -> bool:
    """Return whether this host failed to reach a target lately, and not since."""
    return load.silent_since is not None and now - load.missed_at <= MAX_ATTEMPT_AGE


def list_silent(fleet: Fleet, now: timedelta) -> SilentTargets:
    """Return the targets that this host cannot reach."""
    silent = [
        (target.id, target.incarnation, load.silent_since)
        for target in fleet.targets.values()
        if (load := fleet.loads.get(target.id)) is not None
        and load.silent_since is not None
        and is_silent(load, now)
    ]
    silent.sort(key=lambda entry: entry[2])
    return SilentTargets(fleet.domain, tuple(silent[:MAX_TARGETS]))


def has_crashed(
    target: Target,
    reports: Iterable[SilenceReport],
    hosts: int,
    min_silence: timedelta,
    now: timedelta,
) -> bool:
    """Return whether most of the ``hosts`` that are heard cannot reach a target.

    The first of them has not reached it for ``min_silence``.

    Load pattern: a domain that is cut off together with its targets. The hosts in it
    still reach them.
    """
    silent = [
        (report.domain, since)
        for report in reports
        if (since := report.find_since(target, now)) is not None
    ]
    if len(silent) < MIN_HOSTS or 2 * len(silent) <= hosts:
        return False
    if target.domain not in {domain for domain, _ in silent}:
        return False
    return now - min(since for _, since in silent) >= min_silence


def list_unconfirmed(
    fleet: Fleet, names: Iterable[str], now: timedelta
) -> list[Target]:
    """Return the decode engines among targets whose silence is yet to be confirmed."""
    targets = [fleet.targets[name] for name in names if name in fleet.targets]
    return [t for t in targets if t.role is Role.DECODE and _is_due(fleet, t, now)]


def _is_due(fleet: Fleet, target: Target, now: timedelta) -> bool:
    load = fleet.load_of(target)
    contact_at = max(load.reached_at, load.queried_at or load.missed_at)
    return not is_silent(load, now) and now - contact_at > MAX_CONTACT_AGE
