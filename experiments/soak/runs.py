"""Run one soak: faults on time, clients beside them, checks at the end."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp

from experiments.soak.clients import Client
from experiments.soak.environment import World
from experiments.soak.faults import Fault, plan_faults
from experiments.soak.invariants import ROUTES, SLACK_SECONDS, Outcome, find_violations
from stand_ins.platform_routes import HOST
from stand_ins.runner import STREAM_BODY

__all__ = ["Report", "describe", "run_soak"]

READY_SECONDS = 15.0
# After the last fault: configuration in force, roles settled, entries back.
RECOVERY_SECONDS = 8.0
# Around a fault, in seconds.
BEFORE, AFTER = 0.2, 1.0
POLL_SECONDS = 0.05


@dataclass(slots=True)
class Report:
    """Hold what was done, what clients saw and which promises were broken."""

    faults: list[Fault]
    outcomes: list[Outcome]
    violations: list[str]


async def run_soak(
    seed: int, seconds: float, count: int, daemons: int, clients: int, folder: Path
) -> Report:
    """Play the faults of a seed for so many seconds and check the promises."""
    world = World(folder, daemons)
    faults = plan_faults(seed, seconds, count, list(world.daemons), list(world.runners))
    addresses = {name: daemon.address for name, daemon in world.daemons.items()}
    people = [Client(f"c{n}", addresses, Random(f"{seed}-{n}")) for n in range(clients)]
    try:
        await world.start()
        missing = await _wait_ready(world)
        started = time.monotonic()
        is_over = lambda: time.monotonic() > started + seconds  # noqa: E731
        async with asyncio.TaskGroup() as tasks:
            for client in people:
                tasks.create_task(client.run(started, is_over))
            for fault in faults:
                tasks.create_task(_play(world, fault, started))
        missing += await _check_recovery(world, people[0])
        missing += await _stop_daemons(world)
    finally:
        await world.stop()
    outcomes = [outcome for client in people for outcome in client.outcomes]
    broken = find_violations(outcomes, world.list_ran(), STREAM_BODY)
    broken = [what for what in broken if not _is_excused(what, outcomes, faults)]
    return Report(faults, outcomes, missing + broken)


async def _play(world: World, fault: Fault, started: float) -> None:
    await asyncio.sleep(max(started + fault.at - time.monotonic(), 0))
    await world.apply(fault)


async def _wait_ready(world: World, seconds: float = READY_SECONDS) -> list[str]:
    """Wait until every daemon is ready; return those that are not."""
    waiting = set(world.daemons)
    end = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
        while waiting and time.monotonic() < end:
            for name in sorted(waiting):
                url = f"http://{world.daemons[name].ip}:{world.daemons[name].ready}/readyz"
                if await _fetch_status(session, url) == 200:
                    waiting.discard(name)
            await asyncio.sleep(POLL_SECONDS)
    return [f"{name} is not ready" for name in sorted(waiting)]


async def _fetch_status(
    session: aiohttp.ClientSession, url: str, **headers: str
) -> int:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        async with session.get(
            url, headers=named, timeout=aiohttp.ClientTimeout(total=3)
        ) as answer:
            return answer.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return 0


async def _check_recovery(world: World, client: Client) -> list[str]:
    """Return what does not work once every fault has ended."""
    for name in world.daemons:
        await world.start_daemon(name)
    missing = await _wait_ready(world)
    await asyncio.sleep(RECOVERY_SECONDS)
    async with aiohttp.ClientSession() as session:
        for name, daemon in world.daemons.items():
            for route in ROUTES:
                outcome = await client.ask(session, route, name)
                client.outcomes.append(outcome)
                if outcome.status != 200:
                    missing.append(
                        f"{name} answers {route} with {outcome.status} after all"
                    )
            for version, expected in ((world.version, 200), (world.version - 1, 404)):
                url = f"http://{daemon.address}/version-{version}/x"
                attempt = f"{name}-version-{version}"
                status = await _fetch_status(
                    session, url, Host=HOST, X_Galenapass_Attempt_Id=attempt
                )
                for ran in world.list_ran().values():
                    if attempt in ran:
                        ran.remove(attempt)
                if status != expected:
                    missing.append(f"{name} answers version {version} with {status}")
    return missing


async def _stop_daemons(world: World) -> list[str]:
    await asyncio.gather(*(d.terminate() for d in world.daemons.values()))
    return [end for daemon in world.daemons.values() for end in daemon.exits]


def _is_excused(what: str, outcomes: list[Outcome], faults: list[Fault]) -> bool:
    """Tell whether a daemon could not keep a deadline because it did not run."""
    if "held for" not in what:
        return False
    attempt = what.split()[3].rstrip(":")
    outcome = next(o for o in outcomes if o.attempt == attempt)
    return any(
        fault.place == outcome.daemon
        and fault.kind in ("pause", "kill", "terminate")
        and fault.at <= outcome.deadline + SLACK_SECONDS
        and fault.end + SLACK_SECONDS >= outcome.began
        for fault in faults
    )


def describe(report: Report) -> str:
    """Return the faults, what clients saw around each, and the broken promises."""
    lines = [f"{_count(report.outcomes)} in all"]
    for fault in report.faults:
        near = [
            outcome
            for outcome in report.outcomes
            if outcome.began <= fault.end + AFTER and outcome.ended >= fault.at - BEFORE
        ]
        lines.append(
            f"{fault.at:6.2f} s for {fault.lasts:4.2f} s {fault.kind} at {fault.place}:"
            f" {_count(near)}"
        )
    lines += [f"BROKEN {what}" for what in report.violations]
    return "\n".join([*lines, f"{len(report.violations)} promises broken"])


def _count(outcomes: list[Outcome]) -> str:
    counts = Counter(
        str(o.status) if o.whole else f"{o.status or 'no answer'} broken"
        for o in outcomes
    )
    return ", ".join(f"{count} x {what}" for what, count in sorted(counts.items()))
