"""Read the settings file that the platform writes for each process."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from galenapass.settings.schema import Fault

__all__ = ["HostSettings", "read_host_settings"]

_MILLISECOND = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Hold what the platform tells one daemon.

    ``front`` takes clients, ``ready`` the platform's checks, ``peers`` the
    datagrams of the other daemons. ``shutdown`` is how
    long a stop may take before the process is killed; ``lease`` bounds how long
    two holders may not give orders in turn. ``is_first_start`` tells that the whole
    system starts for the first time; ``power`` is the host's processor in cores.
    """

    host: str
    domain: str
    front: tuple[str, int]
    ready: tuple[str, int]
    peers: tuple[str, int]
    store: str
    shutdown: timedelta
    lease: timedelta
    budget: RetryBudgetTerms
    is_first_start: bool = False
    power: float = 1.0


class _FieldError(ValueError):
    """Name a field of the file and what is wrong with it."""

    def __init__(self, field: str, value: object, expected: str):
        super().__init__(f"{field} is {value!r}")
        self.field, self.value, self.expected = field, value, expected


def read_host_settings(path: Path) -> Result[HostSettings, Fault]:
    """Return the settings, or the first fault in them."""
    try:
        return Ok(_decode(tomllib.loads(path.read_text(encoding="utf-8"))))
    except _FieldError as error:
        fault = Fault(str(path), "", error.field, str(error.value), error.expected)
        return Err(fault)
    except (OSError, ValueError) as error:
        expected = f"a readable TOML file ({error})"
        return Err(Fault(str(path), "", "", "", expected))


def _decode(data: Mapping[str, Any]) -> HostSettings:
    budget = RetryBudgetTerms(
        share=_number(data, "bounds", "budget_ratio"),
        fixed=_number(data, "bounds", "retry_slack"),
        window=_number(data, "bounds", "budget_window_s") * _SECOND,
    )
    return HostSettings(
        host=_text(data, "node_name"),
        domain=_text(data, "zone"),
        front=_address(data, "listen", "front"),
        ready=_address(data, "listen", "ready"),
        peers=(_text(data, "ip"), _first_port(data)),
        store=_text(data, "platform", "address"),
        shutdown=_number(data, "bounds", "grace_s") * _SECOND,
        lease=_number(data, "bounds", "lease_ms") * _MILLISECOND,
        budget=budget,
        is_first_start=data.get("bootstrap") is True,
        power=_find_power(data),
    )


def _find_power(data: Mapping[str, Any]) -> float:
    """Return the part of a core that a host has, times how fast the core is."""
    if "limits" not in data:
        return 1.0
    return _number(data, "limits", "cpu_share") * _number(data, "limits", "cores")


def _find(data: Mapping[str, Any], *path: str) -> Any:
    value: Any = data
    for name in path:
        if not isinstance(value, Mapping) or name not in value:
            raise _FieldError(".".join(path), None, "a value")
        value = value[name]
    return value


def _text(data: Mapping[str, Any], *path: str) -> str:
    value = _find(data, *path)
    if not isinstance(value, str) or not value:
        raise _FieldError(".".join(path), value, "text")
    return value


def _number(data: Mapping[str, Any], *path: str) -> float:
    value = _find(data, *path)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or value < 0:
        raise _FieldError(".".join(path), value, "a number of 0 or more")
    return float(value)


def _address(data: Mapping[str, Any], *path: str) -> tuple[str, int]:
    value = _text(data, *path)
    ip, _, port = value.rpartition(":")
    if not ip or not port.isdigit():
        raise _FieldError(".".join(path), value, "IP:PORT")
    return ip, int(port)


def _first_port(data: Mapping[str, Any]) -> int:
    """Return the first of the ports that are free for use between daemons."""
    ports = _find(data, "internal_port_range")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise _FieldError("internal_port_range", ports, "two port numbers")
    return ports[0]
