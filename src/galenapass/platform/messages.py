"""Hold the typed messages of the platform's object API."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "FailureCause",
    "ObjectChange",
    "Failure",
    "ListedHost",
    "ObjectListing",
    "StoredObject",
]


class FailureCause(Enum):
    """Name why a call failed; only UNKNOWN leaves open whether it took effect."""

    CONFLICT = "conflict"
    NOT_FOUND = "not found"
    UNAVAILABLE = "away"
    UNKNOWN = "unknown"
    THROTTLED = "throttled"
    COMPACTED = "history is gone"


@dataclass(slots=True, frozen=True)
class Failure:
    """Hold a failed call; ``current`` is the version that a conflict named."""

    cause: FailureCause
    current: int | None = None
    detail: str = ""


@dataclass(slots=True, frozen=True)
class StoredObject:
    """Hold one object as it was read."""

    name: str
    version: int
    body: str


@dataclass(slots=True, frozen=True)
class ObjectListing:
    """Hold every object of one kind as of a version."""

    version: int
    items: tuple[StoredObject, ...]


@dataclass(slots=True, frozen=True)
class ObjectChange:
    """Hold one event of a watch; the body of a deleted object is empty."""

    name: str
    version: int
    body: str
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class ListedHost:
    """Hold one row of the platform's lagging list of hosts."""

    id: str
    kind: str
    address: str
    domain: str
    leaving: bool = False
    incarnation: int | str = 0
