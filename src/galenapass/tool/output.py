"""Print results and failures, and exit with the matching status."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NoReturn

import click
import orjson

from galenapass.settings.schema import Fault
from galenapass.verdicts import Run

__all__ = ["Exit", "Failure", "fail", "format_table", "show_json", "show_table"]

COLUMN_GAP = "  "


class Exit(IntEnum):
    """Exit status of a command."""

    DONE = 0
    FAILED = 1
    FAULTS = 2
    CONFLICT = 3
    UNREACHABLE = 4


@dataclass(slots=True, frozen=True)
class Failure:
    """Reason why a command failed; ``run`` says whether a call took effect."""

    exit: Exit
    message: str
    run: Run = Run.NOT_RUN
    faults: tuple[Fault, ...] = ()
    versions: tuple[int, int] | None = None
    retry_after: str = ""


def fail(failure: Failure, as_json: bool) -> NoReturn:
    """Print a failure and exit with its status."""
    if as_json:
        show_json(
            {
                "error": failure.message,
                "exit": failure.exit,
                "verdict": failure.run,
                "faults": failure.faults,
                "versions": failure.versions,
                "retry_after": failure.retry_after or None,
            }
        )
    for fault in failure.faults:
        click.echo(str(fault), err=True)
    click.echo(f"galenapass: {failure.message}", err=True)
    sys.exit(failure.exit)


def show_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2))


def show_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as aligned columns under their headings."""
    for line in format_table(headings, rows):
        click.echo(line)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> list[str]:
    """Return the lines of a table; columns of numbers are aligned to the right."""
    cells = [tuple(headings), *(tuple(map(_format_cell, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    numeric = [
        all(_is_number(row[index]) for row in rows) for index in range(len(widths))
    ]
    return [
        COLUMN_GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, numeric, strict=True)
        ).rstrip()
        for row in cells
    ]


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.2f}"
    return "-" if value is None or value == "" else str(value)


def _is_number(value: Any) -> bool:
    return value is None or isinstance(value, (int, float))
