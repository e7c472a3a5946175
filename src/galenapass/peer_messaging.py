"""Hand what peers tell to the parts it concerns, and tell them what is new here."""

from collections.abc import Callable
from typing import Any

from galenapass.configuration_manager import ConfigurationManager
from galenapass.duties.follower import Follower
from galenapass.duties.roster import Roster
from galenapass.metrics import Metrics, make_total_counter
from galenapass.peers import Peers
from galenapass.table_sync import TableSync
from galenapass.tables.hosts import HostState
from galenapass.tables.peers import (
    Drain,
    DrainAck,
    HostChange,
    LinkChange,
    Orders,
    Settings,
)
from galenapass.tables.targets import Target

__all__ = ["PeerMessaging"]


class PeerMessaging:
    """Hold who takes which kind of item; ``wake`` is called when tables changed."""

    def __init__(
        self,
        peers: Peers,
        table_sync: TableSync,
        configuration_manager: ConfigurationManager,
        follower: Follower,
        roster: Roster,
        metrics: Metrics,
        wake: Callable[[], None],
    ):
        self._peers = peers
        self._table_sync = table_sync
        self._follower = follower
        self._wake = wake
        self._handlers: dict[type, Callable[[Any], object]] = {
            Settings: lambda item: configuration_manager.accept(
                item.text, item.version
            ),
            Orders: follower.hear_orders,
            DrainAck: follower.hear_ack,
            Drain: roster.hear,
            HostChange: self._note_host,
            LinkChange: self._note_link,
        }
        traffic, counter = peers.traffic, metrics.peer_bytes
        self._count_bytes = (
            make_total_counter(counter, lambda: traffic.sent, direction="sent"),
            make_total_counter(counter, lambda: traffic.received, direction="received"),
        )
        peers.heard.subscribe(self._hear)

    def tell_suspects(self) -> None:
        """Tell which requests are suspected of crashing targets."""
        self._table_sync.tell_suspects(self._peers.tell)

    async def tell_loads(self) -> bool:
        """Tell what is in flight here and what is held of draining targets."""
        self._table_sync.tell_loads(self._peers.tell)
        self.tell_suspects()
        self._follower.acknowledge()
        self._follower.move_streams()
        return True

    def tell_uses(self) -> None:
        """Tell what is used of limits, and count the bytes exchanged."""
        self._table_sync.tell_uses(self._peers.tell)
        for count in self._count_bytes:
            count()

    def tell_target(self, target: Target) -> None:
        """Tell the newest report of a target that this daemon observes."""
        self._table_sync.tell_report(target, self._peers.tell)
        self._wake()

    def _hear(self, item: Any) -> None:
        handler = self._handlers.get(type(item), self._table_sync.hear)
        if handler(item):
            self._wake()

    def _note_host(self, change: HostChange) -> None:
        if change.after is HostState.GONE:
            self._table_sync.forget_host(change.host)
            self._follower.forget_host(change.host)

    def _note_link(self, change: LinkChange) -> None:
        # Without the link nobody tells any more what that daemon has in flight.
        if not change.open:
            self._table_sync.forget_host(change.host)
