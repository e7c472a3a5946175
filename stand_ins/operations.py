"""Serve a stand-in for the platform's operations: reports of usage and orders of sizes.

Implements the part of the platform's published protocol that the tests need.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import click
import orjson
from aiohttp import web

from stand_ins.serving import (
    drop_connection,
    make_json_response,
    read_faults,
    run_until_stopped,
)

__all__ = ["Operation", "Operations", "OperationsFaults", "main"]


@dataclass(slots=True)
class OperationsFaults:
    """Active faults; calls that are lost count down.

    ``status`` answers all calls without effect, ``lose_calls`` have no effect and no
    answer, ``lose_answers`` have their effect; ``unavailable`` names zones without
    targets. ``calls_per_second`` limits the calls, 0 for no limit.
    """

    delay_seconds: float = 0.0
    down: bool = False
    status: int | None = None
    lose_calls: int = 0
    lose_answers: int = 0
    unavailable: tuple[str, ...] = ()
    calls_per_second: float = 0.0


@dataclass(slots=True, frozen=True)
class Operation:
    """One call that took effect; ``at`` is monotonic, in seconds."""

    call: str
    holder: str
    fence: int
    body: dict[str, Any]
    at: float


@dataclass(slots=True)
class Operations:
    """Calls that took effect, and the rules that they broke.

    ``lease_seconds`` is the time within which holders must not alternate. ``on_scale``
    is called with the body of each order.
    """

    lease_seconds: float = 3.0
    calls: list[Operation] = field(default_factory=list)
    faults: OperationsFaults = field(default_factory=OperationsFaults)
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    sizes: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    on_scale: Callable[[dict[str, Any]], None] = lambda body: None
    received: int = 0
    _call_times: list[float] = field(default_factory=list)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2**22)
        app.router.add_post("/usage", self._serve_usage)
        app.router.add_post("/scale", self._serve_scale)
        app.router.add_post("/stand-in/faults", self._put_faults)
        app.router.add_get("/stand-in/account", self._get_account)
        return app

    def apply(self, operation: Operation) -> None:
        """Record a call that takes effect, and the rules that it breaks."""
        self._check_fence(operation)
        self.calls.append(operation)
        body = operation.body
        if operation.call == "scale":
            kind = (body["service"], body["zone"], bool(body.get("spot")))
            self.sizes[kind] = body["desired"]
            self.on_scale(body)
            return
        known = self.windows.setdefault(body["window"], body["counts"])
        if known != body["counts"]:
            self.violations.append(f"two counts for window {body['window']}")

    def _check_fence(self, operation: Operation) -> None:
        fences = [call.fence for call in self.calls]
        if fences and operation.fence < max(fences):
            self.violations.append(f"{operation.fence} after {max(fences)}")
        for call in self.calls:
            if call.fence == operation.fence and call.holder != operation.holder:
                self.violations.append(f"two holders with {call.fence}")
        recent = [c for c in self.calls if operation.at - c.at < self.lease_seconds]
        holders = [call.holder for call in recent]
        if operation.holder in holders and holders[-1] != operation.holder:
            self.violations.append(f"{operation.holder} alternates with {holders[-1]}")

    async def _serve_usage(self, request: web.Request) -> web.Response:
        return await self._serve(request, "usage")

    async def _serve_scale(self, request: web.Request) -> web.Response:
        return await self._serve(request, "scale")

    async def _serve(self, request: web.Request, call: str) -> web.Response:
        self.received += 1
        body = orjson.loads(await request.read())
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        faults = self.faults
        if faults.down:
            return drop_connection(request)
        if faults.lose_calls:
            faults.lose_calls -= 1
            return drop_connection(request)
        if faults.status is not None:
            return web.Response(status=faults.status)
        now = time.monotonic()
        if self._is_throttled(now):
            return web.Response(status=429, headers={"Retry-After": "1"})
        if call == "scale" and body["zone"] in faults.unavailable:
            return web.Response(status=409)
        holder = request.headers["X-Galenapass-Duty-Holder"]
        fence = int(request.headers["X-Galenapass-Fencing-Token"])
        self.apply(Operation(call, holder, fence, body, now))
        if faults.lose_answers:
            faults.lose_answers -= 1
            return drop_connection(request)
        return make_json_response({})

    def _is_throttled(self, now: float) -> bool:
        limit = self.faults.calls_per_second
        self._call_times = [at for at in self._call_times if now - at < 1.0]
        if limit and len(self._call_times) >= limit:
            return True
        self._call_times.append(now)
        return False

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.faults = read_faults(OperationsFaults, await request.read())
        return make_json_response({})

    async def _get_account(self, request: web.Request) -> web.Response:
        return make_json_response(
            {"calls": self.calls, "violations": self.violations},
        )


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 picks one.")
def main(listen: str) -> None:
    """Serve the operations on loopback until SIGTERM."""
    run_until_stopped(lambda: Operations().make_app(), listen)


if __name__ == "__main__":
    main()
