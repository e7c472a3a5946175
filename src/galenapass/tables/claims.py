"""Define the claims of idempotency keys, stored in slices of the key space."""

from dataclasses import dataclass, field
from enum import Enum

from galenapass.dispatch import StoredAnswer

__all__ = ["ClaimEntry", "ClaimSlice", "ClaimState"]


class ClaimState(Enum):
    """Execution state of the call that claimed an idempotency key."""

    CLAIMED = "claimed"
    RAN = "ran"
    MAY_HAVE_RUN = "may have run"


@dataclass(slots=True, frozen=True)
class ClaimEntry:
    """Claim of one key; ``at`` is wall time in seconds, used to drop old answers."""

    nonce: str
    fingerprint: str
    state: ClaimState
    at: int
    answer: StoredAnswer | None = None


@dataclass(slots=True)
class ClaimSlice:
    """One slice as last read or written; version None means no stored object yet."""

    version: int | None = None
    entries: dict[str, ClaimEntry] = field(default_factory=dict)
