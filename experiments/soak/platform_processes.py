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
from stand_ins.metadata_store import MetadataStore
from stand_ins.platform_routes import CONFIGURATION, list_organisations

__all__ = ["PlatformProcesses", "RunnerProcess"]

DOMAINS = ("zone-a", "zone-b")
RETRY_SLACK = 500
TIMEOUT_MS = 8000
ROUTES = [route | {"timeout_ms": TIMEOUT_MS} for route in CONFIGURATION["routes"]]
# An entry lapses after three heartbeats of silence.
LAPSE_SECONDS = 1.5
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

    async def start(self, store: str) -> None:
        """Start the process, which writes its entry to the store."""
        self.starts += 1
        stage = STAGES[self.name[0]]
        options = {
            "--listen": self._listen,
            "--id": self.id,
            "--service": "lm" if stage else "desk",
            "--zone": self._zone,
            "--stage": stage,
            "--store": store,
            "--faults": orjson.dumps(self.faults).decode(),
            "--seed": str(self.starts),
            "--record": str(self._folder / f"{self.name}.record"),
        }
        self.process = await start_process(
            self.name,
            "stand_ins.runner_process",
            [text for option in options.items() for text in option],
            self._folder / f"{self.name}.log",
        )


class PlatformProcesses:
    """The metadata store in this process, and runners and daemons as processes.

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
        self._address = ""
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
        await asyncio.gather(*(r.start(self._address) for r in self.runners.values()))
        await asyncio.gather(*(d.start(self._address) for d in self.daemons.values()))

    async def stop(self) -> list[str]:
        """Stop all parts; return a description of each unclean exit of a daemon."""
        await asyncio.gather(*(d.terminate() for d in self.daemons.values()))
        processes = [runner.process for runner in self.runners.values()]
        await stop_all([process for process in processes if process is not None])
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
            if fault.component in self.daemons:
                await self._stop_daemon(fault)
            else:
                await self._kill_runner(fault)
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
        await daemon.start(self._address)

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
