"""Keep what this daemon knows: the rows, the hosts, the settings and itself."""

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

PROMPT_RANKS = (RowPriority.URGENT, RowPriority.ORDERS)

log = make_log("peers")


class PeerState:
    """Hold the tables of the peers' systems and emit what changes in them."""

    __slots__ = (
        "_check",
        "_clock",
        "updates",
        "hosts",
        "members",
        "own",
        "replica",
        "table",
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

    def say(self, **changes: object) -> None:
        """Change the own heartbeat and spread it."""
        version = self.replica.current.version
        self.own = replace(self.own, settings_version=version, **changes)  # type: ignore[arg-type]
        now = self._clock.monotonic()
        gossip.put(self.table, self.own, now)
        self._announce(membership.apply_heartbeat(self.members, self.own, now))

    def sweep(self) -> None:
        """Suspect the silent hosts."""
        self._announce(membership.sweep(self.members, self._clock.monotonic()))

    def expire(self) -> None:
        """Forget the rows whose lifetime has passed."""
        gossip.expire(self.table, self._clock.monotonic())

    def apply_host_list(self, hosts: Iterable[ListedDaemon]) -> None:
        """Take in the platform's list of daemons."""
        now = self._clock.monotonic()
        self._announce(membership.apply_host_list(self.members, list(hosts), now))

    def apply_settings(self, settings: Settings) -> bool:
        """Move to settings of a higher version; return whether it moved."""
        if not settings_sync.apply_settings(self.replica, settings, self._check):
            return False
        log("moved to settings", version=settings.version)
        self.say()
        self.emit(settings)
        return True

    def publish(self, item: GossipItem) -> bool:
        """Keep an own item; return whether it is to be sent at once."""
        news = gossip.put(self.table, item, self._clock.monotonic())
        return news is not None and ROW_KINDS[type(item)].rank in PROMPT_RANKS

    def apply_item(self, source: str, item: GossipItem) -> bool:
        """Take in a partner's item; return whether it is to be passed on at once."""
        if isinstance(item, Heartbeat):
            self._apply_heartbeat(source, item)
            return False
        news = gossip.put(self.table, item, self._clock.monotonic(), source)
        if news is None:
            return False
        self.emit(news)
        return ROW_KINDS[type(item)].rank in PROMPT_RANKS

    def note_partner(self, host: str, meshed: bool) -> None:
        """Take note of whether a partner hears its whole domain at first hand."""
        if host in self.table.queues:
            self.table.queues[host].meshed = meshed

    def emit(self, item: object) -> None:
        """Hand an item on; a subscriber that fails must not end a link."""
        try:
            self.updates.on_next(item)
        except Exception as error:
            log("a subscriber failed", error=repr(error), item=type(item).__name__)

    def _apply_heartbeat(self, source: str, news: Heartbeat) -> None:
        if news.host == self.own.host:
            self._refute(news)
        elif membership.is_current_incarnation(self.members, news):
            now = self._clock.monotonic()
            gossip.put(self.table, news, now, source)
            self._announce(membership.apply_heartbeat(self.members, news, now))

    def _refute(self, news: Heartbeat) -> None:
        """Outdo what an earlier process of this host left behind."""
        if order_heartbeat(news) > order_heartbeat(self.own):
            incarnation = news.incarnation + 1
            self.say(incarnation=incarnation, counter=0)

    def _announce(self, changes: Iterable[HostChange]) -> None:
        for change in changes:
            log(
                "belief about a host changed",
                host=change.host,
                incarnation=change.incarnation,
                state=change.after.value,
            )
            if change.after is HostState.GONE:
                gossip.forget_host(self.table, change.host, change.incarnation)
            self.emit(change)
