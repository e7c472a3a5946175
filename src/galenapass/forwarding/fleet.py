"""Store and update one daemon's view of routes, targets and their loads."""

from dataclasses import dataclass, field, replace
from datetime import timedelta

from galenapass.forwarding.loads import (
    RAMP_TIME,
    FailureRate,
    Load,
    Loads,
    PartDigest,
    PrefillRate,
    estimate_failures,
    exceeds_share,
    record_parts,
)
from galenapass.forwarding.placement import View
from galenapass.forwarding.rate_limits import RateLimits
from galenapass.forwarding.routes import RouteTable
from galenapass.tables.targets import Role, Target, TargetState

__all__ = [
    "MAX_JOIN_TIME",
    "Fleet",
    "accept_routes",
    "apply_listing",
    "apply_target",
    "apply_target_entry",
    "apply_target_list",
    "apply_target_sighting",
    "begin_restore",
    "drop_overdue",
    "end_restore",
    "find_back_off",
    "find_change_end",
    "forget_older_targets",
    "has_left",
    "is_address_excluded",
    "list_excluded",
    "list_leaving",
    "may_send",
    "readmit_target",
    "record_back_off",
    "record_change",
    "record_leaving",
    "record_removal",
    "record_target_parts",
    "remove_target",
    "start_return_grace",
    "update_target",
]

# Entries that expired during an outage of the store are back about 2 s after it.
RETURN_GRACE = timedelta(seconds=2)
# Oldest copy from which the store is restored.
MAX_COPY_AGE = timedelta(seconds=120)
# An entry that nobody writes again after a restore has expired by then: the store
# removes it after three heartbeats, and a busy one a little later.
STALE_ENTRY_TIME = timedelta(seconds=5)
# An engine that changes its role first ends its work, within a second if it prefills.
CHANGE_SLACK = timedelta(seconds=1)
# Targets that a daemon finds at its start are all known within this time.
MAX_JOIN_TIME = timedelta(seconds=4)
# Leaving and removed targets that are remembered; far more than a deployment replaces
# at once.
MAX_LEAVING = 4096


@dataclass(slots=True)
class Fleet:
    """Routes, targets and loads as one daemon sees them; times are monotonic.

    ``missing`` maps targets whose entry is gone to when they are dropped;
    ``grace_until`` ends the time in which a lost entry may still come back;
    ``entry_changed_at`` maps targets to the last change of their entry;
    ``first_joined`` and ``last_joined`` are when targets joined; ``domain_failures``
    holds how often targets of a domain were unreachable, ``rates`` the prefill rate of
    each service's engines. ``leaving`` maps targets that reported that they leave to
    their incarnation, and ``backing_off`` those that accept no work from this daemon
    to when that ends; ``rate_limits`` holds the rate limits that targets named.
    ``change_ends`` maps engines that accepted a role order to when they serve again.

    ``removed`` maps targets whose entries were removed to their incarnation and the
    time. After a restore of the store, until ``restored_until``, such targets are
    ``withheld`` if an entry names them again.

    ``viewed_at`` is the time as of which ``targets`` holds all that the store lists,
    None before the first listing; ``entry_revisions`` holds the store's revision of the
    last change of each target's entry.
    """

    host: str
    domain: str
    routes: RouteTable = field(default_factory=RouteTable)
    targets: dict[str, Target] = field(default_factory=dict)
    loads: Loads = field(default_factory=dict)
    missing: dict[str, timedelta] = field(default_factory=dict)
    grace_until: timedelta = timedelta(0)
    entry_changed_at: dict[str, timedelta] = field(default_factory=dict)
    first_joined: timedelta | None = None
    last_joined: timedelta = timedelta(0)
    domain_failures: dict[str, FailureRate] = field(default_factory=dict)
    rates: dict[str, PrefillRate] = field(default_factory=dict)
    leaving: dict[str, str] = field(default_factory=dict)
    backing_off: dict[str, timedelta] = field(default_factory=dict)
    rate_limits: RateLimits = field(default_factory=dict)
    change_ends: dict[str, timedelta] = field(default_factory=dict)
    removed: dict[str, tuple[str, timedelta]] = field(default_factory=dict)
    withheld: dict[str, Target] = field(default_factory=dict)
    restored_until: timedelta | None = None
    viewed_at: timedelta | None = None
    entry_revisions: dict[str, int] = field(default_factory=dict)

    def load_of(self, target: Target) -> Load:
        """Return the load of a target, an empty one on first use."""
        return self.load_by_id(target.id)

    def load_by_id(self, name: str) -> Load:
        """Return the load of a target that may not have joined yet."""
        load = self.loads.get(name)
        if load is None:
            load = self.loads[name] = Load()
        return load

    def is_known(self, target: Target) -> bool:
        """Return whether a target is there in this incarnation."""
        known = self.targets.get(target.id)
        return known is not None and known.incarnation == target.incarnation

    def domain_failures_of(self, target: Target) -> FailureRate:
        """Return the failure rate of a target's domain, zero on first use."""
        return self.domain_failures.setdefault(target.domain, FailureRate())

    def knows_service(self, service: str) -> bool:
        """Return whether the absence of serving targets of a service is known.

        Load pattern: a host that begins to schedule while the store is unreachable. Its
        table is empty because it was never filled, not because nothing serves.
        """
        if self.viewed_at is not None:
            return True
        return any(target.service == service for target in self.targets.values())

    def view(self, now: timedelta) -> View:
        """Return the state from which a target is chosen."""
        return View(
            self.loads,
            self.domain_failures,
            self.domain,
            now,
            self.rates,
            self.rate_limits,
        )


def accept_routes(fleet: Fleet, table: RouteTable) -> bool:
    """Apply a configuration; return False unless it is newer than the current one."""
    if table.version <= fleet.routes.version:
        return False
    fleet.routes = table
    return True


def apply_target(fleet: Fleet, target: Target, now: timedelta) -> str | None:
    """Insert or update a target; return what changed for placement, if anything."""
    known = fleet.targets.get(target.id)
    if _is_from_copy(fleet, target, now):
        return None
    fleet.missing.pop(target.id, None)
    fleet.removed.pop(target.id, None)
    if fleet.leaving.get(target.id) == target.incarnation:
        # An older entry, or one that expired and came back, does not undo it.
        target = replace(target, state=TargetState.LEAVING)
    fleet.targets[target.id] = target
    if known is None:
        _start_ramp(fleet, target, now)
        fleet.first_joined = fleet.first_joined or now
        fleet.last_joined = now
        return "joined"
    if known.incarnation != target.incarnation:
        # It has restarted, so its cache is empty and its load is gone.
        _forget_domain_failures(fleet, known, now)
        fleet.loads.pop(target.id, None)
        if fleet.leaving.get(target.id) == known.incarnation:
            del fleet.leaving[target.id]
        fleet.backing_off.pop(target.id, None)
        _start_ramp(fleet, target, now)
        return "restarted"
    return _record_update(fleet, known, target, now)


def _record_update(
    fleet: Fleet, known: Target, target: Target, now: timedelta
) -> str | None:
    """Return what changed of a target for placement, if anything."""
    if known.state is not target.state or known.role is not target.role:
        # Failures and refusals in the old role or state do not apply to the new one.
        _forget_domain_failures(fleet, known, now)
        load = fleet.load_of(target)
        load.failures, load.refusals = FailureRate(), FailureRate()
    if known.state is not target.state:
        return target.state.value
    if known.role is not target.role:
        return f"now {target.role.value}"
    return None


def update_target(fleet: Fleet, target: Target, now: timedelta) -> str | None:
    """Apply what another source than the store tells of a known target's role.

    It undoes neither that the target leaves nor that its entry was removed: an engine
    that leaves goes on reporting its role.
    """
    known = fleet.targets.get(target.id)
    if known is None or known.incarnation != target.incarnation:
        return None
    if known.state is TargetState.LEAVING:
        return None
    fleet.targets[target.id] = target
    return _record_update(fleet, known, target, now)


def _start_ramp(fleet: Fleet, target: Target, now: timedelta) -> None:
    """Increase the load of a target gradually if its service's size is ordered.

    Targets that a daemon finds at its start serve already.
    """
    service = fleet.routes.services.get(target.service)
    first = fleet.first_joined
    if service is None or service.scaling is None or first is None:
        return
    if now - first > MAX_JOIN_TIME:
        fleet.load_of(target).ramps_until = now + RAMP_TIME


def apply_target_entry(fleet: Fleet, target: Target, now: timedelta) -> str | None:
    """Apply a target's entry in the store; return what changed, if anything."""
    fleet.entry_changed_at[target.id] = now
    return apply_target(fleet, target, now)


def remove_target(fleet: Fleet, name: str, now: timedelta) -> str | None:
    """Apply the removal of an entry; return what changed, if anything."""
    target = fleet.targets.get(name)
    fleet.withheld.pop(name, None)
    if target is None:
        return None
    if now < fleet.grace_until and target.state is not TargetState.LEAVING:
        fleet.missing.setdefault(name, fleet.grace_until)
        return "missing"
    return _drop(fleet, name, now)


def apply_listing(fleet: Fleet, targets: list[Target], now: timedelta) -> None:
    """Apply a complete listing of the targets' entries."""
    listed = {target.id for target in targets}
    fleet.viewed_at = now
    for target in targets:
        apply_target_entry(fleet, target, now)
    for name in [name for name in fleet.targets if name not in listed]:
        remove_target(fleet, name, now)


def apply_target_sighting(
    fleet: Fleet, target: Target, seen_at: timedelta, now: timedelta
) -> bool:
    """Insert or update a target that a scheduler used; return whether it is applied.

    What this host knows as of a later time is kept, and what was removed or leaves is
    not undone: whoever used the target may not have known.
    """
    known = fleet.targets.get(target.id)
    if has_left(fleet, target):
        return False
    if known is not None:
        if _is_earlier(target.incarnation, known.incarnation):
            return False
        changed_at = fleet.entry_changed_at.get(target.id, timedelta(0))
        if max(changed_at, fleet.viewed_at or timedelta(0)) >= seen_at:
            return False
    fleet.entry_changed_at[target.id] = seen_at
    apply_target(fleet, target, now)
    return True


def apply_target_list(
    fleet: Fleet, domain: str, targets: list[Target], seen_at: timedelta, now: timedelta
) -> None:
    """Apply another host's list of all targets of a failure domain."""
    for target in targets:
        apply_target_sighting(fleet, target, seen_at, now)
    listed = {target.id for target in targets}
    if fleet.viewed_at is not None and fleet.viewed_at >= seen_at:
        return
    unlisted = [
        name
        for name, target in fleet.targets.items()
        if target.domain == domain
        and name not in listed
        and fleet.entry_changed_at.get(name, timedelta(0)) < seen_at
    ]
    for name in unlisted:
        _drop(fleet, name, now)


def forget_older_targets(fleet: Fleet, oldest: timedelta) -> None:
    """Forget the targets that were last named before ``oldest``, as if never known.

    That one of them leaves is not forgotten.
    """
    for name, target in list(fleet.targets.items()):
        if fleet.entry_changed_at.get(name, timedelta(0)) < oldest:
            if target.state is TargetState.LEAVING:
                record_leaving(fleet, name, target.incarnation)
            fleet.missing.pop(name, None)
            fleet.entry_changed_at.pop(name, None)
            del fleet.targets[name]


def record_target_parts(
    fleet: Fleet, target: Target, parts: tuple[PartDigest, ...], now: timedelta
) -> None:
    """Record prompt parts whose prefill a target begins, as cached there."""
    service = fleet.routes.services.get(target.service)
    capacity = service.cache_tokens if service else 0
    record_parts(fleet.load_of(target), parts, capacity, now)


def record_leaving(fleet: Fleet, name: str, incarnation: str) -> bool:
    """Record that a target reported that it leaves; return whether that is new."""
    if fleet.leaving.get(name) == incarnation:
        return False
    fleet.leaving.pop(name, None)
    fleet.leaving[name] = incarnation
    while len(fleet.leaving) > MAX_LEAVING:
        del fleet.leaving[next(iter(fleet.leaving))]
    known = fleet.targets.get(name)
    if known is not None and known.incarnation == incarnation:
        fleet.targets[name] = replace(known, state=TargetState.LEAVING)
    return True


def record_removal(
    fleet: Fleet, name: str, incarnation: str, removed_at: timedelta
) -> bool:
    """Record that another host saw the removal of an entry; return whether it is new.

    This host does not follow the store now. An entry or a grant of a later view of the
    store undoes it.
    """
    known = fleet.targets.get(name)
    if known is None:
        if fleet.removed.get(name, ("", removed_at))[0] == incarnation:
            return False
        _record_removed(fleet, name, incarnation, removed_at)
        return True
    changed_at = fleet.entry_changed_at.get(name, timedelta(0))
    if known.incarnation != incarnation or changed_at >= removed_at:
        return False
    _drop(fleet, name, removed_at)
    return True


def readmit_target(fleet: Fleet, target: Target, viewed_at: timedelta) -> None:
    """Undo the removal of a target that a host uses as of a later view of the store."""
    incarnation, removed_at = fleet.removed.get(target.id, ("", viewed_at))
    if removed_at < viewed_at and not _is_earlier(target.incarnation, incarnation):
        del fleet.removed[target.id]


def has_left(fleet: Fleet, target: Target) -> bool:
    """Return whether no request may be sent to a target any more.

    It reported that it leaves, its entry says so, or its entry was removed. Only a
    later incarnation, or a later view of the store after a removal, serves again.
    """
    if fleet.leaving.get(target.id) == target.incarnation:
        return True
    known = fleet.targets.get(target.id)
    if known is not None:
        is_known = known.incarnation == target.incarnation
        return is_known and known.state is TargetState.LEAVING
    incarnation, _ = fleet.removed.get(target.id, ("", None))
    return bool(incarnation) and not _is_earlier(incarnation, target.incarnation)


def may_send(fleet: Fleet, target: Target, now: timedelta) -> bool:
    """Return whether this host may send a request to a target now.

    It has not left, and does not back off. This is asked directly before each request
    is written, whatever it is.
    """
    backs_off_until = fleet.backing_off.get(target.id, now)
    return backs_off_until <= now and not has_left(fleet, target)


def list_leaving(fleet: Fleet) -> dict[str, str]:
    """Return the incarnations of the targets that are known to leave, by name."""
    return fleet.leaving | {
        name: target.incarnation
        for name, target in fleet.targets.items()
        if target.state is TargetState.LEAVING
    }


def record_back_off(fleet: Fleet, name: str, until: timedelta) -> None:
    """Record until when a target accepts no work from this daemon."""
    fleet.backing_off[name] = max(until, fleet.backing_off.get(name, until))


def list_excluded(fleet: Fleet, now: timedelta) -> frozenset[str]:
    """Return the targets that back off or leave, which get no work."""
    for name in [name for name, until in fleet.backing_off.items() if until <= now]:
        del fleet.backing_off[name]
    leaving = {
        name
        for name, incarnation in fleet.leaving.items()
        if _is_current_incarnation(fleet, name, incarnation)
    }
    return frozenset(fleet.backing_off) | leaving


def is_address_excluded(fleet: Fleet, address: str, now: timedelta) -> bool:
    """Return whether this daemon must not send to the target at an address."""
    excluded = list_excluded(fleet, now)
    return any(
        target.address == address
        and (target.id in excluded or target.state is TargetState.LEAVING)
        for target in fleet.targets.values()
    )


def find_back_off(fleet: Fleet, service: str, now: timedelta) -> timedelta | None:
    """Return the time until the first back-off at a service ends, None without any."""
    ends = [
        until - now
        for name, until in fleet.backing_off.items()
        if name in fleet.targets and fleet.targets[name].service == service
    ]
    return max(min(ends), timedelta(0)) if ends else None


def record_change(fleet: Fleet, target: Target, now: timedelta) -> None:
    """Record that an engine accepted a role order and begins to change."""
    service = fleet.routes.services.get(target.service)
    if service is not None:
        fleet.change_ends[target.id] = now + service.reconfiguration


def find_change_end(
    fleet: Fleet, service: str, version: str | None, now: timedelta
) -> timedelta | None:
    """Return when the next engine that is to decode serves, None if none changes.

    With a ``version``, only its engines count. An engine ends its work before it
    changes, so it may serve a little later.
    """
    ends = [
        end
        for target in fleet.targets.values()
        if target.service == service
        and target.role is Role.DECODE
        and target.state is TargetState.CHANGING
        and version in (None, target.version)
        and (end := fleet.change_ends.get(target.id)) is not None
        and end > now - CHANGE_SLACK
    ]
    return max(min(ends), now) if ends else None


def start_return_grace(fleet: Fleet, now: timedelta) -> None:
    """Start the time in which entries that expired in an outage may come back."""
    fleet.grace_until = now + RETURN_GRACE


def drop_overdue(fleet: Fleet, now: timedelta) -> list[str]:
    """Drop the targets whose entry did not come back; return their names."""
    overdue = [name for name, until in fleet.missing.items() if now >= until]
    for name in overdue:
        _drop(fleet, name, now)
    return overdue


def begin_restore(fleet: Fleet, now: timedelta) -> None:
    """Prepare for entries of an older copy of the store.

    Load pattern: a store that returns to a copy some seconds old. The copy lacks
    targets that joined since, and names those that left since as if they served.
    """
    start_return_grace(fleet, now)
    for target in list(fleet.targets.values()):
        if target.state is TargetState.LEAVING:
            record_leaving(fleet, target.id, target.incarnation)
    fleet.removed = {
        name: (incarnation, at)
        for name, (incarnation, at) in fleet.removed.items()
        if now - at < MAX_COPY_AGE
    }
    fleet.restored_until = now + STALE_ENTRY_TIME


def end_restore(fleet: Fleet, now: timedelta) -> list[Target]:
    """Admit the withheld targets whose entries are still there after a restore."""
    if fleet.restored_until is None or now < fleet.restored_until:
        return []
    admitted, fleet.withheld = list(fleet.withheld.values()), {}
    fleet.restored_until = None
    for target in admitted:
        apply_target_entry(fleet, target, now)
    return admitted


def _is_from_copy(fleet: Fleet, target: Target, now: timedelta) -> bool:
    """Return whether an entry may be older than what is known, and withhold it."""
    if fleet.restored_until is None or now >= fleet.restored_until:
        return False
    known = fleet.targets.get(target.id)
    if known is not None:
        return _is_earlier(target.incarnation, known.incarnation)
    incarnation, removed_at = fleet.removed.get(target.id, ("", now))
    if removed_at > fleet.restored_until - STALE_ENTRY_TIME:
        # It was not removed before the restore.
        return False
    if _is_earlier(incarnation, target.incarnation):
        return False
    fleet.withheld[target.id] = target
    return True


def _is_earlier(incarnation: str, other: str) -> bool:
    """Return whether an incarnation started before another one, if that is known."""
    if not (incarnation.isdecimal() and other.isdecimal()):
        return False
    return int(incarnation) < int(other)


def _is_current_incarnation(fleet: Fleet, name: str, incarnation: str) -> bool:
    """Return whether a target, if known, still has this incarnation."""
    known = fleet.targets.get(name)
    return known is None or known.incarnation == incarnation


def _forget_domain_failures(fleet: Fleet, target: Target, now: timedelta) -> None:
    """Forget the failures of a domain that were those of one target, as they end."""
    load = fleet.loads.get(target.id)
    own = estimate_failures(load.failures, now) if load is not None else 0.0
    domain = fleet.domain_failures_of(target)
    if not exceeds_share(estimate_failures(domain, now), own):
        domain.share = 0.0


def _drop(fleet: Fleet, name: str, now: timedelta) -> str:
    fleet.missing.pop(name, None)
    fleet.entry_changed_at.pop(name, None)
    fleet.entry_revisions.pop(name, None)
    fleet.change_ends.pop(name, None)
    target = fleet.targets.pop(name)
    _forget_domain_failures(fleet, target, now)
    _record_removed(fleet, name, target.incarnation, now)
    return TargetState.GONE.value


def _record_removed(fleet: Fleet, name: str, incarnation: str, now: timedelta) -> None:
    fleet.removed.pop(name, None)
    fleet.removed[name] = (incarnation, now)
    while len(fleet.removed) > MAX_LEAVING:
        del fleet.removed[next(iter(fleet.removed))]
