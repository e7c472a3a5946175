"""Serve one stand-in: print the ready line, simulate crashes, stop on a signal."""

import asyncio
import signal
from collections.abc import Callable
from dataclasses import fields
from typing import Any, TypeVar

import orjson
from aiohttp import web

__all__ = [
    "Server",
    "drop_connection",
    "make_json_response",
    "make_not_run_response",
    "read_faults",
    "run_until_stopped",
    "split_address",
]

STOP_SECONDS = 1.0
BODY_LIMIT_BYTES = 8 * 1024 * 1024

_Faults = TypeVar("_Faults")


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and port of ``IP:PORT``; raise ValueError if malformed."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not IP:PORT: {address!r}")
    return host, int(port)


def make_json_response(value: Any, status: int = 200, **headers: str) -> web.Response:
    """Return a JSON response; underscores in header names stand for hyphens."""
    hyphenated = {name.replace("_", "-"): text for name, text in headers.items()}
    return web.Response(
        body=orjson.dumps(value),
        status=status,
        content_type="application/json",
        headers=hyphenated,
    )


def make_not_run_response(reason: str, status: int = 503) -> web.Response:
    """Return a response whose header states that the request was not run."""
    return make_json_response({"reason": reason}, status, X_Run="not-run")


def drop_connection(request: web.BaseRequest) -> web.Response:
    """Abort the caller's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def read_faults(kind: type[_Faults], body: bytes) -> _Faults:
    """Return the faults set in a JSON object; raise HTTPBadRequest if invalid."""
    try:
        values = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=f"not JSON: {body[:80]!r}") from error
    known = {field.name for field in fields(kind)}  # type: ignore[arg-type]
    if not isinstance(values, dict) or not values.keys() <= known:
        raise web.HTTPBadRequest(text=f"unknown faults: {values!r}, known: {known}")
    return kind(**values)


class Server:
    """HTTP server on one address; a disconnect cancels the request's handler."""

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
        """Return ``IP:PORT``, with the actual port once started."""
        return f"{self._host}:{self._port}"

    async def start(self) -> str:
        """Start listening and return the address."""
        await self._runner.setup()
        await self._listen()
        return self.address

    async def _listen(self) -> None:
        site = web.TCPSite(self._runner, self._host, self._port, reuse_address=True)
        await site.start()
        self._port = site.port
        self._site = site

    async def go_offline(self, seconds: float) -> None:
        """Drop all connections and stop listening for some seconds."""
        if self._site is None:
            return
        await self._site.stop()
        self._site = None
        self.drop_connections()
        await asyncio.sleep(seconds)
        await self._listen()

    def drop_connections(self) -> None:
        """Abort all open connections without a response."""
        server = self._runner.server
        for connection in server.connections if server else []:
            if connection.transport is not None:
                connection.transport.abort()

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        self.drop_connections()
        await self._runner.cleanup()


def run_until_stopped(
    build: Callable[[], web.Application],
    address: str,
    attach: Callable[[web.Application, Server], None] | None = None,
) -> None:
    """Serve an application until SIGTERM or SIGINT; print ``ready IP:PORT`` first."""
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
