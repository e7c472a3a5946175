"""Implement the commands that apply and show an operators' file."""

import asyncio
import difflib
from dataclasses import replace
from pathlib import Path

import click
from result import Err, Ok, Result

from galenapass.tool.configurations import (
    NO_FILE,
    StoredFile,
    read_stored,
    write_stored,
)
from galenapass.tool.offline import describe_faults, read_operators_file
from galenapass.tool.options import Connection, connect_option, json_option
from galenapass.tool.output import Exit, Failure, fail, show_json
from galenapass.verdicts import Run

__all__ = ["apply", "show"]

MAX_DIFF_LINES = 60
UNCERTAIN_WRITE_HINT = (
    "the file may still come into force, so read it back before another try"
)


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--base",
    type=click.IntRange(min=0),
    help="Version that FILE is based on, 0 for none; else the one in force.",
)
@connect_option(platform=True)
@json_option
def apply(connection: Connection, file: Path, base: int | None, as_json: bool) -> None:
    """Put an operators' file in force as a whole."""
    checked = read_operators_file(file)
    if isinstance(checked, Err):
        fail(describe_faults(file, checked.err_value), as_json)
    text = checked.ok_value.text
    outcome = asyncio.run(_apply(connection, text, base))
    if isinstance(outcome, Err):
        fail(outcome.err_value, as_json)
    if as_json:
        show_json({"version": outcome.ok_value})
    else:
        click.echo(f"accepted as version {outcome.ok_value}")


@click.command()
@click.option("--version", type=click.IntRange(min=1), help="An older version.")
@connect_option(platform=True)
@json_option
def show(connection: Connection, version: int | None, as_json: bool) -> None:
    """Print the operators' file in force and, on stderr, its version.

    An older one is there only while the daemon that is asked holds it.
    """
    found = asyncio.run(read_stored(connection, version))
    if isinstance(found, Err):
        fail(found.err_value, as_json)
    stored = found.ok_value
    if not stored.version:
        missing = "operators' file" if version is None else f"version {version}"
        fail(Failure(Exit.FAILED, f"{connection.name} holds no {missing}"), as_json)
    if as_json:
        show_json({"version": stored.version, "text": stored.text})
        return
    click.echo(f"version {stored.version}", err=True)
    click.echo(stored.text, nl=not stored.text.endswith("\n"))


async def _apply(
    connection: Connection, text: str, version: int | None
) -> Result[int, Failure]:
    base = await read_stored(connection, version)
    if isinstance(base, Err):
        return base
    base_file = base.ok_value
    if version is None:
        _show_base(base_file, text)
    base_version = base_file.version if version is None else version
    written = await write_stored(connection, text, base_version)
    if isinstance(written, Ok):
        return written
    failure = written.err_value
    if failure.exit is Exit.CONFLICT:
        return Err(await _explain_conflict(connection, failure, base_file))
    if failure.run is Run.NOT_RUN:
        return Err(failure)
    return await _read_back(connection, text, base_version, failure)


def _show_base(base_file: StoredFile, text: str) -> None:
    if not base_file.version:
        click.echo("no file is in force yet", err=True)
        return
    click.echo(f"based on version {base_file.version}, now in force", err=True)
    _show_difference(base_file, text, "the file")


async def _explain_conflict(
    connection: Connection, failure: Failure, base_file: StoredFile
) -> Failure:
    current = (await read_stored(connection)).unwrap_or(NO_FILE)
    if base_file.version and failure.versions == (base_file.version, current.version):
        _show_difference(base_file, current.text, f"version {current.version}")
    return failure


async def _read_back(
    connection: Connection, text: str, base: int, failure: Failure
) -> Result[int, Failure]:
    """Read the file back to check whether a write without an answer took effect."""
    current = (await read_stored(connection)).unwrap_or(NO_FILE)
    if current.version > base and current.text == text:
        return Ok(current.version)
    return Err(replace(failure, message=f"{failure.message}; {UNCERTAIN_WRITE_HINT}"))


def _show_difference(base_file: StoredFile, text: str, name: str) -> None:
    lines = list(
        difflib.unified_diff(
            base_file.text.splitlines(),
            text.splitlines(),
            f"version {base_file.version}",
            name,
            lineterm="",
            n=1,
        )
    )
    for line in lines[:MAX_DIFF_LINES]:
        click.echo(line, err=True)
    if len(lines) > MAX_DIFF_LINES:
        click.echo(f"... {len(lines) - MAX_DIFF_LINES} more lines", err=True)
