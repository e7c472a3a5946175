"""Run runners and daemons of the platform as processes beside a metadata store."""

import asyncio
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

import orjson
from aiohttp import web

from experiments.processes import Process, find_free_port, start_process, stop_all
from experiments.soak.environment import Daemon
from experiments.soak.faults import Fault
from experiments.soak.platform_faults import draw_runner_faults
from experiments.soak.platform_leaving import Trouble
from experiments.soak.proxies import Disturbance, Proxy
from stand_ins.metadata_store import MetadataStore
from stand_ins.platform_routes import CONFIGURATION, list_organisations

__all__ = ["PlatformProcesses", "RunnerProcess"]

DOMAINS = ("zone-a", "zone-b")
RETRY_SLACK = 500
TIMEOUT_MS = 8000
ROUTES = [route | {"timeout_ms": TIMEOUT_MS} for route in CONFIGURATION["routes"]]
# An entry lapses after three heartbeats of silence.
LAPSE_SECONDS = 1.5
LINK_DISTURBANCES = {
    "silence": Disturbance.SILENCE,
    "reset": Disturbance.RESET,
    "hold": Disturbance.HOLD,
}
STAGES = {"p": "prefill", "d": "decode", "s": ""}


class RunnerProcess:
    """Address, faults and process of one runner; ``starts`` counts its starts."""

    def __init__(self, name: str, zone: str, faults: dict[str, Any], folder: Path):
        self.name = name
        self.id = name
        self.starts = 0
        self.faults = faults
        self.process: Process | None = None
        self._zone = zone
        self._folder = folder
        self._listen = f"127.0.0.1:{find_free_port()}"
        self.link = Proxy(self._listen)

    async def start(self, store: str) -> None:
        """Start the process, which writes its entry to the store."""
        self.starts += 1
        record = self._folder / f"{self.name}.record"
        with record.open("ab") as file:
            line = {"kind": "started", "at": time.monotonic()}
            file.write(orjson.dumps(line) + b"\n")
        stage = STAGES[self.name[0]]
        options = {
            "--listen": self._listen,
            "--advertise": self.link.address,
            "--id": self.id,
            "--service": "lm" if stage else "desk",
            "--zone": self._zone,
            "--stage": stage,
            "--store": store,
            "--faults": orjson.dumps(self.faults).decode(),
            "--seed": str(self.starts),
            "--record": str(record),
        }
        self.process = await start_process(
            self.name,
            "stand_ins.runner_process",
            [text for option in options.items() for text in option],
            self._folder / f"{self.name}.log",
        )


class PlatformProcesses:
    """The metadata store in this process, and runners and daemons as processes.

    Each daemon has a link of its own to the store, each runner one to all daemons;
    ``troubles`` are those of daemons and of links to runners that have ended.
    ``organisations`` are the keys of organisations by name, None if the configuration
    names none.
    """

    def __init__(
        self,
        folder: Path,
        random: Random,
        daemons: int,
        runners: int,
        organisations: dict[str, list[str]] | None = None,
    ):
        self.store = MetadataStore()
        self._configuration = CONFIGURATION | {"routes": ROUTES}
        if organisations is not None:
            self._configuration["tenants"] = list_organisations(organisations)
        self.folder = folder
        self.runners = {}
        for n in range(runners):
            for kind, stage in STAGES.items():
                drawn = draw_runner_faults(random, stage)
                name = f"{kind}{n}"
                self.runners[name] = RunnerProcess(name, DOMAINS[n % 2], drawn, folder)
        self.daemons = {
            f"front-{n}": Daemon(
                f"front-{n}", DOMAINS[n % 2], folder, retry_slack=RETRY_SLACK
            )
            for n in range(daemons)
        }
        self.troubles: list[Trouble] = []
        self._address = ""
        self._store_links: dict[str, Proxy] = {}
        self._server: web.AppRunner | None = None
        self._busy: set[str] = set()

    async def start(self) -> None:
        """Start all parts without waiting until the daemons are ready."""
        self._server = web.AppRunner(
            self.store.make_app(), access_log=None, shutdown_timeout=0.1
        )
        await self._server.setup()
        await web.TCPSite(self._server, "127.0.0.1", 0).start()
        ip, port = self._server.addresses[0][:2]
        self._address = f"{ip}:{port}"
        self.store.put("config", "main", self._configuration)
        for runner in self.runners.values():
            await runner.link.start()
        for name in self.daemons:
            link = self._store_links[name] = Proxy(self._address)
            await link.start()
        await asyncio.gather(*(r.start(self._address) for r in self.runners.values()))
        await asyncio.gather(*(self._start_daemon(name) for name in self.daemons))

    async def _start_daemon(self, name: str) -> None:
        await self.daemons[name].start(self._store_links[name].address)

    async def stop(self) -> list[str]:
        """Stop all parts; return a description of each unclean exit of a daemon."""
        await asyncio.gather(*(d.terminate() for d in self.daemons.values()))
        processes = [runner.process for runner in self.runners.values()]
        await stop_all([process for process in processes if process is not None])
        links = [runner.link for runner in self.runners.values()]
        for link in (*links, *self._store_links.values()):
            await link.stop()
        if self._server is not None:
            await self._server.cleanup()
        return [error for d in self.daemons.values() for error in d.exit_errors]

    async def inject(self, faults: Sequence[Fault], started: float) -> None:
        """Inject faults at their times; ``started`` is in monotonic seconds.

        A fault of a component that is down is left out.
        """

        async def inject_one(fault: Fault) -> None:
            await asyncio.sleep(max(started + fault.at - time.monotonic(), 0))
            if fault.component in self._busy:
                return
            self._busy.add(fault.component)
            acts = {
                "leave": self._leave_runner,
                "remove": self._leave_runner,
                "freeze": self._freeze_daemon,
                "terminate": self._stop_daemon,
            }
            if fault.kind in LINK_DISTURBANCES:
                await self._disturb_link(fault)
            elif fault.kind == "kill" and fault.component in self.daemons:
                await self._stop_daemon(fault)
            else:
                await acts.get(fault.kind, self._kill_runner)(fault)
            self._busy.discard(fault.component)

        await asyncio.gather(*(inject_one(fault) for fault in faults))

    async def _stop_daemon(self, fault: Fault) -> None:
        daemon = self.daemons[fault.component]
        assert daemon.process is not None
        if fault.kind == "terminate":
            await daemon.terminate()
        else:
            daemon.send(signal.SIGKILL)
            await daemon.process.wait()
        await asyncio.sleep(fault.duration)
        await self._start_daemon(fault.component)
        self._record_trouble(fault)

    async def _freeze_daemon(self, fault: Fault) -> None:
        daemon = self.daemons[fault.component]
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(fault.duration)
        daemon.send(signal.SIGCONT)
        self._record_trouble(fault)

    async def _disturb_link(self, fault: Fault) -> None:
        """Disturb a daemon's link to the store, or that of all daemons to a runner."""
        is_runner = fault.component in self.runners
        link = (
            self.runners[fault.component].link
            if is_runner
            else self._store_links[fault.component]
        )
        link.disturb(LINK_DISTURBANCES[fault.kind])
        await asyncio.sleep(fault.duration)
        link.disturb(Disturbance.NONE)
        self._record_trouble(fault)

    def _record_trouble(self, fault: Fault) -> None:
        """Record that a fault has ended, whose component was troubled until now."""
        now = time.monotonic()
        began = now - fault.duration
        self.troubles.append(Trouble(fault.component, began, now))

    async def _leave_runner(self, fault: Fault) -> None:
        """Let a runner leave that serves on for a while, and replace it."""
        runner = self.runners[fault.component]
        assert runner.process is not None
        is_removed = fault.kind == "remove"
        runner.process.send(signal.SIGUSR2 if is_removed else signal.SIGUSR1)
        await asyncio.sleep(fault.duration)
        runner.process.send(signal.SIGKILL)
        await runner.process.wait()
        if runner.id in self.store.objects.get("servers", {}):
            self.store.remove("servers", runner.id)
        runner.id = f"{runner.name}-{runner.starts}"
        await runner.start(self._address)

    async def _kill_runner(self, fault: Fault) -> None:
        """Kill a runner; it starts again, under another id if it is replaced."""
        runner = self.runners[fault.component]
        assert runner.process is not None
        runner.process.send(signal.SIGKILL)
        await runner.process.wait()
        await asyncio.sleep(min(fault.duration, LAPSE_SECONDS))
        is_lapsed = fault.duration > LAPSE_SECONDS
        entries = self.store.objects.get("servers", {})
        if (is_lapsed or fault.kind == "replace") and runner.id in entries:
            self.store.remove("servers", runner.id)
        await asyncio.sleep(max(fault.duration - LAPSE_SECONDS, 0))
        if fault.kind == "replace":
            runner.id = f"{runner.name}-{runner.starts}"
        await runner.start(self._address)
