"""Prove that a window of usage was not reported before it is counted.

A report is known from its object in the store, which a restore takes, and from
processes, which end. Finding neither proves nothing. Pure functions; times are true
times since 1970.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = [
    "Evidence",
    "Proof",
    "Restore",
    "find_proof",
    "includes_restore",
    "merge_evidence",
]


class Proof(Enum):
    """Why the windows that are not known to be reported were not reported."""

    STORED = "the store has each report since its last restore"
    LATER = "the window ended after the last restore was seen"
    HELD = "a holder of the duty that saw the restore in its term had not reported it"


@dataclass(slots=True, frozen=True)
class Restore:
    """Last restore of the store, which began its ``epoch``, no later than ``seen_at``.

    The first epoch counts as well: it began as the store was set up.
    """

    epoch: int
    seen_at: timedelta


@dataclass(slots=True, frozen=True)
class Evidence:
    """What is known of the reports that were sent.

    No window after ``written`` was sent before ``complete_until``, which is never in
    the future: a holder may release its lease at any time. ``restore`` is None while
    the store has named no epoch.
    """

    written: int = -1
    complete_until: timedelta = timedelta(0)
    restore: Restore | None = None


def merge_evidence(one: Evidence, other: Evidence) -> Evidence:
    """Return what two processes know together.

    Commutative, associative and idempotent. A higher ``written`` weakens the statement
    about the windows after it, so both maxima remain true together.
    """
    return Evidence(
        max(one.written, other.written),
        max(one.complete_until, other.complete_until),
        _merge_restores(one.restore, other.restore),
    )


def find_proof(
    end: timedelta, evidence: Evidence, stored_epoch: int | None
) -> Proof | None:
    """Return the proof that a window after the last known report was not reported.

    The window ends at ``end``; ``stored_epoch`` is the latest in which a report that
    the store has was written. No report is written before its window has ended, and
    one that was written in the current epoch is in the store.

    Load pattern: the store returns from an older copy while processes that knew of a
    report end, are cut off or are suspended.
    """
    restore = evidence.restore
    if restore is None:
        # Only a store that names its epochs can be restored.
        return Proof.STORED
    for proof, holds in _CONDITIONS.items():
        if holds(end, evidence.complete_until, restore, stored_epoch):
            return proof
    return None


def includes_restore(complete_until: timedelta, restore: Restore) -> bool:
    """Return whether a holder's term reached to the first sight of a restore."""
    return complete_until >= restore.seen_at


def _merge_restores(one: Restore | None, other: Restore | None) -> Restore | None:
    if one is None or other is None:
        return one or other
    if one.epoch != other.epoch:
        return max(one, other, key=lambda restore: restore.epoch)
    return min(one, other, key=lambda restore: restore.seen_at)


_Condition = Callable[[timedelta, timedelta, Restore, int | None], bool]

_CONDITIONS: dict[Proof, _Condition] = {
    Proof.STORED: lambda end, until, restore, stored: stored == restore.epoch,
    Proof.LATER: lambda end, until, restore, stored: end > restore.seen_at,
    Proof.HELD: lambda end, until, restore, stored: includes_restore(until, restore),
}
