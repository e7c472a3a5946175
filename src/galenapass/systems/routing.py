"""Choose the target of a request: affinity first, bounded by load.

``choose_target(world, request, now, random)`` returns a ``Choice`` or None when
no target has room now. It changes nothing; ``admission.take`` counts a choice.
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
CANDIDATES = 2
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
    expected: timedelta
    why: str


@dataclass(slots=True, frozen=True)
class _View:
    """Hold a target as a request finds it; times are seconds."""

    target: Target
    load: Load
    wait: float
    prompt: float
    output: float
    least_output: float
    open: bool
    open_to_decode: bool


@dataclass(slots=True, frozen=True)
class _Plan:
    target: _View
    prefill: _View | None
    cost: float


def choose_target(
    world: World, request: Request, now: timedelta, random: Random
) -> Choice | None:
    """Return the cheapest target with room, or None when there is none."""
    targets = estimates.usable(world, request.service, now)
    targets = crashes.limit_targets(world, request, targets, now)
    untried = [t for t in targets if t.id not in request.tried] or targets
    views = [_look(target, request, now) for target in untried]
    if not views:
        return None
    if views[0].target.kind is TargetKind.SERVICE:
        return _choose_service(world, views, random)
    return _choose_engine(request, views, random)


def _look(target: Target, request: Request, now: timedelta) -> _View:
    load = estimates.estimate_load(target, now)
    step = estimates.token_step(target, now)
    if target.kind is TargetKind.SERVICE:
        free = _has_sequence(target, load, request)
        return _View(target, load, 0.0, 0.0, step, step, free, False)
    rate = estimates.prefill_rate(target, now)
    wait = load.prefill / rate
    prompt = wait + caches.fresh_tokens(target, request) / rate
    crowding = 1.0 + load.requests / estimates.sequences(target)
    least = request.output_tokens * step
    free = _has_sequence(target, load, request) and _has_memory(target, load, request)
    quick = free and wait <= BACKLOG[request.urgency]
    return _View(target, load, wait, prompt, least * crowding, least, quick, free)


def _has_sequence(target: Target, load: Load, request: Request) -> bool:
    most = FILL[request.urgency] * estimates.sequences(target)
    return load.requests + 1 <= max(1.0, most)


def _has_memory(target: Target, load: Load, request: Request) -> bool:
    most = FILL[request.urgency] * estimates.pieces_total(target)
    return load.pieces + estimates.own_pieces_needed(target, request) <= most


def _choose_service(world: World, views: list[_View], random: Random) -> Choice | None:
    ranked = sorted(
        (view for view in views if view.open),
        key=lambda v: (
            v.load.requests * v.output,
            v.target.domain != world.domain,
            random.random(),
        ),
    )
    if not ranked:
        return None
    chosen = ranked[0].target.id
    names = tuple(view.target.id for view in ranked)
    why = f"{chosen} is the least loaded of {len(names)}"
    return Choice(chosen, None, names, timedelta(0), timedelta(0), why)


def _choose_engine(
    request: Request, views: list[_View], random: Random
) -> Choice | None:
    plans = _plan_whole(request, views)
    if not plans or _saves(request, plans):
        plans += _plan_split(request, views)
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
        timedelta(seconds=prefill.prompt + best.target.least_output),
        _explain(best, request, names),
    )


def _explain(plan: _Plan, request: Request, names: tuple[str, ...]) -> str:
    prefill = (plan.prefill or plan.target).target
    cached = caches.cached_tokens(prefill, request)
    split = f", prompt at {prefill.id}" if plan.prefill else ""
    return (
        f"{plan.target.target.id}{split}: {plan.cost:.2f} s expected, "
        f"{cached} of {request.prompt_tokens} tokens cached, "
        f"best of {len(names)}"
    )


def _plan_whole(request: Request, views: list[_View]) -> list[_Plan]:
    mixed = [v for v in views if v.target.role is Role.MIXED]
    return [_Plan(v, None, v.prompt + v.output) for v in _prefer(request, mixed)]


def _saves(request: Request, whole: list[_Plan]) -> bool:
    """Tell whether a hand-over's transfer is shorter than the prefill it spares."""
    spared = min(plan.target.prompt - plan.target.wait for plan in whole)
    return spared > _transfer(request)


def _transfer(request: Request) -> float:
    return IMPORT_TIME + request.prompt_tokens / TRANSFER_RATE


def _plan_split(request: Request, views: list[_View]) -> list[_Plan]:
    prefills = [v for v in views if v.target.role is Role.PREFILL]
    preferred = _prefer(request, prefills)
    decodes = [
        v for v in views if v.target.role is not Role.PREFILL and v.open_to_decode
    ]
    if not preferred or not decodes:
        return []
    prefill = min(preferred, key=lambda v: v.prompt)
    decode = min(decodes, key=lambda v: (v.output, v.target.id))
    cost = prefill.prompt + _transfer(request) + decode.output
    return [_Plan(decode, prefill, cost)]


def _prefer(request: Request, views: list[_View]) -> list[_View]:
    """Return the affinity candidates that bear no more than others, else all open."""
    fitting = [view for view in views if view.open]
    if not request.blocks or not fitting:
        return fitting
    mean = (sum(view.load.requests for view in views) + 1) / len(views)
    bound = max(1.0, LOAD_BOUND * mean)
    light = {v.target.id: v for v in fitting if v.load.requests <= bound}
    names = sorted(view.target.id for view in views)
    found = [light[n] for n in _candidates(request, names) if n in light]
    return found or fitting


def _candidates(request: Request, names: list[str]) -> list[str]:
    """Return targets by rendezvous hash of the deepest leading block that counts."""
    depth = next(d for d in (*AFFINITY_DEPTHS, 1) if d <= len(request.blocks))
    block = request.blocks[depth - 1]
    return sorted(names, key=lambda n: _score(n, block))[-CANDIDATES:]


def _score(name: str, block: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), block % 2**64)
