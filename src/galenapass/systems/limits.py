"""Hold callers to their rates and, under overload, to their shares.

Each daemon holds a part of a caller's rate. ``rebalance`` gives up at once what
others use more; a rise is claimed first, from what all daemons announced as free,
and spent once every peer was heard after the claim. So the parts add up to the rate
when some cannot be heard: a silent daemon's last part stays counted until the host
list drops it, and nobody rises meanwhile. Slack: where a peer is heard but does not
hear, the parts may exceed the rate by ``SLACK`` of it; a daemon that joins adds its
even part for one round.
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
    "list_own_use",
    "find_over_share",
    "apply_peer_use",
    "record_work",
    "rebalance",
    "consume_limit",
]

SLACK = 0.1
EVEN_PART = 0.3  # of the rate, divided evenly whatever the use
BURST = 1.0  # seconds of the rate held
USE_WINDOW = 10.0  # seconds
WORK_WINDOW = 30.0  # seconds
OVER_SHARE = 1.2
LONGEST_RETURN = 60.0  # seconds


def consume_limit(world: World, request: Request, now: timedelta) -> Verdict | None:
    """Take one request from a caller's limit; return the verdict if it is spent."""
    caller = world.configuration.callers.get(request.caller)
    if caller is None:
        return None
    limit = _limit(world, caller.name, caller.rate)
    _note_use(limit, now)
    held = limit.held or 0.0
    most = max(1.0, held * BURST)
    elapsed = (now - limit.filled).total_seconds()
    limit.tokens = min(most, limit.tokens + elapsed * held)
    limit.filled = now
    if limit.tokens >= 1.0:
        limit.tokens -= 1.0
        return None
    wait = (1.0 - limit.tokens) / max(held, 1.0 / LONGEST_RETURN)
    return _exceeded(request, wait, caller.rate)


def list_own_use(world: World, now: timedelta) -> dict[str, PeerLimitUse]:
    """Return what peers should know of this daemon's use and part, by caller."""
    return {
        name: PeerLimitUse(_faded_use(limit, now), _announced(limit), now)
        for name, limit in world.limits.limits.items()
    }


def apply_peer_use(
    world: World, host: str, used: dict[str, PeerLimitUse], now: timedelta
) -> None:
    """Take in what a peer announced."""
    for name, use in used.items():
        caller = world.configuration.callers.get(name)
        if caller is None:
            continue
        limit = _limit(world, name, caller.rate)
        limit.peers[host] = PeerLimitUse(use.used, use.held, now)


def rebalance(world: World, now: timedelta) -> None:
    """Move this daemon's parts towards its measured use."""
    for name, limit in world.limits.limits.items():
        caller = world.configuration.callers.get(name)
        if caller is None or limit.held is None:
            continue
        _forget_gone(world, limit)
        _move(world, limit, caller.rate, now)


def record_work(world: World, request: Request, work: float, now: timedelta) -> None:
    """Count target-seconds served to a caller."""
    caller = world.configuration.callers.get(request.caller)
    if caller is None:
        return
    limit = _limit(world, caller.name, caller.rate)
    elapsed = (now - limit.work_at).total_seconds()
    limit.work = limit.work * math.exp(-elapsed / WORK_WINDOW) + work
    limit.work_at = now


def find_over_share(world: World, callers: set[str], now: timedelta) -> set[str]:
    """Return those of the waiting callers that were served more than their share."""
    known = [
        world.configuration.callers[n] for n in sorted(callers) if n in _known(world)
    ]
    if len(known) < 2:
        return set()
    served = {c.name: _faded_work(world, c.name, now) for c in known}
    total = sum(served.values())
    shares = sum(c.share for c in known)
    if total <= 0.0 or shares <= 0.0:
        return set()
    return {
        c.name for c in known if served[c.name] / total > OVER_SHARE * c.share / shares
    }


def _known(world: World) -> set[str]:
    return set(world.configuration.callers)


def _limit(world: World, name: str, rate: float) -> Limit:
    limit = world.limits.limits.setdefault(name, Limit(name))
    if limit.held is None:
        limit.held = rate / _count_daemons(world)
        limit.tokens = max(1.0, limit.held * BURST)
    return limit


def _count_daemons(world: World) -> int:
    others = [h for h in world.hosts.values() if h.id != world.host]
    return 1 + sum(h.state is not HostState.GONE for h in others)


def _move(world: World, limit: Limit, rate: float, now: timedelta) -> None:
    held = limit.held or 0.0
    wanted = _want(world, limit, rate, now)
    free = max(0.0, rate - _held_by_others(world, limit, rate) - held)
    if wanted <= held:
        limit.held = wanted
        limit.claimed = None
    elif limit.claimed is None:
        limit.claimed = held + min(wanted - held, free)
        limit.claimed_at = now
    elif _all_heard_since(world, limit):
        limit.held = min(limit.claimed, held + free)
        limit.claimed = None


def _announced(limit: Limit) -> float:
    return max(limit.held or 0.0, limit.claimed or 0.0)


def _all_heard_since(world: World, limit: Limit) -> bool:
    return all(
        name in limit.peers and limit.peers[name].at > limit.claimed_at
        for name, host in world.hosts.items()
        if name != world.host and host.state is not HostState.GONE
    )


def _held_by_others(world: World, limit: Limit, rate: float) -> float:
    """Add up the parts announced, and the first part of a daemon never heard."""
    heard = sum(use.held for use in limit.peers.values())
    unheard = _count_daemons(world) - 1 - len(limit.peers)
    return heard + max(0, unheard) * rate / _count_daemons(world)


def _want(world: World, limit: Limit, rate: float, now: timedelta) -> float:
    even = rate * EVEN_PART / _count_daemons(world)
    own = _faded_use(limit, now)
    total = own + sum(use.used for use in limit.peers.values())
    if total <= 0.0:
        return rate / _count_daemons(world)
    return even + rate * (1.0 - EVEN_PART) * own / total


def _forget_gone(world: World, limit: Limit) -> None:
    gone = [
        name
        for name in limit.peers
        if name in world.hosts and world.hosts[name].state is HostState.GONE
    ]
    for name in gone:
        del limit.peers[name]


def _note_use(limit: Limit, now: timedelta) -> None:
    limit.used = _faded_use(limit, now) + 1.0 / USE_WINDOW
    limit.used_at = now


def _faded_use(limit: Limit, now: timedelta) -> float:
    elapsed = (now - limit.used_at).total_seconds()
    return limit.used * math.exp(-elapsed / USE_WINDOW)


def _faded_work(world: World, name: str, now: timedelta) -> float:
    limit = world.limits.limits.get(name)
    if limit is None:
        return 0.0
    elapsed = (now - limit.work_at).total_seconds()
    return limit.work * math.exp(-elapsed / WORK_WINDOW)


def _exceeded(request: Request, wait: float, rate: float) -> Verdict:
    spread = xxhash.xxh64_intdigest(request.id.encode()) % 1000 / 1000
    seconds = min(LONGEST_RETURN, wait) * (1.0 + spread)
    detail = f"{request.caller} may send {rate:g} requests a second"
    return Verdict(
        Run.NOT_RUN, Reason.LIMIT_EXCEEDED, detail, timedelta(seconds=seconds)
    )
