"""Limit the retries of requests by a budget for each service.

In any window the retries of the fleet are limited to a share of the requests in that
window, or in the one before it, plus a fixed number. A daemon may be killed at any
time, and the next process on its host does not know which retries it has sent. So the
limits are kept by the sum over all processes of a host:

- A request earns half of its share of a retry, which lapses after a window. The retries
  of a window were earned in it or in the window before it.
- A process uses its host's part of the fixed number only after its first window. The
  retries of earlier processes are in other windows by then.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = [
    "Budget",
    "LapsingAmounts",
    "RetryBudgetTerms",
    "can_reserve",
    "compute_fixed_part",
    "record_request",
    "release",
    "reserve",
    "spend",
]

# Share that a request earns: the retries of one window may have been earned in two.
EARNED_SHARE = 0.5
# Sums of many earned amounts are this exact.
_TOLERANCE = 1e-6


@dataclass(slots=True, frozen=True)
class RetryBudgetTerms:
    """Retry budget of the fleet.

    ``share`` is retries per request, ``fixed`` a number of retries per ``window``.
    """

    share: float = 0.2
    fixed: float = 0.0
    window: timedelta = timedelta(seconds=10)


@dataclass(slots=True)
class LapsingAmounts:
    """Amounts with the times at which they were added, oldest first, and their sum."""

    entries: deque[tuple[timedelta, float]] = field(default_factory=deque)
    total: float = 0.0


@dataclass(slots=True)
class Budget:
    """Retries of one service at this daemon.

    ``earned`` is what requests have earned and no retry has used, ``used`` what
    retries have used of the fixed part in the last window. ``reserved`` is the number
    of retries that were decided and are not sent yet.
    """

    earned: LapsingAmounts = field(default_factory=LapsingAmounts)
    used: LapsingAmounts = field(default_factory=LapsingAmounts)
    reserved: int = 0


def compute_fixed_part(
    terms: RetryBudgetTerms,
    daemons: int | None,
    usable_from: timedelta,
    now: timedelta,
) -> float:
    """Return a daemon's part of the fixed number of retries in a window.

    It is 0 before ``usable_from``, when the first window of the process ends, and where
    the number of daemons that share it is unknown.
    """
    if daemons is None or now < usable_from:
        return 0.0
    return terms.fixed / daemons


def record_request(budget: Budget, now: timedelta, terms: RetryBudgetTerms) -> None:
    """Count a client's request."""
    _lapse(budget.earned, now - terms.window)
    _add(budget.earned, now, EARNED_SHARE * terms.share)


def can_reserve(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    fixed_part: float,
    count: int = 1,
) -> bool:
    """Return whether the budget allows ``count`` more retries besides the reserved."""
    balance = _find_balance(budget, now, terms, fixed_part)
    return budget.reserved + count <= balance + _TOLERANCE


def reserve(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    fixed_part: float,
    count: int = 1,
) -> bool:
    """Reserve ``count`` retries; return whether the budget allows them."""
    if not can_reserve(budget, now, terms, fixed_part, count):
        return False
    budget.reserved += count
    return True


def release(budget: Budget, count: int) -> None:
    """End the reservation of ``count`` retries, which were sent or are not needed."""
    budget.reserved -= count


def spend(
    budget: Budget,
    now: timedelta,
    terms: RetryBudgetTerms,
    fixed_part: float,
    count: int = 1,
) -> bool:
    """Take ``count`` retries as they are sent; return whether the budget allows them.

    What was reserved long ago may have lapsed.
    """
    if count > _find_balance(budget, now, terms, fixed_part) + _TOLERANCE:
        return False
    missing = _take_oldest(budget.earned, count)
    if missing > 0:
        _add(budget.used, now, missing)
    return True


def _find_balance(
    budget: Budget, now: timedelta, terms: RetryBudgetTerms, fixed_part: float
) -> float:
    _lapse(budget.earned, now - terms.window)
    _lapse(budget.used, now - terms.window)
    return budget.earned.total + max(fixed_part - budget.used.total, 0.0)


def _add(amounts: LapsingAmounts, now: timedelta, amount: float) -> None:
    amounts.entries.append((now, amount))
    amounts.total += amount


def _lapse(amounts: LapsingAmounts, before: timedelta) -> None:
    while amounts.entries and amounts.entries[0][0] < before:
        amounts.total -= amounts.entries.popleft()[1]
    if not amounts.entries:
        amounts.total = 0.0


def _take_oldest(amounts: LapsingAmounts, count: float) -> float:
    """Remove an amount, the oldest entries first; return what is missing of it."""
    while count > 0 and amounts.entries:
        at, amount = amounts.entries.popleft()
        taken = min(amount, count)
        amounts.total -= taken
        count -= taken
        if amount > taken:
            amounts.entries.appendleft((at, amount - taken))
    if not amounts.entries:
        amounts.total = 0.0
    return count
