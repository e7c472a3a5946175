"""Kill all daemons as the store comes back from a copy that is some seconds old.

Another usage report of a window that was accepted before has other counts.
"""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

from review.support_2 import (
    BROKEN,
    HELD,
    LIMITS,
    NOT_RUN,
    TROUBLE,
    Daemon,
    Record,
    Runner,
    make_route,
    run_case,
    send,
    serve_app,
    serve_store,
    start_daemons,
)
from stand_ins.metadata_store import MetadataStore, StoreCopy
from stand_ins.operations import Operations

ZONES = ("zone-a", "zone-b", "zone-c")
# The figures of the deployment's sheet.
CONTACT_MS = 4000
BOUNDS = """\
revoke_strict = false
revoke_ms = 5000
report_window_s = 5
usage_tolerance = 0.05
usage_late_s = 10
"""
CLOUD = """\
[cloud]
address = "{address}"
rate_per_s = 50.0
duties = ["usage_report"]
duty_per_s = 50.0
"""
# Requests a second at each machine, by organisation.
RATES = {"a": 5.0, "b": 2.0}
COPY_PERIOD_SECONDS = 0.25
# Age of the copy from which the store comes back, and how long it is away.
COPY_AGE_SECONDS = 4.0
AWAY_SECONDS = 0.6
PLAY_SECONDS = 18.0
REST_SECONDS = 32.0


def make_configuration() -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": 3,
        "routes": [
            make_route("/hold/", "non_idempotent"),
            make_route("/check/", "idempotent", attempts=2),
        ],
        "services": [{"name": "desk", "health_path": "/healthz"}],
        "limits": LIMITS,
        "tenants": [{"name": name, "api_keys": [f"key-{name}"]} for name in RATES],
    }


async def play(record: Record, scratch: Path) -> int:
    """Play the case and return its exit status."""
    operations = Operations()
    async with (
        serve_store() as (store, address),
        serve_app(operations.make_app()) as cloud,
    ):
        store.put("config", "main", make_configuration())
        runners = [
            Runner(
                f"i-{zone}", zone, 0.0225, store, on_run=lambda runner, request: None
            )
            for zone in ZONES
        ]
        daemons = [
            Daemon(
                number,
                zone,
                scratch,
                address,
                CONTACT_MS,
                BOUNDS,
                CLOUD.format(address=cloud),
            )
            for number, zone in enumerate(ZONES, start=1)
        ]
        try:
            for runner in runners:
                await runner.start()
            async with start_daemons(daemons):
                back_at = await play_drill(record, store, operations, daemons, runners)
        finally:
            for runner in runners:
                await runner.stop()
    return check(record, operations, back_at)


async def play_drill(
    record: Record,
    store: MetadataStore,
    operations: Operations,
    daemons: list[Daemon],
    runners: list[Runner],
) -> float:
    """Send requests all along, and play the drill; return when the store is back."""
    clients = [
        asyncio.create_task(send_all(daemon, name, rate))
        for daemon in daemons
        for name, rate in RATES.items()
    ]
    copies: list[tuple[float, StoreCopy]] = []
    started = time.monotonic()
    seen = len(operations.calls)
    # Until a report has just been accepted.
    while time.monotonic() < started + PLAY_SECONDS or len(operations.calls) == seen:
        seen = len(operations.calls)
        if not copies or time.monotonic() > copies[-1][0] + COPY_PERIOD_SECONDS:
            copies.append((time.monotonic(), store.copy()))
        await asyncio.sleep(0.05)
    back_at = time.monotonic()
    if TROUBLE:
        record.write("all processes are killed, and the store is away")
        store.faults.status = 503
        await asyncio.gather(*(daemon.kill() for daemon in daemons))
        await asyncio.sleep(AWAY_SECONDS)
        oldest = time.monotonic() - COPY_AGE_SECONDS
        taken_at, copy = [item for item in copies if item[0] <= oldest][-1]
        store.restore(copy)
        # What the operator and the runners wrote is written again.
        store.put("config", "main", make_configuration())
        for runner in runners:
            runner.register()
        store.faults.status = None
        back_at = time.monotonic()
        record.write("the store is back", copy_age_s=round(back_at - taken_at, 2))
        await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(REST_SECONDS)
    for client in clients:
        client.cancel()
    ended = await asyncio.gather(*clients, return_exceptions=True)
    errors = [repr(error) for error in ended if isinstance(error, Exception)]
    record.write("clients have ended", errors=errors)
    return back_at


async def send_all(daemon: Daemon, name: str, rate: float) -> None:
    """Send requests of one organisation until cancelled."""

    async def send_one() -> None:
        path = f"/check/{random.randrange(1_000_000)}"
        await send(daemon, "GET", path, headers=f"Authorization: Token key-{name}\r\n")

    async with asyncio.TaskGroup() as tasks:
        while True:
            await asyncio.sleep(random.expovariate(rate))
            tasks.create_task(send_one())


def check(record: Record, operations: Operations, back_at: float) -> int:
    """Return whether all reports of a window that were accepted have equal counts."""
    accepted: dict[int, dict[str, int]] = {}
    reports: Counter[int] = Counter()
    is_broken = False
    for call in operations.calls:
        window, counts = call.body["window"], call.body["counts"]
        reports[window] += 1
        first = accepted.setdefault(window, counts)
        differs = first != counts
        is_broken = is_broken or differs
        record.write(
            "report is accepted" + (", with OTHER COUNTS" if differs else ""),
            since_return_s=round(call.at - back_at, 2),
            holder=call.holder,
            fence=call.fence,
            window=window,
            counts=counts,
        )
    if len(accepted) < 4 or not any(call.at > back_at for call in operations.calls):
        return NOT_RUN
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
