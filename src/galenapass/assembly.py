"""Assemble the components of one daemon; start and stop them in order."""

import asyncio
import contextlib
import secrets
import ssl
import sys
import time
from collections.abc import Coroutine
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from random import Random
from typing import Any, TextIO

from aiohttp import web

from galenapass.callers.app import make_callers_app, make_runner
from galenapass.callers.context import Handler
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.client_runner import ClientRunner
from galenapass.clients import Clients
from galenapass.clocks import SystemClock
from galenapass.configuration_manager import ConfigurationManager
from galenapass.core import Core
from galenapass.duties import configuration_watch, host_list, observer
from galenapass.duties.backoff import run_with_backoff
from galenapass.duties.cache_watch import follow_caches
from galenapass.duties.claim_store import ClaimStore
from galenapass.duties.drain_follower import DrainFollower
from galenapass.duties.held_duties import run_while_held
from galenapass.duties.planner import Planner
from galenapass.logs import add_log_stream, make_log
from galenapass.metrics import (
    CONTENT_TYPE_LATEST,
    Metrics,
    make_metrics,
    render_metrics,
)
from galenapass.operators.app import make_operators_app
from galenapass.operators.overview import Overview
from galenapass.peer_messaging import PeerMessaging
from galenapass.peers import PeerNetwork
from galenapass.settings.addresses import Address
from galenapass.settings.daemon import DaemonSettings
from galenapass.settings.hours import find_urgency
from galenapass.settings.values import StandardStream
from galenapass.systems import crashes, demand, limits
from galenapass.systems.duties import Duty, find_observed, is_holder, list_duties
from galenapass.systems.membership import ListedDaemon
from galenapass.table_sync import TableSync
from galenapass.tables.configurations import Configuration
from galenapass.tables.peer_messages import Settings
from galenapass.tables.targets import Target, TargetKind
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Daemon"]

ANNOUNCEMENT_PERIOD = timedelta(milliseconds=250)
MAINTENANCE_PERIOD = timedelta(seconds=1)
# Longest wait for a first peer before the daemon accepts requests.
JOIN_TIMEOUT = timedelta(seconds=2.5)
# Part of the stop limit reserved for closing connections after the last stream
# has ended or was aborted.
CLOSE_RESERVE = timedelta(seconds=2)
# Part of the stop limit reserved for the end of the process.
EXIT_RESERVE = timedelta(milliseconds=300)
# Longest wait for connections that are closed while no request is open.
CLOSE_TIMEOUT = timedelta(milliseconds=300)
BUSY_POLL = timedelta(milliseconds=20)
# Longest wait for writing the outcomes of calls that are still unwritten.
FLUSH_TIMEOUT = timedelta(seconds=1)
# A daemon that holds one of these duties needs the newest host list.
HOST_LIST_DUTIES = (Duty.SETTINGS_WATCHER, Duty.PLANNER_CANDIDATE)

_STOP_TIMEOUT_VERDICT = Verdict(
    Run.NOT_RUN, Reason.STOPPING, "this daemon stops and can wait no longer"
)

_log = make_log("daemon")


class Daemon:
    """One daemon with its components; create it while the event loop runs."""

    def __init__(self, settings: DaemonSettings):
        self.settings = settings
        self.incarnation = time.time_ns() // 1_000_000
        self.clock = SystemClock()
        self.random = Random()
        self.metrics = make_metrics()
        self.world = World(settings.host, settings.domain, pooled=settings.pooled)
        self.clients = Clients(settings, self.random, self.metrics)
        self.limits = Limits(settings.body_limit, settings.body_timeout)
        self.streams = OpenStreams(self.limits)
        self.core = self._make_core()
        self.claims = ClaimStore(
            self.clients.objects, settings.host, self.clock, self.random
        )
        self.configuration_manager = ConfigurationManager(
            self.world, self._publish_configuration
        )
        self.peers = self._make_peers()
        self.drain_follower = self._make_drain_follower()
        self.planner = self._make_planner()
        self.host_list = self._make_host_list()
        self.peer_messaging = PeerMessaging(
            self.peers,
            TableSync(self.world, self.clock),
            self.configuration_manager,
            self.drain_follower,
            self.host_list,
            self.metrics,
            self.core.wake,
        )
        self.observer = self._make_observer()
        self.is_ready = False
        self._tasks: list[asyncio.Task[Any]] = []
        self._runners: list[ClientRunner] = []

    async def start(self) -> None:
        """Open every port and start every duty."""
        _open_log(self.settings.logs_outlet)
        _log("daemon starts", host=self.settings.host, domain=self.settings.domain)
        self.core.start()
        await self.peers.start()
        # Peers' state, crash suspects and drains in particular, must be known before
        # the first request is routed.
        await asyncio.gather(
            self._read_platform(), self.peers.wait_joined(JOIN_TIMEOUT)
        )
        callers, listen = self._make_callers_app(), self.settings.callers_listen
        await self._listen(callers, listen, _load_tls_context(self.settings))
        await self._listen(self._make_operators_app(), self.settings.operators_listen)
        self._run_while_held(Duty.SETTINGS_WATCHER, self._watch_configurations)
        self._run_while_held(Duty.PLANNER_CANDIDATE, self.planner.run)
        self._run_with_backoff(self.peer_messaging.publish_loads, ANNOUNCEMENT_PERIOD)
        self._run_with_backoff(self._run_maintenance, MAINTENANCE_PERIOD)
        self._run_with_backoff(self.host_list.read, host_list.PERIOD)
        self._run_with_backoff(self.observer.observe, observer.PERIOD)
        follow = self.clients.cache_events.follow
        self._spawn(follow_caches(self.world, follow, self._list_observed_engines))
        self.is_ready = True
        _log("daemon is ready", version=self.configuration_manager.version)

    async def stop(self) -> None:
        """Refuse new requests, let open ones finish and release all resources.

        It takes at most the time of ``[stop] within``.
        """
        end = self.clock.monotonic() + self.settings.stop_within - EXIT_RESERVE
        _log("daemon is stopping", open=self.streams.count, busy=self._count_busy())
        self.is_ready = False
        self.core.stopping = True
        self.streams.refuse_bodies()
        self.peers.leave()
        await self._finish_requests()
        try:
            async with asyncio.timeout(self._compute_remaining(end)):
                await self._release_resources()
        except TimeoutError:
            _log("resources are left unreleased at the stop limit")
        _log("daemon has stopped")

    async def _release_resources(self) -> None:
        await self._close_connections()
        self.core.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(
            self.observer.stop(), self.peers.stop(), self.claims.flush(FLUSH_TIMEOUT)
        )
        for runner in self._runners:
            await runner.cleanup()
        await self.clients.close()

    # Interface for the callers' port

    def configuration(self) -> Configuration:
        """Return the current configuration."""
        return self.world.configuration

    def ready(self) -> bool:
        """Return whether this daemon accepts new requests."""
        return self.is_ready

    def make_request_id(self) -> str:
        """Return a request identifier that is unique in the fleet."""
        return f"{self.settings.host}-{secrets.token_hex(8)}"

    # Components

    def _make_core(self) -> Core:
        return Core(
            self.world,
            self.clock,
            self.random,
            self.metrics,
            self.clients.probes.has_crashed,
            self.streams.abort_attempt,
            # A resend may reach another daemon before the next periodic update.
            lambda: self.peer_messaging.publish_suspects(),
        )

    def _make_peers(self) -> PeerNetwork:
        settings = self.settings
        return PeerNetwork(
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
            self.configuration_manager.is_valid,
            pooled=settings.pooled,
        )

    def _make_drain_follower(self) -> DrainFollower:
        return DrainFollower(
            self.world,
            self.clock,
            lambda: self.peers.incarnation,
            self.peers.publish,
            self.streams.abort_attempt,
        )

    def _make_planner(self) -> Planner:
        return Planner(
            self.world,
            self.incarnation,
            self.clock,
            self.clients.objects,
            self.clients.engines,
            self.metrics,
            self.drain_follower.list_acks,
            self.drain_follower.receive_orders,
        )

    def _make_host_list(self) -> host_list.HostListReader:
        return host_list.HostListReader(
            self.world,
            self.clock,
            self.clients.objects,
            lambda: any(self._is_holder(duty) for duty in HOST_LIST_DUTIES),
            self._apply_host_list,
            self.peers.publish,
        )

    def _make_observer(self) -> observer.Observer:
        return observer.Observer(
            self.world,
            self.clock,
            self.clients.engines.fetch_load,
            self.clients.engines.fetch_state,
            self.clients.probes.fetch_ready,
            lambda: self.world.targets.values(),
            self.peer_messaging.publish_target,
        )

    def _make_callers_app(self) -> web.Application:
        return make_callers_app(
            self.core,
            self.claims,
            self,
            self.clock,
            self.limits,
            find_urgency=find_urgency,
            engines=self.clients.engines,
            services=self.clients.services,
            streams=self.streams,
            show_metrics=_make_metrics_handler(self.metrics),
        )

    def _make_operators_app(self) -> web.Application:
        overview = Overview(
            world=self.world,
            clock=self.clock,
            objects=self.clients.objects,
            accept=self.configuration_manager.accept,
            incarnation=lambda: self.peers.incarnation,
            is_ready=self.ready,
            is_platform_reachable=lambda: self.host_list.is_reachable,
            list_duties=self._list_duties,
            find_configuration=self.configuration_manager.find,
        )
        return make_operators_app(
            overview, self.settings.operators_token, lambda: self.streams.stopping
        )

    # Duties

    async def _read_platform(self) -> None:
        """Fetch the current configuration and orders before serving any request."""
        objects = self.clients.objects
        is_reachable = await configuration_watch.fetch_configuration(
            objects, self.configuration_manager.accept
        )
        self.host_list.is_reachable = is_reachable
        await self.drain_follower.read_orders(objects)

    async def _watch_configurations(self) -> None:
        await configuration_watch.watch_configurations(
            self.clients.objects,
            self.configuration_manager.accept,
            lambda: self.configuration_manager.version,
        )

    async def _run_maintenance(self) -> bool:
        now = self.clock.monotonic()
        demand.sample(self.world, now)
        limits.rebalance(self.world, now)
        crashes.forget_old(self.world, now)
        self.peer_messaging.publish_usage()
        return True

    def _is_holder(self, duty: Duty) -> bool:
        own = self.world.hosts.get(self.settings.host)
        return own is not None and is_holder(self.world.hosts.values(), own, duty)

    def _list_observed_engines(self) -> list[Target]:
        """Return the engines of this domain that this daemon observes."""
        own = self.world.hosts.get(self.settings.host)
        if own is None:
            return []
        engines = {
            target.id: target
            for target in self.world.targets.values()
            if target.kind is TargetKind.ENGINE and target.domain == own.domain
        }
        observed = find_observed(self.world.hosts.values(), own, engines)
        return [engines[name] for name in observed]

    def _list_duties(self) -> list[str]:
        own = self.world.hosts.get(self.settings.host)
        return [] if own is None else list_duties(self.world.hosts.values(), own, [])

    def _publish_configuration(self, configuration: Configuration) -> None:
        self.peers.publish(Settings(configuration.version, configuration.text))
        self.core.wake()

    def _apply_host_list(self, daemons: list[ListedDaemon]) -> None:
        self.peers.apply_host_list(daemons)
        self.planner.record_listed_daemons(
            {h.id: h.incarnation for h in daemons if self.world.routes_to(h.domain)}
        )

    # Start and stop

    async def _listen(
        self,
        app: web.Application,
        address: Address,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        runner = make_runner(app)
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, address.ip, address.port, ssl_context=tls)
        await site.start()

    def _run_while_held(self, duty: Duty, start_work: Any) -> None:
        is_held = lambda: self._is_holder(duty)  # noqa: E731
        self._spawn(run_while_held(duty.value, is_held, start_work))

    def _run_with_backoff(self, call: Any, period: timedelta) -> None:
        self._spawn(run_with_backoff(call, period, self.random))

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _finish_requests(self) -> None:
        timeout = (self.settings.stop_within - CLOSE_RESERVE).total_seconds()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._wait_idle(), max(timeout, 0))
        if self.streams.count:
            await self._abort_requests()

    async def _wait_idle(self) -> None:
        """Wait until no request is open and every answer has been written."""
        await self.streams.wait_idle()
        while self.streams.count or self._count_busy():
            await asyncio.sleep(BUSY_POLL.total_seconds())
            await self.streams.wait_idle()

    def _count_busy(self) -> int:
        return sum(runner.count_busy() for runner in self._runners)

    async def _close_connections(self) -> None:
        """Stop listening and close the idle connections; wait until none is busy."""
        for runner in self._runners:
            await runner.close_idle()
        with contextlib.suppress(TimeoutError):
            seconds = CLOSE_TIMEOUT.total_seconds()
            await asyncio.wait_for(self._wait_idle(), seconds)

    def _compute_remaining(self, end: timedelta) -> float:
        return max((end - self.clock.monotonic()).total_seconds(), 0.0)

    async def _abort_requests(self) -> None:
        """End every open stream, call and waiting request with a verdict."""
        _log("open streams are aborted at the stop limit", open=self.streams.count)
        self.streams.abort_all_attempts(
            replace(_STOP_TIMEOUT_VERDICT, run=Run.MAY_HAVE_RUN)
        )
        self.core.refuse_waiting(_STOP_TIMEOUT_VERDICT)
        with contextlib.suppress(TimeoutError):
            seconds = CLOSE_RESERVE.total_seconds() / 2
            await asyncio.wait_for(self._wait_idle(), seconds)


def _make_metrics_handler(metrics: Metrics) -> Handler:
    async def show_metrics(request: web.Request) -> web.StreamResponse:
        body = render_metrics(metrics)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    return show_metrics


def _load_tls_context(settings: DaemonSettings) -> ssl.SSLContext | None:
    """Return the TLS context of the callers' port, or None for plain HTTP."""
    if settings.tls_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    except OSError as error:
        files = f"{settings.tls_certificate}, {settings.tls_key}"
        raise OSError(f"TLS files {files}: {error}") from error
    return context


def _open_log(outlet: StandardStream | Path) -> None:
    streams: dict[StandardStream, TextIO] = {
        StandardStream.STDERR: sys.stderr,
        StandardStream.STDOUT: sys.stdout,
    }
    if isinstance(outlet, Path):
        add_log_stream(outlet.open("a", encoding="utf-8"))
        return
    add_log_stream(streams[outlet])
