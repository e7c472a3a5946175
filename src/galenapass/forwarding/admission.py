"""Decide which waiting request starts next and which can no longer be served.

Pure functions over the table of waiting requests; ``wait_ms`` and ``cost_ms`` are
milliseconds, times are monotonic.
"""

import bisect
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Protocol, TypeVar

from galenapass.forwarding.loads import Load
from galenapass.forwarding.placement import Choice

__all__ = [
    "SlotCounts",
    "Returns",
    "Waiting",
    "find_unservable",
    "has_capacity",
    "is_unservable",
    "order_waiting",
    "rank_prefill",
    "suggest_return",
]

# An engine is kept busy by this much work, over all daemons; what is more waits
# here, where a more urgent request can still pass it. Announcements of the others'
# work are up to 0.1 s old.
QUEUED_MS = 300.0
MOST_PREFILLS = 8
# One prompt of each daemon may wait at the engine, as its answer takes a while to
# travel, unless the engine has this much to do.
CROWDED_MS = 900.0
# A less urgent rank waits this much longer than the next more urgent one.
RANK_STEP = timedelta(milliseconds=150)
# A millisecond of an engine's time counts as this much waiting.
COST_WEIGHT = 2.0
# Most work in milliseconds of a prompt at each level of priority, each half as much
# again as the last, from the shortest kind of the sheets to the tightest objective.
LEVELS_MS = (30.0, 45.0, 70.0, 105.0, 160.0, 240.0, 360.0, 540.0)
# Time that output takes after the prompt was read: one hand-over and a step.
OUTPUT_MS = 40.0
# Clients wait at most a third of the time that they have left.
LONGEST_RETURN_SHARE = 1 / 3
SHORTEST_RETURN = timedelta(milliseconds=200)


class Waiting(Protocol):
    """Hold when a request is due, when its client leaves and its urgency."""

    @property
    def soft_deadline(self) -> timedelta:
        """Return the time up to which an answer is worth most."""

    @property
    def deadline(self) -> timedelta:
        """Return when the client leaves."""

    @property
    def rank(self) -> int:
        """Return the urgency, 0 first."""


class Returns:
    """Hold when refused clients were told to come back.

    Load pattern: a burst of refusals within one look at the queue. Told the same
    time, their clients would meet as one burst again.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: list[timedelta] = []

    def note(self, at: timedelta) -> None:
        """Take note of a client that comes back at a time."""
        bisect.insort(self._times, at)

    def count(self, now: timedelta) -> int:
        """Return how many are still to come back."""
        del self._times[: bisect.bisect_right(self._times, now)]
        return len(self._times)


W = TypeVar("W", bound=Waiting)


@dataclass(slots=True, frozen=True)
class SlotCounts:
    """Hold the places for which requests wait: how many, and how long one is held.

    ``free`` is negative while more prompts are read than there are places; ``queues``
    is how many schedulers give these places away.
    """

    free: int
    total: int
    held_ms: float
    queues: int = 1

    def wait_ms(self, ahead: int) -> float:
        """Return how long a request waits with so many before it in its own queue.

        Load pattern: many schedulers at the same full targets. Places that come free
        are shared among them, and so is what is missing.
        """
        missing = ahead * self.queues - self.free + 1
        if missing <= 0 or not self.total:
            return 0.0
        return missing * self.held_ms / self.total


def has_capacity(load: Load) -> bool:
    """Tell whether an engine takes one more prompt of this daemon."""
    known = load.work_ms + load.peer_work_ms
    if not load.prompts:
        return known < CROWDED_MS
    return known < QUEUED_MS and load.prompts < MOST_PREFILLS


def order_waiting(
    waiting: Iterable[W],
    choose: Callable[[W], Choice | None],
    now: timedelta,
) -> list[W]:
    """Order requests by what they are due, those that will be late last.

    Load pattern: a burst beyond the capacity. Serving the oldest first would make
    every answer late; so does a long prompt before many short ones. A rank counts
    as time, so that no kind is shut out.
    """

    def score(request: W) -> tuple[bool, timedelta]:
        choice = choose(request)
        finish = choice.finish_ms + OUTPUT_MS if choice is not None else 0.0
        cost = choice.cost_ms if choice is not None else 0.0
        is_late = now + timedelta(milliseconds=finish) >= request.soft_deadline
        delay = request.rank * RANK_STEP
        return is_late, request.soft_deadline + delay + timedelta(
            milliseconds=COST_WEIGHT * cost
        )

    return sorted(waiting, key=score)


def rank_prefill(request: Waiting, cost_ms: float, now: timedelta) -> int:
    """Return the priority of a prompt among those that wait at an engine, 0 first.

    Load pattern: prompts of very different length at a busy engine. A long one
    before many short ones makes them all late; one that will be late anyway loses
    little by waiting longer.
    """
    if now + timedelta(milliseconds=cost_ms + OUTPUT_MS) >= request.soft_deadline:
        return len(LEVELS_MS) + 1
    return bisect.bisect_left(LEVELS_MS, cost_ms)


def is_unservable(request: Waiting, finish_ms: float, now: timedelta) -> bool:
    """Tell whether a request cannot be answered before its client leaves."""
    finish = now + timedelta(milliseconds=finish_ms + OUTPUT_MS)
    return finish >= request.deadline


def find_unservable(
    ordered: list[W],
    choose: Callable[[W], Choice | None],
    now: timedelta,
    slots: SlotCounts | None = None,
) -> list[W]:
    """Return the waiting requests that are known not to be servable in time.

    ``ordered`` is as ``order_waiting`` gives it; the work ahead of a request at
    its best target adds to its wait, and so do those that get ``slots`` first.
    """
    ahead: dict[str, float] = {}
    hopeless = []
    first = 0
    for request in ordered:
        choice = choose(request)
        if choice is None:
            continue
        before = ahead.get(choice.target.id, 0.0)
        if slots is not None:
            before = max(before, slots.wait_ms(first))
        if is_unservable(request, before + choice.finish_ms, now):
            hopeless.append(request)
            continue
        first += 1
        ahead[choice.target.id] = before + choice.cost_ms
    return hopeless


def suggest_return(
    request: Waiting, backlog_ms: float, now: timedelta, random: Random
) -> timedelta:
    """Return when a refused client should come back: as the backlog has cleared.

    The spread keeps the clients of one burst from coming back as one burst.
    """
    wanted = timedelta(milliseconds=backlog_ms) * random.uniform(0.8, 1.4)
    longest = (request.deadline - now) * LONGEST_RETURN_SHARE
    return max(SHORTEST_RETURN, min(wanted, longest))
