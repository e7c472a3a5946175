"""Run the raw targets and peers of a test as processes that can be killed."""

import asyncio
import contextlib
import itertools
import json
import os
import socket
import sys
import time

START_SECONDS = 10.0

_numbers = itertools.count(1)


class TargetProcess:
    """Process of a raw target, ``name`` in the store, or of another ``module``.

    ``records`` is what it wrote so far, in order, ``replacement`` the process that has
    taken its port over.
    """

    def __init__(self, name, options, module="tests.raw_target"):
        self.name = name
        self.module = module
        self.options = options
        self.port = options.get("port", 0)
        self.records = []
        self.replacement = None
        self._child = None
        self._reading = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    @property
    def runs(self):
        return [r["attempt"] for r in self.records if r["kind"] == "run"]

    def find(self, kind):
        """Return the first record of a kind, None if there is none."""
        return next((r for r in self.records if r["kind"] == kind), None)

    def count(self, kind):
        """Return the number of records of a kind."""
        return sum(r["kind"] == kind for r in self.records)

    async def start(self):
        """Start the process; it does not listen yet."""
        self._child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            json.dumps({"port": self.port, **self.options}),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())
        await self.wait_for("ready")

    async def listen(self):
        self.tell("listen")
        self.port = (await self.wait_for("listening"))["port"]

    def tell(self, line):
        self._child.stdin.write(line.encode() + b"\n")

    async def wait_for(self, kind):
        """Return the first record of a kind."""
        async with asyncio.timeout(START_SECONDS):
            while self.find(kind) is None:
                await asyncio.sleep(0.001)
        return self.find(kind)

    async def kill(self):
        """Kill the process with SIGKILL and wait for its end."""
        if self._child.returncode is None:
            self._child.kill()
        await self._child.wait()

    def kill_and_replace(self, other):
        """Kill the process and let another one listen at its port, in one go.

        This process reads nothing meanwhile, as on a busy host.
        """
        self._child.kill()
        # A thread of the event loop may have waited for it first.
        with contextlib.suppress(ChildProcessError):
            os.waitid(os.P_PID, self._child.pid, os.WEXITED | os.WNOWAIT)
        other.tell("listen")
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            with contextlib.suppress(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", self.port)).close()
                return
            time.sleep(0.001)
        raise TimeoutError(f"nothing listens at {self.port}")

    async def stop(self):
        if self.replacement is not None:
            await self.replacement.stop()
        if self._child is None:
            return
        await self.kill()
        await self._reading
        with contextlib.suppress(OSError):
            self._child.stdin.close()

    async def _read(self):
        while line := await self._child.stdout.readline():
            self.records.append(json.loads(line))


@contextlib.asynccontextmanager
async def run_targets(fleet, count=2, on_start=None, **options):
    """Yield targets that replace those of a service, or those that decode streams.

    ``on_start`` is called with the address of each before it is in the store.
    """
    model = fleet.decode if options["stream"] else fleet.plain
    targets = [TargetProcess(f"raw{next(_numbers)}", options) for _ in range(count)]
    try:
        for target in targets:
            await target.start()
            await target.listen()
            if on_start is not None:
                await on_start(target.address)
            entry = model.entry(address=target.address, born=5)
            fleet.store.put("servers", target.name, entry)
        stored = fleet.store.objects["servers"]
        for name in {"d1", "d2"} if options["stream"] else {"s1", "s2"}:
            if name in stored:
                fleet.store.remove("servers", name)
        names = {target.name for target in targets}
        await fleet.wait_for(
            lambda: all(
                list_targets(daemon, model.service) == names for daemon in fleet.daemons
            )
        )
        yield targets
    finally:
        for target in targets:
            if target.name in fleet.store.objects["servers"]:
                fleet.store.remove("servers", target.name)
            await target.stop()


def list_targets(daemon, service):
    """Return the ids of the targets of a service but for the one that prefills."""
    known = daemon.fleet.targets.items()
    return {n for n, target in known if target.service == service} - {"e1"}
