"""Parse INI text by a schema and collect all faults."""

import configparser
from collections.abc import Callable
from itertools import pairwise
from typing import Any

from result import Err

from galenapass.settings.parsed_file import HEADER, Block, ParsedFile
from galenapass.settings.schema import Key, Schema
from galenapass.settings.values import parse_name

__all__ = ["MAX_SYNTAX_FAULTS", "Sections", "read_defaults", "read_ini"]

Sections = dict[str, Block]
"""Parsed sections of a file, keyed by the text of the section."""

MAX_SYNTAX_FAULTS = 100
"""Parse attempts, each ended by a syntax error, before the file is abandoned."""


class _IniParser(configparser.ConfigParser):
    """Strict INI parser without interpolation and without a default section."""

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
        """Keep the case of keys, so that each key has exactly one spelling."""
        return optionstr


def read_ini(
    text: str, source: str, schema: Schema, sections: Sections | None = None
) -> ParsedFile:
    """Parse a whole file; the result holds the valid values and all faults.

    ``sections`` caches the sections of an earlier file, which are not parsed again. It
    is replaced by the sections of this file if the file has no faults.
    """
    parts = _split_sections(text)
    file = _read_changed(parts, source, schema, sections) if sections else None
    if file is None:
        file = _read_whole(text, source, schema)
    is_valid = not file.faults and len(file.blocks) == len(parts) - 1
    if sections is not None and is_valid:
        sections.clear()
        sections.update(zip(parts[1:], file.blocks, strict=True))
    _find_missing_sections(file)
    return file


def read_defaults(schema: Schema) -> dict[str, Any]:
    """Return the default values of all optional sections, by field."""
    file = ParsedFile("", schema)
    for section in schema.sections:
        if not section.required and not section.named:
            _read_section(section.name, {}, file)
    return {
        field: value for block in file.blocks for field, value in block.values.items()
    }


def _split_sections(text: str) -> list[str]:
    """Return the text before the first section, then the text of each section."""
    starts = [0, *(match.start() for match in HEADER.finditer(text))]
    return [text[start:end] for start, end in pairwise([*starts, len(text)])]


def _read_changed(
    parts: list[str], source: str, schema: Schema, sections: Sections
) -> ParsedFile | None:
    """Parse only sections missing from the cache; return None if they have faults."""
    preamble, *rest = parts
    changed = [part for part in rest if part not in sections]
    file = _read_whole(preamble + "".join(changed), source, schema)
    if file.faults or len(file.blocks) != len(changed):
        return None
    new = dict(zip(changed, file.blocks, strict=True))
    file.blocks = [sections.get(part) or new[part] for part in rest]
    headers = {block.header for block in file.blocks}
    return file if len(headers) == len(rest) else None


def _read_whole(text: str, source: str, schema: Schema) -> ParsedFile:
    file = ParsedFile(source, schema, text)
    ignored: set[str] = set()
    parser = _parse(file, ignored)
    for header in parser.sections():
        if header not in ignored:
            _read_section(header, dict(parser[header]), file)
    return file


def _parse(file: ParsedFile, ignored: set[str]) -> _IniParser:
    """Parse the text; add to ``ignored`` the headers that replace faulty ones."""
    lines = file.text.split("\n")
    for _ in range(MAX_SYNTAX_FAULTS):
        parser = _IniParser()
        try:
            parser.read_string("\n".join(lines), file.source)
            return parser
        except configparser.Error as error:
            SYNTAX_REPAIRS[type(error)](lines, error, file)
            ignored.add(_format_ignored_header(getattr(error, "lineno", 0)))
    file.add_syntax_fault(0, "fewer syntax errors")
    return _IniParser()


def _format_ignored_header(line: int) -> str:
    return f"ignored {line}"


def _repair_duplicate_section(lines: list[str], error: Any, file: ParsedFile) -> None:
    file.add_syntax_fault(error.lineno, "each section once", error.section)
    lines[error.lineno - 1] = f"[{_format_ignored_header(error.lineno)}]"


def _repair_duplicate_key(lines: list[str], error: Any, file: ParsedFile) -> None:
    expected = "each key once"
    file.add_syntax_fault(error.lineno, expected, error.section, error.option)
    lines[error.lineno - 1] = ""


def _repair_missing_header(lines: list[str], error: Any, file: ParsedFile) -> None:
    _drop_line(lines, error.lineno, "a `[section]` before the first key", file)


def _repair_unparsable_lines(lines: list[str], error: Any, file: ParsedFile) -> None:
    for number, _ in error.errors:
        _drop_line(lines, number, "`[section]` or `key = value`", file)


def _drop_line(lines: list[str], number: int, expected: str, file: ParsedFile) -> None:
    file.add_syntax_fault(number, expected, text=lines[number - 1].strip())
    lines[number - 1] = ""


SYNTAX_REPAIRS: dict[
    type[configparser.Error], Callable[[list[str], Any, ParsedFile], None]
] = {
    configparser.DuplicateSectionError: _repair_duplicate_section,
    configparser.DuplicateOptionError: _repair_duplicate_key,
    configparser.MissingSectionHeaderError: _repair_missing_header,
    configparser.ParsingError: _repair_unparsable_lines,
}
"""Functions that remove a syntax error from the lines, so that parsing can go on."""


def _read_section(header: str, raw: dict[str, str], file: ParsedFile) -> None:
    schema = file.schema
    section = schema.find(header)
    if section is None:
        known = ", ".join(f"[{section.header}]" for section in schema.sections)
        file.add_section_fault(header, f"one of {known}")
        return
    block = Block(section, header, header.partition(" ")[2], raw=raw)
    file.blocks.append(block)
    name = parse_name(block.name)
    if section.named and isinstance(name, Err):
        expected = f"{name.err_value} after `{section.name}`"
        file.add_section_fault(header, expected)
    _find_unknown_keys(block, file)
    for key in section.keys:
        _read_key(key, block, file)


def _find_unknown_keys(block: Block, file: ParsedFile) -> None:
    known = ", ".join(f"`{key.name}`" for key in block.section.keys)
    for name in block.raw:
        if block.section.find(name) is None:
            file.add_fault(block, name, f"a key out of {known}")


def _read_key(key: Key, block: Block, file: ParsedFile) -> None:
    text = block.raw.get(key.name, key.default)
    if text is None and key.required:
        file.add_fault(block, key.name, "the key to be there")
    elif text is None:
        block.values[key.field] = None
    else:
        parsed = key.parse(text)
        if isinstance(parsed, Err):
            file.add_fault(block, key.name, parsed.err_value)
        else:
            block.values[key.field] = parsed.ok_value


def _find_missing_sections(file: ParsedFile) -> None:
    present = {block.section.name for block in file.blocks}
    for section in file.schema.sections:
        if section.required and section.name not in present:
            file.add_section_fault(section.header, "the section to be there")
