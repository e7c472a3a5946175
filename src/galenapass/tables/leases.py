"""Hold the planner's lease of a failure domain: the object and a daemon's view."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.tables.conditional_writes import ConditionalWrite

__all__ = ["Lease", "LeasePhase", "LeaseValue"]


class LeasePhase(Enum):
    """Name the call that a daemon has under way for the lease."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"
    UNSURE = "unsure"
    RESOLVING = "resolving"


@dataclass(slots=True, frozen=True)
class LeaseValue:
    """Hold the object ``leases/DOMAIN``; a released lease has no holder.

    The fencing number grows by one with each new holder.
    """

    holder: str | None
    incarnation: int
    fence: int
    term: timedelta
    nonce: str


@dataclass(slots=True)
class Lease:
    """Hold one daemon's view of its domain's lease; times are monotonic.

    ``changed_at`` is when this daemon first saw the present version;
    ``valid_until`` counts from before the renewal was sent.
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
