"""Check the arrivals at targets against the retry budget of the fleet."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from stand_ins.runner import Arrival

__all__ = ["RetryUse", "find_excess_retries", "list_retries", "measure_retry_use"]


@dataclass(slots=True, frozen=True)
class RetryUse:
    """Window in which a service got the most retries of what its budget allows."""

    service: str
    start: float
    retries: int
    requests: int
    allowed: float

    @property
    def share(self) -> float:
        """Return the part of the allowed retries that arrived."""
        return self.retries / self.allowed if self.allowed else float(self.retries)


def list_retries(arrivals: Iterable[Arrival]) -> list[float]:
    """Return the times of the arrivals beyond the first of their requests, in order.

    The first prefill of a request that a target accepts is not counted.
    """
    counted: set[str] = set()
    prefilled: set[str] = set()
    times = []
    for arrival in sorted(arrivals, key=lambda one: one.at):
        if arrival.is_prefilled and arrival.attempt not in prefilled:
            prefilled.add(arrival.attempt)
        elif arrival.attempt in counted:
            times.append(arrival.at)
        else:
            counted.add(arrival.attempt)
    return times


def measure_retry_use(
    service: str,
    retries: list[float],
    requests: list[float],
    terms: RetryBudgetTerms,
) -> RetryUse:
    """Return the fullest window of a service.

    ``retries`` and ``requests`` are times in seconds, in order. The requests of a
    window are those in it, in the one before or in the one half a window before,
    whichever has most.
    """
    window = terms.window.total_seconds()
    uses = []
    for number, start in enumerate(retries):
        count = bisect_right(retries, start + window) - number
        received = max(
            bisect_right(requests, start - back + window)
            - bisect_left(requests, start - back)
            for back in (0, window / 2, window)
        )
        allowed = terms.share * received + terms.fixed
        uses.append(RetryUse(service, start, count, received, allowed))
    empty = RetryUse(service, 0.0, 0, len(requests), terms.fixed)
    return max(uses, key=lambda use: use.share, default=empty)


def find_excess_retries(
    arrivals: Mapping[str, Iterable[Arrival]],
    requests: Mapping[str, list[float]],
    terms: RetryBudgetTerms,
) -> list[str]:
    """Return the services whose fullest window has more retries than are allowed.

    ``arrivals`` are those at the targets of each service, ``requests`` the times at
    which clients sent requests to it, both in seconds of the same clock.
    """
    excess = []
    for service, service_arrivals in arrivals.items():
        sent = sorted(requests.get(service, []))
        use = measure_retry_use(service, list_retries(service_arrivals), sent, terms)
        if use.retries > use.allowed:
            excess.append(
                f"{service}: {use.retries} arrivals beyond the first of their request"
                f" from {use.start:.2f} s, for {use.requests} requests; allowed"
                f" {use.allowed:.0f}"
            )
    return excess
