"""Propose role changes where the work regained outweighs the seconds away.

``propose_changes(world, now)`` looks at every engine of a service that can be
reached, in all domains, and returns the best change if it is for a target of this
daemon's domain: domains that see the same picture never change two engines for the
same shift. The core calls ``record_role`` whenever a target shows a role.

The served part of a demand (P, D) in engine-equivalents by p prefill, m mixed and
d decode engines is the least of (p + m * MIXED_PREFILL) / P, (m + d) / D and
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

__all__ = ["RequiredChange", "record_role", "propose_changes"]

MIXED_PREFILL = 0.5  # of a prefill engine, beside decoding
HORIZON = timedelta(seconds=60)
AHEAD = timedelta(seconds=10)
CHANGE_DOWNTIME = timedelta(seconds=6)  # drain and change
REST = timedelta(seconds=60)  # between two changes of one target
LEAST_SAMPLES = 10
MOVING = (TargetState.DRAINING, TargetState.CHANGING)
MOVE_OF = 50  # engines of a service of which one may change at a time
HYSTERESIS = 0.3  # engine-equivalents that a gain has to exceed


@dataclass(slots=True, frozen=True)
class RequiredChange:
    """Hold a proposal; gain and cost are in engine-seconds over the horizon."""

    target: str
    action: str
    value: str
    gain: float
    cost: float
    why: str


@dataclass(slots=True, frozen=True)
class _Mix:
    """Count the engines of each role."""

    prefill: int
    mixed: int
    decode: int

    def move(self, old: Role, new: Role) -> "_Mix":
        """Return the counts after one engine changed its role."""
        counts = {
            Role.PREFILL: self.prefill,
            Role.MIXED: self.mixed,
            Role.DECODE: self.decode,
        }
        counts[old] -= 1
        counts[new] += 1
        return _Mix(counts[Role.PREFILL], counts[Role.MIXED], counts[Role.DECODE])

    def lose(self, prefill: float, decode: float) -> float:
        """Return the engine-equivalents of a demand that are not served."""
        served = min(
            _ratio(self.prefill + self.mixed * MIXED_PREFILL, prefill),
            _ratio(self.mixed + self.decode, decode),
            _ratio(self.prefill + self.mixed + self.decode, prefill + decode),
        )
        return (1.0 - min(1.0, served)) * (prefill + decode)


def record_role(world: World, target: str, role: Role, now: timedelta) -> None:
    """Take note of the role that a target shows; a new one starts its rest."""
    entry = world.targets[target]
    if entry.role is not role:
        entry.role = role
        world.demand.changed[target] = now


def propose_changes(world: World, now: timedelta) -> list[RequiredChange]:
    """Return the role changes wanted in this domain now: none or one."""
    if _is_changing(world):
        return []
    wanted = [
        change
        for demand in world.demand.demands.values()
        if (change := _propose(world, demand, now)) is not None
    ]
    own = [c for c in wanted if world.targets[c.target].domain == world.domain]
    return sorted(own, key=lambda c: (c.cost - c.gain, c.target))[:1]


def _is_changing(world: World) -> bool:
    return any(
        t.state in MOVING and t.domain == world.domain for t in world.targets.values()
    )


def _propose(world: World, demand: Demand, now: timedelta) -> RequiredChange | None:
    service = world.configuration.services.get(demand.service)
    if demand.samples < LEAST_SAMPLES:
        return None
    engines = _counted(world, demand.service, now)
    if sum(t.state in MOVING for t in engines) >= max(1, len(engines) // MOVE_OF):
        return None
    mix = _count(engines)
    prefill = demands.forecast(demand.prefill, AHEAD)
    decode = demands.forecast(demand.decode, AHEAD)
    now_lost = mix.lose(prefill, decode)
    options = [
        (now_lost - mix.move(old, new).lose(prefill, decode), old, new)
        for old in Role
        for new in Role
        if old is not new and _keeps_floors(mix.move(old, new), service)
    ]
    gain, old, new = max(options, key=_prefer, default=(0.0, Role.MIXED, Role.MIXED))
    gain -= HYSTERESIS
    gain *= HORIZON.total_seconds()
    cost = CHANGE_DOWNTIME.total_seconds() * world.configuration.role_change_weight
    target = _pick(world, engines, old, now)
    if target is None or gain <= cost:
        return None
    why = (
        f"demand for prefill {prefill:.2f} and decode {decode:.2f} engines, "
        f"{mix.prefill} prefill, {mix.mixed} mixed, {mix.decode} decode: "
        f"{old.value} to {new.value} gains {gain:.1f} for {cost:.1f} engine-seconds"
    )
    return RequiredChange(target.id, "role", new.value, gain, cost, why)


def _prefer(option: tuple[float, Role, Role]) -> tuple[float, bool, str, str]:
    """Rank by gain; among equals a change to mixed keeps most ways open."""
    gain, old, new = option
    return (round(gain, 6), new is Role.MIXED, old.value, new.value)


def _counted(world: World, service: str, now: timedelta) -> list[Target]:
    """Return the engines that serve or will soon serve again."""
    away = (TargetState.LEAVING, TargetState.GONE)
    return [
        t
        for t in world.targets.values()
        if t.service == service
        and t.kind is TargetKind.ENGINE
        and t.state not in away
        and (t.avoid_until is None or now >= t.avoid_until)
    ]


def _count(engines: list[Target]) -> _Mix:
    roles = [t.role for t in engines]
    return _Mix(
        roles.count(Role.PREFILL), roles.count(Role.MIXED), roles.count(Role.DECODE)
    )


def _keeps_floors(mix: _Mix, service: Service | None) -> bool:
    if min(mix.prefill, mix.mixed, mix.decode) < 0:
        return False
    floor_prefill = service.floor_prefill if service else 0
    floor_decode = service.floor_decode if service else 0
    if mix.prefill + mix.mixed < max(1, floor_prefill):
        return False
    if mix.mixed + mix.decode < max(1, floor_decode):
        return False
    # A prefill engine alone, or a decode engine alone, cannot serve a request.
    return bool(mix.mixed) or bool(mix.prefill and mix.decode)


def _is_declared(world: World, target: str) -> bool:
    entry = world.configuration.targets.get(target)
    return entry is not None and entry.role is not None


def _pick(
    world: World, engines: list[Target], role: Role, now: timedelta
) -> Target | None:
    """Return the rested target that every domain would pick."""
    rested = [
        t
        for t in engines
        if t.role is role
        and t.state is TargetState.SERVING
        and not _is_declared(world, t.id)
        and _is_rested(world, t.id, now)
    ]
    return min(
        rested,
        key=lambda t: (world.demand.changed.get(t.id, timedelta(0)), _score(t.id)),
        default=None,
    )


def _is_rested(world: World, target: str, now: timedelta) -> bool:
    changed = world.demand.changed.get(target)
    return changed is None or now - changed >= REST


def _score(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _ratio(offered: float, wanted: float) -> float:
    return offered / wanted if wanted > 0.0 else 1.0
