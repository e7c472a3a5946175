"""Hold the fingerprints of requests that were running when a target crashed."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Crash", "CrashTable", "Suspect"]


@dataclass(slots=True, frozen=True, order=True)
class Crash:
    """Name one crash, the same on each daemon that saw it."""

    target: str
    incarnation: str


@dataclass(slots=True)
class Suspect:
    """Hold the crashes of one fingerprint; a cleared crash counts no more.

    Both sets only grow, so that news may arrive twice and in any order.
    """

    fingerprint: str
    crashes: set[Crash] = field(default_factory=set)
    cleared: set[Crash] = field(default_factory=set)
    changed: timedelta = timedelta(0)

    @property
    def open_crashes(self) -> set[Crash]:
        """Return the crashes that the fingerprint may have caused."""
        return self.crashes - self.cleared


@dataclass(slots=True)
class CrashTable:
    """Hold the suspects by fingerprint, and what completed, the latest last."""

    suspects: dict[str, Suspect] = field(default_factory=dict)
    completed: dict[str, None] = field(default_factory=dict)
