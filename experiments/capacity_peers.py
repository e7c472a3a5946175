"""Measure what the peers cost one daemon as its surroundings grow."""

import asyncio
import os
import time
import tracemalloc
from dataclasses import dataclass, replace
from itertools import count
from random import Random

from galenapass.clocks import SystemClock
from galenapass.peers import PeerNetwork
from galenapass.systems.duties import Duty, find_holders
from galenapass.tables.hosts import Host
from galenapass.tables.peer_messages import Heartbeat, LimitUse, TargetReport, TargetUse

__all__ = ["Cost", "Load", "run"]

WARM_UP = 6.0
WINDOW = 10.0
STEP = 0.25
FAR_PERIOD = 10
UNBOUNDED = 10_000_000
ENGINE_PIECES = 2000
SECRET = "measured"
# Runs in other processes use the same addresses.
PORT = 20_000 + os.getpid() % 10_000
DOMAIN = "domain-0"
# Ethernet, IP and TCP headers of one segment, and the frame of HTTP/2 and gRPC.
SEGMENT_BYTES = 66
FRAME_BYTES = 14


@dataclass(slots=True, frozen=True)
class Load:
    """Hold the size of one run; rates are a second and a daemon."""

    daemons: int = 16
    targets: int = 250
    requests: int = 39
    far_daemons: int = 0
    limit_rows: int = 0
    budget: int = UNBOUNDED
    trace_memory: bool = False


@dataclass(slots=True, frozen=True)
class Cost:
    """Hold what one daemon spent a second; memory in bytes."""

    processor_ms: float
    payload_bytes: float
    wire_bytes: float
    batches: float
    links: float
    pending_rows: float
    memory: float


def run(load: Load) -> Cost:
    """Run daemons in one process on the loopback and return the mean of their costs."""
    return asyncio.run(_run(load))


async def _run(load: Load) -> Cost:
    if load.trace_memory:
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    peers = [_make_peers(number, load) for number in range(load.daemons)]
    for one in peers:
        one._join = [peers[0].address]
        await one.start()
    drivers = [asyncio.create_task(_drive(one, load)) for one in peers]
    drivers.append(asyncio.create_task(_drive_far(peers[0], load)))
    await asyncio.sleep(WARM_UP)
    counted = _count(peers)
    started, spent = time.monotonic(), time.process_time()
    await asyncio.sleep(WINDOW)
    spent = time.process_time() - spent
    elapsed = time.monotonic() - started
    payload, batches = (n - m for n, m in zip(_count(peers), counted, strict=True))
    memory = tracemalloc.get_traced_memory()[0] - before
    pending = sum(len(p) for one in peers for p in _list_pending(one))
    links = sum(len(one.links) for one in peers)
    for driver in drivers:
        driver.cancel()
    for one in peers:
        await one.stop()
    share = load.daemons * elapsed
    # A batch is one segment with data and one that acknowledges it.
    wire = payload + batches * (FRAME_BYTES + 2 * SEGMENT_BYTES)
    return Cost(
        1000 * spent / share,
        payload / share,
        wire / share,
        batches / share,
        links / load.daemons,
        pending / load.daemons,
        memory / load.daemons,
    )


def _make_peers(number: int, load: Load) -> PeerNetwork:
    peers = PeerNetwork(
        f"entry-{number:03}",
        DOMAIN,
        1,
        f"127.0.{1 + number // 200}.{1 + number % 200}:{PORT}",
        SECRET,
        [],
        SystemClock(),
        Random(number),
        load.budget,
    )
    return peers


def _count(peers: list[PeerNetwork]) -> tuple[int, int]:
    """Return the bytes sent and received, and the batches of both."""
    payload = sum(one.traffic.sent + one.traffic.received for one in peers)
    batches = sum(one.traffic.batches for one in peers)
    return payload, batches


def _list_pending(one: PeerNetwork) -> list[dict]:
    return [p for queue in one._state.table.queues.values() for p in queue.pending]


async def _drive(one: PeerNetwork, load: Load) -> None:
    """Begin and end requests, observe targets and use limits as a daemon does."""
    random = Random(one.address)
    in_flight = [0] * load.targets
    host = one._state.own.host
    hosts = [Host(f"entry-{n:03}", "", DOMAIN) for n in range(load.daemons)]
    observed = [
        target
        for target in range(load.targets)
        if find_holders(hosts, DOMAIN, Duty.OBSERVER, _name(target)) == [host]
    ]
    changes = 2 * load.requests * STEP
    for turn in count():
        for _ in range(int(changes) + (random.random() < changes % 1)):
            target = random.randrange(load.targets)
            in_flight[target] = max(0, in_flight[target] + random.choice((-1, 1)))
            used = in_flight[target]
            one.publish(TargetUse(host, _name(target), used, 700 * used, 40 * used))
        if turn % int(1 / STEP) == 0:
            for target in observed:
                one.publish(_make_report(target, turn, random))
            for caller in range(load.limit_rows):
                one.publish(LimitUse(host, f"caller-{caller:04}", turn, 1.5, 2.5))
        await asyncio.sleep(STEP)


def _make_report(target: int, turn: int, random: Random) -> TargetReport:
    running = random.randrange(40, 120)
    pieces = random.randrange(ENGINE_PIECES)
    prefill = random.randrange(20_000)
    return TargetReport(
        _name(target), "i1", turn, running, 3, prefill, pieces, ENGINE_PIECES, 16
    )


def _name(target: int) -> str:
    return f"runner-{target:04}"


async def _drive_far(one: PeerNetwork, load: Load) -> None:
    """Bring in the heartbeats of other domains as a link across would."""
    news = [
        Heartbeat(f"far-{n:03}", "127.0.0.1:1", f"domain-{1 + n % 7}", 1, 0)
        for n in range(load.far_daemons)
    ]
    for beat in count(1):
        for row in news:
            one._state.apply_item("", replace(row, counter=beat * FAR_PERIOD))
            await asyncio.sleep(FAR_PERIOD / len(news))
        if not news:
            return
