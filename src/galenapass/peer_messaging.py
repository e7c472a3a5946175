"""Route messages from peers to their handlers and publish local changes."""

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
    """Handlers of peer messages by type; ``wake`` is called after tables change."""

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
            HostChange: self._handle_host_change,
            LinkChange: self._handle_link_change,
        }
        traffic, counter = peers.traffic, metrics.peer_bytes
        self._byte_counters = (
            make_total_counter(counter, lambda: traffic.sent, direction="sent"),
            make_total_counter(counter, lambda: traffic.received, direction="received"),
        )
        peers.updates.subscribe(self._handle_item)

    def publish_suspects(self) -> None:
        """Publish which requests are suspected of crashing targets."""
        self._table_sync.publish_suspects(self._peers.publish)

    async def publish_loads(self) -> bool:
        """Publish loads, suspects and drain acknowledgements; move streams."""
        self._table_sync.publish_loads(self._peers.publish)
        self.publish_suspects()
        self._drain_follower.acknowledge()
        self._drain_follower.migrate_streams()
        return True

    def publish_usage(self) -> None:
        """Publish limit use and demand, and count the bytes exchanged."""
        self._table_sync.publish_usage(self._peers.publish)
        for count in self._byte_counters:
            count()

    def publish_target(self, target: Target) -> None:
        """Publish the newest report of a target that this daemon observes."""
        self._table_sync.publish_report(target, self._peers.publish)
        self._wake()

    def _handle_item(self, item: Any) -> None:
        handler = self._handlers.get(type(item), self._table_sync.apply_item)
        if handler(item):
            self._wake()

    def _handle_host_change(self, change: HostChange) -> None:
        if change.after is HostState.GONE:
            self._table_sync.forget_host(change.host)
            self._drain_follower.forget_host(change.host)

    def _handle_link_change(self, change: LinkChange) -> None:
        # Without the link, updates about that daemon's requests in flight stop.
        if not change.open:
            self._table_sync.forget_host(change.host)
