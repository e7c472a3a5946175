"""Forward streams with aiohttp alone, as the baseline of the data path's cost."""

import asyncio
import itertools

import aiohttp
import click
from aiohttp import web

from experiments.path_process import serve_process

__all__ = ["make_pass_through"]


def make_pass_through(addresses: tuple[str, ...]) -> web.Application:
    """Return an application that forwards each request to the next address."""
    address_cycle = itertools.cycle(addresses)

    async def forward(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        url = f"http://{next(address_cycle)}{request.path}"
        async with app[SESSION].post(url, data=body) as upstream:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
        return response

    async def open_session(app: web.Application) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        app[SESSION] = aiohttp.ClientSession(connector=connector, timeout=timeout)

    app = web.Application()
    app.on_startup.append(open_session)
    app.router.add_post("/v1/chat/completions", forward)
    return app


SESSION = web.AppKey("session", aiohttp.ClientSession)


@click.command()
@click.argument("addresses", nargs=-1)
def main(addresses: tuple[str, ...]) -> None:
    """Forward requests to ADDRESSES in turn until killed."""
    asyncio.run(serve_process(make_pass_through(addresses)))


if __name__ == "__main__":
    main()
