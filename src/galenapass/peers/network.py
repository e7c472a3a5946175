"""Keep links to chosen partners and run the peers' systems over what they carry."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta
from random import Random

from reactivex.subject import Subject

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.peers import peers_pb2 as wire
from galenapass.peers.dialling import Dialler, cancel
from galenapass.peers.links import LINK_ERRORS, Link, Listener
from galenapass.systems import gossip, membership, spreading
from galenapass.systems.kinds import KINDS, order_host
from galenapass.systems.membership import Listed, Membership
from galenapass.tables.gossip import GossipTable, Rank
from galenapass.tables.hosts import Host, HostState
from galenapass.tables.peers import (
    HostChange,
    HostNews,
    Item,
    LinkChange,
    Settings,
)

__all__ = ["DEFAULT_BUDGET", "Peers"]

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
FRAME_BYTES = 14
PROMPT_RANKS = (Rank.URGENT, Rank.ORDERS)

log = make_log("peers")


class Peers:
    """Tell the other daemons what this one knows and hear what they know.

    ``budget`` is in bytes a second, sent and received together; ``heard`` emits the
    items of galenapass.tables.peers, each once and only while it is news.
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
        self.heard: Subject = Subject()
        self.hosts = {} if hosts is None else hosts
        self.spread = spreading.Spread()
        self.links: dict[str, Link] = {}
        self._own = HostNews(host, listen, domain, incarnation, 0)
        self._join = list(join)
        self._clock = clock
        self._random = random
        self._rate = budget * SENT_SHARE
        self._check = check
        self._period = period
        self._members = Membership.make(host, domain, self.hosts, pooled)
        self._table = GossipTable(host, domain, pooled)
        self._listener = Listener(secret, self._say_hello, self._serve)
        self._dialler = Dialler(secret, self._say_hello, self._serve, clock, random)
        self._rounds: asyncio.Task[None] | None = None
        self._count = 0

    @property
    def address(self) -> str:
        """Return the address that this daemon listens on."""
        return self._own.address

    @property
    def incarnation(self) -> int:
        """Return the own incarnation, which grows when an older one was known."""
        return self._own.incarnation

    @property
    def settings(self) -> Settings:
        """Return the settings of the highest version known."""
        return self.spread.current

    async def start(self) -> None:
        """Listen and begin the rounds."""
        await self._listener.start(self._own.address)
        self._own = replace(self._own, address=self._listener.address)
        self._note_self()
        self._rounds = asyncio.create_task(self._run_rounds())

    async def stop(self) -> None:
        """Say the last word on the open links and close everything."""
        if self._rounds is not None:
            await cancel(self._rounds)
        self._own = replace(self._own, state=HostState.GONE)
        self._note_self()
        for link in list(self.links.values()):
            with suppress(*LINK_ERRORS):
                await asyncio.wait_for(self._send(link), LAST_WORD_TIMEOUT)
        await self._dialler.stop()
        await self._listener.stop()

    def leave(self) -> None:
        """Tell the peers that this daemon takes no new work."""
        self._own = replace(self._own, state=HostState.LEAVING)
        self._note_self()
        self._wake()

    def tell(self, item: Item | Settings) -> None:
        """Spread an item; what the peers already know is not sent again."""
        if isinstance(item, Settings):
            self._adopt(item)
            return
        news = gossip.put(self._table, item, self._clock.monotonic())
        if news is not None and KINDS[type(item)].rank in PROMPT_RANKS:
            self._wake()

    def apply_list(self, hosts: Iterable[Listed]) -> None:
        """Take in the platform's list of daemons."""
        now = self._clock.monotonic()
        self._announce(membership.apply_list(self._members, list(hosts), now))

    # Rounds

    async def _run_rounds(self) -> None:
        while True:
            self._run_round()
            jitter = self._random.uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
            await asyncio.sleep(self._period.total_seconds() * jitter)

    def _run_round(self) -> None:
        now = self._clock.monotonic()
        self._count += 1
        self._own = replace(self._own, counter=self._own.counter + 1)
        self._note_self()
        self._announce(membership.sweep(self._members, now))
        if self._count % EXPIRE_ROUNDS == 0:
            gossip.expire(self._table, now)
        self._choose_links(now)
        self._ask_for_settings()
        self._wake()

    def _note_self(self) -> None:
        now = self._clock.monotonic()
        self._own = replace(self._own, settings_version=self.spread.current.version)
        gossip.put(self._table, self._own, now)
        self._announce(membership.hear(self._members, self._own, now))

    def _announce(self, changes: Iterable[HostChange]) -> None:
        for change in changes:
            log(
                "belief about a host changed",
                host=change.host,
                incarnation=change.incarnation,
                state=change.after.value,
            )
            if change.after is HostState.GONE:
                gossip.forget_host(self._table, change.host, change.incarnation)
            self._emit(change)

    def _emit(self, item: object) -> None:
        """Hand an item on; a subscriber that fails must not end a link."""
        try:
            self.heard.on_next(item)
        except Exception as error:
            log("a subscriber failed", error=repr(error), item=type(item).__name__)

    def _wake(self) -> None:
        for link in self.links.values():
            link.wake.set()

    # Links

    def _choose_links(self, now: timedelta) -> None:
        partners = membership.choose_partners(self._members, now, self._random)
        for name in sorted(partners - self.links.keys()):
            self._dialler.open(self.hosts[name].address)
        if not self.links or self._random.random() < JOIN_CHANCE:
            self._open_join()
        for name, link in list(self.links.items()):
            surplus = link.dialled and name not in partners
            old = now - link.opened > SURPLUS_LINK_AGE
            if now - link.heard > SILENCE_TIMEOUT or (surplus and old):
                link.close()

    def _open_join(self) -> None:
        """Dial a join address that no link reaches; this finds lost partners."""
        linked = {link.hello.address for link in self.links.values()}
        others = [a for a in self._join if a not in linked and a != self.address]
        if others:
            self._dialler.open(self._random.choice(others))

    def _say_hello(self) -> wire.Hello:
        own = self._own
        return wire.Hello(
            host=own.host,
            address=own.address,
            domain=own.domain,
            incarnation=own.incarnation,
        )

    async def _serve(self, link: Link) -> None:
        """Run a link until either end closes it or it breaks."""
        host = link.hello.host
        if host == self._own.host or not self._takes(link):
            return
        now = self._clock.monotonic()
        link.opened = link.heard = now
        self.links[host] = link
        gossip.open_link(self._table, host, host, link.hello.domain, now)
        log("link opened", host=host, address=link.hello.address)
        self._emit(LinkChange(host, True))
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
        lower = link.dialled == (self._own.host < link.hello.host)
        if newer or again or lower:
            present.close()
            return True
        return False

    def _end(self, link: Link) -> None:
        if self.links.get(link.hello.host) is not link:
            return
        del self.links[link.hello.host]
        gossip.close_link(self._table, link.hello.host)
        log("link ended", host=link.hello.host)
        self._emit(LinkChange(link.hello.host, False))

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
        items = gossip.take(self._table, link.hello.host, now, rate)
        batch = link.encoder.encode(items, self.spread.current.version)
        self._put_settings(link, batch)
        size = await link.send(batch)
        counted = sum(KINDS[type(item)].size(item) for item in items)
        surplus = size + FRAME_BYTES - counted
        if link.hello.host in self._table.queues:
            gossip.charge(self._table, link.hello.host, surplus, rate)

    def _put_settings(self, link: Link, batch: wire.Batch) -> None:
        batch.settings_wanted, link.asking = link.asking, False
        wanted, link.settings_wanted = link.settings_wanted, False
        version = self.spread.current.version
        if link.answered == version and not wanted:
            return
        answer = spreading.answer(self.spread, link.settings_version, wanted)
        if answer is not None:
            link.answered = version
            link.encoder.put_settings(batch, answer)

    async def _run_receiving(self, link: Link) -> None:
        while (batch := await link.receive()) is not None:
            link.heard = self._clock.monotonic()
            self._take_settings(link, batch)
            items = link.decoder.decode(batch)
            if any([self._take_item(link, item) for item in items]):
                self._wake()

    def _take_item(self, link: Link, item: Item) -> bool:
        """Take in one item; return whether it is to be passed on at once."""
        now = self._clock.monotonic()
        if isinstance(item, HostNews):
            self._take_heartbeat(link, item, now)
            return False
        news = gossip.put(self._table, item, now, link.hello.host)
        if news is None:
            return False
        self._emit(news)
        return KINDS[type(item)].rank in PROMPT_RANKS

    def _take_heartbeat(self, link: Link, news: HostNews, now: timedelta) -> None:
        if news.host == self._own.host:
            self._refute(news)
        elif membership.accepts(self._members, news):
            gossip.put(self._table, news, now, link.hello.host)
            self._announce(membership.hear(self._members, news, now))

    def _refute(self, news: HostNews) -> None:
        """Outdo what an earlier process of this host left behind."""
        if order_host(news) > order_host(self._own):
            incarnation = news.incarnation + 1
            self._own = replace(self._own, incarnation=incarnation, counter=0)
            self._note_self()

    # Settings

    def _take_settings(self, link: Link, batch: wire.Batch) -> None:
        link.settings_version = batch.settings_version
        if batch.settings_wanted:
            link.settings_wanted = True
            link.wake.set()
        part = link.decoder.decode_settings(batch)
        if isinstance(part, spreading.Patch):
            part = spreading.apply_patch(self.spread, part)
        if part is not None:
            self._adopt(part)
        if self.spread.current.version == 0:
            self._ask_for_settings()

    def _adopt(self, settings: Settings) -> None:
        if spreading.adopt(self.spread, settings, self._check):
            log("moved to settings", version=settings.version)
            self._note_self()
            self._emit(settings)
            self._wake()

    def _ask_for_settings(self) -> None:
        versions = {host: link.settings_version for host, link in self.links.items()}
        now = self._clock.monotonic()
        source = spreading.choose_source(self.spread, versions, now)
        if source is not None:
            self.links[source].asking = True
            self.links[source].wake.set()
