"""Compare role planning and routing with simpler policies on the users' traces.

A load of 1 offers as much work as the engine model can do. Prints one line for each
run and a summary with medians and ranges, and saves a figure in the directory given
by ``--out``. Fails when two runs of one seed make different decisions.
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

MIXED, PREFILL, DECODE = Role.MIXED, Role.PREFILL, Role.DECODE
WEIGHTS = {"tena": 1.0, "khom sabai": 4.0}
WINDOW_SECONDS = 20.0
SIZES = Sizes()


def list_policies(trace: str) -> list[Policy]:
    """Return the product's policy first, then the baselines."""
    weight = WEIGHTS[trace]
    mixed = (MIXED,) * ENGINES
    half = (PREFILL,) * (ENGINES // 2) + (DECODE,) * (ENGINES - ENGINES // 2)
    fixed = [
        Policy(f"fixed {n} prefill", (PREFILL,) * n + (MIXED,) * (ENGINES - n))
        for n in (1, 2, 3)
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
    """Figures of one run; shares of what was offered, times in seconds.

    ``changes`` is the number of role changes. ``first_token`` (urgent requests) and
    ``token_gaps`` hold the 50th, 95th and 99th percentiles.
    """

    policy: str
    seed: int
    goodput: dict[str, float]
    refused: dict[str, float]
    work_done: float
    work_bound: float
    changes: int
    prefill_shift: float
    shortest_interval: float
    cache_hit_share: float
    first_token: tuple[float, ...]
    token_gaps: tuple[float, ...]
    digest: str


def compute_work(arrival: Arrival) -> tuple[float, float]:
    """Return the least engine-seconds of prefill and of decode of a request.

    Prefill takes the prompt beyond its shared blocks at the prefill rate. Each output
    token takes the seconds of one sequence in a step and, by the request's share of
    the memory, a share of the step's base time.
    """
    fresh = arrival.prompt_tokens - BLOCK_TOKENS * arrival.shared
    pieces = SIZES.count_pieces(fresh + arrival.output_tokens)
    step = SIZES.base_seconds * pieces / SIZES.pieces_total + SIZES.sequence_seconds
    return fresh / SIZES.prefill_rate, arrival.output_tokens * step


def compute_work_bound(trace: list[Arrival]) -> float:
    """Return the largest share of the offered work that the engines can do.

    A request's work may be done until its patience ends. The engines therefore have
    the length of the trace plus the mean patience, weighted by work.
    """
    works = [sum(compute_work(arrival)) for arrival in trace]
    offered = sum(works)
    patience = sum(w * a.patience for w, a in zip(works, trace, strict=True)) / offered
    capacity = ENGINES * (trace[-1].at + patience)
    return min(1.0, capacity / offered)


def make_trace(name: str, seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return a trace that offers ``load`` times the work that the engines can do."""
    trial = TRACES[name](seed, 1.0, seconds)
    trial_work = sum(sum(compute_work(arrival)) for arrival in trial)
    return TRACES[name](seed, load * ENGINES * seconds / trial_work, seconds)


def compute_prefill_shift(trace: list[Arrival]) -> float:
    """Return the sum of the changes of prefill demand between windows, in engines."""
    windows: dict[int, float] = {}
    for arrival in trace:
        index = int(arrival.at / WINDOW_SECONDS)
        windows[index] = (
            windows.get(index, 0.0) + compute_work(arrival)[0] / WINDOW_SECONDS
        )
    levels = [windows[index] for index in sorted(windows)][:-1]
    return sum(abs(b - a) for a, b in zip(levels, levels[1:], strict=False))


def compute_figures(result: Result, seed: int) -> Figures:
    """Return the figures of a run."""
    groups = {u.name.lower(): u for u in Urgency}
    goodput, refused = {}, {}
    for name, urgency in groups.items():
        of_class = [o for o in result.outcomes if o.arrival.urgency is urgency]
        goodput[name] = sum(o.in_time for o in of_class) / max(1, len(of_class))
        refused[name] = sum(o.refused for o in of_class) / max(1, len(of_class))
    works = [(sum(compute_work(o.arrival)), o) for o in result.outcomes]
    work_done = sum(work for work, o in works if o.in_time) / sum(w for w, _ in works)
    trace = [o.arrival for o in result.outcomes]
    firsts = sorted(
        o.first_token_at - o.arrival.at
        for o in result.outcomes
        if o.first_token_at is not None and o.arrival.urgency is Urgency.URGENT
    )
    return Figures(
        result.policy,
        seed,
        goodput,
        refused,
        work_done,
        compute_work_bound(trace),
        len(result.changes),
        compute_prefill_shift(trace),
        _find_shortest_interval(result),
        result.cached_tokens / max(1, result.prompt_tokens),
        tuple(_quantile(firsts, q) for q in (0.5, 0.95, 0.99)),
        tuple(
            _find_gap_quantile(result.token_gaps, q) / 1000 for q in (0.5, 0.95, 0.99)
        ),
        result.digest,
    )


def _find_shortest_interval(result: Result) -> float:
    """Return the least seconds between two role changes of one target."""
    last: dict[str, float] = {}
    shortest_interval = float("inf")
    for at, target, _ in result.changes:
        shortest_interval = min(shortest_interval, at - last.get(target, float("-inf")))
        last[target] = at
    return shortest_interval


def _quantile(values: list[float], share: float) -> float:
    return values[int(share * (len(values) - 1))] if values else float("nan")


def _find_gap_quantile(token_gaps: dict[int, int], share: float) -> float:
    remaining = share * sum(token_gaps.values())
    for gap in sorted(token_gaps):
        remaining -= token_gaps[gap]
        if remaining <= 0:
            return gap
    return float("nan")


def run_one(job: tuple[str, Policy, int, float, float]) -> tuple[Figures, Result]:
    """Run one policy on the trace of one seed."""
    name, policy, seed, load, seconds = job
    result = run(policy, make_trace(name, seed, load, seconds), seed)
    return compute_figures(result, seed), result


def format_figures(figures: Figures) -> str:
    """Return the figures of a run as one line."""
    classes = " ".join(
        f"{name} {figures.goodput[name]:.3f} (refused {figures.refused[name]:.3f})"
        for name in figures.goodput
    )
    first = "/".join(f"{value:.2f}" for value in figures.first_token)
    token_gaps = "/".join(f"{value:.3f}" for value in figures.token_gaps)
    return (
        f"{figures.policy} seed {figures.seed}: {classes}; "
        f"work {figures.work_done:.3f} of bound {figures.work_bound:.3f}; "
        f"changes {figures.changes} for a shift of {figures.prefill_shift:.1f}, "
        f"soonest again {figures.shortest_interval:.0f} s; "
        f"hits {figures.cache_hit_share:.3f}; urgent first token {first} s; "
        f"between tokens {token_gaps} s"
    )


def summarise(runs: list[Figures]) -> str:
    """Return medians and ranges over the seeds of one policy."""
    parts = {
        **{name: [r.goodput[name] for r in runs] for name in runs[0].goodput},
        "work/bound": [r.work_done / r.work_bound for r in runs],
        "changes": [float(r.changes) for r in runs],
        "changes/shift": [r.changes / r.prefill_shift for r in runs],
        "hits": [r.cache_hit_share for r in runs],
    }
    texts = [
        f"{name} {statistics.median(values):.3f} [{min(values):.3f}, {max(values):.3f}]"
        for name, values in parts.items()
    ]
    return f"{runs[0].policy}: " + "; ".join(texts)


def draw(results: list[Result], path: pathlib.Path) -> None:
    """Plot goodput by arrival time and the number of engines of each role."""
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    for result in results:
        in_time_by_window: dict[int, list[bool]] = {}
        for outcome in result.outcomes:
            in_time_by_window.setdefault(
                int(outcome.arrival.at / WINDOW_SECONDS), []
            ).append(outcome.in_time)
        times = sorted(in_time_by_window)
        shares = [sum(in_time_by_window[t]) / len(in_time_by_window[t]) for t in times]
        upper.plot([t * WINDOW_SECONDS for t in times], shares, label=result.policy)
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
@click.option("--trace", "trace_names", multiple=True, default=tuple(TRACES))
@click.option("--load", "loads", multiple=True, type=float, default=(0.8, 1.3))
@click.option("--policy", "policy_names", multiple=True, help="Default: all.")
@click.option("--seeds", default=5)
@click.option("--seconds", default=300.0)
@click.option("--processes", default=4)
@click.option(
    "--out", default="build/measured", type=click.Path(path_type=pathlib.Path)
)
def main(
    trace_names: tuple[str, ...],
    loads: tuple[float, ...],
    policy_names: tuple[str, ...],
    seeds: int,
    seconds: float,
    processes: int,
    out: pathlib.Path,
) -> None:
    """Run the policies on every trace, load and seed, and print the figures."""
    out.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(processes) as pool:
        for name in trace_names:
            for load in loads:
                policies = [
                    policy
                    for policy in list_policies(name)
                    if not policy_names or policy.name in policy_names
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
    """Run policies on one trace at one load, and print and plot the figures."""
    jobs = [
        (name, policy, seed, load, seconds)
        for policy in policies
        for seed in range(1, seeds + 1)
    ]
    # The first run is repeated to check that its decisions depend on the seed alone.
    completed = list(pool.map(run_one, [*jobs, jobs[0]]))
    if completed[0][0].digest != completed[-1][0].digest:
        raise click.ClickException(
            f"two runs of seed 1 made different decisions on {name}"
        )
    click.echo(f"== {name}, load {load:g}, {seconds:g} s")
    for figures, _ in completed[:-1]:
        click.echo(format_figures(figures))
    for policy in policies:
        runs = [
            figures for figures, _ in completed[:-1] if figures.policy == policy.name
        ]
        click.echo(summarise(runs))
    first = [result for figures, result in completed[:-1] if figures.seed == 1]
    draw(first, out / f"{name.replace(' ', '-')}-{load:g}.svg")


if __name__ == "__main__":
    main()
