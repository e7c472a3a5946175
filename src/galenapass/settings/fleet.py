"""Read an operators' file into the configuration of the fleet."""

from collections.abc import Iterable
from typing import Any

from result import Err, Ok, Result

from galenapass.settings.ini import Block, Reading, read_defaults, read_ini
from galenapass.settings.schema import Fault, Key, Schema, Section
from galenapass.settings.units import (
    parse_call,
    parse_choice,
    parse_count,
    parse_duration,
    parse_flag,
    parse_hours,
    parse_key_hash,
    parse_list,
    parse_name,
    parse_positive,
    parse_rate,
    parse_target,
    parse_text,
    parse_weight,
    parse_zone,
)
from galenapass.tables.configurations import (
    Caller,
    Configuration,
    Service,
    TargetEntry,
)
from galenapass.tables.requests import Urgency
from galenapass.tables.targets import Kind, Role

__all__ = ["FLEET_SCHEMA", "parse_configuration"]

ENGINE = "engine"
PLAIN = "plain"
KINDS = {ENGINE: Kind.ENGINE, PLAIN: Kind.SERVICE}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}
ROLES = {role.value: role for role in Role}
URGENCIES = {urgency.name.lower(): urgency for urgency in Urgency}


def _parse_names(text: str) -> Result[frozenset[str], str]:
    return parse_list(parse_name)(text).map(frozenset)


def _parse_calls(text: str) -> Result[frozenset[str], str]:
    return parse_list(parse_call, may_be_empty=True)(text).map(frozenset)


FLEET_SCHEMA = Schema(
    "The operators' file",
    "One file for the whole fleet, applied as a whole.",
    (
        Section(
            "fleet",
            "What holds for the whole fleet.",
            (
                Key(
                    "time zone",
                    "zone",
                    parse_zone,
                    "Time zone of all hours in the file.",
                    "UTC",
                ),
                Key(
                    "role change weight",
                    "role_change_weight",
                    parse_weight,
                    "Factor on the time that a role change takes an engine away.",
                    "1",
                ),
                Key(
                    "quarantine",
                    "quarantine",
                    parse_duration,
                    "Wait before a different order to a target that ignores "
                    "fencing numbers.",
                    "30 s",
                ),
            ),
        ),
        Section(
            "service",
            "A service that callers use.",
            (
                Key(
                    "kind",
                    "kind",
                    parse_choice(KINDS),
                    "`engine` for model engines, `plain` for plain services.",
                    required=True,
                ),
                Key(
                    "model",
                    "model",
                    parse_text,
                    "Model that the engines serve; an engine service needs it.",
                    kind=ENGINE,
                ),
                Key(
                    "share",
                    "share",
                    parse_positive,
                    "Weight of the service when the fleet is short.",
                    "1",
                ),
                Key(
                    "prefill floor",
                    "floor_prefill",
                    parse_count,
                    "Least number of engines that run prefill.",
                    "0",
                    kind=ENGINE,
                ),
                Key(
                    "decode floor",
                    "floor_decode",
                    parse_count,
                    "Least number of engines that run decode.",
                    "0",
                    kind=ENGINE,
                ),
                Key(
                    "repeatable calls",
                    "repeatable",
                    _parse_calls,
                    "Calls that may run twice, each METHOD /PATH.",
                    "",
                    kind=PLAIN,
                ),
            ),
            named=True,
        ),
        Section(
            "target",
            "A model engine or a plain service of the fleet.",
            (
                Key(
                    "service",
                    "service",
                    parse_name,
                    "Service that the target belongs to.",
                    required=True,
                ),
                Key(
                    "address",
                    "address",
                    parse_target,
                    "Address that the target listens on.",
                    required=True,
                ),
                Key(
                    "domain",
                    "domain",
                    parse_name,
                    "Failure domain of the target.",
                    required=True,
                ),
                Key(
                    "role",
                    "role",
                    parse_choice(ROLES),
                    "First role: `mixed`, `prefill` or `decode`.",
                    "mixed",
                    kind=ENGINE,
                ),
                Key(
                    "checks fencing",
                    "checks_fencing",
                    parse_flag,
                    "Whether the target refuses orders with an old fencing number.",
                    "yes",
                    kind=ENGINE,
                ),
            ),
            named=True,
        ),
        Section(
            "caller",
            "A group of callers that share a key.",
            (
                Key(
                    "key sha256",
                    "key_hash",
                    parse_key_hash,
                    "SHA-256 of the callers' key.",
                    required=True,
                ),
                Key(
                    "services",
                    "services",
                    _parse_names,
                    "Services that the callers may use.",
                    required=True,
                ),
                Key(
                    "urgency",
                    "urgency",
                    parse_choice(URGENCIES),
                    "Class outside the urgent hours: `urgent`, `normal` or `bulk`.",
                    "normal",
                ),
                Key(
                    "urgent hours",
                    "urgent_hours",
                    parse_list(parse_hours, may_be_empty=True),
                    "Hours in which the class is urgent.",
                    "",
                ),
                Key(
                    "patience",
                    "patience",
                    parse_duration,
                    "How long the callers wait for an answer.",
                    "60 s",
                ),
                Key(
                    "urgent patience",
                    "urgent_patience",
                    parse_duration,
                    "How long the callers wait while their class is urgent.",
                    "8 s",
                ),
                Key(
                    "rate",
                    "rate",
                    parse_rate,
                    "Most requests that are admitted.",
                    "40 req/s",
                ),
                Key(
                    "share",
                    "share",
                    parse_positive,
                    "Weight of the callers when the fleet is short.",
                    "1",
                ),
            ),
            named=True,
        ),
    ),
)


def parse_configuration(
    text: str, version: int, source: str
) -> Result[Configuration, list[Fault]]:
    """Parse an operators' file or return every fault in it."""
    reading = read_ini(text, source, FLEET_SCHEMA)
    for check in CHECKS:
        check(reading)
    if reading.faults:
        return Err(reading.faults)
    return Ok(_build_configuration(reading, text, version))


def _build_configuration(reading: Reading, text: str, version: int) -> Configuration:
    values = read_defaults(FLEET_SCHEMA)
    for block in reading.find_blocks("fleet"):
        values.update(block.values)
    return Configuration(
        version=version,
        text=text,
        services=_build_table(Service, reading.find_blocks("service")),
        targets=_build_table(TargetEntry, reading.find_blocks("target")),
        callers=_build_table(Caller, reading.find_blocks("caller")),
        **values,
    )


def _build_table(make: Any, blocks: Iterable[Block]) -> dict[str, Any]:
    return {
        block.name: make(name=block.name, **_drop_absent(block.values))
        for block in blocks
    }


def _drop_absent(values: dict[str, Any]) -> dict[str, Any]:
    return {field: value for field, value in values.items() if value is not None}


def _check_kinds(reading: Reading) -> None:
    kinds = _read_kinds(reading)
    for block in reading.find_blocks("service"):
        _check_keys(reading, block, kinds[block.name])
        if kinds[block.name] == ENGINE and "model" not in block.given:
            reading.add_fault(block, "model", "the model of an engine service")
    for block in reading.find_blocks("target"):
        _check_keys(reading, block, kinds.get(block.values.get("service", ""), ""))


def _check_keys(reading: Reading, block: Block, kind: str) -> None:
    for key in block.section.keys:
        if kind and key.kind not in ("", kind) and key.name in block.given:
            reading.add_fault(block, key.name, f"no such key with kind `{kind}`")


def _check_names(reading: Reading) -> None:
    known = {block.name for block in reading.find_blocks("service")}
    expected = "a service of this file: " + ", ".join(sorted(known))
    for block in reading.find_blocks("target"):
        if block.values.get("service", "") not in known | {""}:
            reading.add_fault(block, "service", expected)
    for block in reading.find_blocks("caller"):
        if block.values.get("services", known) - known:
            reading.add_fault(block, "services", f"only {expected}")


def _check_floors(reading: Reading) -> None:
    targets = reading.find_blocks("target")
    for block in reading.find_blocks("service"):
        # A target whose service cannot be read may be one of this service.
        count = sum(
            target.values.get("service", block.name) == block.name for target in targets
        )
        for key in ("prefill floor", "decode floor"):
            field = "floor_" + key.split()[0]
            if block.values.get(field, 0) > count:
                reading.add_fault(block, key, f"at most the {count} targets declared")


def _check_shared(section: str, key: str, field: str, reading: Reading) -> None:
    owners: dict[str, str] = {}
    for block in reading.find_blocks(section):
        value = block.values.get(field)
        if value in owners:
            reading.add_fault(block, key, f"another value than [{owners[value]}] has")
        elif value is not None:
            owners[value] = block.header


def _check_addresses(reading: Reading) -> None:
    _check_shared("target", "address", "address", reading)


def _check_hashes(reading: Reading) -> None:
    _check_shared("caller", "key sha256", "key_hash", reading)


def _read_kinds(reading: Reading) -> dict[str, str]:
    return {
        block.name: KIND_NAMES.get(block.values.get("kind"), "")  # type: ignore
        for block in reading.find_blocks("service")
    }


CHECKS = (_check_kinds, _check_names, _check_floors, _check_addresses, _check_hashes)
