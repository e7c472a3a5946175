"""Read the configuration beside the feed that watches it, or in its place."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Ok

from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.store_updates import StoreUpdates
from galenapass.platform.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from galenapass.platform.store_client import StoreClient

__all__ = ["ConfigurationPoller"]

# A stale read costs a tenth: it catches a watch that says nothing any more, and tells
# first that the store is away or back.
CHECK_PERIOD = timedelta(seconds=1)
RETRY_PERIOD = timedelta(seconds=0.4)
# A watch shows a change within a few milliseconds of the store's answer.
WATCH_LAG = timedelta(milliseconds=200)
# Until a first configuration is there.
FIRST_PAUSE = timedelta(milliseconds=500)
# Each configuration costs a call of every host unless some come together.
PAUSE = timedelta(milliseconds=400)


class ConfigurationPoller:
    """Hold whether a read is under way; ``is_watched`` tells that a feed watches."""

    def __init__(
        self,
        fleet: Fleet,
        store: StoreClient,
        store_updates: StoreUpdates,
        is_watched: Callable[[], bool],
    ):
        self._fleet = fleet
        self._store = store
        self._store_updates = store_updates
        self._is_watched = is_watched
        self._background = BackgroundTasks("daemon")
        self._is_reading = False

    async def follow(self, is_wanted: Callable[[], bool]) -> None:
        """Read until there is a configuration, whenever it is wanted."""
        while not self._fleet.routes.version:
            if is_wanted():
                await self._read(stale=False)
            await asyncio.sleep(FIRST_PAUSE.total_seconds())

    async def check(self) -> None:
        """Read for ever what the store may have told seconds ago."""
        period = CHECK_PERIOD
        while True:
            await asyncio.sleep(period.total_seconds())
            did_answer = await self._read(stale=True)
            period = CHECK_PERIOD if did_answer else RETRY_PERIOD

    def note_version(self, version: int) -> None:
        """Read the configuration when a peer has a newer one and the watch is late."""
        if version <= self._fleet.routes.version or self._is_reading:
            return
        self._is_reading = True
        self._background.spawn(self._catch_up())

    async def _read(self, *, stale: bool) -> bool:
        read = await self._store.read(
            CONFIGURATION_KIND, CONFIGURATION_NAME, stale=stale
        )
        if isinstance(read, Ok):
            stored = read.ok_value
            self._store_updates.apply_routes(stored.name, stored.version, stored.body)
        return isinstance(read, Ok)

    async def _catch_up(self) -> None:
        try:
            if self._is_watched():
                await asyncio.sleep(WATCH_LAG.total_seconds())
            await self._read(stale=False)
            # Configurations may come in quick succession.
            await asyncio.sleep(PAUSE.total_seconds())
        finally:
            self._is_reading = False
