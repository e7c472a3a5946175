"""Follow the objects of one kind in the store, through outages and lost history."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any, Protocol

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding.store_availability import FAILURES_AWAY
from galenapass.logs import make_log
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectChange,
    ObjectListing,
)

__all__ = ["StoreWatch", "Watched"]

# Pause after a failed call, doubled up to the longest; the store answers within
# milliseconds when it is well and counts refused calls too.
FIRST_PAUSE = timedelta(milliseconds=100)
LONGEST_PAUSE = timedelta(milliseconds=800)
# A store that is well answers a watch this soon after its wait.
ANSWER_SLACK = timedelta(seconds=1)

_log = make_log("store")


class Watched(Protocol):
    """List and watch the objects of a kind."""

    async def list(self, kind: str) -> Result[ObjectListing, Failure]:
        """Return every object of a kind."""

    async def watch(
        self, kind: str, after: int, wait: timedelta
    ) -> Result[tuple[int, tuple[ObjectChange, ...]], Failure]:
        """Return the changes after a version and the version to go on from."""


class StoreWatch:
    """Hold how far one kind was followed.

    ``on_listing`` gets every object, ``on_change`` each later change;
    ``gather`` gives how long changes are left to come together after an answer.
    """

    def __init__(
        self,
        store: Watched,
        kind: str,
        wait: timedelta,
        on_listing: Callable[[ObjectListing], None],
        on_change: Callable[[ObjectChange], None],
        clock: Clock,
        random: Random,
        gather: Callable[[], timedelta] = timedelta,
    ):
        self.version: int | None = None
        self._store = store
        self.kind = kind
        self._wait = wait
        self._on_listing = on_listing
        self._on_change = on_change
        self._clock = clock
        self._random = random
        self._gather = gather
        self._failures = 0
        self._answered_at: timedelta | None = None
        self._watching: asyncio.Task[Any] | None = None

    @property
    def is_fresh(self) -> bool:
        """Tell whether the store was heard as lately as a watch that waits allows."""
        if self._answered_at is None or self._failures:
            return False
        return self._clock.monotonic() - self._answered_at < self._wait + ANSWER_SLACK

    def restart(self) -> None:
        """Begin a watch that waits anew.

        Load pattern: a store that was away. It may have lost the watch without closing
        its connection, and the changes of seconds with it.
        """
        if self._watching is not None:
            self._watching.cancel()

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            failure = await self.step()
            if failure is None:
                await asyncio.sleep(self._gather().total_seconds())
                continue
            bound = min(FIRST_PAUSE * 2 ** min(self._failures, 5), LONGEST_PAUSE)
            pause = bound * self._random.uniform(0.5, 1.0)
            await asyncio.sleep(pause.total_seconds())

    async def step(self) -> Failure | None:
        """Make one call; return the failure to wait after, if any."""
        failure = await (self._list() if self.version is None else self._watch())
        if failure is not None and failure.cause is FailureCause.COMPACTED:
            _log("history is gone", kind=self.kind, version=self.version)
            self.version = None
            return None
        if failure is None:
            return None
        self._failures += 1
        if self._failures == FAILURES_AWAY:
            _log(
                "store is lost",
                kind=self.kind,
                version=self.version,
                cause=failure.cause.value,
                detail=failure.detail,
            )
        return failure

    async def _list(self) -> Failure | None:
        answer = await self._store.list(self.kind)
        if isinstance(answer, Err):
            return answer.err_value
        self._record_answer()
        listing = answer.ok_value
        self._on_listing(listing)
        self.version = listing.version
        return None

    async def _watch(self) -> Failure | None:
        assert self.version is not None
        call = self._store.watch(self.kind, self.version, self._wait)
        self._watching = asyncio.ensure_future(call)
        try:
            await asyncio.wait((self._watching,))
            if self._watching.cancelled():
                return None
            answer = self._watching.result()
        finally:
            self._watching.cancel()
            self._watching = None
        if isinstance(answer, Err):
            return answer.err_value
        self._record_answer()
        version, changes = answer.ok_value
        for change in changes:
            self._apply(change)
        self.version = version
        return None

    def _apply(self, change: ObjectChange) -> None:
        """Hand on one change; one that cannot be taken in holds up no other."""
        try:
            self._on_change(change)
        except Exception as error:
            _log(
                "change is not taken in",
                kind=self.kind,
                name=change.name,
                version=change.version,
                error=repr(error),
            )

    def _record_answer(self) -> None:
        if self._failures >= FAILURES_AWAY:
            _log("store is back", kind=self.kind, failures=self._failures)
        self._failures = 0
        self._answered_at = self._clock.monotonic()
