"""Apply changes of the store to the fleet's tables and log them."""

from collections import deque
from collections.abc import Callable, Generator
from datetime import timedelta

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding import fleet as tables
from galenapass.forwarding.background import BackgroundTasks, run_in_steps
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import RouteTable
from galenapass.logs import make_log
from galenapass.platform.messages import ObjectChange, ObjectListing
from galenapass.tables.targets import Target, TargetState

__all__ = ["StoreUpdates"]

# Configurations that are not decoded again: the one in force, and the one before,
# which a stale read may return for some seconds.
KEPT_BODIES = 2

_log = make_log("state")

DecodeRoutes = Callable[
    [str, str], Generator[None, None, Result[RouteTable, str]] | None
]
DecodeTarget = Callable[[str, str], Result[Target, str]]


class StoreUpdates:
    """Writer of the store's objects to the tables of routes and targets.

    The decoders get an object's name and body; ``decode_routes`` returns None for an
    object that is no configuration, else it decodes it in steps. ``on_change`` is
    called after a change that may affect the choice of a target, ``on_leaving`` with a
    target that starts to leave.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        decode_routes: DecodeRoutes,
        decode_target: DecodeTarget,
        on_change: Callable[[], None],
        on_leaving: Callable[[Target], None] = lambda target: None,
    ):
        self._fleet = fleet
        self._clock = clock
        self._decode_routes = decode_routes
        self._decode_target = decode_target
        self._on_change = on_change
        self._on_leaving = on_leaving
        self._background = BackgroundTasks("state")
        # Bodies of configurations that are being decoded, and of the last decoded ones.
        self._decoding: list[str] = []
        self._decoded: deque[str] = deque(maxlen=KEPT_BODIES)

    def apply_routes_listing(self, listing: ObjectListing) -> None:
        """Apply a listing of the configuration objects."""
        for stored in listing.items:
            self.apply_routes(stored.name, stored.version, stored.body, "listing")

    def apply_routes_change(self, change: ObjectChange) -> None:
        """Apply a change of the configuration; a deletion has no effect."""
        if not change.deleted:
            self.apply_routes(change.name, change.version, change.body, "watch")

    def apply_routes(self, name: str, revision: int, body: str, source: str) -> None:
        """Apply a configuration if it is newer and valid, once it is decoded.

        ``source`` names for the log how it came.

        Load pattern: thousands of routes, which take longer to decode than an attempt
        to connect to a target may last.
        """
        if body in self._decoded or body in self._decoding:
            return
        steps = self._decode_routes(name, body)
        if steps is not None:
            _log(
                "configuration is received",
                revision=revision,
                source=source,
                length=len(body),
            )
            self._decoding.append(body)
            self._background.spawn(self._apply_routes(steps, revision, body))

    async def _apply_routes(
        self,
        steps: Generator[None, None, Result[RouteTable, str]],
        revision: int,
        body: str,
    ) -> None:
        began = self._clock.monotonic()
        try:
            decoded = await run_in_steps(steps)
        finally:
            self._decoding.remove(body)
        took = self._clock.monotonic() - began
        self._decoded.append(body)
        if isinstance(decoded, Err):
            _log(
                "configuration is unreadable",
                revision=revision,
                error=decoded.err_value,
                kept=self._fleet.routes.version,
            )
            return
        table = decoded.ok_value
        if not tables.accept_routes(self._fleet, table):
            return
        _log(
            "configuration is in force",
            version=table.version,
            revision=revision,
            routes=sum(len(routes) for routes in table.routes.values()),
            decoded_ms=took // timedelta(milliseconds=1),
        )
        self._on_change()

    def apply_targets_listing(self, listing: ObjectListing) -> None:
        """Apply a listing of all target entries."""
        decoded = [self._decode(s.name, s.body, s.version) for s in listing.items]
        targets = [target for target in decoded if target is not None]
        tables.apply_listing(self._fleet, targets, self._clock.monotonic())
        _log("targets listed", count=len(targets), revision=listing.version)
        self._on_change()

    def apply_target_change(self, change: ObjectChange) -> None:
        """Apply a change of one target entry; an invalid entry removes its target."""
        now = self._clock.monotonic()
        target = None
        if not change.deleted:
            target = self._decode(change.name, change.body, change.version)
        if target is None:
            effect = tables.remove_target(self._fleet, change.name, now)
        else:
            effect = tables.apply_target_entry(self._fleet, target, now)
        if effect is None:
            return
        _log(
            "target changed",
            target=change.name,
            effect=effect,
            revision=change.version,
        )
        if target is not None and effect == TargetState.LEAVING.value:
            self._on_leaving(target)
        self._on_change()

    def handle_store_return(self, since: timedelta) -> None:
        """Record the time since which the store is available again."""
        tables.start_return_grace(self._fleet, since)

    def handle_restore(self) -> None:
        """Prepare for the entries of an older copy of the store."""
        tables.begin_restore(self._fleet, self._clock.monotonic())

    def step(self) -> None:
        """Drop and admit the targets that waited since an outage or a restore."""
        for target in tables.end_restore(self._fleet, self._clock.monotonic()):
            _log("target is admitted after a restore", target=target.id)
            self._on_change()
        for name in tables.drop_overdue(self._fleet, self._clock.monotonic()):
            _log("target did not return after an outage", target=name)
            self._on_change()

    def _decode(self, name: str, body: str, revision: int) -> Target | None:
        decoded = self._decode_target(name, body)
        if isinstance(decoded, Err):
            _log(
                "entry names no target",
                entry=name,
                revision=revision,
                error=decoded.err_value,
            )
            return None
        return decoded.ok_value
