"""Decide what keeps two different orders from meeting at one target.

An order's number is the lease's fencing number followed by a count of the sends, so
a delayed send is stale after the next one, be it of the same order or another.

A process may sleep between its last check of the lease and its send. A target that
checks numbers refuses that late order once it took a higher one. For a target that
ignores them, a different order waits until each earlier sender is known gone or the
quarantine has passed. What remains possible there: a process that sleeps for longer
than the quarantine, or whose host the platform lists as gone while it still runs,
sends the order of its own time when it wakes; the target then changes a second time
without a drain. The same holds for a target that forgot an order in a restart.
"""

from dataclasses import replace
from datetime import timedelta

from galenapass.systems.drains import is_drained, open_intent
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
from galenapass.targets.engines import CONTROL_SECONDS, EngineState

__all__ = [
    "adopt",
    "await_senders",
    "drop_intent",
    "has_ended",
    "is_idle",
    "is_late",
    "is_past",
    "is_wanted",
    "is_withdrawn",
    "may_order",
    "may_send",
    "number_order",
    "order_due",
    "put_intent",
]

# 2**24 sends by one process; with 2**29 holders the number stays exact in JSON.
SENDS_A_FENCE = 2**24
SEND_TIMEOUT = timedelta(seconds=CONTROL_SECONDS)
DRAIN_TIMEOUT = timedelta(seconds=60)
# Phases that a target reports.
SERVING = "serving"
CHANGING = "changing"


def may_send(lease: Lease, lease_fence: int, now: timedelta) -> bool:
    """Tell whether an order may leave; ask with nothing between this and the send.

    The lease has to outlast the whole time that the send may take.
    """
    held = lease.value is not None and lease.value.fence == lease_fence
    return held and is_valid(lease, now + SEND_TIMEOUT)


def may_order(
    book: PlannerState, intent: Intent, situation: PlannerInputs, now: timedelta
) -> bool:
    """Tell whether the target is drained and no earlier order can still arrive."""
    daemons = {**situation.daemons, book.host: book.incarnation}
    if not situation.daemons or not is_drained(intent, daemons, situation.acks):
        return False
    if situation.checks_fencing.get(intent.target, False):
        return True
    return await_senders(book, intent.target, situation, now)


def is_late(book: PlannerState, now: timedelta) -> bool:
    """Tell whether a drain has lasted too long for a target to stay idle."""
    return book.opened_at is not None and now >= book.opened_at + DRAIN_TIMEOUT


def await_senders(
    book: PlannerState, target: str, situation: PlannerInputs, now: timedelta
) -> bool:
    """Tell whether each earlier sender to a target is gone or quarantined."""
    senders = [s for s in book.object.senders if s.target == target]
    return all(is_past(book, sender, situation, now) for sender in senders)


def has_ended(intent: Intent, state: EngineState) -> bool:
    """Tell whether a target's state shows the intent's own order done."""
    return state.order_id == intent.id and state.phase == SERVING


def is_idle(state: EngineState) -> bool:
    """Tell whether a target runs nothing, neither requests nor an order."""
    return state.running == 0 and state.phase != CHANGING


def adopt(orders: OrdersObject, book: PlannerState) -> OrdersObject:
    """Return the object taken over: the same open order under a higher number."""
    assert book.fence is not None
    taken = replace(orders, fence=book.fence)
    intent = open_intent(taken)
    if intent is None or intent.phase is not IntentPhase.ORDERED:
        return taken
    return order_due(taken, intent, book, keep_senders=True)


def is_past(
    book: PlannerState, sender: OrderSender, situation: PlannerInputs, now: timedelta
) -> bool:
    """Tell whether nothing from an earlier sender can arrive any more."""
    if (sender.host, sender.incarnation) == (book.host, book.incarnation):
        since = book.unsure.get(sender.target)
        return since is None or now >= since + situation.quarantine
    listed = situation.daemons.get(sender.host, sender.incarnation + 1)
    if situation.daemons and listed > sender.incarnation:
        return True
    noticed = book.noticed.get(sender)
    return noticed is not None and now >= noticed + situation.quarantine


def order_due(
    orders: OrdersObject, intent: Intent, book: PlannerState, keep_senders: bool
) -> OrdersObject:
    """Return the object with an intent due for its order from this process."""
    assert book.fence is not None
    ordered = replace(intent, phase=IntentPhase.ORDERED, fence=book.fence)
    sender = OrderSender(intent.target, book.host, book.incarnation)
    kept = tuple(
        s
        for s in orders.senders
        if s != sender and (keep_senders or s.target != intent.target)
    )
    return replace(put_intent(orders, ordered), senders=(*kept, sender))


def number_order(fence: int, sends: int) -> int:
    """Return the fencing number of one send; it grows with each."""
    return fence * SENDS_A_FENCE + sends


def put_intent(orders: OrdersObject, intent: Intent) -> OrdersObject:
    """Return the object with an intent in place of its target's former one."""
    others = tuple(i for i in orders.intents if i.target != intent.target)
    return replace(orders, intents=(*others, intent))


def drop_intent(orders: OrdersObject, intent: Intent) -> OrdersObject:
    """Return the object without an intent: its target serves as it was."""
    others = tuple(i for i in orders.intents if i.id != intent.id)
    return replace(orders, intents=others)


def is_wanted(intent: Intent, situation: PlannerInputs) -> bool:
    """Tell whether a drain is still of use."""
    if is_withdrawn(intent, situation):
        return False
    wanted = situation.still_required
    return wanted is None or intent.target in wanted


def is_withdrawn(intent: Intent, situation: PlannerInputs) -> bool:
    """Tell whether the operators' file no longer has the target."""
    known = situation.checks_fencing
    return bool(known) and intent.target not in known
