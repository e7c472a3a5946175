"""Implement the command that shows the usage of organisations."""

from collections import Counter
from typing import Any

import click
from result import Err

from galenapass.tool.clients import fetch
from galenapass.tool.options import Connection, connect_option, json_option
from galenapass.tool.output import Exit, Failure, fail, show_json, show_table

__all__ = ["usage"]


@click.command()
@connect_option()
@json_option
@click.option("--organisation", help="Only this organisation.")
def usage(connection: Connection, as_json: bool, organisation: str | None) -> None:
    """Show the requests of each organisation by window, and what was reported.

    The address is that of a host's metrics; the holder of the duty knows all windows,
    other schedulers what their hosts told them.
    """
    found = fetch(connection, "/usage")
    if isinstance(found, Err):
        fail(found.err_value, as_json)
    try:
        windows = [_select(row, organisation) for row in found.ok_value["windows"]]
        if as_json:
            show_json({"windows": windows})
            return
        _show_windows(windows)
    except (KeyError, TypeError, AttributeError):
        message = f"{connection.name} gave an answer that this tool cannot read"
        fail(Failure(Exit.FAILED, message), as_json)


def _select(row: dict[str, Any], organisation: str | None) -> dict[str, Any]:
    counts = row["counts"]
    if organisation is not None:
        counts = {name: counts[name] for name in counts if name == organisation}
    return row | {"counts": counts}


def _show_windows(windows: list[dict[str, Any]]) -> None:
    total: Counter[str] = Counter()
    for row in windows:
        total.update(row["counts"])
    show_table(
        ("WINDOW", "STATE", "REQUESTS"),
        [(row["window"], row["state"], sum(row["counts"].values())) for row in windows],
    )
    click.echo()
    show_table(("ORGANISATION", "REQUESTS"), total.most_common())
