"""Handle the HTTP calls for an engine's reports, orders and faults."""

import asyncio
from dataclasses import asdict

import orjson
from aiohttp import web

from stand_ins.engine_account import Faults, describe_account
from stand_ins.engine_orders import Action, Order, Outcome
from stand_ins.engine_reports import CacheBatch
from stand_ins.engine_requests import ENGINE
from stand_ins.serving import make_json_response, read_faults

__all__ = [
    "get_account",
    "get_load",
    "get_readiness",
    "get_state",
    "post_order",
    "put_faults",
    "stream_cache_events",
]


async def get_load(request: web.Request) -> web.Response:
    """Return the lagged load report."""
    return make_json_response(asdict(request.app[ENGINE].read_report()))


async def get_readiness(request: web.Request) -> web.Response:
    """Return status 200, or 503 while the engine is leaving."""
    leaving = request.app[ENGINE].faults.leaving
    return make_json_response({"leaving": leaving}, 503 if leaving else 200)


async def get_state(request: web.Request) -> web.Response:
    """Return the current state."""
    model = request.app[ENGINE].model
    phase = "changing" if model.changing else "serving"
    last = model.orders.last
    state = {
        "incarnation": model.incarnation,
        "role": model.role.value,
        "model": model.features.model,
        "adapters": model.features.adapters,
        "version": model.features.version,
        "phase": phase,
        "order": {"id": last.id, "fence": last.fence} if last else None,
        "running": model.running,
    }
    return make_json_response(state)


async def stream_cache_events(request: web.Request) -> web.StreamResponse:
    """Stream the published cache events as server-sent events."""
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    batches: asyncio.Queue[CacheBatch] = asyncio.Queue()
    subscription = request.app[ENGINE].cache_batches.subscribe(batches.put_nowait)
    try:
        while True:
            data = orjson.dumps(await batches.get())
            await response.write(b"data: %b\n\n" % data)
    finally:
        subscription.dispose()


# Orders, faults and the account

_STATUSES = {
    Outcome.ACCEPTED: 202,
    Outcome.REPEATED: 202,
    Outcome.STALE: 409,
    Outcome.BUSY: 409,
}


async def post_order(request: web.Request) -> web.Response:
    """Accept or refuse an order; status 400 if it is malformed."""
    engine = request.app[ENGINE]
    try:
        body = orjson.loads(await request.read())
        action = Action(body["action"])
        order = Order(str(body["id"]), int(body["fence"]), action, str(body["value"]))
        outcome = engine.order(order).outcome
    except (ValueError, KeyError, TypeError) as error:
        return make_json_response({"reason": f"malformed: {error!r}"}, 400)
    response = {"reason": outcome.value, "fence": engine.model.orders.fence}
    return make_json_response(response, _STATUSES[outcome])


async def put_faults(request: web.Request) -> web.Response:
    """Replace the active faults."""
    request.app[ENGINE].put_faults(read_faults(Faults, await request.read()))
    return make_json_response({})


async def get_account(request: web.Request) -> web.Response:
    """Return the engine's account."""
    engine = request.app[ENGINE]
    return make_json_response(describe_account(engine.account, engine.model.orders))
