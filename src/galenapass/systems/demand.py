"""Measure the demand for prefill and decode and smooth it with its trend.

Admission calls ``record_arrival`` for each request offered, refused ones too; the core
calls ``sample`` once every ``SAMPLE_TIME``. Peers exchange ``list_own_demand`` by
``apply_peer_demand``. An engine-equivalent is what one engine does that does nothing
else.
"""

from datetime import timedelta
from statistics import median

from galenapass.systems import caches, estimates
from galenapass.tables.demand import Demand, PeerDemand, PhaseDemand
from galenapass.tables.requests import Request
from galenapass.tables.targets import Target, TargetKind
from galenapass.tables.world import World

__all__ = [
    "SAMPLE_TIME",
    "list_own_demand",
    "forecast",
    "apply_peer_demand",
    "record_arrival",
    "own_share",
    "sample",
]

SAMPLE_TIME = timedelta(seconds=2)
HEARD_FOR = timedelta(seconds=10)
LEVEL_SHARE = 0.3  # of a new sample in the level
TREND_SHARE = 0.1  # of a new slope in the trend


def record_arrival(world: World, request: Request, now: timedelta) -> None:
    """Count the work that a request asks for, in engine-seconds."""
    engines = _engines(world, request.service)
    if not engines:
        return
    demand = _demand(world, request.service)
    if demand.since is None:
        demand.since = now
    rate = median(t.rates.best_prefill for t in engines)
    step = median(t.rates.best_step for t in engines)
    fresh = min(caches.fresh_tokens(t, request) for t in engines)
    demand.prefill_arrived += fresh / rate
    share = _decode_share(engines[0], fresh + request.output_tokens)
    demand.decode_arrived += request.output_tokens * step * share


def sample(world: World, now: timedelta) -> None:
    """End a sample of each service and smooth it by Holt's linear method."""
    for demand in world.demand.demands.values():
        since = demand.since
        if since is None or now - since < SAMPLE_TIME:
            continue
        elapsed = (now - since).total_seconds()
        demand.own_prefill = demand.prefill_arrived / elapsed
        demand.own_decode = demand.decode_arrived / elapsed
        demand.prefill_arrived = demand.decode_arrived = 0.0
        demand.since = now
        heard = [w for w in demand.peers.values() if now - w.at < HEARD_FOR]
        prefill = demand.own_prefill + sum(w.prefill for w in heard)
        decode = demand.own_decode + sum(w.decode for w in heard)
        first = demand.samples == 0
        _smooth(demand.prefill, prefill, elapsed, first)
        _smooth(demand.decode, decode, elapsed, first)
        demand.samples += 1


def forecast(phase: PhaseDemand, ahead: timedelta) -> float:
    """Return the engine-equivalents that the trend gives some time ahead."""
    return max(0.0, phase.level + phase.trend * ahead.total_seconds())


def own_share(world: World, service: str) -> float:
    """Return the part of a service's demand that arrives at this daemon."""
    demand = world.demand.demands.get(service)
    if demand is None:
        return 1.0
    own = demand.own_prefill + demand.own_decode
    others = sum(w.prefill + w.decode for w in demand.peers.values())
    if not others:
        return 1.0
    return max(own / (own + others), 1.0 / (1 + len(demand.peers)))


def list_own_demand(world: World, now: timedelta) -> dict[str, PeerDemand]:
    """Return this daemon's own demand by service."""
    return {
        name: PeerDemand(demand.own_prefill, demand.own_decode, now)
        for name, demand in world.demand.demands.items()
    }


def apply_peer_demand(
    world: World, host: str, told: dict[str, PeerDemand], now: timedelta
) -> None:
    """Take in what a peer announced."""
    for service, work in told.items():
        demand = _demand(world, service)
        demand.since = now if demand.since is None else demand.since
        demand.peers[host] = PeerDemand(work.prefill, work.decode, now)


def _demand(world: World, service: str) -> Demand:
    return world.demand.demands.setdefault(service, Demand(service))


def _engines(world: World, service: str) -> list[Target]:
    targets = world.targets.values()
    return [t for t in targets if t.service == service and t.kind is TargetKind.ENGINE]


def _decode_share(target: Target, tokens: int) -> float:
    """Return the part of an engine that a sequence takes, by memory or by room."""
    pieces = estimates.pieces_needed(target, tokens)
    memory = pieces / max(1, estimates.pieces_total(target))
    return max(memory, 1.0 / estimates.sequences(target))


def _smooth(phase: PhaseDemand, value: float, elapsed: float, first: bool) -> None:
    if first:
        phase.level = value
        return
    expected = phase.level + phase.trend * elapsed
    level = LEVEL_SHARE * value + (1.0 - LEVEL_SHARE) * expected
    slope = (level - phase.level) / elapsed
    phase.trend = TREND_SHARE * slope + (1.0 - TREND_SHARE) * phase.trend
    phase.level = max(0.0, level)
