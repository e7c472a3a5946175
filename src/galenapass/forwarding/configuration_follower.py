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

__all__ = ["ConfigurationFollower", "ConfigurationSources"]

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
    """

    read_store: Callable[
        [Callable[[], None]], Coroutine[Any, Any, Result[StoredObject, Failure]]
    ]
    list_peers: Callable[[], list[str]]
    ask_peer: Callable[[str], Coroutine[Any, Any, Result[StoredObject | None, str]]]
    is_watched: Callable[[], bool]
    confirmed_at: Callable[[], timedelta]


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
        return True

    def _log_failure(self, source: str, began: timedelta, detail: str) -> None:
        _log(
            "configuration is not read",
            source=source,
            took_ms=(self._clock.monotonic() - began) // MILLISECOND,
            detail=detail,
        )
