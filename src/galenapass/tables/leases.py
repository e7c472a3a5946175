"""Define the planner's lease of a failure domain: stored object and local view."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.tables.conditional_writes import ConditionalWrite

__all__ = ["Lease", "LeasePhase", "LeaseValue"]


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

    The fencing number ``fence`` increases by one with each new holder.
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
    ``valid_until`` is computed from the time before the renewal was sent.
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
