"""Serve applications of the path measurement and read processor times."""

import asyncio
import os
from pathlib import Path

from aiohttp import web

from galenapass.callers.app import make_runner

__all__ = ["read_processor_seconds", "read_stolen_seconds", "serve_process"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def read_processor_seconds(pid: int) -> float:
    """Return the user and system time of a process in seconds, from proc(5)."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The process name may contain spaces, so fields are counted after it. User and
    # system time are fields 14 and 15 of the line.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_stolen_seconds() -> float:
    """Return the seconds that the hypervisor ran other guests, over all cores."""
    line = Path("/proc/stat").read_text(encoding="ascii").partition("\n")[0]
    # Fields: "cpu", user, nice, system, idle, iowait, irq, softirq, steal.
    return int(line.split()[8]) / TICKS_PER_SECOND


async def serve_process(app: web.Application) -> None:
    """Serve on a free port, print its address, and run until cancelled."""
    runner = make_runner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(f"ready {host}:{port}", flush=True)
    await asyncio.Event().wait()
