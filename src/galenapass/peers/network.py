"""Keep links to chosen partners and run the peers' systems over what they carry."""

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

DEFAULT_BUDGET = 11_000
SENT_SHARE = 0.5
ROUND = timedelta(seconds=1)
ROUND_JITTER = 0.1
COALESCE = 0.02
JOIN_CHANCE = 0.02
SILENCE_TIMEOUT = timedelta(seconds=8)
SURPLUS_LINK_AGE = timedelta(seconds=30)
LAST_WORD_TIMEOUT = 1.0
EXPIRE_ROUNDS = 10
# A frame of HTTP/2 and gRPC, and a segment each way with its IP and TCP headers.
OVERHEAD_BYTES = 14 + 2 * 66

log = make_log("peers")


def _opens_link(item: object) -> bool:
    return isinstance(item, LinkChange) and item.open


class PeerNetwork:
    """Tell the other daemons what this one knows and hear what they know.

    ``budget`` is in bytes a second, sent and received, headers included; ``updates``
    emits the items of galenapass.tables.peer_messages, each once and only while it is
    news.
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
        period: timedelta = ROUND,
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
        self._rate = budget * SENT_SHARE
        self._period = period
        self._listener = Listener(secret, self._say_hello, self._serve)
        self._dialler = Dialler(secret, self._say_hello, self._serve, clock, random)
        self._rounds: asyncio.Task[None] | None = None
        self._count = 0
        self._meshed = False

    @property
    def updates(self) -> Subject:
        """Return the stream of news."""
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
        """Return the own incarnation, which grows when an older one was known."""
        return self._state.own.incarnation

    @property
    def settings(self) -> Settings:
        """Return the settings of the highest version known."""
        return self._state.replica.current

    async def start(self) -> None:
        """Listen and begin the rounds."""
        await self._listener.start(self.address)
        self._state.say(address=self._listener.address)
        self._rounds = asyncio.create_task(self._run_rounds())

    async def stop(self) -> None:
        """Say the last word on the open links and close everything."""
        if self._rounds is not None:
            await cancel(self._rounds)
        self._state.say(state=HostState.GONE)
        for link in list(self.links.values()):
            with suppress(*LINK_ERRORS):
                await asyncio.wait_for(self._send(link), LAST_WORD_TIMEOUT)
        await self._dialler.stop()
        await self._listener.stop()

    async def wait_joined(self, timeout: timedelta) -> bool:
        """Wait until a link is open; return False when none is by the timeout."""
        if not self._join:
            return True
        joined = asyncio.Event()
        links = self.updates.pipe(operators.filter(_opens_link))
        subscription = links.subscribe(lambda _: joined.set())
        try:
            await asyncio.wait_for(joined.wait(), timeout.total_seconds())
        except TimeoutError:
            return False
        finally:
            subscription.dispose()
        return True

    def leave(self) -> None:
        """Tell the peers that this daemon takes no new work."""
        self._state.say(state=HostState.LEAVING)
        self._wake()

    def publish(self, item: GossipItem | Settings) -> None:
        """Spread an item; what the peers already know is not sent again."""
        if isinstance(item, Settings):
            self._apply_settings(item)
        elif self._state.publish(item):
            self._wake()

    def apply_host_list(self, hosts: Iterable[ListedDaemon]) -> None:
        """Take in the platform's list of daemons."""
        self._state.apply_host_list(hosts)

    # Rounds

    async def _run_rounds(self) -> None:
        while True:
            self._run_round()
            jitter = self._random.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            await asyncio.sleep(self._period.total_seconds() * jitter)

    def _run_round(self) -> None:
        now = self._clock.monotonic()
        self._count += 1
        self._state.say(counter=self._state.own.counter + 1)
        self._state.sweep()
        if self._count % EXPIRE_ROUNDS == 0:
            self._state.expire()
        self._choose_links(now)
        self._meshed = membership.is_meshed(self._state.members, self.links, now)
        self._ask_for_settings()
        self._wake()

    def _wake(self) -> None:
        for link in self.links.values():
            link.wake.set()

    # Links

    def _choose_links(self, now: timedelta) -> None:
        partners = membership.choose_partners(self._state.members, now, self._random)
        for name in sorted(partners - self.links.keys()):
            self._dialler.open(self.hosts[name].address)
        if not self.links or self._random.random() < JOIN_CHANCE:
            self._open_join()
        for name, link in list(self.links.items()):
            surplus = link.dialled and name not in partners
            old = now - link.opened > SURPLUS_LINK_AGE
            if now - link.last_received > SILENCE_TIMEOUT or (surplus and old):
                link.close()

    def _open_join(self) -> None:
        """Dial a join address that no link reaches; this finds lost partners."""
        linked = {link.hello.address for link in self.links.values()}
        others = [a for a in self._join if a not in linked and a != self.address]
        if others:
            self._dialler.open(self._random.choice(others))

    def _say_hello(self) -> wire.Hello:
        own = self._state.own
        return wire.Hello(
            host=own.host,
            address=own.address,
            domain=own.domain,
            incarnation=own.incarnation,
        )

    async def _serve(self, link: Link) -> None:
        """Run a link until either end closes it or it breaks."""
        host = link.hello.host
        if host == self._state.own.host or not self._takes(link):
            return
        now = self._clock.monotonic()
        link.opened = link.last_received = now
        self.links[host] = link
        gossip.open_link(self._state.table, host, host, link.hello.domain, now)
        log("link opened", host=host, address=link.hello.address)
        self._state.emit(LinkChange(host, True))
        sending = asyncio.create_task(self._run_sending(link))
        link.receiving = asyncio.create_task(self._run_receiving(link))
        link.wake.set()
        try:
            await asyncio.wait(
                {sending, link.receiving}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await cancel(sending)
            await cancel(link.receiving)
            self._end(link)

    def _takes(self, link: Link) -> bool:
        """Keep one link a pair: of two crossing ones that of the lower dialler."""
        present = self.links.get(link.hello.host)
        if present is None:
            return True
        newer = link.hello.incarnation > present.hello.incarnation
        again = link.dialled == present.dialled
        lower = link.dialled == (self._state.own.host < link.hello.host)
        if newer or again or lower:
            present.close()
            return True
        return False

    def _end(self, link: Link) -> None:
        if self.links.get(link.hello.host) is not link:
            return
        del self.links[link.hello.host]
        gossip.close_link(self._state.table, link.hello.host)
        log("link ended", host=link.hello.host)
        self._state.emit(LinkChange(link.hello.host, False))

    # Batches

    async def _run_sending(self, link: Link) -> None:
        while True:
            await link.wake.wait()
            await asyncio.sleep(COALESCE)
            link.wake.clear()
            await self._send(link)

    async def _send(self, link: Link) -> None:
        now = self._clock.monotonic()
        rate = self._rate / max(1, len(self.links))
        items = gossip.dequeue(self._state.table, link.hello.host, now, rate)
        batch = link.encoder.encode(items, self._state.replica.current.version)
        link.put_settings(batch, self._state.replica)
        batch.meshed = self._meshed
        size = await link.send(batch)
        self.traffic.sent += size
        self.traffic.batches += 1
        counted = sum(ROW_KINDS[type(item)].size(item) for item in items)
        surplus = size + OVERHEAD_BYTES - counted
        if link.hello.host in self._state.table.queues:
            gossip.charge(self._state.table, link.hello.host, surplus, rate)

    async def _run_receiving(self, link: Link) -> None:
        while (batch := await link.receive()) is not None:
            link.last_received = self._clock.monotonic()
            self.traffic.received += batch.ByteSize()
            self.traffic.batches += 1
            self._state.note_partner(link.hello.host, batch.meshed)
            self._receive_settings(link, batch)
            items = link.decoder.decode(batch)
            host = link.hello.host
            if any([self._state.apply_item(host, item) for item in items]):
                self._wake()

    # Settings

    def _receive_settings(self, link: Link, batch: wire.Batch) -> None:
        link.settings_version = batch.settings_version
        if batch.settings_wanted:
            link.settings_wanted = True
            link.wake.set()
        part = link.decoder.decode_settings(batch)
        if isinstance(part, settings_sync.Patch):
            part = settings_sync.apply_patch(self._state.replica, part)
        if part is not None:
            self._apply_settings(part)
        if self._state.replica.current.version == 0:
            self._ask_for_settings()

    def _apply_settings(self, settings: Settings) -> None:
        if self._state.apply_settings(settings):
            self._wake()

    def _ask_for_settings(self) -> None:
        versions = {host: link.settings_version for host, link in self.links.items()}
        now = self._clock.monotonic()
        source = settings_sync.choose_source(self._state.replica, versions, now)
        if source is not None:
            self.links[source].asking = True
            self.links[source].wake.set()
