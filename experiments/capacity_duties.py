"""Measure the cost of role planning, observation and the claims' journal."""

import asyncio
import hashlib
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from itertools import count
from typing import Any

from aiohttp import web

from experiments.capacity_core import make_file, parse_file
from galenapass.clocks import SystemClock
from galenapass.duties.observer import Observer
from galenapass.systems.claims import decode_slice, encode_slice
from galenapass.systems.role_planning import propose_changes
from galenapass.systems.targets import apply_configuration
from galenapass.tables.claims import ClaimEntry, ClaimState
from galenapass.tables.demand import Demand
from galenapass.tables.world import World
from galenapass.targets.engines import EngineClient
from galenapass.targets.probes import ProbeClient

__all__ = ["measure_claims", "measure_observation", "measure_role_planning"]

REPEATS = 20
SERVICES = 8
LOAD = {
    "incarnation": "a1",
    "running": 2,
    "waiting": 1,
    "prefill_queued": 900,
    "pieces_used": 70,
    "pieces_total": 2000,
    "piece_tokens": 16,
}


def measure_role_planning(targets: int) -> dict[str, float]:
    """Return what planning the roles of one domain once costs."""
    world = World("entry-000", "d0")
    apply_configuration(world, parse_file(make_file(1, targets)))
    for number in range(SERVICES):
        name = "assistant" if number == 0 else f"service-{number}"
        entry = Demand(name, samples=9)
        entry.prefill.level, entry.decode.level = 0.5 * targets, 0.3 * targets
        world.demand.demands[name] = entry
    now = timedelta(minutes=10)
    return {"propose_ms": _measure_ms(lambda: propose_changes(world, now))}


def measure_claims(count: int) -> dict[str, float]:
    """Return what encoding and decoding a slice with some claims costs."""
    entries = {
        hashlib.sha256(str(number).encode()).hexdigest()[:32]: ClaimEntry(
            f"entry-{number:03}-{number:024x}", f"{number:016x}", ClaimState.RAN, 1000
        )
        for number in range(count)
    }
    body = encode_slice(entries, 2000)
    if body is None:
        raise ValueError(f"{count} claims do not fit into one slice")
    return {
        "write_ms": _measure_ms(lambda: encode_slice(entries, 2000)),
        "read_ms": _measure_ms(lambda: decode_slice(1, body)),
        "slice_kb": len(body) / 1000,
    }


def measure_observation(targets: int) -> dict[str, float]:
    """Return the processor time of observing targets once, without the targets' own."""
    return asyncio.run(_run_observer(_serve_targets(), targets))


async def _run_observer(address: str, targets: int) -> dict[str, float]:
    world = World("entry-000", "d0")
    apply_configuration(world, parse_file(make_file(1, targets)))
    for target in world.targets.values():
        target.address = address
    engines = EngineClient()
    probes = ProbeClient(engines)
    observer = Observer(
        world,
        SystemClock(),
        engines.fetch_load,
        engines.fetch_state,
        probes.fetch_ready,
        world.targets.values,
        lambda target: None,
    )
    await observer.observe()
    spent = time.thread_time()
    for _ in range(REPEATS):
        await observer.observe()
    spent = time.thread_time() - spent
    await engines.close()
    await probes.close()
    return {"observe_ms": 1000 * spent / REPEATS}


def _serve_targets() -> str:
    """Answer every call with an engine's load, in a thread that is not measured."""
    loop = asyncio.new_event_loop()
    runner = web.AppRunner(_make_app())
    loop.run_until_complete(runner.setup())
    site = web.TCPSite(runner, "127.0.0.1", 0)
    loop.run_until_complete(site.start())
    address = runner.addresses[0]
    threading.Thread(target=loop.run_forever, daemon=True).start()
    return f"{address[0]}:{address[1]}"


def _make_app() -> web.Application:
    numbers = count(1)

    async def send_load(_: web.Request) -> web.Response:
        return web.json_response(LOAD | {"sequence": next(numbers)})

    app = web.Application()
    app.router.add_get("/{path:.*}", send_load)
    return app


def _measure_ms(work: Callable[[], Any]) -> float:
    """Return the least processor time of a call over all repeats, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return 1000 * min(times)
