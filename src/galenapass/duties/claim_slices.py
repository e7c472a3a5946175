"""Define the queues of claim operations and the store of claim slices."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from galenapass.platform.messages import Failure, StoredObject
from galenapass.systems.claims import ClaimOperation, ClaimOutcome
from galenapass.tables.claims import ClaimSlice

__all__ = ["PendingOperation", "SliceQueue", "SliceStore"]


class SliceStore(Protocol):
    """Object store with writes that are conditional on a version."""

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return an object, or why it could not be read."""

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the given version of an object, or create it without one.

        Return the new version.
        """


@dataclass(slots=True, eq=False)
class PendingOperation:
    """Claim operation with a future for its outcome.

    ``attempted`` is set before a write that includes the operation; ``withdrawn``
    excludes it from all later writes.
    """

    operation: ClaimOperation
    done: asyncio.Future[ClaimOutcome]
    attempted: bool = False
    withdrawn: bool = False


@dataclass(slots=True)
class SliceQueue:
    """Pending operations of one slice; ``cached`` is its last known content."""

    name: str
    waiting: list[PendingOperation] = field(default_factory=list)
    cached: ClaimSlice | None = None
    worker: asyncio.Task[None] | None = None
