"""Represent a parsed INI file; texts in faults that may be secret are masked."""

import re
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from galenapass.settings.schema import HIDDEN, Fault, Schema, Section

__all__ = ["HEADER", "Block", "ParsedFile"]

HEADER = re.compile(r"^\[(?P<header>[^]\n]+)\][ \t\r]*$", re.MULTILINE)

MIN_NAME_SIMILARITY = 0.8
"""Similarity to a known name from which an unknown name is shown in a fault."""


@dataclass(slots=True)
class Block:
    """One parsed section; a key with a fault has no value.

    ``raw`` holds the texts of the keys, ``values`` the parsed values by field, and
    ``row`` the object built from them. A compacted section keeps its keys and its row.
    """

    section: Section
    header: str
    name: str = ""
    values: dict[str, Any] = field(default_factory=dict)
    raw: dict[str, str] = field(default_factory=dict)
    row: Any = None

    def find(self, field: str, default: Any = None) -> Any:
        """Return the value of a field, from the row if there is one."""
        if self.row is not None:
            return getattr(self.row, field)
        return self.values.get(field, default)

    def compact(self, shared: dict[tuple[str, ...], dict[str, str]]) -> None:
        """Drop texts and values, which the row holds, and share equal sets of keys."""
        keys = tuple(self.raw)
        self.raw = shared.setdefault(keys, dict.fromkeys(keys, ""))
        self.values = {}


@dataclass(slots=True)
class ParsedFile:
    """Parsed sections of a file and the faults found so far."""

    source: str
    schema: Schema
    text: str = ""
    blocks: list[Block] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    _lines: dict[tuple[str, str], int] = field(default_factory=dict)

    def find_blocks(self, section: str) -> list[Block]:
        """Return the sections of one schema section in the order of the file."""
        return [block for block in self.blocks if block.section.name == section]

    def add_fault(self, block: Block, key: str, expected: str) -> None:
        """Add a fault of a key; its value is taken from the file."""
        found = block.section.find(key)
        value = block.raw.get(key, "")
        shown = self._mask_value(value, found is None or found.secret)
        name = key if found else self._mask_name(key)
        line = self._find_line(block.header, key)
        self.faults.append(
            Fault(self.source, block.header, name, shown, expected, line)
        )

    def add_section_fault(self, header: str, expected: str) -> None:
        """Add a fault of a section or its header."""
        line = self._find_line(header, "")
        shown = header if self.schema.find(header) else self._mask_name(header)
        self.faults.append(Fault(self.source, shown, "", "", expected, line))

    def add_syntax_fault(
        self, line: int, expected: str, section: str = "", key: str = "", text: str = ""
    ) -> None:
        """Add a syntax error and its line."""
        shown = self._mask_value(text, True)
        self.faults.append(Fault(self.source, section, key, shown, expected, line))

    def _mask_name(self, name: str) -> str:
        """Return an unknown name, or a mask if it may be a secret."""
        if not self.schema.has_secrets:
            return name
        # A typo in a line can turn the secret itself into the name.
        known = self.schema.names
        return (
            name if get_close_matches(name, known, 1, MIN_NAME_SIMILARITY) else HIDDEN
        )

    def _mask_value(self, value: str, may_be_secret: bool) -> str:
        # A line with a typo may be parsed as part of the value of the previous key.
        may_be_secret = may_be_secret or any(mark in value for mark in "=\n")
        return HIDDEN if value and may_be_secret and self.schema.has_secrets else value

    def _find_line(self, header: str, key: str) -> int:
        if not self._lines:
            self._lines = _number_lines(self.text)
        return self._lines.get((header, key), 0)


def _number_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line numbers by (header, key); the key of a header itself is empty."""
    lines: dict[tuple[str, str], int] = {}
    header = ""
    for number, line in enumerate(text.split("\n"), 1):
        match = HEADER.match(line)
        header = match["header"] if match else header
        key = "" if match else line.partition("=")[0].strip()
        lines.setdefault((header, key), number)
    return lines
