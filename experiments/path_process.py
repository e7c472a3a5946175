"""Start the processes of the path measurement and read their processor time."""

import asyncio
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from aiohttp import web

from galenapass.callers.app import make_runner

__all__ = ["Process", "read_processor_seconds", "serve_process"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
STOP_SECONDS = 10


class Process:
    """Hold one started program that said where it serves."""

    def __init__(self, module: str, *arguments: str):
        command = [sys.executable, "-m", module, *arguments]
        self._popen = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._popen.stdout is not None
        word, _, address = self._popen.stdout.readline().strip().partition(" ")
        if word != "ready":
            raise RuntimeError(f"{module} did not start: {word!r}")
        self.address = address
        self.pid = self._popen.pid

    def stop(self) -> None:
        """End the program and wait for it."""
        self._popen.terminate()
        try:
            self._popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            self._popen.wait()


def read_processor_seconds(pids: Sequence[int]) -> float:
    """Return user and system time of processes, as proc(5) gives it."""
    return sum(_read_ticks(pid) for pid in pids) / TICKS_PER_SECOND


def _read_ticks(pid: int) -> int:
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The name may hold spaces, so fields are counted from behind it; user and
    # system time are fields 14 and 15 of the line.
    fields = text.rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


async def serve_process(app: web.Application) -> None:
    """Serve on a free port, say which one, and go on until killed."""
    runner = make_runner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(f"ready {host}:{port}", flush=True)
    await asyncio.Event().wait()
