"""Run the soak test for one or more seeds and print a report of each."""

import asyncio
import configparser
import sys
import tempfile
import time
from pathlib import Path

import click

from experiments.soak.environment import GRACE_SECONDS
from experiments.soak.runs import describe, run_soak

__all__ = ["main", "read_regressions"]

REGRESSIONS = Path(__file__).with_name("regressions.ini")


@click.command(name="soak")
@click.option("--seed", type=int, help="Seed of the faults; default: from the clock.")
@click.option(
    "--seconds", default=15.0, show_default=True, help="Duration of fault injection."
)
@click.option(
    "--faults", default=14, show_default=True, help="Number of faults and series."
)
@click.option("--daemons", default=3, show_default=True, help="Number of daemons.")
@click.option("--clients", default=12, show_default=True, help="Concurrent clients.")
@click.option(
    "--restores",
    default=1,
    show_default=True,
    help="Number of times the store returns to an older copy.",
)
@click.option(
    "--stops",
    default=0,
    show_default=True,
    help="Number of planned stops, with the faults that overlap them.",
)
@click.option(
    "--grace",
    default=GRACE_SECONDS,
    show_default=True,
    help="Grace period of a stop in seconds.",
)
@click.option(
    "--releases",
    default=0,
    show_default=True,
    help="Number of releases of targets at another software version.",
)
@click.option(
    "--kills",
    default=0,
    show_default=True,
    help="Number of times all daemons are killed while targets refuse requests.",
)
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder for logs and settings; default: a new temporary folder.",
)
@click.option("--regressions", is_flag=True, help="Run the seeds that failed before.")
def main(
    seed: int | None,
    seconds: float,
    faults: int,
    daemons: int,
    clients: int,
    restores: int,
    stops: int,
    grace: float,
    releases: int,
    kills: int,
    folder: Path | None,
    regressions: bool,
) -> None:
    """Run daemons under faults; exit with 1 if an invariant was violated."""
    seeds = [time.time_ns() % 10**9 if seed is None else seed]
    if regressions:
        seeds = [int(section) for section in read_regressions()]
        restores = stops = releases = kills = 0
    violation_count = 0
    for current_seed in seeds:
        click.echo(f"seed {current_seed}")
        log_folder = folder or Path(tempfile.mkdtemp(prefix=f"soak-{current_seed}-"))
        log_folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            run_soak(
                current_seed,
                seconds,
                faults,
                daemons,
                clients,
                log_folder,
                restores,
                stops,
                grace,
                releases,
                kills,
            )
        )
        click.echo(describe(report))
        click.echo(f"logs in {log_folder}")
        violation_count += len(report.violations)
    sys.exit(1 if violation_count else 0)


def read_regressions(path: Path = REGRESSIONS) -> dict[str, str]:
    """Return the seeds that failed in earlier runs, each with its cause."""
    parser = configparser.ConfigParser()
    parser.read_string(path.read_text(encoding="utf-8"))
    return {section: parser[section]["cause"] for section in parser.sections()}


if __name__ == "__main__":
    main()
