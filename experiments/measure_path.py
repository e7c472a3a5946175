"""Measure what a daemon's data path costs beside a bare pass-through.

Each round carries the same streams three times: straight to the sources, through
the bare pass-through and through the daemon.
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
TOKENS = 275  # of each answer, so 11,000 tokens/s
WARM_SECONDS = 10.0
WINDOW_SECONDS = 10.0
RATIO_MOST = 1.25
CORES_MOST = 1.0
ADDED_P50_MOST = 3.0  # ms
ADDED_P99_MOST = 15.0  # ms
SUBJECTS = ("straight", "bare", "path")


@dataclass(slots=True)
class Run:
    """Hold one run; cores is processor time by wall time, waits in ms.

    ``stolen`` is what other guests of the machine took meanwhile, in cores.
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
    """Hold where load is sent and the process whose time is read."""

    addresses: tuple[str, ...]
    pid: int | None


@click.command()
@click.option("--rounds", default=5)
@click.option("--path", type=click.Choice(["daemon", "entry"]), default="daemon")
def main(rounds: int, path: str) -> None:
    """Print processor share, ratio and added wait; exit 1 when a target is missed."""
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
        # The order turns with the rounds, so that drift favours none.
        for name in (*SUBJECTS[number % 3 :], *SUBJECTS[: number % 3]):
            run = await _run_once(subjects[name], folder)
            runs[name].append(run)
            print(f"round {number + 1} {name:8} {_write_run(run)}", flush=True)
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
    waits = sorted(wait * 1000 for tally in tallies for wait in tally.first_tokens)
    cuts = statistics.quantiles(waits, n=100, method="inclusive")
    return Run(
        cores=cores,
        stolen=stolen,
        tokens=sum(tally.tokens for tally in tallies) / WINDOW_SECONDS,
        requests=sum(tally.requests for tally in tallies) / WINDOW_SECONDS,
        failures=sum(tally.failures for tally in tallies),
        p50=cuts[49],
        p99=cuts[98],
    )


def _write_run(run: Run) -> str:
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
        ("path, cores", [path.cores for _, _, path in pairs], CORES_MOST),
        ("ratio", [path.cores / bare.cores for _, bare, path in pairs], RATIO_MOST),
        ("bare added p50, ms", [b.p50 - s.p50 for s, b, _ in pairs], None),
        ("bare added p99, ms", [b.p99 - s.p99 for s, b, _ in pairs], None),
        ("path added p50, ms", [p.p50 - s.p50 for s, _, p in pairs], ADDED_P50_MOST),
        ("path added p99, ms", [p.p99 - s.p99 for s, _, p in pairs], ADDED_P99_MOST),
    ]
    met = [_report_figure(*figure) for figure in figures]
    failures = sum(run.failures for each in runs.values() for run in each)
    print(f"failures: {failures}")
    return 0 if all(met) and not failures else 1


def _report_figure(name: str, values: Sequence[float], most: float | None) -> bool:
    middle = statistics.median(values)
    line = f"{name}: {middle:.3f} ({min(values):.3f} to {max(values):.3f})"
    if most is None:
        print(line)
        return True
    print(f"{line}, target {most:g}: {'met' if middle <= most else 'MISSED'}")
    return middle <= most


if __name__ == "__main__":
    main()
