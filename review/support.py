"""Run the deployed daemons as processes against stand-ins of the platform.

The store, the runners and the clients run in the process of the case; each daemon is
a process of its own, started with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from experiments.processes import find_free_port
from stand_ins.metadata_store import MetadataStore
from stand_ins.platform_routes import HOST
from stand_ins.runner import Runner

__all__ = [
    "BROKEN",
    "CONTACT_SECONDS",
    "HELD",
    "NOT_RUN",
    "Daemon",
    "Platform",
    "Record",
    "is_troubled",
    "main",
]

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bound `contact_ms` of the deployments.
CONTACT_SECONDS = 3.0
ZONES = ("zone-a", "zone-b", "zone-c")
MAX_SECONDS = 110.0
READY_SECONDS = 20.0
# The settings file as the users' page shows it, with the bounds of a small deployment.
SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region-a"
internal_port_range = [{peers_port},{peers_port}]
seeds = []
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = [
  "base","drain","config","cost","retry","recover","split","stream","engine","platform",
]

[zones]
zone-a = "region-a"
zone-b = "region-a"
zone-c = "region-a"

[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"

[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 2
zones = 1
regions = 0

[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
recovery_s = 12
transit_ms = 120
retry_after_s = 8.4
checks_fence = false
lease_ms = 3000
thaw_slack_ms = 300

[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def is_troubled() -> bool:
    """Return whether the disruption of the case is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt``, with seconds since the start of the case."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        moment = self.now() if at is None else at
        self._file.write(f"{moment:8.3f} {text}\n")
        self._file.flush()


class Daemon:
    """Settings and process of one daemon on a loopback address of its own."""

    def __init__(self, folder: Path, name: str, zone: str, ip: str):
        self.name, self.zone, self.ip = name, zone, ip
        ports = [find_free_port(ip) for _ in range(4)]
        self.front_port, self.ready_port, self.control_port, self.peers_port = ports
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._starts = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, store: str) -> None:
        """Start the process with the command of the deploy file."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                bootstrap=str(not self._starts).lower(),
                front_port=self.front_port,
                ready_port=self.ready_port,
                control_port=self.control_port,
                peers_port=self.peers_port,
                store=store,
            )
        )
        self._starts += 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        usual = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **usual,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "GALENAPASS_CONFIG": str(self._settings),
                },
            )

    def send(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def status(self) -> int | None:
        """Return the exit status, None while it runs."""
        return None if self.process is None else self.process.poll()


class Platform:
    """The store, the runners, the daemons and one client session.

    ``store_address`` is where daemons reach the store; a case may set that of a proxy
    before they start.
    """

    def __init__(self, folder: Path, record: Record):
        self.store = MetadataStore()
        self.record = record
        self.runners: list[Runner] = []
        self.daemons: list[Daemon] = []
        self.store_address = ""
        self._folder = folder
        self._ip_base = f"127.{os.getpid() % 199 + 20}.{os.getpid() // 199 % 250}"
        self._servers: list[web.AppRunner] = []
        self._session: aiohttp.ClientSession | None = None

    async def start_store(self, configuration: dict[str, Any]) -> None:
        """Serve the store with a first configuration."""
        self.store.put("config", "main", configuration)
        server = web.AppRunner(
            self.store.make_app(), access_log=None, shutdown_timeout=0.1
        )
        await server.setup()
        await web.TCPSite(server, "127.0.0.1", 0).start()
        ip, port = server.addresses[0][:2]
        self._servers.append(server)
        self.store_address = f"{ip}:{port}"

    async def add_runner(self, runner: Runner) -> Runner:
        """Start a runner and register it."""
        runner.on_restart = lambda former: self.replace_entry(runner, former)
        await runner.start()
        self.runners.append(runner)
        self.register(runner)
        return runner

    def register(self, runner: Runner, **changes: Any) -> None:
        """Write the entry of a runner."""
        slots = 64 if runner.stage else 6
        entry = runner.entry(slots=slots, **changes)
        self.store.put("servers", runner.id, entry)

    def replace_entry(self, runner: Runner, former: str) -> None:
        """Write the entry of a runner that has restarted."""
        if former != runner.id:
            self.store.remove("servers", former)
        self.register(runner)
        self.record.write(f"runner {former} is back as {runner.id}")

    def add_daemon(self, zone: str) -> Daemon:
        """Add a daemon and start it."""
        number = len(self.daemons) + 1
        name = f"front-{zone}-{number}"
        daemon = Daemon(self._folder, name, zone, f"{self._ip_base}.{number}")
        self.daemons.append(daemon)
        daemon.start(self.store_address)
        return daemon

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon says that it is ready."""
        url = f"http://{daemon.ip}:{daemon.ready_port}/readyz"
        async with asyncio.timeout(READY_SECONDS):
            while True:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the session of the clients."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(
                connector=connector, timeout=aiohttp.ClientTimeout(total=20)
            )
        return self._session

    async def ask(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        attempt: str,
        deadline_ms: int,
        body: bytes = b"",
        **headers: str,
    ) -> tuple[int, bytes]:
        """Send a request; return the status, 0 without a whole answer, and the body."""
        sent = {
            "Host": HOST,
            "X-Galenapass-Attempt-Id": attempt,
            "X-Galenapass-Deadline-Ms": str(deadline_ms),
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{daemon.ip}:{daemon.front_port}{path}"
        began = self.record.now()
        self.record.write(f"client sends {attempt} {method} {path} to {daemon.name}")
        status, text = 0, b""
        try:
            async with self.session.request(
                method, url, headers=sent, data=body or None
            ) as response:
                text = await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            text = type(error).__name__.encode()
        took = (self.record.now() - began) * 1000
        detail = text.decode(errors="replace") if not status else ""
        self.record.write(
            f"client gets {status} for {attempt} after {took:.0f} ms {detail}"
        )
        return status, text

    async def stop(self) -> None:
        """End every process and server that was started."""
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.wait()
        if self._session is not None:
            await self._session.close()
        for runner in self.runners:
            await runner.stop()
        for server in self._servers:
            await server.cleanup()


def main(folder: Path, play: Callable[[Platform], Awaitable[int]]) -> None:
    """Play a case and exit with what it returns: HELD, BROKEN or NOT_RUN."""
    random.seed(46)
    sys.exit(asyncio.run(_play(folder, play)))


async def _play(folder: Path, play: Callable[[Platform], Awaitable[int]]) -> int:
    record = Record(folder)
    with tempfile.TemporaryDirectory() as temporary:
        platform = Platform(Path(temporary), record)
        try:
            async with asyncio.timeout(MAX_SECONDS):
                outcome = await play(platform)
        except (TimeoutError, OSError, RuntimeError) as error:
            record.write(f"the case could not run: {error!r}")
            outcome = NOT_RUN
        finally:
            await platform.stop()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.write(words[outcome])
    print(json.dumps({"outcome": words[outcome]}))
    return outcome
