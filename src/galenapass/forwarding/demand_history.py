"""Track the peak of a service's demand over a window, and how much it varies.

Pure functions over one history; rates are per second.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from galenapass.forwarding.workload import RATE_DECAY, MeasuredDemand

__all__ = [
    "WINDOW",
    "DemandHistory",
    "find_bursts",
    "find_known_time",
    "find_peak",
    "record_demand",
]

# Load waves last 11 s, and a target that is released has lost its cached parts, so
# the peak counts over several waves.
WINDOW = timedelta(seconds=45)
# Interval between two samples: the mean of a second is less noisy than the size of
# single requests, and short enough to see a burst at once.
SAMPLE_PERIOD = timedelta(milliseconds=950)
# Weight of a sample in the learned variance: 20 samples replace two thirds of it.
VARIANCE_WEIGHT = 0.05
# Variance assumed until it is learned, as of a wave by 28 percent.
INITIAL_VARIANCE = 0.2**2
# Multiple of the standard deviation by which seconds exceed the mean: the peak of a
# sine wave is 1.4 of them, and 0.2 are in the smoothed rate already.
DEVIATIONS = 1.2
# A second beyond this multiple of the smoothed rate is no load: the rate jumps when
# schedulers join or leave the sum.
MAX_RATIO = 2.2

Rates = tuple[float, float]


@dataclass(slots=True)
class DemandHistory:
    """Samples of a service's demand within the window; times are monotonic.

    Pairs of rates are those of prefill and decode. ``recent`` is the demand within the
    last interval between samples, ``variances`` that of the seconds relative to the
    smoothed rates, ``since`` the time of the first sample with any demand and
    ``observed_since`` that of the first sample.
    """

    samples: deque[tuple[timedelta, MeasuredDemand]] = field(default_factory=deque)
    smoothed: Rates = (0.0, 0.0)
    recent: Rates = (0.0, 0.0)
    variances: Rates = (INITIAL_VARIANCE, INITIAL_VARIANCE)
    since: timedelta | None = None
    observed_since: timedelta | None = None


def record_demand(
    history: DemandHistory, measure: Callable[[], MeasuredDemand], now: timedelta
) -> bool:
    """Record the demand if a sample is due; return whether it was.

    Load patterns: a burst, which the smoothed rate follows within five seconds only;
    schedulers that join or leave, whose share appears as a burst of one second.
    """
    previous = history.samples[-1][0] if history.samples else None
    if previous is not None and now - previous < SAMPLE_PERIOD:
        return False
    demand = measure()
    if history.observed_since is None:
        history.observed_since = now
    if history.since is None and demand.decode_rate:
        history.since = now
    smoothed = (demand.prefill_load, demand.decode_rate)
    levels, recent, variances = [], [], []
    for index, rate in enumerate(smoothed):
        before = history.smoothed[index]
        second = _unsmooth(rate, before, previous, now)
        # Two seconds in a row show a burst, one alone may be a scheduler that joined.
        levels.append(max(rate, min(second, history.recent[index])))
        recent.append(second)
        variance = history.variances[index]
        variances.append(_learn_variance(variance, second, rate if before else 0.0))
    history.smoothed, history.recent = smoothed, (recent[0], recent[1])
    history.variances = (variances[0], variances[1])
    growth = levels[1] / demand.decode_rate if demand.decode_rate else 1.0
    sample = replace(
        demand,
        prefill_load=levels[0],
        decode_rate=levels[1],
        token_rate=demand.token_rate * growth,
    )
    history.samples.append((now, sample))
    while now - history.samples[0][0] > WINDOW:
        history.samples.popleft()
    return True


def find_peak(history: DemandHistory) -> MeasuredDemand:
    """Return the highest rate of each stage within the window.

    Load pattern: two kinds of requests that swap within seconds. Each stage has its
    peak, at different times, and roles do not follow so fast.
    """
    samples = [sample for _, sample in history.samples]
    if not samples:
        return MeasuredDemand("")
    return replace(
        samples[-1],
        prefill_load=max(sample.prefill_load for sample in samples),
        decode_rate=max(sample.decode_rate for sample in samples),
        token_rate=max(sample.token_rate for sample in samples),
    )


def find_bursts(history: DemandHistory) -> Rates:
    """Return the demand of a busy second relative to the smoothed one, by stage."""
    prefill, decode = map(math.sqrt, history.variances)
    return 1.0 + DEVIATIONS * prefill, 1.0 + DEVIATIONS * decode


def find_known_time(history: DemandHistory, now: timedelta) -> timedelta:
    """Return for how long the demand is known, 0 while there was none.

    A whole window without any demand is known as well.
    """
    if history.since is not None:
        return now - history.since
    first = history.observed_since
    is_idle = first is not None and now - first >= WINDOW
    return now - first if is_idle and first is not None else timedelta(0)


def _unsmooth(
    rate: float, before: float, previous: timedelta | None, now: timedelta
) -> float:
    """Return the rate since the previous sample, from the two smoothed ones."""
    if previous is None:
        return rate
    weight = math.exp(-((now - previous) / RATE_DECAY))
    return max((rate - before * weight) / (1.0 - weight), 0.0)


def _learn_variance(variance: float, second: float, rate: float) -> float:
    ratio = second / rate if rate else math.inf
    if ratio > MAX_RATIO:
        return variance
    return variance + VARIANCE_WEIGHT * ((ratio - 1.0) ** 2 - variance)
