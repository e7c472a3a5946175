"""Count what requests hold at targets, from dispatch to the end of the attempt."""

from datetime import timedelta

from galenapass.systems import caches, estimates, limits
from galenapass.systems.routing import Choice
from galenapass.tables.requests import Request, RequestState, Reservation
from galenapass.tables.targets import LoadChange, Target, TargetKind
from galenapass.tables.world import World

__all__ = ["record_first_token", "release_reservations", "release_prefill", "reserve"]


def reserve(world: World, request: Request, choice: Choice, now: timedelta) -> None:
    """Count a choice at its targets and mark the request dispatched."""
    if request.reservations:
        raise ValueError(f"request {request.id} holds {request.reservations} already")
    target = world.targets[choice.target]
    prefill = world.targets[choice.prefill_target or choice.target]
    request.state = RequestState.DISPATCHED
    request.target = choice.target
    request.prefill_target = choice.prefill_target
    request.dispatched = now
    request.attempts += 1
    request.preempted = False
    request.queued_ahead = estimates.estimate_load(prefill, now).prefill
    request.reservations = _make_reservations(target, prefill, request)
    for reservation in request.reservations:
        change = LoadChange(now, 1, reservation.prefill, reservation.pieces)
        estimates.record(world.targets[reservation.target], change)
    limits.record_work(
        world, request, estimates.work_seconds(target, request, now), now
    )


def record_first_token(world: World, request: Request, now: timedelta) -> None:
    """Give the prefill back and learn from the time it took."""
    if request.state is not RequestState.DISPATCHED:
        return
    request.state = RequestState.STREAMING
    request.first_token = now
    source = world.targets.get(request.prefill_target or request.target or "")
    if source is not None and source.kind is TargetKind.ENGINE:
        estimates.learn_first_token(source, request, now)
        caches.note_used(source, request.blocks)
    kept = [
        _drop_prefill(world, request, reservation, now)
        for reservation in request.reservations
    ]
    request.reservations = [
        reservation for reservation in kept if reservation is not None
    ]


def release_prefill(world: World, request: Request, now: timedelta) -> None:
    """Give back what a hand-over held at its prefill target, before first output."""
    left = [
        reservation
        for reservation in request.reservations
        if not reservation.until_first_token
    ]
    for reservation in request.reservations:
        if reservation.until_first_token:
            _release(world, request, reservation, now)
    request.reservations = left


def release_reservations(world: World, request: Request, now: timedelta) -> None:
    """Give back all that a request holds; a second call changes nothing."""
    for reservation in request.reservations:
        _release(world, request, reservation, now)
    request.reservations = []


def _make_reservations(
    target: Target, prefill: Target, request: Request
) -> list[Reservation]:
    if target.kind is TargetKind.SERVICE:
        return [Reservation(target.id, 0, 0)]
    pieces = estimates.own_pieces_needed(target, request)
    fresh = caches.fresh_tokens(prefill, request)
    if prefill is target:
        return [Reservation(target.id, fresh, pieces)]
    prompt = estimates.pieces_needed(prefill, fresh)
    return [
        Reservation(prefill.id, fresh, prompt, True),
        Reservation(target.id, 0, pieces),
    ]


def _drop_prefill(
    world: World, request: Request, reservation: Reservation, now: timedelta
) -> Reservation | None:
    if reservation.until_first_token:
        _release(world, request, reservation, now)
        return None
    _release_prefill(world, request, reservation, now)
    return Reservation(reservation.target, 0, reservation.pieces)


def _release(
    world: World, request: Request, reservation: Reservation, now: timedelta
) -> None:
    _release_prefill(world, request, reservation, now)
    target = world.targets.get(reservation.target)
    if target is not None:
        estimates.record(target, LoadChange(now, -1, 0, -reservation.pieces))


def _release_prefill(
    world: World, request: Request, reservation: Reservation, now: timedelta
) -> None:
    target = world.targets.get(reservation.target)
    if target is None or not reservation.prefill:
        return
    if estimates.shows(target, request.dispatched):
        # The report's queue has shrunk with it already.
        target.own_prefill -= reservation.prefill
    else:
        estimates.record(target, LoadChange(now, 0, -reservation.prefill, 0))
