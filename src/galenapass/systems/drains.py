"""Apply a domain's drains on this daemon and evaluate their acknowledgements.

The orders object is the only source of drains. ``apply_orders`` applies a version
received from a watch or from peers. ``reapply_orders`` must follow any other change
to the states of targets. ``list_acks`` returns this daemon's acknowledgements for the
planner.
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
    "find_open_intent",
    "is_drained",
    "list_acks",
    "reapply_orders",
]

_TARGET_STATES = {
    IntentPhase.DRAINING: TargetState.DRAINING,
    IntentPhase.ORDERED: TargetState.CHANGING,
}
_DRAIN_STATES = frozenset({TargetState.DRAINING, TargetState.CHANGING})
_DRAINABLE_STATES = _DRAIN_STATES | {TargetState.SERVING}
_IN_FLIGHT = frozenset({RequestState.DISPATCHED, RequestState.STREAMING})


def apply_orders(
    world: World, view: LatestOrders, orders: Orders, now: timedelta
) -> bool:
    """Apply an orders object; return whether it is newer than the applied one.

    Raise ValueError when the text is not a valid orders object.
    """
    if orders.version <= view.versions.get(orders.domain, 0):
        return False
    view.objects[orders.domain] = decode_orders(orders.text)
    view.versions[orders.domain] = orders.version
    reapply_orders(world, view, now)
    return True


def reapply_orders(world: World, view: LatestOrders, now: timedelta) -> None:
    """Set the state and drain epoch of each target from the latest objects."""
    for target in world.targets.values():
        if target.domain in view.objects:
            _apply_object(world, target, view.objects[target.domain], now)


def list_acks(world: World, view: LatestOrders, incarnation: int) -> list[DrainAck]:
    """Return this daemon's acknowledgement for each target that is being drained."""
    open_intents = (find_open_intent(orders) for orders in view.objects.values())
    return [
        DrainAck(
            world.host,
            incarnation,
            intent.target,
            intent.epoch,
            _count_in_flight(world, world.targets[intent.target]),
        )
        for intent in open_intents
        if intent is not None and _is_drain_active(world, intent)
    ]


def is_drained(
    intent: Intent, daemons: Mapping[str, int], acks: Iterable[DrainAck]
) -> bool:
    """Return whether every listed daemon has nothing in flight on the target.

    ``daemons`` maps the hosts on the platform's list to their incarnations. An
    acknowledgement from an earlier incarnation or epoch is ignored.
    """
    idle_daemons = {
        ack.host: ack.incarnation
        for ack in acks
        if (ack.target, ack.epoch) == (intent.target, intent.epoch)
        and ack.in_flight == 0
    }
    return bool(daemons) and all(
        idle_daemons.get(host, -1) >= incarnation
        for host, incarnation in daemons.items()
    )


def find_open_intent(orders: OrdersObject) -> Intent | None:
    """Return the intent that is not closed, or None."""
    open_intents = (i for i in orders.intents if i.phase is not IntentPhase.CLOSED)
    return next(open_intents, None)


def _apply_object(
    world: World, target: Target, orders: OrdersObject, now: timedelta
) -> None:
    intent = next((i for i in orders.intents if i.target == target.id), None)
    if intent is None or intent.phase is IntentPhase.CLOSED:
        _return_to_service(world, target, intent, now)
        return
    target.drain_epoch = intent.epoch
    if target.state in _DRAINABLE_STATES:
        target.state = _TARGET_STATES[intent.phase]


def _return_to_service(
    world: World, target: Target, closed: Intent | None, now: timedelta
) -> None:
    was_drained = target.state in _DRAIN_STATES
    if was_drained:
        target.state = TargetState.SERVING
    if closed is None:
        return
    # A daemon that has already read a later role from the engine keeps that role.
    if was_drained or closed.epoch > target.drain_epoch:
        target.drain_epoch = closed.epoch
        _apply_closed_value(world, target, closed, now)


def _apply_closed_value(
    world: World, target: Target, closed: Intent, now: timedelta
) -> None:
    if closed.action == "role":
        record_role(world, target.id, Role(closed.value), now)
    if closed.action == "model":
        target.model = closed.value


def _is_drain_active(world: World, intent: Intent) -> bool:
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
    # A prefill target is finished with a request at its first token.
    prefills = request.prefill_target == target and request.first_token is None
    return request.target == target or prefills
