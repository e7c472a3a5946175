"""Decode configurations and apply them to the table of routes."""

import asyncio
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass, replace
from datetime import timedelta

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding import fleet as tables
from galenapass.forwarding.background import BackgroundTasks, run_in_steps
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import RouteTable
from galenapass.logs import make_log
from galenapass.platform.messages import StoredObject

__all__ = ["ConfigurationUpdates", "DecodeRoutes"]

# Configurations that are not decoded again: the one in force, and the one before,
# which a stale read may return for some seconds.
KEPT_BODIES = 2

MILLISECOND = timedelta(milliseconds=1)

_log = make_log("state")

DecodeRoutes = Callable[
    [str, str], Generator[None, None, Result[RouteTable, str]] | None
]


@dataclass(slots=True, frozen=True)
class _Received:
    stored: StoredObject
    steps: Generator[None, None, Result[RouteTable, str]]


class ConfigurationUpdates:
    """Writer of configurations to the table of routes.

    ``decode`` gets an object's name and body and decodes it in steps; it returns None
    for an object that is no configuration. ``on_change`` is called once a configuration
    is in force; ``in_force`` is its object, None before the first one. ``replace_keys``
    replaces the keys in a body by digests, so that none is kept or handed on.

    One configuration is decoded at a time, and of those that wait only the newest: two
    that share the processor would both be late.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        decode: DecodeRoutes,
        on_change: Callable[[], None],
        replace_keys: Callable[[str], str],
    ):
        self.in_force: StoredObject | None = None
        self._replace_keys = replace_keys
        self._fleet = fleet
        self._clock = clock
        self._decode = decode
        self._on_change = on_change
        self._background = BackgroundTasks("state")
        self._decoding: _Received | None = None
        self._waiting: _Received | None = None
        self._decoded: deque[str] = deque(maxlen=KEPT_BODIES)
        self._settled = asyncio.Event()
        self._settled.set()

    def apply(self, stored: StoredObject, source: str) -> None:
        """Apply a configuration if it is newer and valid, once it is decoded.

        ``source`` names for the log how it came. Load pattern: thousands of routes,
        which take longer to decode than an attempt to connect to a target may last.
        """
        stored = replace(stored, body=self._replace_keys(stored.body))
        if self._is_known(stored.body):
            return
        steps = self._decode(stored.name, stored.body)
        if steps is None:
            return
        _log(
            "configuration is received",
            revision=stored.version,
            source=source,
            length=len(stored.body),
        )
        waiting = self._waiting
        if waiting is None or waiting.stored.version <= stored.version:
            self._waiting = _Received(stored, steps)
        if self._settled.is_set():
            self._settled.clear()
            self._background.spawn(self._decode_waiting())

    async def settle(self) -> None:
        """Wait until each configuration that was received is decoded."""
        await self._settled.wait()

    def _is_known(self, body: str) -> bool:
        known = [r.stored.body for r in (self._decoding, self._waiting) if r]
        return body in self._decoded or body in known

    async def _decode_waiting(self) -> None:
        try:
            while self._waiting is not None:
                self._decoding, self._waiting = self._waiting, None
                await self._apply(self._decoding)
        finally:
            self._decoding = None
            self._settled.set()

    async def _apply(self, received: _Received) -> None:
        stored = received.stored
        began = self._clock.monotonic()
        decoded = await run_in_steps(received.steps)
        self._decoded.append(stored.body)
        if isinstance(decoded, Err):
            _log(
                "configuration is unreadable",
                revision=stored.version,
                error=decoded.err_value,
                kept=self._fleet.routes.version,
            )
            return
        table = decoded.ok_value
        if not tables.accept_routes(self._fleet, table):
            return
        self.in_force = stored
        _log(
            "configuration is in force",
            version=table.version,
            revision=stored.version,
            routes=sum(len(routes) for routes in table.routes.values()),
            decoded_ms=(self._clock.monotonic() - began) // MILLISECOND,
        )
        self._on_change()
