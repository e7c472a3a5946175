"""Decide how many targets a service needs, in which failure domains and of which kind.

Pure functions. A subject is a domain and whether its targets are reclaimable; orders
count the targets of each subject apart.
"""

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

from galenapass.forwarding import splits
from galenapass.forwarding.routes import Scaling
from galenapass.forwarding.splits import EngineSize
from galenapass.forwarding.workload import MeasuredDemand

__all__ = [
    "Placement",
    "SizeGoal",
    "SizeInputs",
    "SizeNeed",
    "SizePlan",
    "Subject",
    "compute_price",
    "count_needed",
    "find_sizes",
    "is_enough",
    "update_plan",
]

# Shares of the latency objective that all targets, and those left after a loss, may
# delay the first output. Before a loss there has to be time for a retry.
DELAY_SHARE = 0.1
REDUCED_DELAY_SHARE = 0.25
# A quarter of the targets may crash at once.
CRASH_SHARE = 0.25
# With one of each role, a domain that is cut off serves on its own.
MIN_ENGINES_PER_DOMAIN = 2
MIN_PLAIN_PER_DOMAIN = 1
# Targets beyond the needed number that are tried, and as many as must be left after a
# loss: with more targets, more of them may be in the cheapest domains.
MAX_EXTRA_TARGETS = 12
# Numbers of targets that are tried between the least and the most.
MAX_TOTALS = 24
# Relative change of a part of the demand from which the need is computed again.
NEED_STEP = 0.02
# Caches of engines as a multiple of all shared parts. Parts of single requests take the
# rest; with less, shared parts are evicted and read again, which is not measured.
CACHES_PER_SHARED = 2.0
# Price of a domain for which the configuration names none.
DEFAULT_PRICE = 1.0
# Released targets lose what they cached and take seconds to start again, so sizes
# shrink rarely, and not for less than this share of the price.
MIN_SAVING = 0.1
HOLD_TIME = timedelta(seconds=45)
# The rates of some seconds show the mean of the load.
MIN_KNOWN_TIME = timedelta(seconds=4)

MILLISECOND = timedelta(milliseconds=1)

Subject = tuple[str, bool]
Placement = Mapping[Subject, int]


@dataclass(slots=True, frozen=True)
class SizeGoal:
    """Number of targets wanted of one kind in one domain."""

    domain: str
    reclaimable: bool
    count: int


@dataclass(slots=True, frozen=True)
class SizeInputs:
    """What a size depends on.

    ``peak`` is the highest demand of the ``window``, ``bursts`` the demand of a busy
    second relative to it, of prefill and decode. ``shared_tokens`` are those of all
    shared prompt parts, which new targets read once, and ``shared_ms`` the time of one
    engine for that.
    ``objective`` is the latency objective of the most urgent requests, ``size`` that
    of one target. ``kept`` targets stay; ``unavailable`` maps the subjects of which
    there are no more now to the number there.
    """

    is_model: bool
    scaling: Scaling
    peak: MeasuredDemand
    domains: tuple[str, ...]
    size: EngineSize = EngineSize()
    bursts: tuple[float, float] = (splits.BURST_FACTOR, splits.BURST_FACTOR)
    shared_tokens: int = 0
    shared_ms: float = 0.0
    window: timedelta = timedelta(seconds=45)
    objective: timedelta = timedelta(seconds=1)
    kept: Placement = field(default_factory=dict)
    unavailable: Placement = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class SizeNeed:
    """Targets needed at a busy second, and those that must be left after a loss."""

    full: int
    reduced: int


@dataclass(slots=True)
class SizePlan:
    """Number of targets wanted of each subject, since a monotonic time.

    ``need`` is the last need that was computed, for a demand described by its key.
    """

    counts: dict[Subject, int]
    changed_at: timedelta
    need: tuple[tuple[object, ...], SizeNeed] | None = None


def find_sizes(inputs: SizeInputs) -> list[SizeGoal]:
    """Return the cheapest numbers of targets that suffice, or as many as there may be.

    Load patterns: the loss of a failure domain, of all reclaimable targets at once, or
    of a quarter of the targets, each at the peak of the load.
    """
    counts = _find_cheapest(inputs, count_needed(inputs))
    return [
        SizeGoal(domain, reclaimable, count)
        for (domain, reclaimable), count in sorted(counts.items())
    ]


def count_needed(inputs: SizeInputs) -> SizeNeed:
    """Return how many targets the peak of the load needs.

    The reduced number serves the peak with its usual bursts, but the urgent requests
    alone within their objective.
    """
    reading = inputs.shared_ms * MILLISECOND / inputs.window
    peak = replace(inputs.peak, prefill_load=inputs.peak.prefill_load + reading)
    # The delay of a split includes usual bursts; only stronger ones are added here.
    prefill, decode = (max(each / splits.BURST_FACTOR, 1.0) for each in inputs.bursts)
    busy = replace(
        peak,
        prefill_load=peak.prefill_load * prefill,
        decode_rate=peak.decode_rate * decode,
        token_rate=peak.token_rate * decode,
    )
    objective_ms = inputs.objective / MILLISECOND
    reduced = _count_targets(peak, inputs, REDUCED_DELAY_SHARE * objective_ms)
    full = _count_targets(busy, inputs, DELAY_SHARE * objective_ms)
    if inputs.size.tokens:
        cached = CACHES_PER_SHARED * inputs.shared_tokens / inputs.size.tokens
        full = max(full, min(math.ceil(cached), _count_most(inputs)))
    while full - math.ceil(CRASH_SHARE * full) < reduced:
        full += 1
    return SizeNeed(full, reduced)


def is_enough(counts: Placement, need: SizeNeed, inputs: SizeInputs) -> bool:
    """Return whether a placement suffices, also after each loss."""
    total = sum(counts.values())
    by_domain = _count_domains(counts)
    fixed = sum(n for (_, reclaimable), n in counts.items() if not reclaimable)
    lost = max(by_domain.values(), default=0) if len(inputs.domains) > 1 else 0
    least = _count_minimum(inputs)
    return (
        total >= need.full
        and min(fixed, total - lost) >= need.reduced
        and all(
            by_domain[d] >= least or not _list_kinds(inputs, d) for d in inputs.domains
        )
    )


def compute_price(counts: Placement, scaling: Scaling) -> float:
    """Return the price of a second of all targets of a placement."""
    return sum(
        number * _price_of(scaling, domain, reclaimable)
        for (domain, reclaimable), number in counts.items()
    )


def update_plan(
    plan: SizePlan, inputs: SizeInputs, known_time: timedelta, now: timedelta
) -> str | None:
    """Adopt larger sizes at once, smaller ones rarely; return why, None if unchanged.

    ``known_time`` is for how long the demand is known. Load patterns: waves and bursts
    of seconds, which sizes must not follow down; the start of a deployment with many
    more targets than its load needs.
    """
    is_unmeasured = inputs.peak.decode_rate > 0 and not inputs.peak.decode.sequences
    if known_time < MIN_KNOWN_TIME or is_unmeasured:
        return None
    need = _renew_need(plan, inputs)
    kept = {
        subject: min(count, inputs.unavailable.get(subject, count))
        for subject, count in plan.counts.items()
    }
    counts = _find_cheapest(replace(inputs, kept=inputs.unavailable), need)
    if _may_shrink(plan, kept, counts, inputs, known_time, now) and is_enough(
        counts, need, inputs
    ):
        return _adopt(plan, counts, need, inputs, now, "cheaper ones suffice")
    if is_enough(kept, need, inputs):
        return None
    counts = _find_cheapest(replace(inputs, kept=kept), need)
    return _adopt(plan, counts, need, inputs, now, "too few targets")


def _may_shrink(
    plan: SizePlan,
    kept: Placement,
    counts: Placement,
    inputs: SizeInputs,
    known_time: timedelta,
    now: timedelta,
) -> bool:
    """Return whether a cheaper placement may replace the ``kept`` targets now."""
    price, least = (compute_price(c, inputs.scaling) for c in (kept, counts))
    if price - least < max(MIN_SAVING * price, 1e-9):
        return False
    # Before a window is known, its peak is still to come.
    return known_time >= inputs.window and now - plan.changed_at >= HOLD_TIME


def _renew_need(plan: SizePlan, inputs: SizeInputs) -> SizeNeed:
    """Return the need, computed again only if the demand has changed noticeably.

    Load pattern: hundreds of engines, whose need takes 50 ms of processor time.
    """
    peak = inputs.peak
    rates = (peak.prefill_load, peak.decode_rate, peak.token_rate)
    shared = (1.0 + inputs.shared_ms, inputs.shared_tokens)
    numbers = (*rates, *peak.decode.fit(), *inputs.bursts, *shared)
    steps = tuple(round(math.log(n) / NEED_STEP) if n > 0 else None for n in numbers)
    key = (*steps, inputs.size, inputs.objective, inputs.domains, inputs.scaling)
    if plan.need is None or plan.need[0] != key:
        plan.need = key, count_needed(inputs)
    return plan.need[1]


def _adopt(
    plan: SizePlan,
    counts: dict[Subject, int],
    need: SizeNeed,
    inputs: SizeInputs,
    now: timedelta,
    cause: str,
) -> str | None:
    if counts == plan.counts:
        return None
    before, after = (sum(each.values()) for each in (plan.counts, counts))
    plan.counts, plan.changed_at = counts, now
    price = compute_price(counts, inputs.scaling)
    return (
        f"{cause}: {after} instead of {before} for {price:.2f} a second, as a busy "
        f"second needs {need.full} and {need.reduced} must be left after a loss"
    )


# Need


def _count_targets(
    demand: MeasuredDemand, inputs: SizeInputs, max_delay_ms: float
) -> int:
    """Return the least number of targets with at most this delay, by bisection."""
    low, high = (2 if inputs.is_model else 1), max(_count_most(inputs), 2)
    if not demand.decode_rate or not demand.decode.sequences:
        return low
    while low < high:
        middle = (low + high) // 2
        if _estimate_delay(demand, middle, inputs) <= max_delay_ms:
            high = middle
        else:
            low = middle + 1
    return low


def _estimate_delay(demand: MeasuredDemand, targets: int, inputs: SizeInputs) -> float:
    if inputs.is_model:
        return splits.find_split(demand, targets, inputs.size, domains=0)[1]
    # A call of a plain service holds its slot as a sequence does, without a prefill.
    return splits.estimate_first_output_delay(demand, 1, targets, inputs.size, 0)


# Placement


def _find_cheapest(inputs: SizeInputs, need: SizeNeed) -> dict[Subject, int]:
    """Return the cheapest placement that suffices, else the best one.

    If the bounds are too small for the load, that is all targets. If none are
    available in some domains, it serves the load, but not after each loss.
    """
    most = _count_most(inputs)
    first = min(max(need.full, sum(inputs.kept.values())), most)
    last = min(first + MAX_EXTRA_TARGETS + need.reduced, most)
    totals = range(first, last + 1, max((last - first) // MAX_TOTALS, 1))
    placements = [_place(inputs, need, total) for total in totals]
    enough = [each for each in placements if is_enough(each, need, inputs)]
    if enough:
        return min(enough, key=lambda each: compute_price(each, inputs.scaling))
    total = max(first, need.full if inputs.unavailable else most)
    return _place(inputs, need, min(total, most), survives_loss=False)


def _place(
    inputs: SizeInputs, need: SizeNeed, total: int, *, survives_loss: bool = True
) -> dict[Subject, int]:
    """Return the cheapest placement of a number of targets.

    Those outside of any one domain are to suffice, unless ``survives_loss`` is unset.

    Those that can be reclaimed are cheaper, so only as many others are placed as must
    be left without them.
    """
    scaling = inputs.scaling
    counts = Counter(dict(inputs.kept))
    least = _count_minimum(inputs)
    is_bounded = survives_loss and len(inputs.domains) > 1
    share = total - need.reduced if is_bounded else total
    most = min(max(share, least), scaling.max_targets)
    open_domains = [d for d in inputs.domains if _list_kinds(inputs, d)]
    by_price = sorted(open_domains, key=lambda d: (_find_unit_price(inputs, d), d))

    def add(domain: str, number: int) -> None:
        if number > 0:
            kinds = _list_kinds(inputs, domain)
            kind = min(kinds, key=lambda each: _price_of(scaling, domain, each))
            counts[domain, kind] += number

    for domain in by_price:
        add(domain, least - _count_domains(counts)[domain])
    for domain in by_price:
        missing = total - sum(counts.values())
        add(domain, min(most - _count_domains(counts)[domain], missing))
    _add_fixed(inputs, need, counts)
    return {subject: number for subject, number in counts.items() if number}


def _add_fixed(inputs: SizeInputs, need: SizeNeed, counts: Counter[Subject]) -> None:
    """Replace reclaimable targets by others until those left suffice, then add some."""
    scaling = inputs.scaling
    fixed_domains = [d for d in inputs.domains if False in _list_kinds(inputs, d)]
    for is_added in (False, True):
        for domain in sorted(
            fixed_domains, key=lambda d: (_price_of(scaling, d, False), d)
        ):
            fixed = sum(n for (_, reclaimable), n in counts.items() if not reclaimable)
            missing = need.reduced - fixed
            if is_added:
                room = scaling.max_targets - _count_domains(counts)[domain]
            else:
                room = counts[domain, True] - inputs.kept.get((domain, True), 0)
            number = max(min(missing, room), 0)
            counts[domain, False] += number
            counts[domain, True] -= 0 if is_added else number


def _count_most(inputs: SizeInputs) -> int:
    """Return the most targets that the service may have."""
    return inputs.scaling.max_targets * max(len(inputs.domains), 1)


def _count_minimum(inputs: SizeInputs) -> int:
    """Return the least number of targets in each domain."""
    least = 0
    if len(inputs.domains) > 1:
        least = MIN_ENGINES_PER_DOMAIN if inputs.is_model else MIN_PLAIN_PER_DOMAIN
    least = max(least, inputs.scaling.min_targets)
    return min(least, inputs.scaling.max_targets)


def _count_domains(counts: Placement) -> Counter[str]:
    by_domain: Counter[str] = Counter()
    for (domain, _), number in counts.items():
        by_domain[domain] += number
    return by_domain


def _list_kinds(inputs: SizeInputs, domain: str) -> list[bool]:
    """Return the kinds of targets that are available in a domain."""
    kinds = [False] if inputs.scaling.reclaimable_price is None else [False, True]
    return [kind for kind in kinds if (domain, kind) not in inputs.unavailable]


def _find_unit_price(inputs: SizeInputs, domain: str) -> float:
    kinds = _list_kinds(inputs, domain)
    return min(_price_of(inputs.scaling, domain, kind) for kind in kinds)


def _price_of(scaling: Scaling, domain: str, reclaimable: bool) -> float:
    price = scaling.prices.get(domain, DEFAULT_PRICE)
    share = scaling.reclaimable_price if reclaimable else 1.0
    return price * (1.0 if share is None else share)
