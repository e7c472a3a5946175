"""Read INI text by a schema and collect every fault in it."""

import configparser
from collections.abc import Callable
from itertools import pairwise
from typing import Any

from result import Err

from galenapass.settings.parsed_file import HEADER, Block, Reading
from galenapass.settings.schema import Key, Schema
from galenapass.settings.values import parse_name

__all__ = ["MAX_SYNTAX_FAULTS", "Sections", "read_defaults", "read_ini"]

Sections = dict[str, Block]
"""The sections of a file by their text."""

MAX_SYNTAX_FAULTS = 100
"""Readings with a fault of syntax after which the rest of a file is left unread."""


class _Parser(configparser.ConfigParser):
    """Read INI text without interpolation, a default section or lenience."""

    SECTCRE = HEADER

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


def read_ini(
    text: str, source: str, schema: Schema, sections: Sections | None = None
) -> Reading:
    """Read a whole file; the values that are sound are there beside the faults.

    ``sections`` holds the sections of an earlier file, which are not parsed again,
    and becomes those of this file if it is sound.
    """
    parts = _split_sections(text)
    reading = _read_changed(parts, source, schema, sections) if sections else None
    if reading is None:
        reading = _read_whole(text, source, schema)
    is_sound = not reading.faults and len(reading.blocks) == len(parts) - 1
    if sections is not None and is_sound:
        sections.clear()
        sections.update(zip(parts[1:], reading.blocks, strict=True))
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


def _split_sections(text: str) -> list[str]:
    """Return what is before the first section, then the text of each section."""
    starts = [0, *(match.start() for match in HEADER.finditer(text))]
    return [text[start:end] for start, end in pairwise([*starts, len(text)])]


def _read_changed(
    parts: list[str], source: str, schema: Schema, sections: Sections
) -> Reading | None:
    """Read only what is new; return None unless that is sound."""
    preamble, *rest = parts
    fresh = [part for part in rest if part not in sections]
    reading = _read_whole(preamble + "".join(fresh), source, schema)
    if reading.faults or len(reading.blocks) != len(fresh):
        return None
    new = dict(zip(fresh, reading.blocks, strict=True))
    reading.blocks = [sections.get(part) or new[part] for part in rest]
    headers = {block.header for block in reading.blocks}
    return reading if len(headers) == len(rest) else None


def _read_whole(text: str, source: str, schema: Schema) -> Reading:
    reading = Reading(source, schema, text)
    ignored: set[str] = set()
    parser = _parse(reading, ignored)
    for header in parser.sections():
        if header not in ignored:
            _read_section(header, dict(parser[header]), reading)
    return reading


def _parse(reading: Reading, ignored: set[str]) -> _Parser:
    """Parse a text; ``ignored`` gets the headers put in place of faulty ones."""
    lines = reading.text.split("\n")
    for _ in range(MAX_SYNTAX_FAULTS):
        parser = _Parser()
        try:
            parser.read_string("\n".join(lines), reading.source)
            return parser
        except configparser.Error as error:
            MENDERS[type(error)](lines, error, reading)
            ignored.add(_name_ignored(getattr(error, "lineno", 0)))
    reading.add_syntax_fault(0, "fewer faults of syntax")
    return _Parser()


def _name_ignored(line: int) -> str:
    return f"ignored {line}"


def _mend_section(lines: list[str], error: Any, reading: Reading) -> None:
    reading.add_syntax_fault(error.lineno, "each section once", error.section)
    lines[error.lineno - 1] = f"[{_name_ignored(error.lineno)}]"


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
