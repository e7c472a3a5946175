"""Bound the sends beyond the first of each request, for each service.

The fleet's budget is a share of the requests and a fixed part within a window;
a daemon spends the share of its own requests and an even part of the rest.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Budget", "RetryBudgetTerms", "can_spend", "record_request", "spend"]

# Left unspent for what daemons cannot know of each other at the window's edges.
USABLE_SHARE = 0.85


@dataclass(slots=True, frozen=True)
class RetryBudgetTerms:
    """Hold the fleet's budget: a share of requests, a fixed part, the window."""

    share: float = 0.2
    fixed: float = 0.0
    window: timedelta = timedelta(seconds=10)


@dataclass(slots=True)
class Budget:
    """Hold the times of one service's requests and repeats at this daemon."""

    requests: deque[timedelta] = field(default_factory=deque)
    repeats: deque[timedelta] = field(default_factory=deque)


def record_request(budget: Budget, now: timedelta, terms: RetryBudgetTerms) -> None:
    """Count a request of a client."""
    budget.requests.append(now)
    _forget(budget.requests, now - terms.window)


def can_spend(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    daemons: int,
    count: int = 1,
) -> bool:
    """Tell whether the budget has room for so many repeats."""
    _forget(budget.requests, now - terms.window)
    _forget(budget.repeats, now - terms.window)
    fixed = terms.fixed / max(daemons, 1)
    allowed = USABLE_SHARE * (terms.share * len(budget.requests) + fixed)
    return len(budget.repeats) + count <= allowed


def spend(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    daemons: int,
    count: int = 1,
) -> bool:
    """Take repeats out of the budget, or tell that there are not so many."""
    if not can_spend(budget, now, terms, daemons, count):
        return False
    budget.repeats.extend([now] * count)
    return True


def _forget(times: deque[timedelta], before: timedelta) -> None:
    while times and times[0] < before:
        times.popleft()
