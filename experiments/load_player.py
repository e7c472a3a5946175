"""Replay a part of a trace in real time and write the outcome of each request."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from pathlib import Path

import aiohttp
import click
import orjson

from experiments.answers import read_error
from experiments.traces import TRACES, Arrival
from galenapass.tables.requests import Urgency
from stand_ins.engine_text import expected_text

__all__ = ["KEYS", "PATIENCE", "Row", "make_body", "make_trace", "replay"]

PATH = "/v1/completions"
MODEL = "juniper-8b"
BLOCK_BYTES = 256
TOKEN_BYTES = 4
EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
# In seconds. Each class has its own key, since the operators' file sets patience by
# caller.
PATIENCE = {Urgency.URGENT: 8.0, Urgency.NORMAL: 30.0, Urgency.BULK: 60.0}
KEYS = {urgency: f"load-{urgency.name.lower()}" for urgency in Urgency}


@dataclass(slots=True)
class Row:
    """Outcome of one arrival; times in seconds since the start of the trace.

    ``first`` is the time of the first event, ``gaps`` counts the milliseconds between
    successive events, ``whole`` is true when the response is complete and correct.
    """

    number: int
    at: float
    urgency: str
    sent: float = 0.0
    first: float | None = None
    done: float | None = None
    whole: bool = False
    status: int = 0
    id: str = ""
    verdict: str = ""
    reason: str = ""
    gaps: Counter[int] = field(default_factory=Counter)


def make_trace(form: str, seed: int, load: float, seconds: float) -> list[Arrival]:
    """Return a trace with the patience of the operators' file."""
    trace = TRACES[form](seed, load, seconds)
    return [replace(a, patience=PATIENCE[a.urgency]) for a in trace]


def make_body(arrival: Arrival) -> dict[str, object]:
    """Return a request body whose prompt has the arrival's blocks of 256 bytes each."""
    blocks = [(f"{block:016x} " * 16)[:BLOCK_BYTES] for block in arrival.blocks]
    own_bytes = arrival.prompt_tokens * TOKEN_BYTES - BLOCK_BYTES * len(blocks)
    own_text = f"{arrival.at:.9f} ".ljust(max(own_bytes, 0), ".")[: max(own_bytes, 0)]
    return {
        "model": MODEL,
        "prompt": "".join(blocks) + own_text,
        "max_tokens": arrival.output_tokens,
        "stream": True,
    }


async def replay(
    addresses: tuple[str, ...],
    arrivals: list[tuple[int, Arrival]],
    begin: float,
    aftermath: float,
) -> list[Row]:
    """Send each arrival at its time; cancel open ones ``aftermath`` seconds later."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    rows = [Row(n, a.at, a.urgency.name.lower()) for n, a in arrivals]
    tasks = []
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        for row, (_, arrival) in zip(rows, arrivals, strict=True):
            await asyncio.sleep(max(0.0, begin + arrival.at - time.time()))
            request = _send_request(session, addresses, arrival, row, begin)
            tasks.append(asyncio.create_task(request))
        await asyncio.sleep(max(0.0, aftermath))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return rows


async def _send_request(
    session: aiohttp.ClientSession,
    addresses: tuple[str, ...],
    arrival: Arrival,
    row: Row,
    begin: float,
) -> None:
    """Send to a daemon in rotation, or to the next one that accepts the connection."""
    row.sent = time.time() - begin
    body = make_body(arrival)
    for attempt in range(len(addresses)):
        address = addresses[(row.number + attempt) % len(addresses)]
        try:
            await _send_to_daemon(session, address, body, arrival, row, begin)
        except aiohttp.ClientConnectorError:
            continue
        except aiohttp.ClientError as error:
            row.reason = type(error).__name__
        return
    row.reason = "no daemon"


async def _send_to_daemon(
    session: aiohttp.ClientSession,
    address: str,
    body: dict[str, object],
    arrival: Arrival,
    row: Row,
    begin: float,
) -> None:
    headers = {"Authorization": f"Bearer {KEYS[arrival.urgency]}"}
    data = orjson.dumps(body)
    url = f"http://{address}{PATH}"
    async with session.post(url, data=data, headers=headers) as response:
        row.status = response.status
        row.id = response.headers.get("X-Request-Id", "")
        parts = [part async for part in _record_times(response, row, begin)]
    text = b"".join(parts)
    row.whole = (
        row.status == 200
        and text.endswith(DONE_EVENT)
        and _has_expected_text(text, body)
    )
    if row.whole:
        row.done = time.time() - begin
        return
    error = read_error(text) or {}
    row.verdict = str(error.get("verdict", ""))
    row.reason = str(error.get("reason", "broken off"))


async def _record_times(
    response: aiohttp.ClientResponse, row: Row, begin: float
) -> AsyncIterator[bytes]:
    previous = 0.0
    async for part in response.content.iter_any():
        now = time.time() - begin
        if response.status == 200 and EVENT_END in part:
            if row.first is None:
                row.first = now
            else:
                row.gaps[round(1000 * (now - previous))] += 1
            previous = now
        yield part


def _has_expected_text(text: bytes, body: dict[str, object]) -> bool:
    """Return whether the events have exactly the expected text."""
    chunks = [
        orjson.loads(line[6:])
        for line in text.split(b"\n")
        if line.startswith(b"data: {")
    ]
    joined = "".join(
        choice.get("text") or "" for c in chunks for choice in c.get("choices", ())
    )
    return joined == expected_text(body)


@click.command()
@click.argument("addresses", nargs=-1)
@click.option("--form", type=click.Choice(sorted(TRACES)), required=True)
@click.option("--seed", type=int, required=True)
@click.option("--load", type=float, required=True)
@click.option("--seconds", type=float, required=True)
@click.option("--part", type=int, default=0, help="Index of the part to replay.")
@click.option("--parts", type=int, default=1)
@click.option("--begin", type=float, required=True, help="Start, Unix time in seconds.")
@click.option("--aftermath", type=float, default=15.0, help="Seconds.")
@click.option("--out", type=click.Path(path_type=Path), required=True)
def main(
    addresses: tuple[str, ...],
    form: str,
    seed: int,
    load: float,
    seconds: float,
    part: int,
    parts: int,
    begin: float,
    aftermath: float,
    out: Path,
) -> None:
    """Replay a part of a trace to ADDRESSES and write a JSON line for each request."""
    trace = list(enumerate(make_trace(form, seed, load, seconds)))
    rows = asyncio.run(replay(addresses, trace[part::parts], begin, aftermath))
    lines = [orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS) for row in rows]
    out.write_bytes(b"\n".join(lines) + b"\n")


if __name__ == "__main__":
    main()
