"""Hold the bounds that the callers' side keeps."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["Limits"]


@dataclass(slots=True, frozen=True)
class Limits:
    """Hold sizes in bytes and how long each side of a stream may stand still."""

    body_bytes: int = 4_000_000
    body_timeout: timedelta = timedelta(seconds=10)
    write_timeout: timedelta = timedelta(seconds=10)
    silence_timeout: timedelta = timedelta(seconds=10)
