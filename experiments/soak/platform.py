"""Run the soak test of the platform path: runners and daemons that are killed."""

import asyncio
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import click

from experiments.soak.faults import Fault
from experiments.soak.platform_answers import Answer
from experiments.soak.platform_clients import PlatformClient
from experiments.soak.platform_faults import plan_daemon_stops, plan_runner_kills
from experiments.soak.platform_invariants import (
    Run,
    Violation,
    find_violations,
    read_runs,
)
from experiments.soak.platform_keys import (
    ORGANISATIONS,
    draw_key,
    find_key_violations,
)
from experiments.soak.platform_leaving import (
    find_late_requests,
    plan_daemon_troubles,
    plan_departures,
)
from experiments.soak.platform_processes import PlatformProcesses
from experiments.soak.runs import wait_ready

__all__ = ["PlatformReport", "describe_platform", "main", "run_platform_soak"]


@dataclass(slots=True)
class PlatformReport:
    """What one soak test of the platform path did and found.

    ``runner_faults`` are those that each runner kept.
    """

    runner_faults: dict[str, dict[str, Any]]
    faults: list[Fault]
    answers: list[Answer]
    runs: list[Run]
    violations: list[Violation]


async def run_platform_soak(
    seed: int,
    seconds: float,
    folder: Path,
    daemons: int = 3,
    runners: int = 3,
    clients: int = 24,
) -> PlatformReport:
    """Inject the faults of a seed for ``seconds`` and check the invariants.

    There are as many ``runners`` of each stage and of the plain service. With an even
    seed the configuration names organisations and clients send their keys.
    """
    random = Random(f"{seed}-faults")
    is_keyed = seed % 2 == 0
    organisations = ORGANISATIONS if is_keyed else None
    processes = PlatformProcesses(folder, random, daemons, runners, organisations)
    faults = plan_runner_kills(random, seconds, list(processes.runners))
    faults += plan_daemon_stops(random, seconds, list(processes.daemons))
    # Of its own, so that a seed keeps the kills and stops that it had.
    leaving = Random(f"{seed}-leaving")
    faults += plan_departures(leaving, seconds, list(processes.runners))
    faults += plan_daemon_troubles(
        leaving, seconds, list(processes.daemons), list(processes.runners)
    )
    faults.sort(key=lambda fault: (fault.at, fault.component))
    addresses = {name: d.address for name, d in processes.daemons.items()}
    all_clients = [
        PlatformClient(
            f"c{n}",
            addresses,
            Random(f"{seed}-{n}"),
            partial(draw_key, Random(f"{seed}-{n}-keys")) if is_keyed else str,
        )
        for n in range(clients)
    ]
    failures: list[str] = []
    try:
        await processes.start()
        failures += await wait_ready(processes)
        started = time.monotonic()
        is_over = lambda: time.monotonic() > started + seconds  # noqa: E731
        async with asyncio.TaskGroup() as tasks:
            for client in all_clients:
                tasks.create_task(client.run(started, is_over))
            tasks.create_task(processes.inject(faults, started))
    finally:
        failures += await processes.stop()
    answers = [answer for client in all_clients for answer in client.answers]
    runs = read_runs(folder)
    violations = list(find_violations(answers, runs))
    violations += [
        Violation(attempt, daemon, "bytes without a request", repr(stray))
        for client in all_clients
        for attempt, daemon, stray in client.strays
    ]
    violations += find_late_requests(folder, answers, processes.troubles)
    violations += [Violation("", "", "daemon", failure) for failure in failures]
    if is_keyed:
        violations += find_key_violations(answers, folder)
    runner_faults = {name: r.faults for name, r in processes.runners.items()}
    return PlatformReport(runner_faults, faults, answers, runs, violations)


def describe_platform(report: PlatformReport) -> str:
    """Return the faults, the answers by route and the violations."""
    lines = [
        f"{name}: {', '.join(f'{k} {v}' for k, v in faults.items() if v)}"
        for name, faults in report.runner_faults.items()
    ]
    kinds = Counter(f"{fault.kind} {fault.component}" for fault in report.faults)
    lines.append(", ".join(f"{n} x {what}" for what, n in sorted(kinds.items())))
    for route in sorted({answer.route for answer in report.answers}):
        counts = Counter(
            f"{a.status or 'no answer'} {a.end.value if a.end else 'cut'}"
            for a in report.answers
            if a.route == route
        )
        texts = [f"{count} x {what}" for what, count in sorted(counts.items())]
        lines.append(f"{route}: {', '.join(texts)}")
    for is_unframed in (False, True):
        lines.append(_count_whole(report, is_unframed=is_unframed))
    lines += [f"BROKEN {violation}" for violation in report.violations]
    kinds = Counter(violation.kind for violation in report.violations)
    lines += [f"{count} x {kind}" for kind, count in sorted(kinds.items())]
    return "\n".join([*lines, f"{len(report.violations)} violations"])


def _count_whole(report: PlatformReport, *, is_unframed: bool) -> str:
    """Return how many attempts whose runs were sent to the last got a whole answer."""
    sent = {
        run.attempt
        for run in report.runs
        if len(run.sent) == len(run.pieces)
        and report.runner_faults[run.runner.partition("-")[0]]["unframed"]
        == is_unframed
    }
    whole = {a.attempt for a in report.answers if a.status == 200 and a.end}
    kind = "without length" if is_unframed else "with length or chunks"
    return f"{len(sent)} attempts answered {kind}, {len(sent & whole)} whole"


@click.command(name="platform")
@click.option("--seed", type=int, help="First seed; default: from the clock.")
@click.option("--seconds", default=15.0, show_default=True, help="Duration of a run.")
@click.option("--runs", default=1, show_default=True, help="Number of seeds.")
@click.option("--daemons", default=3, show_default=True, help="Number of daemons.")
@click.option(
    "--runners",
    default=3,
    show_default=True,
    help="Number of runners of each stage and of the plain service.",
)
@click.option("--clients", default=24, show_default=True, help="Concurrent clients.")
def main(
    seed: int | None,
    seconds: float,
    runs: int,
    daemons: int,
    runners: int,
    clients: int,
) -> None:
    """Kill runners and daemons amid answers; exit with 1 at a violation."""
    first = time.time_ns() % 10**9 if seed is None else seed
    violation_count = 0
    for current in range(first, first + runs):
        folder = Path(tempfile.mkdtemp(prefix=f"platform-soak-{current}-"))
        click.echo(f"seed {current}, logs and records in {folder}")
        report = asyncio.run(
            run_platform_soak(current, seconds, folder, daemons, runners, clients)
        )
        click.echo(describe_platform(report))
        violation_count += len(report.violations)
    sys.exit(1 if violation_count else 0)


if __name__ == "__main__":
    main()
