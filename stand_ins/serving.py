"""Serve one stand-in on loopback: ready line, abrupt crash, stop by signal."""

import asyncio
import signal
from collections.abc import Callable
from dataclasses import fields
from typing import Any, TypeVar

import orjson
from aiohttp import web

__all__ = [
    "Server",
    "make_json_response",
    "drop_connection",
    "make_not_run_response",
    "read_faults",
    "run_until_stopped",
    "split_address",
]

STOP_SECONDS = 1.0
BODY_LIMIT_BYTES = 8 * 1024 * 1024

_Faults = TypeVar("_Faults")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not IP:PORT: {address!r}")
    return host, int(port)


def make_json_response(value: Any, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON answer; header names are written with underscores."""
    values = {name.replace("_", "-"): text for name, text in headers.items()}
    return web.Response(
        body=orjson.dumps(value),
        status=status,
        content_type="application/json",
        headers=values,
    )


def make_not_run_response(reason: str, status: int = 503) -> web.Response:
    """Return the answer that promises that nothing was run."""
    return make_json_response({"reason": reason}, status, X_Run="not-run")


def drop_connection(request: web.BaseRequest) -> web.Response:
    """Close the caller's connection at once; the returned answer is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def read_faults(kind: type[_Faults], body: bytes) -> _Faults:
    """Return the faults that a JSON object names; refuse unknown names."""
    try:
        values = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=f"not JSON: {body[:80]!r}") from error
    known = {field.name for field in fields(kind)}  # type: ignore[arg-type]
    if not isinstance(values, dict) or not values.keys() <= known:
        raise web.HTTPBadRequest(text=f"unknown faults: {values!r}, known: {known}")
    return kind(**values)


class Server:
    """Listen on one address; handlers are cancelled when their peer goes away."""

    def __init__(self, app: web.Application, address: str):
        self._host, self._port = split_address(address)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=STOP_SECONDS,
        )
        self._site: web.TCPSite | None = None

    @property
    def address(self) -> str:
        """Return the IP and port served, once started."""
        return f"{self._host}:{self._port}"

    async def start(self) -> str:
        """Serve and return the address."""
        await self._runner.setup()
        await self._listen()
        return self.address

    async def _listen(self) -> None:
        site = web.TCPSite(self._runner, self._host, self._port, reuse_address=True)
        await site.start()
        self._port = site.port
        self._site = site

    async def go_offline(self, seconds: float) -> None:
        """Refuse and drop every connection for some seconds, then listen again."""
        if self._site is None:
            return
        await self._site.stop()
        self._site = None
        self.drop_connections()
        await asyncio.sleep(seconds)
        await self._listen()

    def drop_connections(self) -> None:
        """Close every open connection at once, without an answer."""
        server = self._runner.server
        for connection in server.connections if server else []:
            if connection.transport is not None:
                connection.transport.abort()

    async def stop(self) -> None:
        """Stop listening and close what is open."""
        self.drop_connections()
        await self._runner.cleanup()


def run_until_stopped(
    build: Callable[[], web.Application],
    address: str,
    attach: Callable[[web.Application, Server], None] | None = None,
) -> None:
    """Serve an application until SIGTERM or SIGINT; print the ready line."""
    asyncio.run(_serve_until_stopped(build, address, attach))


async def _serve_until_stopped(
    build: Callable[[], web.Application],
    address: str,
    attach: Callable[[web.Application, Server], None] | None,
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stopped.set)
    app = build()
    server = Server(app, address)
    if attach is not None:
        attach(app, server)
    print("ready", await server.start(), flush=True)
    await stopped.wait()
    await server.stop()
