"""Make the figures of a run: goodput, refusals, latencies and their drawing."""

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
    "count_virtual",
    "draw",
    "find_bound",
    "is_met",
    "make_figures",
    "rate",
]

PERCENTS = (50, 95, 99)


@dataclass(slots=True)
class Figures:
    """Hold the figures of one run; times are milliseconds or seconds as named."""

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


def find_bound(trace: Sequence[Arrival], engines: int, seconds: float) -> float:
    """Return the work of requests as a share of what the engines can do.

    Each request takes its fresh prompt at the full prefill rate, and its part of an
    engine's memory for the decode steps; shared blocks are taken as cached.
    """
    sizes = Sizes()
    capacity = sizes.pieces_total * sizes.piece_tokens
    work = 0.0
    for arrival in trace:
        fresh = arrival.prompt_tokens - BLOCK_TOKENS * arrival.shared
        held = (fresh + arrival.output_tokens) / capacity
        step = sizes.base_seconds + sizes.sequence_seconds / held
        work += fresh / sizes.prefill_rate + arrival.output_tokens * step * held
    return work / (engines * seconds)


def rate(met: dict[str, int], offered: dict[str, int]) -> dict[str, float]:
    """Return shares by class and of all."""
    shares = {name: met.get(name, 0) / count for name, count in offered.items()}
    return {**shares, "all": sum(met.values()) / max(1, sum(offered.values()))}


def count_virtual(result: Result) -> dict[str, float]:
    """Return the goodput of a run on the virtual clock by class."""
    names = [o.arrival.urgency.name.lower() for o in result.outcomes]
    met = Counter(o.arrival.urgency.name.lower() for o in result.outcomes if o.in_time)
    return rate(met, Counter(names))


def is_met(row: Row) -> bool:
    """Tell whether the whole answer came within the caller's patience."""
    patience = PATIENCE[Urgency[row.urgency.upper()]]
    return row.whole and row.done is not None and row.done - row.at <= patience


def make_figures(
    rows: Sequence[Row], runs: set[str], virtual: dict[str, float]
) -> Figures:
    """Return the callers' figures; ``runs`` are the ids that engines started."""
    offered = Counter(row.urgency for row in rows)
    met = Counter(row.urgency for row in rows if is_met(row))
    reasons = Counter(_name_end(row) for row in rows if not is_met(row))
    firsts: dict[str, list[float]] = {}
    for row in rows:
        if row.first is not None:
            firsts.setdefault(row.urgency, []).append(1000 * (row.first - row.at))
    gaps: Counter[int] = Counter()
    for row in rows:
        gaps.update(row.gaps)
    return Figures(
        dict(offered),
        rate(met, offered),
        virtual,
        dict(reasons),
        [row.id for row in rows if row.verdict == "not run" and row.id in runs],
        {name: _list_percents(values) for name, values in firsts.items()},
        _list_percents(list(gaps.elements())),
        max(1000 * (row.sent - row.at) for row in rows),
        {},
    )


def _name_end(row: Row) -> str:
    end = "late" if row.whole else row.reason or "no answer yet"
    return f"{row.urgency}: {end}"


def _list_percents(values: Sequence[float]) -> list[float]:
    if len(values) < 2:
        return []
    cuts = statistics.quantiles(values, n=100)
    return [round(cuts[percent - 1], 1) for percent in PERCENTS]


def draw(
    rows: Sequence[Row], roles: Sequence[tuple[float, Counter[str]]], path: Path
) -> None:
    """Draw goodput by class of arrival time and the roles over time."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 6))
    upper, lower = figure.subplots(2, 1, sharex=True)
    for urgency in PATIENCE:
        name = urgency.name.lower()
        points = _share_by_time([row for row in rows if row.urgency == name])
        upper.plot(list(points), list(points.values()), label=name)
    upper.set_ylabel("goodput")
    upper.set_ylim(0, 1.05)
    upper.legend()
    times = [at for at, _ in roles]
    for role in ("prefill", "mixed", "decode", "away"):
        counts = [seen[role] for _, seen in roles]
        lower.step(times, counts, where="post", label=role)
    lower.set_ylabel("engines")
    lower.set_xlabel("seconds")
    lower.legend()
    figure.savefig(path)


def _share_by_time(rows: Sequence[Row], span: float = 5.0) -> dict[float, float]:
    buckets: dict[int, list[bool]] = {}
    for row in rows:
        buckets.setdefault(int(row.at / span), []).append(is_met(row))
    return {
        bucket * span: statistics.fmean(met) for bucket, met in sorted(buckets.items())
    }
