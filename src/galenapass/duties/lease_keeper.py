"""Acquire, renew and release a lease that the platform stores."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
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
RELEASE_TIMEOUT_SECONDS = 3.0

_log = make_log("planner")


class LeaseObjects(Protocol):
    """Object store with writes that are conditional on a version."""

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return an object, or why it could not be read."""

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the given version of an object, or create it without one.

        Return the new version.
        """


class LeaseKeeper:
    """One daemon's lease, with the calls that acquire, renew and release it.

    ``find_epoch`` returns the store's epoch, 0 while it is unknown.
    """

    __slots__ = ("_clock", "_find_epoch", "_objects", "lease")

    def __init__(
        self,
        lease: Lease,
        clock: Clock,
        objects: LeaseObjects,
        find_epoch: Callable[[], int] = lambda: 0,
    ):
        self.lease = lease
        self._clock = clock
        self._objects = objects
        self._find_epoch = find_epoch

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or None unless the lease is valid now."""
        value = self.lease.value
        return value.fence if self.is_holder and value is not None else None

    @property
    def is_holder(self) -> bool:
        """Return whether this daemon holds a valid lease now."""
        return leases.is_valid(self.lease, self._clock.monotonic())

    @property
    def time_left(self) -> timedelta:
        """Return how long the lease stays valid without a renewal, 0 if not held."""
        return leases.find_time_left(self.lease, self._clock.monotonic())

    def apply_epoch(self) -> None:
        """Give the lease up if the store was restored."""
        leases.apply_epoch(self.lease, self._find_epoch(), self._clock.monotonic())

    async def step(self) -> None:
        """Try to acquire the lease, or renew it when that is due."""
        was_holder = self.is_holder
        self.apply_epoch()
        await self._perform_effects(
            step_lease(self.lease, LeaseTick(), self._clock.monotonic())
        )
        if self.is_holder != was_holder:
            fence = self.lease.value.fence if self.lease.value else None
            _log("lease ownership changed", domain=self.lease.domain, fence=fence)

    async def release(self) -> None:
        """Release the lease, or let it expire when the release times out."""
        effect = step_lease(self.lease, StopLease(), self._clock.monotonic())
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_SECONDS):
                await self._perform_effects(effect)
        except TimeoutError:
            _log("lease release timed out, it will expire", domain=self.lease.domain)
        previous = self.lease
        self.lease = Lease(
            previous.domain, previous.host, previous.incarnation, previous.term
        )
        self.lease.writes = previous.writes
        self.lease.epoch = previous.epoch
        self.lease.unknown_until = previous.unknown_until

    async def _perform_effects(self, effect: LeaseEffect | None) -> None:
        while effect is not None:
            event: Any = await self._perform(effect)
            self.apply_epoch()
            effect = step_lease(self.lease, event, self._clock.monotonic())

    async def _perform(self, effect: LeaseEffect) -> LeaseRead | LeaseWritten:
        name = self.lease.domain
        if isinstance(effect, ReadLease):
            return LeaseRead(await self._objects.read(LEASES_KIND, name))
        assert isinstance(effect, WriteLease)
        return LeaseWritten(
            await self._objects.write(LEASES_KIND, name, effect.body, effect.if_version)
        )
