"""Choose the target of a request by prefix affinity, bounded by load.

``choose_target(world, request, now, random)`` returns a ``Choice``, or None if no
target has capacity now. It changes nothing; ``admission.reserve`` counts a choice.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

import xxhash

from galenapass.systems import caches, crashes, estimates
from galenapass.systems.estimates import Load
from galenapass.systems.rates import IMPORT_TIME, TRANSFER_RATE
from galenapass.tables.requests import Request, Urgency
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.tables.world import World

__all__ = ["Choice", "choose_target"]

AFFINITY_DEPTHS = (16, 4, 1)  # blocks
AFFINITY_CANDIDATES = 2
LOAD_BOUND = 1.25  # times the mean load
# Fraction of an engine's sequences and memory that each class may fill.
MAX_FILL = {Urgency.URGENT: 1.0, Urgency.NORMAL: 0.9, Urgency.BULK: 0.75}
# Seconds of queued prompts at an engine beyond which each class must wait.
MAX_BACKLOG = {Urgency.URGENT: 4.0, Urgency.NORMAL: 0.5, Urgency.BULK: 0.25}


@dataclass(slots=True, frozen=True)
class Choice:
    """Chosen target of a request, the candidates compared, and the reason to log.

    ``wait`` is the time in the prefill queue, ``expected`` the least time until the
    end of the output.
    """

    target: str
    prefill_target: str | None
    candidates: tuple[str, ...]
    wait: timedelta
    expected: timedelta
    why: str


@dataclass(slots=True, frozen=True)
class _TargetEstimate:
    """Estimate of a request at one target; times are in seconds.

    ``time_to_first_token`` includes ``wait``. ``decode_time`` allows for the present
    load, ``min_decode_time`` does not. ``accepts`` is whether the target has capacity
    for the request or its prefill, ``accepts_decode`` for its decode.
    """

    target: Target
    load: Load
    wait: float
    time_to_first_token: float
    decode_time: float
    min_decode_time: float
    accepts: bool
    accepts_decode: bool


@dataclass(slots=True, frozen=True)
class _Plan:
    target: _TargetEstimate
    prefill: _TargetEstimate | None
    cost: float


def choose_target(
    world: World, request: Request, now: timedelta, random: Random
) -> Choice | None:
    """Return the target with capacity and the lowest cost, or None without one."""
    targets = estimates.list_usable_targets(world, request.service, now)
    targets = crashes.filter_targets(world, request, targets, now)
    untried = [t for t in targets if t.id not in request.tried] or targets
    options = [_estimate_target(target, request, now) for target in untried]
    if not options:
        return None
    if options[0].target.kind is TargetKind.SERVICE:
        return _choose_service(world, options, random)
    return _choose_engine(request, options, random)


def _estimate_target(
    target: Target, request: Request, now: timedelta
) -> _TargetEstimate:
    load = estimates.estimate_load(target, now)
    step = estimates.token_step(target, now)
    if target.kind is TargetKind.SERVICE:
        free = _has_free_sequence(target, load, request)
        return _TargetEstimate(target, load, 0.0, 0.0, step, step, free, False)
    rate = estimates.prefill_rate(target, now)
    wait = load.prefill / rate
    time_to_first_token = wait + caches.uncached_tokens(target, request) / rate
    slowdown = 1.0 + load.requests / estimates.estimated_concurrency(target)
    min_decode_time = request.output_tokens * step
    free = _has_free_sequence(target, load, request) and _has_free_memory(
        target, load, request
    )
    accepts = free and wait <= MAX_BACKLOG[request.urgency]
    return _TargetEstimate(
        target,
        load,
        wait,
        time_to_first_token,
        min_decode_time * slowdown,
        min_decode_time,
        accepts,
        free,
    )


def _has_free_sequence(target: Target, load: Load, request: Request) -> bool:
    limit = MAX_FILL[request.urgency] * estimates.estimated_concurrency(target)
    return load.requests + 1 <= max(1.0, limit)


def _has_free_memory(target: Target, load: Load, request: Request) -> bool:
    limit = MAX_FILL[request.urgency] * estimates.pieces_total(target)
    return load.pieces + estimates.uncached_pieces_needed(target, request) <= limit


def _choose_service(
    world: World, options: list[_TargetEstimate], random: Random
) -> Choice | None:
    ranked = sorted(
        (option for option in options if option.accepts),
        key=lambda v: (
            v.load.requests * v.decode_time,
            v.target.domain != world.domain,
            random.random(),
        ),
    )
    if not ranked:
        return None
    chosen = ranked[0].target.id
    names = tuple(option.target.id for option in ranked)
    why = f"{chosen} is the least loaded of {len(names)}"
    return Choice(chosen, None, names, timedelta(0), timedelta(0), why)


def _choose_engine(
    request: Request, options: list[_TargetEstimate], random: Random
) -> Choice | None:
    plans = _plan_mixed(request, options)
    if not plans or _saves_time(request, plans):
        plans += _plan_split(request, options)
    if not plans:
        return None
    best = min(plans, key=lambda p: (round(p.cost, 3), random.random()))
    names = tuple(dict.fromkeys(plan.target.target.id for plan in plans))
    prefill = best.prefill or best.target
    return Choice(
        best.target.target.id,
        best.prefill.target.id if best.prefill else None,
        names,
        timedelta(seconds=prefill.wait),
        timedelta(seconds=prefill.time_to_first_token + best.target.min_decode_time),
        _explain(best, request, names),
    )


def _explain(plan: _Plan, request: Request, names: tuple[str, ...]) -> str:
    prefill = (plan.prefill or plan.target).target
    cached = caches.cached_tokens(prefill, request)
    split = f", prefill at {prefill.id}" if plan.prefill else ""
    return (
        f"{plan.target.target.id}{split}: {plan.cost:.2f} s expected, "
        f"{cached} of {request.prompt_tokens} tokens cached, "
        f"best of {len(names)}"
    )


def _plan_mixed(request: Request, options: list[_TargetEstimate]) -> list[_Plan]:
    mixed = [v for v in options if v.target.role is Role.MIXED]
    return [
        _Plan(v, None, v.time_to_first_token + v.decode_time)
        for v in _prefer_affinity(request, mixed)
    ]


def _saves_time(request: Request, mixed_plans: list[_Plan]) -> bool:
    """Return whether a KV transfer takes less time than the prefill that it saves."""
    saved = min(
        plan.target.time_to_first_token - plan.target.wait for plan in mixed_plans
    )
    return saved > _transfer_time(request)


def _transfer_time(request: Request) -> float:
    return IMPORT_TIME + request.prompt_tokens / TRANSFER_RATE


def _plan_split(request: Request, options: list[_TargetEstimate]) -> list[_Plan]:
    prefills = [v for v in options if v.target.role is Role.PREFILL]
    preferred = _prefer_affinity(request, prefills)
    decodes = [
        v for v in options if v.target.role is not Role.PREFILL and v.accepts_decode
    ]
    if not preferred or not decodes:
        return []
    prefill = min(preferred, key=lambda v: v.time_to_first_token)
    decode = min(decodes, key=lambda v: (v.decode_time, v.target.id))
    cost = prefill.time_to_first_token + _transfer_time(request) + decode.decode_time
    return [_Plan(decode, prefill, cost)]


def _prefer_affinity(
    request: Request, options: list[_TargetEstimate]
) -> list[_TargetEstimate]:
    """Return the affinity candidates within the load bound, or all that accept."""
    accepting = [option for option in options if option.accepts]
    if not request.blocks or not accepting:
        return accepting
    mean = (sum(option.load.requests for option in options) + 1) / len(options)
    bound = max(1.0, LOAD_BOUND * mean)
    lightly_loaded = {v.target.id: v for v in accepting if v.load.requests <= bound}
    names = sorted(option.target.id for option in options)
    preferred_targets = [
        lightly_loaded[n]
        for n in _rank_by_affinity(request, names)
        if n in lightly_loaded
    ]
    return preferred_targets or accepting


def _rank_by_affinity(request: Request, names: list[str]) -> list[str]:
    """Return the best targets by rendezvous hash of the deepest affinity block."""
    depth = next(d for d in (*AFFINITY_DEPTHS, 1) if d <= len(request.blocks))
    block = request.blocks[depth - 1]
    return sorted(names, key=lambda n: _score(n, block))[-AFFINITY_CANDIDATES:]


def _score(name: str, block: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), block % 2**64)
