"""Hold what was read of an INI file, and conceal what may be a secret."""

import re
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from galenapass.settings.schema import HIDDEN, Fault, Schema, Section

__all__ = ["HEADER", "Block", "Reading"]

HEADER = re.compile(r"^\[(?P<header>[^]\n]+)\][ \t\r]*$", re.MULTILINE)

LIKENESS = 0.8
"""Least similarity of a misspelt name to a known one for it to be shown."""


@dataclass(slots=True)
class Block:
    """Hold one section as read; a key with a fault has no value.

    ``row`` is what was made of the values; a slim section has its keys and its row.
    """

    section: Section
    header: str
    name: str = ""
    values: dict[str, Any] = field(default_factory=dict)
    given: dict[str, str] = field(default_factory=dict)
    row: Any = None

    def find(self, field: str, default: Any = None) -> Any:
        """Return a value, also of a slim section."""
        if self.row is not None:
            return getattr(self.row, field)
        return self.values.get(field, default)

    def slim(self, shared: dict[tuple[str, ...], dict[str, str]]) -> None:
        """Drop what the row tells, and share the keys with like sections."""
        keys = tuple(self.given)
        self.given = shared.setdefault(keys, dict.fromkeys(keys, ""))
        self.values = {}


@dataclass(slots=True)
class Reading:
    """Hold the sections of a file and its faults so far."""

    source: str
    schema: Schema
    text: str = ""
    blocks: list[Block] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    _lines: dict[tuple[str, str], int] = field(default_factory=dict)

    def find_blocks(self, section: str) -> list[Block]:
        """Return the sections of one family in the order of the file."""
        return [block for block in self.blocks if block.section.name == section]

    def add_fault(self, block: Block, key: str, expected: str) -> None:
        """Take note of a fault in a key; its value is the one in the file."""
        found = block.section.find(key)
        value = block.given.get(key, "")
        shown = self._conceal(value, found is None or found.secret)
        name = key if found else self._conceal_name(key)
        line = self._find_line(block.header, key)
        self.faults.append(
            Fault(self.source, block.header, name, shown, expected, line)
        )

    def add_section_fault(self, header: str, expected: str) -> None:
        """Take note of a fault in a header."""
        line = self._find_line(header, "")
        shown = header if self.schema.find(header) else self._conceal_name(header)
        self.faults.append(Fault(self.source, shown, "", "", expected, line))

    def add_syntax_fault(
        self, line: int, expected: str, section: str = "", key: str = "", text: str = ""
    ) -> None:
        """Take note of a fault of syntax and its line."""
        shown = self._conceal(text, True)
        self.faults.append(Fault(self.source, section, key, shown, expected, line))

    def _conceal_name(self, name: str) -> str:
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

    def _find_line(self, header: str, key: str) -> int:
        if not self._lines:
            self._lines = _number_lines(self.text)
        return self._lines.get((header, key), 0)


def _number_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each header, under an empty key, and of each key."""
    lines: dict[tuple[str, str], int] = {}
    header = ""
    for number, line in enumerate(text.split("\n"), 1):
        match = HEADER.match(line)
        header = match["header"] if match else header
        key = "" if match else line.partition("=")[0].strip()
        lines.setdefault((header, key), number)
    return lines
