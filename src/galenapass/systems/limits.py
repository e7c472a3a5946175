"""Limit callers to their rates and, under overload, to their shares.

Each daemon has a part of a caller's rate. ``rebalance`` lowers the part at once where
other daemons use more. To raise it, a daemon first claims a larger part out of the rate
that no daemon has announced, and uses it only after every peer has sent an update since
the claim. The parts thus add up to the rate even if some daemons are unreachable: the
last part of an unreachable daemon is counted until the host list drops it, and no part
is raised meanwhile. Two cases may exceed the rate: by up to the fraction ``SLACK`` if
a peer's updates arrive but the peer receives none, and by an even part for one round
when a daemon joins.
"""

import math
from datetime import timedelta

import xxhash

from galenapass.tables.hosts import HostState
from galenapass.tables.limits import Limit, PeerLimitUse
from galenapass.tables.requests import Request
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "apply_peer_use",
    "consume_limit",
    "find_over_share",
    "list_own_use",
    "rebalance",
    "record_work",
]

SLACK = 0.1  # of the rate
EVEN_FRACTION = 0.3  # of the rate, divided evenly regardless of use
BURST = 1.0  # seconds of a daemon's part that its bucket stores
USE_WINDOW = 10.0  # seconds
WORK_WINDOW = 30.0  # seconds
OVER_SHARE_RATIO = 1.2  # of work served to the share of it
MAX_RETRY_AFTER = 60.0  # seconds


def consume_limit(world: World, request: Request, now: timedelta) -> Verdict | None:
    """Consume one request of a caller's limit; return a verdict if none is left."""
    caller = world.configuration.callers.get(request.caller)
    if caller is None:
        return None
    limit = _get_limit(world, caller.name, caller.rate)
    _record_use(limit, now)
    held = limit.held or 0.0
    capacity = max(1.0, held * BURST)
    elapsed = (now - limit.filled).total_seconds()
    limit.tokens = min(capacity, limit.tokens + elapsed * held)
    limit.filled = now
    if limit.tokens >= 1.0:
        limit.tokens -= 1.0
        return None
    wait = (1.0 - limit.tokens) / max(held, 1.0 / MAX_RETRY_AFTER)
    return _make_limit_verdict(request, wait, caller.rate)


def list_own_use(world: World, now: timedelta) -> dict[str, PeerLimitUse]:
    """Return this daemon's use and announced part for peers, by caller."""
    return {
        name: PeerLimitUse(_decayed_use(limit, now), _announced_rate(limit), now)
        for name, limit in world.limits.limits.items()
    }


def apply_peer_use(
    world: World, host: str, used: dict[str, PeerLimitUse], now: timedelta
) -> None:
    """Record the use and the parts that a peer announced, by caller."""
    for name, use in used.items():
        caller = world.configuration.callers.get(name)
        if caller is None:
            continue
        limit = _get_limit(world, name, caller.rate)
        limit.peers[host] = PeerLimitUse(use.used, use.held, now)


def rebalance(world: World, now: timedelta) -> None:
    """Adjust this daemon's parts towards its fraction of the measured use."""
    for name, limit in world.limits.limits.items():
        caller = world.configuration.callers.get(name)
        if caller is None or limit.held is None:
            continue
        _drop_gone_peers(world, limit)
        _adjust_rate(world, limit, caller.rate, now)


def record_work(world: World, request: Request, work: float, now: timedelta) -> None:
    """Add target-seconds served to a caller."""
    caller = world.configuration.callers.get(request.caller)
    if caller is None:
        return
    limit = _get_limit(world, caller.name, caller.rate)
    elapsed = (now - limit.work_at).total_seconds()
    limit.work = limit.work * math.exp(-elapsed / WORK_WINDOW) + work
    limit.work_at = now


def find_over_share(world: World, callers: set[str], now: timedelta) -> set[str]:
    """Return those of the callers that were served more than their share."""
    known = [
        world.configuration.callers[n]
        for n in sorted(callers)
        if n in _list_known_callers(world)
    ]
    if len(known) < 2:
        return set()
    served = {c.name: _decayed_work(world, c.name, now) for c in known}
    total = sum(served.values())
    shares = sum(c.share for c in known)
    if total <= 0.0 or shares <= 0.0:
        return set()
    return {
        c.name
        for c in known
        if served[c.name] / total > OVER_SHARE_RATIO * c.share / shares
    }


def _list_known_callers(world: World) -> set[str]:
    return set(world.configuration.callers)


def _get_limit(world: World, name: str, rate: float) -> Limit:
    limit = world.limits.limits.setdefault(name, Limit(name))
    if limit.held is None:
        limit.held = rate / _count_daemons(world)
        limit.tokens = max(1.0, limit.held * BURST)
    return limit


def _count_daemons(world: World) -> int:
    others = [h for h in world.hosts.values() if h.id != world.host]
    return 1 + sum(h.state is not HostState.GONE for h in others)


def _adjust_rate(world: World, limit: Limit, rate: float, now: timedelta) -> None:
    held = limit.held or 0.0
    wanted = _compute_wanted_rate(world, limit, rate, now)
    free = max(0.0, rate - _sum_peer_rates(world, limit, rate) - held)
    if wanted <= held:
        limit.held = wanted
        limit.claimed = None
    elif limit.claimed is None:
        limit.claimed = held + min(wanted - held, free)
        limit.claimed_at = now
    elif _all_peers_updated_since(world, limit):
        limit.held = min(limit.claimed, held + free)
        limit.claimed = None


def _announced_rate(limit: Limit) -> float:
    return max(limit.held or 0.0, limit.claimed or 0.0)


def _all_peers_updated_since(world: World, limit: Limit) -> bool:
    return all(
        name in limit.peers and limit.peers[name].at > limit.claimed_at
        for name, host in world.hosts.items()
        if name != world.host and host.state is not HostState.GONE
    )


def _sum_peer_rates(world: World, limit: Limit, rate: float) -> float:
    """Add up the announced parts, and an even part for each daemon without one."""
    announced = sum(use.held for use in limit.peers.values())
    unannounced = _count_daemons(world) - 1 - len(limit.peers)
    return announced + max(0, unannounced) * rate / _count_daemons(world)


def _compute_wanted_rate(
    world: World, limit: Limit, rate: float, now: timedelta
) -> float:
    even = rate * EVEN_FRACTION / _count_daemons(world)
    own = _decayed_use(limit, now)
    total = own + sum(use.used for use in limit.peers.values())
    if total <= 0.0:
        return rate / _count_daemons(world)
    return even + rate * (1.0 - EVEN_FRACTION) * own / total


def _drop_gone_peers(world: World, limit: Limit) -> None:
    gone = [
        name
        for name in limit.peers
        if name in world.hosts and world.hosts[name].state is HostState.GONE
    ]
    for name in gone:
        del limit.peers[name]


def _record_use(limit: Limit, now: timedelta) -> None:
    limit.used = _decayed_use(limit, now) + 1.0 / USE_WINDOW
    limit.used_at = now


def _decayed_use(limit: Limit, now: timedelta) -> float:
    elapsed = (now - limit.used_at).total_seconds()
    return limit.used * math.exp(-elapsed / USE_WINDOW)


def _decayed_work(world: World, name: str, now: timedelta) -> float:
    limit = world.limits.limits.get(name)
    if limit is None:
        return 0.0
    elapsed = (now - limit.work_at).total_seconds()
    return limit.work * math.exp(-elapsed / WORK_WINDOW)


def _make_limit_verdict(request: Request, wait: float, rate: float) -> Verdict:
    spread = xxhash.xxh64_intdigest(request.id.encode()) % 1000 / 1000
    seconds = min(MAX_RETRY_AFTER, wait) * (1.0 + spread)
    detail = f"{request.caller} may send {rate:g} requests a second"
    return Verdict(
        Run.NOT_RUN, Reason.LIMIT_EXCEEDED, detail, timedelta(seconds=seconds)
    )
