"""Start Python modules as child processes and stop them."""

import asyncio
import contextlib
import os
import random
import re
import socket
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Process", "find_free_port", "start_process", "stop_all"]

READY_SECONDS = 30.0
STOP_SECONDS = 40.0
READY_PREFIX = b"ready "
PORT_RANGE = range(10_000, 30_000)


@dataclass(slots=True)
class Process:
    """Started child process; ``address`` is the one it announced, or empty."""

    name: str
    child: asyncio.subprocess.Process
    address: str = ""

    @property
    def pid(self) -> int:
        """Return the process identifier."""
        return self.child.pid

    @property
    def status(self) -> int | None:
        """Return the exit status, or None while the process is running."""
        return self.child.returncode

    def send(self, signal_number: int) -> None:
        """Send a signal unless the process has ended."""
        if self.child.returncode is None:
            # Popen.send_signal reaps a child that has ended, and asyncio then reports
            # status 255.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, signal_number)

    def handles(self, signal_number: int) -> bool:
        """Return whether a signal would not have its default action.

        A new process has the default actions until its interpreter sets others.
        """
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except FileNotFoundError:
            return False
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)", text, re.MULTILINE)
        return any(int(mask, 16) >> (signal_number - 1) & 1 for mask in masks)

    async def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for the exit status; raise TimeoutError after ``seconds``."""
        return await asyncio.wait_for(self.child.wait(), seconds)


async def start_process(
    name: str,
    module: str,
    arguments: Sequence[str],
    log: Path,
    *,
    ready: bool = True,
    variables: Mapping[str, str] | None = None,
) -> Process:
    """Start a module; with ``ready``, wait for the line that announces its address.

    ``variables`` are environment variables in addition to those of this process.
    """
    with log.open("ab") as errors:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE if ready else errors,
            stderr=errors,
            env={**os.environ, **(variables or {})},
        )
    process = Process(name, child)
    if ready:
        process.address = await _read_address(process)
    return process


async def _read_address(process: Process) -> str:
    output = process.child.stdout
    if output is None:
        raise ValueError(f"{process.name} has no standard output pipe")
    line = await asyncio.wait_for(output.readline(), READY_SECONDS)
    if not line.startswith(READY_PREFIX):
        raise RuntimeError(f"{process.name} did not become ready: {line!r}")
    return line.removeprefix(READY_PREFIX).decode().strip()


async def stop_all(processes: Sequence[Process]) -> None:
    """Terminate every process; kill those that do not exit in time."""
    for process in processes:
        if process.status is None:
            process.child.terminate()
    for process in processes:
        try:
            await process.wait()
        except TimeoutError:
            process.child.kill()
            await process.child.wait()


_allocated_ports: set[int] = set()


def find_free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free at the moment, for connections and datagrams.

    It is below the range of ephemeral ports, so that no outgoing connection takes it
    before the listening process has started. No port is returned twice.
    """
    candidates = [port for port in PORT_RANGE if port not in _allocated_ports]
    for port in random.sample(candidates, len(candidates)):
        with (
            contextlib.suppress(OSError),
            socket.socket() as probe,
            socket.socket(type=socket.SOCK_DGRAM) as datagram_probe,
        ):
            probe.bind((ip, port))
            datagram_probe.bind((ip, port))
            _allocated_ports.add(port)
            return port
    raise OSError(f"no port of {ip} is free")
