"""Measure the demand for prefill and decode, and forecast it from level and trend.

Admission calls ``record_arrival`` for each offered request, including refused ones; the
core calls ``sample`` once every ``SAMPLE_INTERVAL``. Peers exchange
``list_own_demand``, which ``apply_peer_demand`` records. One engine-equivalent is the
work of one engine that is fully dedicated to it.
"""

from datetime import timedelta
from statistics import median

from galenapass.systems import caches, estimates
from galenapass.tables.demand import Demand, PeerDemand, PhaseDemand
from galenapass.tables.requests import Request
from galenapass.tables.targets import Target, TargetKind
from galenapass.tables.world import World

__all__ = [
    "SAMPLE_INTERVAL",
    "apply_peer_demand",
    "forecast",
    "list_own_demand",
    "own_share",
    "record_arrival",
    "sample",
]

SAMPLE_INTERVAL = timedelta(seconds=2)
PEER_DEMAND_LIFETIME = timedelta(seconds=10)
LEVEL_SMOOTHING = 0.3  # weight of a new sample in the level
TREND_SMOOTHING = 0.1  # weight of a new slope in the trend


def record_arrival(world: World, request: Request, now: timedelta) -> None:
    """Add the work that a request requires, in engine-seconds."""
    engines = _list_engines(world, request.service)
    if not engines:
        return
    demand = _get_demand(world, request.service)
    if demand.since is None:
        demand.since = now
    rate = median(t.rates.best_prefill for t in engines)
    step = median(t.rates.best_step for t in engines)
    uncached = min(caches.uncached_tokens(t, request) for t in engines)
    demand.prefill_arrived += uncached / rate
    share = _decode_share(engines[0], uncached + request.output_tokens)
    demand.decode_arrived += request.output_tokens * step * share


def sample(world: World, now: timedelta) -> None:
    """Close the sample of each service and smooth it by Holt's linear method."""
    for demand in world.demand.demands.values():
        since = demand.since
        if since is None or now - since < SAMPLE_INTERVAL:
            continue
        elapsed = (now - since).total_seconds()
        demand.own_prefill = demand.prefill_arrived / elapsed
        demand.own_decode = demand.decode_arrived / elapsed
        demand.prefill_arrived = demand.decode_arrived = 0.0
        demand.since = now
        current = [
            p for p in demand.peers.values() if now - p.at < PEER_DEMAND_LIFETIME
        ]
        prefill = demand.own_prefill + sum(p.prefill for p in current)
        decode = demand.own_decode + sum(p.decode for p in current)
        first = demand.samples == 0
        _smooth(demand.prefill, prefill, elapsed, first)
        _smooth(demand.decode, decode, elapsed, first)
        demand.samples += 1


def forecast(phase: PhaseDemand, ahead: timedelta) -> float:
    """Return the demand extrapolated some time ahead, in engine-equivalents."""
    return max(0.0, phase.level + phase.trend * ahead.total_seconds())


def own_share(world: World, service: str) -> float:
    """Return the fraction of a service's demand that arrives at this daemon.

    It is at least an even fraction among the daemons that announced demand.
    """
    demand = world.demand.demands.get(service)
    if demand is None:
        return 1.0
    own = demand.own_prefill + demand.own_decode
    peer_total = sum(p.prefill + p.decode for p in demand.peers.values())
    if not peer_total:
        return 1.0
    return max(own / (own + peer_total), 1.0 / (1 + len(demand.peers)))


def list_own_demand(world: World, now: timedelta) -> dict[str, PeerDemand]:
    """Return this daemon's own demand by service."""
    return {
        name: PeerDemand(demand.own_prefill, demand.own_decode, now)
        for name, demand in world.demand.demands.items()
    }


def apply_peer_demand(
    world: World, host: str, announced: dict[str, PeerDemand], now: timedelta
) -> None:
    """Record the demand that a peer announced, by service."""
    for service, work in announced.items():
        demand = _get_demand(world, service)
        demand.since = now if demand.since is None else demand.since
        demand.peers[host] = PeerDemand(work.prefill, work.decode, now)


def _get_demand(world: World, service: str) -> Demand:
    return world.demand.demands.setdefault(service, Demand(service))


def _list_engines(world: World, service: str) -> list[Target]:
    targets = world.targets.values()
    return [t for t in targets if t.service == service and t.kind is TargetKind.ENGINE]


def _decode_share(target: Target, tokens: int) -> float:
    """Return the fraction of an engine used by a sequence: memory or concurrency."""
    pieces = estimates.pieces_needed(target, tokens)
    memory = pieces / max(1, estimates.pieces_total(target))
    return max(memory, 1.0 / estimates.estimated_concurrency(target))


def _smooth(phase: PhaseDemand, value: float, elapsed: float, first: bool) -> None:
    if first:
        phase.level = value
        return
    expected = phase.level + phase.trend * elapsed
    level = LEVEL_SMOOTHING * value + (1.0 - LEVEL_SMOOTHING) * expected
    slope = (level - phase.level) / elapsed
    phase.trend = TREND_SMOOTHING * slope + (1.0 - TREND_SMOOTHING) * phase.trend
    phase.level = max(0.0, level)
