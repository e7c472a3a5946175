"""Decide how many engines of a service prefill and how many decode.

Pure functions; the demand is measured by the schedulers.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.roles import count_prefill_engines
from galenapass.forwarding.workload import MeasuredDemand

__all__ = [
    "BURST_FACTOR",
    "INITIAL_PREFILL_SHARE",
    "EngineSize",
    "SplitGoal",
    "estimate_first_output_delay",
    "find_split",
    "update_goal",
]

# Above this utilisation a queue grows without bound.
MAX_UTILISATION = 0.95
# Delay per unit of utilisation above the maximum.
OVERLOAD_MS = 10_000.0
# Peak demand of either stage within seconds, relative to the mean; a role change is
# too slow to follow it.
BURST_FACTOR = 1.25
# Prompts differ widely in length, so they wait longer than equal ones would.
SERVICE_TIME_VARIATION = 1.5
# Share of a sequence's duration by which its first output is delayed.
FIRST_OUTPUT_SHARE = 0.2
# Cost of a failure domain without one of the roles: a domain that is cut off cannot
# serve on its own, and KV caches are transferred between domains.
MISSING_ROLE_MS = 60.0
# Engines per role in a service of at least ``MIN_ENGINES_FOR_SPARES`` engines, so
# that each role survives the loss of one.
MIN_ENGINES_PER_ROLE = 2
MIN_ENGINES_FOR_SPARES = 5
# Prefill share at the first start until demand is measured: no engine has cached
# anything yet, so every prompt is prefilled in full.
INITIAL_PREFILL_SHARE = 2 / 3
# Splits whose delays differ by less are compared by their spare capacity.
EQUAL_DELAY_MS = 10.0
# A role change takes engines out of service for seconds. A new split must reduce the
# delay by this share and by this many milliseconds during ``HOLD_TIME``.
MIN_GAIN_SHARE = 0.25
MIN_GAIN_MS = 20.0
HOLD_TIME = timedelta(seconds=2.5)
# A second of overload costs more than a role change.
SEVERE_DELAY_MS = 1000.0
SEVERE_HOLD_TIME = timedelta(seconds=0.75)


@dataclass(slots=True, frozen=True)
class EngineSize:
    """Capacity of one engine: concurrent sequences and cache tokens; 0 if unknown."""

    slots: int = 0
    tokens: int = 0


@dataclass(slots=True)
class SplitGoal:
    """Target share of prefill engines, and since when another split is better.

    The share is None until demand is measured.
    """

    share: float | None = None
    better_since: timedelta | None = None


def estimate_first_output_delay(
    demand: MeasuredDemand,
    prefill_engines: int,
    decode_engines: int,
    size: EngineSize,
    domains: int,
) -> float:
    """Return the milliseconds by which a split delays the first output.

    Load pattern: a mix of prefill and decode that no fixed split suits.
    """
    if not demand.decode_rate:
        return 0.0
    prefill_ms = 1000 * demand.prefill_load / demand.decode_rate
    used = BURST_FACTOR * demand.prefill_load / prefill_engines
    slowdown, occupancy = _find_decode_utilisation(demand, decode_engines, size)
    delay = _estimate_queue_wait(used, prefill_engines, prefill_ms)
    delay += _estimate_decode_delay(demand, decode_engines, size, slowdown, occupancy)
    # Each request needs both stages, so the busier one limits the throughput.
    over = max(max(used, slowdown, occupancy) - MAX_UTILISATION, 0.0)
    delay += OVERLOAD_MS * over
    missing = max(domains - decode_engines, 0) + max(domains - prefill_engines, 0)
    return delay + MISSING_ROLE_MS * missing / max(domains, 1)


def find_split(
    demand: MeasuredDemand, engines: int, size: EngineSize, domains: int
) -> tuple[int, float]:
    """Return the best number of prefill engines, and the delay with that number.

    Load patterns: the loss of the only engine of a stage, for the seconds until another
    engine has changed its role; a mix that shifts within seconds between prefill and
    decode, so that the spare capacity of either stage has to absorb the shift.
    """
    spare = MIN_ENGINES_PER_ROLE if engines >= MIN_ENGINES_FOR_SPARES else 1
    delays = {
        prefill_engines: estimate_first_output_delay(
            demand, prefill_engines, engines - prefill_engines, size, domains
        )
        for prefill_engines in range(spare, engines - spare + 1)
    }
    min_delay = min(delays.values())
    equal = [
        prefill_engines
        for prefill_engines, delay in delays.items()
        if delay <= min_delay + EQUAL_DELAY_MS
    ]
    best = min(equal, key=lambda n: _find_bottleneck(demand, n, engines - n, size))
    return best, delays[best]


def update_goal(
    goal: SplitGoal,
    demand: MeasuredDemand,
    engines: int,
    size: EngineSize,
    domains: int,
    now: timedelta,
) -> str | None:
    """Adopt a better split after its hold time; return the reason, None if unchanged.

    Load pattern: bursts of a few seconds around a mix that changes within minutes.
    """
    if engines < 2 or not demand.decode_rate or not demand.decode.sequences:
        return None
    best, min_delay = find_split(demand, engines, size, domains)
    if goal.share is None:
        goal.share = best / engines
        return f"first split, {_describe_split(demand, best, engines, min_delay)}"
    prefill_engines = count_prefill_engines(engines, goal.share)
    delay = estimate_first_output_delay(
        demand, prefill_engines, engines - prefill_engines, size, domains
    )
    gain = delay - min_delay
    if best == prefill_engines or gain < max(MIN_GAIN_SHARE * delay, MIN_GAIN_MS):
        goal.better_since = None
        return None
    if goal.better_since is None:
        goal.better_since = now
    hold = SEVERE_HOLD_TIME if delay >= SEVERE_DELAY_MS else HOLD_TIME
    if now - goal.better_since < hold:
        return None
    goal.share, goal.better_since = best / engines, None
    return f"delay {delay:.0f} ms, {_describe_split(demand, best, engines, min_delay)}"


def _estimate_queue_wait(utilisation: float, servers: int, service_ms: float) -> float:
    """Return the mean wait in a queue with several servers, in milliseconds.

    Uses Sakasegawa's approximation, capped at ``MAX_UTILISATION``.
    """
    used = min(utilisation, MAX_UTILISATION)
    power = math.sqrt(2 * (servers + 1)) - 1
    return SERVICE_TIME_VARIATION * service_ms * used**power / (servers * (1 - used))


def _estimate_decode_delay(
    demand: MeasuredDemand,
    engines: int,
    size: EngineSize,
    slowdown: float,
    occupancy: float,
) -> float:
    """Return the milliseconds by which decode engines delay the first output.

    Each engine holds the sequences that arrive while one is decoded, and they slow
    each other down.
    """
    alone, _ = demand.decode.fit()
    slowdown = min(slowdown, MAX_UTILISATION)
    slots = max(engines * size.slots, engines)
    wait = _estimate_queue_wait(occupancy, slots, alone)
    return wait + FIRST_OUTPUT_SHARE * alone * slowdown / (1.0 - slowdown)


def _find_decode_utilisation(
    demand: MeasuredDemand, engines: int, size: EngineSize
) -> tuple[float, float]:
    """Return the mutual slowdown of sequences and the occupancy of a decode engine.

    Either reaches 1 when an engine is saturated.
    """
    if not demand.decode_rate:
        return 0.0, 0.0
    alone, growth = demand.decode.fit()
    # Sequences that arrive at each engine per millisecond.
    arrivals_per_ms = BURST_FACTOR * demand.decode_rate / engines / 1000
    slowdown = arrivals_per_ms * growth
    sequences = arrivals_per_ms * alone / (1.0 - min(slowdown, MAX_UTILISATION))
    mean_tokens = demand.token_rate / demand.decode_rate
    slot_occupancy = sequences / size.slots if size.slots else 0.0
    token_occupancy = sequences * mean_tokens / size.tokens if size.tokens else 0.0
    return slowdown, max(slot_occupancy, token_occupancy)


def _find_bottleneck(
    demand: MeasuredDemand, prefill_engines: int, decode_engines: int, size: EngineSize
) -> float:
    """Return the utilisation of the busier stage; above 1 it is overloaded."""
    return max(
        BURST_FACTOR * demand.prefill_load / prefill_engines,
        *_find_decode_utilisation(demand, decode_engines, size),
    )


def _describe_split(
    demand: MeasuredDemand, prefill_engines: int, engines: int, delay_ms: float
) -> str:
    alone, growth = demand.decode.fit()
    return (
        f"{prefill_engines} of {engines} engines prefill "
        f"for a delay of {delay_ms:.0f} ms: "
        f"prefill load {demand.prefill_load:.2f} engines, "
        f"{demand.decode_rate:.1f} sequences/s of {alone:.0f} ms, "
        f"plus {growth:.1f} ms per concurrent sequence"
    )
