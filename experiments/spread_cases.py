"""Measure in several cases how fast daemons apply a change."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from experiments.fleet import Fleet

__all__ = ["CASES", "Case"]

FILE_BOUND = 4.0  # seconds
LEAVING_BOUND = 3.0  # seconds
CUT_DOMAIN = "north"
LEAVING_TARGET = "runner-east"
TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
LATE_ANSWER_SECONDS = 1.0
# Longer than the silence after which peers close a link.
PAUSE_SECONDS = 10.0
# Long enough for the pauses between connection attempts to reach their maximum.
ISOLATION_SECONDS = 25.0
FILE_PATH = "/objects/configurations/current"

Round = Callable[[Fleet], Awaitable[list[float]]]


@dataclass(slots=True, frozen=True)
class Case:
    """Case to measure; a round returns the seconds that each daemon took."""

    name: str
    run_round: Round
    bound: float = FILE_BOUND


async def _spread_undisturbed(fleet: Fleet) -> list[float]:
    """Time all daemons without any disturbance."""
    return await _time_spread(fleet, fleet.daemons)


async def _spread_late(fleet: Fleet) -> list[float]:
    """Time all daemons while the platform answers 1 s late."""
    await fleet.set_faults("platform", delay=LATE_ANSWER_SECONDS)
    try:
        await asyncio.sleep(2 * LATE_ANSWER_SECONDS)
        return await _time_spread(fleet, fleet.daemons)
    finally:
        await fleet.set_faults("platform")


async def _spread_cut(fleet: Fleet) -> list[float]:
    """Time the daemons of a domain that is cut off from the platform."""
    await fleet.set_faults("platform", cut_domains=[CUT_DOMAIN])
    try:
        await asyncio.sleep(1)
        durations = await _time_spread(fleet, fleet.daemons)
        in_cut_domain = [spec.domain == CUT_DOMAIN for spec in fleet.daemons.values()]
        return [
            seconds
            for seconds, is_included in zip(durations, in_cut_domain, strict=True)
            if is_included
        ]
    finally:
        await fleet.set_faults("platform")


async def _spread_paused(fleet: Fleet) -> list[float]:
    """Time the daemons of a paused domain from when they continue."""
    paused = _list_cut_daemons(fleet)
    previous_version = await _read_version(fleet)
    with _pause(fleet, paused):
        await asyncio.sleep(PAUSE_SECONDS / 2)
        await _time_spread(fleet, fleet.daemons.keys() - paused)
        await asyncio.sleep(PAUSE_SECONDS / 2)
    return await _wait_for_all(fleet, paused, previous_version)


async def _spread_isolated(fleet: Fleet) -> list[float]:
    """Time the daemons of an isolated domain from when the isolation ends.

    The platform drops their calls and the daemons of other domains are paused.
    """
    isolated = _list_cut_daemons(fleet)
    previous_version = await _read_version(fleet)
    await fleet.set_faults("platform", cut_domains=[CUT_DOMAIN])
    try:
        with _pause(fleet, fleet.daemons.keys() - isolated):
            await asyncio.sleep(ISOLATION_SECONDS)
            await _write_file(fleet, previous_version)
    finally:
        await fleet.set_faults("platform")
    return await _wait_for_all(fleet, isolated, previous_version)


@contextmanager
def _pause(fleet: Fleet, names: Iterable[str]) -> Iterator[None]:
    processes = [fleet.processes[name] for name in names]
    for process in processes:
        process.send(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in processes:
            process.send(signal.SIGCONT)


def _list_cut_daemons(fleet: Fleet) -> list[str]:
    return [name for name, spec in fleet.daemons.items() if spec.domain == CUT_DOMAIN]


async def _time_spread(fleet: Fleet, names: Iterable[str]) -> list[float]:
    """Write a file and return the seconds of each daemon, in the order of names."""
    previous_version = await _read_version(fleet)
    # The write takes effect before its response, so time counts from the request.
    waiting = asyncio.create_task(_wait_for_all(fleet, names, previous_version))
    await _write_file(fleet, previous_version)
    return await waiting


async def _write_file(fleet: Fleet, previous_version: int) -> None:
    text = fleet.format_operators_file(extra=f"# after version {previous_version}\n")
    headers = {"If-Match": f'"{previous_version}"'}
    url = f"http://{fleet.platform}{FILE_PATH}"
    async with fleet.session.put(url, data=text, headers=headers) as response:
        response.raise_for_status()


async def _wait_for_all(
    fleet: Fleet, names: Iterable[str], previous_version: int
) -> list[float]:
    started = time.monotonic()
    waits = [
        _wait_for_newer_version(fleet, name, previous_version, started)
        for name in names
    ]
    return await asyncio.gather(*waits)


async def _spread_leaving(fleet: Fleet) -> list[float]:
    """Time the daemons that see a target when it is marked as leaving.

    The platform's host list has no lag here.
    """
    domain = fleet.targets[LEAVING_TARGET].domain
    expected = [
        name
        for name, spec in fleet.daemons.items()
        if spec.reach == "fleet" or spec.domain == domain
    ]
    started = time.monotonic()
    await fleet.publish_hosts(leaving=[LEAVING_TARGET])
    waits = [_wait_for_state(fleet, name, "leaving", started) for name in expected]
    durations = await asyncio.gather(*waits)
    await fleet.publish_hosts()
    restored = [_wait_for_state(fleet, name, "serving", started) for name in expected]
    await asyncio.gather(*restored)
    return durations


async def _wait_for_state(fleet: Fleet, name: str, state: str, started: float) -> float:
    """Return the seconds until a daemon lists the leaving target in a state."""
    while (seconds := time.monotonic() - started) < TIMEOUT_SECONDS:
        rows = (await fleet.query_operators_port(name, "/targets"))["targets"]
        if any(row["id"] == LEAVING_TARGET and row["state"] == state for row in rows):
            return time.monotonic() - started
        await asyncio.sleep(POLL_SECONDS)
    return seconds


async def _read_version(fleet: Fleet) -> int:
    async with fleet.session.get(f"http://{fleet.platform}{FILE_PATH}") as response:
        return int(response.headers["ETag"].strip('"'))


async def _wait_for_newer_version(
    fleet: Fleet, name: str, previous_version: int, started: float
) -> float:
    """Return the seconds until the status of a daemon has a newer version."""
    while (seconds := time.monotonic() - started) < TIMEOUT_SECONDS:
        status = await fleet.query_operators_port(name, "/status")
        if status["settings_version"] > previous_version:
            return time.monotonic() - started
        await asyncio.sleep(POLL_SECONDS)
    return seconds


CASES = (
    Case("undisturbed", _spread_undisturbed),
    Case("the platform answers 1 s late", _spread_late),
    Case("a domain cut off from the platform; its daemons", _spread_cut),
    Case("a domain paused; its daemons, from when they go on", _spread_paused),
    Case("a domain runs alone; its daemons, from the end of it", _spread_isolated),
    Case("a target leaves", _spread_leaving, LEAVING_BOUND),
)
