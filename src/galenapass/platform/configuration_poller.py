"""Read the configuration in addition to, or in place of, a watch on it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err

from galenapass.clocks import Clock
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.store_updates import StoreUpdates
from galenapass.logs import make_log
from galenapass.platform.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from galenapass.platform.store_client import StoreClient

__all__ = ["ConfigurationPoller"]

# A watch delivers a change a few milliseconds after the store confirmed it.
MAX_WATCH_LAG = timedelta(milliseconds=200)
# Between reads until the first configuration is loaded.
INITIAL_LOAD_PERIOD = timedelta(milliseconds=500)
# Each version costs every host a call unless versions are batched.
CATCH_UP_PAUSE = timedelta(milliseconds=400)

_log = make_log("state")


class ConfigurationPoller:
    """Reader of the configuration; ``is_watched`` returns whether a watch runs too."""

    def __init__(
        self,
        fleet: Fleet,
        store: StoreClient,
        store_updates: StoreUpdates,
        is_watched: Callable[[], bool],
        clock: Clock,
    ):
        self._fleet = fleet
        self._store = store
        self._store_updates = store_updates
        self._is_watched = is_watched
        self._clock = clock
        self._heard_version = 0
        self._background = BackgroundTasks("daemon")
        self._is_reading = False

    async def load_initial(self, is_needed: Callable[[], bool]) -> None:
        """Read while ``is_needed`` returns True, until a configuration is loaded."""
        while not self._fleet.routes.version:
            if is_needed():
                await self._read()
            await asyncio.sleep(INITIAL_LOAD_PERIOD.total_seconds())

    def handle_peer_version(self, version: int, peer: str) -> None:
        """Read the configuration if a peer's version is newer than the local one."""
        if version > max(self._heard_version, self._fleet.routes.version):
            self._heard_version = version
            _log("configuration is announced", version=version, peer=peer)
        if version <= self._fleet.routes.version or self._is_reading:
            return
        self._is_reading = True
        self._background.spawn(self._catch_up())

    async def _read(self) -> None:
        began = self._clock.monotonic()
        read = await self._store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
        if isinstance(read, Err):
            took = self._clock.monotonic() - began
            _log(
                "configuration is not read",
                source="read",
                took_ms=took // timedelta(milliseconds=1),
                cause=read.err_value.cause.value,
                detail=read.err_value.detail,
            )
            return
        stored = read.ok_value
        self._store_updates.apply_routes(
            stored.name, stored.version, stored.body, "read"
        )

    async def _catch_up(self) -> None:
        try:
            if self._is_watched():
                await asyncio.sleep(MAX_WATCH_LAG.total_seconds())
            await self._read()
            # Batch versions that follow in quick succession.
            await asyncio.sleep(CATCH_UP_PAUSE.total_seconds())
        finally:
            self._is_reading = False
