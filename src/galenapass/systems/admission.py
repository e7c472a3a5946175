"""Admit, queue and dispatch requests, and count what they hold at targets.

The core calls ``admit`` once for a new request and puts an admitted one in
``world.requests``; each tick it calls ``next_dispatches`` and acts on the effects:
a ``Dispatch`` is already taken (counted, state DISPATCHED), a ``Refuse`` has
ended, a ``Preempt`` asks to cancel a stream, give it back and let it wait to resume.
It then calls ``first_token`` when output begins and ``give_back`` when an attempt
ends in any way, after ``estimates.learn_end``. ``take`` counts a choice that was made
elsewhere. All counts return to zero.
"""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

import xxhash

from galenapass.systems import crashes, estimates, routing
from galenapass.systems.holds import first_token, give_back, take
from galenapass.systems.routing import Choice
from galenapass.tables.hosts import HostState
from galenapass.tables.requests import Request, RequestState, Urgency
from galenapass.tables.targets import Kind, Target
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "Admitted",
    "Dispatch",
    "Effect",
    "Preempt",
    "Refuse",
    "Refused",
    "admit",
    "first_token",
    "give_back",
    "next_dispatches",
    "take",
]

LEAST_RETURN = 1.0  # seconds
LONGEST_RETURN = 60.0  # seconds
MOST_PREEMPTIONS = 2  # of one request


@dataclass(slots=True, frozen=True)
class Admitted:
    """Tell that a request may wait for a target; ``wait`` is the estimate."""

    wait: timedelta


@dataclass(slots=True, frozen=True)
class Refused:
    """Tell why a request is not taken in."""

    verdict: Verdict


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Ask the core to send a request; it is counted already."""

    request: str
    choice: Choice


@dataclass(slots=True, frozen=True)
class Refuse:
    """Ask the core to end a waiting request with a verdict."""

    request: str
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class Preempt:
    """Ask the core to cancel a bulk stream and queue its rest again."""

    request: str
    why: str


Effect = Dispatch | Refuse | Preempt


def admit(world: World, request: Request, now: timedelta) -> Admitted | Refused:
    """Return whether a new request can be done in time behind those that wait."""
    entries = [t for t in world.targets.values() if t.service == request.service]
    if not entries:
        detail = f"no target of {request.service} is known"
        return Refused(Verdict(Run.NOT_RUN, Reason.NO_TARGET, detail))
    too_large = _check_size(entries, request)
    if too_large is not None:
        return Refused(too_large)
    ahead = [r for r in _queue(world, request.service) if _rank(r) <= _rank(request)]
    work = sum(_work(world, r, now) for r in ahead)
    return _judge(world, request, work, now)


def next_dispatches(world: World, now: timedelta, random: Random) -> list[Effect]:
    """Return what to send, refuse and preempt now, most pressing first."""
    effects: list[Effect] = _withdraw_strays(world, now)
    work: dict[str, float] = {}
    for request in _queue(world):
        effects += _step(world, request, work, now, random)
    return effects


def _rank(request: Request) -> tuple[int, timedelta, str]:
    return (request.urgency, request.deadline, request.id)


def _queue(world: World, service: str | None = None) -> list[Request]:
    waiting = [
        r
        for r in world.requests.values()
        if r.state is RequestState.WAITING and service in (None, r.service)
    ]
    return sorted(waiting, key=_rank)


def _step(
    world: World,
    request: Request,
    work: dict[str, float],
    now: timedelta,
    random: Random,
) -> list[Effect]:
    choice = routing.choose_target(world, request, now, random)
    if choice is not None:
        take(world, request, choice, now)
        return [Dispatch(request.id, choice)]
    ahead = work.get(request.service, 0.0)
    verdict = _judge(world, request, ahead, now)
    if isinstance(verdict, Refused):
        request.state = RequestState.ENDED
        return [Refuse(request.id, verdict.verdict)]
    work[request.service] = ahead + _work(world, request, now)
    return _preempt(world, request)


def _withdraw_strays(world: World, now: timedelta) -> list[Effect]:
    """Ask for the end of copies of a suspect outside of the target of its trial."""
    if not world.crashes.suspects:
        return []
    strays = crashes.find_strays(world, now)
    fresh = [r for r in strays if r.idempotent and not r.preempted]
    for request in fresh:
        request.preempted = True
    why = "ran beside a crash and is tried alone elsewhere"
    return [Preempt(r.id, f"{r.id} at {r.target} {why}") for r in fresh]


def _preempt(world: World, request: Request) -> list[Effect]:
    """Ask for the room of a bulk stream once for each urgent request that waits."""
    if request.urgency is not Urgency.URGENT:
        return []
    of_service = [r for r in world.requests.values() if r.service == request.service]
    asked = sum(r.preempted and bool(r.holds) for r in of_service)
    waiting = sum(
        r.urgency is Urgency.URGENT and r.state is RequestState.WAITING
        for r in of_service
    )
    victims = [r for r in of_service if _may_yield(r)]
    if asked >= waiting or not victims:
        return []
    victim = max(victims, key=lambda r: (r.deadline, r.id))
    victim.preempted = True
    victim.preemptions += 1
    why = f"{victim.id} at {victim.target} yields to {request.id}, which is urgent"
    return [Preempt(victim.id, why)]


def _may_yield(request: Request) -> bool:
    return (
        request.urgency is Urgency.BULK
        and request.state is RequestState.STREAMING
        and request.idempotent
        and not request.preempted
        and request.preemptions < MOST_PREEMPTIONS
    )


def _check_size(targets: list[Target], request: Request) -> Verdict | None:
    engines = [t for t in targets if t.kind is Kind.ENGINE]
    if not engines:
        return None
    tokens = request.prompt_tokens + request.output_tokens
    fill = routing.FILL[request.urgency]
    for target in engines:
        limit = fill * estimates.pieces_total(target)
        if estimates.pieces_needed(target, tokens) <= limit:
            return None
    detail = f"{tokens} tokens fit into no engine of {request.service}"
    return Verdict(Run.NOT_RUN, Reason.TOO_LARGE, detail)


def _judge(
    world: World, request: Request, work: float, now: timedelta
) -> Admitted | Refused:
    """Compare the time that the work ahead and the request take with its deadline."""
    targets = estimates.usable(world, request.service, now)
    if not targets:
        if now < request.deadline:
            return Admitted(request.deadline - now)
        return Refused(_overloaded(request, LEAST_RETURN, "no target can be reached"))
    wait = work / _share_of_fleet(world, targets)
    shortest = min(estimates.service_time(t, request, now) for t in targets)
    done = now + timedelta(seconds=wait + shortest)
    if done <= request.deadline:
        return Admitted(timedelta(seconds=wait))
    left = (request.deadline - now).total_seconds()
    detail = f"{wait + shortest:.1f} s are needed and {left:.1f} s are left"
    return Refused(_overloaded(request, wait, detail))


def _share_of_fleet(world: World, targets: list[Target]) -> float:
    """Return the targets that this daemon's queue may count upon."""
    daemons = max(1, sum(h.state is HostState.ALIVE for h in world.hosts.values()))
    return max(1.0, len(targets) / daemons)


def _work(world: World, request: Request, now: timedelta) -> float:
    """Return the target-seconds that a request takes of the fleet."""
    targets = estimates.usable(world, request.service, now)
    if not targets:
        return 0.0
    target = targets[0]
    share = request.output_tokens * estimates.token_step(target, now)
    prefill = request.prompt_tokens / estimates.prefill_rate(target, now)
    return prefill + share / estimates.sequences(target)


def _overloaded(request: Request, wait: float, detail: str) -> Verdict:
    spread = xxhash.xxh64_intdigest(request.id.encode()) % 1000 / 1000
    seconds = min(LONGEST_RETURN, max(LEAST_RETURN, wait)) * (1.0 + spread)
    return Verdict(Run.NOT_RUN, Reason.OVERLOADED, detail, timedelta(seconds=seconds))
