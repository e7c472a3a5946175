"""Bring a domain's drains in force on this daemon and judge their acknowledgements.

The orders object is the only source of drains. ``apply_orders`` takes it in from a
watch or from peers; ``reapply_orders`` comes after whatever else sets the states of
targets; ``list_acks`` gives what this daemon has to tell the planner.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from galenapass.systems.orders_codec import decode_orders
from galenapass.systems.role_planning import record_role
from galenapass.tables.orders import Intent, IntentPhase, LatestOrders, OrdersObject
from galenapass.tables.peer_messages import DrainAck, Orders
from galenapass.tables.requests import Request, RequestState
from galenapass.tables.targets import Role, Target, TargetState
from galenapass.tables.world import World

__all__ = [
    "apply_orders",
    "is_drained",
    "list_acks",
    "open_intent",
    "reapply_orders",
]

_STATE_OF_PHASE = {
    IntentPhase.DRAINING: TargetState.DRAINING,
    IntentPhase.ORDERED: TargetState.CHANGING,
}
_MOVED = frozenset({TargetState.DRAINING, TargetState.CHANGING})
_MOVABLE = _MOVED | {TargetState.SERVING}
_IN_FLIGHT = frozenset({RequestState.DISPATCHED, RequestState.STREAMING})


def apply_orders(
    world: World, view: LatestOrders, orders: Orders, now: timedelta
) -> bool:
    """Take an orders object in; tell whether it is newer than the one in force.

    Raise ValueError when the text is no orders object.
    """
    if orders.version <= view.versions.get(orders.domain, 0):
        return False
    view.objects[orders.domain] = decode_orders(orders.text)
    view.versions[orders.domain] = orders.version
    reapply_orders(world, view, now)
    return True


def reapply_orders(world: World, view: LatestOrders, now: timedelta) -> None:
    """Set the state and drain epoch of each target from the objects in force."""
    for target in world.targets.values():
        if target.domain in view.objects:
            _apply_object(world, target, view.objects[target.domain], now)


def list_acks(world: World, view: LatestOrders, incarnation: int) -> list[DrainAck]:
    """Return what this daemon still has in flight on each target being drained."""
    opened = (open_intent(orders) for orders in view.objects.values())
    return [
        DrainAck(
            world.host,
            incarnation,
            intent.target,
            intent.epoch,
            _count_in_flight(world, world.targets[intent.target]),
        )
        for intent in opened
        if intent is not None and _is_in_force(world, intent)
    ]


def is_drained(
    intent: Intent, daemons: Mapping[str, int], acks: Iterable[DrainAck]
) -> bool:
    """Tell whether every listed daemon has nothing in flight on the target.

    ``daemons`` maps the hosts on the platform's list to their incarnations; an
    acknowledgement of an earlier incarnation or epoch counts for nothing.
    """
    clear = {
        ack.host: ack.incarnation
        for ack in acks
        if (ack.target, ack.epoch) == (intent.target, intent.epoch)
        and ack.in_flight == 0
    }
    return bool(daemons) and all(
        clear.get(host, -1) >= incarnation for host, incarnation in daemons.items()
    )


def open_intent(orders: OrdersObject) -> Intent | None:
    """Return the intent that is not closed."""
    opened = (i for i in orders.intents if i.phase is not IntentPhase.CLOSED)
    return next(opened, None)


def _apply_object(
    world: World, target: Target, orders: OrdersObject, now: timedelta
) -> None:
    intent = next((i for i in orders.intents if i.target == target.id), None)
    if intent is None or intent.phase is IntentPhase.CLOSED:
        _return_to_service(world, target, intent, now)
        return
    target.drain_epoch = intent.epoch
    if target.state in _MOVABLE:
        target.state = _STATE_OF_PHASE[intent.phase]


def _return_to_service(
    world: World, target: Target, closed: Intent | None, now: timedelta
) -> None:
    was_moved = target.state in _MOVED
    if was_moved:
        target.state = TargetState.SERVING
    if closed is None:
        return
    # A daemon that knows a later role from the engine itself keeps it.
    if was_moved or closed.epoch > target.drain_epoch:
        target.drain_epoch = closed.epoch
        _take_value(world, target, closed, now)


def _take_value(world: World, target: Target, closed: Intent, now: timedelta) -> None:
    if closed.action == "role":
        record_role(world, target.id, Role(closed.value), now)
    if closed.action == "model":
        target.model = closed.value


def _is_in_force(world: World, intent: Intent) -> bool:
    target = world.targets.get(intent.target)
    return (
        target is not None
        and target.drain_epoch == intent.epoch
        and target.state is not TargetState.SERVING
    )


def _count_in_flight(world: World, target: Target) -> int:
    requests = sum(_occupies(r, target.id) for r in world.requests.values())
    return max(requests, target.own_requests)


def _occupies(request: Request, target: str) -> bool:
    if request.state not in _IN_FLIGHT:
        return False
    # A prefill target has done its part once the first token is there.
    prefills = request.prefill_target == target and request.first_token is None
    return request.target == target or prefills
