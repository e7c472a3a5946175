"""Run daemons as processes against stand-ins behind proxies, and disturb them."""

import asyncio
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from experiments.processes import Process, find_free_port, start_process
from experiments.soak.faults import Fault
from experiments.soak.proxies import Disturbance, Proxy
from stand_ins.metadata_store import MetadataStore, StoreFaults
from stand_ins.platform_routes import CONFIGURATION, make_route
from stand_ins.runner import Runner, RunnerFaults

__all__ = ["Daemon", "World"]

DOMAINS = ("zone-a", "zone-b")
GRACE_SECONDS = 4.0
EVENT_SECONDS = 0.02
SLOW_SECONDS = 1.0
LOST_ANSWERS = 3
HEARTBEAT_SECONDS = 0.5
# A busy machine takes this long to start an interpreter.
INTERPRETER_SECONDS = 0.3
STARTED = b"daemon starts"
SETTINGS = """\
node_name = "{name}"
ip = "{ip}"
zone = "{domain}"
heartbeat_ms = 500
internal_port_range = [{peers}, {peers}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
budget_ratio = 0.2
retry_slack = {slack}
budget_window_s = 10
grace_s = {grace}
drain_ms = 2000
lease_ms = 2000
contact_ms = 3000
[platform]
address = "{store}"
"""


def _choose_ip() -> str:
    """Return an address of the loopback that no soak beside this one uses."""
    return f"127.1.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"


@dataclass(slots=True)
class Daemon:
    """Hold one daemon's ports, files and process; ``exits`` lists bad ends.

    ``paused_at`` and ``started_at`` are when it was last paused and started, in
    monotonic seconds, ``log_start`` is the length of its log before its last start.
    """

    name: str
    domain: str
    folder: Path
    front: int = 0
    ready: int = 0
    peers: int = 0
    ip: str = field(default_factory=_choose_ip)
    slack: int = 50
    process: Process | None = None
    paused_at: float = 0.0
    started_at: float = 0.0
    log_start: int = 0
    exits: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        ports = (find_free_port(self.ip) for _ in range(3))
        self.front, self.ready, self.peers = ports

    @property
    def address(self) -> str:
        """Return where clients reach it."""
        return f"{self.ip}:{self.front}"

    @property
    def log(self) -> Path:
        """Return the file that holds the lines of all its processes."""
        return self.folder / f"{self.name}.log"

    def write_settings(self, store: str) -> Path:
        """Write the settings file as the platform does."""
        path = self.folder / f"{self.name}.toml"
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            domain=self.domain,
            front=self.front,
            ready=self.ready,
            peers=self.peers,
            slack=self.slack,
            grace=GRACE_SECONDS,
            store=store,
        )
        path.write_text(text)
        return path

    async def start(self, store: str) -> None:
        """Start the process unless it runs."""
        if self.process is not None and self.process.status is None:
            return
        path = self.write_settings(store)
        self.started_at = time.monotonic()
        self.log_start = self.log.stat().st_size if self.log.exists() else 0
        self.process = await start_process(
            self.name,
            "galenapass.platform",
            ["--metrics-port", "0"],
            self.log,
            ready=False,
            variables={"GALENAPASS_CONFIG": str(path)},
        )

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None:
            self.process.send(number)

    def pause(self) -> None:
        """Stop the process until it is continued."""
        self.paused_at = time.monotonic()
        self.send(signal.SIGSTOP)

    async def terminate(self) -> None:
        """Stop the process as the platform does; note an end that is not clean."""
        process = self.process
        if process is None or process.status is not None:
            return
        began = time.monotonic()
        process.send(signal.SIGTERM)
        try:
            status = await self._wait_end(process, began)
        except TimeoutError:
            process.send(signal.SIGKILL)
            await process.wait()
            self.exits.append(f"{self.name} did not stop in {GRACE_SECONDS} s")
            return
        expected = {0, -signal.SIGKILL}
        if STARTED not in self.log.read_bytes()[self.log_start :]:
            # It was stopped before it could serve or handle a signal.
            expected.add(-signal.SIGTERM)
        if status not in expected:
            self.exits.append(f"{self.name} stopped with status {status}")

    async def _wait_end(self, process: Process, began: float) -> int:
        try:
            return await process.wait(GRACE_SECONDS)
        except TimeoutError:
            if self.paused_at + GRACE_SECONDS < began:
                raise
            # It had no processor for a part of its time.
            process.send(signal.SIGCONT)
            return await process.wait(GRACE_SECONDS)


class World:
    """Hold the store, the targets, their proxies and the daemons."""

    def __init__(self, folder: Path, daemons: int):
        self.store = MetadataStore()
        self.runners = {runner.id: runner for runner in _make_runners()}
        self.daemons = {
            daemon.name: daemon
            for daemon in (
                Daemon(f"front-{n}", DOMAINS[n % len(DOMAINS)], folder)
                for n in range(daemons)
            )
        }
        self.links: dict[str, Proxy] = {}
        self.version = 1
        self._web: web.AppRunner | None = None
        self._states: dict[str, str] = {}
        self._heartbeats: asyncio.Task[None] | None = None
        self._last: dict[tuple[str, str], Fault] = {}

    async def start(self) -> None:
        """Start everything; daemons are ready some time later."""
        self._web = web.AppRunner(
            self.store.make_app(), access_log=None, shutdown_timeout=0.1
        )
        await self._web.setup()
        site = web.TCPSite(self._web, "127.0.0.1", 0)
        await site.start()
        host, port = self._web.addresses[0][:2]
        for runner in self.runners.values():
            runner.faults.event_seconds = EVENT_SECONDS
            await runner.start()
            await self._link(runner.id, runner.address)
            self._register(runner)
        self._heartbeats = asyncio.create_task(self._write_heartbeats())
        self.publish_configuration()
        for daemon in self.daemons.values():
            await self._link(daemon.name, f"{host}:{port}")
            await self.start_daemon(daemon.name)

    async def stop(self) -> None:
        """End everything that was started."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for daemon in self.daemons.values():
            daemon.send(signal.SIGCONT)
        await asyncio.gather(*(d.terminate() for d in self.daemons.values()))
        for link in self.links.values():
            await link.stop()
        for runner in self.runners.values():
            await runner.stop()
        if self._web is not None:
            await self._web.cleanup()

    async def start_daemon(self, name: str) -> None:
        """Start a daemon unless it runs."""
        await self.daemons[name].start(self.links[name].address)

    def publish_configuration(self) -> None:
        """Write the next version, which has a route that no other one has."""
        self.version += 1
        route = make_route(f"/version-{self.version}/", "idempotent", "desk")
        routes = [*CONFIGURATION["routes"], route]
        changed = CONFIGURATION | {"version": self.version, "routes": routes}
        self.store.put("config", "main", changed)

    def list_ran(self) -> dict[str, list[str]]:
        """Return the attempts that each target ran."""
        return {name: runner.ran for name, runner in self.runners.items()}

    async def apply(self, fault: Fault) -> None:
        """Bring a fault about, keep it up for its time and end it."""
        group, place = _split_place(fault.place)
        begin, end = self._find_actions(group, place, fault.kind)
        key = (fault.place, _find_field(fault.kind))
        self._last[key] = fault
        await _call(begin)
        await asyncio.sleep(fault.lasts)
        # A later fault of the same kind at the same place goes on.
        if self._last[key] is fault:
            await _call(end)

    def _find_actions(
        self, group: str, place: str, kind: str
    ) -> tuple[Callable[[], Any], Callable[[], Any]]:
        if group == "link":
            link = self.links[place]
            return (
                lambda: link.disturb(Disturbance(kind)),
                lambda: link.disturb(Disturbance.NONE),
            )
        if place == "store":
            return self._find_store_actions()[kind]
        if place in self.daemons:
            return self._find_daemon_actions(self.daemons[place])[kind]
        return self._find_runner_actions(self.runners[place])[kind]

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
        }

    def _find_store_actions(self) -> dict[str, Any]:
        faults = self.store.faults
        change = lambda **values: lambda: _assign(faults, values)  # noqa: E731
        return {
            "garbage": (change(garbage=True), change(garbage=False)),
            "unavailable": (change(status=503), change(status=None)),
            "throttled": (change(status=429), change(status=None)),
            "lost answers": (change(lose_writes=LOST_ANSWERS), _do_nothing),
            "compaction": (self.store.compact, _do_nothing),
            "configuration": (self.publish_configuration, _do_nothing),
        }

    def _find_runner_actions(self, runner: Runner) -> dict[str, Any]:
        faults, plain = runner.faults, RunnerFaults()
        link = self.links[runner.id]

        def change(field: str, value: Any) -> Any:
            return (
                lambda: setattr(faults, field, value),
                lambda: setattr(faults, field, getattr(plain, field)),
            )

        def restart() -> None:
            runner.born += 1
            runner.orders = 0
            runner.handles.clear()
            link.disturb(Disturbance.NONE)
            self._register(runner)

        return {
            "shed": change("shed", True),
            "crash": change("crash", True),
            "break": change("break_after", 2),
            "slow": change("delay_seconds", SLOW_SECONDS),
            "wrong id": change("wrong_id", True),
            "unsigned": change("unsigned", True),
            "lost handles": change("lose_handles", True),
            "changing": change("changing", True),
            "restart": (lambda: link.disturb(Disturbance.RESET), restart),
            "leave": (
                lambda: self._register(runner, "draining"),
                lambda: self._register(runner),
            ),
            "lapse": (
                lambda: self._remove(runner),
                lambda: self._register(runner),
            ),
        }

    def _change_settings(self, daemon: Daemon) -> None:
        daemon.slack += 1
        daemon.write_settings(self.links[daemon.name].address)
        # No program can handle a signal before its interpreter runs.
        if time.monotonic() - daemon.started_at > INTERPRETER_SECONDS:
            daemon.send(signal.SIGHUP)

    async def _write_heartbeats(self) -> None:
        """Write the runners' entries anew, as their roles change by orders."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name, state in self._states.items():
                self._register(self.runners[name], state)

    def _register(self, runner: Runner, state: str = "ready") -> None:
        self._states[runner.id] = state
        address = self.links[runner.id].address
        self.store.put("servers", runner.id, runner.entry(address=address, state=state))

    def _remove(self, runner: Runner) -> None:
        if self._states.pop(runner.id, None) is not None:
            self.store.remove("servers", runner.id)

    async def _link(self, name: str, target: str) -> None:
        self.links[name] = Proxy(target)
        await self.links[name].start()


def _make_runners() -> list[Runner]:
    return [
        *(Runner(f"p{n}", "lm", DOMAINS[n % 2], stage="prefill") for n in range(3)),
        *(Runner(f"d{n}", "lm", DOMAINS[n % 2], stage="decode") for n in range(2)),
        *(Runner(f"s{n}", "desk", DOMAINS[n % 2]) for n in range(2)),
    ]


def _split_place(place: str) -> tuple[str, str]:
    group, _, name = place.rpartition(" ")
    return group, name


def _find_field(kind: str) -> str:
    """Return what a fault changes: two faults of one field replace each other."""
    fields = {"unavailable": "status", "throttled": "status"}
    fields |= {d.value: "disturbance" for d in Disturbance}
    fields |= {"leave": "entry", "lapse": "entry"}
    return fields.get(kind, kind)


def _assign(faults: StoreFaults, values: dict[str, Any]) -> None:
    for name, value in values.items():
        setattr(faults, name, value)


def _do_nothing() -> None:
    """End a fault that ends by itself."""


async def _call(action: Callable[[], Any]) -> None:
    result = action()
    if asyncio.iscoroutine(result):
        await result
