"""Read the settings file that the platform writes for each daemon."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from galenapass.forwarding.operations import Duty, OperationsTerms
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from galenapass.settings.schema import Fault

__all__ = ["HostSettings", "read_host_settings"]

# Of the smallest hosts, where the settings name no limit.
DEFAULT_MEMORY_BYTES = 160 * 10**6
MEGABYTE = 10**6

_MILLISECOND = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_DUTIES = {"usage_report": Duty.USAGE, "autoscale": Duty.SIZES}


@dataclass(slots=True, frozen=True)
class HostSettings:
    """Settings that the platform gives one daemon.

    ``front`` listens for clients, ``ready`` for the platform's readiness checks and
    ``peers`` for datagrams of other daemons. ``grace_period`` limits a stop until the
    process is killed; ``lease`` is the minimum time between orders of two alternating
    holders. ``is_first_start`` marks the first start of the whole system; ``power`` is
    the host's processor capacity in cores, ``memory`` the bytes above which the process
    is killed. ``operations`` is None if the platform asks for no duty.
    """

    host: str
    domain: str
    front: tuple[str, int]
    ready: tuple[str, int]
    peers: tuple[str, int]
    store: str
    grace_period: timedelta
    lease: timedelta
    budget: RetryBudgetTerms
    is_first_start: bool = False
    power: float = 1.0
    memory: int = DEFAULT_MEMORY_BYTES
    operations: OperationsTerms | None = None


class _FieldError(ValueError):
    """Invalid or missing field of the settings file."""

    def __init__(self, field: str, value: object, expected: str):
        super().__init__(f"{field} is {value!r}")
        self.field, self.value, self.expected = field, value, expected


def read_host_settings(path: Path) -> Result[HostSettings, Fault]:
    """Return the settings, or the first fault in the file."""
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
        share=_get_float(data, "bounds", "budget_ratio"),
        fixed=_get_float(data, "bounds", "retry_slack"),
        window=_get_float(data, "bounds", "budget_window_s") * _SECOND,
    )
    return HostSettings(
        host=_get_text(data, "node_name"),
        domain=_get_text(data, "zone"),
        front=_get_address(data, "listen", "front"),
        ready=_get_address(data, "listen", "ready"),
        peers=(_get_text(data, "ip"), _get_first_port(data)),
        store=_get_text(data, "platform", "address"),
        grace_period=_get_float(data, "bounds", "grace_s") * _SECOND,
        lease=_get_float(data, "bounds", "lease_ms") * _MILLISECOND,
        budget=budget,
        is_first_start=data.get("bootstrap") is True,
        power=_compute_power(data),
        memory=_find_memory(data),
        operations=_decode_operations(data),
    )


def _decode_operations(data: Mapping[str, Any]) -> OperationsTerms | None:
    """Return the terms of the duties; duties of other names belong to later builds."""
    # Keys that a platform does not use may be empty.
    cloud = data.get("cloud") or {}
    if not isinstance(cloud, Mapping):
        raise _FieldError("cloud", cloud, "a table")
    names = cloud.get("duties") or []
    if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
        raise _FieldError("cloud.duties", names, "a list of names")
    duties = frozenset(_DUTIES[name] for name in names if name in _DUTIES)
    if not duties:
        return None
    terms = OperationsTerms(_get_text(data, "cloud", "address"), duties)
    if "duty_per_s" in cloud:
        rate = _get_float(data, "cloud", "duty_per_s")
        terms = replace(terms, calls_per_second=rate)
    if Duty.USAGE not in duties:
        return terms
    seconds = _get_float(data, "bounds", "report_window_s")
    window = seconds * _SECOND
    # Times are divided by it, and have a resolution of a microsecond.
    if not window:
        expected = "a number above 0"
        raise _FieldError("bounds.report_window_s", seconds, expected)
    return replace(
        terms,
        window=window,
        lateness=_get_float(data, "bounds", "usage_late_s") * _SECOND,
    )


def _find_memory(data: Mapping[str, Any]) -> int:
    if "memory_mb" not in data.get("limits", {}):
        return DEFAULT_MEMORY_BYTES
    return int(_get_float(data, "limits", "memory_mb") * MEGABYTE)


def _compute_power(data: Mapping[str, Any]) -> float:
    """Return the host's share of a core times the relative speed of the core."""
    if "limits" not in data:
        return 1.0
    return _get_float(data, "limits", "cpu_share") * _get_float(data, "limits", "cores")


def _get_value(data: Mapping[str, Any], *path: str) -> Any:
    value: Any = data
    for name in path:
        if not isinstance(value, Mapping) or name not in value:
            raise _FieldError(".".join(path), None, "a value")
        value = value[name]
    return value


def _get_text(data: Mapping[str, Any], *path: str) -> str:
    value = _get_value(data, *path)
    if not isinstance(value, str) or not value:
        raise _FieldError(".".join(path), value, "text")
    return value


def _get_float(data: Mapping[str, Any], *path: str) -> float:
    value = _get_value(data, *path)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or value < 0:
        raise _FieldError(".".join(path), value, "a number of 0 or more")
    return float(value)


def _get_address(data: Mapping[str, Any], *path: str) -> tuple[str, int]:
    value = _get_text(data, *path)
    ip, _, port = value.rpartition(":")
    if not ip or not port.isdigit():
        raise _FieldError(".".join(path), value, "IP:PORT")
    return ip, int(port)


def _get_first_port(data: Mapping[str, Any]) -> int:
    """Return the first of the ports reserved for traffic between daemons."""
    ports = _get_value(data, "internal_port_range")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise _FieldError("internal_port_range", ports, "two port numbers")
    return ports[0]
