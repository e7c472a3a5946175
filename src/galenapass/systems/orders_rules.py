"""Rules that prevent two different orders from reaching one target concurrently.

An order's number combines the lease's fencing number with a count of the sends, so a
delayed send is stale after the next one, whether of the same order or of another.

A process may be suspended between its last check of the lease and its send. A target
that checks numbers refuses that late order once it has accepted a higher number. For a
target that ignores numbers, a different order waits until each earlier sender is known
to be gone or the quarantine has passed.

One fault remains possible with a target that ignores numbers. A process that is
suspended for longer than the quarantine, or that still runs although the platform
lists its host as gone, sends its outdated order when it resumes. The target then
changes a second time without a drain. The same happens with a target that lost the
record of an order in a restart.
"""

from dataclasses import replace
from datetime import timedelta

from galenapass.systems.drains import find_open_intent, is_drained
from galenapass.systems.leases import is_valid
from galenapass.systems.orders_events import PlannerInputs
from galenapass.tables.leases import Lease
from galenapass.tables.orders import (
    Intent,
    IntentPhase,
    OrderSender,
    OrdersObject,
    PlannerState,
)
from galenapass.targets.engines import CONTROL_TIMEOUT_SECONDS, EngineState

__all__ = [
    "adopt_orders",
    "are_senders_expired",
    "drop_intent",
    "has_ended",
    "is_drain_overdue",
    "is_idle",
    "is_sender_expired",
    "is_still_required",
    "is_withdrawn",
    "mark_ordered",
    "may_order",
    "may_send",
    "number_order",
    "put_intent",
]

# With 2**24 sends per holder and 2**29 holders, the number stays exact in JSON.
SENDS_PER_FENCE = 2**24
SEND_TIMEOUT = timedelta(seconds=CONTROL_TIMEOUT_SECONDS)
DRAIN_TIMEOUT = timedelta(seconds=60)
# Phases in a target's reported state.
SERVING = "serving"
CHANGING = "changing"


def may_send(lease: Lease, lease_fence: int, now: timedelta) -> bool:
    """Return whether an order may be sent; call this immediately before the send.

    The lease must remain valid for the whole timeout of the send.
    """
    held = lease.value is not None and lease.value.fence == lease_fence
    return held and is_valid(lease, now + SEND_TIMEOUT)


def may_order(
    planner: PlannerState, intent: Intent, inputs: PlannerInputs, now: timedelta
) -> bool:
    """Return whether the target is drained and no earlier order can still arrive."""
    daemons = {**inputs.daemons, planner.host: planner.incarnation}
    if not inputs.daemons or not is_drained(intent, daemons, inputs.acks):
        return False
    if inputs.checks_fencing.get(intent.target, False):
        return True
    return are_senders_expired(planner, intent.target, inputs, now)


def is_drain_overdue(planner: PlannerState, now: timedelta) -> bool:
    """Return whether the drain has exceeded its timeout."""
    return planner.opened_at is not None and now >= planner.opened_at + DRAIN_TIMEOUT


def are_senders_expired(
    planner: PlannerState, target: str, inputs: PlannerInputs, now: timedelta
) -> bool:
    """Return whether no earlier sender's order can still arrive at a target."""
    senders = [s for s in planner.object.senders if s.target == target]
    return all(is_sender_expired(planner, sender, inputs, now) for sender in senders)


def has_ended(intent: Intent, state: EngineState) -> bool:
    """Return whether a target's state shows the intent's own order as completed."""
    return state.order_id == intent.id and state.phase == SERVING


def is_idle(state: EngineState) -> bool:
    """Return whether a target runs neither requests nor an order."""
    return state.running == 0 and state.phase != CHANGING


def adopt_orders(orders: OrdersObject, planner: PlannerState) -> OrdersObject:
    """Return the object under this planner's fence, with an open order renewed."""
    assert planner.fence is not None
    adopted = replace(orders, fence=planner.fence)
    intent = find_open_intent(adopted)
    if intent is None or intent.phase is not IntentPhase.ORDERED:
        return adopted
    return mark_ordered(adopted, intent, planner, keep_senders=True)


def is_sender_expired(
    planner: PlannerState, sender: OrderSender, inputs: PlannerInputs, now: timedelta
) -> bool:
    """Return whether no order of an earlier sender can still arrive.

    Another process is expired once the platform's list shows its host gone or in a
    later incarnation, or once the quarantine has passed. This process itself must
    only wait for its sends whose answers were lost.
    """
    if (sender.host, sender.incarnation) == (planner.host, planner.incarnation):
        since = planner.unsure.get(sender.target)
        return since is None or now >= since + inputs.quarantine
    listed = inputs.daemons.get(sender.host, sender.incarnation + 1)
    if inputs.daemons and listed > sender.incarnation:
        return True
    noticed = planner.noticed.get(sender)
    return noticed is not None and now >= noticed + inputs.quarantine


def mark_ordered(
    orders: OrdersObject, intent: Intent, planner: PlannerState, keep_senders: bool
) -> OrdersObject:
    """Return the object with an intent marked as ordered by this process."""
    assert planner.fence is not None
    ordered = replace(intent, phase=IntentPhase.ORDERED, fence=planner.fence)
    sender = OrderSender(intent.target, planner.host, planner.incarnation)
    kept = tuple(
        s
        for s in orders.senders
        if s != sender and (keep_senders or s.target != intent.target)
    )
    return replace(put_intent(orders, ordered), senders=(*kept, sender))


def number_order(fence: int, sends: int) -> int:
    """Return the fencing number of one send, higher than that of any earlier send."""
    return fence * SENDS_PER_FENCE + sends


def put_intent(orders: OrdersObject, intent: Intent) -> OrdersObject:
    """Return the object with an intent replacing the previous one of its target."""
    others = tuple(i for i in orders.intents if i.target != intent.target)
    return replace(orders, intents=(*others, intent))


def drop_intent(orders: OrdersObject, intent: Intent) -> OrdersObject:
    """Return the object without an intent; its target serves unchanged."""
    others = tuple(i for i in orders.intents if i.id != intent.id)
    return replace(orders, intents=others)


def is_still_required(intent: Intent, inputs: PlannerInputs) -> bool:
    """Return whether the change that a drain prepares is still required."""
    if is_withdrawn(intent, inputs):
        return False
    required = inputs.still_required
    return required is None or intent.target in required


def is_withdrawn(intent: Intent, inputs: PlannerInputs) -> bool:
    """Return whether the operators' file no longer has the target."""
    known = inputs.checks_fencing
    return bool(known) and intent.target not in known
