"""Read the text of a settings file."""

from pathlib import Path

from result import Err, Ok, Result

from galenapass.settings.schema import Fault

__all__ = ["read_text"]


def read_text(path: Path) -> Result[str, list[Fault]]:
    """Return the text of a file in UTF-8, with or without a byte order mark."""
    try:
        return Ok(path.read_bytes().decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        expected = f"UTF-8 text ({error})"
    except OSError as error:
        expected = f"a readable file ({error.strerror})"
    return Err([Fault(str(path), "", "", "", expected)])
