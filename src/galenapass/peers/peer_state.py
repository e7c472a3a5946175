"""Maintain the local view: gossip rows, hosts, settings and the own heartbeat."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from reactivex.subject import Subject

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.systems import gossip, membership, settings_sync
from galenapass.systems.membership import ListedDaemon, Membership
from galenapass.systems.row_kinds import ROW_KINDS, order_heartbeat
from galenapass.tables.gossip import GossipTable, RowPriority
from galenapass.tables.hosts import Host, HostState
from galenapass.tables.peer_messages import GossipItem, Heartbeat, HostChange, Settings

__all__ = ["PeerState"]

IMMEDIATE_PRIORITIES = (RowPriority.URGENT, RowPriority.ORDERS)

_log = make_log("peers")


class PeerState:
    """Tables of membership, gossip and settings sync; emits their changes."""

    __slots__ = (
        "_check",
        "_clock",
        "hosts",
        "members",
        "own",
        "replica",
        "table",
        "updates",
    )

    def __init__(
        self,
        own: Heartbeat,
        hosts: dict[str, Host],
        clock: Clock,
        check: Callable[[str], bool],
        pooled: bool = False,
    ):
        self.own = own
        self.hosts = hosts
        self.updates: Subject = Subject()
        self.members = Membership.make(own.host, own.domain, hosts, pooled)
        self.table = GossipTable(own.host, own.domain, pooled)
        self.replica = settings_sync.SettingsReplica()
        self._clock = clock
        self._check = check

    def update_heartbeat(self, **changes: object) -> None:
        """Change fields of the own heartbeat and queue it for every link."""
        version = self.replica.current.version
        self.own = replace(self.own, settings_version=version, **changes)  # type: ignore[arg-type]
        now = self._clock.monotonic()
        gossip.put(self.table, self.own, now)
        self._emit_changes(membership.apply_heartbeat(self.members, self.own, now))

    def sweep(self) -> None:
        """Mark silent hosts as SUSPECT."""
        self._emit_changes(membership.sweep(self.members, self._clock.monotonic()))

    def expire(self) -> None:
        """Remove the rows whose lifetime has passed."""
        gossip.expire(self.table, self._clock.monotonic())

    def apply_host_list(self, hosts: Iterable[ListedDaemon]) -> None:
        """Apply the platform's list of daemons."""
        now = self._clock.monotonic()
        self._emit_changes(membership.apply_host_list(self.members, list(hosts), now))

    def apply_settings(self, settings: Settings) -> bool:
        """Apply settings of a higher version; return whether they were applied."""
        if not settings_sync.apply_settings(self.replica, settings, self._check):
            return False
        _log("settings applied", version=settings.version)
        self.update_heartbeat()
        self.emit(settings)
        return True

    def publish(self, item: GossipItem) -> bool:
        """Store an item of this daemon; return whether to send it at once."""
        merged = gossip.put(self.table, item, self._clock.monotonic())
        return (
            merged is not None
            and ROW_KINDS[type(item)].priority in IMMEDIATE_PRIORITIES
        )

    def apply_item(self, source: str, item: GossipItem) -> bool:
        """Apply a partner's item; return whether to relay it at once."""
        if isinstance(item, Heartbeat):
            self._apply_heartbeat(source, item)
            return False
        merged = gossip.put(self.table, item, self._clock.monotonic(), source)
        if merged is None:
            return False
        self.emit(merged)
        return ROW_KINDS[type(item)].priority in IMMEDIATE_PRIORITIES

    def set_partner_meshed(self, host: str, meshed: bool) -> None:
        """Record whether a partner has links to its whole domain."""
        if host in self.table.queues:
            self.table.queues[host].meshed = meshed

    def emit(self, item: object) -> None:
        """Emit an item; log a subscriber's failure, which must not end a link."""
        try:
            self.updates.on_next(item)
        except Exception as error:
            _log(
                "update subscriber failed", error=repr(error), item=type(item).__name__
            )

    def _apply_heartbeat(self, source: str, heartbeat: Heartbeat) -> None:
        if heartbeat.host == self.own.host:
            self._refute(heartbeat)
        elif membership.is_current_incarnation(self.members, heartbeat):
            now = self._clock.monotonic()
            gossip.put(self.table, heartbeat, now, source)
            self._emit_changes(membership.apply_heartbeat(self.members, heartbeat, now))

    def _refute(self, heartbeat: Heartbeat) -> None:
        """Supersede a heartbeat that an earlier process of this host left behind."""
        if order_heartbeat(heartbeat) > order_heartbeat(self.own):
            incarnation = heartbeat.incarnation + 1
            self.update_heartbeat(incarnation=incarnation, counter=0)

    def _emit_changes(self, changes: Iterable[HostChange]) -> None:
        for change in changes:
            _log(
                "host state changed",
                host=change.host,
                incarnation=change.incarnation,
                state=change.after.value,
            )
            if change.after is HostState.GONE:
                gossip.forget_host(self.table, change.host, change.incarnation)
            self.emit(change)
