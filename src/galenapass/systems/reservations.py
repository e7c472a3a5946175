"""Count requests' reservations at targets, from dispatch to the attempt's end."""

from datetime import timedelta

from galenapass.systems import caches, estimates, limits
from galenapass.systems.routing import Choice
from galenapass.tables.requests import Request, RequestState, Reservation
from galenapass.tables.targets import LoadChange, Target, TargetKind
from galenapass.tables.world import World

__all__ = ["record_first_token", "release_prefill", "release_reservations", "reserve"]


def reserve(world: World, request: Request, choice: Choice, now: timedelta) -> None:
    """Reserve a choice at its targets and mark the request as dispatched.

    Raise ValueError if the request already has reservations.
    """
    if request.reservations:
        raise ValueError(
            f"request {request.id} already has reservations: {request.reservations}"
        )
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
        estimates.record_change(world.targets[reservation.target], change)
    limits.record_work(
        world, request, estimates.work_seconds(target, request, now), now
    )


def record_first_token(world: World, request: Request, now: timedelta) -> None:
    """Release the prefill and learn the prefill rate from the time that it took."""
    if request.state is not RequestState.DISPATCHED:
        return
    request.state = RequestState.STREAMING
    request.first_token = now
    source = world.targets.get(request.prefill_target or request.target or "")
    if source is not None and source.kind is TargetKind.ENGINE:
        estimates.learn_first_token(source, request, now)
        caches.record_used_blocks(source, request.blocks)
    remaining = [
        _drop_prefill(world, request, reservation, now)
        for reservation in request.reservations
    ]
    request.reservations = [
        reservation for reservation in remaining if reservation is not None
    ]


def release_prefill(world: World, request: Request, now: timedelta) -> None:
    """Release a split request's prefill reservation before its first output."""
    remaining = [
        reservation
        for reservation in request.reservations
        if not reservation.until_first_token
    ]
    for reservation in request.reservations:
        if reservation.until_first_token:
            _release(world, request, reservation, now)
    request.reservations = remaining


def release_reservations(world: World, request: Request, now: timedelta) -> None:
    """Release all reservations of a request; a second call has no effect."""
    for reservation in request.reservations:
        _release(world, request, reservation, now)
    request.reservations = []


def _make_reservations(
    target: Target, prefill: Target, request: Request
) -> list[Reservation]:
    if target.kind is TargetKind.SERVICE:
        return [Reservation(target.id, 0, 0)]
    pieces = estimates.uncached_pieces_needed(target, request)
    uncached = caches.uncached_tokens(prefill, request)
    if prefill is target:
        return [Reservation(target.id, uncached, pieces)]
    prompt_pieces = estimates.pieces_needed(prefill, uncached)
    return [
        Reservation(prefill.id, uncached, prompt_pieces, True),
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
        estimates.record_change(target, LoadChange(now, -1, 0, -reservation.pieces))


def _release_prefill(
    world: World, request: Request, reservation: Reservation, now: timedelta
) -> None:
    target = world.targets.get(reservation.target)
    if target is None or not reservation.prefill:
        return
    if estimates.report_covers(target, request.dispatched):
        # The queue in the last report no longer includes this prefill.
        target.own_prefill -= reservation.prefill
    else:
        estimates.record_change(target, LoadChange(now, 0, -reservation.prefill, 0))
