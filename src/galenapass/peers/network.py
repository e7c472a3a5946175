"""Maintain links to other daemons and run membership, gossip and settings sync."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from datetime import timedelta
from random import Random

from reactivex import operators
from reactivex.subject import Subject

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.peers import peers_pb2 as wire
from galenapass.peers.dialling import Dialler, cancel
from galenapass.peers.links import LINK_ERRORS, Link, Listener, Traffic
from galenapass.peers.peer_state import PeerState
from galenapass.systems import gossip, membership, settings_sync
from galenapass.systems.membership import ListedDaemon
from galenapass.systems.row_kinds import ROW_KINDS
from galenapass.tables.hosts import Host, HostState
from galenapass.tables.peer_messages import GossipItem, Heartbeat, LinkChange, Settings

__all__ = ["DEFAULT_BUDGET", "PeerNetwork"]

DEFAULT_BUDGET = 11_000  # bytes a second
SEND_SHARE = 0.5  # of the budget; the rest is for received bytes
ROUND_PERIOD = timedelta(seconds=1)
ROUND_JITTER = 0.1
COALESCE_SECONDS = 0.02
JOIN_PROBABILITY = 0.02  # a round
SILENCE_TIMEOUT = timedelta(seconds=8)
SURPLUS_LINK_AGE = timedelta(seconds=30)
FINAL_SEND_TIMEOUT = 1.0  # seconds
ROUNDS_PER_EXPIRY = 10
# The HTTP/2 and gRPC frame, and a segment each way with its IP and TCP headers.
BATCH_OVERHEAD_BYTES = 14 + 2 * 66

_log = make_log("peers")


def _is_link_opening(item: object) -> bool:
    return isinstance(item, LinkChange) and item.open


class PeerNetwork:
    """Links to the other daemons, over which state is exchanged by gossip.

    ``budget`` is in bytes a second, sent and received, headers included; ``updates``
    emits the items of galenapass.tables.peer_messages, each once and only if it
    changes the local view.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        incarnation: int,
        listen: str,
        secret: str,
        join: Iterable[str],
        clock: Clock,
        random: Random,
        budget: float = DEFAULT_BUDGET,
        hosts: dict[str, Host] | None = None,
        check: Callable[[str], bool] = lambda text: True,
        period: timedelta = ROUND_PERIOD,
        pooled: bool = False,
    ):
        if not secret:
            raise ValueError("the peers' secret is empty")
        self.links: dict[str, Link] = {}
        self.traffic = Traffic()
        own = Heartbeat(host, listen, domain, incarnation, 0)
        self._state = PeerState(
            own, {} if hosts is None else hosts, clock, check, pooled
        )
        self._join = list(join)
        self._clock = clock
        self._random = random
        self._send_rate = budget * SEND_SHARE
        self._period = period
        self._listener = Listener(secret, self._make_hello, self._serve)
        self._dialler = Dialler(secret, self._make_hello, self._serve, clock, random)
        self._round_task: asyncio.Task[None] | None = None
        self._round_count = 0
        self._meshed = False

    @property
    def updates(self) -> Subject:
        """Return the stream of items that changed the local view."""
        return self._state.updates

    @property
    def hosts(self) -> dict[str, Host]:
        """Return the table of daemons, this one included."""
        return self._state.hosts

    @property
    def address(self) -> str:
        """Return the address that this daemon listens on."""
        return self._state.own.address

    @property
    def incarnation(self) -> int:
        """Return the own incarnation, raised above any earlier one known to peers."""
        return self._state.own.incarnation

    @property
    def settings(self) -> Settings:
        """Return the settings of the highest version that was applied."""
        return self._state.replica.current

    async def start(self) -> None:
        """Listen and start the periodic rounds."""
        await self._listener.start(self.address)
        self._state.update_heartbeat(address=self._listener.address)
        self._round_task = asyncio.create_task(self._run_rounds())

    async def stop(self) -> None:
        """Announce GONE on the open links and close everything."""
        if self._round_task is not None:
            await cancel(self._round_task)
        self._state.update_heartbeat(state=HostState.GONE)
        for link in list(self.links.values()):
            with suppress(*LINK_ERRORS):
                await asyncio.wait_for(self._send_batch(link), FINAL_SEND_TIMEOUT)
        await self._dialler.stop()
        await self._listener.stop()

    async def wait_joined(self, timeout: timedelta) -> bool:
        """Wait until a link opens; return False on timeout."""
        if not self._join:
            return True
        joined = asyncio.Event()
        links = self.updates.pipe(operators.filter(_is_link_opening))
        subscription = links.subscribe(lambda _: joined.set())
        try:
            await asyncio.wait_for(joined.wait(), timeout.total_seconds())
        except TimeoutError:
            return False
        finally:
            subscription.dispose()
        return True

    def leave(self) -> None:
        """Announce that this daemon accepts no new work."""
        self._state.update_heartbeat(state=HostState.LEAVING)
        self._wake_senders()

    def publish(self, item: GossipItem | Settings) -> None:
        """Publish an item to the peers; an unchanged one is not sent again."""
        if isinstance(item, Settings):
            self._apply_settings(item)
        elif self._state.publish(item):
            self._wake_senders()

    def apply_host_list(self, hosts: Iterable[ListedDaemon]) -> None:
        """Apply the platform's list of daemons."""
        self._state.apply_host_list(hosts)

    # Rounds

    async def _run_rounds(self) -> None:
        while True:
            self._run_round()
            jitter = self._random.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            await asyncio.sleep(self._period.total_seconds() * jitter)

    def _run_round(self) -> None:
        now = self._clock.monotonic()
        self._round_count += 1
        self._state.update_heartbeat(counter=self._state.own.counter + 1)
        self._state.sweep()
        if self._round_count % ROUNDS_PER_EXPIRY == 0:
            self._state.expire()
        self._update_links(now)
        self._meshed = membership.is_meshed(self._state.members, self.links, now)
        self._request_settings()
        self._wake_senders()

    def _wake_senders(self) -> None:
        for link in self.links.values():
            link.wake.set()

    # Links

    def _update_links(self, now: timedelta) -> None:
        partners = membership.choose_partners(self._state.members, now, self._random)
        for name in sorted(partners - self.links.keys()):
            self._dialler.open(self.hosts[name].address)
        if not self.links or self._random.random() < JOIN_PROBABILITY:
            self._dial_join_address()
        for name, link in list(self.links.items()):
            surplus = link.dialled and name not in partners
            old = now - link.opened_at > SURPLUS_LINK_AGE
            if now - link.last_received_at > SILENCE_TIMEOUT or (surplus and old):
                link.close()

    def _dial_join_address(self) -> None:
        """Dial a join address without a link, to find lost partners again."""
        linked = {link.hello.address for link in self.links.values()}
        candidates = [a for a in self._join if a not in linked and a != self.address]
        if candidates:
            self._dialler.open(self._random.choice(candidates))

    def _make_hello(self) -> wire.Hello:
        own = self._state.own
        return wire.Hello(
            host=own.host,
            address=own.address,
            domain=own.domain,
            incarnation=own.incarnation,
        )

    async def _serve(self, link: Link) -> None:
        """Run a link until either end closes it or it fails."""
        host = link.hello.host
        if host == self._state.own.host or not self._admit_link(link):
            return
        now = self._clock.monotonic()
        link.opened_at = link.last_received_at = now
        self.links[host] = link
        gossip.open_link(self._state.table, host, host, link.hello.domain, now)
        _log("link opened", host=host, address=link.hello.address)
        self._state.emit(LinkChange(host, True))
        send_task = asyncio.create_task(self._send_batches(link))
        link.receive_task = asyncio.create_task(self._receive_batches(link))
        link.wake.set()
        try:
            await asyncio.wait(
                {send_task, link.receive_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await cancel(send_task)
            await cancel(link.receive_task)
            self._remove_link(link)

    def _admit_link(self, link: Link) -> bool:
        """Return whether to use a new link; close an existing one that it replaces.

        Each pair of daemons keeps one link: when both dial at once, the link dialled by
        the host with the lower identifier stays.
        """
        existing = self.links.get(link.hello.host)
        if existing is None:
            return True
        is_newer_incarnation = link.hello.incarnation > existing.hello.incarnation
        same_direction = link.dialled == existing.dialled
        from_lower_host = link.dialled == (self._state.own.host < link.hello.host)
        if is_newer_incarnation or same_direction or from_lower_host:
            existing.close()
            return True
        return False

    def _remove_link(self, link: Link) -> None:
        if self.links.get(link.hello.host) is not link:
            return
        del self.links[link.hello.host]
        gossip.close_link(self._state.table, link.hello.host)
        _log("link ended", host=link.hello.host)
        self._state.emit(LinkChange(link.hello.host, False))

    # Batches

    async def _send_batches(self, link: Link) -> None:
        while True:
            await link.wake.wait()
            await asyncio.sleep(COALESCE_SECONDS)
            link.wake.clear()
            await self._send_batch(link)

    async def _send_batch(self, link: Link) -> None:
        now = self._clock.monotonic()
        rate = self._send_rate / max(1, len(self.links))
        items = gossip.dequeue(self._state.table, link.hello.host, now, rate)
        batch = link.encoder.encode(items, self._state.replica.current.version)
        link.put_settings(batch, self._state.replica)
        batch.meshed = self._meshed
        size = await link.send(batch)
        self.traffic.sent += size
        self.traffic.batches += 1
        counted_bytes = sum(ROW_KINDS[type(item)].size(item) for item in items)
        surplus = size + BATCH_OVERHEAD_BYTES - counted_bytes
        if link.hello.host in self._state.table.queues:
            gossip.charge(self._state.table, link.hello.host, surplus, rate)

    async def _receive_batches(self, link: Link) -> None:
        while (batch := await link.receive()) is not None:
            link.last_received_at = self._clock.monotonic()
            self.traffic.received += batch.ByteSize()
            self.traffic.batches += 1
            self._state.set_partner_meshed(link.hello.host, batch.meshed)
            self._receive_settings(link, batch)
            items = link.decoder.decode(batch)
            host = link.hello.host
            if any([self._state.apply_item(host, item) for item in items]):
                self._wake_senders()

    # Settings

    def _receive_settings(self, link: Link, batch: wire.Batch) -> None:
        link.settings_version = batch.settings_version
        if batch.settings_wanted:
            link.settings_wanted = True
            link.wake.set()
        update = link.decoder.decode_settings(batch)
        if isinstance(update, settings_sync.Patch):
            update = settings_sync.apply_patch(self._state.replica, update)
        if update is not None:
            self._apply_settings(update)
        if self._state.replica.current.version == 0:
            self._request_settings()

    def _apply_settings(self, settings: Settings) -> None:
        if self._state.apply_settings(settings):
            self._wake_senders()

    def _request_settings(self) -> None:
        versions = {host: link.settings_version for host, link in self.links.items()}
        now = self._clock.monotonic()
        source = settings_sync.choose_source(self._state.replica, versions, now)
        if source is not None:
            self.links[source].requests_settings = True
            self.links[source].wake.set()
