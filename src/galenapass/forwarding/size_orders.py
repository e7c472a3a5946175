"""Decide which orders of sizes are due, and when a failed one is sent again.

Pure functions over the orders of one holder; times are monotonic.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.forwarding.operations import CallOutcome
from galenapass.forwarding.size_counts import SubjectCounts
from galenapass.forwarding.sizes import Subject

__all__ = [
    "OrderLimits",
    "SizeOrder",
    "find_unavailable",
    "is_due",
    "may_call",
    "record_answer",
    "record_call",
    "record_outcome",
]

# A target that starts registers within a heartbeat of 1.2 s, or two of them.
ENTRY_LAG = timedelta(seconds=4)
# Released targets end their work first, and their entries lapse some seconds later.
RELEASE_TIME = timedelta(seconds=20)
# Delays before a failed order is sent again; they double with each failure. None are
# available for 11 s after targets were reclaimed.
MIN_RETRY_DELAYS = {
    CallOutcome.UNAVAILABLE: timedelta(seconds=3),
    CallOutcome.THROTTLED: timedelta(seconds=1),
    CallOutcome.REJECTED: timedelta(seconds=2),
    CallOutcome.UNKNOWN: timedelta(seconds=1.5),
}
MAX_RETRY_DELAY = timedelta(seconds=24)
# Failures without an answer after which targets are placed elsewhere, if possible.
MAX_SILENT_FAILURES = 2
# Calls within a minute, whatever happens.
MAX_CALLS_PER_MINUTE = 24
MINUTE = timedelta(minutes=1)
# Pauses between calls while none is answered.
MIN_PAUSE = timedelta(milliseconds=500)
MAX_PAUSE = timedelta(seconds=5)
# Doublings of a delay; more of them exceed its maximum.
MAX_DOUBLINGS = 6


@dataclass(slots=True)
class SizeOrder:
    """Last orders of one subject.

    ``accepted`` is the count of the last order that the platform accepted at
    ``accepted_at``, None if it is unknown what is in effect. ``repeats`` counts how
    often it was sent again without effect. ``failures`` is the number of failed calls
    in a row, of which the last had the ``outcome``; none is sent before ``next_at``.
    """

    accepted: int | None = None
    accepted_at: timedelta = timedelta(0)
    repeats: int = 0
    failures: int = 0
    outcome: CallOutcome | None = None
    next_at: timedelta = timedelta(0)


@dataclass(slots=True)
class OrderLimits:
    """Times of the calls within the last minute; ``interval`` is the least between.

    ``failures`` counts the calls in a row that show that the platform answers none.
    """

    interval: timedelta
    failures: int = 0
    sent_at: deque[timedelta] = field(default_factory=deque)
    next_at: timedelta = timedelta(0)


def is_due(
    order: SizeOrder,
    goal: int,
    counts: SubjectCounts,
    start_time: timedelta,
    now: timedelta,
) -> bool:
    """Return whether an order of ``goal`` targets is to be sent now.

    Load patterns: reclaimed targets, whose order has lost its effect at once; crashed
    targets and cut-off domains, which come back; a new holder, which finds the orders
    of the last one in effect.
    """
    if now < order.next_at:
        return False
    is_short, is_excess = goal > counts.expected, goal < counts.present
    if order.accepted != goal:
        return order.accepted is not None or is_short or is_excess
    age = now - order.accepted_at
    doubled = 2 ** min(order.repeats, MAX_DOUBLINGS)
    if is_short and counts.left_at is not None and counts.left_at > order.accepted_at:
        return True
    if is_short:
        return age >= (start_time + ENTRY_LAG) * doubled
    return is_excess and age >= RELEASE_TIME * doubled


def record_outcome(
    order: SizeOrder, count: int, outcome: CallOutcome, now: timedelta
) -> None:
    """Record the outcome of an order; a failed one is sent again after a delay."""
    order.outcome = outcome
    if outcome is CallOutcome.ACCEPTED:
        order.repeats = order.repeats + 1 if order.accepted == count else 0
        order.accepted, order.accepted_at, order.failures = count, now, 0
        order.next_at = now
        return
    if outcome is CallOutcome.UNKNOWN:
        # It may be in effect.
        order.accepted = None
    doubled = 2 ** min(order.failures, MAX_DOUBLINGS)
    order.failures += 1
    order.next_at = now + min(MIN_RETRY_DELAYS[outcome] * doubled, MAX_RETRY_DELAY)


def find_unavailable(
    orders: Iterable[tuple[Subject, SizeOrder]], now: timedelta
) -> list[Subject]:
    """Return the subjects that get no further targets now.

    Load pattern: a zone without free targets, or whose orders get no answer while
    those of others do.
    """
    orders = list(orders)
    all_silent = all(o.outcome is CallOutcome.UNKNOWN for _, o in orders)
    return [
        subject
        for subject, order in orders
        if now < order.next_at
        and (
            order.outcome is CallOutcome.UNAVAILABLE
            or (
                order.outcome is CallOutcome.UNKNOWN
                and order.failures >= MAX_SILENT_FAILURES
                and not all_silent
            )
        )
    ]


def may_call(limits: OrderLimits, now: timedelta) -> bool:
    """Return whether the limits allow a call now."""
    while limits.sent_at and now - limits.sent_at[0] >= MINUTE:
        limits.sent_at.popleft()
    return now >= limits.next_at and len(limits.sent_at) < MAX_CALLS_PER_MINUTE


def record_call(limits: OrderLimits, now: timedelta) -> None:
    """Record a call that is sent now."""
    limits.sent_at.append(now)
    limits.next_at = now + limits.interval


def record_answer(limits: OrderLimits, outcome: CallOutcome, now: timedelta) -> None:
    """Delay all calls while the platform answers none, whatever they order.

    Load pattern: a platform that is away, or busy with the reports of usage.
    """
    if outcome not in (CallOutcome.UNKNOWN, CallOutcome.THROTTLED):
        limits.failures = 0
        return
    limits.failures += 1
    doublings = min(limits.failures - MAX_SILENT_FAILURES, MAX_DOUBLINGS)
    if doublings >= 0:
        delay = min(MIN_PAUSE * 2**doublings, MAX_PAUSE)
        limits.next_at = max(limits.next_at, now + delay)
