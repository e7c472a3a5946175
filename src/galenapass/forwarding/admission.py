"""Decide which waiting request starts next and which cannot meet its deadline.

Pure functions over the waiting requests; durations named ``..._ms`` are in
milliseconds, times are monotonic.
"""

import bisect
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Protocol, TypeVar

from galenapass.forwarding.loads import Load
from galenapass.forwarding.placement import Choice

__all__ = [
    "RetryTimes",
    "SlotCounts",
    "WaitingRequest",
    "find_unservable",
    "has_capacity",
    "is_unservable",
    "order_waiting",
    "rank_prefill",
    "suggest_retry",
]

# Work of all daemons that keeps an engine busy. More work waits at the scheduler,
# where a more urgent request can still overtake it. Announcements of peers' work are
# up to 0.1 s old.
MAX_QUEUED_MS = 300.0
MAX_PREFILLS = 8
# Limit for the first prompt of a daemon at an engine: one may wait there, as its
# answer takes a while to travel.
MAX_QUEUED_BEFORE_FIRST_MS = 900.0
# Additional wait of each rank over the next more urgent one.
RANK_STEP = timedelta(milliseconds=150)
# Weight of a millisecond of engine time relative to a millisecond of waiting.
COST_WEIGHT = 2.0
# Maximum work of a prompt at each priority level, growing by half per level, from the
# shortest kind of request to the tightest latency objective.
PRIORITY_LEVELS_MS = (30.0, 45.0, 70.0, 105.0, 160.0, 240.0, 360.0, 540.0)
# Time from the end of the prefill to the first output: one handover and one step.
FIRST_OUTPUT_MS = 40.0
# Maximum retry delay as a share of the time left until the client's deadline.
MAX_RETRY_SHARE = 1 / 3
MIN_RETRY_DELAY = timedelta(milliseconds=200)


class WaitingRequest(Protocol):
    """Deadlines and rank of a waiting request."""

    @property
    def soft_deadline(self) -> timedelta:
        """Return the time by which the latency objective is met."""

    @property
    def deadline(self) -> timedelta:
        """Return the time at which the client abandons the request."""

    @property
    def rank(self) -> int:
        """Return the rank, 0 for the most urgent."""

    @property
    def version(self) -> str | None:
        """Return the version that began its stream, None before its first event."""


class RetryTimes:
    """Times at which refused clients are expected to retry.

    Load pattern: a burst of refusals in one pass over the queue. With the same retry
    time, their clients would return as one burst.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: list[timedelta] = []

    def add(self, at: timedelta) -> None:
        """Record a client that is expected to retry at a time."""
        bisect.insort(self._times, at)

    def count_pending(self, now: timedelta) -> int:
        """Return the number of clients that have yet to retry."""
        del self._times[: bisect.bisect_right(self._times, now)]
        return len(self._times)


W = TypeVar("W", bound=WaitingRequest)


@dataclass(slots=True, frozen=True)
class SlotCounts:
    """Slots for which requests wait, and the mean time for which a slot is held.

    ``free`` is negative while more prompts are prefilled than there are slots;
    ``schedulers`` is the number of schedulers that grant these slots. ``start_rate`` is
    the number of requests a second that all targets together take, infinite unless
    each of them limits its rate.
    """

    free: int
    total: int
    holding_ms: float
    schedulers: int = 1
    start_rate: float = math.inf

    def wait_ms(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` requests of the same queue.

        Load patterns: many schedulers at the same full targets. They share both the
        slots that become free and the lack of slots. Targets all of which limit their
        rate; their slots are free, and requests wait all the same.
        """
        started_ms = 1000 * (ahead * self.schedulers + 1) / self.start_rate
        missing = ahead * self.schedulers - self.free + 1
        if missing <= 0 or not self.total:
            return started_ms
        return max(missing * self.holding_ms / self.total, started_ms)


def has_capacity(load: Load) -> bool:
    """Return whether an engine accepts one more prompt of this daemon."""
    queued_ms = load.work_ms + load.peer_work_ms
    if not load.prompts:
        return queued_ms < MAX_QUEUED_BEFORE_FIRST_MS
    return queued_ms < MAX_QUEUED_MS and load.prompts < MAX_PREFILLS


def order_waiting(
    waiting: Iterable[W],
    choose: Callable[[W], Choice | None],
    now: timedelta,
) -> list[W]:
    """Order requests by soft deadline, those that will miss it last.

    Load patterns: a burst beyond the capacity. Serving the oldest request first, or a
    long prompt before many short ones, would make every answer late. A rank counts as
    time, so that no rank starves. Clients that resume streams after a crash, beside
    many new requests. Streams that have begun come first: they are few, late by then,
    and have little time left.
    """

    def score(request: W) -> tuple[bool, bool, timedelta]:
        choice = choose(request)
        finish = choice.finish_ms + FIRST_OUTPUT_MS if choice is not None else 0.0
        cost = choice.cost_ms if choice is not None else 0.0
        is_late = now + timedelta(milliseconds=finish) >= request.soft_deadline
        delay = request.rank * RANK_STEP
        due = request.soft_deadline + delay + timedelta(milliseconds=COST_WEIGHT * cost)
        return request.version is None, is_late, due

    return sorted(waiting, key=score)


def rank_prefill(request: WaitingRequest, cost_ms: float, now: timedelta) -> int:
    """Return the priority of a prompt in an engine's queue, 0 for the highest.

    Load pattern: prompts of very different length at a busy engine. A long prompt
    before many short ones makes them all late; a prompt that will be late anyway loses
    little by waiting longer, unless its stream has begun.
    """
    finish = now + timedelta(milliseconds=cost_ms + FIRST_OUTPUT_MS)
    if request.version is None and finish >= request.soft_deadline:
        return len(PRIORITY_LEVELS_MS) + 1
    return bisect.bisect_left(PRIORITY_LEVELS_MS, cost_ms)


def is_unservable(request: WaitingRequest, finish_ms: float, now: timedelta) -> bool:
    """Return whether a request cannot meet its deadline."""
    finish = now + timedelta(milliseconds=finish_ms + FIRST_OUTPUT_MS)
    return finish >= request.deadline


def find_unservable(
    ordered: list[W],
    choose: Callable[[W], Choice | None],
    now: timedelta,
    slots: SlotCounts | None = None,
) -> list[W]:
    """Return the waiting requests that cannot meet their deadline.

    ``ordered`` is the result of ``order_waiting``. The wait of a request includes the
    work ahead of it at its best target and the requests ahead of it for ``slots``.
    """
    ahead: dict[str, float] = {}
    unservable = []
    first = 0
    for request in ordered:
        choice = choose(request)
        if choice is None:
            continue
        before = ahead.get(choice.target.id, 0.0)
        if slots is not None:
            before = max(before, slots.wait_ms(first))
        if is_unservable(request, before + choice.finish_ms, now):
            unservable.append(request)
            continue
        first += 1
        ahead[choice.target.id] = before + choice.cost_ms
    return unservable


def suggest_retry(
    request: WaitingRequest, backlog_ms: float, now: timedelta, random: Random
) -> timedelta:
    """Return how long a refused client should wait before it retries.

    The delay grows with the backlog; a random factor keeps the clients of a burst
    from returning as one burst.
    """
    wanted = timedelta(milliseconds=backlog_ms) * random.uniform(0.8, 1.4)
    max_delay = (request.deadline - now) * MAX_RETRY_SHARE
    return max(MIN_RETRY_DELAY, min(wanted, max_delay))
