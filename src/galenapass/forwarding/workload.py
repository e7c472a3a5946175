"""Measure the work that the requests for a service bring, stage by stage.

Pure functions over tables; rates are per second, durations in milliseconds.
"""

import math
import operator
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

__all__ = [
    "Rate",
    "DecodeStatistics",
    "ServiceDemand",
    "MeasuredDemand",
    "sum_demand",
    "measure_demand",
    "note_end",
    "record_output",
    "note_prompt",
    "note_start",
    "read_rate",
]

# The mix of prompts and output swings within seconds, a change of role takes as long.
RATE_DECAY = timedelta(seconds=5)
# Before this time a rate says too little; a second's requests are enough to plan.
SHORTEST_RATE = timedelta(milliseconds=900)
# Weight that older runs keep with each new one in the model of runs.
RUN_DECAY = 0.99
# Variance of the sequences beside a run below which their effect is not told.
LEAST_SPREAD = 1.0
# Even an engine with one sequence takes a part of the time of a full one.
MOST_GROWTH = 0.9
SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)


@dataclass(slots=True)
class Rate:
    """Hold a rate that follows its amounts with a decay; ``since`` is its start."""

    total: float = 0.0
    at: timedelta | None = None
    since: timedelta | None = None


class DecodeStatistics(NamedTuple):
    """Hold sums over runs: the time to the first event, the events after it.

    ``gap`` sums the mean time between two events of a run and ``beside`` the
    sequences beside it; a line through both tells how sequences slow each other.
    ``took`` sums the durations of the runs, ``open`` those so far of runs that go on.
    """

    runs: float = 0.0
    first: float = 0.0
    events: float = 0.0
    gaps: float = 0.0
    beside: float = 0.0
    gap: float = 0.0
    beside_squared: float = 0.0
    beside_gap: float = 0.0
    took: float = 0.0
    open: float = 0.0

    def join(self, other: "DecodeStatistics") -> "DecodeStatistics":
        """Return the sums over both."""
        return DecodeStatistics(*map(operator.add, self, other))

    def scale(self, factor: float) -> "DecodeStatistics":
        """Return the sums with less weight."""
        return DecodeStatistics(*(each * factor for each in self))

    def fit(self) -> tuple[float, float]:
        """Return a run's duration alone and its growth with each run beside it.

        Load pattern: answers of very different length just after a start. The runs
        that ended by then are the short ones, so those that go on count as well.
        """
        if not self.runs:
            return 0.0, 0.0
        alone, growth = self._fit_ended()
        longer = 1.0 + self.open / self.took if self.took else 1.0
        return longer * alone, longer * growth

    def _fit_ended(self) -> tuple[float, float]:
        events, first = self.events / self.runs, self.first / self.runs
        if not self.gaps:
            return first, 0.0
        mean_beside, mean_gap = self.beside / self.gaps, self.gap / self.gaps
        spread = self.beside_squared / self.gaps - mean_beside**2
        shared = self.beside_gap / self.gaps - mean_beside * mean_gap
        growth = max(shared / spread, 0.0) if spread > LEAST_SPREAD else 0.0
        if mean_beside:
            growth = min(growth, MOST_GROWTH * mean_gap / mean_beside)
        alone = mean_gap - growth * mean_beside
        return first + events * alone, events * growth


@dataclass(slots=True)
class ServiceDemand:
    """Hold the demand for one model service as one scheduler sees it.

    ``started_ms`` sums when the ``open_runs`` began, in monotonic milliseconds.
    """

    reading: Rate = field(default_factory=Rate)
    prompts: Rate = field(default_factory=Rate)
    tokens: Rate = field(default_factory=Rate)
    runs: DecodeStatistics = field(default_factory=DecodeStatistics)
    open_runs: int = 0
    started_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class MeasuredDemand:
    """Hold the demand for one service over some time.

    ``prefill_load`` is in engines that prefill all the time, ``decode_rate`` in
    sequences per second and ``token_rate`` in KV cache tokens per second; ``decode``
    describes the sequences.
    """

    service: str
    prefill_load: float = 0.0
    decode_rate: float = 0.0
    token_rate: float = 0.0
    decode: DecodeStatistics = DecodeStatistics()


def note_prompt(
    demand: ServiceDemand, cost_ms: float, tokens: int, now: timedelta
) -> None:
    """Count a prompt and what reading it costs."""
    _add(demand.reading, cost_ms, now)
    _add(demand.prompts, 1.0, now)
    _add(demand.tokens, tokens, now)


def record_output(
    demand: ServiceDemand, beside: int, first_ms: float, after_ms: float, events: int
) -> None:
    """Learn from a run that was complete: its first event and those after it."""
    later = max(events - 1, 0)
    sample = DecodeStatistics(
        runs=1.0, first=first_ms, events=later, took=first_ms + after_ms
    )
    if later:
        gap = after_ms / later
        sample = sample._replace(
            gaps=1.0,
            beside=beside,
            gap=gap,
            beside_squared=beside**2,
            beside_gap=beside * gap,
        )
    demand.runs = demand.runs.scale(RUN_DECAY).join(sample)


def note_start(demand: ServiceDemand, at: timedelta) -> None:
    """Count a run that begins."""
    demand.open_runs += 1
    demand.started_ms += at / MILLISECOND


def note_end(demand: ServiceDemand, started_at: timedelta) -> None:
    """Count a run that began at a time and goes on no more, however it ended."""
    demand.open_runs -= 1
    demand.started_ms -= started_at / MILLISECOND


def read_rate(rate: Rate, now: timedelta) -> float:
    """Return a rate a second, 0 while it is too young to say."""
    if rate.since is None or rate.at is None or now - rate.since < SHORTEST_RATE:
        return 0.0
    total = rate.total * _decay(now - rate.at)
    # The weight of the time since its start, so that a young rate is not too low.
    weight = 1.0 - _decay(now - rate.since)
    return total / (RATE_DECAY / SECOND * weight)


def measure_demand(
    service: str, demand: ServiceDemand, now: timedelta
) -> MeasuredDemand:
    """Return what one scheduler sees."""
    return MeasuredDemand(
        service,
        read_rate(demand.reading, now) / 1000,
        read_rate(demand.prompts, now),
        read_rate(demand.tokens, now),
        demand.runs._replace(open=_sum_open(demand, now)),
    )


def sum_demand(service: str, parts: Iterable[MeasuredDemand]) -> MeasuredDemand:
    """Return the demand that several schedulers see together."""
    total = MeasuredDemand(service)
    for part in parts:
        total = MeasuredDemand(
            service,
            total.prefill_load + part.prefill_load,
            total.decode_rate + part.decode_rate,
            total.token_rate + part.token_rate,
            total.decode.join(part.decode),
        )
    return total


def _sum_open(demand: ServiceDemand, now: timedelta) -> float:
    """Return for how many milliseconds the open runs have gone on, all together."""
    return max(demand.open_runs * (now / MILLISECOND) - demand.started_ms, 0.0)


def _add(rate: Rate, amount: float, now: timedelta) -> None:
    if rate.since is None or rate.at is None:
        rate.since = rate.at = now
    rate.total = rate.total * _decay(now - rate.at) + amount
    rate.at = now


def _decay(age: timedelta) -> float:
    return math.exp(-max(age / RATE_DECAY, 0.0))
