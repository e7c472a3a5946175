"""Count what requests hold at targets, from dispatch to the end of the attempt."""

from datetime import timedelta

from galenapass.systems import caches, estimates, limits
from galenapass.systems.routing import Choice
from galenapass.tables.requests import Hold, Request, RequestState
from galenapass.tables.targets import Kind, LoadChange, Target
from galenapass.tables.world import World

__all__ = ["first_token", "give_back", "prefilled", "take"]


def take(world: World, request: Request, choice: Choice, now: timedelta) -> None:
    """Count a choice at its targets and mark the request dispatched."""
    if request.holds:
        raise ValueError(f"request {request.id} holds {request.holds} already")
    target = world.targets[choice.target]
    prefill = world.targets[choice.prefill_target or choice.target]
    request.state = RequestState.DISPATCHED
    request.target = choice.target
    request.prefill_target = choice.prefill_target
    request.dispatched = now
    request.attempts += 1
    request.preempted = False
    request.queued_ahead = estimates.estimate_load(prefill, now).prefill
    request.holds = _make_holds(target, prefill, request)
    for hold in request.holds:
        change = LoadChange(now, 1, hold.prefill, hold.pieces)
        estimates.record(world.targets[hold.target], change)
    limits.note_work(world, request, estimates.work_seconds(target, request, now), now)


def first_token(world: World, request: Request, now: timedelta) -> None:
    """Give the prefill back and learn from the time it took."""
    if request.state is not RequestState.DISPATCHED:
        return
    request.state = RequestState.STREAMING
    request.first_token = now
    source = world.targets.get(request.prefill_target or request.target or "")
    if source is not None and source.kind is Kind.ENGINE:
        estimates.learn_first_token(source, request, now)
        caches.note_used(source, request.blocks)
    kept = [_drop_prefill(world, request, hold, now) for hold in request.holds]
    request.holds = [hold for hold in kept if hold is not None]


def prefilled(world: World, request: Request, now: timedelta) -> None:
    """Give back what a hand-over held at its prefill target, before first output."""
    left = [hold for hold in request.holds if not hold.until_first_token]
    for hold in request.holds:
        if hold.until_first_token:
            _release(world, request, hold, now)
    request.holds = left


def give_back(world: World, request: Request, now: timedelta) -> None:
    """Give back all that a request holds; a second call changes nothing."""
    for hold in request.holds:
        _release(world, request, hold, now)
    request.holds = []


def _make_holds(target: Target, prefill: Target, request: Request) -> list[Hold]:
    if target.kind is Kind.SERVICE:
        return [Hold(target.id, 0, 0)]
    pieces = estimates.own_pieces_needed(target, request)
    fresh = caches.fresh_tokens(prefill, request)
    if prefill is target:
        return [Hold(target.id, fresh, pieces)]
    prompt = estimates.pieces_needed(prefill, fresh)
    return [Hold(prefill.id, fresh, prompt, True), Hold(target.id, 0, pieces)]


def _drop_prefill(
    world: World, request: Request, hold: Hold, now: timedelta
) -> Hold | None:
    if hold.until_first_token:
        _release(world, request, hold, now)
        return None
    _release_prefill(world, request, hold, now)
    return Hold(hold.target, 0, hold.pieces)


def _release(world: World, request: Request, hold: Hold, now: timedelta) -> None:
    _release_prefill(world, request, hold, now)
    target = world.targets.get(hold.target)
    if target is not None:
        estimates.record(target, LoadChange(now, -1, 0, -hold.pieces))


def _release_prefill(
    world: World, request: Request, hold: Hold, now: timedelta
) -> None:
    target = world.targets.get(hold.target)
    if target is None or not hold.prefill:
        return
    if estimates.shows(target, request.dispatched):
        # The report's queue has shrunk with it already.
        target.own_prefill -= hold.prefill
    else:
        estimates.record(target, LoadChange(now, 0, -hold.prefill, 0))
