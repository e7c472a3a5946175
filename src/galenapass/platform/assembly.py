"""Put a daemon on the platform together, start it and stop it in order."""

import asyncio
import time
from collections.abc import Coroutine
from datetime import timedelta
from random import Random
from typing import Any

import orjson
from aiohttp import web
from result import Err, Ok, Result

from galenapass.clocks import BootClock
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.forwarding import loads
from galenapass.forwarding.beliefs import Beliefs
from galenapass.forwarding.entry import Entry, make_server
from galenapass.forwarding.feeds import Feed
from galenapass.forwarding.fleet import Fleet, note_parts
from galenapass.forwarding.hosts import HostList
from galenapass.forwarding.peers import Announcer
from galenapass.forwarding.planning import RolePlanner
from galenapass.forwarding.relay import Relay
from galenapass.forwarding.routes import RouteTable
from galenapass.forwarding.suspects import Suspects
from galenapass.forwarding.waiting import ReadingQueue
from galenapass.logs import make_log
from galenapass.metrics import CONTENT_TYPE_LATEST, make_metrics, render_metrics
from galenapass.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_configuration,
)
from galenapass.platform.headers import decode_head
from galenapass.platform.messages import Cause, Change, Failure, Listing, Stored
from galenapass.platform.runner_calls import RunnerCalls
from galenapass.platform.runners import RUNNERS_KIND, decode_runner
from galenapass.platform.settings import HostSettings
from galenapass.platform.store import Store
from galenapass.tables.leases import Lease
from galenapass.tables.targets import Role, Target
from galenapass.tables.world import World

__all__ = ["PlatformDaemon"]

# Kinds of the system's own in the store.
CRASHES_KIND = "crashes"
LEASE_NAME = "roles"

# A call a watch and wait is paid for; silent links show through the socket probes.
ROUTES_WAIT = timedelta(seconds=8)
TARGETS_WAIT = timedelta(seconds=8)
CRASHES_WAIT = timedelta(seconds=25)
# Each change of a runner costs one call of every daemon unless some come together.
# A third of the shortest time in which a draining runner must be left, 2 s.
GATHER_PER_DAEMON = timedelta(milliseconds=10)
LONGEST_GATHER = timedelta(milliseconds=700)
# A stale read costs a tenth: it catches a watch that says nothing any more.
CHECK_PERIOD = timedelta(seconds=2)
# A watch shows a change within a few milliseconds of the store's answer.
WATCH_LAG = timedelta(milliseconds=200)
# Daemons that start together do not ask the engines at one moment.
LEARN_SPREAD_SECONDS = 0.4
UPKEEP_PERIOD = timedelta(milliseconds=100)
# The lease outlasts the platform's bound on holders that take turns.
LEASE_TERMS = 2
# Of the time that a stop may take: until the balancer has seen it, until the end.
STOP_LISTEN_SHARE = 0.45
STOP_END_SHARE = 0.9

_log = make_log("daemon")


class PlatformDaemon:
    """Hold the parts of one daemon; make it with the event loop running."""

    def __init__(self, settings: HostSettings, prefill_share: float, metrics_port: int):
        self.settings = settings
        self._metrics_port = metrics_port
        self.clock = BootClock()
        self.random = Random()
        self.metrics = make_metrics()
        self.fleet = Fleet(settings.host, settings.domain)
        self.store = Store(settings.store, self._count_call)
        self.calls = RunnerCalls()
        self.incarnation = time.time_ns() // 1_000_000
        self.announcer = Announcer(
            self.fleet,
            self.clock,
            self.incarnation * 1000,
            lambda: self.queue.wake(),
            self._note_peer_version,
        )
        self.queue = ReadingQueue(
            self.fleet, self.clock, self.random, self.announcer.note_read
        )
        world = World(settings.host, settings.domain)
        self.suspects = Suspects(world, self.clock, self._publish_crashes)
        self.relay = Relay(
            self.fleet,
            self.calls,
            self.queue,
            self.suspects,
            self.clock,
            settings.budget,
        )
        self.entry = Entry(
            self.fleet,
            self.relay,
            decode_head,
            self.clock,
            self.random,
            self.metrics,
        )
        self.beliefs = Beliefs(
            self.fleet, self.clock, _decode_routes, _decode_target, self.queue.wake
        )
        self.hosts = HostList(
            settings.host,
            settings.domain,
            settings.peers,
            self.store,
            self.random,
            self._note_hosts,
        )
        self.planner = self._make_planner(prefill_share)
        self._is_checking = False
        self._crashes_version: int | None = None
        self._tasks: list[asyncio.Task[Any]] = []
        self._runners: list[web.BaseRunner] = []
        self._front: web.TCPSite | None = None

    async def start(self) -> None:
        """Open the ports and follow the store."""
        _log("daemon starts", host=self.settings.host, domain=self.settings.domain)
        await self._listen_ready()
        self._front = await self._listen(
            web.ServerRunner(make_server(self.entry)), self.settings.front
        )
        await self.announcer.open(self.settings.peers)
        self._spawn(self.announcer.run())
        for feed in self._make_feeds():
            self._spawn(feed.run())
        self._spawn(self._check_routes())
        self._spawn(self._keep_up())
        self._spawn(self.hosts.run())
        self._spawn(self.planner.run(self._pause_candidate))
        self._spawn(self._learn_kept())

    async def stop(self) -> None:
        """Take no new connections, finish what is open, end."""
        started = self.clock.monotonic()
        self.entry.stopping = True
        _log("daemon stops", open=self.entry.open)
        listen = self.settings.shutdown * STOP_LISTEN_SHARE
        await asyncio.sleep(listen.total_seconds())
        front, self._front = self._front, None
        if front is not None:
            await front.stop()
        end = started + self.settings.shutdown * STOP_END_SHARE
        while self.entry.open and self.clock.monotonic() < end:
            await asyncio.sleep(0.02)
        for task in self._tasks:
            task.cancel()
        _log("daemon has stopped", open=self.entry.open)

    async def close(self) -> None:
        """Close every port and connection; a process that ends need not."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        self.announcer.close()
        await self.calls.close()
        await self.store.close()

    def apply_settings(self, settings: HostSettings) -> None:
        """Take over what may change while the daemon runs."""
        self.settings = settings
        self.relay.terms = settings.budget
        _log("settings are read again", host=settings.host)

    # Parts

    def _make_planner(self, prefill_share: float) -> RolePlanner:
        settings = self.settings
        term = settings.lease * LEASE_TERMS
        lease = Lease(LEASE_NAME, settings.host, self.incarnation, term)
        keeper = LeaseKeeper(lease, self.clock, _StaleReads(self.store))
        return RolePlanner(
            self.fleet,
            keeper,
            self.calls,
            self.clock,
            lambda service: prefill_share,
            self.relay.states.check,
        )

    def _make_feeds(self) -> list[Feed]:
        return [
            Feed(
                self.store,
                CONFIGURATION_KIND,
                ROUTES_WAIT,
                self.beliefs.note_routes_listing,
                self.beliefs.note_routes,
                self.clock,
                self.random,
            ),
            Feed(
                self.store,
                RUNNERS_KIND,
                TARGETS_WAIT,
                self.beliefs.note_targets_listing,
                self.beliefs.note_target,
                self.clock,
                self.random,
                self.beliefs.note_return,
                self._gather_changes,
            ),
            Feed(
                self.store,
                CRASHES_KIND,
                CRASHES_WAIT,
                self._note_crashes_listing,
                self._note_crashes,
                self.clock,
                self.random,
            ),
        ]

    def _gather_changes(self) -> timedelta:
        """Return how long changes of runners may wait for one call of this daemon."""
        return min(GATHER_PER_DAEMON * self.relay.daemons, LONGEST_GATHER)

    # Routes

    async def _check_routes(self) -> None:
        while True:
            await asyncio.sleep(CHECK_PERIOD.total_seconds())
            await self._read_routes(stale=True)

    async def _read_routes(self, *, stale: bool) -> None:
        read = await self.store.read(
            CONFIGURATION_KIND, CONFIGURATION_NAME, stale=stale
        )
        if isinstance(read, Ok):
            stored = read.ok_value
            self.beliefs.take_routes(stored.name, stored.version, stored.body)

    def _note_peer_version(self, version: int) -> None:
        """Read the configuration when a peer has a newer one and the watch is late."""
        if version <= self.fleet.routes.version or self._is_checking:
            return
        self._is_checking = True
        self._spawn(self._catch_up())

    async def _catch_up(self) -> None:
        try:
            await asyncio.sleep(WATCH_LAG.total_seconds())
            await self._read_routes(stale=False)
        finally:
            self._is_checking = False

    async def _learn_kept(self) -> None:
        """Learn once what the engines keep from before this daemon's start."""
        while not self.fleet.targets:
            await asyncio.sleep(UPKEEP_PERIOD.total_seconds())
        await asyncio.sleep(self.random.uniform(0, LEARN_SPREAD_SECONDS))
        for target in list(self.fleet.targets.values()):
            if target.role is not Role.PREFILL:
                continue
            kept = await self.calls.fetch_kept(target)
            if isinstance(kept, Err):
                _log(
                    "kept parts are unknown", target=target.id, why=str(kept.err_value)
                )
                continue
            reads = tuple(loads.make_read(part) for part in kept.ok_value)
            note_parts(self.fleet, target, reads, self.clock.monotonic())
            _log("kept parts are learned", target=target.id, count=len(reads))

    async def _keep_up(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_PERIOD.total_seconds())
            self.beliefs.drop_overdue()
            loads.forget_targets(self.fleet.loads, self.fleet.targets)

    # Crashes

    def _note_crashes_listing(self, listing: Listing) -> None:
        for stored in listing.items:
            if stored.name == self.settings.host:
                self._crashes_version = stored.version
            self.suspects.hear(stored.body)

    def _note_crashes(self, change: Change) -> None:
        if not change.deleted:
            self.suspects.hear(change.body)

    async def _publish_crashes(self, body: str) -> None:
        for _ in range(3):
            written = await self.store.write(
                CRASHES_KIND, self.settings.host, body, self._crashes_version
            )
            if isinstance(written, Ok):
                self._crashes_version = written.ok_value
                return
            failure = written.err_value
            _log("crashes are not told", cause=failure.cause.value)
            if failure.cause is Cause.CONFLICT:
                self._crashes_version = failure.current
            await asyncio.sleep(0.3)

    def _note_hosts(self, addresses: dict[str, tuple[str, int]]) -> None:
        self.announcer.note_hosts(addresses)
        self.relay.daemons = max(len(addresses), 1)

    def _pause_candidate(self) -> timedelta:
        return self.hosts.pause_candidate(self.settings.lease)

    # Ports

    async def _listen_ready(self) -> None:
        app = web.Application()
        app.router.add_get("/readyz", self._show_ready)
        await self._listen(web.AppRunner(app, access_log=None), self.settings.ready)
        app = web.Application()
        app.router.add_get("/metrics", _show_metrics)
        address = (self.settings.front[0], self._metrics_port)
        await self._listen(web.AppRunner(app, access_log=None), address)

    async def _show_ready(self, request: web.Request) -> web.Response:
        ready = (
            not self.entry.stopping
            and self.fleet.routes.version > 0
            and bool(self.fleet.targets)
        )
        return web.Response(status=200 if ready else 503)

    async def _listen(
        self, runner: web.BaseRunner, address: tuple[str, int]
    ) -> web.TCPSite:
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, *address, backlog=512)
        await site.start()
        return site

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_end)
        self._tasks.append(task)

    def _count_call(self, call: str) -> None:
        self.metrics.platform_calls.add(1, {"call": call})


class _StaleReads:
    """Read leases cheaply: a write on a stale version is refused by the store."""

    __slots__ = ("_store",)

    def __init__(self, store: Store):
        self._store = store

    async def read(self, kind: str, name: str) -> Result[Stored, Failure]:
        """Return one object, perhaps as it was seconds ago."""
        return await self._store.read(kind, name, stale=True)

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the version named, or create when None."""
        return await self._store.write(kind, name, body, if_version)


def _decode_routes(name: str, body: str) -> Result[RouteTable, str] | None:
    if name != CONFIGURATION_NAME:
        return None
    return decode_configuration(orjson.loads(body))


def _decode_target(name: str, body: str) -> Result[Target, str]:
    return decode_runner(name, orjson.loads(body))


async def _show_metrics(request: web.Request) -> web.Response:
    return web.Response(
        body=render_metrics(), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )


def _log_end(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log("a duty ended", error=repr(task.exception()))
