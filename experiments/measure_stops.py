"""Measure what daemons that stop as planned serve, refuse and cut off.

Requests are sent at a steady rate, each on a connection that was opened before. A
request that is refused, or not read, is sent once more to the next daemon.
"""

import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from random import Random

import click

from experiments.soak.environment import Daemon, Environment
from experiments.soak.raw_requests import Exchange, make_request, read_answer
from experiments.soak.runs import wait_ready
from stand_ins.platform_routes import CONFIGURATION

__all__ = ["main"]

USUAL_ANSWERS = 60
USUAL_AT_ONCE = 6
RATE = 5.0  # requests a second of each kind
LONG_SHARE = 0.05
# Of the grace period; longer answers can't end in time once it is half over.
LONG_WORK_SHARE = 0.6
SHORT_SECONDS = 0.3
TOKEN_SECONDS = 0.1
# Until then idle connections stay open, as a share of the grace period.
SEND_SHARE = 0.6
ANSWER_SHARE = 0.9
RUNNER_SLOTS = 64


@dataclass(slots=True, frozen=True)
class Kind:
    """Kind of request; ``tokens`` is the most output that it allows."""

    name: str
    path: str
    deadline_ms: int
    tokens: int = 4


KINDS = (
    Kind("stream of at most 4 tokens", "/notes/", 30_000, 4),
    Kind("stream of at most 200 tokens", "/notes/", 30_000, 200),
    Kind("call that may be repeated", "/seats/", 30_000),
    Kind("call that may run once", "/hold/", 30_000),
    Kind("the same with 1.5 s to its deadline", "/hold/", 1500),
)


class Connection:
    """Client's connection to one daemon."""

    def __init__(self, daemon: Daemon):
        self._daemon = daemon

    async def open(self) -> "Connection":
        """Open the connection and return this object."""
        self._reader, self._writer = await asyncio.open_connection(
            self._daemon.ip, self._daemon.front_port
        )
        return self

    async def ask(self, kind: Kind, work: float, attempt: str) -> Exchange:
        """Send one request whose answer takes ``work`` seconds."""
        events = max(round(work / TOKEN_SECONDS), 1)
        pace = work / events if kind.tokens > events else work / kind.tokens
        events = min(events, kind.tokens)
        is_stream = kind.path == "/notes/"
        query = f"events={events}&seconds={pace if is_stream else work}"
        path = f"{kind.path}1?{query}"
        exchange = Exchange(attempt, time.monotonic())
        data = make_request(path, attempt, kind.deadline_ms, output_tokens=kind.tokens)
        with contextlib.suppress(OSError):
            self._writer.write(data)
        await read_answer(self._reader, exchange)
        self._writer.close()
        return exchange


class Measurement:
    """Daemons that stop in turn, and the requests sent to them meanwhile."""

    def __init__(self, environment: Environment, grace: float, share: float, seed: int):
        self.counts: dict[str, Counter[str]] = {kind.name: Counter() for kind in KINDS}
        self._environment = environment
        self._daemons = list(environment.daemons.values())
        self._grace = grace
        self._long_share = share
        self._random = Random(seed)
        self._number = 0

    def _draw_work(self) -> float:
        is_long = self._random.random() < self._long_share
        return self._grace * LONG_WORK_SHARE if is_long else SHORT_SECONDS

    async def warm_up(self) -> None:
        """Send the answers before the stop to each daemon."""
        limit = asyncio.Semaphore(USUAL_AT_ONCE * len(self._daemons) * len(KINDS))

        async def ask(daemon: Daemon, kind: Kind) -> None:
            async with limit:
                connection = await Connection(daemon).open()
                await connection.ask(kind, self._draw_work(), self._name())

        await asyncio.gather(
            *(
                ask(daemon, kind)
                for _ in range(USUAL_ANSWERS)
                for daemon in self._daemons
                for kind in KINDS
            )
        )

    async def stop(self, index: int) -> None:
        """Stop one daemon, and send it requests until its idle connections close."""
        daemon = self._daemons[index]
        steps = int(self._grace * SEND_SHARE * RATE)
        idle = [
            (kind, n / RATE, await Connection(daemon).open())
            for kind in KINDS
            for n in range(steps)
        ]
        began = time.monotonic()
        ending = asyncio.create_task(daemon.terminate())
        await asyncio.gather(
            *(self._ask_at(began, at, index, kind, c) for kind, at, c in idle)
        )
        await ending

    async def _ask_at(
        self, began: float, at: float, index: int, kind: Kind, connection: Connection
    ) -> None:
        work = self._draw_work()
        await asyncio.sleep(max(began + at - time.monotonic(), 0))
        exchange = await connection.ask(kind, work, self._name())
        counts = self.counts[kind.name]
        counts["sent"] += 1
        in_time = at + work <= self._grace * ANSWER_SHARE
        counts["could end in time"] += in_time
        outcome = self._classify(exchange)
        counts[outcome] += 1
        if outcome not in ("refused", "not read") or len(self._daemons) == 1:
            return
        other = await Connection(self._daemons[index + 1]).open()
        again = await other.ask(kind, work, self._name())
        counts[f"then {self._classify(again)}"] += 1

    def _classify(self, exchange: Exchange) -> str:
        if exchange.is_whole:
            names = {200: "served", 503: "refused"}
            return names.get(exchange.status, f"ended with {exchange.status}")
        received = self._environment.list_received()
        return "cut off" if exchange.attempt in received else "not read"

    def _name(self) -> str:
        self._number += 1
        return f"m{self._number}"


async def _measure(grace: float, share: float, stops: int, seed: int) -> Measurement:
    daemons = 1 if stops == 1 else stops + 1
    routes = [route | {"timeout_ms": 30_000} for route in CONFIGURATION["routes"]]
    with tempfile.TemporaryDirectory() as folder:
        environment = Environment(
            Path(folder), daemons, grace, CONFIGURATION | {"routes": routes}
        )
        for runner in environment.runners.values():
            runner.slots = RUNNER_SLOTS
        try:
            await environment.start()
            if not_ready := await wait_ready(environment):
                raise RuntimeError(", ".join(not_ready))
            measurement = Measurement(environment, grace, share, seed)
            await measurement.warm_up()
            pauses = (n * grace / 2 for n in range(stops))
            await asyncio.gather(
                *(_stop_after(measurement, n, p) for n, p in enumerate(pauses))
            )
            return measurement
        finally:
            await environment.stop()


async def _stop_after(measurement: Measurement, index: int, pause: float) -> None:
    await asyncio.sleep(pause)
    await measurement.stop(index)


def _format(measurement: Measurement) -> Iterator[str]:
    for name, counts in measurement.counts.items():
        figures = ", ".join(f"{key} {count}" for key, count in sorted(counts.items()))
        yield f"  {name}: {figures}"


@click.command()
@click.option("--grace", type=float, default=8.0, show_default=True, help="In seconds.")
@click.option("--stops", type=int, default=1, show_default=True)
@click.option("--mixed", is_flag=True, help="Let some answers be long.")
@click.option("--seed", type=int, default=1, show_default=True)
def main(grace: float, stops: int, mixed: bool, seed: int) -> None:
    """Print what became of the requests of each kind."""
    share = LONG_SHARE if mixed else 0.0
    measurement = asyncio.run(_measure(grace, share, stops, seed))
    lengths = "mixed" if mixed else "short"
    click.echo(f"grace {grace:g} s, {lengths} answers, {stops} stops, seed {seed}")
    for line in _format(measurement):
        click.echo(line)


if __name__ == "__main__":
    main()
