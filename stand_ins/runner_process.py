"""Serve a stand-in for a runner as a process that can be killed amid its answers."""

import asyncio
import contextlib
import os
import signal
import time
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import click
import orjson

from stand_ins.runner import Runner, RunnerFaults
from stand_ins.serving import read_faults

__all__ = ["main", "open_record", "serve_runner"]

HEARTBEAT_SECONDS = 0.5
HEARTBEAT_SLACK_SECONDS = 0.1


def open_record(path: Path) -> Any:
    """Return a function that appends a value to a file as one line of JSON.

    The line holds the monotonic time too. The kernel has each line before the call
    returns, so that a kill loses none.
    """
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def record(value: dict[str, Any]) -> None:
        os.write(file, orjson.dumps(value | {"at": time.monotonic()}) + b"\n")

    return record


async def serve_runner(
    runner: Runner, listen: str, store: str, advertise: str = ""
) -> None:
    """Serve a runner until SIGTERM; print ``ready IP:PORT`` first.

    Its entry is written to the store of this address, none if empty, and names the
    address ``advertise`` if that is not empty. With SIGUSR1 the entry says that the
    runner leaves, with SIGUSR2 it is removed; the runner serves on.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopped.set)

    def depart(*, is_removed: bool) -> None:
        heartbeats.cancel()
        runner.faults.leaving = not is_removed
        leaving.append(asyncio.create_task(_leave(runner, store, address, is_removed)))

    await runner.start(listen)
    address = advertise or runner.address
    leaving: list[asyncio.Task[None]] = []
    heartbeats = asyncio.create_task(_write_heartbeats(runner, store, address))
    loop.add_signal_handler(signal.SIGUSR1, lambda: depart(is_removed=False))
    loop.add_signal_handler(signal.SIGUSR2, lambda: depart(is_removed=True))
    print("ready", runner.address, flush=True)
    await stopped.wait()
    heartbeats.cancel()
    await runner.stop()


async def _leave(runner: Runner, store: str, address: str, is_removed: bool) -> None:
    """Have the store show that a runner leaves, and record when it has."""
    url = f"http://{store}/objects/servers/{runner.id}"
    entry = runner.entry(state="draining", address=address)
    body = {"metadata": {"name": runner.id}, "spec": entry}
    # A heartbeat that is on its way would write the entry again.
    await asyncio.sleep(HEARTBEAT_SLACK_SECONDS)
    async with aiohttp.ClientSession() as session:
        call = session.delete(url) if is_removed else session.put(url, json=body)
        async with call:
            runner.on_record({"kind": "left"})


async def _write_heartbeats(runner: Runner, store: str, address: str) -> None:
    """Write the runner's entry regularly, since orders change its stage."""
    objects = f"http://{store}/objects/servers"
    async with aiohttp.ClientSession() as session:
        while store:
            entry = {
                "metadata": {"name": runner.id},
                "spec": runner.entry(address=address),
            }
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(objects, json=entry) as created:
                    status = created.status
                if status == 409:
                    async with session.put(f"{objects}/{runner.id}", json=entry):
                        pass
            await asyncio.sleep(HEARTBEAT_SECONDS)


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 picks one.")
@click.option("--id", "name", required=True, help="Id of the runner.")
@click.option("--service", required=True, help="Service that it runs.")
@click.option("--zone", default="zone-a", show_default=True)
@click.option("--stage", default="", help="prefill or decode; empty for a service.")
@click.option("--store", default="", help="IP:PORT of the metadata store.")
@click.option("--advertise", default="", help="IP:PORT in the entry, if another one.")
@click.option("--faults", default="{}", help="Faults in JSON.")
@click.option("--seed", default=0, help="Seed of the shares of faults.")
@click.option(
    "--record",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File to which handles, runs and pieces are appended as lines of JSON.",
)
def main(
    listen: str,
    name: str,
    service: str,
    zone: str,
    stage: str,
    store: str,
    advertise: str,
    faults: str,
    seed: int,
    record: Path | None,
) -> None:
    """Serve one runner of the platform on loopback until SIGTERM."""
    runner = Runner(
        name,
        service,
        zone,
        stage,
        born=int(time.time() * 1000),
        faults=read_faults(RunnerFaults, faults.encode()),
        random=Random(seed),
    )
    if record is not None:
        runner.on_record = open_record(record)
    asyncio.run(serve_runner(runner, listen, store, advertise))


if __name__ == "__main__":
    main()
