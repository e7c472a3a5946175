"""Run daemon processes against stand-ins behind proxies, and inject faults."""

import asyncio
import os
import signal
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

from aiohttp import web

from experiments.processes import Process, find_free_port, start_process
from experiments.soak.faults import Fault
from experiments.soak.proxies import Disturbance, Proxy
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from stand_ins.metadata_store import MetadataStore, StoreCopy, StoreFaults
from stand_ins.platform_routes import CONFIGURATION, make_route
from stand_ins.runner import ATTEMPT, Arrival, Runner, RunnerFaults

__all__ = ["START_MESSAGE", "Daemon", "Environment", "hang_up"]

DOMAINS = ("zone-a", "zone-b")
GRACE_SECONDS = 4.0
MEMORY_MB = 300
BUDGET_RATIOS = (0.2, 0.1, 0.3)
BUDGET_WINDOW = timedelta(seconds=10)
EVENT_INTERVAL_SECONDS = 0.02
SLOW_RESPONSE_SECONDS = 1.0
SLOW_STORE_SECONDS = 0.8
LOST_RESPONSES = 3
# Decode engines of a version while which its streams can go on.
MIN_SERVING = 2
HEARTBEAT_SECONDS = 0.5
# Copies of the store, one a heartbeat; it is restored from the oldest.
MAX_COPIES = 8
POLL_SECONDS = 0.005
START_MESSAGE = b"daemon starts"
SETTINGS = """\
node_name = "{name}"
ip = "{ip}"
zone = "{domain}"
heartbeat_ms = 500
bootstrap = {bootstrap}
internal_port_range = [{peers_port}, {peers_port}]
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu_share = 1.0
cores = 1
memory_mb = {memory_mb}
[bounds]
budget_ratio = {budget_ratio}
retry_slack = {retry_slack}
budget_window_s = 10
grace_s = {grace}
drain_ms = 2000
lease_ms = 2000
contact_ms = 3000
[platform]
address = "{store}"
"""


def _choose_ip() -> str:
    """Return a loopback address that no concurrent soak test uses."""
    return f"127.1.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"


@dataclass(slots=True)
class Daemon:
    """Ports, files and process of one daemon; ``exit_errors`` lists unclean exits.

    ``signals_at`` are the monotonic times, in seconds, of SIGTERM to a running process,
    ``paused_at`` that of the last pause; ``log_start`` is the log's length in bytes
    before the last start.
    """

    name: str
    domain: str
    folder: Path
    front_port: int = 0
    ready_port: int = 0
    peers_port: int = 0
    ip: str = field(default_factory=_choose_ip)
    retry_slack: int = 50
    budget_ratio: float = BUDGET_RATIOS[0]
    grace_seconds: float = GRACE_SECONDS
    process: Process | None = None
    signals_at: list[float] = field(default_factory=list)
    paused_at: float = 0.0
    log_start: int = 0
    exit_errors: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        ports = (find_free_port(self.ip) for _ in range(3))
        self.front_port, self.ready_port, self.peers_port = ports

    @property
    def address(self) -> str:
        """Return the address that clients connect to."""
        return f"{self.ip}:{self.front_port}"

    @property
    def log(self) -> Path:
        """Return the log file, to which each process of this daemon appends."""
        return self.folder / f"{self.name}.log"

    def write_settings(self, store: str) -> Path:
        """Write the settings file as the platform does."""
        path = self.folder / f"{self.name}.toml"
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            domain=self.domain,
            bootstrap=str(self.process is None).lower(),
            front_port=self.front_port,
            ready_port=self.ready_port,
            peers_port=self.peers_port,
            retry_slack=self.retry_slack,
            budget_ratio=self.budget_ratio,
            grace=self.grace_seconds,
            memory_mb=MEMORY_MB,
            store=store,
        )
        path.write_text(text)
        return path

    async def start(self, store: str) -> None:
        """Start the process unless it is running."""
        if self.process is not None and self.process.status is None:
            return
        path = self.write_settings(store)
        self.log_start = self.log.stat().st_size if self.log.exists() else 0
        self.process = await start_process(
            self.name,
            "galenapass.platform",
            ["--metrics-port", "0"],
            self.log,
            ready=False,
            variables={"GALENAPASS_CONFIG": str(path)},
        )

    def has_started(self) -> bool:
        """Return whether the process has logged that it starts."""
        return START_MESSAGE in self.log.read_bytes()[self.log_start :]

    def send(self, signal_number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send(signal_number)

    def pause(self) -> None:
        """Suspend the process until SIGCONT."""
        self.paused_at = time.monotonic()
        self.send(signal.SIGSTOP)

    async def terminate(self) -> None:
        """Stop the process as the platform does; record an unclean exit."""
        process = self.process
        if process is None or process.status is not None:
            return
        began = time.monotonic()
        self.signals_at.append(began)
        process.send(signal.SIGTERM)
        try:
            status = await self._wait_exit(process, began)
        except TimeoutError:
            process.send(signal.SIGKILL)
            await process.wait()
            self.exit_errors.append(
                f"{self.name} did not stop in {self.grace_seconds} s"
            )
            return
        expected = {0, -signal.SIGKILL}
        if not self.has_started():
            # It received SIGTERM before it had installed its signal handlers.
            expected.add(-signal.SIGTERM)
        if status not in expected:
            self.exit_errors.append(f"{self.name} stopped with status {status}")

    async def _wait_exit(self, process: Process, began: float) -> int:
        try:
            return await process.wait(self.grace_seconds)
        except TimeoutError:
            if self.paused_at + self.grace_seconds < began:
                raise
            # It may have been suspended during part of the grace period.
            process.send(signal.SIGCONT)
            return await process.wait(self.grace_seconds)


class Environment:
    """The metadata store, the targets, the proxies and the daemons of a soak test.

    ``configuration`` holds the operator's routes, to which each version adds one. With
    software ``versions``, two decode engines of each serve, whose events name it.
    """

    def __init__(
        self,
        folder: Path,
        daemons: int,
        grace_seconds: float = GRACE_SECONDS,
        configuration: dict[str, Any] = CONFIGURATION,
        versions: Sequence[str] = (),
    ):
        self.store = MetadataStore()
        self.versions = list(versions)
        runners = _make_versions(versions) if versions else _make_runners()
        self.runners = {runner.id: runner for runner in runners}
        self.daemons = {
            daemon.name: daemon
            for daemon in (
                Daemon(
                    f"front-{n}",
                    DOMAINS[n % len(DOMAINS)],
                    folder,
                    grace_seconds=grace_seconds,
                )
                for n in range(daemons)
            )
        }
        self.proxies: dict[str, Proxy] = {}
        self.version = 1
        self._configuration = configuration
        self._largest_ratio = BUDGET_RATIOS[0]
        self._store_server: web.AppRunner | None = None
        self._target_states: dict[str, str] = {}
        self._heartbeats: asyncio.Task[None] | None = None
        self._copies: deque[StoreCopy] = deque(maxlen=MAX_COPIES)
        self._latest_faults: dict[tuple[str, str], Fault] = {}

    async def start(self) -> None:
        """Start all parts without waiting until the daemons are ready."""
        self._store_server = web.AppRunner(
            self.store.make_app(), access_log=None, shutdown_timeout=0.1
        )
        await self._store_server.setup()
        site = web.TCPSite(self._store_server, "127.0.0.1", 0)
        await site.start()
        host, port = self._store_server.addresses[0][:2]
        for runner in self.runners.values():
            runner.faults.event_seconds = EVENT_INTERVAL_SECONDS
            await runner.start()
            await self._start_proxy(runner.id, runner.address)
            self._register(runner)
        self._heartbeats = asyncio.create_task(self._write_heartbeats())
        self.publish_configuration()
        for daemon in self.daemons.values():
            await self._start_proxy(daemon.name, f"{host}:{port}")
            await self.start_daemon(daemon.name)

    async def stop(self) -> None:
        """Stop all parts."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for daemon in self.daemons.values():
            daemon.send(signal.SIGCONT)
        await asyncio.gather(*(d.terminate() for d in self.daemons.values()))
        for proxy in self.proxies.values():
            await proxy.stop()
        for runner in self.runners.values():
            await runner.stop()
        if self._store_server is not None:
            await self._store_server.cleanup()

    async def start_daemon(self, name: str) -> None:
        """Start a daemon unless it is running."""
        await self.daemons[name].start(self.proxies[name].address)

    def publish_configuration(self) -> None:
        """Publish the next configuration version, with a route of its own."""
        self.version += 1
        self._publish_current()

    def _publish_current(self) -> None:
        route = make_route(f"/version-{self.version}/", "idempotent", "desk")
        routes = [*self._configuration["routes"], route]
        changed = self._configuration | {"version": self.version, "routes": routes}
        self.store.put("config", "main", changed)

    def list_executed(self) -> dict[str, list[str]]:
        """Return the attempts that each target executed."""
        return {name: runner.ran for name, runner in self.runners.items()}

    def is_served(self, mark: str) -> bool:
        """Return whether two sound decode engines of a service and version serve."""
        sound = [
            runner
            for name, runner in self.runners.items()
            if runner.stage == "decode"
            and f"{runner.service}-{runner.version}" == mark
            and self._target_states.get(name) == "ready"
            and not self._has_fault(name)
        ]
        return len(sound) >= MIN_SERVING

    def _has_fault(self, name: str) -> bool:
        runner, proxy = self.runners[name], self.proxies[name]
        usual = RunnerFaults(
            event_seconds=EVENT_INTERVAL_SECONDS,
            marks_version=runner.faults.marks_version,
        )
        return runner.faults != usual or proxy.disturbance is not Disturbance.NONE

    def list_received(self) -> set[str]:
        """Return the attempts that targets received, also those they refused."""
        return {
            request.headers.get(ATTEMPT, "")
            for runner in self.runners.values()
            for request in runner.received
        }

    @property
    def retry_terms(self) -> RetryBudgetTerms:
        """Return the largest retry budget that the daemons' settings ever state."""
        slack = max(daemon.retry_slack for daemon in self.daemons.values())
        return RetryBudgetTerms(self._largest_ratio, slack, BUDGET_WINDOW)

    def list_arrivals(self) -> dict[str, list[Arrival]]:
        """Return the arrivals at the targets of each service."""
        arrivals: dict[str, list[Arrival]] = {}
        for runner in self.runners.values():
            arrivals.setdefault(runner.service, []).extend(runner.arrivals)
        return arrivals

    async def apply(self, fault: Fault) -> None:
        """Start a fault, wait for its duration and end it."""
        group, component = _split_component(fault.component)
        begin, end = self._find_actions(group, component, fault.kind)
        key = (fault.component, _find_fault_key(fault.kind))
        self._latest_faults[key] = fault
        await _call(begin)
        await asyncio.sleep(fault.duration)
        # A later fault under the same key has replaced this one and is still active.
        if self._latest_faults[key] is fault:
            await _call(end)

    def _find_actions(
        self, group: str, component: str, kind: str
    ) -> tuple[Callable[[], Any], Callable[[], Any]]:
        if group == "link":
            proxy = self.proxies[component]
            return (
                lambda: proxy.disturb(Disturbance(kind)),
                lambda: proxy.disturb(Disturbance.NONE),
            )
        if component == "store":
            return self._find_store_actions()[kind]
        if component in self.daemons:
            return self._find_daemon_actions(self.daemons[component])[kind]
        return self._find_runner_actions(self.runners[component])[kind]

    def _find_daemon_actions(self, daemon: Daemon) -> dict[str, Any]:
        restart = lambda: self.start_daemon(daemon.name)  # noqa: E731
        return {
            "pause": (
                daemon.pause,
                lambda: daemon.send(signal.SIGCONT),
            ),
            "kill": (lambda: daemon.send(signal.SIGKILL), restart),
            "terminate": (daemon.terminate, restart),
            "settings": (lambda: self._change_settings(daemon), _do_nothing),
            "hangup": (lambda: hang_up(daemon), _do_nothing),
        }

    def _find_store_actions(self) -> dict[str, Any]:
        faults = self.store.faults
        change = lambda **values: lambda: _assign(faults, values)  # noqa: E731
        return {
            "garbage": (change(garbage=True), change(garbage=False)),
            "unavailable": (change(status=503), change(status=None)),
            "throttled": (change(status=429), change(status=None)),
            "slow": (change(delay_seconds=SLOW_STORE_SECONDS), change(delay_seconds=0)),
            "lost answers": (change(lose_writes=LOST_RESPONSES), _do_nothing),
            "compaction": (self.store.compact, _do_nothing),
            "configuration": (self.publish_configuration, _do_nothing),
            "restore": (change(status=503), self._restore_store),
        }

    def _restore_store(self) -> None:
        """End an outage with an older copy, and write the operator's entry again."""
        self.store.faults.status = None
        self.store.restore(self._copies[0])
        # Runners that have ended write no entries, so these lapse.
        alive = {self.runners[name].id for name in self._target_states}
        for name in self.store.objects.get("servers", {}).keys() - alive:
            self.store.remove("servers", name)
        self._publish_current()

    def _find_runner_actions(self, runner: Runner) -> dict[str, Any]:
        faults, defaults = runner.faults, RunnerFaults()
        name = _get_name(runner)
        proxy = self.proxies[name]

        def change(field: str, value: Any) -> Any:
            return (
                lambda: setattr(faults, field, value),
                lambda: setattr(faults, field, getattr(defaults, field)),
            )

        def refuse(share: float | None) -> None:
            faults.shed = share is not None
            faults.shed_share = defaults.shed_share if share is None else share

        def restart() -> None:
            runner.born += 1
            runner.orders = 0
            runner.handles.clear()
            proxy.disturb(Disturbance.NONE)
            self._register(runner)

        def release() -> None:
            """Start the runner again at another version, under an id of its own."""
            self._remove(runner)
            others = [v for v in self.versions if v != runner.version]
            if others:
                runner.version = others[runner.born % len(others)]
                runner.id = f"{name}-{runner.born + 1}"
            restart()

        def end_entry() -> None:
            self._remove(runner)
            proxy.disturb(Disturbance.RESET)

        return {
            "release": (end_entry, release),
            "shed": (lambda: refuse(1.0), lambda: refuse(None)),
            "shed half": (lambda: refuse(0.5), lambda: refuse(None)),
            "crash": change("crash", True),
            "break": change("break_after", 2),
            "slow": change("delay_seconds", SLOW_RESPONSE_SECONDS),
            "wrong id": change("wrong_id", True),
            "unsigned": change("unsigned", True),
            "lost handles": change("lose_handles", True),
            "changing": change("changing", True),
            "restart": (lambda: proxy.disturb(Disturbance.RESET), restart),
            # A target that has reported draining serves again only after a restart.
            "leave": (lambda: self._register(runner, "draining"), restart),
            "lapse": (
                lambda: self._remove(runner),
                lambda: self._register(runner),
            ),
        }

    async def _change_settings(self, daemon: Daemon) -> None:
        daemon.retry_slack += 1
        daemon.budget_ratio = BUDGET_RATIOS[daemon.retry_slack % len(BUDGET_RATIOS)]
        self._largest_ratio = max(self._largest_ratio, daemon.budget_ratio)
        daemon.write_settings(self.proxies[daemon.name].address)
        await hang_up(daemon)

    async def _write_heartbeats(self) -> None:
        """Rewrite the targets' entries regularly, since orders change their roles."""
        while True:
            self._copies.append(self.store.copy())
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, state in self._target_states.items():
                self._register(self.runners[name], state)

    def _register(self, runner: Runner, state: str = "ready") -> None:
        name = _get_name(runner)
        self._target_states[name] = state
        address = self.proxies[name].address
        self.store.put("servers", runner.id, runner.entry(address=address, state=state))

    def _remove(self, runner: Runner) -> None:
        self._target_states.pop(_get_name(runner), None)
        # An older copy of the store may not have the entry.
        if runner.id in self.store.objects.get("servers", {}):
            self.store.remove("servers", runner.id)

    async def _start_proxy(self, name: str, target: str) -> None:
        self.proxies[name] = Proxy(target)
        await self.proxies[name].start()


def _make_runners() -> list[Runner]:
    return [
        *(Runner(f"p{n}", "lm", DOMAINS[n % 2], stage="prefill") for n in range(3)),
        *(Runner(f"d{n}", "lm", DOMAINS[n % 2], stage="decode") for n in range(2)),
        *(Runner(f"s{n}", "desk", DOMAINS[n % 2]) for n in range(2)),
    ]


def _make_versions(versions: Sequence[str]) -> list[Runner]:
    """Return runners of software versions, whose events name theirs."""
    runners = _make_runners()
    runners += [
        Runner(f"d{n}", "lm", DOMAINS[n % 2], stage="decode")
        for n in range(2, 2 * len(versions))
    ]
    for stage in ("prefill", "decode"):
        staged = [runner for runner in runners if runner.stage == stage]
        for number, runner in enumerate(staged):
            runner.version = versions[number % len(versions)]
            runner.faults.marks_version = True
    return runners


def _get_name(runner: Runner) -> str:
    """Return the name of a runner, which its id keeps over releases."""
    return runner.id.partition("-")[0]


def _split_component(component: str) -> tuple[str, str]:
    group, _, name = component.rpartition(" ")
    return group, name


def _find_fault_key(kind: str) -> str:
    """Return the field that a fault changes; faults of one field replace each other."""
    fields = {"unavailable": "status", "throttled": "status", "restore": "status"}
    fields |= {d.value: "disturbance" for d in Disturbance}
    fields |= {"leave": "entry", "lapse": "entry", "shed half": "shed"}
    return fields.get(kind, kind)


def _assign(faults: StoreFaults, values: dict[str, Any]) -> None:
    for name, value in values.items():
        setattr(faults, name, value)


async def hang_up(daemon: Daemon) -> None:
    """Send SIGHUP as soon as the process does not die of it.

    No process can handle a signal before its interpreter runs. One that has logged
    that it starts gets the signal in any case.
    """
    process = daemon.process
    if process is None:
        return
    while process.status is None and not process.handles(signal.SIGHUP):
        if daemon.has_started():
            break
        await asyncio.sleep(POLL_SECONDS)
    process.send(signal.SIGHUP)


def _do_nothing() -> None:
    """Do nothing, for faults that need no end."""


async def _call(action: Callable[[], Any]) -> None:
    result = action()
    if asyncio.iscoroutine(result):
        await result
