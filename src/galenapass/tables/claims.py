"""Hold the claims of idempotency keys, kept in slices of the key space."""

from dataclasses import dataclass, field
from enum import Enum

from galenapass.dispatch import StoredAnswer

__all__ = ["ClaimSlice", "ClaimState", "ClaimEntry"]


class ClaimState(Enum):
    """Name what is known of the call under a key."""

    CLAIMED = "claimed"
    RAN = "ran"
    MAY_HAVE_RUN = "may have run"


@dataclass(slots=True, frozen=True)
class ClaimEntry:
    """Hold one claim; ``at`` is wall time in seconds, for dropping old answers."""

    nonce: str
    fingerprint: str
    state: ClaimState
    at: int
    answer: StoredAnswer | None = None


@dataclass(slots=True)
class ClaimSlice:
    """Hold one slice as it was last read or written; None means no object yet."""

    version: int | None = None
    entries: dict[str, ClaimEntry] = field(default_factory=dict)
