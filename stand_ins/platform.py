"""Serve a stand-in for the platform with objects, watches, hosts and weights."""

import asyncio
from collections.abc import Awaitable, Callable
from math import ceil
from typing import Any

import click
import orjson
from aiohttp import web
from reactivex import operators as ops
from result import Err, Result

from galenapass.clocks import Clock, SystemClock
from stand_ins.platform_account import Call, Faults, describe_account
from stand_ins.platform_runtime import Platform, Watch
from stand_ins.platform_store import VALUE_LIMIT_BYTES, Change, Refusal
from stand_ins.serving import (
    BODY_LIMIT_BYTES,
    drop_connection,
    make_json_response,
    read_faults,
    run_until_stopped,
)

__all__ = ["PLATFORM", "build_app", "main"]

KEEP_ALIVE_SECONDS = 5.0
HOST_LIST_LAG_SECONDS = 2.0
WEIGHTS_PER_SECOND = 1.0

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


PLATFORM = web.AppKey("platform", Platform)


# Fault injection and call counts


@web.middleware
async def _inject_faults(request: web.Request, handler: _Handler) -> web.StreamResponse:
    if request.path.startswith("/stand-in/"):
        return await handler(request)
    platform = request.app[PLATFORM]
    platform.account.calls[_classify_call(request)] += 1
    if _is_cut_off(request):
        platform.account.dropped_calls += 1
        return drop_connection(request)
    if platform.faults.outage:
        return make_json_response({"reason": "outage"}, 503)
    response = await handler(request)
    # Delay after the effect, so that a caller may time out on a call that took effect.
    await asyncio.sleep(platform.faults.delay)
    return drop_connection(request) if _is_cut_off(request) else response


def _is_cut_off(request: web.Request) -> bool:
    domain = request.headers.get("X-Failure-Domain", "")
    return domain in request.app[PLATFORM].faults.cut_domains


def _classify_call(request: web.Request) -> Call:
    parts = request.path.split("/")
    kind = request.match_info.get("kind", parts[1])
    method = "WATCH" if parts[1] == "watch" else request.method
    if method == "GET" and parts[1] == "objects" and len(parts) == 3:
        method = "LIST"
    return Call(method, kind, request.headers.get("X-Host", ""))


# Objects


async def _get_object(request: web.Request) -> web.Response:
    store = request.app[PLATFORM].store
    change = store.read(request.match_info["kind"], request.match_info["name"])
    if change is None:
        return make_json_response({"reason": "no such object"}, 404)
    return web.Response(text=change.body, headers=_make_etag(change.version))


async def _put_object(request: web.Request) -> web.Response:
    raw = await request.read()
    if len(raw) > VALUE_LIMIT_BYTES:
        return make_json_response({"reason": f"{len(raw)} bytes are too many"}, 413)
    try:
        body = raw.decode()
        expected = _read_condition(request)
    except ValueError as error:
        return make_json_response({"reason": str(error)}, 400)
    if expected is None and request.headers.get("If-None-Match") != "*":
        return make_json_response(
            {"reason": "If-Match or If-None-Match is needed"}, 428
        )
    kind, name = request.match_info["kind"], request.match_info["name"]
    store = request.app[PLATFORM].store
    return _respond_to_write(request, store.write(kind, name, body, expected))


async def _delete_object(request: web.Request) -> web.Response:
    try:
        expected = _read_condition(request)
    except ValueError as error:
        return make_json_response({"reason": str(error)}, 400)
    if expected is None:
        return make_json_response({"reason": "If-Match is needed"}, 428)
    kind, name = request.match_info["kind"], request.match_info["name"]
    store = request.app[PLATFORM].store
    return _respond_to_write(request, store.delete(kind, name, expected))


def _read_condition(request: web.Request) -> int | None:
    etag = request.headers.get("If-Match")
    return None if etag is None else int(etag.strip('"'))


def _respond_to_write(
    request: web.Request, result: Result[Change, Refusal]
) -> web.Response:
    platform = request.app[PLATFORM]
    if isinstance(result, Err):
        refusal = result.err_value
        headers = {} if refusal.current is None else _make_etag(refusal.current)
        return web.json_response({}, status=refusal.status, headers=headers)
    change = result.ok_value
    platform.record_write(change, request.headers.get("X-Host", ""))
    if platform.faults.lose_answers > 0:
        platform.faults.lose_answers -= 1
        platform.account.lost_answers += 1
        return drop_connection(request)
    return web.json_response({}, headers=_make_etag(change.version))


def _make_etag(version: int) -> dict[str, str]:
    return {"ETag": f'"{version}"'}


async def _list_objects(request: web.Request) -> web.Response:
    store = request.app[PLATFORM].store
    items = [
        _describe_object(change)
        for change in store.list_present(request.match_info["kind"])
    ]
    return make_json_response({"version": store.version, "items": items})


def _describe_object(change: Change) -> dict[str, Any]:
    return {"name": change.name, "version": change.version, "body": change.body}


# Watches


async def _watch(request: web.Request) -> web.StreamResponse:
    platform = request.app[PLATFORM]
    kind = request.match_info["kind"]
    try:
        after = int(request.query.get("after", "0"))
    except ValueError as error:
        return make_json_response({"reason": str(error)}, 400)
    changes: asyncio.Queue[Change] = asyncio.Queue()
    for change in platform.store.list_since(kind, after):
        changes.put_nowait(change)

    def is_of_kind(change: Change) -> bool:
        return change.kind == kind

    of_kind = platform.store.changes.pipe(ops.filter(is_of_kind))
    subscription = of_kind.subscribe(changes.put_nowait)
    assert request.transport is not None
    watch = Watch(request.headers.get("X-Failure-Domain", ""), request.transport)
    platform.watches.add(watch)
    try:
        return await _send_changes(request, changes)
    finally:
        subscription.dispose()
        platform.watches.discard(watch)


async def _send_changes(
    request: web.Request, changes: asyncio.Queue[Change]
) -> web.StreamResponse:
    platform = request.app[PLATFORM]
    await asyncio.sleep(platform.faults.delay)
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    while True:
        try:
            change = await asyncio.wait_for(changes.get(), KEEP_ALIVE_SECONDS)
        except TimeoutError:
            await response.write(b"\n")
            continue
        line = {**_describe_object(change), "deleted": change.deleted}
        await asyncio.sleep(platform.faults.delay)
        await response.write(orjson.dumps(line) + b"\n")


# Hosts and weights


async def _list_hosts(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    now = platform.clock.monotonic()
    return make_json_response(
        {"hosts": platform.hosts.read(now, platform.host_list_lag)}
    )


async def _get_weights(request: web.Request) -> web.Response:
    wait = request.app[PLATFORM].weights.take()
    if wait:
        return make_json_response({"reason": "rate"}, 429, Retry_After=str(ceil(wait)))
    return make_json_response({"model": request.match_info["model"]})


# Controls of the stand-in


async def _put_hosts(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    hosts = orjson.loads(await request.read())["hosts"]
    platform.hosts.put(platform.clock.monotonic(), hosts)
    return make_json_response({})


async def _put_faults(request: web.Request) -> web.Response:
    request.app[PLATFORM].put_faults(read_faults(Faults, await request.read()))
    return make_json_response({})


async def _get_account(request: web.Request) -> web.Response:
    return make_json_response(describe_account(request.app[PLATFORM].account))


def build_app(
    clock: Clock | None = None,
    host_list_lag: float = HOST_LIST_LAG_SECONDS,
    weights_rate: float = WEIGHTS_PER_SECOND,
) -> web.Application:
    """Return the application; the lag is in seconds, the rate in models per second."""
    app = web.Application(
        client_max_size=BODY_LIMIT_BYTES, middlewares=[_inject_faults]
    )
    app[PLATFORM] = Platform(clock or SystemClock(), host_list_lag, weights_rate)
    app.add_routes(
        [
            web.get("/objects/{kind}/{name}", _get_object),
            web.put("/objects/{kind}/{name}", _put_object),
            web.delete("/objects/{kind}/{name}", _delete_object),
            web.get("/objects/{kind}", _list_objects),
            web.get("/watch/{kind}", _watch),
            web.get("/hosts", _list_hosts),
            web.get("/weights/{model}", _get_weights),
            web.post("/stand-in/hosts", _put_hosts),
            web.post("/stand-in/faults", _put_faults),
            web.get("/stand-in/account", _get_account),
        ]
    )
    return app


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT; port 0 picks one.")
@click.option("--host-list-lag", default=HOST_LIST_LAG_SECONDS, help="Lag in seconds.")
@click.option("--weights-rate", default=WEIGHTS_PER_SECOND, help="Models per second.")
def main(listen: str, host_list_lag: float, weights_rate: float) -> None:
    """Serve the platform on loopback until SIGTERM."""
    run_until_stopped(lambda: build_app(None, host_list_lag, weights_rate), listen)


if __name__ == "__main__":
    main()
