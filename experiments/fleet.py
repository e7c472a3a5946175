"""Run a small fleet of the platform stand-in, targets and daemons as processes."""

import asyncio
import hashlib
import signal
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import orjson

from experiments.processes import Process, find_free_port, start_process, stop_all

__all__ = ["CALLER_KEY", "DaemonSpec", "Fleet", "Response", "TargetSpec", "TOKEN"]

CALLER_KEY = "guide-key"
TOKEN = "operators-token"
SECRET = "peers-secret"
READY_ATTEMPTS = 300
READY_POLL_SECONDS = 0.1
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class Response:
    """Response of a daemon to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class TargetSpec:
    """Specification of a target to start; ``options`` are passed to its program."""

    name: str
    domain: str
    service: str = "assistant"
    role: str = "mixed"
    declared_role: str = "auto"
    checks_fencing: bool = True
    options: tuple[str, ...] = ()

    @property
    def is_engine(self) -> bool:
        """Return whether the target is a model engine."""
        return self.service == "assistant"


@dataclass(slots=True)
class DaemonSpec:
    """Specification of a daemon to start; ports on the loopback interface."""

    name: str
    domain: str
    callers_port: int = field(default_factory=find_free_port)
    operators_port: int = field(default_factory=find_free_port)
    peers_port: int = field(default_factory=find_free_port)
    platform: str = ""
    reach: str = "fleet"

    @property
    def entry(self) -> str:
        """Return the address that callers use."""
        return f"127.0.0.1:{self.callers_port}"

    @property
    def operators_address(self) -> str:
        """Return the address that operators use."""
        return f"127.0.0.1:{self.operators_port}"


class Fleet:
    """Processes of one fleet, with the requests that tests send to them."""

    def __init__(self, daemons: Iterable[DaemonSpec], targets: Iterable[TargetSpec]):
        self.daemons = {spec.name: spec for spec in daemons}
        self.targets = {spec.name: spec for spec in targets}
        self.processes: dict[str, Process] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="galenapass-"))
        self.platform = ""
        self.patience = "20 s"
        self.stop_within = "20 s"

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *error: object) -> None:
        for process in self.processes.values():
            process.send(signal.SIGCONT)
        await self.session.close()
        await stop_all(list(self.processes.values()))

    # Processes

    async def start_platform(self, *options: str) -> None:
        """Start the stand-in for the platform."""
        process = await self._start("platform", "stand_ins.platform", options)
        self.platform = process.address

    async def start_targets(self) -> None:
        """Start every target and publish all hosts to the platform."""
        await asyncio.gather(*(self._start_target(t) for t in self.targets.values()))
        await self.publish_hosts()

    async def start_daemons(self) -> None:
        """Start every daemon."""
        await asyncio.gather(*(self.start_daemon(name) for name in self.daemons))

    async def start_daemon(self, name: str) -> Process:
        """Start one daemon without waiting until it is ready; see ``wait_ready``."""
        spec = self.daemons[name]
        file = self.folder / f"{name}.ini"
        file.write_text(self._write_settings(spec), encoding="utf-8")
        log = self.folder / f"{name}.log"
        process = await start_process(
            name, "galenapass.daemon", [str(file)], log, ready=False
        )
        self.processes[name] = process
        return process

    async def _start_target(self, spec: TargetSpec) -> None:
        options: tuple[str, ...] = spec.options
        module = "stand_ins.service"
        if spec.is_engine:
            module = "stand_ins.engine"
            fencing = "yes" if spec.checks_fencing else "no"
            options = ("--role", spec.role, "--fencing", fencing, *options)
        await self._start(spec.name, module, options)

    async def _start(self, name: str, module: str, options: Iterable[str]) -> Process:
        log = self.folder / f"{name}.log"
        process = await start_process(
            name, module, ["--listen", "127.0.0.1:0", *options], log
        )
        self.processes[name] = process
        return process

    # Files

    def _write_settings(self, spec: DaemonSpec) -> str:
        other_peers = [
            f"127.0.0.1:{d.peers_port}" for d in self.daemons.values() if d != spec
        ]
        return f"""[host]
id = {spec.name}
domain = {spec.domain}

[callers]
listen = {spec.entry}

[operators]
listen = {spec.operators_address}
token = {TOKEN}

[peers]
listen = 127.0.0.1:{spec.peers_port}
secret = {SECRET}
join = {", ".join(other_peers)}
reach = {spec.reach}

[platform]
address = {spec.platform or self.platform}

[stop]
within = {self.stop_within}
"""

    def format_operators_file(self, weight: float = 1.0, extra: str = "") -> str:
        """Return an operators' file that configures the running targets."""
        hashed = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
        parts = [
            f"[fleet]\nrole change weight = {weight}\nquarantine = 5 s\n",
            "[service assistant]\nkind = engine\nmodel = juniper-8b\n",
            "[service booking]\nkind = plain\nrepeatable calls = GET /seats\n",
        ]
        parts += [self._write_target(spec) for spec in self.targets.values()]
        parts.append(
            f"[caller guides]\nkey sha256 = {hashed}\n"
            "services = assistant, booking\nurgency = urgent\n"
            f"urgent patience = {self.patience}\n"
            "patience = 60 s\nrate = 200 req/s\n"
        )
        return "\n".join([*parts, extra])

    def _write_target(self, spec: TargetSpec) -> str:
        lines = [
            f"[target {spec.name}]",
            f"service = {spec.service}",
            f"address = {self.processes[spec.name].address}",
            f"domain = {spec.domain}",
        ]
        if spec.is_engine:
            lines.append(f"role = {spec.declared_role}")
            fencing = "yes" if spec.checks_fencing else "no"
            lines.append(f"checks fencing = {fencing}")
        return "\n".join([*lines, ""])

    # Requests to the stand-ins

    async def publish_hosts(self, leaving: Iterable[str] = ()) -> None:
        """Publish the daemons and targets to the platform; ``leaving`` lists ids."""
        rows = [
            self._make_row(name, "daemon", f"127.0.0.1:{spec.peers_port}", spec.domain)
            for name, spec in self.daemons.items()
        ]
        rows += [
            self._make_row(name, "target", self.processes[name].address, spec.domain)
            for name, spec in self.targets.items()
        ]
        for row in rows:
            row["state"] = "leaving" if row["id"] in leaving else "live"
        await self.post(self.platform, "/stand-in/hosts", {"hosts": rows})

    def _make_row(
        self, name: str, kind: str, address: str, domain: str
    ) -> dict[str, Any]:
        return {
            "id": name,
            "kind": kind,
            "address": address,
            "domain": domain,
            "incarnation": 1,
        }

    async def post(self, address: str, path: str, value: Any) -> None:
        """Post JSON to a stand-in; raise RuntimeError on an error status."""
        url = f"http://{address}{path}"
        async with self.session.post(url, data=orjson.dumps(value)) as response:
            if response.status >= 300:
                text = await response.text()
                raise RuntimeError(f"{url}: {response.status} {text}")

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the active faults of a stand-in."""
        await self.post(self.processes[name].address, "/stand-in/faults", faults)

    async def read_account(self, name: str) -> dict[str, Any]:
        """Return the stand-in's record of its work, such as runs and orders."""
        url = f"http://{self.processes[name].address}/stand-in/account"
        async with self.session.get(url) as response:
            return orjson.loads(await response.read())

    async def apply_file(self, text: str) -> int:
        """Write the operators' file directly to the platform; return its version."""
        url = f"http://{self.platform}/objects/configurations/current"
        async with self.session.get(url) as current:
            condition = {"If-None-Match": "*"}
            if current.status == 200:
                condition = {"If-Match": current.headers["ETag"]}
        async with self.session.put(url, data=text, headers=condition) as response:
            response.raise_for_status()
            return int(response.headers["ETag"].strip('"'))

    async def apply_by_tool(self, text: str) -> None:
        """Apply the operators' file with the command-line tool, as an operator does."""
        file = self.folder / "fleet.ini"
        file.write_text(text, encoding="utf-8")
        address = next(iter(self.daemons.values())).operators_address
        arguments = ["apply", str(file), "--daemon", address, "--token", TOKEN]
        log = self.folder / "tool.log"
        tool = await start_process(
            "tool", "galenapass.cli", arguments, log, ready=False
        )
        if await tool.wait():
            raise RuntimeError(log.read_text(encoding="utf-8")[-2000:])

    # Requests to the daemons

    async def wait_alive(self) -> None:
        """Wait until every daemon passes its health check."""
        for spec in self.daemons.values():
            await self._wait_for(f"http://{spec.entry}/healthz", spec.name)

    async def wait_ready(self, names: Iterable[str] = ()) -> None:
        """Wait until daemons accept requests; raise TimeoutError if one does not."""
        for name in names or self.daemons:
            await self._wait_ready(name)

    async def _wait_ready(self, name: str) -> None:
        await self._wait_for(f"http://{self.daemons[name].entry}/readyz", name)

    async def _wait_for(self, url: str, name: str) -> None:
        for _ in range(READY_ATTEMPTS):
            if await self._responds_ok(url):
                return
            await asyncio.sleep(READY_POLL_SECONDS)
        log = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        raise TimeoutError(f"{name} did not become ready: {log[-2000:]}")

    async def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        return await self._responds_ok(f"http://{self.daemons[name].entry}/readyz")

    async def _responds_ok(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def request(
        self, name: str, path: str, body: Any, **headers: str
    ) -> tuple[int, bytes]:
        """Send a caller's request to a daemon; return status and body."""
        response = await self.send(name, path, body, **headers)
        return response.status, response.body

    async def send(self, name: str, path: str, body: Any, **headers: str) -> Response:
        """Send a caller's request to a daemon; return the complete response."""
        url = f"http://{self.daemons[name].entry}{path}"
        all_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        all_headers = {
            "Authorization": f"Bearer {CALLER_KEY}",
            **JSON_HEADERS,
            **all_headers,
        }
        data = orjson.dumps(body)
        async with self.session.post(url, data=data, headers=all_headers) as response:
            return Response(
                response.status, dict(response.headers), await response.read()
            )

    async def query_operators_port(self, name: str, path: str) -> dict[str, Any]:
        """Return the JSON of a path of a daemon's operators' port."""
        url = f"http://{self.daemons[name].operators_address}{path}"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return orjson.loads(await response.read())
