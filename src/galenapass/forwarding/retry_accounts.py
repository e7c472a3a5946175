"""Keep the retry budgets of one daemon, a budget for each service."""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding import retry_budgets
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.retry_budgets import Budget, RetryBudgetTerms
from galenapass.logs import make_log

__all__ = ["RetryAccounts"]

# Daemons assumed until the host list is read: a daemon that has just started uses at
# most 1/10 of the fixed part of the retry budget.
DEFAULT_DAEMON_COUNT = 10

_log = make_log("retries")


class RetryAccounts:
    """Retry budgets of one daemon.

    ``daemons`` is the number of daemons that share the budgets. ``on_decision`` is
    called with a service and whether its budget allowed a retry.
    """

    def __init__(
        self,
        clock: Clock,
        terms: RetryBudgetTerms,
        on_decision: Callable[[str, bool], None] = lambda service, is_allowed: None,
    ):
        self.terms = terms
        self.daemons = DEFAULT_DAEMON_COUNT
        self._clock = clock
        self._on_decision = on_decision
        self._started = clock.monotonic()
        self._budgets: dict[str, Budget] = {}

    def record_request(self, request: ForwardedRequest) -> None:
        """Count a client's request."""
        budget = self._find_budget(request)
        retry_budgets.record_request(budget, self._clock.monotonic(), self.terms)

    def can_spend(self, request: ForwardedRequest) -> bool:
        """Return whether the budget allows a request to be sent again."""
        return retry_budgets.can_spend(
            self._find_budget(request),
            self._clock.monotonic(),
            self.terms,
            self.daemons,
            request.next_retry_cost,
        )

    def spend(self, request: ForwardedRequest, now: timedelta) -> bool:
        """Take the cost of the next retry of a request; return whether it may be sent.

        Log what the decision rests on.
        """
        budget = self._find_budget(request)
        cost = request.next_retry_cost
        is_allowed = retry_budgets.spend(budget, now, self.terms, self.daemons, cost)
        _log(
            "retry is allowed" if is_allowed else "retry is refused",
            request=request.id,
            service=request.service,
            cost=cost,
            requests=len(budget.requests),
            retries=len(budget.retries),
            daemons=self.daemons,
            process_age=(now - self._started).total_seconds(),
        )
        self._on_decision(request.service, is_allowed)
        return is_allowed

    def give_back(
        self, request: ForwardedRequest, spent_at: timedelta, count: int
    ) -> None:
        """Return up to ``count`` retries that were taken at a time and not sent."""
        retry_budgets.give_back(self._find_budget(request), spent_at, count)
        _log("retries are given back", request=request.id, count=count)

    def _find_budget(self, request: ForwardedRequest) -> Budget:
        return self._budgets.setdefault(request.service, Budget())
