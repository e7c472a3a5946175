"""Define the options that several commands share."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import wraps
from typing import Any, TypeVar

import click
from result import Err

from galenapass.settings.addresses import Address, parse_address
from galenapass.settings.values import Parser, parse_duration

__all__ = ["Connection", "connect_option", "json_option", "parse_with"]

T = TypeVar("T")
Command = Callable[..., Any]


@dataclass(slots=True, frozen=True)
class Connection:
    """Server to call: a daemon's operators' port or the platform's object API."""

    address: Address
    token: str
    timeout: timedelta
    is_platform: bool = False

    @property
    def name(self) -> str:
        """Return the name of the server in messages."""
        side = "the platform" if self.is_platform else "the daemon"
        return f"{side} at {self.address}"


def parse_with(parse: Parser[T]) -> Callable[..., T | None]:
    """Return a callback that parses the value of an option."""

    def read(
        context: click.Context, option: click.Parameter, value: str | None
    ) -> T | None:
        if value is None:
            return None
        parsed = parse(value)
        if isinstance(parsed, Err):
            raise click.BadParameter(f"{value!r}: expected {parsed.err_value}")
        return parsed.ok_value

    return read


def json_option(command: Command) -> Command:
    """Add the option ``--json`` to a command."""
    return click.option(
        "--json", "as_json", is_flag=True, help="Print JSON instead of text."
    )(command)


def connect_option(platform: bool = False) -> Callable[[Command], Command]:
    """Add the connection options; the command receives them as one ``Connection``."""

    def decorate(command: Command) -> Command:
        @wraps(command)
        def run(
            daemon: Address | None,
            token: str,
            timeout: timedelta,
            platform: Address | None = None,
            **rest: Any,
        ) -> Any:
            address = daemon or platform
            if address is None or (daemon and platform):
                raise click.UsageError(_list_choices(has_platform))
            connection = Connection(address, token, timeout, platform is not None)
            return command(connection=connection, **rest)

        return _add_options(run, has_platform)

    has_platform = platform
    return decorate


def _list_choices(has_platform: bool) -> str:
    choices = "--daemon IP:PORT" + (" or --platform IP:PORT" if has_platform else "")
    return f"give {choices}" + (", not both" if has_platform else "")


def _add_options(run: Command, has_platform: bool) -> Command:
    run = click.option(
        "--timeout",
        default="10 s",
        show_default=True,
        callback=parse_with(parse_duration),
        help="Longest wait for an answer.",
    )(run)
    run = click.option(
        "--token",
        envvar="GALENAPASS_TOKEN",
        default="",
        help="Bearer token; better in the environment as GALENAPASS_TOKEN.",
    )(run)
    if has_platform:
        run = click.option(
            "--platform",
            envvar="GALENAPASS_PLATFORM",
            metavar="IP:PORT",
            callback=parse_with(parse_address),
            help="The platform's object API, in place of a daemon.",
        )(run)
    return click.option(
        "--daemon",
        envvar="GALENAPASS_DAEMON",
        metavar="IP:PORT",
        callback=parse_with(parse_address),
        help="The operators' port of any daemon.",
    )(run)
