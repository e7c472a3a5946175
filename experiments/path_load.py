"""Request streams at a constant rate and print the results as JSON."""

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
# 2 KB, about the size of a question with its context.
PROMPT = "Describe the juniper of the upper terrace for a guest. " * 38
DISTINCT_PROMPTS = 97


@dataclass(slots=True)
class Tally:
    """Counts of one process within its window.

    ``first_tokens`` holds the times to the first token in seconds.
    """

    tokens: int = 0
    requests: int = 0
    failures: int = 0
    first_tokens: list[float] = field(default_factory=list)


async def send_load(
    addresses: tuple[str, ...], rate: float, tokens: int, warm: float, window: float
) -> Tally:
    """Send requests at fixed intervals and count what arrives in the window.

    ``rate`` is in requests a second, ``warm`` and ``window`` are seconds.
    """
    tally = Tally()
    started = time.monotonic()
    span = (started + warm, started + warm + window)
    address_cycle = itertools.cycle(addresses)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = []
        for number in range(int((warm + window) * rate)):
            await asyncio.sleep(max(0, started + number / rate - time.monotonic()))
            request = _send_request(
                session, next(address_cycle), number, tokens, span, tally
            )
            tasks.append(asyncio.create_task(request))
        await asyncio.sleep(max(0, span[1] - time.monotonic()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return tally


async def _send_request(
    session: aiohttp.ClientSession,
    address: str,
    number: int,
    tokens: int,
    span: tuple[float, float],
    tally: Tally,
) -> None:
    # Different prefixes, so that prefix affinity spreads the requests over targets.
    content = f"Guest {number % DISTINCT_PROMPTS} asks. {PROMPT}"
    message = {"role": "user", "content": content}
    body = {"model": "juniper-8b", "messages": [message]}
    data = orjson.dumps({**body, "stream": True, "max_tokens": tokens})
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    sent = time.monotonic()
    started_streaming, tail, events = False, b"", 0
    try:
        async with session.post(
            f"http://{address}{PATH}", data=data, headers=headers
        ) as response:
            async for chunk in response.content.iter_any():
                now = time.monotonic()
                inside = span[0] <= now < span[1]
                if not started_streaming and span[0] <= sent and inside:
                    tally.requests += 1
                    tally.first_tokens.append(now - sent)
                started_streaming = True
                # The end of an event may be split between two chunks.
                event_ends = (tail[-1:] + chunk).count(EVENT_END)
                events += event_ends
                tally.tokens += event_ends if inside else 0
                tail = chunk[-40:]
    except aiohttp.ClientError:
        tail = b""
    # A complete stream has one event for each token and the [DONE] event.
    if DONE not in tail or events != tokens + 1:
        tally.failures += 1


@click.command()
@click.argument("addresses", nargs=-1)
@click.option("--rate", default=20.0, help="Requests a second.")
@click.option("--tokens", default=275, help="Tokens of each response.")
@click.option("--warm", default=10.0, help="Seconds before the window.")
@click.option("--window", default=10.0, help="Seconds of the counting window.")
def main(
    addresses: tuple[str, ...], rate: float, tokens: int, warm: float, window: float
) -> None:
    """Send requests to ADDRESSES in turn and print the counts as JSON."""
    tally = asyncio.run(send_load(addresses, rate, tokens, warm, window))
    print(orjson.dumps(tally).decode(), flush=True)


if __name__ == "__main__":
    main()
