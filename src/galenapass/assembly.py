"""Put the parts of one daemon together, start them and stop them in order."""

import asyncio
import contextlib
import secrets
import sys
import time
from collections.abc import Coroutine
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any, TextIO

from aiohttp import web

from galenapass.callers.app import make_callers_app, make_runner
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.clocks import SystemClock
from galenapass.core import Core
from galenapass.duties import observer, roster, watcher
from galenapass.duties.cache_watch import follow_caches
from galenapass.duties.follower import Follower
from galenapass.duties.holding import work_while_held
from galenapass.duties.journal import Journal
from galenapass.duties.loops import repeat
from galenapass.duties.planner import Planner
from galenapass.intake import Intake
from galenapass.logs import log_to, make_log
from galenapass.metrics import CONTENT_TYPE_LATEST, make_metrics, render_metrics
from galenapass.news import News
from galenapass.operators.app import make_operators_app
from galenapass.operators.overview import Overview
from galenapass.peers import Peers
from galenapass.platform.messages import ListedHost
from galenapass.platform.objects import Objects
from galenapass.settings.addresses import Address
from galenapass.settings.daemon import DaemonSettings
from galenapass.settings.hours import urgency_of
from galenapass.settings.units import Stream
from galenapass.systems import crashes, demand, limits
from galenapass.systems.duties import Duty, holds, list_duties
from galenapass.systems.membership import Listed
from galenapass.tables.configurations import Configuration
from galenapass.tables.hosts import HostState
from galenapass.tables.peers import DrainAck, HostChange, Orders, Settings
from galenapass.tables.targets import Kind, Target
from galenapass.tables.world import World
from galenapass.targets.cache_events import CacheFollower
from galenapass.targets.engines import Engines
from galenapass.targets.probes import Probes
from galenapass.targets.services import PlainServices

__all__ = ["Daemon"]

ROSTER_PERIOD = timedelta(seconds=1)
NEWS_PERIOD = timedelta(milliseconds=250)
UPKEEP_PERIOD = timedelta(seconds=1)
# Left for closing connections after the last stream has ended or was given up.
CLOSING_TIME = timedelta(seconds=2)

_log = make_log("daemon")


class Daemon:
    """Hold the parts of one daemon."""

    def __init__(self, settings: DaemonSettings):
        self.settings = settings
        self.incarnation = time.time_ns() // 1_000_000
        self.clock = SystemClock()
        self.random = Random()
        self.metrics = make_metrics()
        self.world = World(settings.host, settings.domain)
        self.news = News(self.world, self.clock)
        self.intake = Intake(self.world, self._note_configuration)
        self.is_ready = False
        self.platform_answers = False
        self._tasks: list[asyncio.Task[Any]] = []
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Open every port and begin every duty."""
        _open_log(self.settings.logs_outlet)
        _log("daemon starts", host=self.settings.host, domain=self.settings.domain)
        self._make_clients()
        self.core = Core(
            self.world,
            self.clock,
            self.random,
            self.metrics,
            self.probes.has_crashed,
            self.streams.break_off,
        )
        self.core.start()
        self._make_peers()
        self._make_planner()
        self.peers.heard.subscribe(self._hear)
        await self.peers.start()
        await self._fetch_configuration()
        await self.follower.read_orders(self.objects)
        await self._listen(self._make_callers_app(), self.settings.callers_listen)
        operators = make_operators_app(
            self._make_overview(), self.settings.operators_token
        )
        await self._listen(operators, self.settings.operators_listen)
        self._spawn(
            work_while_held(
                Duty.SETTINGS_WATCHER.value,
                lambda: self._holds(Duty.SETTINGS_WATCHER),
                self._watch,
            )
        )
        self._spawn(
            work_while_held(
                Duty.PLANNER_CANDIDATE.value,
                lambda: self._holds(Duty.PLANNER_CANDIDATE),
                self.planner.run,
            )
        )
        self._spawn(repeat(self._tell_news, NEWS_PERIOD, self.random))
        self._spawn(repeat(self._keep_up, UPKEEP_PERIOD, self.random))
        self._spawn(repeat(self._read_roster, ROSTER_PERIOD, self.random))
        self._spawn(repeat(self._make_observer().observe, observer.PERIOD, self.random))
        self._spawn(
            follow_caches(self.world, self.cache_events.follow, self._list_observed)
        )
        self.is_ready = True
        _log("daemon is ready", version=self.world.configuration.version)

    async def stop(self) -> None:
        """Take no new work, let what runs end, give back what is held."""
        _log("daemon stops", open=self._count_open())
        self.is_ready = False
        if hasattr(self, "core"):
            self.core.stopping = True
            self.peers.leave()
            await self._finish_streams()
            self.core.stop()
            await self.peers.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self._close_clients()
        _log("daemon has stopped")

    # What the callers' side asks

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.world.configuration

    def ready(self) -> bool:
        """Tell whether new work is taken."""
        return self.is_ready

    def new_id(self) -> str:
        """Return an identifier that no other request in the fleet has."""
        return f"{self.settings.host}-{secrets.token_hex(8)}"

    def _note_configuration(self, configuration: Configuration) -> None:
        self.peers.tell(Settings(configuration.version, configuration.text))
        self.core.wake()

    # Parts

    def _make_clients(self) -> None:
        settings = self.settings
        self.limits = Limits(settings.body_limit, settings.body_timeout)
        self.streams = OpenStreams(self.limits)
        self.engines = Engines()
        self.services = PlainServices()
        self.cache_events = CacheFollower()
        self.probes = Probes(self.engines)
        self.objects = Objects(
            str(settings.platform_address),
            settings.host,
            settings.domain,
            self._count_call,
            self.random,
        )
        self.claims = Journal(self.objects, settings.host, self.clock, self.random)

    def _make_peers(self) -> None:
        settings = self.settings
        self.peers = Peers(
            settings.host,
            settings.domain,
            self.incarnation,
            str(settings.peers_listen),
            settings.peers_secret,
            [str(address) for address in settings.peers_join],
            self.clock,
            self.random,
            settings.peers_budget,
            self.world.hosts,
            self.intake.is_sound,
            pooled=settings.pooled,
        )

    def _make_planner(self) -> None:
        self.follower = Follower(
            self.world,
            self.clock,
            lambda: self.peers.incarnation,
            self.peers.tell,
            self.streams.break_off,
        )
        self.planner = Planner(
            self.world,
            self.incarnation,
            self.clock,
            self.objects,
            self.engines,
            self.metrics,
            self.follower.list_acks,
            self.follower.hear_orders,
        )

    def _make_overview(self) -> Overview:
        return Overview(
            world=self.world,
            clock=self.clock,
            objects=self.objects,
            accept=self.intake.accept,
            incarnation=lambda: self.peers.incarnation,
            is_ready=self.ready,
            is_platform_reachable=lambda: self.platform_answers,
            list_duties=self._list_duties,
            find_configuration=self.intake.find,
        )

    async def _close_clients(self) -> None:
        if not hasattr(self, "objects"):
            return
        await self.engines.close()
        await self.services.close()
        await self.cache_events.close()
        await self.probes.close()
        await self.objects.close()

    def _make_callers_app(self) -> web.Application:
        return make_callers_app(
            self.core,
            self.claims,
            self,
            self.clock,
            self.limits,
            urgency_of=urgency_of,
            engines=self.engines,
            services=self.services,
            streams=self.streams,
            show_metrics=_show_metrics,
        )

    def _make_observer(self) -> observer.Observer:
        return observer.Observer(
            self.world,
            self.clock,
            self.engines.fetch_load,
            self.probes.fetch_ready,
            lambda: self.world.targets.values(),
            self._tell_target,
        )

    # Duties

    async def _fetch_configuration(self) -> None:
        answered = await watcher.fetch_configuration(self.objects, self.intake.accept)
        self.platform_answers = answered

    async def _watch(self) -> None:
        await watcher.watch_configurations(
            self.objects, self.intake.accept, lambda: self.intake.version
        )

    def _holds(self, duty: Duty) -> bool:
        own = self.world.hosts.get(self.settings.host)
        return own is not None and holds(self.world.hosts.values(), own, duty)

    def _list_observed(self) -> list[Target]:
        """Return the engines of this domain whose observer this daemon is."""
        own = self.world.hosts.get(self.settings.host)
        if own is None:
            return []
        hosts = list(self.world.hosts.values())
        return [
            target
            for target in self.world.targets.values()
            if target.kind is Kind.ENGINE
            and target.domain == own.domain
            and holds(hosts, own, Duty.OBSERVER, target.id)
        ]

    def _list_duties(self) -> list[str]:
        own = self.world.hosts.get(self.settings.host)
        return [] if own is None else list_duties(self.world.hosts.values(), own, [])

    async def _tell_news(self) -> bool:
        self.news.tell_loads(self.peers.tell)
        self.news.tell_suspects(self.peers.tell)
        self.follower.acknowledge()
        self.follower.move_streams()
        return True

    async def _keep_up(self) -> bool:
        now = self.clock.monotonic()
        demand.sample(self.world, now)
        limits.rebalance(self.world, now)
        crashes.forget_old(self.world, now)
        self.news.tell_uses(self.peers.tell)
        return True

    def _hear(self, item: Any) -> None:
        if isinstance(item, Settings):
            self.intake.accept(item.text, item.version)
        elif isinstance(item, Orders):
            self.follower.hear_orders(item)
        elif isinstance(item, DrainAck):
            self.follower.hear_ack(item)
        elif isinstance(item, HostChange):
            if item.after is HostState.GONE:
                self.news.forget_host(item.host)
                self.follower.forget_host(item.host)
        elif self.news.hear(item):
            self.core.wake()

    async def _read_roster(self) -> bool:
        listed = await roster.fetch_list(self.objects)
        self.platform_answers = listed is not None
        if listed is None:
            return False
        daemons = _pick_daemons(listed)
        self.peers.apply_list(daemons)
        self.planner.note_list({host.id: host.incarnation for host in daemons})
        roster.apply_list(self.world, listed)
        return True

    def _tell_target(self, target: Target) -> None:
        self.news.tell_report(target, self.peers.tell)
        self.core.wake()

    def _count_call(self, call: str) -> None:
        self.metrics.platform_calls.add(1, {"call": call})

    # Starting and stopping

    async def _listen(self, app: web.Application, address: Address) -> None:
        runner = make_runner(app)
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, address.ip, address.port)
        await site.start()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(work))

    def _count_open(self) -> int:
        return self.streams.count if hasattr(self, "streams") else 0

    async def _finish_streams(self) -> None:
        bound = (self.settings.stop_within - CLOSING_TIME).total_seconds()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.streams.wait_idle(), max(bound, 0))
        if self.streams.count:
            _log("streams are cut at the bound", open=self.streams.count)


async def _show_metrics(request: web.Request) -> web.StreamResponse:
    body = render_metrics()
    return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


def _pick_daemons(listed: tuple[ListedHost, ...]) -> list[Listed]:
    """Return the rows of daemons."""
    return [
        Listed(row.id, row.address, row.domain, int(row.incarnation), row.leaving)
        for row in listed
        if row.kind == roster.DAEMON
    ]


def _open_log(outlet: Stream | Path) -> None:
    streams: dict[Stream, TextIO] = {
        Stream.STDERR: sys.stderr,
        Stream.STDOUT: sys.stdout,
    }
    if isinstance(outlet, Path):
        log_to(outlet.open("a", encoding="utf-8"))
        return
    log_to(streams[outlet])
