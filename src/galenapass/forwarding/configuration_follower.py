"""Keep the configuration of this daemon at the newest version that is known."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.configuration_updates import ConfigurationUpdates
from galenapass.forwarding.fleet import Fleet
from galenapass.logs import make_log
from galenapass.platform.messages import Failure, StoredObject

__all__ = [
    "ConfigurationFollower",
    "ConfigurationSources",
    "VersionKnowledge",
    "is_newest",
]

# A watch delivers a change a few milliseconds after the store confirmed it.
MAX_WATCH_LAG = timedelta(milliseconds=200)
# A peer of the same domain hands a configuration on within this time.
PEER_LEAD = timedelta(milliseconds=300)
# Between two rounds of asking peers, and after a failed read of the store.
RETRY_PAUSE = timedelta(milliseconds=200)
MAX_RETRY_PAUSE = timedelta(milliseconds=800)
# A read whose answer has not begun by then is joined by another one, as it may hang.
READ_INTERVAL = timedelta(milliseconds=600)
MAX_READS = 3
# Between reads until the first configuration is loaded.
INITIAL_LOAD_PERIOD = timedelta(milliseconds=500)
# Without a word of a scheduler for so long, a version may have been missed. Schedulers
# answer a ping within 1.2 s.
MAX_UNCONFIRMED = timedelta(seconds=1.5)
CHECK_PERIOD = timedelta(milliseconds=250)
# Time for which the version in force counts as the newest. A ping is sent at least each
# 1.2 s and answered within 0.1 s; the scheduler that answers may itself have been cut
# off from the store for 1.8 s. Together they take about the 3 s in which a host has to
# apply a version.
MAX_PONG_AGE = timedelta(seconds=1.3)
MAX_WATCH_AGE = timedelta(seconds=1.8)
MAX_READ_AGE = timedelta(seconds=2)
# From asking the schedulers to reading the store, as long as none has answered.
CONFIRMATION_LEAD = timedelta(milliseconds=100)
CONFIRMATION_POLL = timedelta(milliseconds=20)
# Between two reads of the store that only confirm a version.
CONFIRMATION_READ_PERIOD = timedelta(seconds=1)

MILLISECOND = timedelta(milliseconds=1)

_log = make_log("state")


@dataclass(slots=True, frozen=True)
class ConfigurationSources:
    """Where a configuration can be read.

    ``read_store`` reads it from the store and calls its argument once the answer
    begins. ``list_peers`` returns the hosts that may hand it on, best first, and
    ``ask_peer`` asks one of them; it returns None if that host has no newer one.
    ``is_watched`` is whether a watch delivers it too, ``confirmed_at`` when a scheduler
    last told the newest version that it knows, 0 if never.

    ``fresh_at`` is since when no version can be unknown to a scheduler that answered,
    and ``watched_at`` since when none can be unknown to the watch, 0 if any can.
    ``request_versions`` asks the schedulers for their versions.
    """

    read_store: Callable[
        [Callable[[], None]], Coroutine[Any, Any, Result[StoredObject, Failure]]
    ]
    list_peers: Callable[[], list[str]]
    ask_peer: Callable[[str], Coroutine[Any, Any, Result[StoredObject | None, str]]]
    is_watched: Callable[[], bool]
    confirmed_at: Callable[[], timedelta]
    fresh_at: Callable[[], timedelta] = lambda: timedelta(0)
    watched_at: Callable[[], timedelta] = lambda: timedelta(0)
    request_versions: Callable[[], None] = lambda: None


@dataclass(slots=True, frozen=True)
class VersionKnowledge:
    """What a host knows of the newest version; times are monotonic, 0 if never.

    ``heard_version`` is the newest that it was told of. No version from before
    ``fresh_at`` was unknown to a scheduler, none from before ``watched_at`` to this
    host's watch, and none from before ``read_at`` to a read of the store.
    """

    version: int
    heard_version: int
    fresh_at: timedelta
    watched_at: timedelta
    read_at: timedelta


def is_newest(knowledge: VersionKnowledge, now: timedelta) -> bool:
    """Return whether the version in force is the newest but for the last moments.

    Load pattern: hosts that are cut off from the store and the schedulers. They hear
    of no version, so that silence does not show that there is none.
    """
    ages = (
        (knowledge.fresh_at, MAX_PONG_AGE),
        (knowledge.watched_at, MAX_WATCH_AGE),
        (knowledge.read_at, MAX_READ_AGE),
    )
    is_known = any(at and now - at < max_age for at, max_age in ages)
    return is_known and 0 < knowledge.version >= knowledge.heard_version


@dataclass(slots=True, eq=False)
class _Read:
    """Read of the store under way; ``wanted`` is the version heard of as it began."""

    wanted: int
    has_begun: bool = False


class ConfigurationFollower:
    """Reader of the versions that this daemon has heard of and does not have.

    While it is behind, peers and the store are asked at the same time and each of them
    again after a failure, so that no single answer is waited for.
    """

    def __init__(
        self,
        fleet: Fleet,
        updates: ConfigurationUpdates,
        sources: ConfigurationSources,
        clock: Clock,
    ):
        self._fleet = fleet
        self._updates = updates
        self._sources = sources
        self._clock = clock
        self._background = BackgroundTasks("state")
        self._heard_version = 0
        self._heard_from = ""
        self._is_catching_up = False
        self._read_at = timedelta(0)
        self._confirmed_by_read_at = timedelta(0)
        self._confirmation: asyncio.Task[None] | None = None

    @property
    def is_newest(self) -> bool:
        """Return whether the version in force is the newest but for the last moments.

        A host told of a newer version has to apply it within a few seconds.
        """
        is_watched = self._sources.is_watched()
        knowledge = VersionKnowledge(
            self._fleet.routes.version,
            self._heard_version,
            self._sources.fresh_at(),
            self._sources.watched_at() if is_watched else timedelta(0),
            self._confirmed_by_read_at,
        )
        return is_newest(knowledge, self._clock.monotonic())

    @property
    def is_behind(self) -> bool:
        """Return whether there is a newer version than the one in force."""
        version = self._fleet.routes.version
        return not version or version < self._heard_version

    def handle_peer_version(self, version: int, peer: str) -> None:
        """Read the configuration if a peer's version is newer than the local one."""
        if version > max(self._heard_version, self._fleet.routes.version):
            self._heard_version, self._heard_from = version, peer
            _log("configuration is announced", version=version, peer=peer)
        if version and self.is_behind:
            self._start()

    async def confirm(self, within: timedelta) -> bool:
        """Return whether the version in force is the newest, and ask if unknown.

        Load pattern: many requests with unknown keys at a host that is behind. One
        search serves all of them.
        """
        if self.is_newest:
            return True
        if self._confirmation is None or self._confirmation.done():
            self._confirmation = asyncio.create_task(self._seek_newest(within))
        await asyncio.wait((self._confirmation,))
        return self.is_newest

    async def _seek_newest(self, within: timedelta) -> None:
        began = self._clock.monotonic()
        self._sources.request_versions()
        if self.is_behind:
            self._start()
        while not self.is_newest:
            now = self._clock.monotonic()
            if now - began >= within:
                return
            is_due = now - self._read_at >= CONFIRMATION_READ_PERIOD
            if now - began >= CONFIRMATION_LEAD and is_due and not self.is_behind:
                self._read_at = now
                self._background.spawn(self._check())
            await asyncio.sleep(CONFIRMATION_POLL.total_seconds())

    async def load_initial(self, is_needed: Callable[[], bool]) -> None:
        """Read while ``is_needed`` returns True, until a configuration is loaded."""
        while not self._fleet.routes.version:
            if is_needed():
                self._start()
            await asyncio.sleep(INITIAL_LOAD_PERIOD.total_seconds())

    async def run_checks(self) -> None:
        """Read the store whenever no scheduler is heard for a while, until cancelled.

        Load pattern: schedulers that are killed as a version comes. Others take over
        only after some seconds.
        """
        while True:
            await asyncio.sleep(CHECK_PERIOD.total_seconds())
            if self._fleet.routes.version and self._is_unconfirmed():
                self._read_at = self._clock.monotonic()
                self._background.spawn(self._check())

    def _is_unconfirmed(self) -> bool:
        if self._sources.is_watched():
            return False
        confirmed_at = max(self._sources.confirmed_at(), self._read_at)
        return self._clock.monotonic() - confirmed_at >= MAX_UNCONFIRMED

    async def _check(self) -> None:
        await self._read_store(_Read(self._heard_version))

    def _start(self) -> None:
        if not self._is_catching_up:
            self._is_catching_up = True
            self._background.spawn(self._catch_up())

    async def _catch_up(self) -> None:
        try:
            if self._sources.is_watched():
                await asyncio.sleep(MAX_WATCH_LAG.total_seconds())
            tasks = [
                asyncio.create_task(self._ask_peers()),
                asyncio.create_task(self._ask_store()),
            ]
            try:
                ended, _ = await asyncio.wait(
                    tasks, return_when=asyncio.FIRST_COMPLETED
                )
                for task in ended:
                    task.result()
            finally:
                for task in tasks:
                    task.cancel()
        finally:
            self._is_catching_up = False

    async def _ask_peers(self) -> None:
        while self.is_behind:
            for peer in self._list_peers():
                await self._ask_peer(peer)
                if not self.is_behind:
                    return
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _list_peers(self) -> list[str]:
        peers = self._sources.list_peers()
        if self._heard_from and self._heard_from not in peers:
            peers.append(self._heard_from)
        return peers

    async def _ask_peer(self, peer: str) -> None:
        began = self._clock.monotonic()
        answer = await self._sources.ask_peer(peer)
        if isinstance(answer, Err):
            self._log_failure(f"peer {peer}", began, answer.err_value)
        elif answer.ok_value is not None:
            self._updates.apply(answer.ok_value, f"peer {peer}")
            await self._updates.settle()

    async def _ask_store(self) -> None:
        """Read the store until it answers, or until this daemon is not behind."""
        if self._list_peers():
            await asyncio.sleep(PEER_LEAD.total_seconds())
        reads: dict[asyncio.Task[bool], _Read] = {}
        pause = RETRY_PAUSE
        try:
            while self.is_behind:
                has_begun = any(read.has_begun for read in reads.values())
                if not has_begun and len(reads) < MAX_READS:
                    read = _Read(self._heard_version)
                    reads[asyncio.create_task(self._read_store(read))] = read
                ended, _ = await asyncio.wait(
                    reads,
                    timeout=READ_INTERVAL.total_seconds(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answered = [reads.pop(task) for task in ended if task.result()]
                for task in ended:
                    reads.pop(task, None)
                if any(read.wanted == self._heard_version for read in answered):
                    self._end_search()
                    return
                if ended and not answered:
                    await asyncio.sleep(pause.total_seconds())
                    pause = min(pause * 2, MAX_RETRY_PAUSE)
        finally:
            for task in reads:
                task.cancel()

    def _end_search(self) -> None:
        """Give up a version that is not in the store, or cannot be read here."""
        if self.is_behind:
            _log(
                "announced configuration is not in the store",
                version=self._heard_version,
                kept=self._fleet.routes.version,
            )
            self._heard_version = self._fleet.routes.version

    async def _read_store(self, read: _Read) -> bool:
        began = self._clock.monotonic()

        def record_begin() -> None:
            read.has_begun = True

        answer = await self._sources.read_store(record_begin)
        if isinstance(answer, Err):
            failure = answer.err_value
            self._log_failure("store", began, f"{failure.cause.value} {failure.detail}")
            return False
        self._read_at = max(self._read_at, began)
        self._updates.apply(answer.ok_value, "read")
        await self._updates.settle()
        self._confirmed_by_read_at = max(self._confirmed_by_read_at, began)
        return True

    def _log_failure(self, source: str, began: timedelta, detail: str) -> None:
        _log(
            "configuration is not read",
            source=source,
            took_ms=(self._clock.monotonic() - began) // MILLISECOND,
            detail=detail,
        )
