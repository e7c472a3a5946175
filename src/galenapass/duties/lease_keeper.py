"""Follow one lease against the platform's objects."""

import asyncio
from typing import Any, Protocol

from result import Result

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.platform.messages import Failure, StoredObject
from galenapass.systems import leases
from galenapass.systems.leases import (
    LeaseEffect,
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    ReadLease,
    StopLease,
    WriteLease,
    step_lease,
)
from galenapass.tables.leases import Lease

__all__ = ["LEASES_KIND", "LeaseKeeper", "LeaseObjects"]

LEASES_KIND = "leases"
RELEASE_SECONDS = 3.0

_log = make_log("planner")


class LeaseObjects(Protocol):
    """Read and conditionally write single objects."""

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return one object."""

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the version named, or create when None."""


class LeaseKeeper:
    """Hold one daemon's part in a lease."""

    __slots__ = ("_clock", "_objects", "lease")

    def __init__(self, lease: Lease, clock: Clock, objects: LeaseObjects):
        self.lease = lease
        self._clock = clock
        self._objects = objects

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or None when authority is not sure now."""
        value = self.lease.value
        return value.fence if self.is_holder and value is not None else None

    @property
    def is_holder(self) -> bool:
        """Tell whether this daemon holds a valid lease now."""
        return leases.is_valid(self.lease, self._clock.monotonic())

    async def step(self) -> None:
        """Seek the lease, or renew it when that is due."""
        held = self.is_holder
        await self._follow(step_lease(self.lease, LeaseTick(), self._clock.monotonic()))
        if self.is_holder != held:
            fence = self.lease.value.fence if self.lease.value else None
            _log("lease changes hands", domain=self.lease.domain, fence=fence)

    async def release(self) -> None:
        """Give the lease back, if that is quickly done."""
        effect = step_lease(self.lease, StopLease(), self._clock.monotonic())
        try:
            async with asyncio.timeout(RELEASE_SECONDS):
                await self._follow(effect)
        except TimeoutError:
            _log("lease is left to lapse", domain=self.lease.domain)
        old = self.lease
        self.lease = Lease(old.domain, old.host, old.incarnation, old.term)
        self.lease.writes = old.writes

    async def _follow(self, effect: LeaseEffect | None) -> None:
        while effect is not None:
            event: Any = await self._call(effect)
            effect = step_lease(self.lease, event, self._clock.monotonic())

    async def _call(self, effect: LeaseEffect) -> LeaseRead | LeaseWritten:
        name = self.lease.domain
        if isinstance(effect, ReadLease):
            return LeaseRead(await self._objects.read(LEASES_KIND, name))
        assert isinstance(effect, WriteLease)
        return LeaseWritten(
            await self._objects.write(LEASES_KIND, name, effect.body, effect.if_version)
        )
