"""Show from a log of all hosts which host was the last to apply each configuration."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, TextIO

import click
import orjson

__all__ = ["HostSteps", "describe_versions", "main", "read_steps"]

ANNOUNCED = "state: configuration is announced"
RECEIVED = "state: configuration is received"
NOT_READ = "state: configuration is not read"
IN_FORCE = "state: configuration is in force"


@dataclass(slots=True)
class HostSteps:
    """Times in seconds at which one host took the steps towards one version.

    ``announced`` is when a peer first named the version, ``received`` when its text had
    come, ``source`` how. ``failures`` are the reads that failed before it was in force.
    """

    host: str
    announced: float | None = None
    announced_by: str = ""
    received: float | None = None
    source: str = ""
    in_force: float | None = None
    failures: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Host:
    revisions: dict[int, tuple[float, str]] = field(default_factory=dict)
    versions: dict[int, HostSteps] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)


def read_steps(lines: Iterable[str]) -> dict[int, list[HostSteps]]:
    """Return the steps of each host by version.

    A line holds a time in seconds, a host and a message of its log.
    """
    hosts: dict[str, _Host] = {}
    for time, name, message in _read_messages(lines):
        host = hosts.setdefault(name, _Host())
        _apply_message(host, name, time, message)
    versions: dict[int, list[HostSteps]] = {}
    for host in hosts.values():
        for version, steps in host.versions.items():
            versions.setdefault(version, []).append(steps)
    return versions


def _read_messages(
    lines: Iterable[str],
) -> Iterator[tuple[float, str, dict[str, Any]]]:
    for line in lines:
        start = line.find("{")
        words = line[:start].split()
        if start < 0 or len(words) < 2 or "configuration is" not in line:
            continue
        try:
            yield float(words[0]), words[-1], orjson.loads(line[start:])
        except ValueError:
            # Lines that the bench cut, or that hold another program's output.
            continue


def _apply_message(
    host: _Host, name: str, time: float, message: dict[str, Any]
) -> None:
    text = message.get("text")
    if text == ANNOUNCED:
        steps = host.versions.setdefault(message["version"], HostSteps(name))
        steps.announced, steps.announced_by = time, message["peer"]
    elif text == RECEIVED:
        host.revisions.setdefault(message["revision"], (time, message["source"]))
    elif text == NOT_READ:
        host.failures.append(
            f"{message['source']} failed at {time:.3f} s after {message['took_ms']} ms:"
            f" {message['detail']}"
        )
    elif text == IN_FORCE:
        steps = host.versions.setdefault(message["version"], HostSteps(name))
        steps.in_force = time
        steps.received, steps.source = host.revisions.get(
            message["revision"], (None, "")
        )
        steps.failures, host.failures = host.failures, []


def describe_versions(
    versions: dict[int, list[HostSteps]], slowest: int
) -> Iterator[str]:
    """Yield a line for each version and for each of its ``slowest`` hosts."""
    for version, hosts in sorted(versions.items()):
        applied = [steps for steps in hosts if steps.in_force is not None]
        applied.sort(key=lambda steps: steps.in_force or 0.0)
        if not applied:
            continue
        first, median = applied[0].in_force, applied[len(applied) // 2].in_force
        yield (
            f"version {version}: {len(applied)} hosts, first {first:.3f} s,"
            f" median {median:.3f} s, last {applied[-1].in_force:.3f} s"
        )
        for steps in applied[-slowest:]:
            yield (
                f"  {steps.host}: announced {_format(steps.announced)}"
                f" by {steps.announced_by or 'nobody'}, received"
                f" {_format(steps.received)} by {steps.source or 'unknown'},"
                f" in force {_format(steps.in_force)}"
            )
            yield from (f"    {failure}" for failure in steps.failures)


def _format(time: float | None) -> str:
    return "never" if time is None else f"{time:.3f} s"


@click.command()
@click.argument("log", type=click.File(), default=sys.stdin)
@click.option("--slowest", default=3, show_default=True, help="Hosts to show.")
def main(log: TextIO, slowest: int) -> None:
    """Show the slowest hosts for each version in the LOG of a day."""
    for line in describe_versions(read_steps(log), slowest):
        click.echo(line)


if __name__ == "__main__":
    main()
