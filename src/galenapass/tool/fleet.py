"""Implement the commands that show the state of the fleet."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import click
from result import Err

from galenapass.tables.targets import Role, TargetKind, TargetState
from galenapass.tool.clients import fetch
from galenapass.tool.options import Connection, connect_option, json_option
from galenapass.tool.output import Exit, Failure, fail, show_json, show_table

__all__ = ["roles", "status", "targets"]

STATUS_KEYS = ("host", "domain", "incarnation", "ready", "settings_version", "platform")
HOST_KEYS = ("id", "domain", "state", "settings_version")
TARGET_KEYS = (
    "id",
    "service",
    "domain",
    "kind",
    "role",
    "state",
    "running",
    "waiting",
    "pieces_used",
    "pieces_total",
    "report_age",
)
HEADINGS = {"report_age": "REPORT AGE (S)"}
ROLES = tuple(role.value for role in Role)
ROLE_CHANGE_STATES = (TargetState.DRAINING.value, TargetState.CHANGING.value)
"""States of a target that changes its role."""


@click.command()
@connect_option()
@json_option
def status(connection: Connection, as_json: bool) -> None:
    """Show a daemon and which version each host has in force."""
    found = _fetch(connection, "/status", as_json)
    if as_json:
        show_json(found)
        return
    _render(connection, found, _show_status)


@click.command()
@connect_option()
@json_option
def targets(connection: Connection, as_json: bool) -> None:
    """List the targets with their role, state and load."""
    found = _fetch(connection, "/targets", as_json)
    if as_json:
        show_json(found)
        return
    _render(connection, found, _show_targets)


@click.command()
@connect_option()
@json_option
def roles(connection: Connection, as_json: bool) -> None:
    """Count the engines of each service and failure domain by role."""
    found = _fetch(connection, "/targets", as_json)
    _render(connection, found, lambda value: _show_roles(value, as_json))


def _fetch(connection: Connection, path: str, as_json: bool) -> Any:
    found = fetch(connection, path)
    if isinstance(found, Err):
        fail(found.err_value, as_json)
    return found.ok_value


def _render(connection: Connection, value: Any, show: Callable[[Any], None]) -> None:
    try:
        show(value)
    except (KeyError, TypeError, AttributeError):
        message = f"{connection.name} gave an answer that this tool cannot read"
        fail(Failure(Exit.FAILED, message), False)


def _show_status(value: Any) -> None:
    rows = [(key.replace("_", " "), _format_value(value[key])) for key in STATUS_KEYS]
    rows.append(("duties", ", ".join(value["duties"])))
    width = max(len(name) for name, _ in rows)
    for name, text in rows:
        click.echo(f"{name.ljust(width)}  {text or '-'}")
    click.echo()
    _show_rows(HOST_KEYS, value["hosts"])


def _show_targets(value: Any) -> None:
    _show_rows(TARGET_KEYS, value["targets"])


def _show_rows(keys: tuple[str, ...], rows: list[dict[str, Any]]) -> None:
    headings = [HEADINGS.get(key, key.replace("_", " ").upper()) for key in keys]
    show_table(headings, [[row[key] for key in keys] for row in rows])


def _show_roles(value: Any, as_json: bool) -> None:
    counts: dict[tuple[str, str], Counter[str]] = {}
    for target in value["targets"]:
        if target["kind"] == TargetKind.ENGINE.value:
            group = (target["service"], target["domain"])
            count = counts.setdefault(group, Counter())
            count[target["role"]] += 1
            count["away"] += target["state"] in ROLE_CHANGE_STATES
    columns = (*ROLES, "away")
    rows = [
        (*group, *(count[column] for column in columns))
        for group, count in sorted(counts.items())
    ]
    names = ("service", "domain", *columns)
    if as_json:
        show_json({"roles": [dict(zip(names, row, strict=True)) for row in rows]})
    else:
        show_table([name.upper() for name in names], rows)


def _format_value(value: Any) -> str:
    flags = {True: "yes", False: "no"}
    return flags[value] if isinstance(value, bool) else str(value)
