"""Step the change of one target at a time from intent to outcome.

The planner writes the intent, drains the target, marks the intent as ordered in the
object, sends the order with its fencing number and reads the target's state back.
Every write is a conditional update on a version that was read under the current
lease, so a planner that lost its lease cannot write. It can still send the order that
is in the object. A successor first writes its own fence into the object and then
repeats the open order under a higher number.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from result import Err, Ok

from galenapass.platform.messages import FailureCause
from galenapass.systems import orders_rules as rules
from galenapass.systems.drains import find_open_intent
from galenapass.systems.orders_codec import encode_orders, read_orders
from galenapass.systems.orders_events import (
    FetchState,
    ObjectRead,
    ObjectWritten,
    OrdersEffect,
    OrderSent,
    OrdersEvent,
    OrdersTick,
    PlannerInputs,
    ReadOrders,
    SendOrder,
    StateFetched,
    WriteOrders,
)
from galenapass.systems.role_planning import RequiredChange
from galenapass.tables.orders import (
    Intent,
    IntentPhase,
    OrdersObject,
    PlannerCall,
    PlannerState,
)
from galenapass.targets.engines import EngineState, Order, OrderOutcome
from galenapass.verdicts import Run

__all__ = ["step_orders"]

POLL_PERIOD = timedelta(milliseconds=500)
RETRY_PERIOD = timedelta(seconds=1)
PAUSE_AFTER_DRAIN_TIMEOUT = timedelta(seconds=60)


def step_orders(
    planner: PlannerState, event: OrdersEvent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    """Apply one event and return the call to make, or None.

    At most one call is in flight at a time; each effect is answered by its event.
    """
    call, step = _STEPS[type(event)]
    if call is not planner.call:
        return None
    planner.call = PlannerCall.NONE
    return step(planner, event, inputs, now)


def _tick(
    planner: PlannerState, event: OrdersEvent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if inputs.fence != planner.fence:
        _change_fence(planner, inputs.fence)
    if planner.fence is None or (planner.next_at is not None and now < planner.next_at):
        return None
    if not planner.known:
        planner.call = PlannerCall.READ
        return ReadOrders()
    if planner.object.fence > planner.fence:
        _postpone(planner, now, RETRY_PERIOD)
        return None
    if planner.object.fence < planner.fence:
        return _write(planner, rules.adopt_orders(planner.object, planner))
    intent = find_open_intent(planner.object)
    if intent is None:
        return _start_intent(planner, inputs, now)
    return _ADVANCE[intent.phase](planner, intent, inputs, now)


def _change_fence(planner: PlannerState, fence: int | None) -> None:
    planner.fence = fence
    planner.known = False
    planner.next_at = None


def _start_intent(
    planner: PlannerState, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if planner.rest_until is not None and now < planner.rest_until:
        return None
    ready = (w for w in inputs.wanted if _may_start(planner, w, inputs, now))
    change = next(ready, None)
    if change is None:
        return None
    epoch = planner.object.epoch + 1
    intent = Intent(
        id=f"{planner.domain}-{planner.fence}-{epoch}",
        target=change.target,
        action=change.action,
        value=change.value,
        fence=0,
        phase=IntentPhase.DRAINING,
        epoch=epoch,
    )
    return _write(
        planner, rules.put_intent(replace(planner.object, epoch=epoch), intent)
    )


def _may_start(
    planner: PlannerState, change: RequiredChange, inputs: PlannerInputs, now: timedelta
) -> bool:
    # Waiting for senders before the drain lets the target serve in the meantime.
    checks = inputs.checks_fencing.get(change.target)
    if checks is None:
        return False
    return checks or rules.are_senders_expired(planner, change.target, inputs, now)


def _advance_drain(
    planner: PlannerState, intent: Intent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if rules.is_drain_overdue(planner, now):
        # An unreachable daemon must not keep a target out of service.
        planner.rest_until = now + PAUSE_AFTER_DRAIN_TIMEOUT
        return _write(planner, rules.drop_intent(planner.object, intent))
    if not rules.is_still_required(intent, inputs):
        return _write(planner, rules.drop_intent(planner.object, intent))
    if not rules.may_order(planner, intent, inputs, now):
        return None
    planner.call = PlannerCall.STATE
    return FetchState(intent.target)


def _advance_order(
    planner: PlannerState, intent: Intent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if planner.done:
        closed = replace(intent, phase=IntentPhase.CLOSED)
        return _write(planner, rules.put_intent(planner.object, closed))
    if rules.is_withdrawn(intent, inputs):
        planner.unsure[intent.target] = now
        return _write(planner, rules.drop_intent(planner.object, intent))
    if planner.accepted:
        planner.call = PlannerCall.STATE
        return FetchState(intent.target)
    assert planner.fence is not None
    planner.call = PlannerCall.ORDER
    # Each send gets its own number, so that a delayed one is stale after the next.
    planner.sends += 1
    number = rules.number_order(planner.fence, planner.sends)
    order = Order(intent.id, number, intent.action, intent.value)
    return SendOrder(intent.target, order, planner.fence)


def _write(planner: PlannerState, orders: OrdersObject) -> OrdersEffect:
    planner.call = PlannerCall.WRITE
    planner.written = orders
    return WriteOrders(encode_orders(orders), planner.version)


def _postpone(planner: PlannerState, now: timedelta, period: timedelta) -> None:
    planner.next_at = now + period


def _apply_read(
    planner: PlannerState, event: OrdersEvent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, ObjectRead)
    match event.answer:
        case Ok(stored) if (read := read_orders(stored.body)) is not None:
            _record_object(planner, read, stored.version, now)
        case Err(failure) if failure.cause is FailureCause.NOT_FOUND:
            # A deleted object is written again from the last known content.
            _record_object(planner, planner.object, None, now)
        case _:
            _postpone(planner, now, RETRY_PERIOD)
            return None
    return _tick(planner, event, inputs, now)


def _apply_write_answer(
    planner: PlannerState, event: OrdersEvent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, ObjectWritten) and planner.written is not None
    if isinstance(event.answer, Err):
        # Whether lost, refused or unsent: read the object again and start from it.
        planner.known = False
        _postpone(planner, now, RETRY_PERIOD)
        return None
    _record_object(planner, planner.written, event.answer.ok_value, now)
    return _tick(planner, event, inputs, now)


def _record_object(
    planner: PlannerState, orders: OrdersObject, version: int | None, now: timedelta
) -> None:
    if find_open_intent(orders) != find_open_intent(planner.object):
        planner.accepted = False
        planner.done = False
        planner.opened_at = now
    planner.object = orders
    planner.version = version
    planner.known = True
    if planner.noticed_under != planner.fence:
        # Under another holder, these senders may have sent again since these times.
        planner.noticed.clear()
        planner.noticed_under = planner.fence
    for sender in orders.senders:
        planner.noticed.setdefault(sender, now)


def _apply_state(
    planner: PlannerState, event: OrdersEvent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, StateFetched)
    intent = find_open_intent(planner.object)
    if isinstance(event.answer, Err) or intent is None:
        _postpone(planner, now, POLL_PERIOD)
        return None
    if not planner.known or inputs.fence != planner.fence:
        return None
    return _STATE_CHECKS[intent.phase](
        planner, intent, event.answer.ok_value, inputs, now
    )


def _check_drained(
    planner: PlannerState,
    intent: Intent,
    state: EngineState,
    inputs: PlannerInputs,
    now: timedelta,
) -> OrdersEffect | None:
    if not rules.is_idle(state) or not rules.may_order(planner, intent, inputs, now):
        _postpone(planner, now, POLL_PERIOD)
        return None
    return _write(
        planner, rules.mark_ordered(planner.object, intent, planner, keep_senders=False)
    )


def _check_ordered(
    planner: PlannerState,
    intent: Intent,
    state: EngineState,
    inputs: PlannerInputs,
    now: timedelta,
) -> OrdersEffect | None:
    if rules.has_ended(intent, state):
        planner.done = True
        return _advance_order(planner, intent, inputs, now)
    is_changing = state.order_id == intent.id and state.phase == rules.CHANGING
    # A target that failed or restarted during the change gets the same order again.
    planner.accepted = is_changing
    _postpone(planner, now, POLL_PERIOD)
    return None


def _apply_order_answer(
    planner: PlannerState, event: OrdersEvent, inputs: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, OrderSent)
    intent = find_open_intent(planner.object)
    match event.answer:
        case Ok(answer):
            planner.accepted = answer.outcome is OrderOutcome.ACCEPTED
        case Err(verdict) if verdict.run is not Run.NOT_RUN and intent is not None:
            planner.unsure[intent.target] = now
    _postpone(planner, now, POLL_PERIOD if planner.accepted else RETRY_PERIOD)
    return None


_Step = Callable[
    [PlannerState, OrdersEvent, PlannerInputs, timedelta], OrdersEffect | None
]
_Advance = Callable[
    [PlannerState, Intent, PlannerInputs, timedelta], OrdersEffect | None
]
_StateCheck = Callable[
    [PlannerState, Intent, EngineState, PlannerInputs, timedelta], OrdersEffect | None
]

_STEPS: dict[type, tuple[PlannerCall, _Step]] = {
    OrdersTick: (PlannerCall.NONE, _tick),
    ObjectRead: (PlannerCall.READ, _apply_read),
    ObjectWritten: (PlannerCall.WRITE, _apply_write_answer),
    StateFetched: (PlannerCall.STATE, _apply_state),
    OrderSent: (PlannerCall.ORDER, _apply_order_answer),
}
_ADVANCE: dict[IntentPhase, _Advance] = {
    IntentPhase.DRAINING: _advance_drain,
    IntentPhase.ORDERED: _advance_order,
}
_STATE_CHECKS: dict[IntentPhase, _StateCheck] = {
    IntentPhase.DRAINING: _check_drained,
    IntentPhase.ORDERED: _check_ordered,
}
