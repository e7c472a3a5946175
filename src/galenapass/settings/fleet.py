"""Parse an operators' file into the configuration of the fleet."""

from typing import Any

from result import Err, Ok, Result

from galenapass.settings.fleet_schema import ENGINE, FLEET_SCHEMA, KIND_NAMES
from galenapass.settings.ini import Sections, read_defaults, read_ini
from galenapass.settings.parsed_file import Block, ParsedFile
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
    """Parse an operators' file, or return all faults found.

    ``sections`` caches the parsed sections of an earlier file and is updated; sections
    with unchanged text reuse the row objects of that file.
    """
    file = _parse_and_check(text, source, sections)
    if file.faults and sections:
        # Faults quote values, which cached sections have dropped: parse all again.
        file = _parse_and_check(text, source, None)
    if file.faults:
        return Err(file.faults)
    configuration = _build_configuration(file, text, version)
    if sections is not None:
        _compact_blocks(file.blocks)
    return Ok(configuration)


def _parse_and_check(text: str, source: str, sections: Sections | None) -> ParsedFile:
    file = read_ini(text, source, FLEET_SCHEMA, sections)
    for check in CHECKS:
        check(file)
    return file


def _compact_blocks(blocks: list[Block]) -> None:
    shared: dict[tuple[str, ...], dict[str, str]] = {}
    for block in blocks:
        if block.row is not None:
            block.compact(shared)


def _build_configuration(file: ParsedFile, text: str, version: int) -> Configuration:
    values = read_defaults(FLEET_SCHEMA)
    for block in file.find_blocks("fleet"):
        values.update(block.values)
    return Configuration(
        version=version,
        text=text,
        services=_build_table(Service, file.find_blocks("service")),
        targets=_build_table(TargetEntry, file.find_blocks("target")),
        callers=_build_table(Caller, file.find_blocks("caller")),
        **values,
    )


def _build_table(row_type: Any, blocks: list[Block]) -> dict[str, Any]:
    for block in blocks:
        if block.row is None:
            block.row = row_type(name=block.name, **_drop_absent(block.values))
    return {block.name: block.row for block in blocks}


def _drop_absent(values: dict[str, Any]) -> dict[str, Any]:
    return {field: value for field, value in values.items() if value is not None}


def _check_kinds(file: ParsedFile) -> None:
    kinds = _read_kinds(file)
    for block in file.find_blocks("service"):
        _check_keys(file, block, kinds[block.name])
        if kinds[block.name] == ENGINE and "model" not in block.raw:
            file.add_fault(block, "model", "the model of an engine service")
    for block in file.find_blocks("target"):
        _check_keys(file, block, kinds.get(block.find("service", ""), ""))


def _check_keys(file: ParsedFile, block: Block, kind: str) -> None:
    for key in block.section.keys:
        if kind and key.kind not in ("", kind) and key.name in block.raw:
            file.add_fault(block, key.name, f"no such key with kind `{kind}`")


def _check_service_names(file: ParsedFile) -> None:
    known = {block.name for block in file.find_blocks("service")}
    expected = "a service of this file: " + ", ".join(sorted(known))
    for block in file.find_blocks("target"):
        if block.find("service", "") not in known | {""}:
            file.add_fault(block, "service", expected)
    for block in file.find_blocks("caller"):
        if block.find("services", frozenset()) - known:
            file.add_fault(block, "services", f"only {expected}")


def _check_floors(file: ParsedFile) -> None:
    targets = file.find_blocks("target")
    for block in file.find_blocks("service"):
        # A target without a valid service may belong to this one, so it counts.
        count = sum(
            target.find("service", block.name) == block.name for target in targets
        )
        for key in ("prefill floor", "decode floor"):
            field = "floor_" + key.split()[0]
            if block.find(field, 0) > count:
                file.add_fault(block, key, f"at most the {count} targets declared")


def _check_unique(section: str, key: str, field: str, file: ParsedFile) -> None:
    owners: dict[str, str] = {}
    for block in file.find_blocks(section):
        value = block.find(field)
        if value in owners:
            file.add_fault(block, key, f"another value than [{owners[value]}] has")
        elif value is not None:
            owners[value] = block.header


def _check_addresses(file: ParsedFile) -> None:
    _check_unique("target", "address", "address", file)


def _check_key_hashes(file: ParsedFile) -> None:
    _check_unique("caller", "key sha256", "key_hash", file)


def _read_kinds(file: ParsedFile) -> dict[str, str]:
    return {
        block.name: KIND_NAMES.get(block.find("kind"), "")  # type: ignore
        for block in file.find_blocks("service")
    }


CHECKS = (
    _check_kinds,
    _check_service_names,
    _check_floors,
    _check_addresses,
    _check_key_hashes,
)
