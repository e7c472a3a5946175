"""Measure the cost of one daemon over several sizes and print linear fits."""

import os
import statistics
import sys
from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import asdict, dataclass
from multiprocessing import get_context
from typing import Any

from experiments import capacity_core as core
from experiments.capacity_duties import (
    measure_claims,
    measure_observation,
    measure_role_planning,
)
from experiments.capacity_peers import Load, run

__all__ = ["main"]

WORKERS = 2
DAEMONS, FAR_DAEMONS, TARGETS = 51, 359, 250
TRACED_DAEMONS = 16  # tracing memory slows the process
CALLERS, ALL_DAEMONS, ALL_TARGETS = 1000, 410, 2000
BUDGET = 11_000  # bytes a second
QUARTERS = (1, 2, 3, 4)
PEER_FIELDS = ("processor_ms", "payload_bytes", "wire_bytes", "batches")


@dataclass(slots=True, frozen=True)
class Sweep:
    """Quantity to vary, its values and the function that measures one value."""

    name: str
    points: tuple[int, ...]
    measure: Callable[[int], dict[str, float]]
    fields: tuple[str, ...]


def vary_daemons(count: int) -> dict[str, float]:
    """Measure the peer network with some daemons in the domain."""
    return asdict(run(Load(daemons=count)))


def vary_targets(count: int) -> dict[str, float]:
    """Measure the peer network with some targets in the domain."""
    return asdict(run(Load(targets=count)))


def vary_requests(rate: int) -> dict[str, float]:
    """Measure the peer network with some requests a second at each daemon."""
    return asdict(run(Load(requests=rate)))


def vary_far_daemons(count: int) -> dict[str, float]:
    """Measure the peer network with some daemons in other domains."""
    return asdict(run(Load(far_daemons=count)))


def vary_limit_rows(count: int) -> dict[str, float]:
    """Measure the peer network with the limit use of some callers at each daemon."""
    return asdict(run(Load(limit_rows=count)))


def vary_parsed_callers(count: int) -> dict[str, float]:
    """Measure the parsing of an operators' file with some callers."""
    return core.measure_parsing(count, ALL_TARGETS)


def vary_synced_callers(count: int) -> dict[str, float]:
    """Measure the exchange of a changed operators' file with some callers."""
    return core.measure_settings_sync(count, ALL_TARGETS)


def vary_listed(quarters: int) -> dict[str, float]:
    """Measure the platform's host list with some quarters of the fleet's hosts."""
    share = quarters / QUARTERS[-1]
    return core.measure_host_list(
        round(ALL_DAEMONS * share), round(ALL_TARGETS * share)
    )


def vary_limited_callers(count: int) -> dict[str, float]:
    """Measure the limits of some callers, shared by the daemons of a domain."""
    return core.measure_limits(count, DAEMONS)


def vary_limiting_daemons(count: int) -> dict[str, float]:
    """Measure the limits of a quarter of the callers, shared by some daemons."""
    return core.measure_limits(CALLERS // 4, count)


def vary_observed(count: int) -> dict[str, float]:
    """Measure the search for the observers of some targets."""
    return core.measure_observer_lookup(DAEMONS, count)


def vary_routed_targets(count: int) -> dict[str, float]:
    """Measure one request with some targets to choose from."""
    return core.measure_request(count, 300)


def vary_running(count: int) -> dict[str, float]:
    """Measure one request while some others are running."""
    return core.measure_request(TARGETS, count)


SWEEPS = (
    Sweep("daemons of the domain", (12, 24, 36, 51), vary_daemons, PEER_FIELDS),
    Sweep("targets of the domain", (64, 128, 192, 250), vary_targets, PEER_FIELDS),
    Sweep("requests a second", (0, 20, 39, 78), vary_requests, PEER_FIELDS),
    Sweep(
        "daemons of other domains", (0, 120, 240, 359), vary_far_daemons, PEER_FIELDS
    ),
    Sweep("limit rows a second", (0, 10, 20, 40), vary_limit_rows, PEER_FIELDS),
    Sweep(
        "callers in the file",
        (250, 500, 750, 1000),
        vary_parsed_callers,
        ("whole_ms", "changed_ms", "apply_ms", "file_kb"),
    ),
    Sweep(
        "callers in the file, spread",
        (250, 500, 750, 1000),
        vary_synced_callers,
        ("send_ms", "receive_ms", "patch_bytes", "whole_bytes"),
    ),
    Sweep("quarters of the list", QUARTERS, vary_listed, ("list_ms", "list_kb")),
    Sweep(
        "callers with limits, 51 daemons",
        (250, 500, 750, 1000),
        vary_limited_callers,
        ("second_ms", "memory_mb"),
    ),
    Sweep(
        "daemons that share 250 callers",
        (51, 103, 205, 410),
        vary_limiting_daemons,
        ("second_ms", "memory_mb"),
    ),
    Sweep("observed targets", (62, 125, 187, 250), vary_observed, ("find_ms",)),
    Sweep(
        "routed targets, 300 running",
        (62, 125, 187, 250),
        vary_routed_targets,
        ("request_ms",),
    ),
    Sweep(
        "running requests, 250 targets",
        (100, 200, 300, 400),
        vary_running,
        ("request_ms",),
    ),
    Sweep(
        "engines to place", (62, 125, 187, 250), measure_role_planning, ("propose_ms",)
    ),
    Sweep("targets read once", (2, 5, 10, 20), measure_observation, ("observe_ms",)),
    Sweep(
        "claims in a slice",
        (500, 1000, 2000, 4000),
        measure_claims,
        ("write_ms", "read_ms", "slice_kb"),
    ),
)
FULL_SIZE_LOADS = {
    "no bound": Load(DAEMONS, TARGETS, far_daemons=FAR_DAEMONS),
    "11 KB/s": Load(DAEMONS, TARGETS, far_daemons=FAR_DAEMONS, budget=BUDGET),
    "16 daemons, memory traced": Load(
        TRACED_DAEMONS,
        TARGETS,
        far_daemons=FAR_DAEMONS,
        budget=BUDGET,
        trace_memory=True,
    ),
    "today: 8 daemons, 12 targets": Load(8, 12, budget=BUDGET),
}


def main(filters: list[str]) -> int:
    """Run every sweep, or those whose name contains one of the filters."""
    context = get_context("spawn")
    with ProcessPoolExecutor(
        WORKERS, mp_context=context, max_tasks_per_child=1
    ) as pool:
        full_size_runs = {
            name: pool.submit(run, load)
            for name, load in FULL_SIZE_LOADS.items()
            if _is_chosen("whole", filters)
        }
        points = [
            (sweep, [pool.submit(sweep.measure, point) for point in sweep.points])
            for sweep in SWEEPS
            if _is_chosen(sweep.name, filters)
        ]
        print(f"machine: {os.cpu_count()} processors, Python {sys.version.split()[0]}")
        _print_sweeps(points)
        _print_full_size_runs(full_size_runs)
    return 0


def _is_chosen(name: str, filters: list[str]) -> bool:
    return not filters or any(part in name for part in filters)


def _print_sweeps(
    points: list[tuple[Sweep, list[Future[dict[str, float]]]]],
) -> None:
    print("\n| varied | range | measured | points | slope | intercept | r |")
    print("|---|---|---|---|---|---|---|")
    for sweep, futures in points:
        results = [future.result() for future in futures]
        for field in sweep.fields:
            values = [result[field] for result in results]
            print(_format_fit(sweep, field, values), flush=True)


def _format_fit(sweep: Sweep, field: str, values: list[float]) -> str:
    fit = statistics.linear_regression(sweep.points, values)
    constant = len(set(values)) == 1
    r = "-" if constant else f"{statistics.correlation(sweep.points, values):.3f}"
    shown = ", ".join(f"{value:.4g}" for value in values)
    span = f"{sweep.points[0]} to {sweep.points[-1]}"
    return (
        f"| {sweep.name} | {span} | {field} | {shown} "
        f"| {fit.slope:.4g} | {fit.intercept:.4g} | {r} |"
    )


def _print_full_size_runs(full_size_runs: dict[str, Future[Any]]) -> None:
    print("\n| one daemon at the whole size | " + " | ".join(PEER_FIELDS), end="")
    print(" | links | pending_rows | memory |")
    print("|---" * (len(PEER_FIELDS) + 4) + "|")
    for name, future in full_size_runs.items():
        cost = asdict(future.result())
        shown = [f"{cost[field]:.4g}" for field in PEER_FIELDS]
        rest = [f"{cost[field]:.4g}" for field in ("links", "pending_rows", "memory")]
        print(f"| {name} | " + " | ".join([*shown, *rest]) + " |", flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
