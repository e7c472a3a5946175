"""Decode the entries that runners register in the platform's store."""

from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from galenapass.tables.targets import Role, Target, TargetKind, TargetState

__all__ = ["ROLES_BY_NAME", "ROLE_NAMES", "RUNNERS_KIND", "decode_runner"]

# The store's name of the kind; its objects are runners, not hosts of the system.
RUNNERS_KIND = "servers"

ROLE_NAMES = {Role.PREFILL: "prefill", Role.DECODE: "decode"}

ROLES_BY_NAME = {name: role for role, name in ROLE_NAMES.items()}
_STATES = {"ready": TargetState.SERVING, "draining": TargetState.LEAVING}


def decode_runner(name: str, entry: Any) -> Result[Target, str]:
    """Return the target that an entry describes, or why the entry is invalid."""
    if not isinstance(entry, Mapping):
        return Err("the entry is not a table")
    texts = {key: entry.get(key) for key in ("service", "address", "zone")}
    for key, value in texts.items():
        if not isinstance(value, str) or not value:
            return Err(f"{key} is {value!r}")
    state_name = entry.get("state")
    state = _STATES.get(state_name) if isinstance(state_name, str) else None
    if state is None:
        return Err(f"state is {state_name!r}")
    stage = entry.get("stage")
    if stage is not None and not (isinstance(stage, str) and stage in ROLES_BY_NAME):
        return Err(f"stage is {stage!r}")
    if not _is_address(entry["address"]):
        return Err(f"address is {entry['address']!r}")
    # Start time in Unix milliseconds; distinguishes restarts under the same name.
    born = entry.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        return Err(f"born is {born!r}")
    return Ok(
        Target(
            id=name,
            address=entry["address"],
            domain=entry["zone"],
            kind=TargetKind.SERVICE if stage is None else TargetKind.ENGINE,
            service=entry["service"],
            role=ROLES_BY_NAME.get(stage or "", Role.MIXED),
            state=state,
            incarnation=str(born),
            slots=_read_slots(entry.get("slots")),
        )
    )


def _read_slots(slots: Any) -> int:
    """Return the number of concurrent requests, 0 if it is not given."""
    is_count = isinstance(slots, int) and not isinstance(slots, bool)
    return max(slots, 0) if is_count else 0


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    octets = ip.split(".")
    return (
        port.isdigit()
        and 0 < int(port) < 65536
        and len(octets) == 4
        and all(o.isdigit() and int(o) < 256 for o in octets)
    )
