"""Define the size limits and timeouts of the callers' interface."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["Limits"]


@dataclass(slots=True, frozen=True)
class Limits:
    """Largest body in bytes and timeouts for bodies, blocked writes, silent targets."""

    body_bytes: int = 4_000_000
    body_timeout: timedelta = timedelta(seconds=10)
    write_timeout: timedelta = timedelta(seconds=10)
    silence_timeout: timedelta = timedelta(seconds=10)
