"""Limit the retries of requests by a budget for each service.

The budget of the fleet is a share of the requests in a time window plus a fixed number.
A daemon may use the share of its own requests and an equal part of the fixed number.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = [
    "Budget",
    "RetryBudgetTerms",
    "can_spend",
    "give_back",
    "record_request",
    "spend",
]

# The rest stays unused, as daemons cannot see each other's retries at the edges of the
# window.
USABLE_SHARE = 0.85


@dataclass(slots=True, frozen=True)
class RetryBudgetTerms:
    """Retry budget of the fleet.

    ``share`` is retries per request, ``fixed`` a number of retries per ``window``.
    """

    share: float = 0.2
    fixed: float = 0.0
    window: timedelta = timedelta(seconds=10)


@dataclass(slots=True)
class Budget:
    """Times of one service's requests and retries at this daemon."""

    requests: deque[timedelta] = field(default_factory=deque)
    retries: deque[timedelta] = field(default_factory=deque)


def record_request(budget: Budget, now: timedelta, terms: RetryBudgetTerms) -> None:
    """Count a client's request."""
    budget.requests.append(now)
    _drop_before(budget.requests, now - terms.window)


def can_spend(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    daemons: int,
    count: int = 1,
) -> bool:
    """Return whether the budget allows ``count`` more retries."""
    _drop_before(budget.requests, now - terms.window)
    _drop_before(budget.retries, now - terms.window)
    fixed = terms.fixed / max(daemons, 1)
    allowed = USABLE_SHARE * (terms.share * len(budget.requests) + fixed)
    return len(budget.retries) + count <= allowed


def spend(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    daemons: int,
    count: int = 1,
) -> bool:
    """Take ``count`` retries from the budget; return whether it allowed them."""
    if not can_spend(budget, now, terms, daemons, count):
        return False
    budget.retries.extend([now] * count)
    return True


def give_back(budget: Budget, spent_at: timedelta, count: int) -> None:
    """Return up to ``count`` retries that were taken at a time and not sent."""
    for _ in range(min(count, budget.retries.count(spent_at))):
        budget.retries.remove(spent_at)


def _drop_before(times: deque[timedelta], before: timedelta) -> None:
    while times and times[0] < before:
        times.popleft()
