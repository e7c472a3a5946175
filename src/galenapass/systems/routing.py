"""Choose the target of a request: affinity first, bounded by load.

``choose_target(world, request, now, random)`` returns a ``Choice`` or None when
no target has room now. It changes nothing; ``admission.take`` counts a choice.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

import xxhash

from galenapass.systems import caches, crashes, estimates
from galenapass.systems.rates import IMPORT_TIME, TRANSFER_RATE
from galenapass.tables.requests import Request, Urgency
from galenapass.tables.targets import Kind, Role, Target
from galenapass.tables.world import World

__all__ = ["Choice", "choose_target", "has_room"]

AFFINITY_DEPTHS = (16, 4, 1)  # blocks
CANDIDATES_A_DEPTH = 2
LOAD_BOUND = 1.25  # times the mean load
# Share of an engine's sequences and memory that each class may fill.
FILL = {Urgency.URGENT: 1.0, Urgency.NORMAL: 0.9, Urgency.BULK: 0.75}
# Seconds of prompts queued at an engine before each class is held back.
BACKLOG = {Urgency.URGENT: 4.0, Urgency.NORMAL: 0.5, Urgency.BULK: 0.25}


@dataclass(slots=True, frozen=True)
class Choice:
    """Hold where a request goes, what was weighed and the sentence for the log."""

    target: str
    prefill_target: str | None
    candidates: tuple[str, ...]
    wait: timedelta
    why: str


@dataclass(slots=True, frozen=True)
class _Plan:
    target: Target
    prefill: Target | None
    cost: float
    wait: float


def choose_target(
    world: World, request: Request, now: timedelta, random: Random
) -> Choice | None:
    """Return the cheapest target with room, or None when there is none."""
    targets = estimates.usable(world, request.service, now)
    targets = crashes.limit_targets(world, request, targets, now)
    untried = [t for t in targets if t.id not in request.tried] or targets
    if not untried:
        return None
    if untried[0].kind is Kind.SERVICE:
        return _choose_service(world, request, untried, now, random)
    return _choose_engine(request, untried, now, random)


def has_room(
    target: Target, request: Request, now: timedelta, *, prefill: bool = True
) -> bool:
    """Tell whether a target can take a request now without touching the reserve."""
    fill = FILL[request.urgency]
    load = estimates.estimate_load(target, now)
    if load.requests + 1 > max(1.0, fill * estimates.sequences(target)):
        return False
    if target.kind is Kind.SERVICE:
        return True
    needed = estimates.own_pieces_needed(target, request)
    if load.pieces + needed > fill * estimates.pieces_total(target):
        return False
    return not prefill or _backlog_fits(target, request, now)


def _backlog_fits(target: Target, request: Request, now: timedelta) -> bool:
    return estimates.prefill_wait(target, now) <= BACKLOG[request.urgency]


def _choose_service(
    world: World,
    request: Request,
    targets: list[Target],
    now: timedelta,
    random: Random,
) -> Choice | None:
    open_targets = [t for t in targets if has_room(t, request, now)]
    if not open_targets:
        return None
    ranked = sorted(
        open_targets,
        key=lambda t: (
            estimates.estimate_load(t, now).requests * estimates.token_step(t, now),
            t.domain != world.domain,
            random.random(),
        ),
    )
    chosen = ranked[0]
    names = tuple(t.id for t in ranked)
    why = f"{chosen.id} is the least loaded of {len(names)}"
    return Choice(chosen.id, None, names, timedelta(0), why)


def _choose_engine(
    request: Request, targets: list[Target], now: timedelta, random: Random
) -> Choice | None:
    plans = _plan_whole(request, targets, now, random)
    plans += _plan_split(request, targets, now, random)
    if not plans:
        return None
    best = min(plans, key=lambda plan: plan.cost)
    names = tuple(dict.fromkeys(plan.target.id for plan in plans))
    return Choice(
        best.target.id,
        best.prefill.id if best.prefill else None,
        names,
        timedelta(seconds=best.wait),
        _explain(best, request, names),
    )


def _explain(plan: _Plan, request: Request, names: tuple[str, ...]) -> str:
    cached = caches.cached_tokens(plan.prefill or plan.target, request)
    split = f", prompt at {plan.prefill.id}" if plan.prefill else ""
    return (
        f"{plan.target.id}{split}: {plan.cost:.2f} s expected, "
        f"{cached} of {request.prompt_tokens} tokens cached, "
        f"best of {len(names)}"
    )


def _plan_whole(
    request: Request, targets: list[Target], now: timedelta, random: Random
) -> list[_Plan]:
    mixed = [t for t in targets if t.role is Role.MIXED]
    open_targets = [t for t in mixed if has_room(t, request, now)]
    preferred = _prefer(request, mixed, open_targets, now)
    chosen = _cheapest(preferred or open_targets, request, now, random)
    return [_whole(target, request, now) for target in chosen]


def _whole(target: Target, request: Request, now: timedelta) -> _Plan:
    wait = estimates.prefill_wait(target, now)
    cost = wait + estimates.service_time(target, request, now)
    return _Plan(target, None, cost, wait)


def _plan_split(
    request: Request, targets: list[Target], now: timedelta, random: Random
) -> list[_Plan]:
    prefills = [t for t in targets if t.role is Role.PREFILL]
    fitting = [t for t in prefills if has_room(t, request, now)]
    preferred = _prefer(request, prefills, fitting, now) or fitting
    decodes = [
        t
        for t in targets
        if t.role is not Role.PREFILL and has_room(t, request, now, prefill=False)
    ]
    if not preferred or not decodes:
        return []
    prefill = min(
        preferred, key=lambda t: (_prompt_time(t, request, now), random.random())
    )
    decode = min(decodes, key=lambda t: (_decode_time(t, request, now), t.id))
    wait = estimates.prefill_wait(prefill, now)
    transfer = IMPORT_TIME + request.prompt_tokens / TRANSFER_RATE
    cost = _prompt_time(prefill, request, now) + transfer
    cost += _decode_time(decode, request, now)
    return [_Plan(decode, prefill, cost, wait)]


def _prompt_time(target: Target, request: Request, now: timedelta) -> float:
    fresh = caches.fresh_tokens(target, request)
    own = fresh / estimates.prefill_rate(target, now)
    return estimates.prefill_wait(target, now) + own


def _decode_time(target: Target, request: Request, now: timedelta) -> float:
    busy = estimates.estimate_load(target, now).requests
    crowding = 1.0 + busy / estimates.sequences(target)
    return request.output_tokens * estimates.token_step(target, now) * crowding


def _cheapest(
    targets: list[Target], request: Request, now: timedelta, random: Random
) -> list[Target]:
    return sorted(
        targets,
        key=lambda t: (
            round(_prompt_time(t, request, now), 3) + _decode_time(t, request, now),
            random.random(),
        ),
    )


def _prefer(
    request: Request, role: list[Target], fitting: list[Target], now: timedelta
) -> list[Target]:
    """Return the affinity candidates that have room and bear no more than others."""
    if not request.blocks or not fitting:
        return []
    loads = {t.id: estimates.estimate_load(t, now).requests for t in role}
    bound = LOAD_BOUND * (sum(loads.values()) + 1) / len(role)
    bound = max(bound, 1.0)
    names = {t.id for t in fitting if loads[t.id] <= bound}
    by_id = {t.id: t for t in role}
    return [by_id[n] for n in _candidates(request, sorted(by_id)) if n in names]


def _candidates(request: Request, names: list[str]) -> list[str]:
    """Return targets by rendezvous hash of the leading blocks, deepest first."""
    found: dict[str, None] = {}
    for depth in AFFINITY_DEPTHS:
        if depth > len(request.blocks):
            continue
        block = request.blocks[depth - 1]
        ranked = sorted(names, key=lambda n: _score(n, block))
        found.update(dict.fromkeys(ranked[-CANDIDATES_A_DEPTH:]))
        break
    return list(found)


def _score(name: str, block: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), block % 2**64)
