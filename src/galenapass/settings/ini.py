"""Read INI text by a schema and collect every fault in it."""

import configparser
import re
from dataclasses import dataclass, field
from typing import Any

from result import Err

from galenapass.settings.schema import HIDDEN, Fault, Key, Schema, Section
from galenapass.settings.units import parse_name

__all__ = ["MAX_SYNTAX_FAULTS", "Block", "Reading", "read_defaults", "read_ini"]

MAX_SYNTAX_FAULTS = 100
"""Faults of syntax after which the rest of a file is left unread."""

_IGNORED = "!ignored"


@dataclass(slots=True)
class Block:
    """Hold one section as read; a key with a fault has no value."""

    section: Section
    header: str
    name: str = ""
    values: dict[str, Any] = field(default_factory=dict)
    given: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Reading:
    """Hold the sections of a file and its faults so far."""

    source: str
    blocks: list[Block] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)

    def find_blocks(self, section: str) -> list[Block]:
        """Return the sections of one family in the order of the file."""
        return [block for block in self.blocks if block.section.name == section]

    def add_fault(self, block: Block, key: str, expected: str) -> None:
        """Take note of a fault in a key; its value is the one in the file."""
        found = block.section.find(key)
        value = block.given.get(key, "")
        shown = HIDDEN if found and found.secret else value
        self.faults.append(Fault(self.source, block.header, key, shown, expected))


class _Parser(configparser.ConfigParser):
    """Read INI text without interpolation, a default section or lenience."""

    SECTCRE = re.compile(r"\[(?P<header>[^]]+)\]\s*$")

    def __init__(self) -> None:
        super().__init__(
            default_section="",
            interpolation=None,
            strict=True,
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            empty_lines_in_values=False,
        )

    def optionxform(self, optionstr: str) -> str:
        """Keep the case of keys, so that each has one spelling."""
        return optionstr


def read_ini(text: str, source: str, schema: Schema) -> Reading:
    """Read a whole file; the values that are sound are there beside the faults."""
    reading = Reading(source)
    parser = _parse(text, reading, schema)
    for header in parser.sections():
        if not header.startswith(_IGNORED):
            _read_section(header, dict(parser[header]), reading, schema)
    _find_missing_sections(reading, schema)
    return reading


def read_defaults(schema: Schema) -> dict[str, Any]:
    """Return the values of the sections that a file may leave out."""
    reading = Reading("")
    for section in schema.sections:
        if not section.required and not section.named:
            _read_section(section.name, {}, reading, schema)
    return {
        field: value
        for block in reading.blocks
        for field, value in block.values.items()
    }


def _parse(text: str, reading: Reading, schema: Schema) -> _Parser:
    lines = text.split("\n")
    for _ in range(MAX_SYNTAX_FAULTS):
        parser = _Parser()
        try:
            parser.read_string("\n".join(lines), reading.source)
            return parser
        except configparser.Error as error:
            _mend(lines, error, reading, schema)
    reading.faults.append(Fault(reading.source, "", "", "", "fewer faults of syntax"))
    return _Parser()


def _mend(
    lines: list[str], error: configparser.Error, reading: Reading, schema: Schema
) -> None:
    """Take note of a fault of syntax and take it out, so that reading goes on."""
    if isinstance(error, configparser.DuplicateSectionError):
        number = error.lineno or 1
        fault = (error.section, "", "", "each section once", number)
        lines[number - 1] = f"[{_IGNORED} {number}]"
        reading.faults.append(Fault(reading.source, *fault))
    elif isinstance(error, configparser.DuplicateOptionError):
        number = error.lineno or 1
        fault = (error.section, error.option, "", "each key once", number)
        lines[number - 1] = ""
        reading.faults.append(Fault(reading.source, *fault))
    else:
        for number in _find_bad_lines(error):
            line = HIDDEN if schema.has_secrets else lines[number - 1].strip()
            fault = ("", "", line, "`[section]` or `key = value`", number)
            lines[number - 1] = ""
            reading.faults.append(Fault(reading.source, *fault))


def _find_bad_lines(error: configparser.Error) -> list[int]:
    if isinstance(error, configparser.MissingSectionHeaderError):
        return [error.lineno]
    if isinstance(error, configparser.ParsingError):
        return [number for number, _ in error.errors]
    raise error


def _read_section(
    header: str, given: dict[str, str], reading: Reading, schema: Schema
) -> None:
    section = schema.find(header)
    if section is None:
        known = ", ".join(f"[{section.header}]" for section in schema.sections)
        reading.faults.append(Fault(reading.source, header, "", "", f"one of {known}"))
        return
    block = Block(section, header, header.partition(" ")[2], given=given)
    reading.blocks.append(block)
    name = parse_name(block.name)
    if section.named and isinstance(name, Err):
        expected = f"{name.err_value} after `{section.name}`"
        reading.faults.append(Fault(reading.source, header, "", "", expected))
    _find_unknown_keys(block, reading)
    for key in section.keys:
        _read_key(key, block, reading)


def _find_unknown_keys(block: Block, reading: Reading) -> None:
    section = block.section
    known = ", ".join(f"`{key.name}`" for key in section.keys)
    for name, value in block.given.items():
        if section.find(name) is None:
            shown = HIDDEN if section.has_secrets else value
            fault = Fault(
                reading.source, block.header, name, shown, f"a key out of {known}"
            )
            reading.faults.append(fault)


def _read_key(key: Key, block: Block, reading: Reading) -> None:
    text = block.given.get(key.name, key.default)
    if text is None and key.required:
        reading.add_fault(block, key.name, "the key to be there")
    elif text is None:
        block.values[key.field] = None
    else:
        parsed = key.parse(text)
        if isinstance(parsed, Err):
            reading.add_fault(block, key.name, parsed.err_value)
        else:
            block.values[key.field] = parsed.ok_value


def _find_missing_sections(reading: Reading, schema: Schema) -> None:
    present = {block.section.name for block in reading.blocks}
    for section in schema.sections:
        if section.required and section.name not in present:
            fault = Fault(
                reading.source, section.header, "", "", "the section to be there"
            )
            reading.faults.append(fault)
