"""Carry one change of one target at a time from intent to outcome.

The intent is written first, then the target is drained, then the order is written
as due, sent with its fencing number, and the target's state read back. Every write
is a conditional update on a version that was read under the present lease, so a
deposed planner can write nothing; all it can still do is send the order that stands
in the object. A successor writes its own fence into the object before anything else
and repeats the open order under a higher number.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from result import Err, Ok

from galenapass.platform.messages import FailureCause
from galenapass.systems import orders_rules as rules
from galenapass.systems.drains import open_intent
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
REST_AFTER_DRAIN = timedelta(seconds=60)


def step_orders(
    book: PlannerState, event: OrdersEvent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    """Take one event in and return the call to make, if any.

    One call is under way at a time; each effect is answered by its event.
    """
    call, step = _STEPS[type(event)]
    if call is not book.call:
        return None
    book.call = PlannerCall.NONE
    return step(book, event, situation, now)


def _tick(
    book: PlannerState, event: OrdersEvent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if situation.fence != book.fence:
        _change_authority(book, situation.fence)
    if book.fence is None or (book.next_at is not None and now < book.next_at):
        return None
    if not book.known:
        book.call = PlannerCall.READ
        return ReadOrders()
    if book.object.fence > book.fence:
        _wait(book, now, RETRY_PERIOD)
        return None
    if book.object.fence < book.fence:
        return _write(book, rules.adopt(book.object, book))
    intent = open_intent(book.object)
    if intent is None:
        return _open(book, situation, now)
    return _ADVANCE[intent.phase](book, intent, situation, now)


def _change_authority(book: PlannerState, fence: int | None) -> None:
    book.fence = fence
    book.known = False
    book.next_at = None


def _open(
    book: PlannerState, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if book.rest_until is not None and now < book.rest_until:
        return None
    ready = (w for w in situation.wanted if _may_open(book, w, situation, now))
    change = next(ready, None)
    if change is None:
        return None
    epoch = book.object.epoch + 1
    intent = Intent(
        id=f"{book.domain}-{book.fence}-{epoch}",
        target=change.target,
        action=change.action,
        value=change.value,
        fence=0,
        phase=IntentPhase.DRAINING,
        epoch=epoch,
    )
    return _write(book, rules.put_intent(replace(book.object, epoch=epoch), intent))


def _may_open(
    book: PlannerState, change: RequiredChange, situation: PlannerInputs, now: timedelta
) -> bool:
    # The wait comes before the drain, so that the target serves meanwhile.
    checks = situation.checks_fencing.get(change.target)
    if checks is None:
        return False
    return checks or rules.await_senders(book, change.target, situation, now)


def _drain(
    book: PlannerState, intent: Intent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if rules.is_late(book, now):
        # A daemon that cannot be reached must not keep a target from serving.
        book.rest_until = now + REST_AFTER_DRAIN
        return _write(book, rules.drop_intent(book.object, intent))
    if not rules.is_wanted(intent, situation):
        return _write(book, rules.drop_intent(book.object, intent))
    if not rules.may_order(book, intent, situation, now):
        return None
    book.call = PlannerCall.STATE
    return FetchState(intent.target)


def _pursue(
    book: PlannerState, intent: Intent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    if book.done:
        closed = replace(intent, phase=IntentPhase.CLOSED)
        return _write(book, rules.put_intent(book.object, closed))
    if rules.is_withdrawn(intent, situation):
        book.unsure[intent.target] = now
        return _write(book, rules.drop_intent(book.object, intent))
    if book.accepted:
        book.call = PlannerCall.STATE
        return FetchState(intent.target)
    assert book.fence is not None
    book.call = PlannerCall.ORDER
    # Each send has its own number, so that a late one is stale after the next.
    book.sends += 1
    number = rules.number_order(book.fence, book.sends)
    order = Order(intent.id, number, intent.action, intent.value)
    return SendOrder(intent.target, order, book.fence)


def _write(book: PlannerState, orders: OrdersObject) -> OrdersEffect:
    book.call = PlannerCall.WRITE
    book.written = orders
    return WriteOrders(encode_orders(orders), book.version)


def _wait(book: PlannerState, now: timedelta, period: timedelta) -> None:
    book.next_at = now + period


def _take_read(
    book: PlannerState, event: OrdersEvent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, ObjectRead)
    match event.answer:
        case Ok(stored) if (read := read_orders(stored.body)) is not None:
            _note_object(book, read, stored.version, now)
        case Err(failure) if failure.cause is FailureCause.NOT_FOUND:
            # A deleted object is written anew from what is remembered.
            _note_object(book, book.object, None, now)
        case _:
            _wait(book, now, RETRY_PERIOD)
            return None
    return _tick(book, event, situation, now)


def _take_written(
    book: PlannerState, event: OrdersEvent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, ObjectWritten) and book.written is not None
    if isinstance(event.answer, Err):
        # Lost, refused or unsent alike: what stands is read and judged anew.
        book.known = False
        _wait(book, now, RETRY_PERIOD)
        return None
    _note_object(book, book.written, event.answer.ok_value, now)
    return _tick(book, event, situation, now)


def _note_object(
    book: PlannerState, orders: OrdersObject, version: int | None, now: timedelta
) -> None:
    if open_intent(orders) != open_intent(book.object):
        book.accepted = False
        book.done = False
        book.opened_at = now
    book.object = orders
    book.version = version
    book.known = True
    if book.noticed_under != book.fence:
        # Another holder may have let them send since these were noticed.
        book.noticed.clear()
        book.noticed_under = book.fence
    for sender in orders.senders:
        book.noticed.setdefault(sender, now)


def _take_state(
    book: PlannerState, event: OrdersEvent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, StateFetched)
    intent = open_intent(book.object)
    if isinstance(event.answer, Err) or intent is None:
        _wait(book, now, POLL_PERIOD)
        return None
    if not book.known or situation.fence != book.fence:
        return None
    return _JUDGE[intent.phase](book, intent, event.answer.ok_value, situation, now)


def _judge_drained(
    book: PlannerState,
    intent: Intent,
    state: EngineState,
    situation: PlannerInputs,
    now: timedelta,
) -> OrdersEffect | None:
    if not rules.is_idle(state) or not rules.may_order(book, intent, situation, now):
        _wait(book, now, POLL_PERIOD)
        return None
    return _write(book, rules.order_due(book.object, intent, book, keep_senders=False))


def _judge_ordered(
    book: PlannerState,
    intent: Intent,
    state: EngineState,
    situation: PlannerInputs,
    now: timedelta,
) -> OrdersEffect | None:
    if rules.has_ended(intent, state):
        book.done = True
        return _pursue(book, intent, situation, now)
    under_way = state.order_id == intent.id and state.phase == rules.CHANGING
    # A target that failed or restarted halfway gets the same order again.
    book.accepted = under_way
    _wait(book, now, POLL_PERIOD)
    return None


def _take_sent(
    book: PlannerState, event: OrdersEvent, situation: PlannerInputs, now: timedelta
) -> OrdersEffect | None:
    assert isinstance(event, OrderSent)
    intent = open_intent(book.object)
    match event.answer:
        case Ok(answer):
            book.accepted = answer.outcome is OrderOutcome.ACCEPTED
        case Err(verdict) if verdict.run is not Run.NOT_RUN and intent is not None:
            book.unsure[intent.target] = now
    _wait(book, now, POLL_PERIOD if book.accepted else RETRY_PERIOD)
    return None


_Step = Callable[
    [PlannerState, OrdersEvent, PlannerInputs, timedelta], OrdersEffect | None
]
_Advance = Callable[
    [PlannerState, Intent, PlannerInputs, timedelta], OrdersEffect | None
]
_Judge = Callable[
    [PlannerState, Intent, EngineState, PlannerInputs, timedelta], OrdersEffect | None
]

_STEPS: dict[type, tuple[PlannerCall, _Step]] = {
    OrdersTick: (PlannerCall.NONE, _tick),
    ObjectRead: (PlannerCall.READ, _take_read),
    ObjectWritten: (PlannerCall.WRITE, _take_written),
    StateFetched: (PlannerCall.STATE, _take_state),
    OrderSent: (PlannerCall.ORDER, _take_sent),
}
_ADVANCE: dict[IntentPhase, _Advance] = {
    IntentPhase.DRAINING: _drain,
    IntentPhase.ORDERED: _pursue,
}
_JUDGE: dict[IntentPhase, _Judge] = {
    IntentPhase.DRAINING: _judge_drained,
    IntentPhase.ORDERED: _judge_ordered,
}
