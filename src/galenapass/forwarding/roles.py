"""Decide how many engines of a service prefill and which one changes its role."""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from galenapass.tables.targets import Role, Target, TargetState

__all__ = [
    "EngineCount",
    "RoleChange",
    "count_prefill_engines",
    "is_due",
    "list_engines",
    "plan_change",
    "update_engine_count",
]

# A domain that is cut off or engines that restart are back within 3 to 5 s; changes
# of roles made in the meantime would have to be undone.
SETTLE_TIME = timedelta(seconds=5)
MAX_SETTLE_TIME = timedelta(seconds=15)
# A smaller deviation, in engines and as a share of them, may come from rounding.
MIN_DEVIATION_ENGINES = 2
MIN_DEVIATION_SHARE = 0.125


@dataclass(slots=True)
class EngineCount:
    """Number of engines of a service, and the monotonic time of its last change.

    ``settled`` is the last stable number, ``unsettled_since`` when the number left it,
    None while it is stable.
    """

    engines: int = 0
    settled: int = 0
    changed_at: timedelta = timedelta(0)
    unsettled_since: timedelta | None = None

    @property
    def is_settled(self) -> bool:
        """Return whether the number is stable enough to plan with."""
        return self.unsettled_since is None


@dataclass(slots=True, frozen=True)
class RoleChange:
    """Planned role change of one engine and the reason for it.

    It is urgent while no engine has the new role; ``deviation`` is how many engines
    are to change in the same way, this one included.
    """

    target: Target
    role: Role
    why: str
    is_urgent: bool = False
    deviation: int = 1


def update_engine_count(
    count: EngineCount, engines: int, now: timedelta, *, is_permanent: bool = False
) -> None:
    """Record the number of engines; ``is_permanent`` if the missing ones stay away.

    Load patterns: a domain that is cut off for seconds under steady load, and engines
    that report that they leave.
    """
    if is_permanent and count.is_settled:
        count.engines, count.changed_at = engines, now
    elif engines != count.engines:
        if count.engines and count.unsettled_since is None:
            count.unsettled_since = now
        count.engines, count.changed_at = engines, now
    start = count.unsettled_since
    if start is None:
        count.settled = engines
    elif now - count.changed_at >= SETTLE_TIME or now - start >= MAX_SETTLE_TIME:
        count.unsettled_since, count.settled = None, engines


def count_prefill_engines(engines: int, share: float) -> int:
    """Return how many engines are to prefill; two or more engines fill both roles."""
    return max(min(1, engines - 1), min(round(engines * share), engines - 1))


def is_due(change: RoleChange, count: EngineCount) -> bool:
    """Return whether a role change may be ordered now.

    Load pattern: engines of a large fleet that are replaced one after the other and
    return in the role that they start in, beside a domain that is cut off.
    """
    if change.is_urgent or count.is_settled:
        return True
    is_nearly_complete = count.engines >= (1 - MIN_DEVIATION_SHARE) * count.settled
    min_deviation = max(MIN_DEVIATION_ENGINES, MIN_DEVIATION_SHARE * count.engines)
    return is_nearly_complete and change.deviation >= min_deviation


def list_engines(targets: Iterable[Target], service: str) -> list[Target]:
    """Return the prefill and decode engines of a service that serve or change roles."""
    return [
        t
        for t in targets
        if t.service == service
        and t.role in (Role.PREFILL, Role.DECODE)
        and t.state in (TargetState.SERVING, TargetState.CHANGING)
    ]


def plan_change(
    targets: Iterable[Target],
    service: str,
    share: float | None,
    pending_roles: dict[str, Role],
    lost_versions: Collection[str] = (),
    new: Collection[str] = (),
) -> RoleChange | None:
    """Return the next change that brings a service nearer to its target split.

    Without a ``share`` of prefill engines the split stays, unless a role has no engine.
    ``pending_roles`` maps targets with a pending order to the role that they count in;
    they get no other order. ``lost_versions`` are those whose decode engines crashed.
    ``new`` engines have just started and change before others: they have no work and
    no cached parts to lose.
    """
    engines = list_engines(targets, service)
    role_of = lambda target: pending_roles.get(target.id, target.role)  # noqa: E731
    prefill = [t for t in engines if role_of(t) is Role.PREFILL]
    decode = [t for t in engines if role_of(t) is Role.DECODE]
    if share is None:
        share = len(prefill) / max(len(engines), 1)
    goal = count_prefill_engines(len(engines), share)
    why = f"{len(prefill)} of {len(engines)} engines prefill, goal {goal}"
    change = _plan_lost_version(prefill, decode, pending_roles, lost_versions, why)
    if change is not None:
        return change
    if len(prefill) == goal:
        change = _plan_version_coverage(prefill, decode, pending_roles, why)
        return change or _plan_domain_coverage(prefill, decode, pending_roles)
    if len(prefill) < goal:
        change = _pick_from_largest_domain(
            decode, Role.PREFILL, pending_roles, why, is_urgent=not prefill, new=new
        )
    else:
        change = _pick_for_smallest_domain(prefill, decode, pending_roles, why, new)
    deviation = abs(len(prefill) - goal)
    return replace(change, deviation=deviation) if change is not None else None


def _pick_from_largest_domain(
    source: list[Target],
    role: Role,
    pending_roles: dict[str, Role],
    why: str,
    is_urgent: bool,
    new: Collection[str],
) -> RoleChange | None:
    """Choose an engine from the domain that has most engines in the old role.

    Only an urgent change takes the last one of a version, if no other engine is free.
    """
    free = _list_free(source, pending_roles)
    count = _count_domains(source)
    if not _can_spare(free):
        return None
    candidates = _list_spare(free) or (free if is_urgent else [])
    target = max(candidates, key=lambda t: (t.id in new, count[t.domain]), default=None)
    return RoleChange(target, role, why, is_urgent) if target is not None else None


def _pick_for_smallest_domain(
    prefill: list[Target],
    decode: list[Target],
    pending_roles: dict[str, Role],
    why: str,
    new: Collection[str] = (),
) -> RoleChange | None:
    """Choose an engine to decode from the domain with the fewest decode engines.

    Engines of versions that need one come first, then ``new`` ones, and those that may
    be reclaimed last: a stream moves when its engine leaves, a prompt ends before.
    """
    free = _list_free(prefill, pending_roles)
    count = _count_domains(decode)
    if not _can_spare(free):
        return None
    uncovered = _list_uncovered_versions(prefill, decode)
    target = min(
        free,
        key=lambda t: (
            t.version not in uncovered,
            t.id not in new,
            t.is_reclaimable,
            count[t.domain],
        ),
    )
    if target.version in uncovered:
        why += f", no engine of version {target.version!r} decodes"
    return RoleChange(target, Role.DECODE, why, is_urgent=not decode)


def _plan_lost_version(
    prefill: list[Target],
    decode: list[Target],
    pending_roles: dict[str, Role],
    lost_versions: Collection[str],
    why: str,
) -> RoleChange | None:
    """Plan a decode engine for a version whose decode engines have crashed.

    Load pattern: two versions that serve side by side, and the crash of the only decode
    engine of one. Clients resume its streams within seconds, only at their version.
    """
    versions = [
        version
        for version in _list_uncovered_versions(prefill, decode)
        if version in lost_versions
    ]
    candidates = [t for t in prefill if t.version in versions[:1]]
    change = _pick_for_smallest_domain(candidates, decode, pending_roles, why)
    return replace(change, is_urgent=True) if change is not None else None


def _plan_version_coverage(
    prefill: list[Target],
    decode: list[Target],
    pending_roles: dict[str, Role],
    why: str,
) -> RoleChange | None:
    """Plan a decode engine for a version without one, if another version has two.

    The reverse change then follows from the split. None is planned while an engine
    changes.
    """
    versions = _list_uncovered_versions(prefill, decode)
    is_changing = any(
        t.id in pending_roles or t.state is TargetState.CHANGING
        for t in (*prefill, *decode)
    )
    has_pair = max(_count_versions(decode).values(), default=0) > 1
    if not versions or is_changing or not has_pair:
        return None
    candidates = [t for t in prefill if t.version == versions[0]]
    return _pick_for_smallest_domain(candidates, decode, pending_roles, why)


def _plan_domain_coverage(
    prefill: list[Target], decode: list[Target], pending_roles: dict[str, Role]
) -> RoleChange | None:
    """Plan a decode engine for a domain without one, if another domain can spare one.

    The reverse change, in the domain with most decode engines, then follows from the
    split.
    """
    count = _count_domains(decode)
    uncovered = [t for t in prefill if not count[t.domain]]
    if not uncovered:
        return None
    why = f"no engine decodes in {uncovered[0].domain}"
    change = _pick_for_smallest_domain(uncovered, decode, pending_roles, why)
    if change is None:
        return None
    versions = _count_versions([*decode, change.target])
    is_reversible = any(count[t.domain] > 1 and versions[t.version] > 1 for t in decode)
    return change if is_reversible else None


def _can_spare(free: list[Target]) -> bool:
    """Return whether one engine of a role still serves after another one changes.

    Load pattern: a new holder of the lease that does not know which engines change.
    """
    return sum(target.state is TargetState.SERVING for target in free) > 1


def _list_spare(free: list[Target]) -> list[Target]:
    """Return the engines beside which another one of their role and version serves.

    A stream goes on only at its software version. Load pattern: clients that resume
    streams while two versions serve side by side.
    """
    serving = _count_versions(t for t in free if t.state is TargetState.SERVING)
    return [target for target in free if serving[target.version] > 1]


def _list_uncovered_versions(prefill: list[Target], decode: list[Target]) -> list[str]:
    """Return the versions of which two engines or more serve and none decodes."""
    covered = _count_versions(decode)
    spare = _count_versions(_list_spare(prefill))
    return sorted(version for version in spare if not covered[version])


def _list_free(targets: list[Target], pending_roles: dict[str, Role]) -> list[Target]:
    return sorted((t for t in targets if t.id not in pending_roles), key=lambda t: t.id)


def _count_domains(targets: list[Target]) -> Counter[str]:
    return Counter(target.domain for target in targets)


def _count_versions(targets: Iterable[Target]) -> Counter[str]:
    return Counter(target.version for target in targets)
