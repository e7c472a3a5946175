"""Measure the cost of the peer network to one daemon for fleets of several sizes."""

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

WARM_UP_SECONDS = 6.0
WINDOW_SECONDS = 10.0
STEP_SECONDS = 0.25
FAR_PERIOD_SECONDS = 10
UNLIMITED_BUDGET = 10_000_000  # bytes a second
ENGINE_PIECES = 2000
SECRET = "measured"
# Runs in other processes use the same addresses, so the port depends on the process.
PORT = 20_000 + os.getpid() % 10_000
DOMAIN = "domain-0"
# Headers of Ethernet, IP and TCP on each segment; frame headers of HTTP/2 and gRPC.
SEGMENT_BYTES = 66
FRAME_BYTES = 14


@dataclass(slots=True, frozen=True)
class Load:
    """Size of one run; requests and limit rows are per second and daemon.

    ``budget`` is in bytes per second and daemon.
    """

    daemons: int = 16
    targets: int = 250
    requests: int = 39
    far_daemons: int = 0
    limit_rows: int = 0
    budget: int = UNLIMITED_BUDGET
    trace_memory: bool = False


@dataclass(slots=True, frozen=True)
class Cost:
    """Mean cost of one daemon.

    Processor time, bytes and batches are per second; memory is in bytes.
    """

    processor_ms: float
    payload_bytes: float
    wire_bytes: float
    batches: float
    links: float
    pending_rows: float
    memory: float


def run(load: Load) -> Cost:
    """Run all peers in this process over loopback and return the mean cost of one."""
    return asyncio.run(_run(load))


async def _run(load: Load) -> Cost:
    if load.trace_memory:
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    peers = [_make_peer(number, load) for number in range(load.daemons)]
    for peer in peers:
        peer._join = [peers[0].address]
        await peer.start()
    drivers = [asyncio.create_task(_drive(peer, load)) for peer in peers]
    drivers.append(asyncio.create_task(_drive_far(peers[0], load)))
    await asyncio.sleep(WARM_UP_SECONDS)
    counts_before = _count_traffic(peers)
    started, spent = time.monotonic(), time.process_time()
    await asyncio.sleep(WINDOW_SECONDS)
    spent = time.process_time() - spent
    elapsed = time.monotonic() - started
    payload, batches = (
        n - m for n, m in zip(_count_traffic(peers), counts_before, strict=True)
    )
    memory = tracemalloc.get_traced_memory()[0] - before
    pending = sum(len(p) for peer in peers for p in _list_pending(peer))
    links = sum(len(peer.links) for peer in peers)
    for driver in drivers:
        driver.cancel()
    for peer in peers:
        await peer.stop()
    daemon_seconds = load.daemons * elapsed
    # Each batch takes one segment with data and one that acknowledges it.
    wire = payload + batches * (FRAME_BYTES + 2 * SEGMENT_BYTES)
    return Cost(
        1000 * spent / daemon_seconds,
        payload / daemon_seconds,
        wire / daemon_seconds,
        batches / daemon_seconds,
        links / load.daemons,
        pending / load.daemons,
        memory / load.daemons,
    )


def _make_peer(number: int, load: Load) -> PeerNetwork:
    peer = PeerNetwork(
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
    return peer


def _count_traffic(peers: list[PeerNetwork]) -> tuple[int, int]:
    """Return the total bytes and batches sent and received."""
    payload = sum(peer.traffic.sent + peer.traffic.received for peer in peers)
    batches = sum(peer.traffic.batches for peer in peers)
    return payload, batches


def _list_pending(peer: PeerNetwork) -> list[dict]:
    return [p for queue in peer._state.table.queues.values() for p in queue.pending]


async def _drive(peer: PeerNetwork, load: Load) -> None:
    """Publish target use, target reports and limit use as a daemon does."""
    random = Random(peer.address)
    in_flight = [0] * load.targets
    host = peer._state.own.host
    hosts = [Host(f"entry-{n:03}", "", DOMAIN) for n in range(load.daemons)]
    observed = [
        target
        for target in range(load.targets)
        if find_holders(hosts, DOMAIN, Duty.OBSERVER, _name_target(target)) == [host]
    ]
    changes = 2 * load.requests * STEP_SECONDS
    for step in count():
        for _ in range(int(changes) + (random.random() < changes % 1)):
            target = random.randrange(load.targets)
            in_flight[target] = max(0, in_flight[target] + random.choice((-1, 1)))
            used = in_flight[target]
            peer.publish(
                TargetUse(host, _name_target(target), used, 700 * used, 40 * used)
            )
        if step % int(1 / STEP_SECONDS) == 0:
            for target in observed:
                peer.publish(_make_report(target, step, random))
            for caller in range(load.limit_rows):
                peer.publish(LimitUse(host, f"caller-{caller:04}", step, 1.5, 2.5))
        await asyncio.sleep(STEP_SECONDS)


def _make_report(target: int, step: int, random: Random) -> TargetReport:
    running = random.randrange(40, 120)
    pieces = random.randrange(ENGINE_PIECES)
    prefill = random.randrange(20_000)
    return TargetReport(
        _name_target(target), "i1", step, running, 3, prefill, pieces, ENGINE_PIECES, 16
    )


def _name_target(target: int) -> str:
    return f"runner-{target:04}"


async def _drive_far(peer: PeerNetwork, load: Load) -> None:
    """Apply heartbeats of other domains as if a link to them had received them."""
    heartbeats = [
        Heartbeat(f"far-{n:03}", "127.0.0.1:1", f"domain-{1 + n % 7}", 1, 0)
        for n in range(load.far_daemons)
    ]
    for round_number in count(1):
        for heartbeat in heartbeats:
            peer._state.apply_item(
                "", replace(heartbeat, counter=round_number * FAR_PERIOD_SECONDS)
            )
            await asyncio.sleep(FAR_PERIOD_SECONDS / len(heartbeats))
        if not heartbeats:
            return
