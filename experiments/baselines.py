"""Compare placement and routing with simpler policies on the users' traces.

A load of 1 offers the work that the engines can do by their arithmetic. Writes one
line a run to standard output, a summary with medians and ranges, and a figure to the
directory named by ``--out``. Fails when two runs of one seed decide differently.
"""

import pathlib
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import click
import matplotlib

from experiments.policies import ENGINES, Policy, Result, run
from experiments.traces import BLOCK_TOKENS, TRACES, Arrival
from galenapass.tables.requests import Urgency
from galenapass.tables.targets import Role
from stand_ins.engine_sizes import Sizes

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

__all__ = ["main"]

M, P, D = Role.MIXED, Role.PREFILL, Role.DECODE
WEIGHTS = {"tena": 1.0, "khom sabai": 4.0}
WINDOW = 20.0  # seconds
SIZES = Sizes()


def list_policies(trace: str) -> list[Policy]:
    """Return the product's policy first, then the baselines."""
    weight = WEIGHTS[trace]
    mixed = (M,) * ENGINES
    half = (P,) * (ENGINES // 2) + (D,) * (ENGINES - ENGINES // 2)
    fixed = [
        Policy(f"fixed {n} prefill", (P,) * n + (M,) * (ENGINES - n)) for n in (1, 2, 3)
    ]
    return [
        Policy("galenapass", mixed, True, weight),
        Policy("half and half", half),
        Policy("all mixed", mixed),
        Policy("no affinity", mixed, affinity=False),
        Policy("no hysteresis", mixed, True, 0.0, hysteresis=False),
        *fixed,
    ]


@dataclass(slots=True, frozen=True)
class Figures:
    """Hold what one run gave; shares of what was offered, times in seconds."""

    policy: str
    seed: int
    goodput: dict[str, float]
    refused: dict[str, float]
    work: float
    bound: float
    changes: int
    shift: float
    soonest: float
    hits: float
    first: tuple[float, ...]
    gaps: tuple[float, ...]
    digest: str


def count_work(arrival: Arrival) -> tuple[float, float]:
    """Return the engine-seconds of prefill and decode that a request needs at least.

    prompt beyond shared blocks / prefill rate; for each token, its share of the base
    step by memory and the seconds of its sequence.
    """
    fresh = arrival.prompt_tokens - BLOCK_TOKENS * arrival.shared
    pieces = SIZES.count_pieces(fresh + arrival.output_tokens)
    step = SIZES.base_seconds * pieces / SIZES.pieces_total + SIZES.sequence_seconds
    return fresh / SIZES.prefill_rate, arrival.output_tokens * step


def find_bound(trace: list[Arrival]) -> float:
    """Return the share of the offered work that the engines can do at the most.

    Work may be done up to the patience after its arrival; what a window cannot do
    is carried on for the mean patience, weighted by work.
    """
    works = [sum(count_work(arrival)) for arrival in trace]
    offered = sum(works)
    patience = sum(w * a.patience for w, a in zip(works, trace, strict=True)) / offered
    capacity = ENGINES * (trace[-1].at + patience)
    return min(1.0, capacity / offered)


def make_trace(name: str, seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return a trace whose work is a share of what the engines can do."""
    trial = TRACES[name](seed, 1.0, seconds)
    natural = sum(sum(count_work(arrival)) for arrival in trial)
    return TRACES[name](seed, load * ENGINES * seconds / natural, seconds)


def find_shift(trace: list[Arrival]) -> float:
    """Return the engine-equivalents by which the prefill demand moved in all."""
    windows: dict[int, float] = {}
    for arrival in trace:
        index = int(arrival.at / WINDOW)
        windows[index] = windows.get(index, 0.0) + count_work(arrival)[0] / WINDOW
    levels = [windows[index] for index in sorted(windows)][:-1]
    return sum(abs(b - a) for a, b in zip(levels, levels[1:], strict=False))


def read_figures(result: Result, seed: int) -> Figures:
    """Return the figures of a run."""
    groups = {u.name.lower(): u for u in Urgency}
    goodput, refused = {}, {}
    for name, urgency in groups.items():
        of_class = [o for o in result.outcomes if o.arrival.urgency is urgency]
        goodput[name] = sum(o.in_time for o in of_class) / max(1, len(of_class))
        refused[name] = sum(o.refused for o in of_class) / max(1, len(of_class))
    works = [(sum(count_work(o.arrival)), o) for o in result.outcomes]
    done = sum(work for work, o in works if o.in_time) / sum(w for w, _ in works)
    trace = [o.arrival for o in result.outcomes]
    firsts = sorted(
        o.first - o.arrival.at
        for o in result.outcomes
        if o.first is not None and o.arrival.urgency is Urgency.URGENT
    )
    return Figures(
        result.policy,
        seed,
        goodput,
        refused,
        done,
        find_bound(trace),
        len(result.changes),
        find_shift(trace),
        _find_soonest(result),
        result.cached_tokens / max(1, result.prompt_tokens),
        tuple(_quantile(firsts, q) for q in (0.5, 0.95, 0.99)),
        tuple(_gap(result.gaps, q) / 1000 for q in (0.5, 0.95, 0.99)),
        result.digest,
    )


def _find_soonest(result: Result) -> float:
    """Return the least seconds between two changes of one target."""
    last: dict[str, float] = {}
    soonest = float("inf")
    for at, target, _ in result.changes:
        soonest = min(soonest, at - last.get(target, float("-inf")))
        last[target] = at
    return soonest


def _quantile(values: list[float], share: float) -> float:
    return values[int(share * (len(values) - 1))] if values else float("nan")


def _gap(gaps: dict[int, int], share: float) -> float:
    left = share * sum(gaps.values())
    for gap in sorted(gaps):
        left -= gaps[gap]
        if left <= 0:
            return gap
    return float("nan")


def run_one(job: tuple[str, Policy, int, float, float]) -> tuple[Figures, Result]:
    """Run one policy on one seed's trace."""
    name, policy, seed, load, seconds = job
    result = run(policy, make_trace(name, seed, load, seconds), seed)
    return read_figures(result, seed), result


def format_figures(figures: Figures) -> str:
    """Return the figures of a run as one line."""
    classes = " ".join(
        f"{name} {figures.goodput[name]:.3f} (refused {figures.refused[name]:.3f})"
        for name in figures.goodput
    )
    first = "/".join(f"{value:.2f}" for value in figures.first)
    gaps = "/".join(f"{value:.3f}" for value in figures.gaps)
    return (
        f"{figures.policy} seed {figures.seed}: {classes}; work {figures.work:.3f} of "
        f"bound {figures.bound:.3f}; changes {figures.changes} for a shift of "
        f"{figures.shift:.1f}, soonest again {figures.soonest:.0f} s; "
        f"hits {figures.hits:.3f}; urgent first token {first} s; "
        f"between tokens {gaps} s"
    )


def summarise(runs: list[Figures]) -> str:
    """Return medians and ranges over the seeds of one policy."""
    parts = {
        **{name: [r.goodput[name] for r in runs] for name in runs[0].goodput},
        "work/bound": [r.work / r.bound for r in runs],
        "changes": [float(r.changes) for r in runs],
        "changes/shift": [r.changes / r.shift for r in runs],
        "hits": [r.hits for r in runs],
    }
    texts = [
        f"{name} {statistics.median(values):.3f} [{min(values):.3f}, {max(values):.3f}]"
        for name, values in parts.items()
    ]
    return f"{runs[0].policy}: " + "; ".join(texts)


def draw(results: list[Result], path: pathlib.Path) -> None:
    """Draw goodput by arrival and the engines of each role over time."""
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for result in results:
        good: dict[int, list[bool]] = {}
        for outcome in result.outcomes:
            good.setdefault(int(outcome.arrival.at / WINDOW), []).append(
                outcome.in_time
            )
        times = sorted(good)
        shares = [sum(good[t]) / len(good[t]) for t in times]
        upper.plot([t * WINDOW for t in times], shares, label=result.policy)
    upper.set_ylabel("answered in time / offered")
    upper.legend(fontsize=7)
    at = [role[0] for role in results[0].roles]
    counts = [[role[n] for role in results[0].roles] for n in (1, 2, 3)]
    lower.stackplot(at, counts, labels=["prefill", "mixed", "decode"])
    lower.set_ylabel("engines")
    lower.set_xlabel("seconds")
    lower.legend(fontsize=7)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


@click.command()
@click.option("--trace", "names", multiple=True, default=tuple(TRACES))
@click.option("--load", "loads", multiple=True, type=float, default=(0.8, 1.3))
@click.option("--policy", "wanted", multiple=True, help="All unless named.")
@click.option("--seeds", default=5)
@click.option("--seconds", default=300.0)
@click.option("--processes", default=4)
@click.option(
    "--out", default="build/measured", type=click.Path(path_type=pathlib.Path)
)
def main(
    names: tuple[str, ...],
    loads: tuple[float, ...],
    wanted: tuple[str, ...],
    seeds: int,
    seconds: float,
    processes: int,
    out: pathlib.Path,
) -> None:
    """Run every policy on every seed and print the figures."""
    out.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(processes) as pool:
        for name in names:
            for load in loads:
                policies = [
                    policy
                    for policy in list_policies(name)
                    if not wanted or policy.name in wanted
                ]
                compare(pool, name, load, policies, seeds, seconds, out)


def compare(
    pool: ProcessPoolExecutor,
    name: str,
    load: float,
    policies: list[Policy],
    seeds: int,
    seconds: float,
    out: pathlib.Path,
) -> None:
    """Compare policies on one trace at one load."""
    jobs = [
        (name, policy, seed, load, seconds)
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    # The first run is repeated to check that a seed settles every decision.
    done = list(pool.map(run_one, [*jobs, jobs[0]]))
    if done[0][0].digest != done[-1][0].digest:
        raise click.ClickException(f"two runs of seed 1 differ on {name}")
    click.echo(f"== {name}, load {load:g}, {seconds:g} s")
    for figures, _ in done[:-1]:
        click.echo(format_figures(figures))
    for policy in policies:
        runs = [figures for figures, _ in done[:-1] if figures.policy == policy.name]
        click.echo(summarise(runs))
    first = [result for figures, result in done[:-1] if figures.seed == 1]
    draw(first, out / f"{name.replace(' ', '-')}-{load:g}.svg")


if __name__ == "__main__":
    main()
