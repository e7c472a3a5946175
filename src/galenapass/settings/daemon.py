"""Parse the settings file of a daemon."""

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from galenapass.settings.addresses import Address, parse_address, parse_listen_address
from galenapass.settings.files import read_text
from galenapass.settings.ini import read_defaults, read_ini
from galenapass.settings.parsed_file import ParsedFile
from galenapass.settings.schema import Fault, Key, Schema, Section
from galenapass.settings.values import (
    StandardStream,
    parse_choice,
    parse_data_rate,
    parse_duration,
    parse_list,
    parse_name,
    parse_outlet,
    parse_path,
    parse_secret,
    parse_size,
)

__all__ = [
    "DAEMON_SCHEMA",
    "DaemonSettings",
    "parse_daemon_settings",
    "read_daemon_settings",
]


@dataclass(slots=True, frozen=True)
class DaemonSettings:
    """Settings of one daemon; sizes in bytes, budgets in bytes per second."""

    host: str
    domain: str
    callers_listen: Address
    body_limit: int
    body_timeout: timedelta
    tls_certificate: Path | None
    tls_key: Path | None
    operators_listen: Address
    operators_token: str
    peers_listen: Address
    peers_secret: str
    peers_join: tuple[Address, ...]
    peers_budget: int
    pooled: bool
    platform_address: Address
    platform_token: str | None
    logs_outlet: StandardStream | Path
    stop_within: timedelta


DAEMON_SCHEMA = Schema(
    "Settings of a daemon",
    "One file a daemon, read once when it starts.",
    (
        Section(
            "host",
            "The host that the daemon runs on.",
            (
                Key("id", "host", parse_name, "Name of the host.", required=True),
                Key(
                    "domain",
                    "domain",
                    parse_name,
                    "Failure domain of the host.",
                    required=True,
                ),
            ),
            required=True,
        ),
        Section(
            "callers",
            "The port that callers send their requests to.",
            (
                Key(
                    "listen",
                    "callers_listen",
                    parse_listen_address,
                    "Address to listen on; port 0 picks a free port.",
                    required=True,
                ),
                Key(
                    "body limit",
                    "body_limit",
                    parse_size,
                    "Largest body of a request.",
                    "4 MB",
                ),
                Key(
                    "body timeout",
                    "body_timeout",
                    parse_duration,
                    "Longest time that a body may take to arrive.",
                    "10 s",
                ),
                Key(
                    "tls certificate",
                    "tls_certificate",
                    parse_path,
                    "PEM file of the certificate chain; needs `tls key`.",
                ),
                Key(
                    "tls key",
                    "tls_key",
                    parse_path,
                    "PEM file of the private key; needs `tls certificate`.",
                ),
            ),
            required=True,
        ),
        Section(
            "operators",
            "The port that operators apply files at.",
            (
                Key(
                    "listen",
                    "operators_listen",
                    parse_listen_address,
                    "Address to listen on; port 0 picks a free port.",
                    required=True,
                ),
                Key(
                    "token",
                    "operators_token",
                    parse_secret,
                    "Bearer token that operators show.",
                    required=True,
                    secret=True,
                ),
            ),
            required=True,
        ),
        Section(
            "peers",
            "The port for the other daemons.",
            (
                Key(
                    "listen",
                    "peers_listen",
                    parse_address,
                    "Address to listen on, as the other daemons reach it.",
                    required=True,
                ),
                Key(
                    "secret",
                    "peers_secret",
                    parse_secret,
                    "Secret that all daemons of the fleet share.",
                    required=True,
                    secret=True,
                ),
                Key(
                    "join",
                    "peers_join",
                    parse_list(parse_address, may_be_empty=True),
                    "Addresses of some daemons to learn the others from.",
                    "",
                ),
                Key(
                    "budget",
                    "peers_budget",
                    parse_data_rate,
                    "Most data a second to send to the other daemons.",
                    "11 KB/s",
                ),
                Key(
                    "reach",
                    "pooled",
                    parse_choice({"fleet": True, "domain": False}),
                    "`fleet` routes to the targets of every failure domain, "
                    "`domain` to those of the own one.",
                    "fleet",
                ),
            ),
            required=True,
        ),
        Section(
            "platform",
            "The platform's service.",
            (
                Key(
                    "address",
                    "platform_address",
                    parse_address,
                    "Address of the object API and the host list.",
                    required=True,
                ),
                Key(
                    "token",
                    "platform_token",
                    parse_secret,
                    "Bearer token shown to the platform.",
                    secret=True,
                ),
            ),
            required=True,
        ),
        Section(
            "logs",
            "Where the log lines go.",
            (
                Key(
                    "outlet",
                    "logs_outlet",
                    parse_outlet,
                    "`stderr`, `stdout` or the path of a file.",
                    "stderr",
                ),
            ),
        ),
        Section(
            "stop",
            "The graceful shutdown.",
            (
                Key(
                    "within",
                    "stop_within",
                    parse_duration,
                    "Longest time that a shutdown waits for requests.",
                    "30 s",
                ),
            ),
        ),
    ),
)


def read_daemon_settings(path: Path) -> Result[DaemonSettings, list[Fault]]:
    """Read and parse the settings file of a daemon."""
    return read_text(path).and_then(lambda text: parse_daemon_settings(text, str(path)))


def parse_daemon_settings(
    text: str, source: str
) -> Result[DaemonSettings, list[Fault]]:
    """Parse the settings of a daemon, or return all faults found."""
    file = read_ini(text, source, DAEMON_SCHEMA)
    _check_tls(file)
    if file.faults:
        return Err(file.faults)
    return Ok(DaemonSettings(**_gather_values(file)))


def _check_tls(file: ParsedFile) -> None:
    pair = ("tls certificate", "tls key")
    for block in file.find_blocks("callers"):
        missing = [key for key in pair if key not in block.raw]
        if len(missing) == 1:
            file.add_fault(
                block,
                missing[0],
                "`tls certificate` and `tls key` to be set together",
            )


def _gather_values(file: ParsedFile) -> dict[str, Any]:
    defaults = read_defaults(DAEMON_SCHEMA)
    for block in file.blocks:
        defaults.update(block.values)
    return defaults
