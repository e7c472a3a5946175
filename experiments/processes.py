"""Start the project's programs as separate processes and stop them by pid."""

import asyncio
import contextlib
import os
import random
import socket
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Process", "find_free_port", "start_process", "stop_all"]

READY_SECONDS = 30.0
STOP_SECONDS = 40.0
READY = b"ready "
PORTS = range(10_000, 30_000)


@dataclass(slots=True)
class Process:
    """Hold one started process; ``address`` is what it said it serves, if it did."""

    name: str
    inner: asyncio.subprocess.Process
    address: str = ""

    @property
    def pid(self) -> int:
        """Return the process identifier."""
        return self.inner.pid

    @property
    def status(self) -> int | None:
        """Return the exit status, or None while it runs."""
        return self.inner.returncode

    def send(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        if self.inner.returncode is None:
            self.inner.send_signal(number)

    async def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Return the exit status; raise TimeoutError when it does not end."""
        return await asyncio.wait_for(self.inner.wait(), seconds)


async def start_process(
    name: str,
    module: str,
    arguments: Sequence[str],
    log: Path,
    *,
    ready: bool = True,
    variables: Mapping[str, str] | None = None,
) -> Process:
    """Start a module; with ``ready`` wait for its line that names its address.

    ``variables`` are added to this process's environment.
    """
    with log.open("ab") as errors:
        inner = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if ready else errors,
            stderr=errors,
            env={**os.environ, **(variables or {})},
        )
    process = Process(name, inner)
    if ready:
        process.address = await _read_address(process)
    return process


async def _read_address(process: Process) -> str:
    output = process.inner.stdout
    if output is None:
        raise ValueError(f"{process.name} has no output to read")
    line = await asyncio.wait_for(output.readline(), READY_SECONDS)
    if not line.startswith(READY):
        raise RuntimeError(f"{process.name} did not get ready: {line!r}")
    return line.removeprefix(READY).decode().strip()


async def stop_all(processes: Sequence[Process]) -> None:
    """End every process, kindly first."""
    for process in processes:
        if process.status is None:
            process.inner.terminate()
    for process in processes:
        try:
            await process.wait()
        except TimeoutError:
            process.inner.kill()
            await process.inner.wait()


_given_ports: set[int] = set()


def find_free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that nothing listens on at the moment.

    It lies below the ports that outgoing connections take, so none takes it before
    the process that is to listen has started. No port is given twice.
    """
    free = [port for port in PORTS if port not in _given_ports]
    for port in random.sample(free, len(free)):
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, port))
            _given_ports.add(port)
            return port
    raise OSError(f"no port of {ip} is free")
