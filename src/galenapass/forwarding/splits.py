"""Decide how many engines of a service read prompts and how many generate output.

Pure functions; the work is measured where requests are scheduled.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.roles import want_prefill
from galenapass.forwarding.workload import MeasuredDemand

__all__ = [
    "START_SHARE",
    "SplitGoal",
    "EngineSize",
    "estimate_first_output_delay",
    "find_split",
    "follow_goal",
]

# Beyond this utilisation a queue grows without bound, by so much for each further part.
FULL = 0.95
OVERLOAD_MS = 10_000.0
# What comes within seconds is this much more than the mean, now of prompts, now of
# output; a change of role is too slow for it.
BURST = 1.25
# Prompts are of very different length, so the wait is longer than for equal ones.
VARIATION = 1.5
# Part of a run that its first output waits for.
FIRST_SHARE = 0.2
# A failure domain without one of the roles: what is cut off with it cannot be served
# there, and memory moves between domains.
BARE_MS = 60.0
# Engines of each stage, of this many or more, so that one of them can be lost.
SPARE_ENGINES = 2
LEAST_TO_SPARE = 5
# Share that reads at the first start until some work was seen: every prompt has to be
# read then, as no engine keeps anything.
START_SHARE = 2 / 3
# Splits whose delay differs by less are told apart by how much more each can bear.
EQUAL_MS = 10.0
# A change takes engines away for seconds: it has to take this part of the delay off,
# and this much of it, for as long as stands below.
GAIN_SHARE = 0.25
GAIN_LEAST_MS = 20.0
HOLD_TIME = timedelta(seconds=2.5)
# An overload costs more in a second than a change does.
SEVERE_MS = 1000.0
SEVERE_HOLD_TIME = timedelta(seconds=0.75)


@dataclass(slots=True, frozen=True)
class EngineSize:
    """Hold what one engine takes at once: sequences and tokens; 0 if not known."""

    slots: int = 0
    tokens: int = 0


@dataclass(slots=True)
class SplitGoal:
    """Hold the share of engines that are to read, and since when another does better.

    It is None until some work was measured.
    """

    share: float | None = None
    better_since: timedelta | None = None


def estimate_first_output_delay(
    work: MeasuredDemand, reading: int, generating: int, size: EngineSize, domains: int
) -> float:
    """Return the milliseconds by which a split delays the first output.

    Load pattern: a mix of prompts and output that no fixed split suits.
    """
    if not work.decode_rate:
        return 0.0
    read_ms = 1000 * work.prefill_load / work.decode_rate
    used = BURST * work.prefill_load / reading
    slowed, held = _find_output(work, generating, size)
    delay = _estimate_wait(used, reading, read_ms)
    delay += _estimate_output(work, generating, size, slowed, held)
    # Each request needs both stages, so the fuller one decides how many are served.
    over = max(max(used, slowed, held) - FULL, 0.0)
    delay += OVERLOAD_MS * over
    missing = max(domains - generating, 0) + max(domains - reading, 0)
    return delay + BARE_MS * missing / max(domains, 1)


def find_split(
    work: MeasuredDemand, engines: int, size: EngineSize, domains: int
) -> tuple[int, float]:
    """Return how many engines should read, and the delay with that many.

    Load patterns: the loss of the one engine of a stage, for the seconds until another
    one has changed to it; a mix that swings within seconds between prompts and output,
    so that what is left at either stage has to take up the swing.
    """
    spare = SPARE_ENGINES if engines >= LEAST_TO_SPARE else 1
    delays = {
        reading: estimate_first_output_delay(
            work, reading, engines - reading, size, domains
        )
        for reading in range(spare, engines - spare + 1)
    }
    least = min(delays.values())
    equal = [reading for reading, delay in delays.items() if delay <= least + EQUAL_MS]
    best = min(equal, key=lambda n: _find_fullest(work, n, engines - n, size))
    return best, delays[best]


def follow_goal(
    goal: SplitGoal,
    work: MeasuredDemand,
    engines: int,
    size: EngineSize,
    domains: int,
    now: timedelta,
) -> str | None:
    """Take up a better split once it was better for long enough; return why.

    Load pattern: bursts of a few seconds around a mix that moves within minutes.
    """
    if engines < 2 or not work.decode_rate or not work.decode.runs:
        return None
    best, least = find_split(work, engines, size, domains)
    if goal.share is None:
        goal.share = best / engines
        return f"first plan, {_describe(work, best, engines, least)}"
    reading = want_prefill(engines, goal.share)
    delay = estimate_first_output_delay(work, reading, engines - reading, size, domains)
    gain = delay - least
    if best == reading or gain < max(GAIN_SHARE * delay, GAIN_LEAST_MS):
        goal.better_since = None
        return None
    if goal.better_since is None:
        goal.better_since = now
    hold = SEVERE_HOLD_TIME if delay >= SEVERE_MS else HOLD_TIME
    if now - goal.better_since < hold:
        return None
    goal.share, goal.better_since = best / engines, None
    return f"delay {delay:.0f} ms, {_describe(work, best, engines, least)}"


def _estimate_wait(utilisation: float, servers: int, service_ms: float) -> float:
    """Return how long work waits for one of the servers of a queue.

    Sakasegawa's approximation for many servers; it stays the same beyond ``FULL``.
    """
    used = min(utilisation, FULL)
    power = math.sqrt(2 * (servers + 1)) - 1
    return VARIATION * service_ms * used**power / (servers * (1 - used))


def _estimate_output(
    work: MeasuredDemand, engines: int, size: EngineSize, slowed: float, held: float
) -> float:
    """Return how long the engines that generate output delay the first of it.

    Each of them holds as many sequences as arrive while one runs, and each of these
    slows the others.
    """
    alone, _ = work.decode.fit()
    slowed = min(slowed, FULL)
    slots = max(engines * size.slots, engines)
    wait = _estimate_wait(held, slots, alone)
    return wait + FIRST_SHARE * alone * slowed / (1.0 - slowed)


def _find_output(
    work: MeasuredDemand, engines: int, size: EngineSize
) -> tuple[float, float]:
    """Return how much runs slow each other, and the part of an engine that they hold.

    Either is 1 when an engine bears no more.
    """
    if not work.decode_rate:
        return 0.0, 0.0
    alone, growth = work.decode.fit()
    each = (
        BURST * work.decode_rate / engines / 1000
    )  # runs a millisecond at each engine
    slowed = each * growth
    sequences = each * alone / (1.0 - min(slowed, FULL))
    mean_tokens = work.token_rate / work.decode_rate
    by_places = sequences / size.slots if size.slots else 0.0
    by_tokens = sequences * mean_tokens / size.tokens if size.tokens else 0.0
    return slowed, max(by_places, by_tokens)


def _find_fullest(
    work: MeasuredDemand, reading: int, generating: int, size: EngineSize
) -> float:
    """Return the utilisation of the fuller stage; beyond 1 not all is served."""
    return max(
        BURST * work.prefill_load / reading, *_find_output(work, generating, size)
    )


def _describe(work: MeasuredDemand, reading: int, engines: int, delay_ms: float) -> str:
    alone, growth = work.decode.fit()
    return (
        f"{reading} of {engines} read for a delay of {delay_ms:.0f} ms: "
        f"{work.prefill_load:.2f} engines of prompts, {work.decode_rate:.1f} runs/s of "
        f"{alone:.0f} ms and {growth:.1f} ms for each beside"
    )
