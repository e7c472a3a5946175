"""Stream tokens at an engine's pace with little processor time."""

import asyncio
from dataclasses import dataclass
from typing import Any

import click
import orjson
from aiohttp import web

from experiments.path_process import serve_process

__all__ = ["make_source"]

TOKEN_SECONDS = 0.031
INCARNATION = "1"
MODEL = "juniper-8b"
PIECE_TOKENS = 16
PIECES_PER_REQUEST = 20
PIECES_TOTAL = 4000


@dataclass(slots=True)
class Counts:
    """Load of the source and the sequence number of its last report."""

    running: int = 0
    sequence: int = 0


COUNTS = web.AppKey("counts", Counts)


def make_source() -> web.Application:
    """Return an application that streams as many tokens as each request asks for."""
    app = web.Application()
    app.router.add_post("/v1/chat/completions", _stream)
    app.router.add_delete("/v1/requests/{id}", _handle_cancellation)
    app.router.add_get("/load", _handle_load)
    app.router.add_get("/state", _handle_state)
    app[COUNTS] = Counts()
    return app


async def _stream(request: web.Request) -> web.StreamResponse:
    counts = request.app[COUNTS]
    counts.running += 1
    try:
        return await _stream_tokens(request)
    finally:
        counts.running -= 1


async def _stream_tokens(request: web.Request) -> web.StreamResponse:
    tokens = orjson.loads(await request.read())["max_tokens"]
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number in range(1, tokens + 1):
        await response.write(
            _encode_event(number, "stop" if number == tokens else None)
        )
        due = started + number * TOKEN_SECONDS
        if number < tokens:
            await asyncio.sleep(due - loop.time())
    await response.write(b"data: [DONE]\n\n")
    return response


async def _handle_load(request: web.Request) -> web.Response:
    counts = request.app[COUNTS]
    counts.sequence += 1
    load = dict.fromkeys(("waiting", "prefill_queued"), 0)
    load |= {"sequence": counts.sequence, "running": counts.running}
    load |= {"pieces_used": counts.running * PIECES_PER_REQUEST}
    load |= {"pieces_total": PIECES_TOTAL, "piece_tokens": PIECE_TOKENS}
    return web.json_response({"incarnation": INCARNATION, **load})


async def _handle_state(request: web.Request) -> web.Response:
    state: dict[str, Any] = {
        "incarnation": INCARNATION,
        "role": "mixed",
        "model": MODEL,
    }
    state |= {"adapters": [], "phase": "serving", "order": None}
    return web.json_response({**state, "running": request.app[COUNTS].running})


async def _handle_cancellation(request: web.Request) -> web.Response:
    return web.Response()


def _encode_event(number: int, finish: str | None) -> bytes:
    choice: dict[str, Any] = {"index": 0, "delta": {"content": f"t{number} "}}
    choice["finish_reason"] = finish
    chunk = {"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 1}
    chunk |= {"model": MODEL, "choices": [choice]}
    return b"id: %d\ndata: %s\n\n" % (number, orjson.dumps(chunk))


@click.command()
def main() -> None:
    """Serve on a free port until killed."""
    asyncio.run(serve_process(make_source()))


if __name__ == "__main__":
    main()
