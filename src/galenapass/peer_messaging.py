"""Hand what peers tell to the parts it concerns, and tell them what is new here."""

from collections.abc import Callable
from typing import Any

from galenapass.configuration_manager import ConfigurationManager
from galenapass.duties.drain_follower import DrainFollower
from galenapass.duties.host_list import HostListReader
from galenapass.metrics import Metrics, make_total_counter
from galenapass.peers import PeerNetwork
from galenapass.table_sync import TableSync
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import (
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
        peers: PeerNetwork,
        table_sync: TableSync,
        configuration_manager: ConfigurationManager,
        drain_follower: DrainFollower,
        host_list: HostListReader,
        metrics: Metrics,
        wake: Callable[[], None],
    ):
        self._peers = peers
        self._table_sync = table_sync
        self._drain_follower = drain_follower
        self._wake = wake
        self._handlers: dict[type, Callable[[Any], object]] = {
            Settings: lambda item: configuration_manager.accept(
                item.text, item.version
            ),
            Orders: drain_follower.receive_orders,
            DrainAck: drain_follower.record_ack,
            Drain: host_list.apply_drain,
            HostChange: self._note_host,
            LinkChange: self._note_link,
        }
        traffic, counter = peers.traffic, metrics.peer_bytes
        self._count_bytes = (
            make_total_counter(counter, lambda: traffic.sent, direction="sent"),
            make_total_counter(counter, lambda: traffic.received, direction="received"),
        )
        peers.updates.subscribe(self._hear)

    def publish_suspects(self) -> None:
        """Tell which requests are suspected of crashing targets."""
        self._table_sync.publish_suspects(self._peers.publish)

    async def publish_loads(self) -> bool:
        """Tell what is in flight here and what is held of draining targets."""
        self._table_sync.publish_loads(self._peers.publish)
        self.publish_suspects()
        self._drain_follower.acknowledge()
        self._drain_follower.move_streams()
        return True

    def publish_uses(self) -> None:
        """Tell what is used of limits, and count the bytes exchanged."""
        self._table_sync.publish_uses(self._peers.publish)
        for count in self._count_bytes:
            count()

    def publish_target(self, target: Target) -> None:
        """Tell the newest report of a target that this daemon observes."""
        self._table_sync.publish_report(target, self._peers.publish)
        self._wake()

    def _hear(self, item: Any) -> None:
        handler = self._handlers.get(type(item), self._table_sync.hear)
        if handler(item):
            self._wake()

    def _note_host(self, change: HostChange) -> None:
        if change.after is HostState.GONE:
            self._table_sync.forget_host(change.host)
            self._drain_follower.forget_host(change.host)

    def _note_link(self, change: LinkChange) -> None:
        # Without the link nobody tells any more what that daemon has in flight.
        if not change.open:
            self._table_sync.forget_host(change.host)
