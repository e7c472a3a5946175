"""Propose role changes where the capacity gained exceeds the cost of the downtime.

``propose_changes(world, now)`` considers every reachable engine of a service in all
domains. It returns the best change only if its target is in this daemon's domain, so
that domains with the same view never change two engines for the same shift in demand.
The core calls ``record_role`` whenever a target reports a role.

With p prefill, m mixed and d decode engines, the share served of a demand (P, D) in
engine-equivalents is the minimum of (p + m * MIXED_PREFILL) / P, (m + d) / D and
(p + m + d) / (P + D).
"""

from dataclasses import dataclass
from datetime import timedelta

import xxhash

from galenapass.systems import demand as demands
from galenapass.tables.configurations import Service
from galenapass.tables.demand import Demand
from galenapass.tables.targets import Role, Target, TargetKind, TargetState
from galenapass.tables.world import World

__all__ = ["RequiredChange", "propose_changes", "record_role"]

MIXED_PREFILL = 0.5  # prefill capacity of a mixed engine, relative to a prefill engine
HORIZON = timedelta(seconds=60)
FORECAST_LEAD = timedelta(seconds=10)
CHANGE_DOWNTIME = timedelta(seconds=6)  # of the target, for the drain and the change
MIN_CHANGE_INTERVAL = timedelta(seconds=60)  # between two changes of one target
MIN_SAMPLES = 10
CHANGING_STATES = (TargetState.DRAINING, TargetState.CHANGING)
ENGINES_PER_CHANGE = 50  # at most one concurrent change per this many
HYSTERESIS = 0.3  # engine-equivalents, subtracted from each gain


@dataclass(slots=True, frozen=True)
class RequiredChange:
    """Change that a target should make; gain and cost are in engine-seconds.

    The gain is over the planning horizon; ``why`` is a sentence for the log.
    """

    target: str
    action: str
    value: str
    gain: float
    cost: float
    why: str


@dataclass(slots=True, frozen=True)
class _RoleCounts:
    """Number of engines of each role."""

    prefill: int
    mixed: int
    decode: int

    def change_role(self, old: Role, new: Role) -> "_RoleCounts":
        """Return the counts after one engine changes its role."""
        counts = {
            Role.PREFILL: self.prefill,
            Role.MIXED: self.mixed,
            Role.DECODE: self.decode,
        }
        counts[old] -= 1
        counts[new] += 1
        return _RoleCounts(
            counts[Role.PREFILL], counts[Role.MIXED], counts[Role.DECODE]
        )

    def find_unserved(self, prefill: float, decode: float) -> float:
        """Return the unserved part of a demand in engine-equivalents."""
        served = min(
            _ratio(self.prefill + self.mixed * MIXED_PREFILL, prefill),
            _ratio(self.mixed + self.decode, decode),
            _ratio(self.prefill + self.mixed + self.decode, prefill + decode),
        )
        return (1.0 - min(1.0, served)) * (prefill + decode)


def record_role(world: World, target: str, role: Role, now: timedelta) -> None:
    """Record the role that a target reports, and the time if it changed."""
    entry = world.targets[target]
    if entry.role is not role:
        entry.role = role
        world.demand.role_changed_at[target] = now


def propose_changes(world: World, now: timedelta) -> list[RequiredChange]:
    """Return the role changes required in this domain now: none or one."""
    if _is_changing(world):
        return []
    proposed = [
        change
        for demand in world.demand.demands.values()
        if (change := _propose(world, demand, now)) is not None
    ]
    own = [c for c in proposed if world.targets[c.target].domain == world.domain]
    return sorted(own, key=lambda c: (c.cost - c.gain, c.target))[:1]


def _is_changing(world: World) -> bool:
    return any(
        t.state in CHANGING_STATES and t.domain == world.domain
        for t in world.targets.values()
    )


def _propose(world: World, demand: Demand, now: timedelta) -> RequiredChange | None:
    service = world.configuration.services.get(demand.service)
    if demand.samples < MIN_SAMPLES:
        return None
    engines = _list_available(world, demand.service, now)
    if sum(t.state in CHANGING_STATES for t in engines) >= max(
        1, len(engines) // ENGINES_PER_CHANGE
    ):
        return None
    counts = _count_roles(engines)
    prefill = demands.forecast(demand.prefill, FORECAST_LEAD)
    decode = demands.forecast(demand.decode, FORECAST_LEAD)
    unserved = counts.find_unserved(prefill, decode)
    options = [
        (
            unserved - counts.change_role(old, new).find_unserved(prefill, decode),
            old,
            new,
        )
        for old in Role
        for new in Role
        if old is not new and _meets_floors(counts.change_role(old, new), service)
    ]
    gain, old, new = max(
        options, key=_rank_option, default=(0.0, Role.MIXED, Role.MIXED)
    )
    gain -= HYSTERESIS
    gain *= HORIZON.total_seconds()
    cost = CHANGE_DOWNTIME.total_seconds() * world.configuration.role_change_weight
    target = _choose_target(world, engines, old, now)
    if target is None or gain <= cost:
        return None
    why = (
        f"demand for prefill {prefill:.2f} and decode {decode:.2f} engines, "
        f"{counts.prefill} prefill, {counts.mixed} mixed, {counts.decode} decode: "
        f"{old.value} to {new.value} gains {gain:.1f} for {cost:.1f} engine-seconds"
    )
    return RequiredChange(target.id, "role", new.value, gain, cost, why)


def _rank_option(option: tuple[float, Role, Role]) -> tuple[float, bool, str, str]:
    """Return a sort key by gain; at equal gain, the more flexible mixed role wins."""
    gain, old, new = option
    return (round(gain, 6), new is Role.MIXED, old.value, new.value)


def _list_available(world: World, service: str, now: timedelta) -> list[Target]:
    """Return a service's engines that serve now or will soon serve again."""
    unavailable = (TargetState.LEAVING, TargetState.GONE)
    return [
        t
        for t in world.targets.values()
        if t.service == service
        and t.kind is TargetKind.ENGINE
        and t.state not in unavailable
        and (t.avoid_until is None or now >= t.avoid_until)
    ]


def _count_roles(engines: list[Target]) -> _RoleCounts:
    roles = [t.role for t in engines]
    return _RoleCounts(
        roles.count(Role.PREFILL), roles.count(Role.MIXED), roles.count(Role.DECODE)
    )


def _meets_floors(counts: _RoleCounts, service: Service | None) -> bool:
    if min(counts.prefill, counts.mixed, counts.decode) < 0:
        return False
    floor_prefill = service.floor_prefill if service else 0
    floor_decode = service.floor_decode if service else 0
    if counts.prefill + counts.mixed < max(1, floor_prefill):
        return False
    if counts.mixed + counts.decode < max(1, floor_decode):
        return False
    # A prefill engine alone, or a decode engine alone, cannot serve a request.
    return bool(counts.mixed) or bool(counts.prefill and counts.decode)


def _has_declared_role(world: World, target: str) -> bool:
    entry = world.configuration.targets.get(target)
    return entry is not None and entry.role is not None


def _choose_target(
    world: World, engines: list[Target], role: Role, now: timedelta
) -> Target | None:
    """Return the target to change, the same in every domain with the same view."""
    candidates = [
        t
        for t in engines
        if t.role is role
        and t.state is TargetState.SERVING
        and not _has_declared_role(world, t.id)
        and _may_change_again(world, t.id, now)
    ]
    return min(
        candidates,
        key=lambda t: (
            world.demand.role_changed_at.get(t.id, timedelta(0)),
            _hash_name(t.id),
        ),
        default=None,
    )


def _may_change_again(world: World, target: str, now: timedelta) -> bool:
    role_changed_at = world.demand.role_changed_at.get(target)
    return role_changed_at is None or now - role_changed_at >= MIN_CHANGE_INTERVAL


def _hash_name(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _ratio(capacity: float, demand: float) -> float:
    return capacity / demand if demand > 0.0 else 1.0
