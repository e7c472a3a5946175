"""Read INI text by a schema and collect every fault in it."""

import configparser
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from result import Err

from galenapass.settings.schema import HIDDEN, Fault, Key, Schema, Section
from galenapass.settings.units import parse_name

__all__ = ["MAX_SYNTAX_FAULTS", "Block", "Reading", "read_defaults", "read_ini"]

MAX_SYNTAX_FAULTS = 100
"""Readings with a fault of syntax after which the rest of a file is left unread."""

LIKENESS = 0.8
"""Least similarity of a misspelt name to a known one for it to be shown."""

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
    schema: Schema
    blocks: list[Block] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    lines: dict[tuple[str, str], int] = field(default_factory=dict)

    def find_blocks(self, section: str) -> list[Block]:
        """Return the sections of one family in the order of the file."""
        return [block for block in self.blocks if block.section.name == section]

    def add_fault(self, block: Block, key: str, expected: str) -> None:
        """Take note of a fault in a key; its value is the one in the file."""
        found = block.section.find(key)
        value = block.given.get(key, "")
        shown = self._conceal(value, found is None or found.secret)
        name = key if found else self.conceal_name(key)
        line = self.lines.get((block.header, key), 0)
        self.faults.append(
            Fault(self.source, block.header, name, shown, expected, line)
        )

    def add_section_fault(self, header: str, expected: str) -> None:
        """Take note of a fault in a header."""
        line = self.lines.get((header, ""), 0)
        shown = header if self.schema.find(header) else self.conceal_name(header)
        self.faults.append(Fault(self.source, shown, "", "", expected, line))

    def add_syntax_fault(
        self, line: int, expected: str, section: str = "", key: str = "", text: str = ""
    ) -> None:
        """Take note of a fault of syntax and its line."""
        shown = self._conceal(text, True)
        self.faults.append(Fault(self.source, section, key, shown, expected, line))

    def conceal_name(self, name: str) -> str:
        """Return an unknown name, or no more than that if it may be a secret."""
        if not self.schema.has_secrets:
            return name
        # Where a line has a slip in it, the name can be the secret itself.
        known = self.schema.names
        return name if get_close_matches(name, known, 1, LIKENESS) else HIDDEN

    def _conceal(self, value: str, is_suspect: bool) -> str:
        # A line with a slip in it may end up in the value of the key before it.
        is_suspect = is_suspect or any(mark in value for mark in "=\n")
        return HIDDEN if value and is_suspect and self.schema.has_secrets else value


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
    reading = Reading(source, schema)
    reading.lines = _number_lines(text)
    parser = _parse(text, reading)
    for header in parser.sections():
        if not header.startswith(_IGNORED):
            _read_section(header, dict(parser[header]), reading)
    _find_missing_sections(reading)
    return reading


def read_defaults(schema: Schema) -> dict[str, Any]:
    """Return the values of the sections that a file may leave out."""
    reading = Reading("", schema)
    for section in schema.sections:
        if not section.required and not section.named:
            _read_section(section.name, {}, reading)
    return {
        field: value
        for block in reading.blocks
        for field, value in block.values.items()
    }


def _parse(text: str, reading: Reading) -> _Parser:
    lines = text.split("\n")
    for _ in range(MAX_SYNTAX_FAULTS):
        parser = _Parser()
        try:
            parser.read_string("\n".join(lines), reading.source)
            return parser
        except configparser.Error as error:
            MENDERS[type(error)](lines, error, reading)
    reading.add_syntax_fault(0, "fewer faults of syntax")
    return _Parser()


def _number_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each header, under an empty key, and of each key."""
    lines: dict[tuple[str, str], int] = {}
    header = ""
    for number, line in enumerate(text.split("\n"), 1):
        match = _Parser.SECTCRE.match(line)
        header = match["header"] if match else header
        key = "" if match else line.partition("=")[0].strip()
        lines.setdefault((header, key), number)
    return lines


def _mend_section(lines: list[str], error: Any, reading: Reading) -> None:
    reading.add_syntax_fault(error.lineno, "each section once", error.section)
    lines[error.lineno - 1] = f"[{_IGNORED} {error.lineno}]"


def _mend_key(lines: list[str], error: Any, reading: Reading) -> None:
    expected = "each key once"
    reading.add_syntax_fault(error.lineno, expected, error.section, error.option)
    lines[error.lineno - 1] = ""


def _mend_place(lines: list[str], error: Any, reading: Reading) -> None:
    _drop_line(lines, error.lineno, "a `[section]` before the first key", reading)


def _mend_lines(lines: list[str], error: Any, reading: Reading) -> None:
    for number, _ in error.errors:
        _drop_line(lines, number, "`[section]` or `key = value`", reading)


def _drop_line(lines: list[str], number: int, expected: str, reading: Reading) -> None:
    reading.add_syntax_fault(number, expected, text=lines[number - 1].strip())
    lines[number - 1] = ""


MENDERS: dict[type[configparser.Error], Callable[[list[str], Any, Reading], None]] = {
    configparser.DuplicateSectionError: _mend_section,
    configparser.DuplicateOptionError: _mend_key,
    configparser.MissingSectionHeaderError: _mend_place,
    configparser.ParsingError: _mend_lines,
}
"""What takes each fault of syntax out of the lines, so that reading goes on."""


def _read_section(header: str, given: dict[str, str], reading: Reading) -> None:
    schema = reading.schema
    section = schema.find(header)
    if section is None:
        known = ", ".join(f"[{section.header}]" for section in schema.sections)
        reading.add_section_fault(header, f"one of {known}")
        return
    block = Block(section, header, header.partition(" ")[2], given=given)
    reading.blocks.append(block)
    name = parse_name(block.name)
    if section.named and isinstance(name, Err):
        expected = f"{name.err_value} after `{section.name}`"
        reading.add_section_fault(header, expected)
    _find_unknown_keys(block, reading)
    for key in section.keys:
        _read_key(key, block, reading)


def _find_unknown_keys(block: Block, reading: Reading) -> None:
    known = ", ".join(f"`{key.name}`" for key in block.section.keys)
    for name in block.given:
        if block.section.find(name) is None:
            reading.add_fault(block, name, f"a key out of {known}")


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


def _find_missing_sections(reading: Reading) -> None:
    present = {block.section.name for block in reading.blocks}
    for section in reading.schema.sections:
        if section.required and section.name not in present:
            reading.add_section_fault(section.header, "the section to be there")
