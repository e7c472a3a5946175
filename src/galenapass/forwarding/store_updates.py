"""Apply changes of the store to the fleet's tables and log them."""

from collections.abc import Callable
from datetime import timedelta

from result import Err, Result

from galenapass.clocks import Clock
from galenapass.forwarding import fleet as tables
from galenapass.forwarding.configuration_updates import (
    ConfigurationUpdates,
    DecodeRoutes,
)
from galenapass.forwarding.fleet import Fleet
from galenapass.logs import make_log
from galenapass.platform.messages import ObjectChange, ObjectListing, StoredObject
from galenapass.tables.targets import Target, TargetState

__all__ = ["StoreUpdates"]

_log = make_log("state")

DecodeTarget = Callable[[str, str], Result[Target, str]]


class StoreUpdates:
    """Writer of the store's objects to the tables of routes and targets.

    The decoders get an object's name and body; ``decode_routes`` returns None for an
    object that is no configuration, else it decodes it in steps. ``on_change`` is
    called after a change that may affect the choice of a target, ``on_leaving`` with a
    target that starts to leave. ``configuration`` applies the configurations, in whose
    bodies ``replace_keys`` replaces the keys of callers.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        decode_routes: DecodeRoutes,
        decode_target: DecodeTarget,
        on_change: Callable[[], None],
        on_leaving: Callable[[Target], None] = lambda target: None,
        *,
        replace_keys: Callable[[str], str],
    ):
        self._fleet = fleet
        self._clock = clock
        self._decode_target = decode_target
        self._on_change = on_change
        self._on_leaving = on_leaving
        self.configuration = ConfigurationUpdates(
            fleet, clock, decode_routes, on_change, replace_keys
        )

    def apply_routes_listing(self, listing: ObjectListing) -> None:
        """Apply a listing of the configuration objects."""
        for stored in listing.items:
            self.configuration.apply(stored, "listing")

    def apply_routes_change(self, change: ObjectChange) -> None:
        """Apply a change of the configuration; a deletion has no effect."""
        if not change.deleted:
            stored = StoredObject(change.name, change.version, change.body)
            self.configuration.apply(stored, "watch")

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
