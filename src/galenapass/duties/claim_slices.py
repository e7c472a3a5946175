"""Hold what waits for the slices of claims, and where these are kept."""

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from galenapass.platform.messages import Failure, StoredObject
from galenapass.systems.claims import ClaimOperation, ClaimOutcome
from galenapass.tables.claims import ClaimSlice

__all__ = ["Pending", "Queue", "SliceStore"]


class SliceStore(Protocol):
    """Read and write objects on condition of their versions."""

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return one object."""

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the version named, or create when None."""


@dataclass(slots=True, eq=False)
class Pending:
    """Hold an operation and who waits for it.

    ``attempted`` is set before a write that holds it; ``withdrawn`` keeps it out of
    every later one.
    """

    operation: ClaimOperation
    done: asyncio.Future[ClaimOutcome]
    attempted: bool = False
    withdrawn: bool = False


@dataclass(slots=True)
class Queue:
    """Hold what waits for one slice; ``known`` is the slice as last seen."""

    name: str
    waiting: list[Pending] = field(default_factory=list)
    known: ClaimSlice | None = None
    worker: asyncio.Task[None] | None = None
