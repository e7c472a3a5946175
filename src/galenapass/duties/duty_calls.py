"""Make the calls of the duties, which only the holder of their lease may make."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from datetime import timedelta
from typing import Any

from galenapass.clocks import Clock
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.forwarding.operations import CallOutcome, OperationsClient

__all__ = ["DutyCalls"]

# The platform may take 50 times as long as usual, which is some 30 ms.
MAX_CALL_TIME = timedelta(seconds=2.5)
# Less time until the end of the lease is too little for an answer of a slow platform.
MIN_CALL_TIME = timedelta(milliseconds=300)


class DutyCalls:
    """Calls of one host for all duties, within the lease and the platform's rate.

    ``min_alternation`` is the time within which the platform must not see this host,
    another one and this host again. A call that is still open as the lease is released
    is reset first, as the next holder may call at once.
    """

    def __init__(
        self,
        host: str,
        keeper: LeaseKeeper,
        client: OperationsClient,
        clock: Clock,
        calls_per_second: float,
        min_alternation: timedelta,
    ):
        self._host = host
        self._keeper = keeper
        self._client = client
        self._clock = clock
        self._period = timedelta(seconds=1 / max(calls_per_second, 0.01))
        self._min_alternation = min_alternation
        self._called_at: timedelta | None = None
        # Until then a former process of this host may have called.
        self._alternates_until = clock.monotonic() + min_alternation
        self._fence: int | None = None
        self._open: set[asyncio.Task[CallOutcome | None]] = set()
        keeper.before_release.append(self.reset)

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or None unless the lease is valid now."""
        return self._keeper.fence

    @property
    def time_left(self) -> timedelta:
        """Return how long calls may still be made unless the lease is renewed."""
        return self._keeper.time_left

    def add_before_release(self, end: Callable[[], Awaitable[None]]) -> None:
        """Add a function that is called before another host may make the calls."""
        self._keeper.before_release.append(end)

    async def report_usage(
        self, window: int, counts: Mapping[str, int]
    ) -> CallOutcome | None:
        """Report a window of usage; return None if no call may be made now."""
        return await self._call(
            lambda fence, limit: self._client.report_usage(
                window, counts, self._host, fence, limit
            )
        )

    async def order_size(
        self, service: str, domain: str, count: int, reclaimable: bool
    ) -> CallOutcome | None:
        """Order targets of one kind; return None if no call may be made now."""
        return await self._call(
            lambda fence, limit: self._client.order_size(
                service, domain, count, reclaimable, self._host, fence, limit
            )
        )

    async def reset(self) -> None:
        """Give up the open calls, whose outcomes are then unknown."""
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _call(
        self,
        call: Callable[[int, timedelta], Coroutine[Any, Any, CallOutcome]],
    ) -> CallOutcome | None:
        task = asyncio.create_task(self._call_within_lease(call))
        self._open.add(task)
        try:
            await asyncio.wait((task,))
        finally:
            task.cancel()
            self._open.discard(task)
        return CallOutcome.UNKNOWN if task.cancelled() else task.result()

    async def _call_within_lease(
        self,
        call: Callable[[int, timedelta], Coroutine[Any, Any, CallOutcome]],
    ) -> CallOutcome | None:
        """Make a call that ends within the lease, which is checked right before it."""
        fence, time_left = self._keeper.fence, self._keeper.time_left
        now = self._clock.monotonic()
        if fence is None or time_left < MIN_CALL_TIME or not self._may_call(fence, now):
            return None
        self._called_at = now
        try:
            return await call(fence, min(time_left, MAX_CALL_TIME))
        finally:
            self._alternates_until = max(
                self._alternates_until, self._clock.monotonic() + self._min_alternation
            )

    def _may_call(self, fence: int, now: timedelta) -> bool:
        """Return whether the rate allows a call, and another holder is long ago."""
        if fence != self._fence:
            if now < self._alternates_until:
                return False
            self._fence = fence
        return self._called_at is None or now >= self._called_at + self._period
