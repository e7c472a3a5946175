"""Implement the commands that need no connection."""

import hashlib
import sys
from pathlib import Path

import click
from result import Err, Result

from galenapass.settings.daemon import read_daemon_settings
from galenapass.settings.files import read_text
from galenapass.settings.fleet import parse_configuration
from galenapass.settings.reference import format_reference
from galenapass.settings.schema import Fault
from galenapass.settings.values import parse_secret
from galenapass.tables.configurations import Configuration
from galenapass.tool.options import json_option
from galenapass.tool.output import Exit, Failure, fail, show_json

__all__ = ["check", "hash_key", "read_operators_file", "reference"]


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--settings", is_flag=True, help="FILE is the settings of a daemon.")
@json_option
def check(file: Path, settings: bool, as_json: bool) -> None:
    """Check an operators' file without applying it."""
    read = read_daemon_settings if settings else read_operators_file
    checked: Result[object, list[Fault]] = read(file)  # type: ignore[operator]
    if isinstance(checked, Err):
        fail(describe_faults(file, checked.err_value), as_json)
    counts = _count_entries(checked.ok_value)
    if as_json:
        show_json({"file": str(file), "faults": [], **counts})
    else:
        listed = ", ".join(f"{count} {name}" for name, count in counts.items())
        click.echo(f"{file}: no faults" + (f" ({listed})" if listed else ""))


@click.command()
@json_option
def hash_key(as_json: bool) -> None:
    """Print the SHA-256 of a caller's key, read from a prompt or a pipe."""
    if sys.stdin.isatty():
        key = click.prompt("Key", hide_input=True, confirmation_prompt=True, err=True)
    else:
        key = sys.stdin.readline().rstrip("\r\n")
    checked = parse_secret(key)
    if isinstance(checked, Err):
        fail(Failure(Exit.FAULTS, f"the key needs {checked.err_value}"), as_json)
    digest = hashlib.sha256(key.encode()).hexdigest()
    if as_json:
        show_json({"key_sha256": digest})
    else:
        click.echo(digest)


@click.command()
def reference() -> None:
    """Print the reference of all settings as Markdown."""
    click.echo(format_reference(), nl=False)


def read_operators_file(file: Path) -> Result[Configuration, list[Fault]]:
    """Read and check an operators' file."""
    return read_text(file).and_then(
        lambda text: parse_configuration(text, 0, str(file))
    )


def describe_faults(file: Path, faults: list[Fault]) -> Failure:
    """Return the failure for a file with faults."""
    count = f"{len(faults)} fault" + ("s" if len(faults) > 1 else "")
    return Failure(Exit.FAULTS, f"{file}: {count}", faults=tuple(faults))


def _count_entries(checked: object) -> dict[str, int]:
    if not isinstance(checked, Configuration):
        return {}
    return {
        "services": len(checked.services),
        "targets": len(checked.targets),
        "callers": len(checked.callers),
    }
