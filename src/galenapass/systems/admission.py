"""Admit, queue and dispatch requests, and count what they hold at targets.

The core calls ``admit`` once for a new request and puts an admitted one in
``world.requests``; each tick it calls ``next_dispatches`` and acts on the effects: a
``Dispatch`` is already taken (counted, state DISPATCHED), a ``Refuse`` has ended, a
``Preempt`` asks to cancel a stream, give it back and let it wait to resume. It then
calls ``record_first_token`` when output begins and ``release_reservations`` when an
attempt ends in any way, after ``estimates.learn_from_attempt``. ``reserve`` counts a
choice that was made elsewhere; ``release_prefill`` may be called when a hand-over's
prompt is done. All counts return to zero.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import xxhash

from galenapass.systems import crashes, demand, estimates, limits, routing
from galenapass.systems.reservations import (
    record_first_token,
    release_prefill,
    release_reservations,
    reserve,
)
from galenapass.systems.routing import Choice
from galenapass.tables.requests import Request, RequestState, Urgency
from galenapass.tables.targets import Target, TargetKind, TargetState
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
    "record_first_token",
    "release_reservations",
    "next_dispatches",
    "release_prefill",
    "reserve",
]

LEAST_RETURN = 1.0  # seconds
LONGEST_RETURN = 60.0  # seconds
MOST_MISSES = 4  # of one class of a service in one tick
ENDED_STATES = frozenset({TargetState.LEAVING, TargetState.GONE})
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


@dataclass(slots=True, frozen=True)
class _Speed:
    """Hold how many targets a service has and the fastest seconds between tokens."""

    targets: int
    step: float

    @classmethod
    def find(cls, targets: list[Target], now: timedelta) -> "_Speed":
        """Return the speed of a service's usable targets."""
        steps = (estimates.token_step(target, now) for target in targets)
        return cls(len(targets), min(steps, default=0.0))


@dataclass(slots=True)
class _Tick:
    """Hold what one tick has found out so far, by service or service and class."""

    world: World
    now: timedelta
    random: Random
    speeds: dict[str, _Speed] = field(default_factory=dict)
    work: dict[str, float] = field(default_factory=dict)
    misses: dict[tuple[str, Urgency], int] = field(default_factory=dict)


def admit(world: World, request: Request, now: timedelta) -> Admitted | Refused:
    """Return whether a new request can be done in time behind those that wait."""
    demand.record_arrival(world, request, now)
    entries = [t for t in world.targets.values() if t.service == request.service]
    if not entries:
        detail = f"no target of {request.service} is known"
        return Refused(Verdict(Run.NOT_RUN, Reason.NO_TARGET, detail))
    too_large = _check_size(entries, request)
    if too_large is not None:
        return Refused(too_large)
    targets = estimates.usable(world, request.service, now)
    rank = _rank(request)
    ahead = [r for r in _waiting(world) if r.service == request.service]
    work = sum(r.work for r in ahead if _rank(r) <= rank)
    if targets:
        request.work = estimates.work_seconds(targets[0], request, now)
    return _judge(world, request, _Speed.find(targets, now), work, now)


def next_dispatches(world: World, now: timedelta, random: Random) -> list[Effect]:
    """Return what to send, refuse and preempt now, most pressing first."""
    tick = _Tick(world, now, random)
    effects: list[Effect] = _withdraw_strays(world, now)
    for request in _queue(world, now):
        effects += _step(tick, request)
    return effects


def _rank(request: Request) -> tuple[int, timedelta, str]:
    return (request.urgency, request.deadline, request.id)


def _waiting(world: World) -> list[Request]:
    return [r for r in world.requests.values() if r.state is RequestState.WAITING]


def _queue(world: World, now: timedelta) -> list[Request]:
    """Return the waiting by class, callers beyond their share last, then deadline."""
    waiting = _waiting(world)
    over = limits.find_over_share(world, {r.caller for r in waiting}, now)
    return sorted(
        waiting, key=lambda r: (r.urgency, r.caller in over, r.deadline, r.id)
    )


def _step(tick: _Tick, request: Request) -> list[Effect]:
    world, now = tick.world, tick.now
    # What was heard since it began to wait may have settled its end.
    crash_verdict = crashes.check_crash_suspicion(world, request)
    if crash_verdict is not None:
        request.state = RequestState.ENDED
        return [Refuse(request.id, crash_verdict)]
    choice = _choose(tick, request)
    if choice is not None:
        return [_send(world, request, choice, now)]
    ahead = tick.work.get(request.service, 0.0)
    verdict = _judge(world, request, _get_speed(tick, request.service), ahead, now)
    if isinstance(verdict, Refused):
        request.state = RequestState.ENDED
        return [Refuse(request.id, verdict.verdict)]
    tick.work[request.service] = ahead + request.work
    return _preempt(world, request)


def _send(world: World, request: Request, choice: Choice, now: timedelta) -> Effect:
    """Take a choice, or refuse a request that it would answer too late.

    Urgent work overtakes the prompts that the choice expects to wait for, and a
    request that was sent before is carried on.
    """
    late = now + choice.expected > request.deadline
    if late and request.urgency is not Urgency.URGENT and not request.attempts:
        request.state = RequestState.ENDED
        needed = choice.expected.total_seconds()
        left = (request.deadline - now).total_seconds()
        detail = (
            f"{needed:.1f} s are needed at {choice.target} and {left:.1f} s are left"
        )
        return Refuse(request.id, _overloaded(request, LEAST_RETURN, detail))
    reserve(world, request, choice, now)
    return Dispatch(request.id, choice)


def _choose(tick: _Tick, request: Request) -> Choice | None:
    """Look for a target unless several like requests have just found none."""
    group = (request.service, request.urgency)
    missed = tick.misses.get(group, 0)
    if missed >= MOST_MISSES:
        return None
    choice = routing.choose_target(tick.world, request, tick.now, tick.random)
    if choice is None:
        tick.misses[group] = missed + 1
    return choice


def _get_speed(tick: _Tick, service: str) -> _Speed:
    if service not in tick.speeds:
        targets = estimates.usable(tick.world, service, tick.now)
        tick.speeds[service] = _Speed.find(targets, tick.now)
    return tick.speeds[service]


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
    if not _wants_room(world, request):
        return []
    of_service = [r for r in world.requests.values() if r.service == request.service]
    asked = sum(r.preempted and bool(r.reservations) for r in of_service)
    waiting = sum(_wants_room(world, r) for r in of_service)
    victims = [r for r in of_service if _may_yield(r)]
    if asked >= waiting or not victims:
        return []
    victim = max(victims, key=lambda r: (r.deadline, r.id))
    victim.preempted = True
    victim.preemptions += 1
    why = f"{victim.id} at {victim.target} yields to {request.id}, which is urgent"
    return [Preempt(victim.id, why)]


def _wants_room(world: World, request: Request) -> bool:
    """Tell whether an urgent request waits for room; a suspect waits for its trial."""
    return (
        request.urgency is Urgency.URGENT
        and request.state is RequestState.WAITING
        and not crashes.is_suspected(world, request)
    )


def _may_yield(request: Request) -> bool:
    return (
        request.urgency is Urgency.BULK
        and request.state is RequestState.STREAMING
        and request.idempotent
        and not request.preempted
        and request.preemptions < MOST_PREEMPTIONS
    )


def _check_size(targets: list[Target], request: Request) -> Verdict | None:
    engines = [t for t in targets if t.kind is TargetKind.ENGINE]
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
    world: World, request: Request, speed: _Speed, work: float, now: timedelta
) -> Admitted | Refused:
    """Compare the time that the work ahead and the request take with its deadline."""
    if not speed.targets:
        return _judge_unserved(world, request, now)
    share = demand.own_share(world, request.service)
    wait = work / (speed.targets * share)
    shortest = max(1, request.output_tokens - request.delivered) * speed.step
    done = now + timedelta(seconds=wait + shortest)
    if done <= request.deadline:
        return Admitted(timedelta(seconds=wait))
    left = (request.deadline - now).total_seconds()
    detail = f"{wait + shortest:.1f} s are needed and {left:.1f} s are left"
    return Refused(_overloaded(request, wait, detail))


def _judge_unserved(
    world: World, request: Request, now: timedelta
) -> Admitted | Refused:
    """Refuse at once what no target can take before its deadline."""
    staying = [
        t
        for t in world.targets.values()
        if t.service == request.service and t.state not in ENDED_STATES
    ]
    back = min((t.avoid_until or now for t in staying), default=None)
    if back is not None and max(back, now) < request.deadline:
        return Admitted(max(back - now, timedelta(0)))
    wait = LEAST_RETURN if back is None else (back - now).total_seconds()
    return Refused(_overloaded(request, wait, "no target can be reached in time"))


def _overloaded(request: Request, wait: float, detail: str) -> Verdict:
    spread = xxhash.xxh64_intdigest(request.id.encode()) % 1000 / 1000
    seconds = min(LONGEST_RETURN, max(LEAST_RETURN, wait)) * (1.0 + spread)
    run = Run.MAY_HAVE_RUN if request.may_have_run else Run.NOT_RUN
    return Verdict(run, Reason.OVERLOADED, detail, timedelta(seconds=seconds))
