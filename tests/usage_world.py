"""Run the usage duty of several hosts in virtual time, with faults."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import orjson
from result import Err, Ok

from galenapass.duties.duty_calls import DutyCalls
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.duties.usage_reports import UsageReports
from galenapass.forwarding import usage_counts
from galenapass.forwarding.operations import CallOutcome, Duty, OperationsTerms
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.usage_messages import (
    UsageNotice,
    decode_counts,
    decode_evidence,
    decode_notice,
    decode_reply,
    encode_counts,
    encode_evidence,
    encode_notice,
    encode_reply,
)
from galenapass.forwarding.usage_sharing import UsageSharing
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectListing,
    StoredObject,
)
from galenapass.tables.leases import Lease
from stand_ins.operations import Operation, Operations
from tests.forwarding_fakes import make_request

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
TICK = 50 * MS
LEASE = 3 * SECOND
START = datetime(2026, 1, 5, 9, 0, tzinfo=UTC)
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
FIRST_WINDOW = (START - EPOCH) // (5 * SECOND)
TERMS = OperationsTerms("", frozenset({Duty.USAGE}), 2.0)
AWAY = Err(Failure(FailureCause.UNAVAILABLE))
UNKNOWN = Err(Failure(FailureCause.UNKNOWN))


class HostClock:
    """Boot clock of one host, and its wall clock that can be stepped."""

    def __init__(self, world, boot):
        self._world = world
        self._boot = boot
        self.step = timedelta(0)

    def now(self):
        return START + self._world.now + self.step

    def monotonic(self):
        return self._world.now + self._boot


@dataclass
class World:
    """Hosts, their links, the store and the platform.

    ``before`` and ``after`` are called once around the next effect of a kind of call,
    with the host that makes it; ``lose`` counts the answers to lose of each kind,
    ``lose_request`` the calls. ``unwritten`` are reports that came without an object,
    ``rejected`` windows that the platform rejects, with their calls.
    """

    now: timedelta = timedelta(0)
    hosts: dict = field(default_factory=dict)
    objects: dict = field(default_factory=dict)
    version: int = 0
    epoch: int = 1
    platform: Operations = field(default_factory=Operations)
    accepted_at: dict = field(default_factory=dict)
    truth: dict = field(default_factory=dict)
    store_is_away: bool = False
    platform_is_away: bool = False
    cut_off: set = field(default_factory=set)
    before: dict = field(default_factory=dict)
    after: dict = field(default_factory=dict)
    lose: Counter = field(default_factory=Counter)
    lose_request: Counter = field(default_factory=Counter)
    unwritten: list = field(default_factory=list)
    rejected: dict = field(default_factory=dict)
    starts: int = 0
    loss: object = lambda sender, receiver: False

    def start(self, name, domain="a", step=timedelta(0), is_first=False):
        self.starts += 1
        self.hosts[name] = Host(self, name, domain, step, is_first)
        return self.hosts[name]

    def kill(self, host):
        host.is_alive = False
        if self.hosts.get(host.name) is host:
            del self.hosts[host.name]

    def list_designated(self):
        domains = {}
        for name in sorted(self.known):
            domains.setdefault(self.known[name], []).append(name)
        return domains

    def list_hosts(self):
        return list(self.known)

    @property
    def known(self):
        return {host.name: host.domain for host in self.hosts.values()} | self.former

    former: dict = field(default_factory=dict)

    def may_reach(self, sender, receiver):
        is_cut = (sender in self.cut_off) != (receiver in self.cut_off)
        return not is_cut and not self.loss(sender, receiver)

    async def run(self, duration):
        end = self.now + duration
        while self.now < end:
            self.now += TICK
            for host in list(self.hosts.values()):
                await host.tick()

    @property
    def holder(self):
        found = [h for h in self.hosts.values() if h.keeper.is_holder]
        assert len(found) <= 1
        return found[0] if found else None

    async def pass_hooks(self, hooks, kind, host):
        hook = hooks.pop(kind, None)
        if hook is not None:
            await hook(host)
        if not host.is_alive:
            raise asyncio.CancelledError

    def check(self, windows, missing_requests=0, lateness=TERMS.lateness):
        """Assert that each window was reported in time, once and with its counts."""
        assert self.platform.violations == []
        lost = 0
        for window in range(FIRST_WINDOW, FIRST_WINDOW + windows):
            expected = Counter(self.truth.get(window, {}))
            reported = Counter(self.platform.windows[window])
            assert not reported - expected, window
            lost += (expected - reported).total()
            end = usage_counts.find_end(window, TERMS.window) - (START - EPOCH)
            assert self.accepted_at[window] - end <= lateness, window
        assert lost <= missing_requests, lost


class Store:
    """Store as one host reaches it."""

    def __init__(self, world, host):
        self._world, self._host = world, host

    async def _pass(self, call):
        await self._world.pass_hooks(self._world.before, call, self._host)
        is_cut = self._host.name in self._world.cut_off
        if self._world.store_is_away or is_cut:
            return False
        self._host.epochs.observe(self._world.epoch, "store")
        return True

    async def _end(self, call, answer):
        await self._world.pass_hooks(self._world.after, call, self._host)
        if self._world.lose[call] > 0:
            self._world.lose[call] -= 1
            return UNKNOWN
        return answer

    async def read(self, kind, name):
        if not await self._pass("read"):
            return AWAY
        stored = self._world.objects.get((kind, name))
        return Ok(stored) if stored else Err(Failure(FailureCause.NOT_FOUND))

    async def write(self, kind, name, body, if_version=None):
        call = f"write {kind}"
        if not await self._pass(call):
            return AWAY
        if self._world.lose_request[call] > 0:
            self._world.lose_request[call] -= 1
            return UNKNOWN
        stored = self._world.objects.get((kind, name))
        current = stored.version if stored else None
        if current != if_version:
            return Err(Failure(FailureCause.CONFLICT, current))
        self._world.version += 1
        stored = StoredObject(name, self._world.version, body)
        self._world.objects[kind, name] = stored
        return await self._end(call, Ok(stored.version))

    async def list(self, kind):
        if not await self._pass("list"):
            return AWAY
        items = [s for (k, _), s in self._world.objects.items() if k == kind]
        return Ok(ObjectListing(self._world.version, tuple(items)))

    async def delete(self, kind, name, if_version):
        if not await self._pass("delete"):
            return AWAY
        if self._world.objects.pop((kind, name), None) is None:
            return Err(Failure(FailureCause.NOT_FOUND))
        return await self._end("delete", Ok(None))


class Platform:
    """Platform's operations as one host reaches them."""

    def __init__(self, world, host):
        self._world, self._host = world, host

    async def report_usage(self, window, counts, holder, fence, time_limit):
        end = self._host.clock.monotonic() + time_limit
        world = self._world
        await world.pass_hooks(world.before, "report", self._host)
        is_late = self._host.clock.monotonic() >= end
        if is_late or world.platform_is_away or holder in world.cut_off:
            return CallOutcome.UNKNOWN
        if window in world.rejected:
            world.rejected[window] += 1
            return CallOutcome.REJECTED
        stored = world.objects.get(("usage", str(window)))
        if stored is None or orjson.loads(stored.body)["counts"] != dict(counts):
            world.unwritten.append(window)
        body = {"window": window, "counts": dict(counts)}
        at = world.now.total_seconds()
        world.platform.apply(Operation("usage", holder, fence, body, at))
        world.accepted_at.setdefault(window, world.now)
        await world.pass_hooks(world.after, "report", self._host)
        if world.lose["report"] > 0:
            world.lose["report"] -= 1
            return CallOutcome.UNKNOWN
        return CallOutcome.ACCEPTED


class Sharing(UsageSharing):
    """Sharing whose calls reach the other hosts of the world."""

    world = None

    async def _fetch(self, host, after):
        peer = self.world.hosts.get(host)
        own = self.source[0]
        if peer is None or peer.is_frozen or not self.world.may_reach(own, host):
            return host
        rows = encode_counts(peer.sharing.list_counts(after))
        items = decode_counts(orjson.loads(orjson.dumps(rows)))
        fields = orjson.dumps(encode_evidence(peer.sharing.find_evidence()))
        self._merge_answer(decode_evidence(orjson.loads(fields)), items)
        return None


class Host:
    """One process of one host."""

    def __init__(self, world, name, domain, step, is_first):
        self.world, self.name, self.domain = world, name, domain
        self.is_alive, self.is_frozen, self.is_busy = True, False, False
        self.clock = HostClock(world, 1000 * SECOND * world.starts)
        self.clock.step = step
        start = world.starts
        self.epochs = StoreEpochs(self.clock, lambda: self.keeper.apply_epoch())
        self.sharing = Sharing(
            name,
            domain,
            start,
            TERMS.window,
            self.clock,
            world,
            self._send,
            self.epochs,
        )
        self.sharing.world = world
        store = Store(world, self)
        lease = Lease("roles", name, start, 2 * LEASE)
        if is_first:
            lease.fresh_until = self.clock.monotonic() + 2 * LEASE
        self.keeper = LeaseKeeper(
            lease, self.clock, store, lambda: self.epochs.current or 0
        )
        client = Platform(world, self)
        self.calls = DutyCalls(name, self.keeper, client, self.clock, 2.0, LEASE)
        self.reports = UsageReports(
            TERMS, self.calls, store, self.sharing, self.clock, self.epochs
        )
        self._offset = (world.starts * 7) % 10
        self._ticks = 0
        self._tasks = []

    def serve(self, organisation="org", count=1, at=None):
        """Begin requests, which is true from then on."""
        for _ in range(count):
            request = make_request()
            request.organisation = organisation
            begun = self.world.now if at is None else at
            window = (START - EPOCH + begun) // TERMS.window
            counts = self.world.truth.setdefault(window, Counter())
            counts[organisation] += 1
            boot = self.clock.monotonic() - self.world.now
            self.sharing.record_begin(request, begun + boot)

    def _send(self, receiver, message):
        peer = self.world.hosts.get(receiver)
        if peer is None or peer.is_frozen:
            return
        if not self.world.may_reach(self.name, receiver):
            return
        if isinstance(message, UsageNotice):
            row = orjson.loads(orjson.dumps(encode_notice(message, self.world.now)))
            peer.sharing.apply_notice(self.name, decode_notice(row, self.world.now))
        else:
            row = orjson.loads(orjson.dumps(encode_reply(message, self.world.now)))
            peer.sharing.apply_reply(self.name, decode_reply(row, self.world.now))

    async def tick(self):
        # A call that is open on this host lets the others run meanwhile.
        if self.is_frozen or self.is_busy or not self.is_alive:
            return
        self._ticks += 1
        phase = self._ticks + self._offset
        if phase % 10 == 0:
            self.sharing.step()
        if phase % 5 == 0:
            self.is_busy = True
            try:
                await self.keeper.step()
                await self.reports.step_windows()
                await self.reports.step_reports()
            except asyncio.CancelledError:
                assert not self.is_alive
            finally:
                self.is_busy = False
