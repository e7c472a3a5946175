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


def open_record(path: Path) -> Any:
    """Return a function that appends a value to a file as one line of JSON.

    The kernel has each line before the call returns, so that a kill loses none.
    """
    file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def record(value: dict[str, Any]) -> None:
        os.write(file, orjson.dumps(value) + b"\n")

    return record


async def serve_runner(runner: Runner, listen: str, store: str) -> None:
    """Serve a runner until SIGTERM; print ``ready IP:PORT`` first.

    Its entry is written to the store of this address, none if empty.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopped.set)
    await runner.start(listen)
    heartbeats = asyncio.create_task(_write_heartbeats(runner, store))
    print("ready", runner.address, flush=True)
    await stopped.wait()
    heartbeats.cancel()
    await runner.stop()


async def _write_heartbeats(runner: Runner, store: str) -> None:
    """Write the runner's entry regularly, since orders change its stage."""
    objects = f"http://{store}/objects/servers"
    async with aiohttp.ClientSession() as session:
        while store:
            entry = {"metadata": {"name": runner.id}, "spec": runner.entry()}
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
    asyncio.run(serve_runner(runner, listen, store))


if __name__ == "__main__":
    main()
