"""Typed results and failures of the platform's object API."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Failure",
    "FailureCause",
    "ListedHost",
    "ObjectChange",
    "ObjectListing",
    "StoredObject",
]


class FailureCause(Enum):
    """Cause of a failed call; only UNKNOWN calls may have taken effect."""

    CONFLICT = "conflict"
    NOT_FOUND = "not found"
    UNAVAILABLE = "away"
    UNKNOWN = "unknown"
    THROTTLED = "throttled"
    COMPACTED = "history is gone"


@dataclass(slots=True, frozen=True)
class Failure:
    """Failed call; ``current`` is the object's version that a conflict reported."""

    cause: FailureCause
    current: int | None = None
    detail: str = ""


@dataclass(slots=True, frozen=True)
class StoredObject:
    """One object with the version that was read."""

    name: str
    version: int
    body: str


@dataclass(slots=True, frozen=True)
class ObjectListing:
    """Every object of one kind as of ``version`` in an epoch of the store, if known."""

    version: int
    items: tuple[StoredObject, ...]
    epoch: int | None = None


@dataclass(slots=True, frozen=True)
class ObjectChange:
    """One event of a watch; ignore the body of a deleted object."""

    name: str
    version: int
    body: str
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class ListedHost:
    """One row of the platform's host list, which lags behind the actual state."""

    id: str
    kind: str
    address: str
    domain: str
    leaving: bool = False
    incarnation: int | str = 0
