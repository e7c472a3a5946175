"""Define the fingerprints of requests that were running when a target crashed."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Crash", "CrashTable", "Suspect"]


@dataclass(slots=True, frozen=True, order=True)
class Crash:
    """Crash of one target incarnation, identified alike by every daemon."""

    target: str
    incarnation: str


@dataclass(slots=True)
class Suspect:
    """Crashes attributed to one fingerprint; cleared crashes no longer count.

    Both sets only grow, so that updates may arrive repeatedly and in any order.
    ``changed_at`` is the monotonic time of the last change.
    """

    fingerprint: str
    crashes: set[Crash] = field(default_factory=set)
    cleared: set[Crash] = field(default_factory=set)
    changed_at: timedelta = timedelta(0)

    @property
    def open_crashes(self) -> set[Crash]:
        """Return the crashes that the fingerprint may have caused."""
        return self.crashes - self.cleared


@dataclass(slots=True)
class CrashTable:
    """Suspects by fingerprint, and completed fingerprints, the latest last."""

    suspects: dict[str, Suspect] = field(default_factory=dict)
    completed: dict[str, None] = field(default_factory=dict)
