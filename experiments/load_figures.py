"""Compute and plot the figures of a run: goodput, refusals and latencies."""

import statistics
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from experiments.load_player import PATIENCE, Row
from experiments.policies import Result
from experiments.traces import Arrival
from galenapass.tables.requests import Urgency
from stand_ins.engine_sizes import BLOCK_TOKENS, Sizes

__all__ = [
    "Figures",
    "compute_goodput",
    "compute_virtual_goodput",
    "compute_work_share",
    "draw",
    "is_met",
    "make_figures",
]

PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class Figures:
    """Figures of one run; times in milliseconds or seconds, as named.

    ``lies`` lists requests that an engine started although callers were told that
    they were not run.
    """

    offered: dict[str, int]
    goodput: dict[str, float]
    virtual: dict[str, float]
    refusals: dict[str, int]
    lies: list[str]
    first_ms: dict[str, list[float]]
    between_ms: list[float]
    late_sends_ms: float
    processor_seconds: dict[str, float]
    orders: list[str] = field(default_factory=list)
    changed_early: list[str] = field(default_factory=list)
    cached_share: float = 0.0
    cut_off: int = 0
    work_offered: float = 0.0
    work_met: float = 0.0


def compute_work_share(trace: Sequence[Arrival], engines: int, seconds: float) -> float:
    """Return the work of requests as a share of the engines' capacity.

    The work of a request is the prefill of its uncached prompt at the full rate, and
    its decode steps weighted by its share of an engine's memory. Shared blocks are
    assumed to be cached.
    """
    sizes = Sizes()
    capacity = sizes.pieces_total * sizes.piece_tokens
    work = 0.0
    for arrival in trace:
        uncached = arrival.prompt_tokens - BLOCK_TOKENS * arrival.shared
        memory_share = (uncached + arrival.output_tokens) / capacity
        step = sizes.base_seconds + sizes.sequence_seconds / memory_share
        work += (
            uncached / sizes.prefill_rate + arrival.output_tokens * step * memory_share
        )
    return work / (engines * seconds)


def compute_goodput(met: dict[str, int], offered: dict[str, int]) -> dict[str, float]:
    """Return the share of requests met on time, by class and for all classes."""
    shares = {name: met.get(name, 0) / count for name, count in offered.items()}
    return {**shares, "all": sum(met.values()) / max(1, sum(offered.values()))}


def compute_virtual_goodput(result: Result) -> dict[str, float]:
    """Return the goodput by class of a simulated run."""
    names = [o.arrival.urgency.name.lower() for o in result.outcomes]
    met = Counter(o.arrival.urgency.name.lower() for o in result.outcomes if o.in_time)
    return compute_goodput(met, Counter(names))


def is_met(row: Row) -> bool:
    """Return whether the complete response came within the caller's patience."""
    patience = PATIENCE[Urgency[row.urgency.upper()]]
    return row.whole and row.done is not None and row.done - row.at <= patience


def make_figures(
    rows: Sequence[Row], started_ids: set[str], virtual: dict[str, float]
) -> Figures:
    """Return the callers' figures; ``started_ids`` are requests started by engines."""
    offered = Counter(row.urgency for row in rows)
    met = Counter(row.urgency for row in rows if is_met(row))
    reasons = Counter(_describe_outcome(row) for row in rows if not is_met(row))
    first_token_ms: dict[str, list[float]] = {}
    for row in rows:
        if row.first is not None:
            first_token_ms.setdefault(row.urgency, []).append(
                1000 * (row.first - row.at)
            )
    gaps: Counter[int] = Counter()
    for row in rows:
        gaps.update(row.gaps)
    return Figures(
        dict(offered),
        compute_goodput(met, offered),
        virtual,
        dict(reasons),
        [row.id for row in rows if row.verdict == "not run" and row.id in started_ids],
        {name: _compute_percentiles(values) for name, values in first_token_ms.items()},
        _compute_percentiles(list(gaps.elements())),
        max(1000 * (row.sent - row.at) for row in rows),
        {},
    )


def _describe_outcome(row: Row) -> str:
    end = "late" if row.whole else row.reason or "no answer yet"
    return f"{row.urgency}: {end}"


def _compute_percentiles(values: Sequence[float]) -> list[float]:
    if len(values) < 2:
        return []
    cuts = statistics.quantiles(values, n=100)
    return [round(cuts[percent - 1], 1) for percent in PERCENTILES]


def draw(
    rows: Sequence[Row], roles: Sequence[tuple[float, Counter[str]]], path: Path
) -> None:
    """Plot goodput by class and arrival time, and the engines in each role."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 6))
    upper, lower = figure.subplots(2, 1, sharex=True)
    for urgency in PATIENCE:
        name = urgency.name.lower()
        points = _compute_goodput_by_time([row for row in rows if row.urgency == name])
        upper.plot(list(points), list(points.values()), label=name)
    upper.set_ylabel("goodput")
    upper.set_ylim(0, 1.05)
    upper.legend()
    times = [at for at, _ in roles]
    for role in ("prefill", "mixed", "decode", "away"):
        engines = [counts[role] for _, counts in roles]
        lower.step(times, engines, where="post", label=role)
    lower.set_ylabel("engines")
    lower.set_xlabel("seconds")
    lower.legend()
    figure.savefig(path)


def _compute_goodput_by_time(
    rows: Sequence[Row], span: float = 5.0
) -> dict[float, float]:
    buckets: dict[int, list[bool]] = {}
    for row in rows:
        buckets.setdefault(int(row.at / span), []).append(is_met(row))
    return {
        bucket * span: statistics.fmean(met) for bucket, met in sorted(buckets.items())
    }
