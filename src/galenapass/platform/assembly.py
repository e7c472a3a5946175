"""Assemble a daemon on the platform, start it and stop it gracefully."""

import asyncio
import functools
import time
from collections.abc import Callable, Coroutine, Generator
from datetime import timedelta
from random import Random
from typing import Any

import orjson
from aiohttp import web
from result import Err, Ok, Result

from galenapass.clocks import BootClock
from galenapass.duties.duty_calls import DutyCalls
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.duties.usage_reports import UsageReports
from galenapass.forwarding import loads, silent_targets
from galenapass.forwarding.announcements import Announcement
from galenapass.forwarding.background import BackgroundTasks, keep_running
from galenapass.forwarding.caller_finder import KEY_WAIT, CallerFinder
from galenapass.forwarding.configuration_follower import (
    ConfigurationFollower,
    ConfigurationSources,
)
from galenapass.forwarding.configuration_sharing import (
    CONFIGURATION_CALL,
    ConfigurationSharing,
)
from galenapass.forwarding.engine_states import EngineStateTracker
from galenapass.forwarding.fleet import (
    Fleet,
    has_left,
    is_address_excluded,
    may_send,
    record_target_parts,
)
from galenapass.forwarding.host_objects import HostObject
from galenapass.forwarding.hosts import HOSTS_KIND, HostRegistry
from galenapass.forwarding.known_targets import KnownTargets
from galenapass.forwarding.large_answers import LargeAnswers, count_slots
from galenapass.forwarding.operations import Duty
from galenapass.forwarding.origin_sharing import OriginHooks, OriginSharing
from galenapass.forwarding.peer_calls import PeerServer
from galenapass.forwarding.peering import Peering
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.planning import RolePlanner
from galenapass.forwarding.rate_limits import forget_rate_limits
from galenapass.forwarding.relay import Relay
from galenapass.forwarding.request_handler import RequestHandler, make_server
from galenapass.forwarding.retry_accounts import RetryAccounts
from galenapass.forwarding.routes import RouteTable
from galenapass.forwarding.scheduler_selection import SchedulerSelection
from galenapass.forwarding.schedulers import HostEntry, Hosts
from galenapass.forwarding.scheduling import Hooks, Scheduler
from galenapass.forwarding.share_reports import ShareHooks
from galenapass.forwarding.size_planning import SizePlanner
from galenapass.forwarding.slot_requests import Stage
from galenapass.forwarding.split_goals import SplitGoals
from galenapass.forwarding.stop_times import plan_stop
from galenapass.forwarding.store_availability import StoreAvailability, run_probes
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.store_updates import StoreUpdates
from galenapass.forwarding.store_watches import StoreWatch
from galenapass.forwarding.suspects import CrashHooks, CrashSuspects
from galenapass.forwarding.target_messages import TargetNotice
from galenapass.forwarding.target_paths import TargetPaths
from galenapass.forwarding.target_sharing import TARGETS_CALL, TargetSharing
from galenapass.forwarding.tunnels import (
    TUNNEL_CALL,
    TunnelClient,
    TunnelServer,
    connect_target,
)
from galenapass.forwarding.usage_sharing import USAGE_CALL, UsageSharing
from galenapass.json_values import decode_json
from galenapass.logs import make_log
from galenapass.metrics import CONTENT_TYPE_LATEST, make_metrics, render_metrics
from galenapass.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_in_steps,
    replace_keys,
)
from galenapass.platform.headers import decode_key, decode_metadata
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectChange,
    ObjectListing,
    StoredObject,
)
from galenapass.platform.operations_client import HttpOperationsClient
from galenapass.platform.runner_client import RunnerClient
from galenapass.platform.runners import RUNNERS_KIND, decode_runner
from galenapass.platform.settings import HostSettings
from galenapass.platform.store_client import StoreClient
from galenapass.tables.leases import Lease
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.tables.world import World
from galenapass.targets.connection_records import ConnectionRecords
from galenapass.targets.connections import SocketFactory, make_target_socket

__all__ = ["PlatformDaemon"]

# Object kind and lease that the system itself writes to the store.
CRASHES_KIND = "crashes"
LEASE_NAME = "roles"

# Each poll of a watch costs one call; socket probes detect silent links.
ROUTES_WATCH_WAIT = timedelta(seconds=8)
TARGETS_WATCH_WAIT = timedelta(seconds=8)
CRASHES_WATCH_WAIT = timedelta(seconds=25)
# Each change of a runner costs every daemon one call unless changes are batched. The
# maximum is a third of 2 s, the shortest time to stop using a draining runner.
BATCH_DELAY_PER_DAEMON = timedelta(milliseconds=10)
MAX_BATCH_DELAY = timedelta(milliseconds=700)
# Daemons assumed until the host list is read.
DEFAULT_DAEMON_COUNT = 10
# Spreads the queries to the engines when several daemons start together.
CACHE_LOAD_SPREAD_SECONDS = 0.4
# Tries to publish crashes, and the pause between them.
PUBLISH_TRIES = 3
PUBLISH_PAUSE = timedelta(milliseconds=300)
UPKEEP_PERIOD = timedelta(milliseconds=100)
# The lease must exceed the minimum time between orders of two alternating holders.
LEASE_TERMS = 2
STOP_POLL = timedelta(milliseconds=20)

_log = make_log("daemon")


class PlatformDaemon:
    """Components of one daemon; needs a running event loop to be created.

    ``make_socket`` makes the sockets to targets.
    """

    def __init__(
        self,
        settings: HostSettings,
        metrics_port: int,
        make_socket: SocketFactory = make_target_socket,
    ):
        self.settings = settings
        self._metrics_port = metrics_port
        self.clock = BootClock()
        self.random = Random()
        self.metrics = make_metrics()
        self.fleet = Fleet(settings.host, settings.domain)
        self.store_availability = StoreAvailability(
            self.clock,
            self._handle_store_failure,
            self._handle_store_return,
            self._restart_watches,
        )
        self.epochs = StoreEpochs(self.clock, self._handle_store_restore)
        self.store = StoreClient(
            settings.store, self._count_call, self.store_availability, self.epochs
        )
        self.paths = TargetPaths(
            settings.host, settings.domain, self.clock, self.random
        )
        self._connect_target = functools.partial(
            connect_target, make_socket=make_socket
        )
        self.tunnels = TunnelServer(
            self.paths,
            self._connect_target,
            lambda address: is_address_excluded(
                self.fleet, address, self.clock.monotonic()
            ),
        )
        self.runner_client = RunnerClient(
            self.clock,
            self._apply_notice,
            self.paths,
            TunnelClient(
                settings.host,
                self.paths,
                lambda host: self.scheduler_selection.find_address(host),
            ).open,
            make_socket,
            ConnectionRecords(
                self.clock, lambda: self.metrics.unrequested_responses.add(1)
            ),
            lambda: self.fleet.routes.identities is not None,
            lambda target: may_send(self.fleet, target, self.clock.monotonic()),
            lambda target: has_left(self.fleet, target),
        )
        self.incarnation = time.time_ns() // 1_000_000
        self.suspects = CrashSuspects(
            settings.host,
            World(settings.host, settings.domain),
            self.clock,
            self._make_crash_hooks(),
        )
        permits = Permits(settings.host, self.fleet.rate_limits, self.clock)
        self.scheduler = Scheduler(
            self.fleet, self.clock, self.random, self._make_hooks(), permits
        )
        self.states = EngineStateTracker(
            self.fleet, self.runner_client, self.clock, self.scheduler.wake
        )
        self.known_targets = KnownTargets(
            self.fleet, self.clock, self._is_store_view_fresh
        )
        self.scheduler_selection = SchedulerSelection(
            settings.host,
            settings.domain,
            self.clock,
            self.random,
            self._start_scheduling,
            self._stop_scheduling,
            self._is_store_view_fresh,
            lambda: bool(self.fleet.targets),
        )
        self.target_sharing = TargetSharing(
            settings.host,
            settings.domain,
            self.known_targets,
            self.scheduler_selection,
            self.clock,
            self.random,
            self._use_known_targets,
        )
        self.origins = OriginSharing(
            self.fleet,
            self.store,
            self.clock,
            self._make_origin_hooks(),
            is_first_start=settings.is_first_start,
        )
        self.peering = Peering(
            self.fleet,
            self.clock,
            self.incarnation * 1000,
            self.scheduler,
            self.scheduler_selection,
            lambda version, peer: self.follower.handle_peer_version(version, peer),
            self._list_split_goals,
            self._apply_announcement,
            permits,
            self.epochs,
            self.suspects,
            self.origins,
            lambda targets: self._background.spawn(
                self.states.confirm_silence(targets)
            ),
            self.known_targets,
            self.target_sharing.learn_soon,
        )
        self.usage = self.peering.usage = self._make_usage()
        self.split_goals = SplitGoals(
            self.fleet,
            self.peering.measure_demand,
            self.clock,
            is_first_start=settings.is_first_start,
        )
        self.retry_accounts = RetryAccounts(
            self.clock,
            settings.budget,
            lambda: self.hosts.count_sharing_hosts(),
            self._count_retry,
            is_first_start=settings.is_first_start,
        )
        self.relay = Relay(
            self.fleet,
            self.runner_client,
            self.peering.slot_client,
            self.suspects,
            self.clock,
            self.retry_accounts,
            self._handle_target_leaving,
            self.peering.announce_state,
            self._count_limited_send,
            self.origins,
            self._handle_silence,
            LargeAnswers(count_slots(settings.memory)),
            self.usage,
        )
        self.request_handler = RequestHandler(
            self.fleet,
            self.relay,
            decode_metadata,
            self.clock,
            self.random,
            self.metrics,
            CallerFinder(
                self.fleet, decode_key, lambda: self.follower.confirm(KEY_WAIT)
            ),
        )
        self.store_updates = StoreUpdates(
            self.fleet,
            self.clock,
            _decode_routes,
            _decode_target,
            self._handle_update,
            self._handle_target_leaving,
            self.peering.announce_removed,
            replace_keys=replace_keys,
        )
        self.sharing = ConfigurationSharing(
            self.fleet,
            self.store_updates.configuration,
            self.scheduler_selection.find_address,
        )
        self.follower = ConfigurationFollower(
            self.fleet,
            self.store_updates.configuration,
            self._make_configuration_sources(),
            self.clock,
        )
        self.peer_server = PeerServer(
            {
                CONFIGURATION_CALL: self.sharing.answer,
                TARGETS_CALL: self.target_sharing.answer,
                TUNNEL_CALL: self.tunnels.serve,
                **({USAGE_CALL: self.usage.answer} if self.usage is not None else {}),
            },
            self.scheduler_selection.knows_ip,
        )
        self.hosts = HostRegistry(
            settings.host,
            HostEntry(settings.domain, settings.peers, settings.power),
            self.store,
            self.clock,
            self.random,
            self._apply_hosts,
        )
        self.lease_keeper = self._make_keeper()
        self._duty_calls = self._make_duty_calls()
        self.size_planner = self._make_size_planner()
        self.planner = self._make_planner()
        self.usage_reports = self._make_usage_reports()
        self._background = BackgroundTasks("daemon")
        self._announced_version = 0
        self.daemon_count = DEFAULT_DAEMON_COUNT
        self._crashes = HostObject(CRASHES_KIND, settings.host, self.store)
        self._targets_watch: StoreWatch | None = None
        self._store_watches: list[StoreWatch] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._scheduling_tasks: list[asyncio.Task[Any]] = []
        self._runners: list[web.BaseRunner] = []
        self._client_server = make_server(self.request_handler)
        self._client_site: web.TCPSite | None = None

    async def start(self) -> None:
        """Open the ports and start the background tasks."""
        _log("daemon starts", host=self.settings.host, domain=self.settings.domain)
        await self._listen_internal()
        self._client_site = await self._listen(
            web.ServerRunner(self._client_server), self.settings.front
        )
        await self.peering.endpoint.open(self.settings.peers)
        await self.peer_server.open(self.settings.peers)
        is_first = self.settings.is_first_start
        self._tasks += self._start_tasks(
            {
                "hosts": lambda: self.hosts.run(first_start=is_first),
                "scheduling": lambda: self.scheduler_selection.run(self._probe_store),
                "pings": self.peering.run_pings,
                "routes": lambda: self.follower.load_initial(self._needs_routes),
                "check of routes": self.follower.run_checks,
                "known targets": self.target_sharing.run,
                "versions": self.origins.run_observation,
                "paths": lambda: self.paths.run_probes(self._probe_target),
                **({"usage": self.usage.run} if self.usage is not None else {}),
            }
        )

    async def stop(self) -> None:
        """Answer open requests, refuse what would come too late, cancel all tasks."""
        times = plan_stop(self.clock.monotonic(), self.settings.grace_period)
        self.request_handler.stopping = self.tunnels.stopping = True
        self.relay.begin_stop(times)
        self.scheduler_selection.step_down()
        self.peering.announce_version()
        self._log_stop("daemon stops")
        await self._wait(times.listen_until, lambda: False)
        site, self._client_site = self._client_site, None
        if site is not None:
            await site.stop()
            self._log_stop("daemon takes no new connections")
        await self._wait(times.idle_until, self._is_unconnected)
        while not self._is_unconnected() and self.clock.monotonic() < times.exit_by:
            self._client_server.close_idle()
            await asyncio.sleep(STOP_POLL.total_seconds())
        if self.request_handler.open:
            # The host was suspended, which the timers of open requests do not count.
            self.relay.begin_stop(times)
            await asyncio.sleep(STOP_POLL.total_seconds())
        if self.usage is not None:
            self.usage.step()
            await asyncio.sleep(STOP_POLL.total_seconds())
        for task in [*self._tasks, *self._scheduling_tasks]:
            task.cancel()
        self._log_stop("daemon has stopped")

    async def _wait(self, until: timedelta, is_over: Callable[[], bool]) -> None:
        while not is_over() and self.clock.monotonic() < until:
            await asyncio.sleep(STOP_POLL.total_seconds())

    def _is_unconnected(self) -> bool:
        return not self._client_server.count().connections and not self.tunnels.open

    def _log_stop(self, sentence: str) -> None:
        counts = self._client_server.count()
        _log(
            sentence,
            open=self.request_handler.open,
            connections=counts.connections,
            waiting=counts.waiting,
            unwritten=counts.unwritten,
        )

    async def close(self) -> None:
        """Close every port and connection; not needed when the process exits."""
        tasks = [*self._tasks, *self._scheduling_tasks]
        await asyncio.gather(*tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self.close_sessions()

    async def close_sessions(self) -> None:
        """Close the connections to other hosts, targets and the store."""
        self.peering.endpoint.close()
        self.peer_server.close()
        await self.runner_client.close()
        await self.store.close()

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply the settings that may change while the daemon runs."""
        self.settings = settings
        self.retry_accounts.terms = settings.budget
        _log("settings reloaded", host=settings.host)

    # Components

    def _make_hooks(self) -> Hooks:
        return Hooks(
            check=lambda slot_request: self.suspects.check_slot_request(slot_request),
            on_answer=lambda slot_request, began_at: self.suspects.record_answer(
                slot_request, began_at
            ),
            on_prefill_start=lambda target, parts: self.peering.announce_parts(
                target, parts
            ),
            on_refused=lambda target: self._background.spawn(self.states.check(target)),
            on_unreachable=lambda targets: self._background.spawn(
                self.states.probe_unreachable(targets)
            ),
            shares=ShareHooks(self._count_work, self._count_refusal),
        )

    def _make_crash_hooks(self) -> CrashHooks:
        return CrashHooks(
            self._publish_crashes,
            share=lambda message: self.peering.share_crash_message(message),
            on_block=lambda: self.scheduler.check_waiting(),
            on_crash=self._record_crash,
            find_incarnation=self._find_incarnation,
        )

    async def _find_incarnation(self, target: Target) -> str | None:
        if target.kind is not TargetKind.ENGINE:
            return None
        state = await self.runner_client.fetch_state(target)
        return state.ok_value.incarnation if isinstance(state, Ok) else None

    def _make_origin_hooks(self) -> OriginHooks:
        return OriginHooks(
            share=lambda notice: self.peering.share_streams(notice),
            ask=lambda query: self.peering.ask_origin(query),
            list_targets=self._list_stored_targets,
            is_scheduler=lambda: self.scheduler_selection.is_scheduler,
            is_view_fresh=self._is_store_view_fresh,
            find_epoch=lambda: self.epochs.current,
            on_need=lambda: self.peering.announce_version(),
            on_resumed=lambda outcome: self.metrics.resumed_streams.add(
                1, {"origin": outcome}
            ),
        )

    async def _list_stored_targets(self) -> list[Target] | None:
        """Return the targets that are in the store now, None if it does not answer."""
        listing = await self.store.list(RUNNERS_KIND)
        if isinstance(listing, Err):
            return None
        decoded = (_decode_target(s.name, s.body) for s in listing.ok_value.items)
        # The watch of the targets logs the entries that are unreadable.
        return [target.ok_value for target in decoded if isinstance(target, Ok)]

    def _make_configuration_sources(self) -> ConfigurationSources:
        selection = self.scheduler_selection
        return ConfigurationSources(
            read_store=lambda on_answer: self.store.read(
                CONFIGURATION_KIND, CONFIGURATION_NAME, on_answer=on_answer
            ),
            list_peers=selection.list_configuration_hosts,
            ask_peer=self.sharing.fetch,
            is_watched=lambda: selection.is_scheduler,
            confirmed_at=lambda: selection.pong_at,
            fresh_at=lambda: selection.confirmed_at,
            watched_at=self._find_watched_at,
            request_versions=lambda: self.peering.request_versions(),
        )

    def _find_watched_at(self) -> timedelta:
        """Return since when no change of the store can be unknown, 0 if any can."""
        are_fresh = all(watch.is_fresh for watch in self._store_watches)
        return self.store_availability.answered_at if are_fresh else timedelta(0)

    def _make_keeper(self) -> LeaseKeeper:
        settings = self.settings
        term = settings.lease * LEASE_TERMS
        lease = Lease(LEASE_NAME, settings.host, self.incarnation, term)
        if settings.is_first_start:
            lease.fresh_until = self.clock.monotonic() + term
        return LeaseKeeper(
            lease,
            self.clock,
            _StaleReadStore(self.store),
            lambda: self.epochs.current or 0,
        )

    def _make_duty_calls(self) -> DutyCalls | None:
        """Return the calls of all duties, None if the settings ask for none."""
        terms = self.settings.operations
        if terms is None:
            return None
        return DutyCalls(
            self.settings.host,
            self.lease_keeper,
            HttpOperationsClient(terms.address, self.clock, self._count_call),
            self.clock,
            terms.calls_per_second,
            self.settings.lease,
        )

    def _make_size_planner(self) -> SizePlanner | None:
        """Return the planner of sizes, None if the settings do not ask for it."""
        terms = self.settings.operations
        if terms is None or self._duty_calls is None or Duty.SIZES not in terms.duties:
            return None
        return SizePlanner(
            self.fleet,
            self.lease_keeper,
            self._duty_calls,
            self.clock,
            self.peering.measure_demand,
            terms,
            self.metrics.record_sizes,
        )

    def _make_planner(self) -> RolePlanner:
        sizes = self.size_planner
        return RolePlanner(
            self.fleet,
            self.lease_keeper,
            self.runner_client,
            self.clock,
            self.split_goals.plan_prefill_share,
            self.states.check,
            self._handle_order,
            self.peering.has_crashed,
            # Other hosts name only the targets of this domain.
            lambda: self.paths.is_cut_off or self.fleet.viewed_at is None,
            sizes.is_resizing if sizes is not None else lambda service: False,
        )

    def _make_usage(self) -> UsageSharing | None:
        settings, terms = self.settings, self.settings.operations
        if terms is None or Duty.USAGE not in terms.duties:
            return None
        return UsageSharing(
            settings.host,
            settings.domain,
            self.incarnation,
            terms.window,
            self.clock,
            self.scheduler_selection,
            self.peering.send_usage,
            self.epochs,
            lambda name: self.metrics.usage_requests.add(1, {"organisation": name}),
        )

    def _make_usage_reports(self) -> UsageReports | None:
        terms = self.settings.operations
        if terms is None or self._duty_calls is None or self.usage is None:
            return None
        return UsageReports(
            terms,
            self._duty_calls,
            self.store,
            self.usage,
            self.clock,
            self.epochs,
            on_outcome=lambda outcome: self.metrics.usage_reports.add(
                1, {"outcome": outcome}
            ),
            on_left_out=self.metrics.usage_windows_left_out.add,
        )

    def _make_store_watches(self) -> list[StoreWatch]:
        self._targets_watch = StoreWatch(
            self.store,
            RUNNERS_KIND,
            TARGETS_WATCH_WAIT,
            self._apply_targets_listing,
            self.store_updates.apply_target_change,
            self.clock,
            self.random,
            self._compute_batch_delay,
        )
        return [
            self._targets_watch,
            StoreWatch(
                self.store,
                CONFIGURATION_KIND,
                ROUTES_WATCH_WAIT,
                self.store_updates.apply_routes_listing,
                self.store_updates.apply_routes_change,
                self.clock,
                self.random,
            ),
            StoreWatch(
                self.store,
                CRASHES_KIND,
                CRASHES_WATCH_WAIT,
                self._apply_crashes_listing,
                self._apply_crashes_change,
                self.clock,
                self.random,
            ),
        ]

    def _compute_batch_delay(self) -> timedelta:
        """Return how long to collect changes of runners before reading them."""
        return min(BATCH_DELAY_PER_DAEMON * self.daemon_count, MAX_BATCH_DELAY)

    # Scheduling

    def _start_scheduling(self) -> None:
        self.known_targets.seed(anew=True)
        self._store_watches = self._make_store_watches()
        store_watches = {
            f"feed of {store_watch.kind}": store_watch.run
            for store_watch in self._store_watches
        }
        self._scheduling_tasks = self._start_tasks(
            {
                **store_watches,
                "announcements": self.peering.run_announcements,
                "planner": lambda: self.planner.run(self._find_candidate_pause),
                "kept parts": self._load_cached_parts,
                "probes of the store": lambda: run_probes(self._probe_store),
                "upkeep": self._run_upkeep,
                "streams": self.origins.run_publishing,
                "streams of lost hosts": self.origins.run_removal,
                **(
                    {"usage reports": self.usage_reports.run}
                    if self.usage_reports is not None
                    else {}
                ),
                **({"sizes": self.size_planner.run} if self.size_planner else {}),
            }
        )

    def _start_tasks(
        self, duties: dict[str, Callable[[], Coroutine[Any, Any, None]]]
    ) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(keep_running("daemon", name, work, self._count_failure))
            for name, work in duties.items()
        ]

    def _stop_scheduling(self) -> None:
        for task in self._scheduling_tasks:
            task.cancel()
        self._targets_watch, self._store_watches = None, []

    def _is_store_view_fresh(self) -> bool:
        store_watch = self._targets_watch
        return (
            store_watch is not None
            and store_watch.is_fresh
            and self.store_availability.is_available
        )

    def _handle_store_failure(self) -> None:
        """Announce the failure so that client hosts choose another scheduler."""
        self.peering.announce_version()

    def _handle_store_return(self, since: timedelta) -> None:
        self.store_updates.handle_store_return(since)

    def _restart_watches(self, since: timedelta) -> None:
        for store_watch in self._store_watches:
            store_watch.restart(since)

    def _handle_store_restore(self) -> None:
        """Give up what the store no longer knows, and list and write all of it again.

        What was in force stays: an older configuration, and targets that left, are in
        the restored store as well.
        """
        self.metrics.store_restores.add(1)
        self.planner.give_up_lease()
        self.store_updates.handle_restore()
        for store_watch in self._store_watches:
            store_watch.list_again()
        self._crashes.version = None
        self.origins.publish_again()
        self._background.spawn(self.hosts.register_again())
        self._background.spawn(self.suspects.publish_again())
        self.peering.announce_state()

    def _apply_targets_listing(self, listing: ObjectListing) -> None:
        self.store_updates.apply_targets_listing(listing)
        self.scheduler_selection.targets_listed.set()
        self.peering.announce_view()

    def _use_known_targets(self) -> None:
        if not self.scheduler_selection.is_scheduler:
            return
        self.known_targets.seed()
        if self.known_targets.list_viewed_at is not None:
            self.scheduler_selection.targets_listed.set()
        self.peering.announce_view()
        self.scheduler.wake()

    def _handle_update(self) -> None:
        self.origins.observe()
        self.scheduler.wake()
        if self.fleet.routes.version != self._announced_version:
            self._announced_version = self.fleet.routes.version
            self.peering.announce_version()

    def _apply_notice(self, target: Target, notice: TargetNotice) -> None:
        self.suspects.record_response(target, notice.sent_at)
        self.relay.apply_notice(target, notice)
        for peer in self.paths.list_used_peers(target.address):
            self.peering.share_notice(peer, target, notice)

    def _handle_target_leaving(self, target: Target) -> None:
        self.peering.announce_leaving(target)
        self.scheduler.wake()

    def _handle_silence(self, name: str, silence: timedelta) -> None:
        now = self.clock.monotonic()
        targets = silent_targets.list_unconfirmed(self.fleet, [name], now)
        if targets:
            self._background.spawn(self.states.confirm_silence(targets, silence))

    def _handle_order(self, target: Target, role: Role) -> None:
        self.peering.announce_order(target, role)
        self._background.spawn(self.states.track_order(target, role, own=True))

    def _list_split_goals(self) -> tuple[tuple[str, float], ...]:
        return self.split_goals.list_shares() if self.planner.is_holder else ()

    def _apply_announcement(self, announcement: Announcement) -> None:
        for name, role in announcement.orders:
            target = self.fleet.targets.get(name)
            if target is not None and target.role is not role:
                work = self.states.track_order(target, role, own=False)
                self._background.spawn(work)
        for service, share in announcement.split_goals:
            self.split_goals.apply_share(service, share)

    def _needs_routes(self) -> bool:
        return self.hosts.is_known and not self.scheduler_selection.is_scheduler

    async def _probe_store(self) -> bool:
        """Return whether the store answers this host, by a read of a small object."""
        read = await self.store.read(HOSTS_KIND, self.settings.host, stale=True)
        return isinstance(read, Ok) or read.err_value.cause is FailureCause.NOT_FOUND

    # Upkeep

    async def _probe_target(self, address: str) -> None:
        try:
            connected = await self._connect_target(address)
        except OSError:
            self.paths.record_attempt(address, False)
            return
        connected.close()
        self.paths.record_attempt(address, True)

    async def _load_cached_parts(self) -> None:
        """Fetch the parts cached by this domain's engines before this daemon's start.

        Announcements exchange the parts with the other domains.
        """
        await self.scheduler_selection.targets_listed.wait()
        await asyncio.sleep(self.random.uniform(0, CACHE_LOAD_SPREAD_SECONDS))
        for target in list(self.fleet.targets.values()):
            if target.role is Role.PREFILL and target.domain == self.fleet.domain:
                await self._load_target_parts(target)

    async def _load_target_parts(self, target: Target) -> None:
        cached = await self.runner_client.fetch_parts(target)
        if isinstance(cached, Err):
            _log("cached parts unknown", target=target.id, why=str(cached.err_value))
            return
        parts = tuple(loads.digest_part(part) for part in cached.ok_value)
        record_target_parts(self.fleet, target, parts, self.clock.monotonic())
        self.peering.announce_parts(target, parts)
        _log("cached parts loaded", target=target.id, count=len(parts))

    async def _run_upkeep(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_PERIOD.total_seconds())
            self.store_updates.step()
            self.runner_client.limit_transits()
            loads.forget_targets(self.fleet.loads, self.fleet.targets)
            forget_rate_limits(
                self.fleet.rate_limits, self.fleet.targets, self.clock.monotonic()
            )

    # Crashes

    def _record_crash(self, target: Target) -> None:
        load = self.fleet.load_of(target)
        loads.record_silence(load, self.clock.monotonic())
        self.metrics.crashed_requests.add(1, {"target": target.id})

    def _apply_crashes_listing(self, listing: ObjectListing) -> None:
        for stored in listing.items:
            if stored.name == self.settings.host:
                self._crashes.version = stored.version
            self.suspects.apply_published(stored.body)

    def _apply_crashes_change(self, change: ObjectChange) -> None:
        if not change.deleted:
            self.suspects.apply_published(change.body)

    async def _publish_crashes(self, body: str) -> None:
        for _ in range(PUBLISH_TRIES):
            if await self._crashes.write(body):
                return
            await asyncio.sleep(PUBLISH_PAUSE.total_seconds())

    def _apply_hosts(self, hosts: Hosts) -> None:
        self.paths.hosts = hosts
        self.daemon_count = max(len(hosts), 1)
        self.scheduler_selection.update_hosts(hosts)

    def _find_candidate_pause(self) -> timedelta:
        return self.hosts.find_candidate_pause(self.settings.lease)

    # Ports

    async def _listen_internal(self) -> None:
        app = web.Application()
        app.router.add_get("/readyz", self._serve_readiness)
        await self._listen(web.AppRunner(app, access_log=None), self.settings.ready)
        app = web.Application()
        app.router.add_get("/metrics", self._serve_metrics)
        if self.usage_reports is not None:
            app.router.add_get("/usage", self._serve_usage)
        address = (self.settings.front[0], self._metrics_port)
        await self._listen(web.AppRunner(app, access_log=None), address)

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        body = render_metrics(self.metrics)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _serve_usage(self, request: web.Request) -> web.Response:
        assert self.usage_reports is not None
        body = orjson.dumps({"windows": self.usage_reports.list_reports()})
        return web.Response(body=body, content_type="application/json")

    async def _serve_readiness(self, request: web.Request) -> web.Response:
        knows_targets = (
            bool(self.fleet.targets) or not self.scheduler_selection.is_scheduler
        )
        ready = (
            not self.request_handler.stopping
            and self.fleet.routes.version > 0
            and self.scheduler_selection.has_scheduler
            and knows_targets
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

    def _count_failure(self, duty: str) -> None:
        self.metrics.failures.add(1, {"duty": duty})

    def _count_limited_send(self, target: Target, stage: Stage) -> None:
        labels = {"target": target.id, "stage": stage.value}
        self.metrics.limited_sends.add(1, labels)

    def _count_retry(self, service: str, is_allowed: bool) -> None:
        decision = "allowed" if is_allowed else "refused"
        self.metrics.retries.add(1, {"service": service, "decision": decision})

    def _count_work(self, organisation: str, service: str, work_ms: float) -> None:
        labels = {"organisation": organisation, "service": service}
        self.metrics.organisation_work.add(work_ms, labels)

    def _count_refusal(
        self, organisation: str, service: str, is_above_share: bool
    ) -> None:
        cause = "share" if is_above_share else "capacity"
        labels = {"organisation": organisation, "service": service, "cause": cause}
        self.metrics.organisation_refusals.add(1, labels)

    def _count_call(self, call: str) -> None:
        self.metrics.platform_calls.add(1, {"call": call})


class _StaleReadStore:
    """Store with cheap stale reads; it refuses a write on a stale version."""

    __slots__ = ("_store",)

    def __init__(self, store: StoreClient):
        self._store = store

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return one object, possibly a few seconds old."""
        return await self._store.read(kind, name, stale=True)

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace version ``if_version``, or create the object when None."""
        return await self._store.write(kind, name, body, if_version)


def _decode_routes(
    name: str, body: str
) -> Generator[None, None, Result[RouteTable, str]] | None:
    return _decode_routes_body(body) if name == CONFIGURATION_NAME else None


def _decode_routes_body(
    body: str,
) -> Generator[None, None, Result[RouteTable, str]]:
    spec = decode_json(body)
    yield
    if isinstance(spec, Err):
        return spec
    return (yield from decode_in_steps(spec.ok_value))


def _decode_target(name: str, body: str) -> Result[Target, str]:
    return decode_json(body).and_then(lambda entry: decode_runner(name, entry))
