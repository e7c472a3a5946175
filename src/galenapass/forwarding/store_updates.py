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
    target that starts to leave, ``on_removed`` with one whose entry is gone and the
    revision of its last known change. ``configuration`` applies the configurations, in
    whose bodies ``replace_keys`` replaces the keys of callers.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        decode_routes: DecodeRoutes,
        decode_target: DecodeTarget,
        on_change: Callable[[], None],
        on_leaving: Callable[[Target], None] = lambda target: None,
        on_removed: Callable[[Target, int], None] = lambda target, revision: None,
        *,
        replace_keys: Callable[[str], str],
    ):
        self._fleet = fleet
        self._clock = clock
        self._decode_target = decode_target
        self._on_change = on_change
        self._on_leaving = on_leaving
        self._on_removed = on_removed
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
        before, revisions = dict(self._fleet.targets), self._fleet.entry_revisions
        self._fleet.entry_revisions = {s.name: s.version for s in listing.items}
        tables.apply_listing(self._fleet, targets, self._clock.monotonic())
        _log("targets listed", count=len(targets), revision=listing.version)
        self._report_departures(before, revisions)
        self._on_change()

    def _report_departures(
        self, before: dict[str, Target], revisions: dict[str, int]
    ) -> None:
        """Report the targets that a listing shows to have left, or to leave."""
        for name, former in before.items():
            target = self._fleet.targets.get(name)
            if target is None:
                self._on_removed(former, revisions.get(name, 0))
            elif former.state is not target.state is TargetState.LEAVING:
                self._on_leaving(target)

    def apply_target_change(self, change: ObjectChange) -> None:
        """Apply a change of one target entry; an invalid entry removes its target."""
        now = self._clock.monotonic()
        former, target = self._fleet.targets.get(change.name), None
        if not change.deleted:
            self._fleet.entry_revisions[change.name] = change.version
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
        if former is not None and effect == TargetState.GONE.value:
            self._on_removed(former, change.version)
        self._on_change()

    def handle_store_return(self, since: timedelta) -> None:
        """Record the time since which the store is available again."""
        tables.start_return_grace(self._fleet, since)

    def handle_restore(self) -> None:
        """Prepare for the entries of an older copy of the store."""
        self._fleet.entry_revisions.clear()
        tables.begin_restore(self._fleet, self._clock.monotonic())

    def step(self) -> None:
        """Drop and admit the targets that waited since an outage or a restore."""
        for target in tables.end_restore(self._fleet, self._clock.monotonic()):
            _log("target is admitted after a restore", target=target.id)
            self._on_change()
        missing = {
            name: (self._fleet.targets[name], self._fleet.entry_revisions.get(name, 0))
            for name in self._fleet.missing
        }
        for name in tables.drop_overdue(self._fleet, self._clock.monotonic()):
            _log("target did not return after an outage", target=name)
            self._on_removed(*missing[name])
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
