"""Run daemons as the deploy file does, beside stand-ins, for the cases 6 to 10."""

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
from aiohttp import web
from multidict import CIMultiDict

from stand_ins.metadata_store import MetadataStore
from stand_ins.runner_answers import Framing, RawResponse

__all__ = [
    "ATTEMPT",
    "BROKEN",
    "HELD",
    "LIMITS",
    "NOT_RUN",
    "ROOT",
    "SIGNATURE",
    "TROUBLE",
    "Answer",
    "Daemon",
    "Record",
    "Runner",
    "find_free_port",
    "make_route",
    "run_case",
    "send",
    "serve_app",
    "serve_store",
    "start_daemons",
]

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ATTEMPT = "X-Galenapass-Attempt-Id"
SIGNATURE = "X-Galenapass-Response-Signature"
HEARTBEAT_SECONDS = 1.2
# A case may take 120 s in all.
CASE_SECONDS = 112.0
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 15_000,
}
# The example of DEPLOY.md, with the figures of a case in place of some of them.
SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal_port_range = [{peers},{peers}]
seeds = []
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","stream","platform"]
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
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
contact_ms = {contact_ms}
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
{bounds}[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
{tables}"""

Case = Callable[["Record", Path], Awaitable[int]]

_used_ports: set[int] = set()


class Record:
    """File of what was sent, answered and run; times are seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = orjson.dumps(fields).decode() if fields else ""
        self._file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Daemon:
    """One daemon on a loopback address of its own, with the deploy file's command."""

    def __init__(
        self,
        number: int,
        zone: str,
        folder: Path,
        store: str,
        contact_ms: int = 3000,
        bounds: str = "",
        tables: str = "",
    ):
        self.name = f"front-{number}"
        self.zone = zone
        self.ip = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}.{number}"
        self.front, self.ready, self.control, self.peers = (
            find_free_port(self.ip) for _ in range(4)
        )
        self._folder = folder
        self._store = store
        self._contact_ms = contact_ms
        self._bounds = bounds
        self._tables = tables
        self._starts = 0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings and start the process."""
        path = self._folder / f"{self.name}.toml"
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            peers=self.peers,
            bootstrap=str(self._starts == 0).lower(),
            front=self.front,
            ready=self.ready,
            control=self.control,
            contact_ms=self._contact_ms,
            bounds=self._bounds,
            store=self._store,
            tables=self._tables,
        )
        path.write_text(text, encoding="utf-8")
        self._starts += 1
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "galenapass.platform",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._folder),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GALENAPASS_CONFIG": str(path),
                },
            )

    @property
    def status(self) -> int | None:
        """Return the exit status, None while the process runs or before its start."""
        return None if self._process is None else self._process.returncode

    def signal(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the daemon says that it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Wait until the daemon is ready; raise TimeoutError after 20 s."""
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.1)


class Runner:
    """Sound runner of a plain service, which registers itself in the store.

    ``seconds`` is its time for a request. A crash closes its port and connections, and
    it is back later at its address with a new ``born``, under its id if it ``keeps_id``
    and else under a new one; the former entry lapses. ``crashes``
    returns whether a request crashes the runner that begins to run it, ``spoils``
    whether its answer bears the status 101; ``on_run`` is called with the runner and
    each request that it begins to run.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        seconds: float,
        store: MetadataStore,
        crashes: Callable[[web.Request], bool] = lambda request: False,
        on_run: Callable[["Runner", web.Request], None] = lambda runner, request: None,
        restart_seconds: float = 1.5,
        spoils: Callable[[web.Request], bool] = lambda request: False,
        *,
        keeps_id: bool = True,
    ):
        self.id = name
        self.born = int(time.time() * 1000)
        self.crashed_at: list[float] = []
        self._zone = zone
        self._seconds = seconds
        self._store = store
        self._crashes = crashes
        self._on_run = on_run
        self._restart_seconds = restart_seconds
        self._spoils = spoils
        self._name = name
        self._keeps_id = keeps_id
        self._port = find_free_port("127.0.0.1")
        self._site: web.TCPSite | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._server = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )

    @property
    def entry(self) -> dict[str, Any]:
        """Return the runner's entry in the store."""
        return {
            "service": "desk",
            "address": f"127.0.0.1:{self._port}",
            "zone": self._zone,
            "version": "1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": int(time.monotonic()),
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen, and register regularly."""
        await self._server.setup()
        await self._listen()
        self._spawn(self._write_heartbeats())

    async def stop(self) -> None:
        """Close the port and all connections."""
        for task in self._tasks:
            task.cancel()
        await self._server.cleanup()

    def register(self) -> None:
        """Write the entry unless the runner is down."""
        if self._site is not None:
            self._store.put("servers", self.id, self.entry)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _listen(self) -> None:
        self._site = web.TCPSite(
            self._server, "127.0.0.1", self._port, reuse_address=True
        )
        await self._site.start()
        self.register()

    async def _write_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        expected = request.headers.get("X-Galenapass-Expect-Instance", self.id)
        if expected != self.id:
            return web.Response(status=421)
        if request.path == "/healthz":
            return web.Response(headers={"X-Galenapass-Instance-Id": self.id})
        await request.read()
        self._on_run(self, request)
        if self._crashes(request):
            self.crash()
            return web.Response(status=500)
        await asyncio.sleep(self._seconds * random.uniform(0.8, 1.2))
        headers = {ATTEMPT: request.headers.get(ATTEMPT, ""), SIGNATURE: self.id}
        body = b"x" * 800
        if not self._spoils(request):
            return web.Response(body=body, headers=headers)
        headers["Content-Length"] = str(len(body))
        raw = RawResponse(101, CIMultiDict(headers), Framing.LENGTH, asyncio.Lock())
        await raw.prepare(request)
        await raw.write(body)
        await raw.write_eof()
        return raw

    def crash(self) -> None:
        """Close the port and all connections, and come back later."""
        site, self._site = self._site, None
        if site is None:
            return
        self.crashed_at.append(time.monotonic())
        self._spawn(self._come_back(site))
        server = self._server.server
        for connection in list(server.connections if server is not None else ()):
            if connection.transport is not None:
                connection.transport.abort()

    async def _come_back(self, site: web.TCPSite) -> None:
        await site.stop()
        await asyncio.sleep(self._restart_seconds)
        self.born = int(time.time() * 1000)
        if not self._keeps_id:
            self._spawn(self._lapse(self.id))
            self.id = f"{self._name}-{len(self.crashed_at)}"
        await self._listen()

    async def _lapse(self, former: str) -> None:
        await asyncio.sleep(3 * HEARTBEAT_SECONDS - self._restart_seconds)
        self._store.remove("servers", former)


class Answer:
    """What a client got: a status, or 0 and why there is none."""

    def __init__(self, attempt: str, status: int, detail: str = ""):
        self.attempt = attempt
        self.status = status
        self.detail = detail


async def send(
    daemon: Daemon,
    method: str,
    path: str,
    body: bytes = b"",
    deadline_ms: int = 1000,
    headers: str = "",
) -> Answer:
    """Send one client attempt on a connection of its own."""
    attempt = f"{random.getrandbits(64):016x}"
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{ATTEMPT}: {attempt}\r\n"
        f"X-Galenapass-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
        f"{headers}Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 2):
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
            writer.write(head.encode() + body)
            line = await reader.readline()
            await reader.read()
            writer.close()
    except (OSError, TimeoutError) as error:
        return Answer(attempt, 0, type(error).__name__)
    if not line:
        return Answer(attempt, 0, "closed")
    return Answer(attempt, int(line.split()[1]))


def make_route(prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration to the plain service."""
    return {
        "name": prefix.strip("/"),
        "hostname": "a.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "priority": 2,
        "service": "desk",
        "attempts": 1,
        "resumable": False,
    } | changes


def find_free_port(ip: str) -> int:
    """Return a port that is free for connections and datagrams."""
    while True:
        port = random.randrange(10_000, 30_000)
        with (
            contextlib.suppress(OSError),
            socket.socket() as probe,
            socket.socket(type=socket.SOCK_DGRAM) as datagram_probe,
        ):
            if port in _used_ports:
                continue
            probe.bind((ip, port))
            datagram_probe.bind((ip, port))
            _used_ports.add(port)
            return port


@contextlib.asynccontextmanager
async def serve_app(app: web.Application) -> AsyncIterator[str]:
    """Serve an application on a free port and yield its address."""
    server = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await server.setup()
    try:
        await web.TCPSite(server, "127.0.0.1", 0).start()
        ip, port = server.addresses[0][:2]
        yield f"{ip}:{port}"
    finally:
        await server.cleanup()


@contextlib.asynccontextmanager
async def serve_store() -> AsyncIterator[tuple[MetadataStore, str]]:
    """Yield a metadata store and its address."""
    store = MetadataStore()
    async with serve_app(store.make_app()) as address:
        yield store, address


@contextlib.asynccontextmanager
async def start_daemons(daemons: list[Daemon]) -> AsyncIterator[None]:
    """Start daemons together and wait until they are ready; kill them in the end."""
    try:
        await asyncio.gather(*(daemon.start() for daemon in daemons))
        await asyncio.gather(*(daemon.wait_ready() for daemon in daemons))
        yield
    finally:
        await asyncio.gather(*(daemon.kill() for daemon in daemons))


def run_case(case: Case, folder: Path) -> None:
    """Run a case, which returns the exit status, and exit with it."""
    record = Record(folder / "record.txt")

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as scratch:
            try:
                async with asyncio.timeout(CASE_SECONDS):
                    return await case(record, Path(scratch))
            except Exception as error:
                record.write("the case could not run", error=repr(error))
                return NOT_RUN

    status = asyncio.run(run())
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
    record.write(names[status], trouble=TROUBLE)
    record.close()
    print(names[status])
    sys.exit(status)
