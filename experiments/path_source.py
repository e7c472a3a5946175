"""Give paced tokens as an engine would, at little cost of its own."""

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
PIECES_EACH = 20
PIECES_TOTAL = 4000


@dataclass(slots=True)
class Counts:
    """Hold what the source says of its load."""

    running: int = 0
    sequence: int = 0


COUNTS = web.AppKey("counts", Counts)


def make_source() -> web.Application:
    """Return an application that streams the tokens a body asks for."""
    app = web.Application()
    app.router.add_post("/v1/chat/completions", _stream)
    app.router.add_delete("/v1/requests/{id}", _cancel)
    app.router.add_get("/load", _show_load)
    app.router.add_get("/state", _show_state)
    app[COUNTS] = Counts()
    return app


async def _stream(request: web.Request) -> web.StreamResponse:
    counts = request.app[COUNTS]
    counts.running += 1
    try:
        return await _give_tokens(request)
    finally:
        counts.running -= 1


async def _give_tokens(request: web.Request) -> web.StreamResponse:
    tokens = orjson.loads(await request.read())["max_tokens"]
    answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await answer.prepare(request)
    loop = asyncio.get_running_loop()
    started = loop.time()
    for number in range(1, tokens + 1):
        await answer.write(_write_event(number, "stop" if number == tokens else None))
        due = started + number * TOKEN_SECONDS
        if number < tokens:
            await asyncio.sleep(due - loop.time())
    await answer.write(b"data: [DONE]\n\n")
    return answer


async def _show_load(request: web.Request) -> web.Response:
    counts = request.app[COUNTS]
    counts.sequence += 1
    load = dict.fromkeys(("waiting", "prefill_queued"), 0)
    load |= {"sequence": counts.sequence, "running": counts.running}
    load |= {"pieces_used": counts.running * PIECES_EACH}
    load |= {"pieces_total": PIECES_TOTAL, "piece_tokens": PIECE_TOKENS}
    return web.json_response({"incarnation": INCARNATION, **load})


async def _show_state(request: web.Request) -> web.Response:
    state: dict[str, Any] = {
        "incarnation": INCARNATION,
        "role": "mixed",
        "model": MODEL,
    }
    state |= {"adapters": [], "phase": "serving", "order": None}
    return web.json_response({**state, "running": request.app[COUNTS].running})


async def _cancel(request: web.Request) -> web.Response:
    return web.Response()


def _write_event(number: int, finish: str | None) -> bytes:
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
