"""Run the commands that apply an operators' file and read it back."""

import asyncio
import difflib
from dataclasses import replace
from pathlib import Path

import click
from result import Err, Ok, Result

from galenapass.tool.configurations import NOTHING, Stored, read_stored, write_stored
from galenapass.tool.offline import describe_faults, read_checked
from galenapass.tool.options import Connection, connect_option, json_option
from galenapass.tool.output import Exit, Failure, fail, show_json
from galenapass.verdicts import Run

__all__ = ["apply", "show"]

MAX_DIFF = 60
"""Lines of a difference that are shown."""

DOUBT = "the file may still come into force, so read it back before another try"


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
    checked = read_checked(file)
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
        wanted = "operators' file" if version is None else f"version {version}"
        fail(Failure(Exit.FAILED, f"{connection.name} holds no {wanted}"), as_json)
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
    earlier = base.ok_value
    if version is None:
        _show_base(earlier, text)
    number = earlier.version if version is None else version
    written = await write_stored(connection, text, number)
    if isinstance(written, Ok):
        return written
    failure = written.err_value
    if failure.exit is Exit.CONFLICT:
        return Err(await _explain_conflict(connection, failure, earlier))
    if failure.run is Run.NOT_RUN:
        return Err(failure)
    return await _read_back(connection, text, number, failure)


def _show_base(earlier: Stored, text: str) -> None:
    if not earlier.version:
        click.echo("no file is in force yet", err=True)
        return
    click.echo(f"based on version {earlier.version}, now in force", err=True)
    _show_difference(earlier, text, "the file")


async def _explain_conflict(
    connection: Connection, failure: Failure, earlier: Stored
) -> Failure:
    current = (await read_stored(connection)).unwrap_or(NOTHING)
    if earlier.version and failure.versions == (earlier.version, current.version):
        _show_difference(earlier, current.text, f"version {current.version}")
    return failure


async def _read_back(
    connection: Connection, text: str, base: int, failure: Failure
) -> Result[int, Failure]:
    """Resolve a lost answer: the write may have taken effect."""
    current = (await read_stored(connection)).unwrap_or(NOTHING)
    if current.version > base and current.text == text:
        return Ok(current.version)
    return Err(replace(failure, sentence=f"{failure.sentence}; {DOUBT}"))


def _show_difference(earlier: Stored, text: str, name: str) -> None:
    lines = list(
        difflib.unified_diff(
            earlier.text.splitlines(),
            text.splitlines(),
            f"version {earlier.version}",
            name,
            lineterm="",
            n=1,
        )
    )
    for line in lines[:MAX_DIFF]:
        click.echo(line, err=True)
    if len(lines) > MAX_DIFF:
        click.echo(f"... {len(lines) - MAX_DIFF} more lines", err=True)
