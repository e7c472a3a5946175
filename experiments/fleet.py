"""Run a small fleet: the platform, targets and daemons as separate processes."""

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

__all__ = ["CALLER_KEY", "Answer", "DaemonSpec", "Fleet", "TargetSpec", "TOKEN"]

CALLER_KEY = "guide-key"
TOKEN = "operators-token"
SECRET = "peers-secret"
READY_TRIES = 300
READY_PAUSE = 0.1
JSON = {"Content-Type": "application/json"}


@dataclass(slots=True, frozen=True)
class Answer:
    """Hold what a daemon answered a caller."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class TargetSpec:
    """Describe one target to start; options go to its program."""

    name: str
    domain: str
    service: str = "assistant"
    role: str = "mixed"
    declared_role: str = "auto"
    checks_fencing: bool = True
    options: tuple[str, ...] = ()

    @property
    def is_engine(self) -> bool:
        """Tell whether it is a model engine."""
        return self.service == "assistant"


@dataclass(slots=True)
class DaemonSpec:
    """Describe one daemon to start."""

    name: str
    domain: str
    callers: int = field(default_factory=find_free_port)
    operators: int = field(default_factory=find_free_port)
    peers: int = field(default_factory=find_free_port)
    platform: str = ""
    reach: str = "fleet"

    @property
    def entry(self) -> str:
        """Return the address that callers use."""
        return f"127.0.0.1:{self.callers}"

    @property
    def operators_address(self) -> str:
        """Return the address that operators use."""
        return f"127.0.0.1:{self.operators}"


class Fleet:
    """Hold the processes of one fleet and what a test or a demo asks of them."""

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
        """Start the platform's stand-in."""
        process = await self._start("platform", "stand_ins.platform", options)
        self.platform = process.address

    async def start_targets(self) -> None:
        """Start every target and put all hosts on the platform's list."""
        await asyncio.gather(*(self._start_target(t) for t in self.targets.values()))
        await self.publish_hosts()

    async def start_daemons(self) -> None:
        """Start every daemon."""
        await asyncio.gather(*(self.start_daemon(name) for name in self.daemons))

    async def start_daemon(self, name: str) -> Process:
        """Start one daemon; wait for it with ``wait_ready``."""
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
        others = [f"127.0.0.1:{d.peers}" for d in self.daemons.values() if d != spec]
        return f"""[host]
id = {spec.name}
domain = {spec.domain}

[callers]
listen = {spec.entry}

[operators]
listen = {spec.operators_address}
token = {TOKEN}

[peers]
listen = 127.0.0.1:{spec.peers}
secret = {SECRET}
join = {", ".join(others)}
reach = {spec.reach}

[platform]
address = {spec.platform or self.platform}

[stop]
within = {self.stop_within}
"""

    def format_operators_file(self, weight: float = 1.0, extra: str = "") -> str:
        """Return an operators' file for the targets that run."""
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

    # What is asked of the stand-ins

    async def publish_hosts(self, leaving: Iterable[str] = ()) -> None:
        """Put the daemons and targets on the platform's list."""
        rows = [
            self._make_row(name, "daemon", f"127.0.0.1:{spec.peers}", spec.domain)
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
        """Post JSON to a stand-in."""
        url = f"http://{address}{path}"
        async with self.session.post(url, data=orjson.dumps(value)) as answer:
            if answer.status >= 300:
                text = await answer.text()
                raise RuntimeError(f"{url}: {answer.status} {text}")

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults in force at a stand-in."""
        await self.post(self.processes[name].address, "/stand-in/faults", faults)

    async def read_account(self, name: str) -> dict[str, Any]:
        """Return a stand-in's own record."""
        url = f"http://{self.processes[name].address}/stand-in/account"
        async with self.session.get(url) as answer:
            return orjson.loads(await answer.read())

    async def apply_file(self, text: str) -> int:
        """Write the operators' file straight to the platform; return its version."""
        url = f"http://{self.platform}/objects/configurations/current"
        async with self.session.get(url) as found:
            condition = {"If-None-Match": "*"}
            if found.status == 200:
                condition = {"If-Match": found.headers["ETag"]}
        async with self.session.put(url, data=text, headers=condition) as answer:
            answer.raise_for_status()
            return int(answer.headers["ETag"].strip('"'))

    async def apply_by_tool(self, text: str) -> None:
        """Apply the operators' file through the tool, as an operator does."""
        file = self.folder / "fleet.ini"
        file.write_text(text, encoding="utf-8")
        port = next(iter(self.daemons.values())).operators_address
        arguments = ["apply", str(file), "--daemon", port, "--token", TOKEN]
        log = self.folder / "tool.log"
        tool = await start_process(
            "tool", "galenapass.cli", arguments, log, ready=False
        )
        if await tool.wait():
            raise RuntimeError(log.read_text(encoding="utf-8")[-2000:])

    # What is asked of the daemons

    async def wait_alive(self) -> None:
        """Wait until every daemon answers at all."""
        for spec in self.daemons.values():
            await self._wait_for(f"http://{spec.entry}/healthz", spec.name)

    async def wait_ready(self, names: Iterable[str] = ()) -> None:
        """Wait until daemons take work; raise TimeoutError when they do not."""
        for name in names or self.daemons:
            await self._wait_ready(name)

    async def _wait_ready(self, name: str) -> None:
        await self._wait_for(f"http://{self.daemons[name].entry}/readyz", name)

    async def _wait_for(self, url: str, name: str) -> None:
        for _ in range(READY_TRIES):
            if await self._answers(url):
                return
            await asyncio.sleep(READY_PAUSE)
        log = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        raise TimeoutError(f"{name} does not get ready: {log[-2000:]}")

    async def is_ready(self, name: str) -> bool:
        """Tell whether a daemon says that it takes work."""
        return await self._answers(f"http://{self.daemons[name].entry}/readyz")

    async def _answers(self, url: str) -> bool:
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def ask(
        self, name: str, path: str, body: Any, **headers: str
    ) -> tuple[int, bytes]:
        """Send a caller's request to a daemon; return status and body."""
        answer = await self.send(name, path, body, **headers)
        return answer.status, answer.body

    async def send(self, name: str, path: str, body: Any, **headers: str) -> Answer:
        """Send a caller's request to a daemon; return its whole answer."""
        url = f"http://{self.daemons[name].entry}{path}"
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        named = {"Authorization": f"Bearer {CALLER_KEY}", **JSON, **named}
        data = orjson.dumps(body)
        async with self.session.post(url, data=data, headers=named) as answer:
            return Answer(answer.status, dict(answer.headers), await answer.read())

    async def query_operators_port(self, name: str, path: str) -> dict[str, Any]:
        """Read the operators' port of a daemon."""
        url = f"http://{self.daemons[name].operators_address}{path}"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with self.session.get(url, headers=headers) as answer:
            answer.raise_for_status()
            return orjson.loads(await answer.read())
