"""Compare the cost of a daemon's data path with that of a plain pass-through proxy.

Each round sends the same load three times: directly to the sources, through the
pass-through proxy and through the daemon.
"""

import asyncio
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import click
import orjson

from experiments.fleet import DaemonSpec, Fleet, TargetSpec
from experiments.path_load import Tally
from experiments.path_process import read_processor_seconds, read_stolen_seconds
from experiments.processes import Process, start_process, stop_all

__all__ = ["main"]

SOURCES = 4
LOADERS = 2
RATE = 40.0  # requests a second
TOKENS = 275  # in each response: 11,000 tokens/s in all
WARM_SECONDS = 10.0
WINDOW_SECONDS = 10.0
MAX_RATIO = 1.25
MAX_CORES = 1.0
MAX_ADDED_P50_MS = 3.0
MAX_ADDED_P99_MS = 15.0
SUBJECTS = ("straight", "bare", "path")


@dataclass(slots=True)
class Run:
    """Figures of one run; latencies in milliseconds.

    ``cores`` is processor time divided by wall time. ``stolen`` is the time in which
    the hypervisor ran other guests of the machine, in cores. ``tokens`` and
    ``requests`` are per second.
    """

    cores: float
    stolen: float
    tokens: float
    requests: float
    failures: int
    p50: float
    p99: float


@dataclass(slots=True)
class Subject:
    """Addresses that load is sent to, and the process to measure, if any."""

    addresses: tuple[str, ...]
    pid: int | None


@click.command()
@click.option("--rounds", default=5)
@click.option("--path", type=click.Choice(["daemon", "entry"]), default="daemon")
def main(rounds: int, path: str) -> None:
    """Print cores, ratio and added latency; exit with 1 when a target is missed."""
    sys.exit(asyncio.run(_measure(rounds, path)))


async def _measure(rounds: int, path: str) -> int:
    folder = Path(tempfile.mkdtemp(prefix="galenapass-path-"))
    print(f"load average before: {os.getloadavg()[0]:.1f} of {os.cpu_count()} cores")
    sources = [await _start(folder, f"source-{i}") for i in range(SOURCES)]
    addresses = tuple(source.address for source in sources)
    bare = await _start(folder, "bare", *addresses)
    started = [*sources, bare]
    try:
        subjects = {
            "straight": Subject(addresses, None),
            "bare": Subject((bare.address,), bare.pid),
        }
        if path == "entry":
            entry = await _start(folder, "entry", *addresses)
            started.append(entry)
            subjects["path"] = Subject((entry.address,), entry.pid)
            return await _run_rounds(rounds, subjects, folder)
        async with _make_fleet() as fleet:
            subjects["path"] = await _start_daemon(fleet, sources)
            return await _run_rounds(rounds, subjects, folder)
    finally:
        await stop_all(started)


async def _start(folder: Path, name: str, *arguments: str) -> Process:
    module = f"experiments.path_{name.partition('-')[0]}"
    return await start_process(name, module, arguments, folder / f"{name}.log")


def _make_fleet() -> Fleet:
    names = [f"source-{i}" for i in range(SOURCES)]
    targets = [TargetSpec(name, "d1", declared_role="mixed") for name in names]
    return Fleet([DaemonSpec("entry-1", "d1")], targets)


async def _start_daemon(fleet: Fleet, sources: Sequence[Process]) -> Subject:
    await fleet.start_platform()
    fleet.processes |= {source.name: source for source in sources}
    await fleet.publish_hosts()
    await fleet.apply_file(fleet.format_operators_file())
    daemon = await fleet.start_daemon("entry-1")
    await fleet.wait_ready()
    return Subject((fleet.daemons["entry-1"].entry,), daemon.pid)


async def _run_rounds(rounds: int, subjects: dict[str, Subject], folder: Path) -> int:
    runs: dict[str, list[Run]] = {name: [] for name in SUBJECTS}
    for number in range(rounds):
        # Rotate the order in each round, so that drift over time favours no subject.
        for name in (*SUBJECTS[number % 3 :], *SUBJECTS[: number % 3]):
            run = await _run_once(subjects[name], folder)
            runs[name].append(run)
            print(f"round {number + 1} {name:8} {_format_run(run)}", flush=True)
    return _report(runs)


async def _run_once(subject: Subject, folder: Path) -> Run:
    rate = RATE / LOADERS
    options = ["--rate", rate, "--tokens", TOKENS, "--window", WINDOW_SECONDS]
    options += ["--warm", WARM_SECONDS]
    arguments = [*map(str, options), *subject.addresses]
    loaders = [
        asyncio.create_task(_run_loader(arguments, folder)) for _ in range(LOADERS)
    ]
    await asyncio.sleep(WARM_SECONDS)
    started = time.monotonic()
    before = _read_times(subject)
    await asyncio.sleep(WINDOW_SECONDS - 1)
    after = _read_times(subject)
    elapsed = time.monotonic() - started
    cores, stolen = ((b - a) / elapsed for a, b in zip(before, after, strict=True))
    return _summarise(cores, stolen, await asyncio.gather(*loaders))


def _read_times(subject: Subject) -> tuple[float, float]:
    own = read_processor_seconds(subject.pid) if subject.pid else 0.0
    return own, read_stolen_seconds()


async def _run_loader(arguments: Sequence[str], folder: Path) -> Tally:
    with (folder / "load.log").open("ab") as errors:
        loader = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "experiments.path_load",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
        )
        output, _ = await loader.communicate()
    return Tally(**orjson.loads(output))


def _summarise(cores: float, stolen: float, tallies: Sequence[Tally]) -> Run:
    latencies = sorted(
        latency * 1000 for tally in tallies for latency in tally.first_tokens
    )
    percentiles = statistics.quantiles(latencies, n=100, method="inclusive")
    return Run(
        cores=cores,
        stolen=stolen,
        tokens=sum(tally.tokens for tally in tallies) / WINDOW_SECONDS,
        requests=sum(tally.requests for tally in tallies) / WINDOW_SECONDS,
        failures=sum(tally.failures for tally in tallies),
        p50=percentiles[49],
        p99=percentiles[98],
    )


def _format_run(run: Run) -> str:
    return (
        f"{run.cores:.3f} cores, {run.requests:.1f} requests/s, "
        f"{run.tokens:,.0f} tokens/s, first token p50 {run.p50:.2f} ms "
        f"p99 {run.p99:.2f} ms, {run.failures} failures, "
        f"{run.stolen:.2f} cores stolen"
    )


def _report(runs: dict[str, list[Run]]) -> int:
    pairs = list(zip(runs["straight"], runs["bare"], runs["path"], strict=True))
    figures = [
        ("bare, cores", [bare.cores for _, bare, _ in pairs], None),
        ("path, cores", [path.cores for _, _, path in pairs], MAX_CORES),
        ("ratio", [path.cores / bare.cores for _, bare, path in pairs], MAX_RATIO),
        ("bare added p50, ms", [b.p50 - s.p50 for s, b, _ in pairs], None),
        ("bare added p99, ms", [b.p99 - s.p99 for s, b, _ in pairs], None),
        ("path added p50, ms", [p.p50 - s.p50 for s, _, p in pairs], MAX_ADDED_P50_MS),
        ("path added p99, ms", [p.p99 - s.p99 for s, _, p in pairs], MAX_ADDED_P99_MS),
    ]
    met = [_report_figure(*figure) for figure in figures]
    failures = sum(run.failures for each in runs.values() for run in each)
    print(f"failures: {failures}")
    return 0 if all(met) and not failures else 1


def _report_figure(name: str, values: Sequence[float], limit: float | None) -> bool:
    median = statistics.median(values)
    line = f"{name}: {median:.3f} ({min(values):.3f} to {max(values):.3f})"
    if limit is None:
        print(line)
        return True
    print(f"{line}, target {limit:g}: {'met' if median <= limit else 'MISSED'}")
    return median <= limit


if __name__ == "__main__":
    main()
