"""Serve a stand-in for a model engine with continuous batching, orders and faults."""

from collections.abc import AsyncIterator
from dataclasses import replace
from datetime import timedelta

import aiohttp
import click
from aiohttp import web

from galenapass.clocks import Clock, SystemClock
from galenapass.logs import add_log_stream
from galenapass.tables.targets import Role
from stand_ins.engine_controls import (
    get_account,
    get_load,
    get_readiness,
    get_state,
    post_order,
    put_faults,
    stream_cache_events,
)
from stand_ins.engine_model import EngineModel
from stand_ins.engine_reports import LaggedReports
from stand_ins.engine_requests import ENGINE, SESSION, cancel, complete, export
from stand_ins.engine_runtime import Engine, make_incarnation
from stand_ins.engine_sizes import Sizes, speed_up
from stand_ins.serving import BODY_LIMIT_BYTES, Server, run_until_stopped

__all__ = ["ENGINE", "build_app", "main", "make_engine", "start_engine"]

KV_FETCH_TIMEOUT_SECONDS = 5.0
RESTART_SECONDS = 2.0
REPORT_LAG_SECONDS = 0.5


def build_app(engine: Engine) -> web.Application:
    """Return the HTTP application of an engine."""
    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    app[ENGINE] = engine
    app.cleanup_ctx.append(_open_session)
    app.on_response_prepare.append(_name_request)
    app.add_routes(
        [
            web.post("/v1/chat/completions", complete),
            web.post("/v1/completions", complete),
            web.delete("/v1/requests/{id}", cancel),
            web.get("/kv/{handle}", export),
            web.get("/readyz", get_readiness),
            web.get("/load", get_load),
            web.get("/state", get_state),
            web.post("/orders", post_order),
            web.get("/events/cache", stream_cache_events),
            web.post("/stand-in/faults", put_faults),
            web.get("/stand-in/account", get_account),
        ]
    )
    return app


async def _name_request(request: web.Request, response: web.StreamResponse) -> None:
    if "X-Request-Id" in request.headers:
        response.headers["X-Request-Id"] = request.headers["X-Request-Id"]


async def _open_session(app: web.Application) -> AsyncIterator[None]:
    timeout = aiohttp.ClientTimeout(total=KV_FETCH_TIMEOUT_SECONDS)
    app[SESSION] = aiohttp.ClientSession(timeout=timeout)
    yield
    app[ENGINE].stop()
    await app[SESSION].close()


def make_engine(
    clock: Clock,
    sizes: Sizes,
    role: Role = Role.MIXED,
    model: str = "",
    checks_fencing: bool = True,
    report_lag_seconds: float = REPORT_LAG_SECONDS,
    restart_seconds: float = RESTART_SECONDS,
) -> Engine:
    """Return an engine that is not yet started."""
    incarnation = make_incarnation()
    engine_model = EngineModel(clock, sizes, role, model, checks_fencing, incarnation)
    reports = LaggedReports(timedelta(seconds=report_lag_seconds))
    return Engine(clock, engine_model, reports, restart_seconds)


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 picks one.")
@click.option("--role", type=click.Choice([role.value for role in Role]))
@click.option("--model", default="", help="Loaded model; empty accepts any.")
@click.option(
    "--fencing", type=click.BOOL, default=True, help="Check the fences of orders."
)
@click.option(
    "--restart", default=RESTART_SECONDS, help="Seconds of downtime after a crash."
)
@click.option("--change-seconds", default=3.0, help="Seconds of downtime for an order.")
@click.option("--report-lag", default=REPORT_LAG_SECONDS, help="Lag in seconds.")
@click.option("--speed", default=1.0, help="Factor that divides step times.")
@click.option("--token-interval", default=0.0, help="Shortest step in seconds.")
@click.option("--pieces", default=Sizes().pieces_total, help="Pieces of KV memory.")
@click.option("--max-running", default=Sizes().max_running)
@click.option("--max-waiting", default=Sizes().max_waiting)
def main(
    listen: str,
    role: str | None,
    model: str,
    fencing: bool,
    restart: float,
    change_seconds: float,
    report_lag: float,
    speed: float,
    token_interval: float,
    pieces: int,
    max_running: int,
    max_waiting: int,
) -> None:
    """Serve one engine on loopback until SIGTERM."""
    add_log_stream()
    sizes = Sizes(
        pieces_total=pieces,
        max_running=max_running,
        max_waiting=max_waiting,
        change=timedelta(seconds=change_seconds),
    )
    sizes = _set_min_step(speed_up(sizes, speed), token_interval)

    def build() -> web.Application:
        engine = make_engine(
            SystemClock(),
            sizes,
            Role(role or "mixed"),
            model,
            fencing,
            report_lag,
            restart,
        )
        return build_app(engine)

    run_until_stopped(build, listen, start_engine)


def _set_min_step(sizes: Sizes, seconds: float) -> Sizes:
    return replace(sizes, min_step_seconds=seconds)


def start_engine(app: web.Application, server: Server) -> None:
    """Start running the steps of the engine behind a server."""
    app[ENGINE].start(server)


if __name__ == "__main__":
    main()
