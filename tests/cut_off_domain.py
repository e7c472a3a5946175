"""A failure domain of hosts on a fake network and store, without sockets."""

import asyncio
import itertools
from collections import Counter
from datetime import timedelta
from random import Random

from result import Err, Ok

from galenapass.clocks import ManualClock
from galenapass.forwarding import datagrams, fleet, schedulers
from galenapass.forwarding.known_targets import KnownTargets
from galenapass.forwarding.peering import Peering
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.scheduler_selection import SchedulerSelection
from galenapass.forwarding.schedulers import HostEntry
from galenapass.forwarding.scheduling import Hooks, Scheduler
from galenapass.forwarding.slot_requests import Outcome, SlotRequest, Stage
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.target_sharing import (
    TargetSharing,
    decode_targets,
    encode_targets,
)
from galenapass.tables.targets import Role
from tests.forwarding_fakes import (
    FakeOrigins,
    make_fleet,
    make_prompt,
    make_suspects,
    make_target,
)

SECOND = timedelta(seconds=1)
DOMAIN_HOSTS = 28
DOMAINS = ("a", "b", "c")
# The domain's targets run 144 requests at once, of some 50 ms each.
ENGINES, SERVICES, SLOTS = 18, 6, 6
HOLDING_SECONDS = 0.05
PATIENCE = timedelta(seconds=2.5)
REQUEST_PERIOD_SECONDS = 0.25
TRIES = 3


class LoopClock(ManualClock):
    """Clock that shows the time of the running event loop."""

    __slots__ = ()

    def monotonic(self):
        return timedelta(seconds=asyncio.get_running_loop().time())


class NetworkSharing(TargetSharing):
    """Exchange of targets over the fake network."""

    network = None

    async def _fetch(self, host):
        source = self.network.hosts.get(host)
        if source is None or not self.network.passes(self._host, host):
            await asyncio.sleep(0.25)
            return Err("no connection")
        await asyncio.sleep(0.005)
        now = self._clock.monotonic()
        report = source.known.make_report(self._domain)
        return Ok(decode_targets(self._domain, *encode_targets(report, now), now))


class Network:
    """Hosts of domain ``a``, and what they reach of the rest of the fleet.

    ``rejected`` names the hosts that the store does not answer, ``blocked`` pairs of
    hosts whose datagrams are lost, ``lag`` is after how many seconds a host notices
    that it has lost the store. A target refuses what exceeds its slots.
    """

    def __init__(self):
        self.clock = LoopClock()
        self.random = Random(7)
        self.entries = {
            f"{domain}{n}": HostEntry(domain, (f"10.0.{i}.{n}", 1))
            for i, domain in enumerate(DOMAINS)
            for n in range(DOMAIN_HOSTS)
        }
        self.names = {entry.address: name for name, entry in self.entries.items()}
        self.targets = [
            target
            for domain in DOMAINS
            for target in [
                *(
                    make_target(f"e-{domain}{n}", Role.MIXED, domain, slots=SLOTS)
                    for n in range(ENGINES)
                ),
                *(
                    make_target(
                        f"s-{domain}{n}", Role.MIXED, domain, "desk", slots=SLOTS
                    )
                    for n in range(SERVICES)
                ),
            ]
        ]
        self.is_cut = False
        self.rejected = set()
        self.blocked = set()
        self.lag = 0.0
        self.holding_seconds = HOLDING_SECONDS
        self.running = Counter()
        self.datagrams = 0
        self.outcomes = {}
        self.refusals = Counter()
        self.hosts = {}
        designated = schedulers.list_schedulers(self.entries)["a"]
        self.designated = designated
        for name, entry in self.entries.items():
            if entry.domain == "a":
                self.hosts[name] = Host(name, self)

    def passes(self, source, target):
        if source not in self.hosts or target not in self.hosts:
            return False
        return (source, target) not in self.blocked

    def reaches_store(self, host):
        return not self.is_cut and host not in self.rejected

    def kill(self, name):
        self.hosts.pop(name).stop()

    def restart(self, name):
        """Start a host that the store does not tell the other hosts."""
        host = self.hosts[name] = Host(name, self)
        host.start({name: self.entries[name]})
        return host

    def start(self):
        for host in self.hosts.values():
            host.start(self.entries)

    def count_served(self, since, until):
        """Return the share of requests served, by host, that began within a time."""
        shares = {}
        for name, outcomes in self.outcomes.items():
            counted = [served for at, served in outcomes if since <= at < until]
            if counted:
                shares[name] = sum(counted) / len(counted)
        return shares


class Host:
    """The parts of a daemon that choose schedulers and acquire slots."""

    def __init__(self, name, network):
        self.name, self.network = name, network
        self.fleet = make_fleet()
        self.fleet.host, self.fleet.viewed_at = name, None
        clock = network.clock
        self.random = Random(name)
        self.has_updates = False
        self.tasks, self.store_task = [], None
        self.numbers = itertools.count()
        self.known = KnownTargets(self.fleet, clock, lambda: self.has_updates)
        self.selection = SchedulerSelection(
            name,
            "a",
            clock,
            self.random,
            self.start_scheduling,
            self.stop_scheduling,
            lambda: self.has_updates,
            lambda: bool(self.fleet.targets),
        )
        self.sharing = NetworkSharing(
            name, "a", self.known, self.selection, clock, self.random, self.use_known
        )
        self.sharing.network = network
        permits = Permits(name, self.fleet.rate_limits, clock)
        scheduler = Scheduler(self.fleet, clock, self.random, Hooks(), permits)
        self.peering = Peering(
            self.fleet,
            clock,
            1,
            scheduler,
            self.selection,
            lambda version, host: None,
            lambda: (),
            lambda announcement: None,
            permits,
            StoreEpochs(clock),
            make_suspects(name, clock),
            FakeOrigins(),
            known_targets=self.known,
            learn=self.sharing.learn_soon,
        )
        self.peering.endpoint = self
        self.scheduler = scheduler

    def start(self, hosts):
        self.selection.update_hosts(hosts)
        self.tasks += [
            asyncio.create_task(work)
            for work in (
                self.selection.run(self.probe),
                self.peering.run_pings(),
                self.sharing.run(),
            )
        ]

    def stop(self):
        for task in [*self.tasks, self.store_task]:
            if task is not None:
                task.cancel()

    def send(self, address, message):
        """Send a message as an endpoint does."""
        self.network.datagrams += 1
        target = self.network.names[address]
        if not self.network.passes(self.name, target):
            return
        now = self.network.clock.monotonic()
        data = datagrams.encode_datagram(
            self.name, [datagrams.encode_message(message, now)]
        )
        asyncio.get_running_loop().call_later(0.001, self.deliver, target, data)

    def deliver(self, target, data):
        host = self.network.hosts.get(target)
        if host is None:
            return
        now = self.network.clock.monotonic()
        sender, messages = datagrams.decode_datagram(data, now).unwrap()
        for message in messages:
            address = self.network.entries[sender].address
            host.peering._receive(sender, address, message)

    # Store

    async def probe(self):
        await asyncio.sleep(0.02)
        return self.network.reaches_store(self.name)

    def start_scheduling(self):
        self.known.seed(anew=True)
        self.store_task = asyncio.create_task(self.follow_store())
        self.tasks.append(asyncio.create_task(self.peering.run_announcements()))

    def stop_scheduling(self):
        self.has_updates = False
        self.store_task.cancel()
        self.tasks.pop().cancel()

    async def follow_store(self):
        while True:
            await asyncio.sleep(0.03)
            reaches = self.network.reaches_store(self.name)
            if self.has_updates and not reaches:
                await asyncio.sleep(self.network.lag)
                self.has_updates = False
                self.peering.announce_version()
            elif reaches and not self.has_updates:
                now = self.network.clock.monotonic()
                fleet.apply_listing(self.fleet, self.network.targets, now)
                self.has_updates = True
                self.selection.targets_listed.set()
                self.peering.announce_view()

    def use_known(self):
        if self.selection.is_scheduler:
            self.known.seed()
            self.peering.announce_view()
            self.scheduler.wake()

    # Requests

    async def send_requests(self):
        while self.network.hosts.get(self.name) is self:
            pause = REQUEST_PERIOD_SECONDS * self.random.uniform(0.5, 1.5)
            await asyncio.sleep(pause)
            self.tasks.append(asyncio.create_task(self.serve()))

    async def serve(self):
        """Send a request to targets until one serves it, as the relay does."""
        now = self.network.clock.monotonic()
        is_call = next(self.numbers) % 4 == 0
        served, tried = False, set()
        for _ in range(TRIES):
            number = next(self.numbers)
            slot = await self.peering.slot_client.acquire(
                self.make_slot_request(number, is_call, tried, now)
            )
            if isinstance(slot, Err):
                self.network.refusals[slot.err_value.detail] += 1
                break
            target = slot.ok_value.grant.target
            if self.network.is_cut and target.domain != "a":
                await asyncio.sleep(0.25)
                tried.add(target.id)
                slot.ok_value.end(Outcome.UNREACHABLE)
                continue
            if self.network.running[target.id] >= SLOTS:
                await asyncio.sleep(0.002)
                tried.add(target.id)
                slot.ok_value.end(Outcome.REFUSED)
                continue
            self.network.running[target.id] += 1
            await asyncio.sleep(self.network.holding_seconds)
            self.network.running[target.id] -= 1
            slot.ok_value.end(Outcome.DONE, 1)
            served = self.network.clock.monotonic() - now < PATIENCE
            break
        self.network.outcomes.setdefault(self.name, []).append((now / SECOND, served))

    def make_slot_request(self, number, is_call, tried, now):
        prompt = None if is_call else make_prompt(name=f"{self.name}-{number}")
        ticket = f"{self.name}:{number}"
        return SlotRequest(
            ticket,
            ticket,
            "desk" if is_call else "lm",
            Stage.CALL if is_call else Stage.PREFILL,
            now + PATIENCE / 2,
            now + PATIENCE,
            1,
            prompt,
            tried=frozenset(tried),
        )
