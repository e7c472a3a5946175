"""Watch the objects of one kind in the store, through outages and compaction."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any, Protocol

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding.store_availability import FAILURES_UNTIL_UNAVAILABLE
from galenapass.logs import make_log
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectChange,
    ObjectListing,
)

__all__ = ["StoreWatch", "WatchableStore"]

# Pause after a failed call, doubled up to the maximum. A healthy store answers within
# milliseconds, and refused calls count towards its rate limit too.
INITIAL_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(milliseconds=800)
# A healthy store answers a watch within this time after its wait ends.
ANSWER_SLACK = timedelta(seconds=1)

_log = make_log("store")


class WatchableStore(Protocol):
    """Store whose objects can be listed and watched by kind."""

    async def list(self, kind: str) -> Result[ObjectListing, Failure]:
        """Return every object of a kind."""

    async def watch(
        self, kind: str, after: int, wait: timedelta
    ) -> Result[tuple[int, tuple[ObjectChange, ...]], Failure]:
        """Return the version to watch after next and the changes after ``after``."""


class StoreWatch:
    """Watch of the objects of one kind.

    ``on_listing`` is called with each full listing, ``on_change`` with each later
    change. ``batching_delay`` returns how long to wait after an answer, so that several
    changes arrive in one call. ``version`` is None until the kind is listed.
    """

    def __init__(
        self,
        store: WatchableStore,
        kind: str,
        wait: timedelta,
        on_listing: Callable[[ObjectListing], None],
        on_change: Callable[[ObjectChange], None],
        clock: Clock,
        random: Random,
        batching_delay: Callable[[], timedelta] = timedelta,
    ):
        self.version: int | None = None
        self._store = store
        self.kind = kind
        self._wait = wait
        self._on_listing = on_listing
        self._on_change = on_change
        self._clock = clock
        self._random = random
        self._batching_delay = batching_delay
        self._failures = 0
        self._answered_at: timedelta | None = None
        self._watch_task: asyncio.Task[Any] | None = None
        self._watch_sent_at = timedelta(0)

    @property
    def is_fresh(self) -> bool:
        """Return whether the last answer is no older than a healthy watch may take."""
        if self._answered_at is None or self._failures:
            return False
        return self._clock.monotonic() - self._answered_at < self._wait + ANSWER_SLACK

    def restart(self, since: timedelta = timedelta.max) -> None:
        """Cancel a watch that was sent before ``since``, so that a new one begins.

        Load pattern: a store that was unavailable. It may have lost the watch without
        closing its connection, and with it the changes of several seconds.
        """
        if self._watch_task is not None and self._watch_sent_at < since:
            self._watch_task.cancel()

    def list_again(self) -> None:
        """List all objects before the next watch, as the version means nothing now."""
        self.version = None
        self.restart()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            failure = await self.step()
            if failure is None:
                await asyncio.sleep(self._batching_delay().total_seconds())
                continue
            bound = min(INITIAL_BACKOFF * 2 ** min(self._failures, 5), MAX_BACKOFF)
            pause = bound * self._random.uniform(0.5, 1.0)
            await asyncio.sleep(pause.total_seconds())

    async def step(self) -> Failure | None:
        """Make one call; return its failure if a pause must follow."""
        failure = await (self._list() if self.version is None else self._watch())
        if failure is not None and failure.cause is FailureCause.COMPACTED:
            _log("history is compacted", kind=self.kind, version=self.version)
            self.version = None
            return None
        if failure is None:
            return None
        self._failures += 1
        if self._failures == FAILURES_UNTIL_UNAVAILABLE:
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
        self._watch_sent_at = self._clock.monotonic()
        self._watch_task = asyncio.ensure_future(call)
        try:
            await asyncio.wait((self._watch_task,))
            if self._watch_task.cancelled():
                return None
            answer = self._watch_task.result()
        finally:
            self._watch_task.cancel()
            self._watch_task = None
        if isinstance(answer, Err):
            return answer.err_value
        self._record_answer()
        version, changes = answer.ok_value
        for change in changes:
            self._apply(change)
        self.version = version
        return None

    def _apply(self, change: ObjectChange) -> None:
        """Apply one change; a failure is logged and does not stop later changes."""
        try:
            self._on_change(change)
        except Exception as error:
            _log(
                "change could not be applied",
                kind=self.kind,
                name=change.name,
                version=change.version,
                error=repr(error),
            )

    def _record_answer(self) -> None:
        if self._failures >= FAILURES_UNTIL_UNAVAILABLE:
            _log("store is back", kind=self.kind, failures=self._failures)
        self._failures = 0
        self._answered_at = self._clock.monotonic()
