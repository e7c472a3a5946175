"""Measure the demand for each service, by stage of its requests.

Pure functions over tables; rates are per second, durations in milliseconds.
"""

import math
import operator
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

__all__ = [
    "RATE_DECAY",
    "DecodeStatistics",
    "MeasuredDemand",
    "Rate",
    "ServiceDemand",
    "compute_rate",
    "measure_demand",
    "record_output",
    "record_prompt",
    "record_sequence_end",
    "record_sequence_start",
    "sum_demand",
]

# Time constant of the exponential decay: the mix of prefill and decode shifts within
# seconds, and a role change takes as long.
RATE_DECAY = timedelta(seconds=5)
# A younger rate is too noisy; the requests of one second suffice for planning.
MIN_RATE_AGE = timedelta(milliseconds=900)
# Factor on the weight of older sequences for each new one.
SEQUENCE_DECAY = 0.99
# With a smaller variance of the concurrency, its effect cannot be estimated.
MIN_VARIANCE = 1.0
# Maximum share of the event interval that is attributed to concurrency: an engine
# with a single sequence still needs a part of the time of a full one.
MAX_GROWTH_SHARE = 0.9
SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class Rate:
    """Exponentially decayed sum of amounts; ``since`` is the time of the first one."""

    total: float = 0.0
    at: timedelta | None = None
    since: timedelta | None = None


class DecodeStatistics(NamedTuple):
    """Sums over decoded sequences, for a regression of interval on concurrency.

    ``first_ms`` sums the times to the first event, ``events`` the events after it.
    ``interval_samples`` counts the sequences with several events; ``interval_ms``
    sums their mean time between events, ``concurrency`` the other sequences at the
    engine. ``duration_ms`` sums the durations of finished sequences, ``open_ms`` the
    time that unfinished ones have taken so far.
    """

    sequences: float = 0.0
    first_ms: float = 0.0
    events: float = 0.0
    interval_samples: float = 0.0
    concurrency: float = 0.0
    interval_ms: float = 0.0
    concurrency_squared: float = 0.0
    concurrency_interval: float = 0.0
    duration_ms: float = 0.0
    open_ms: float = 0.0

    def add(self, other: "DecodeStatistics") -> "DecodeStatistics":
        """Return the sums of both."""
        return DecodeStatistics(*map(operator.add, self, other))

    def scale(self, factor: float) -> "DecodeStatistics":
        """Return the sums multiplied by a factor."""
        return DecodeStatistics(*(each * factor for each in self))

    def fit(self) -> tuple[float, float]:
        """Return a sequence's duration alone and its growth per concurrent sequence.

        Both are in milliseconds.

        Load pattern: answers of very different length just after a start. The
        sequences that have ended by then are the short ones, so the unfinished ones
        are included.
        """
        if not self.sequences:
            return 0.0, 0.0
        alone, growth = self._fit_ended()
        open_factor = 1.0 + self.open_ms / self.duration_ms if self.duration_ms else 1.0
        return open_factor * alone, open_factor * growth

    def _fit_ended(self) -> tuple[float, float]:
        events, first_ms = self.events / self.sequences, self.first_ms / self.sequences
        if not self.interval_samples:
            return first_ms, 0.0
        mean_concurrency, mean_interval = (
            self.concurrency / self.interval_samples,
            self.interval_ms / self.interval_samples,
        )
        variance = (
            self.concurrency_squared / self.interval_samples - mean_concurrency**2
        )
        covariance = (
            self.concurrency_interval / self.interval_samples
            - mean_concurrency * mean_interval
        )
        growth = max(covariance / variance, 0.0) if variance > MIN_VARIANCE else 0.0
        if mean_concurrency:
            growth = min(growth, MAX_GROWTH_SHARE * mean_interval / mean_concurrency)
        alone = mean_interval - growth * mean_concurrency
        return first_ms + events * alone, events * growth


@dataclass(slots=True)
class ServiceDemand:
    """Demand for one model service as seen by one scheduler.

    ``start_sum_ms`` is the sum of the start times of the ``open_sequences``, in
    monotonic milliseconds.
    """

    prefill_ms: Rate = field(default_factory=Rate)
    prompts: Rate = field(default_factory=Rate)
    tokens: Rate = field(default_factory=Rate)
    decode: DecodeStatistics = field(default_factory=DecodeStatistics)
    open_sequences: int = 0
    start_sum_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class MeasuredDemand:
    """Demand for one service, as averaged rates.

    ``prefill_load`` is in engines that prefill all the time, ``decode_rate`` in
    sequences per second and ``token_rate`` in KV cache tokens per second; ``decode``
    describes the sequences.
    """

    service: str
    prefill_load: float = 0.0
    decode_rate: float = 0.0
    token_rate: float = 0.0
    decode: DecodeStatistics = DecodeStatistics()


def record_prompt(
    demand: ServiceDemand, cost_ms: float, tokens: int, now: timedelta
) -> None:
    """Record a prompt, its prefill time in milliseconds and its tokens."""
    _add_amount(demand.prefill_ms, cost_ms, now)
    _add_amount(demand.prompts, 1.0, now)
    _add_amount(demand.tokens, tokens, now)


def record_output(
    demand: ServiceDemand,
    concurrency: int,
    first_ms: float,
    after_ms: float,
    events: int,
) -> None:
    """Record a completed sequence: its first event and the events after it."""
    later = max(events - 1, 0)
    sample = DecodeStatistics(
        sequences=1.0, first_ms=first_ms, events=later, duration_ms=first_ms + after_ms
    )
    if later:
        interval_ms = after_ms / later
        sample = sample._replace(
            interval_samples=1.0,
            concurrency=concurrency,
            interval_ms=interval_ms,
            concurrency_squared=concurrency**2,
            concurrency_interval=concurrency * interval_ms,
        )
    demand.decode = demand.decode.scale(SEQUENCE_DECAY).add(sample)


def record_sequence_start(demand: ServiceDemand, at: timedelta) -> None:
    """Record that a sequence starts."""
    demand.open_sequences += 1
    demand.start_sum_ms += at / MILLISECOND


def record_sequence_end(demand: ServiceDemand, started_at: timedelta) -> None:
    """Record that a sequence ended, successfully or not."""
    demand.open_sequences -= 1
    demand.start_sum_ms -= started_at / MILLISECOND


def compute_rate(rate: Rate, now: timedelta) -> float:
    """Return a rate per second, 0 while it is younger than ``MIN_RATE_AGE``."""
    if rate.since is None or rate.at is None or now - rate.since < MIN_RATE_AGE:
        return 0.0
    total = rate.total * _decay(now - rate.at)
    # Normalise by the time since the start; otherwise a young rate would be too low.
    weight = 1.0 - _decay(now - rate.since)
    return total / (RATE_DECAY / SECOND * weight)


def measure_demand(
    service: str, demand: ServiceDemand, now: timedelta
) -> MeasuredDemand:
    """Return the demand for a service as seen by one scheduler."""
    return MeasuredDemand(
        service,
        compute_rate(demand.prefill_ms, now) / 1000,
        compute_rate(demand.prompts, now),
        compute_rate(demand.tokens, now),
        demand.decode._replace(open_ms=_sum_open_ms(demand, now)),
    )


def sum_demand(service: str, demands: Iterable[MeasuredDemand]) -> MeasuredDemand:
    """Return the sum of the demands seen by several schedulers."""
    total = MeasuredDemand(service)
    for demand in demands:
        total = MeasuredDemand(
            service,
            total.prefill_load + demand.prefill_load,
            total.decode_rate + demand.decode_rate,
            total.token_rate + demand.token_rate,
            total.decode.add(demand.decode),
        )
    return total


def _sum_open_ms(demand: ServiceDemand, now: timedelta) -> float:
    """Return the total milliseconds that the open sequences have taken so far."""
    return max(demand.open_sequences * (now / MILLISECOND) - demand.start_sum_ms, 0.0)


def _add_amount(rate: Rate, amount: float, now: timedelta) -> None:
    if rate.since is None or rate.at is None:
        rate.since = rate.at = now
    rate.total = rate.total * _decay(now - rate.at) + amount
    rate.at = now


def _decay(age: timedelta) -> float:
    return math.exp(-max(age / RATE_DECAY, 0.0))
