"""Define the planner's lease of a failure domain: stored object and local view."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.tables.conditional_writes import ConditionalWrite

__all__ = ["FENCES_PER_EPOCH", "Lease", "LeasePhase", "LeaseValue"]

# More holders than one epoch of the store can have.
FENCES_PER_EPOCH = 1_000_000


class LeasePhase(Enum):
    """Call for the lease that a daemon has in progress."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"
    UNSURE = "unsure"
    RESOLVING = "resolving"


@dataclass(slots=True, frozen=True)
class LeaseValue:
    """Stored object ``leases/DOMAIN``; a released lease has no holder.

    The fencing number ``fence`` increases with each new holder. Its part above
    ``FENCES_PER_EPOCH`` is the store's epoch in which the holder acquired the lease.
    """

    holder: str | None
    incarnation: int
    fence: int
    term: timedelta
    nonce: str


@dataclass(slots=True)
class Lease:
    """One daemon's local view of its domain's lease; times are monotonic.

    ``changed_at`` is when this daemon first saw the current version;
    ``valid_until`` is computed from the time before the renewal was sent. ``epoch`` is
    the store's epoch, and until ``unknown_until`` a lease that the store lost may still
    be held. ``fresh_until`` ends the first start of the whole system, in which no
    lease can be lost; it is None for a later start.
    """

    domain: str
    host: str
    incarnation: int
    term: timedelta
    phase: LeasePhase = LeasePhase.IDLE
    value: LeaseValue | None = None
    version: int | None = None
    changed_at: timedelta | None = None
    read_at: timedelta | None = None
    retry_at: timedelta | None = None
    valid_until: timedelta | None = None
    attempt: ConditionalWrite | None = None
    writes: int = 0
    stopping: bool = False
    epoch: int = 0
    unknown_until: timedelta | None = None
    fresh_until: timedelta | None = None
