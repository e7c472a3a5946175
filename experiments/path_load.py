"""Ask for streams at a steady rate and report what came back as JSON."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field

import aiohttp
import click
import orjson

from experiments.fleet import CALLER_KEY

__all__ = ["Tally", "send_load"]

PATH = "/v1/chat/completions"
EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
# 2 KB of prompt, about what a question with its context takes.
PROMPT = "Describe the juniper of the upper terrace for a guest. " * 38


GUESTS = 97


@dataclass(slots=True)
class Tally:
    """Hold what one process saw inside its window; times in seconds."""

    tokens: int = 0
    requests: int = 0
    failures: int = 0
    first_tokens: list[float] = field(default_factory=list)


async def send_load(
    addresses: tuple[str, ...], rate: float, tokens: int, warm: float, window: float
) -> Tally:
    """Send requests at fixed intervals and count inside the window."""
    tally = Tally()
    started = time.monotonic()
    span = (started + warm, started + warm + window)
    turns = itertools.cycle(addresses)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = []
        for number in range(int((warm + window) * rate)):
            await asyncio.sleep(max(0, started + number / rate - time.monotonic()))
            ask = _ask(session, next(turns), number, tokens, span, tally)
            tasks.append(asyncio.create_task(ask))
        await asyncio.sleep(max(0, span[1] - time.monotonic()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return tally


async def _ask(
    session: aiohttp.ClientSession,
    address: str,
    number: int,
    tokens: int,
    span: tuple[float, float],
    tally: Tally,
) -> None:
    # Different beginnings, so that prefix affinity spreads the requests.
    content = f"Guest {number % GUESTS} asks. {PROMPT}"
    message = {"role": "user", "content": content}
    body = {"model": "juniper-8b", "messages": [message]}
    data = orjson.dumps({**body, "stream": True, "max_tokens": tokens})
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    sent = time.monotonic()
    begun, rest, events = False, b"", 0
    try:
        async with session.post(
            f"http://{address}{PATH}", data=data, headers=headers
        ) as answer:
            async for chunk in answer.content.iter_any():
                now = time.monotonic()
                inside = span[0] <= now < span[1]
                if not begun and span[0] <= sent and inside:
                    tally.requests += 1
                    tally.first_tokens.append(now - sent)
                begun = True
                # An end may be cut in two by the chunks.
                ended = (rest[-1:] + chunk).count(EVENT_END)
                events += ended
                tally.tokens += ended if inside else 0
                rest = chunk[-40:]
    except aiohttp.ClientError:
        rest = b""
    # Every token once, and the mark of the end.
    if DONE not in rest or events != tokens + 1:
        tally.failures += 1


@click.command()
@click.argument("addresses", nargs=-1)
@click.option("--rate", default=20.0, help="Requests a second.")
@click.option("--tokens", default=275, help="Tokens of each answer.")
@click.option("--warm", default=10.0, help="Seconds before the window.")
@click.option("--window", default=10.0, help="Seconds counted.")
def main(
    addresses: tuple[str, ...], rate: float, tokens: int, warm: float, window: float
) -> None:
    """Send load to ADDRESSES in turn and print the tally."""
    tally = asyncio.run(send_load(addresses, rate, tokens, warm, window))
    print(orjson.dumps(tally).decode(), flush=True)


if __name__ == "__main__":
    main()
