"""Keep the retry budgets of one daemon, a budget for each service."""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding import retry_budgets
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.retry_budgets import Budget, RetryBudgetTerms
from galenapass.logs import make_log

__all__ = ["RetryAccounts"]

_log = make_log("retries")


class RetryAccounts:
    """Retry budgets of one daemon.

    ``count_daemons`` returns how many daemons share the budgets, None if this one has
    no part in what they share. ``on_decision`` is called with a service and whether its
    budget allowed a retry. At the first start of all daemons, ``is_first_start``, no
    earlier process has sent any retries.
    """

    def __init__(
        self,
        clock: Clock,
        terms: RetryBudgetTerms,
        count_daemons: Callable[[], int | None] = lambda: 1,
        on_decision: Callable[[str, bool], None] = lambda service, is_allowed: None,
        *,
        is_first_start: bool = False,
    ):
        self.terms = terms
        self.count_daemons = count_daemons
        self._clock = clock
        self._on_decision = on_decision
        self._started = clock.monotonic()
        self.fixed_part_from = self._started
        if not is_first_start:
            self.fixed_part_from += terms.window
        self._budgets: dict[str, Budget] = {}

    def record_request(self, request: ForwardedRequest) -> None:
        """Count a client's request."""
        budget = self._find_budget(request)
        retry_budgets.record_request(budget, self._clock.monotonic(), self.terms)

    def can_reserve(self, request: ForwardedRequest) -> bool:
        """Return whether the budget allows a request to be sent again."""
        now = self._clock.monotonic()
        return retry_budgets.can_reserve(
            self._find_budget(request),
            now,
            self.terms,
            self._find_fixed_part(now),
            request.next_retry_cost,
        )

    def reserve(self, request: ForwardedRequest) -> bool:
        """Reserve the cost of a request's next retry; return whether it may be sent.

        This replaces an earlier reservation of the request. Log what the decision rests
        on.
        """
        self.release(request)
        budget = self._find_budget(request)
        now = self._clock.monotonic()
        cost = request.next_retry_cost
        fixed_part = self._find_fixed_part(now)
        is_allowed = retry_budgets.reserve(budget, now, self.terms, fixed_part, cost)
        if is_allowed:
            request.reserved_retries = cost
        self._log_decision(
            "retry is allowed" if is_allowed else "retry is refused", request, cost, now
        )
        self._on_decision(request.service, is_allowed)
        return is_allowed

    def charge(self, request: ForwardedRequest) -> bool:
        """Pay for the next arrival of a request at a target, right before it is sent.

        Return whether the budget allows it. A retry may have waited for a slot since it
        was reserved, and the targets count it as it arrives.
        """
        count = request.next_arrival_retries - request.paid_retries
        if count <= 0:
            return True
        budget = self._find_budget(request)
        now = self._clock.monotonic()
        fixed_part = self._find_fixed_part(now)
        if not retry_budgets.spend(budget, now, self.terms, fixed_part, count):
            self._log_decision("reserved retry has lapsed", request, count, now)
            self._on_decision(request.service, False)
            return False
        request.paid_retries += count
        self._release(request, min(count, request.reserved_retries))
        return True

    def release(self, request: ForwardedRequest) -> None:
        """End the reservation of a request."""
        self._release(request, request.reserved_retries)

    def _release(self, request: ForwardedRequest, count: int) -> None:
        retry_budgets.release(self._find_budget(request), count)
        request.reserved_retries -= count

    def _log_decision(
        self, sentence: str, request: ForwardedRequest, cost: int, now: timedelta
    ) -> None:
        budget = self._find_budget(request)
        _log(
            sentence,
            request=request.id,
            service=request.service,
            cost=cost,
            earned=round(budget.earned.total, 2),
            fixed_part=round(self._find_fixed_part(now), 2),
            used=round(budget.used.total, 2),
            reserved=budget.reserved,
            daemons=self.count_daemons(),
            process_age=(now - self._started).total_seconds(),
        )

    def _find_fixed_part(self, now: timedelta) -> float:
        return retry_budgets.compute_fixed_part(
            self.terms, self.count_daemons(), self.fixed_part_from, now
        )

    def _find_budget(self, request: ForwardedRequest) -> Budget:
        return self._budgets.setdefault(request.service, Budget())
