"""Admit, queue and dispatch requests, and count their reservations at targets.

The core calls ``admit`` once for a new request and adds an admitted one to
``world.requests``. Each tick it calls ``next_dispatches`` and applies the effects: the
request of a ``Dispatch`` already has its reservations and the state DISPATCHED, that
of a ``Refuse`` has the state ENDED, and a ``Preempt`` requires the core to cancel a
stream, release its reservations and queue it to resume. The core then calls
``record_first_token`` when output begins, and ``release_reservations`` when an attempt
ends in any way, after ``estimates.learn_from_attempt``. ``reserve`` counts a choice
that was made elsewhere; ``release_prefill`` may be called when the prefill of a split
request is done. All counts return to zero when no request is left.
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
    "next_dispatches",
    "record_first_token",
    "release_prefill",
    "release_reservations",
    "reserve",
]

MIN_RETRY_AFTER = 1.0  # seconds
MAX_RETRY_AFTER = 60.0  # seconds
MAX_MISSES = 4  # failed choices per service and class in one tick
DEPARTING_STATES = frozenset({TargetState.LEAVING, TargetState.GONE})
MAX_PREEMPTIONS = 2  # per request


@dataclass(slots=True, frozen=True)
class Admitted:
    """Admission of a request, with the estimated ``wait`` for a target."""

    wait: timedelta


@dataclass(slots=True, frozen=True)
class Refused:
    """Refusal of a new request, with its verdict."""

    verdict: Verdict


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Effect: send a request whose reservations are already counted."""

    request: str
    choice: Choice


@dataclass(slots=True, frozen=True)
class Refuse:
    """Effect: end a waiting request with a verdict."""

    request: str
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class Preempt:
    """Effect: cancel a running stream and queue the request to resume."""

    request: str
    why: str


Effect = Dispatch | Refuse | Preempt


@dataclass(slots=True, frozen=True)
class _ServiceSpeed:
    """Number of usable targets of a service and its shortest seconds per token."""

    targets: int
    token_step: float

    @classmethod
    def find(cls, targets: list[Target], now: timedelta) -> "_ServiceSpeed":
        """Return the combined speed of a service's usable targets."""
        steps = (estimates.token_step(target, now) for target in targets)
        return cls(len(targets), min(steps, default=0.0))


@dataclass(slots=True)
class _Tick:
    """Intermediate results of one tick, by service or by service and class.

    ``work`` adds up the target-seconds of the requests that stay in the queue.
    ``misses`` counts the requests for which no target was found.
    """

    world: World
    now: timedelta
    random: Random
    speeds: dict[str, _ServiceSpeed] = field(default_factory=dict)
    work: dict[str, float] = field(default_factory=dict)
    misses: dict[tuple[str, Urgency], int] = field(default_factory=dict)


def admit(world: World, request: Request, now: timedelta) -> Admitted | Refused:
    """Return whether a request can meet its deadline behind the waiting ones."""
    demand.record_arrival(world, request, now)
    configured = [t for t in world.targets.values() if t.service == request.service]
    if not configured:
        detail = f"no target of {request.service} is known"
        return Refused(Verdict(Run.NOT_RUN, Reason.NO_TARGET, detail))
    too_large = _check_size(configured, request)
    if too_large is not None:
        return Refused(too_large)
    targets = estimates.list_usable_targets(world, request.service, now)
    rank = _sort_key(request)
    ahead = [r for r in _list_waiting(world) if r.service == request.service]
    work = sum(r.work for r in ahead if _sort_key(r) <= rank)
    if targets:
        request.work = estimates.work_seconds(targets[0], request, now)
    return _check_deadline(world, request, _ServiceSpeed.find(targets, now), work, now)


def next_dispatches(world: World, now: timedelta, random: Random) -> list[Effect]:
    """Return the dispatches, refusals and preemptions due now, by priority."""
    tick = _Tick(world, now, random)
    effects: list[Effect] = _preempt_misplaced(world, now)
    for request in _sort_queue(world, now):
        effects += _process_waiting(tick, request)
    return effects


def _sort_key(request: Request) -> tuple[int, timedelta, str]:
    return (request.urgency, request.deadline, request.id)


def _list_waiting(world: World) -> list[Request]:
    return [r for r in world.requests.values() if r.state is RequestState.WAITING]


def _sort_queue(world: World, now: timedelta) -> list[Request]:
    """Return waiting requests by class, callers within their share first, deadline."""
    waiting = _list_waiting(world)
    over = limits.find_over_share(world, {r.caller for r in waiting}, now)
    return sorted(
        waiting, key=lambda r: (r.urgency, r.caller in over, r.deadline, r.id)
    )


def _process_waiting(tick: _Tick, request: Request) -> list[Effect]:
    world, now = tick.world, tick.now
    # Crashes recorded while the request waited may have made it a refused suspect.
    crash_verdict = crashes.check_crash_suspicion(world, request)
    if crash_verdict is not None:
        request.state = RequestState.ENDED
        return [Refuse(request.id, crash_verdict)]
    choice = _choose_target(tick, request)
    if choice is not None:
        return [_dispatch(world, request, choice, now)]
    ahead = tick.work.get(request.service, 0.0)
    verdict = _check_deadline(
        world, request, _get_speed(tick, request.service), ahead, now
    )
    if isinstance(verdict, Refused):
        request.state = RequestState.ENDED
        return [Refuse(request.id, verdict.verdict)]
    tick.work[request.service] = ahead + request.work
    return _preempt(world, request)


def _dispatch(world: World, request: Request, choice: Choice, now: timedelta) -> Effect:
    """Reserve a choice, or refuse the request if it would finish too late.

    An urgent request is dispatched anyway, because it overtakes the queued prompts
    that the estimate counts; so is a request that was dispatched before.
    """
    late = now + choice.expected > request.deadline
    if late and request.urgency is not Urgency.URGENT and not request.attempts:
        request.state = RequestState.ENDED
        needed = choice.expected.total_seconds()
        left = (request.deadline - now).total_seconds()
        detail = (
            f"{needed:.1f} s are needed at {choice.target} and {left:.1f} s are left"
        )
        return Refuse(
            request.id, _make_overload_verdict(request, MIN_RETRY_AFTER, detail)
        )
    reserve(world, request, choice, now)
    return Dispatch(request.id, choice)


def _choose_target(tick: _Tick, request: Request) -> Choice | None:
    """Return a choice; skip the search once MAX_MISSES of the same group failed."""
    group = (request.service, request.urgency)
    missed = tick.misses.get(group, 0)
    if missed >= MAX_MISSES:
        return None
    choice = routing.choose_target(tick.world, request, tick.now, tick.random)
    if choice is None:
        tick.misses[group] = missed + 1
    return choice


def _get_speed(tick: _Tick, service: str) -> _ServiceSpeed:
    if service not in tick.speeds:
        targets = estimates.list_usable_targets(tick.world, service, tick.now)
        tick.speeds[service] = _ServiceSpeed.find(targets, tick.now)
    return tick.speeds[service]


def _preempt_misplaced(world: World, now: timedelta) -> list[Effect]:
    """Preempt running suspects that are not at the target assigned for their trial."""
    if not world.crashes.suspects:
        return []
    misplaced = crashes.find_misplaced_suspects(world, now)
    newly_misplaced = [r for r in misplaced if r.idempotent and not r.preempted]
    for request in newly_misplaced:
        request.preempted = True
    why = "was running during a crash and is retried alone at another target"
    return [Preempt(r.id, f"{r.id} at {r.target} {why}") for r in newly_misplaced]


def _preempt(world: World, request: Request) -> list[Effect]:
    """Preempt a bulk stream, at most one for each urgent request that waits."""
    if not _needs_capacity(world, request):
        return []
    of_service = [r for r in world.requests.values() if r.service == request.service]
    preempting = sum(r.preempted and bool(r.reservations) for r in of_service)
    waiting = sum(_needs_capacity(world, r) for r in of_service)
    candidates = [r for r in of_service if _is_preemptible(r)]
    if preempting >= waiting or not candidates:
        return []
    victim = max(candidates, key=lambda r: (r.deadline, r.id))
    victim.preempted = True
    victim.preemptions += 1
    why = f"{victim.id} at {victim.target} yields to {request.id}, which is urgent"
    return [Preempt(victim.id, why)]


def _needs_capacity(world: World, request: Request) -> bool:
    """Return whether an urgent request waits for capacity, not for a crash trial."""
    return (
        request.urgency is Urgency.URGENT
        and request.state is RequestState.WAITING
        and not crashes.is_suspected(world, request)
    )


def _is_preemptible(request: Request) -> bool:
    return (
        request.urgency is Urgency.BULK
        and request.state is RequestState.STREAMING
        and request.idempotent
        and not request.preempted
        and request.preemptions < MAX_PREEMPTIONS
    )


def _check_size(targets: list[Target], request: Request) -> Verdict | None:
    engines = [t for t in targets if t.kind is TargetKind.ENGINE]
    if not engines:
        return None
    tokens = request.prompt_tokens + request.output_tokens
    fill = routing.MAX_FILL[request.urgency]
    for target in engines:
        limit = fill * estimates.pieces_total(target)
        if estimates.pieces_needed(target, tokens) <= limit:
            return None
    detail = f"{tokens} tokens fit into no engine of {request.service}"
    return Verdict(Run.NOT_RUN, Reason.TOO_LARGE, detail)


def _check_deadline(
    world: World, request: Request, speed: _ServiceSpeed, work: float, now: timedelta
) -> Admitted | Refused:
    """Check whether the queued work and the request finish before its deadline."""
    if not speed.targets:
        return _check_deadline_unserved(world, request, now)
    share = demand.own_share(world, request.service)
    wait = work / (speed.targets * share)
    decode_time = max(1, request.output_tokens - request.delivered) * speed.token_step
    completed_at = now + timedelta(seconds=wait + decode_time)
    if completed_at <= request.deadline:
        return Admitted(timedelta(seconds=wait))
    left = (request.deadline - now).total_seconds()
    detail = f"{wait + decode_time:.1f} s are needed and {left:.1f} s are left"
    return Refused(_make_overload_verdict(request, wait, detail))


def _check_deadline_unserved(
    world: World, request: Request, now: timedelta
) -> Admitted | Refused:
    """Check whether a target becomes usable before the deadline; none is now."""
    remaining_targets = [
        t
        for t in world.targets.values()
        if t.service == request.service and t.state not in DEPARTING_STATES
    ]
    available_at = min((t.avoid_until or now for t in remaining_targets), default=None)
    if available_at is not None and max(available_at, now) < request.deadline:
        return Admitted(max(available_at - now, timedelta(0)))
    wait = (
        MIN_RETRY_AFTER
        if available_at is None
        else (available_at - now).total_seconds()
    )
    return Refused(
        _make_overload_verdict(request, wait, "no target can be reached in time")
    )


def _make_overload_verdict(request: Request, wait: float, detail: str) -> Verdict:
    spread = xxhash.xxh64_intdigest(request.id.encode()) % 1000 / 1000
    seconds = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)) * (1.0 + spread)
    run = Run.MAY_HAVE_RUN if request.may_have_run else Run.NOT_RUN
    return Verdict(run, Reason.OVERLOADED, detail, timedelta(seconds=seconds))
