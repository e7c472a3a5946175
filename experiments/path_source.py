"""Give paced tokens as an engine would, at little cost of its own."""

import asyncio
from typing import Any

import click
import orjson
from aiohttp import web

from experiments.path_process import serve_process

__all__ = ["make_source"]

TOKEN_SECONDS = 0.031


def make_source() -> web.Application:
    """Return an application that streams the tokens a body asks for."""
    app = web.Application()
    app.router.add_post("/v1/chat/completions", _stream)
    app.router.add_delete("/v1/requests/{id}", _cancel)
    return app


async def _stream(request: web.Request) -> web.StreamResponse:
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


async def _cancel(request: web.Request) -> web.Response:
    return web.Response()


def _write_event(number: int, finish: str | None) -> bytes:
    choice: dict[str, Any] = {"index": 0, "delta": {"content": f"t{number} "}}
    choice["finish_reason"] = finish
    chunk = {"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 1}
    chunk |= {"model": "juniper-8b", "choices": [choice]}
    return b"id: %d\ndata: %s\n\n" % (number, orjson.dumps(chunk))


@click.command()
def main() -> None:
    """Serve on a free port until killed."""
    asyncio.run(serve_process(make_source()))


if __name__ == "__main__":
    main()
