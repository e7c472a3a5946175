"""Make each case of the spread of a file once and time every daemon."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from experiments.fleet import Fleet

__all__ = ["CASES", "Case"]

FILE_BOUND = 4.0
LEAVING_BOUND = 3.0
CUT = "north"
LEAVING = "runner-east"
GIVE_UP_SECONDS = 30.0
POLL_SECONDS = 0.1
LATE_ANSWER_SECONDS = 1.0
# Longer than the silence after which partners close a link.
PAUSE_SECONDS = 10.0
# Long enough for the pauses between tries to reach their longest.
ALONE_SECONDS = 25.0
FILE_URL = "/objects/configurations/current"

Round = Callable[[Fleet], Awaitable[list[float]]]


@dataclass(slots=True, frozen=True)
class Case:
    """Hold a case; a round returns the seconds that each daemon took."""

    name: str
    run_round: Round
    bound: float = FILE_BOUND


async def _spread_undisturbed(fleet: Fleet) -> list[float]:
    """Undisturbed."""
    return await _spread(fleet, fleet.daemons)


async def _spread_late(fleet: Fleet) -> list[float]:
    """The platform answers 1 s late."""
    await fleet.set_faults("platform", delay=LATE_ANSWER_SECONDS)
    try:
        await asyncio.sleep(2 * LATE_ANSWER_SECONDS)
        return await _spread(fleet, fleet.daemons)
    finally:
        await fleet.set_faults("platform")


async def _spread_cut(fleet: Fleet) -> list[float]:
    """One domain is cut off from the platform; its daemons."""
    await fleet.set_faults("platform", cut_domains=[CUT])
    try:
        await asyncio.sleep(1)
        taken = await _spread(fleet, fleet.daemons)
        cut = [spec.domain == CUT for spec in fleet.daemons.values()]
        return [seconds for seconds, is_cut in zip(taken, cut, strict=True) if is_cut]
    finally:
        await fleet.set_faults("platform")


async def _spread_paused(fleet: Fleet) -> list[float]:
    """One domain is paused; its daemons, from when they go on."""
    paused = _list_cut(fleet)
    before = await _read_version(fleet)
    with _pause(fleet, paused):
        await asyncio.sleep(PAUSE_SECONDS / 2)
        await _spread(fleet, fleet.daemons.keys() - paused)
        await asyncio.sleep(PAUSE_SECONDS / 2)
    return await _wait_all(fleet, paused, before)


async def _spread_alone(fleet: Fleet) -> list[float]:
    """One domain runs alone without the platform; its daemons, from the end of it."""
    alone = _list_cut(fleet)
    before = await _read_version(fleet)
    await fleet.set_faults("platform", cut_domains=[CUT])
    try:
        with _pause(fleet, fleet.daemons.keys() - alone):
            await asyncio.sleep(ALONE_SECONDS)
            await _write(fleet, before)
    finally:
        await fleet.set_faults("platform")
    return await _wait_all(fleet, alone, before)


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


def _list_cut(fleet: Fleet) -> list[str]:
    return [name for name, spec in fleet.daemons.items() if spec.domain == CUT]


async def _spread(fleet: Fleet, names: Iterable[str]) -> list[float]:
    """Write a file; return how long each daemon took, in the order of names."""
    before = await _read_version(fleet)
    # The write takes effect before its answer, so the clock starts when it is sent.
    waiting = asyncio.create_task(_wait_all(fleet, names, before))
    await _write(fleet, before)
    return await waiting


async def _write(fleet: Fleet, before: int) -> None:
    text = fleet.format_operators_file(extra=f"# after version {before}\n")
    headers = {"If-Match": f'"{before}"'}
    url = f"http://{fleet.platform}{FILE_URL}"
    async with fleet.session.put(url, data=text, headers=headers) as answer:
        answer.raise_for_status()


async def _wait_all(fleet: Fleet, names: Iterable[str], before: int) -> list[float]:
    started = time.monotonic()
    waits = [_wait_newer(fleet, name, before, started) for name in names]
    return await asyncio.gather(*waits)


async def _spread_leaving(fleet: Fleet) -> list[float]:
    """Mark a target as leaving in the platform's list, which does not lag here."""
    domain = fleet.targets[LEAVING].domain
    sending = [
        name
        for name, spec in fleet.daemons.items()
        if spec.reach == "fleet" or spec.domain == domain
    ]
    started = time.monotonic()
    await fleet.publish_hosts(leaving=[LEAVING])
    waits = [_wait_state(fleet, name, "leaving", started) for name in sending]
    taken = await asyncio.gather(*waits)
    await fleet.publish_hosts()
    back = [_wait_state(fleet, name, "serving", started) for name in sending]
    await asyncio.gather(*back)
    return taken


async def _wait_state(fleet: Fleet, name: str, state: str, started: float) -> float:
    """Return the seconds until a daemon shows the target in a state."""
    while (seconds := time.monotonic() - started) < GIVE_UP_SECONDS:
        rows = (await fleet.query_operators_port(name, "/targets"))["targets"]
        if any(row["id"] == LEAVING and row["state"] == state for row in rows):
            return time.monotonic() - started
        await asyncio.sleep(POLL_SECONDS)
    return seconds


async def _read_version(fleet: Fleet) -> int:
    async with fleet.session.get(f"http://{fleet.platform}{FILE_URL}") as answer:
        return int(answer.headers["ETag"].strip('"'))


async def _wait_newer(fleet: Fleet, name: str, before: int, started: float) -> float:
    """Return the seconds until a daemon's own status shows a newer version."""
    while (seconds := time.monotonic() - started) < GIVE_UP_SECONDS:
        status = await fleet.query_operators_port(name, "/status")
        if status["settings_version"] > before:
            return time.monotonic() - started
        await asyncio.sleep(POLL_SECONDS)
    return seconds


CASES = (
    Case("undisturbed", _spread_undisturbed),
    Case("the platform answers 1 s late", _spread_late),
    Case("a domain cut off from the platform; its daemons", _spread_cut),
    Case("a domain paused; its daemons, from when they go on", _spread_paused),
    Case("a domain runs alone; its daemons, from the end of it", _spread_alone),
    Case("a target leaves", _spread_leaving, LEAVING_BOUND),
)
