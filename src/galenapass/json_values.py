"""Decode JSON of other writers, in which single values may be invalid.

A strict decoder reads a text as a whole. Only if that fails, the text is split into
its members or elements, so that an invalid one does not hide the others.
"""

import math
import re
import reprlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

import orjson
from result import Err, Ok, Result

__all__ = [
    "DECODE_ERRORS",
    "Unreadable",
    "decode_json",
    "decode_members",
    "describe_error",
    "describe_value",
    "is_name",
    "read_counter",
    "read_each",
    "read_identifier",
    "read_integer",
    "read_name",
    "read_number",
    "read_text",
    "split_array",
    "split_elements",
    "split_members",
    "split_object",
]

# Errors of reading fields of a decoded value whose types or ranges are wrong.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
# Range of the integers that the encoder accepts.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
MAX_NAME_CHARACTERS = 256
MAX_DESCRIPTION_CHARACTERS = 200

Read = TypeVar("Read")

# Strings, runs of opening or closing brackets, and commas. Possessive repeats, and a
# string without an end that takes all of the rest, keep the scan linear.
_TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{]+|[\]}]+|,', re.DOTALL)
_KEY = re.compile(rb'\s*("(?:[^"\\]++|\\.)*+")\s*:', re.DOTALL)


@dataclass(slots=True, frozen=True)
class Unreadable:
    """Value in a text that is not valid JSON."""

    text: bytes
    reason: str


def decode_json(text: bytes | str) -> Result[Any, str]:
    """Return the value of a text, or why it is not valid JSON."""
    try:
        return Ok(orjson.loads(text))
    except (ValueError, RecursionError) as error:
        return Err(describe_error(error))


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's members; raise ValueError if it has none.

    Members with an unreadable key are left out.
    """
    members = {}
    for member in _split(text, b"{", b"}"):
        match = _KEY.match(member)
        key = decode_json(match[1]) if match else Err("no key")
        if match is not None and isinstance(key, Ok):
            members[key.ok_value] = member[match.end() :]
    return members


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of an array's elements; raise ValueError if it is no array."""
    return list(_split(text, b"[", b"]"))


def decode_members(text: bytes) -> Any:
    """Return the value of a text, or its members if it is not valid JSON.

    Members that cannot be read are ``Unreadable``; raise ValueError without members.
    """
    value = _decode_value(text)
    return split_members(value) if isinstance(value, Unreadable) else value


def split_members(value: Any) -> Any:
    """Return the members of an unreadable object, of which one is unreadable."""
    if not isinstance(value, Unreadable):
        return value
    try:
        members = split_object(value.text)
    except ValueError as error:
        raise ValueError(value.reason) from error
    return {key: _decode_value(member) for key, member in members.items()}


def split_elements(value: Any) -> list[Any]:
    """Return the elements of an array, also if some of them are unreadable."""
    if not isinstance(value, Unreadable):
        return list(value)
    return [_decode_value(element) for element in split_array(value.text)]


def read_each(
    read: Callable[[Any], Read], elements: Iterable[Any], skip: Callable[[str], None]
) -> list[Read]:
    """Return what is read from each element; pass errors of the others to ``skip``."""
    values = []
    for element in elements:
        try:
            values.append(read(element))
        except DECODE_ERRORS as error:
            skip(describe_error(error))
    return values


def read_integer(value: Any) -> int:
    """Return an integer of 64 bits; raise ValueError for any other value."""
    if type(value) is not int or not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError(f"{describe_value(value)} is no integer of 64 bits")
    return value


def read_counter(value: Any) -> int:
    """Return an integer of 64 bits from 0; raise ValueError for any other value."""
    if read_integer(value) < 0:
        raise ValueError(f"{describe_value(value)} is below 0")
    return int(value)


def read_number(value: Any) -> float:
    """Return a finite number; raise ValueError for any other value."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"{describe_value(value)} is no finite number")
    return float(value)


def read_text(value: Any) -> str:
    """Return a text; raise ValueError for any other value."""
    if not isinstance(value, str):
        raise ValueError(f"{describe_value(value)} is no text")
    return value


def read_name(value: Any) -> str:
    """Return a text that can name an object; raise ValueError for any other value."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"the name is {describe_value(value)}")
    return value


def read_identifier(value: Any) -> str:
    """Return a name that ``is_name`` accepts; raise ValueError for any other value."""
    if not is_name(value):
        raise ValueError(f"the identifier is {describe_value(value)}")
    return str(value)


def is_name(value: Any) -> bool:
    """Return whether a value is a text that can be logged, sent and compared."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARACTERS
        and value.isprintable()
    )


def describe_value(value: Any) -> str:
    """Return the representation of a value of any size and depth, shortened."""
    return reprlib.repr(value)


def describe_error(error: Exception) -> str:
    """Return the class and the message of an error, shortened."""
    return f"{type(error).__name__}: {error}"[:MAX_DESCRIPTION_CHARACTERS]


def _decode_value(text: bytes) -> Any:
    decoded = decode_json(text)
    if isinstance(decoded, Ok):
        return decoded.ok_value
    return Unreadable(text, decoded.err_value)


def _split(text: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f"no {opening.decode()}...{closing.decode()} around the text")
    depth, start = 0, 1
    for token in _TOKENS.finditer(text, 1, len(text) - 1):
        first = text[token.start()]
        if first in b"[{":
            depth += token.end() - token.start()
        elif first in b"]}":
            depth -= token.end() - token.start()
        elif first in b"," and depth == 0:
            yield text[start : token.start()]
            start = token.end()
    last = text[start:-1]
    if last.strip():
        yield last
