"""Schema of an INI file: its sections, keys and faults."""

from dataclasses import dataclass
from typing import Any

from galenapass.settings.values import Parser

__all__ = ["HIDDEN", "Fault", "Key", "Schema", "Section"]

HIDDEN = "***"
"""Text shown in place of a secret."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a file; fields that do not apply are empty or 0."""

    source: str
    section: str
    key: str
    value: str
    expected: str
    line: int = 0

    def __str__(self) -> str:
        file = f"{self.source}:{self.line}" if self.line else self.source
        section = f"[{self.section}]" if self.section else ""
        value = f"`{self.value}`" if self.value else ""
        equals = "=" if self.key and self.value else ""
        location = " ".join(part for part in (section, self.key, equals, value) if part)
        return ": ".join(
            part for part in (file, location, self._format_expected()) if part
        )

    def _format_expected(self) -> str:
        return f"expected {self.expected}"


@dataclass(slots=True, frozen=True)
class Key:
    """One key; ``default`` is the text as in a file, or None for no value.

    ``kind``, if set, limits the key to services of that kind and to their targets.
    """

    name: str
    field: str
    parse: Parser[Any]
    help: str
    default: str | None = None
    required: bool = False
    secret: bool = False
    kind: str = ""


@dataclass(slots=True, frozen=True)
class Section:
    """One section, or if ``named`` any number, each with a name in its header."""

    name: str
    help: str
    keys: tuple[Key, ...]
    named: bool = False
    required: bool = False

    @property
    def header(self) -> str:
        """Return the header as the reference shows it."""
        return f"{self.name} NAME" if self.named else self.name

    @property
    def has_secrets(self) -> bool:
        """Return whether a key of the section holds a secret."""
        return any(key.secret for key in self.keys)

    def find(self, name: str) -> Key | None:
        """Return the key with a name, or None."""
        return next((key for key in self.keys if key.name == name), None)


@dataclass(slots=True, frozen=True)
class Schema:
    """Sections of one kind of file."""

    title: str
    help: str
    sections: tuple[Section, ...]

    @property
    def has_secrets(self) -> bool:
        """Return whether a key of the file holds a secret."""
        return any(section.has_secrets for section in self.sections)

    @property
    def names(self) -> list[str]:
        """Return the names of all sections and keys."""
        keys = [key.name for section in self.sections for key in section.keys]
        return [section.name for section in self.sections] + keys

    def find(self, header: str) -> Section | None:
        """Return the schema section of a header, or None."""
        word, _, name = header.partition(" ")
        return next(
            (
                section
                for section in self.sections
                if section.name == word and section.named == bool(name)
            ),
            None,
        )
