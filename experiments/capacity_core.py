"""Measure the cost of one daemon's systems for tables of several sizes."""

import asyncio
import io
import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Any

import orjson
from result import Err

from galenapass.clocks import SystemClock
from galenapass.core import Core
from galenapass.logs import add_log_stream
from galenapass.metrics import make_metrics
from galenapass.peers.encoding import Encoder
from galenapass.settings.fleet import parse_configuration
from galenapass.systems import limits, membership, settings_sync
from galenapass.systems.duties import Duty, find_holders
from galenapass.systems.membership import ListedDaemon, Membership
from galenapass.systems.targets import apply_configuration, apply_presence
from galenapass.tables.configurations import Configuration
from galenapass.tables.hosts import Host
from galenapass.tables.limits import PeerLimitUse
from galenapass.tables.peer_messages import Settings
from galenapass.tables.requests import Request
from galenapass.tables.targets import LoadReport
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "measure_host_list",
    "measure_limits",
    "measure_observer_lookup",
    "measure_parsing",
    "measure_request",
    "measure_settings_sync",
    "parse_file",
]

REPEATS = 15
REQUESTS = 300
KEY = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8"
COMPLETED = Verdict(Run.RAN, Reason.COMPLETED)
ZERO = timedelta(0)


def make_file(callers: int, targets: int, changed: int | None = None) -> str:
    """Return an operators' file; the caller ``changed`` has a different rate."""
    parts = [
        "[fleet]\ntime zone = UTC\n",
        "[service assistant]\nkind = engine\nmodel = m\n",
    ]
    parts += [
        f"[caller caller-{number:04}]\nkey sha256 = {number:04}{KEY[4:]}\n"
        f"services = assistant\nrate = {50 if number == changed else 40} req/s\n"
        for number in range(callers)
    ]
    parts += [
        f"[target runner-{number:04}]\nservice = assistant\n"
        f"address = 10.0.{number // 250}.{number % 250}:9000\ndomain = d{number % 8}\n"
        for number in range(targets)
    ]
    return "\n".join(parts)


def measure_parsing(callers: int, targets: int) -> dict[str, float]:
    """Return the milliseconds to parse a file, parse a change of it and apply it."""
    text = make_file(callers, targets)
    sections: dict[Any, Any] = {}
    whole_ms = _measure_ms(lambda: parse_configuration(text, 1, "measured"))
    first = parse_file(text, sections)
    texts = [make_file(callers, targets, number) for number in range(REPEATS)]
    changed_texts = iter(texts)
    changed_ms = _measure_ms(
        lambda: parse_configuration(next(changed_texts), 2, "measured", sections)
    )
    worlds = iter([World("entry-0", "d0") for _ in range(REPEATS)])
    apply_ms = _measure_ms(lambda: apply_configuration(next(worlds), first))
    return {
        "whole_ms": whole_ms,
        "changed_ms": changed_ms,
        "apply_ms": apply_ms,
        "file_kb": len(text) / 1000,
    }


def measure_settings_sync(callers: int, targets: int) -> dict[str, float]:
    """Return what sending and receiving a change of one line costs."""
    old, new = make_file(callers, targets), make_file(callers, targets, callers // 2)
    sender, receiver = settings_sync.SettingsReplica(), settings_sync.SettingsReplica()
    for replica in (sender, receiver):
        settings_sync.apply_settings(replica, Settings(1, old), bool)
    settings_sync.apply_settings(sender, Settings(2, new), bool)
    patch = settings_sync.make_settings_reply(sender, 1, False)
    if not isinstance(patch, settings_sync.Patch):
        raise ValueError(f"expected a patch of the settings, got {patch}")
    send = _measure_ms(lambda: settings_sync.make_settings_reply(sender, 1, False))
    receive = _measure_ms(lambda: settings_sync.apply_patch(receiver, patch))
    return {
        "send_ms": send,
        "receive_ms": receive,
        "patch_bytes": _count_bytes(patch),
        "whole_bytes": _count_bytes(sender.current),
    }


def measure_host_list(daemons: int, targets: int) -> dict[str, float]:
    """Return what decoding and applying the platform's host list once costs."""
    rows = [
        {
            "id": f"entry-{number:03}",
            "kind": "daemon" if number < daemons else "target",
            "address": f"10.0.{number // 250}.{number % 250}:8082",
            "domain": f"d{number % 8}",
            "state": "live",
            "incarnation": 1_790_000_000_000 + number,
        }
        for number in range(daemons + targets)
    ]
    body = orjson.dumps({"hosts": rows})
    members = Membership.make("entry-000", "d0", {})
    world = World("entry-000", "d0")

    def apply_list() -> None:
        received = orjson.loads(body)["hosts"]
        listed = [
            ListedDaemon(row["id"], row["address"], row["domain"], row["incarnation"])
            for row in received
            if row["kind"] == "daemon"
        ]
        membership.apply_host_list(members, listed, ZERO)
        live = [row["id"] for row in received if row["kind"] == "target"]
        apply_presence(world, leaving=[], live=live)

    return {"list_ms": _measure_ms(apply_list), "list_kb": len(body) / 1000}


def measure_limits(callers: int, daemons: int) -> dict[str, float]:
    """Return the cost of one second's work on the callers' limits, and their memory."""
    text = make_file(callers, 1)
    world = World("entry-000", "d0")
    world.configuration = parse_file(text)
    hosts = {f"entry-{n:03}": Host(f"entry-{n:03}", "", "d0") for n in range(daemons)}
    world.hosts.update(hosts)
    names = list(world.configuration.callers)
    tracemalloc.start()
    for host in hosts:
        used = {name: PeerLimitUse(0.1, 0.1, ZERO) for name in names}
        limits.apply_peer_use(world, host, used, ZERO)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    second = timedelta(seconds=1)

    def run_second() -> None:
        limits.rebalance(world, second)
        limits.list_own_use(world, second)

    return {"second_ms": _measure_ms(run_second), "memory_mb": memory / 1e6}


def measure_observer_lookup(daemons: int, targets: int) -> dict[str, float]:
    """Return what finding the observers of all targets costs."""
    hosts = [Host(f"entry-{n:03}", "", "d0") for n in range(daemons)]
    names = [f"runner-{n:04}" for n in range(targets)]

    def find_observers() -> None:
        for name in names:
            find_holders(hosts, "d0", Duty.OBSERVER, name)

    return {"find_ms": _measure_ms(find_observers)}


def measure_request(targets: int, running: int) -> dict[str, float]:
    """Return what one request costs from arrival to end, including its logs."""
    return asyncio.run(_run_requests(targets, running))


async def _run_requests(targets: int, running: int) -> dict[str, float]:
    add_log_stream(io.StringIO())
    world = World("entry-000", "d0")
    apply_configuration(world, parse_file(make_file(1, targets)))
    clock = SystemClock()
    for target in world.targets.values():
        target.load = LoadReport("i", 1, 4, 0, 1000, 400, 2000, 16)
        target.load_at = clock.monotonic()

    async def return_false(_: Any) -> bool:
        return False

    core = Core(
        world,
        clock,
        Random(1),
        make_metrics(),
        return_false,
        lambda *_: False,
        lambda: None,
    )
    core.start()
    requests = [_make_request(n, clock) for n in range(running + REQUESTS)]
    for request in requests[:running]:
        await core.route(request)
    started = time.process_time()
    refused = 0
    for index, request in enumerate(requests[running:]):
        refused += (await core.route(request)).is_err()
        core.record_first_token(request)
        core.end(requests[index], COMPLETED)
    spent = time.process_time() - started
    core.stop()
    return {"request_ms": 1000 * spent / REQUESTS, "refused": refused}


def _make_request(number: int, clock: SystemClock) -> Request:
    random = Random(number)
    now = clock.monotonic()
    return Request(
        f"r-{number}",
        "unlimited",
        "assistant",
        now,
        now + timedelta(seconds=60),
        fingerprint=f"f{number}",
        prompt_tokens=800,
        output_tokens=280,
        blocks=tuple(random.getrandbits(64) for _ in range(12)),
    )


def parse_file(text: str, sections: dict[Any, Any] | None = None) -> Configuration:
    """Return the configuration in a generated file."""
    parsed = parse_configuration(text, 1, "measured", sections)
    if isinstance(parsed, Err):
        raise ValueError(f"the generated file is invalid: {parsed.err_value}")
    return parsed.ok_value


def _measure_ms(work: Callable[[], Any]) -> float:
    """Return the least processor time of a call over all repeats, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return 1000 * min(times)


def _count_bytes(settings: Settings | settings_sync.Patch) -> int:
    encoder = Encoder()
    batch = encoder.encode([], settings.version)
    encoder.put_settings(batch, settings)
    return batch.ByteSize()
