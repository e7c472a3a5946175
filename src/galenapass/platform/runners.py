"""Decode the entries that runners register in the platform's store."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from galenapass.json_values import describe_value, is_name
from galenapass.settings.addresses import parse_ipv4_address
from galenapass.tables.targets import Role, Target, TargetKind, TargetState

__all__ = ["ROLES_BY_NAME", "ROLE_NAMES", "RUNNERS_KIND", "decode_runner"]

# The store's name of the kind; its objects are runners, not hosts of the system.
RUNNERS_KIND = "servers"

ROLE_NAMES = {Role.PREFILL: "prefill", Role.DECODE: "decode"}

ROLES_BY_NAME = {name: role for role, name in ROLE_NAMES.items()}
# Above any runner's number of concurrent requests.
MAX_SLOTS = 1_000_000
# One day: above any runner's notice, and larger numbers overflow a timedelta.
MAX_TIME_LEFT_MS = 86_400_000
_STATES = {"ready": TargetState.SERVING, "draining": TargetState.LEAVING}


def decode_runner(name: str, entry: Any) -> Result[Target, str]:
    """Return the target that an entry describes, or why the entry is invalid."""
    if not isinstance(entry, Mapping):
        return Err("the entry is not a table")
    names = {key: entry.get(key) for key in ("service", "address", "zone")}
    for key, value in {"name": name, **names}.items():
        if not is_name(value):
            return Err(f"{key} is {describe_value(value)}")
    state_name = entry.get("state")
    state = _STATES.get(state_name) if isinstance(state_name, str) else None
    if state is None:
        return Err(f"state is {describe_value(state_name)}")
    stage = entry.get("stage")
    if stage is not None and not (isinstance(stage, str) and stage in ROLES_BY_NAME):
        return Err(f"stage is {describe_value(stage)}")
    address = parse_ipv4_address(entry["address"])
    if isinstance(address, Err):
        return Err(f"address is {describe_value(entry['address'])}")
    # Version of the runner's software; empty if it is not given.
    version = entry.get("version", "")
    if version != "" and not is_name(version):
        return Err(f"version is {describe_value(version)}")
    # Start time in Unix milliseconds; distinguishes restarts under the same name.
    born = entry.get("born", 0)
    if type(born) is not int:
        return Err(f"born is {describe_value(born)}")
    # Number of concurrent requests; 0 if it is not given.
    slots = entry.get("slots")
    slots = 0 if slots is None else slots
    if type(slots) is not int or not 0 <= slots <= MAX_SLOTS:
        return Err(f"slots is {describe_value(slots)}")
    return Ok(
        Target(
            id=name,
            address=str(address.ok_value),
            domain=entry["zone"],
            kind=TargetKind.SERVICE if stage is None else TargetKind.ENGINE,
            service=entry["service"],
            role=ROLES_BY_NAME.get(stage or "", Role.MIXED),
            state=state,
            incarnation=str(born),
            slots=slots,
            version=version,
            is_reclaimable=entry.get("spot") is True,
            time_left=_read_time_left(entry.get("leaves_ms")),
        )
    )


def _read_time_left(value: Any) -> timedelta | None:
    """Return how long a leaving runner still runs, None if that is not known."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_TIME_LEFT_MS:
        return None
    return timedelta(milliseconds=value)
