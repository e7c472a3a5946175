"""Remember the targets that grants and other hosts name, with their age.

A host that has to schedule while the store is unreachable starts from these.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding.fleet import (
    Fleet,
    apply_target_list,
    apply_target_sighting,
    forget_older_targets,
    list_leaving,
    readmit_target,
    record_leaving,
    record_removal,
)
from galenapass.tables.targets import Target, TargetState

__all__ = ["KnownTargets", "Sighting", "TargetList", "TargetReport"]

# A scheduler grants slots at a hundred targets to one host at most; more are rarely
# used by one host within ``MAX_SIGHTING_AGE``.
MAX_SIGHTINGS = 512
# Older sightings may name targets that left since. Within this time the hosts of a
# domain together are granted slots at all of its targets.
MAX_SIGHTING_AGE = timedelta(seconds=20)
# A scheduler that loses the store without a word notices and tells it within this time.
VIEW_SLACK = timedelta(seconds=3)


@dataclass(slots=True, frozen=True)
class Sighting:
    """Target at which a scheduler granted a slot.

    The scheduler knew the store as of the monotonic time ``seen_at``.
    """

    target: Target
    seen_at: timedelta


@dataclass(slots=True, frozen=True)
class TargetList:
    """All targets of a failure domain as of a monotonic time."""

    domain: str
    targets: tuple[Target, ...]
    viewed_at: timedelta


@dataclass(slots=True, frozen=True)
class TargetReport:
    """What a host knows of a domain's targets without the store.

    ``granted_view_at`` is as of when the schedulers that granted the ``sightings``
    knew the store, None without any. ``leaving`` holds the name and incarnation of
    targets of all domains that leave, ``removed`` also when entries were removed.
    """

    listed: TargetList | None = None
    sightings: tuple[Sighting, ...] = ()
    granted_view_at: timedelta | None = None
    leaving: tuple[tuple[str, str], ...] = ()
    removed: tuple[tuple[str, str, timedelta], ...] = ()


class KnownTargets:
    """Targets that this host knows without the store.

    ``has_store_updates`` returns whether this host receives updates from the store.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        has_store_updates: Callable[[], bool] = lambda: False,
    ):
        self._fleet = fleet
        self._clock = clock
        self._has_store_updates = has_store_updates
        self._sightings: dict[str, Sighting] = {}
        self._granted_view_at: timedelta | None = None
        self._list: TargetList | None = None

    @property
    def list_viewed_at(self) -> timedelta | None:
        """Return the time as of which another host listed the targets, if any did."""
        return self._list.viewed_at if self._list is not None else None

    @property
    def listed_at(self) -> timedelta | None:
        """Return the time as of which this host has a list, its own or another's."""
        times = (self._fleet.viewed_at, self.list_viewed_at)
        return max((at for at in times if at is not None), default=None)

    def find_view_time(self) -> timedelta | None:
        """Return the time as of which this host knows targets, None if it knows none.

        Targets that grants named are as old as their scheduler's view of the store.
        """
        self.refresh()
        granted_at = self._granted_view_at if self.list_sightings() else None
        times = (self._fleet.viewed_at, self.list_viewed_at, granted_at)
        return max((at for at in times if at is not None), default=None)

    def refresh(self) -> None:
        """Record that the table of targets is up to date, if it is."""
        if self._fleet.viewed_at is not None and self._has_store_updates():
            self._fleet.viewed_at = self._clock.monotonic()

    def record_grant(self, target: Target, viewed_at: timedelta) -> None:
        """Remember a granted target; its scheduler's view is as of ``viewed_at``."""
        self._granted_view_at = viewed_at
        self._add_sighting(Sighting(target, viewed_at))
        readmit_target(self._fleet, target, viewed_at - VIEW_SLACK)

    def list_sightings(self) -> list[Sighting]:
        """Return the targets that were granted lately."""
        oldest = self._clock.monotonic() - MAX_SIGHTING_AGE
        return [s for s in self._sightings.values() if s.seen_at >= oldest]

    def _make_list(self, domain: str) -> TargetList | None:
        """Return the newest list of a domain's targets that this host has, if any."""
        self.refresh()
        viewed_at, known = self._fleet.viewed_at, self._list
        if known is not None and known.domain == domain:
            if viewed_at is None or known.viewed_at > viewed_at:
                return known
        if viewed_at is None:
            return None
        targets = (
            target
            for target in self._fleet.targets.values()
            if target.domain == domain and target.state is not TargetState.LEAVING
        )
        return TargetList(domain, tuple(targets), viewed_at)

    def make_report(self, domain: str) -> TargetReport:
        """Return what this host knows of a domain's targets, for another host."""
        sightings = self.list_sightings()
        granted_at = self._granted_view_at if sightings else None
        oldest = self._clock.monotonic() - MAX_SIGHTING_AGE - VIEW_SLACK
        return TargetReport(
            self._make_list(domain),
            tuple(sightings),
            granted_at,
            tuple(list_leaving(self._fleet).items()),
            tuple(
                (name, incarnation, removed_at)
                for name, (incarnation, removed_at) in self._fleet.removed.items()
                if removed_at >= oldest
            ),
        )

    def apply_report(self, report: TargetReport) -> None:
        """Remember what another host knows."""
        for name, incarnation in report.leaving:
            record_leaving(self._fleet, name, incarnation)
        for sighting in report.sightings:
            known = self._sightings.get(sighting.target.id)
            if known is None or known.seen_at < sighting.seen_at:
                self._add_sighting(sighting)
        self._apply_removals(report)
        times = [self._granted_view_at, report.granted_view_at]
        self._granted_view_at = max((t for t in times if t is not None), default=None)
        listed = report.listed
        if listed is not None and (
            self._list is None or self._list.viewed_at < listed.viewed_at
        ):
            self._list = listed

    def _apply_removals(self, report: TargetReport) -> None:
        """Apply the removals that this host does not know from the store itself.

        Those of the own domain are left out: its entries expire while it is cut off,
        and a list of its targets tells which others have left.
        """
        if self._has_store_updates():
            return
        own = {
            target.id
            for target in (
                *self._fleet.targets.values(),
                *(sighting.target for sighting in self._sightings.values()),
            )
            if target.domain == self._fleet.domain
        }
        for name, incarnation, removed_at in report.removed:
            if name not in own:
                record_removal(self._fleet, name, incarnation, removed_at)

    def knows_service(self, service: str) -> bool:
        """Return whether the table tells which targets of a service serve."""
        return self._fleet.knows_service(service)

    def forget_list(self) -> None:
        """Forget the list of another host, as schedulers know better by now."""
        self._list = None

    def seed(self, *, anew: bool = False) -> bool:
        """Fill the table of targets; return whether it then holds any.

        ``anew`` is set unless this host schedules already: then the table may be that
        of an earlier time, and what is too old is removed from it.
        """
        now = self._clock.monotonic()
        if anew:
            self._forget_former_view()
        if self._list is not None:
            apply_target_list(
                self._fleet,
                self._list.domain,
                list(self._list.targets),
                self._list.viewed_at,
                now,
            )
        for sighting in self.list_sightings():
            if not self._has_left(sighting):
                target, seen_at = sighting.target, sighting.seen_at
                readmit_target(self._fleet, target, seen_at - VIEW_SLACK)
                apply_target_sighting(self._fleet, target, seen_at, now)
        return bool(self._fleet.targets)

    def _has_left(self, sighting: Sighting) -> bool:
        """Return whether a later list of its domain does not name a target."""
        listed, target = self._list, sighting.target
        if listed is None or target.domain != listed.domain:
            return False
        if sighting.seen_at > listed.viewed_at:
            return False
        return all(target.id != each.id for each in listed.targets)

    def _forget_former_view(self) -> None:
        """Remove what this host knew long before its schedulers last knew targets.

        It may name targets that left since, as nobody told this host.
        """
        newest = self.find_view_time()
        if newest is None:
            return
        oldest = newest - MAX_SIGHTING_AGE
        if self._fleet.viewed_at is not None and self._fleet.viewed_at < oldest:
            self._fleet.viewed_at = None
        if self._fleet.viewed_at is None:
            forget_older_targets(self._fleet, oldest)

    def _add_sighting(self, sighting: Sighting) -> None:
        self._sightings.pop(sighting.target.id, None)
        self._sightings[sighting.target.id] = sighting
        while len(self._sightings) > MAX_SIGHTINGS:
            del self._sightings[next(iter(self._sightings))]
