"""Read an operators' file into the configuration of the fleet."""

from typing import Any

from result import Err, Ok, Result

from galenapass.settings.fleet_schema import ENGINE, FLEET_SCHEMA, KIND_NAMES
from galenapass.settings.ini import Sections, read_defaults, read_ini
from galenapass.settings.parsed_file import Block, Reading
from galenapass.settings.schema import Fault
from galenapass.tables.configurations import (
    Caller,
    Configuration,
    Service,
    TargetEntry,
)

__all__ = ["parse_configuration"]


def parse_configuration(
    text: str, version: int, source: str, sections: Sections | None = None
) -> Result[Configuration, list[Fault]]:
    """Parse an operators' file or return every fault in it.

    ``sections`` are those of an earlier file; rows of sections that did not change
    are the same objects.
    """
    reading = _read_checked(text, source, sections)
    if reading.faults and sections:
        # Faults show values, which kept sections no longer hold.
        reading = _read_checked(text, source, None)
    if reading.faults:
        return Err(reading.faults)
    configuration = _build_configuration(reading, text, version)
    if sections is not None:
        _slim_blocks(reading.blocks)
    return Ok(configuration)


def _read_checked(text: str, source: str, sections: Sections | None) -> Reading:
    reading = read_ini(text, source, FLEET_SCHEMA, sections)
    for check in CHECKS:
        check(reading)
    return reading


def _slim_blocks(blocks: list[Block]) -> None:
    shared: dict[tuple[str, ...], dict[str, str]] = {}
    for block in blocks:
        if block.row is not None:
            block.slim(shared)


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


def _build_table(make: Any, blocks: list[Block]) -> dict[str, Any]:
    for block in blocks:
        if block.row is None:
            block.row = make(name=block.name, **_drop_absent(block.values))
    return {block.name: block.row for block in blocks}


def _drop_absent(values: dict[str, Any]) -> dict[str, Any]:
    return {field: value for field, value in values.items() if value is not None}


def _check_kinds(reading: Reading) -> None:
    kinds = _read_kinds(reading)
    for block in reading.find_blocks("service"):
        _check_keys(reading, block, kinds[block.name])
        if kinds[block.name] == ENGINE and "model" not in block.given:
            reading.add_fault(block, "model", "the model of an engine service")
    for block in reading.find_blocks("target"):
        _check_keys(reading, block, kinds.get(block.find("service", ""), ""))


def _check_keys(reading: Reading, block: Block, kind: str) -> None:
    for key in block.section.keys:
        if kind and key.kind not in ("", kind) and key.name in block.given:
            reading.add_fault(block, key.name, f"no such key with kind `{kind}`")


def _check_names(reading: Reading) -> None:
    known = {block.name for block in reading.find_blocks("service")}
    expected = "a service of this file: " + ", ".join(sorted(known))
    for block in reading.find_blocks("target"):
        if block.find("service", "") not in known | {""}:
            reading.add_fault(block, "service", expected)
    for block in reading.find_blocks("caller"):
        if block.find("services", frozenset()) - known:
            reading.add_fault(block, "services", f"only {expected}")


def _check_floors(reading: Reading) -> None:
    targets = reading.find_blocks("target")
    for block in reading.find_blocks("service"):
        # A target whose service cannot be read may be one of this service.
        count = sum(
            target.find("service", block.name) == block.name for target in targets
        )
        for key in ("prefill floor", "decode floor"):
            field = "floor_" + key.split()[0]
            if block.find(field, 0) > count:
                reading.add_fault(block, key, f"at most the {count} targets declared")


def _check_shared(section: str, key: str, field: str, reading: Reading) -> None:
    owners: dict[str, str] = {}
    for block in reading.find_blocks(section):
        value = block.find(field)
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
        block.name: KIND_NAMES.get(block.find("kind"), "")  # type: ignore
        for block in reading.find_blocks("service")
    }


CHECKS = (_check_kinds, _check_names, _check_floors, _check_addresses, _check_hashes)
