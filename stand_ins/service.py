"""Serve a stand-in for a plain service that counts the runs of each key."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import click
import xxhash
from aiohttp import web

from stand_ins.serving import (
    BODY_LIMIT_BYTES,
    Server,
    drop_connection,
    make_json_response,
    make_not_run_response,
    read_faults,
    run_until_stopped,
)

__all__ = ["SERVICE", "Service", "build_app", "main"]

RESTART_SECONDS = 2.0
CRASH_DELAY_SECONDS = 0.01


@dataclass(slots=True)
class Faults:
    """Active faults; ``delay`` is in seconds."""

    delay: float = 0.0
    lose_answers: int = 0
    refuse: int = 0
    down: bool = False
    crash: bool = False
    crash_on: str = ""
    leaving: bool = False


@dataclass(slots=True)
class Account:
    """Counts of calls and runs: ``runs`` by idempotency key, ``requests`` by id.

    A run is counted when it begins, and continues if its caller disconnects.
    """

    calls: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    runs_without_key: int = 0
    refused: int = 0
    lost_answers: int = 0
    crashes: int = 0


class Service:
    """Plain service with its faults and its account."""

    def __init__(self, restart_seconds: float = RESTART_SECONDS):
        self.faults = Faults()
        self.account = Account()
        self.server: Server | None = None
        self._restart_seconds = restart_seconds
        self._restart_task: asyncio.Task[None] | None = None

    def put_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        if faults.crash:
            faults.crash = False
            # Delayed until the response is sent, as a crash drops its connection too.
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_DELAY_SECONDS, self.crash)

    def crash(self) -> None:
        """Drop all connections and go offline for the downtime."""
        self.account.crashes += 1
        if self.server is not None:
            self.server.drop_connections()
            away = self.server.go_offline(self._restart_seconds)
            self._restart_task = asyncio.create_task(away)


SERVICE = web.AppKey("service", Service)


async def _serve_call(request: web.Request) -> web.StreamResponse:
    service = request.app[SERVICE]
    body = await request.read()
    service.account.calls += 1
    if service.faults.down:
        return drop_connection(request)
    if service.faults.refuse > 0:
        service.faults.refuse -= 1
        service.account.refused += 1
        return make_not_run_response("refused")
    response = _count_run(request, body)
    if service.faults.crash_on and service.faults.crash_on.encode() in body:
        service.crash()
        return drop_connection(request)
    await asyncio.sleep(service.faults.delay)
    if service.faults.lose_answers > 0:
        service.faults.lose_answers -= 1
        service.account.lost_answers += 1
        return drop_connection(request)
    return make_json_response(response)


def _count_run(request: web.Request, body: bytes) -> dict[str, Any]:
    account = request.app[SERVICE].account
    key = request.headers.get("Idempotency-Key")
    name = request.headers.get("X-Request-Id", "")
    account.requests[name] += 1
    if key is None:
        account.runs_without_key += 1
    else:
        account.runs[key] += 1
    return {
        "method": request.method,
        "path": request.path_qs,
        "key": key,
        "request": name,
        "body": xxhash.xxh64_hexdigest(body),
        "run": account.runs[key] if key is not None else 1,
    }


async def _get_readiness(request: web.Request) -> web.Response:
    leaving = request.app[SERVICE].faults.leaving
    return make_json_response({"leaving": leaving}, 503 if leaving else 200)


async def _put_faults(request: web.Request) -> web.Response:
    request.app[SERVICE].put_faults(read_faults(Faults, await request.read()))
    return make_json_response({})


async def _get_account(request: web.Request) -> web.Response:
    return make_json_response(request.app[SERVICE].account)


def build_app(restart_seconds: float = RESTART_SECONDS) -> web.Application:
    """Return the application; ``restart_seconds`` is the downtime after a crash."""
    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    app[SERVICE] = Service(restart_seconds)
    app.router.add_post("/stand-in/faults", _put_faults)
    app.router.add_get("/stand-in/account", _get_account)
    app.router.add_get("/readyz", _get_readiness)
    app.router.add_route("*", "/{path:.*}", _serve_call)
    return app


def attach_server(app: web.Application, server: Server) -> None:
    """Set the server that a crash takes offline."""
    app[SERVICE].server = server


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 picks one.")
@click.option(
    "--restart", default=RESTART_SECONDS, help="Seconds of downtime after a crash."
)
def main(listen: str, restart: float) -> None:
    """Serve a plain service on loopback until SIGTERM."""
    run_until_stopped(lambda: build_app(restart), listen, attach_server)


if __name__ == "__main__":
    main()
