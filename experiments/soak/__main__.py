"""Run one soak from a seed and report what was seen."""

import asyncio
import configparser
import sys
import tempfile
import time
from pathlib import Path

import click

from experiments.soak.runs import describe, run_soak

__all__ = ["main", "read_regressions"]

REGRESSIONS = Path(__file__).with_name("regressions.ini")


@click.command(name="soak")
@click.option("--seed", type=int, help="Seed of the faults; by default from the clock.")
@click.option("--seconds", default=15.0, show_default=True, help="Time with faults.")
@click.option("--faults", default=14, show_default=True, help="Faults and series.")
@click.option("--daemons", default=3, show_default=True, help="Processes.")
@click.option("--clients", default=12, show_default=True, help="Clients at once.")
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False),
    help="Where logs and settings are kept; by default a new temporary folder.",
)
@click.option("--regressions", is_flag=True, help="Play the seeds that ever failed.")
def main(
    seed: int | None,
    seconds: float,
    faults: int,
    daemons: int,
    clients: int,
    folder: Path | None,
    regressions: bool,
) -> None:
    """Disturb daemons from outside; exit with 1 when a promise was broken."""
    seeds = [time.time_ns() % 10**9 if seed is None else seed]
    if regressions:
        seeds = [int(section) for section in read_regressions()]
    broken = 0
    for chosen in seeds:
        click.echo(f"seed {chosen}")
        kept = folder or Path(tempfile.mkdtemp(prefix=f"soak-{chosen}-"))
        kept.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(run_soak(chosen, seconds, faults, daemons, clients, kept))
        click.echo(describe(report))
        click.echo(f"logs in {kept}")
        broken += len(report.violations)
    sys.exit(1 if broken else 0)


def read_regressions(path: Path = REGRESSIONS) -> dict[str, str]:
    """Return the seeds that ever failed, each with the cause."""
    parser = configparser.ConfigParser()
    parser.read_string(path.read_text(encoding="utf-8"))
    return {section: parser[section]["cause"] for section in parser.sections()}


if __name__ == "__main__":
    main()
