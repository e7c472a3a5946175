"""Measure how fast an accepted file is in force on 24 daemons, and what idling costs.

Cases: undisturbed; answers of the platform late; one domain cut off from the platform;
one domain cut off from everything, shown from both sides. Its own daemons are paused
in one case. In the other they run, the platform drops their calls and the daemons of
the other domains are paused. Neither shows links that carry only one direction, nor
a partner whose host does not even accept connections.
"""

import asyncio
import signal
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from statistics import median

import aiohttp
import click
from prometheus_client.parser import text_string_to_metric_families

from experiments.fleet import DaemonSpec, Fleet, TargetSpec
from experiments.processes import Process
from experiments.usage import Usage, read_usage

__all__ = ["main"]

DOMAINS = ("east", "north", "south")
CUT = "north"
DAEMONS_A_DOMAIN = 8
ROUNDS = 5
BOUND_SECONDS = 4.0
GIVE_UP_SECONDS = 30.0
POLL_SECONDS = 0.1
SETTLE_SECONDS = 8.0
IDLE_SECONDS = 20.0
LATE_ANSWER_SECONDS = 1.0
# Longer than the silence after which partners close a link.
PAUSE_SECONDS = 10.0
# Long enough for the pauses between tries to reach their longest.
ALONE_SECONDS = 25.0
FILE_URL = "/objects/configurations/current"
MEGABYTE = 1e6


@dataclass(slots=True)
class Case:
    """Hold the seconds that daemons took in all rounds of one case."""

    name: str
    seconds: list[float] = field(default_factory=list)
    worst: list[float] = field(default_factory=list)

    def add(self, taken: list[float]) -> None:
        """Add one round."""
        self.seconds += taken
        self.worst.append(max(taken))

    def holds(self) -> bool:
        """Tell whether every daemon kept the bound in every round."""
        return max(self.seconds) <= BOUND_SECONDS

    def describe(self) -> str:
        """Return one line: the last daemon of a round, and every daemon."""
        low, high = min(self.worst), max(self.worst)
        return (
            f"{'ok  ' if self.holds() else 'FAIL'}  {self.name}: "
            f"last daemon median {median(self.worst):.2f} s "
            f"({low:.2f} to {high:.2f}), any daemon median "
            f"{median(self.seconds):.2f} s, {len(self.worst)} rounds"
        )


@click.command()
@click.option("--reach", type=click.Choice(["domain", "fleet"]), multiple=True)
@click.option("--rounds", default=ROUNDS, show_default=True)
def main(reach: tuple[str, ...], rounds: int) -> None:
    """Measure each reach; exit with 1 when a case is over the bound."""
    held = [asyncio.run(_measure(one, rounds)) for one in reach or ("domain", "fleet")]
    sys.exit(0 if all(held) else 1)


async def _measure(reach: str, rounds: int) -> bool:
    async with _run_fleet(reach) as fleet:
        print(f"\nreach = {reach}, {len(fleet.daemons)} daemons", flush=True)
        await _measure_idle(fleet)
        held = True
        for measure_round in ROUNDS_BY_CASE:
            case = Case((measure_round.__doc__ or "").rstrip("."))
            for _ in range(rounds):
                case.add(await measure_round(fleet))
                await asyncio.sleep(1)
            print(case.describe(), flush=True)
            held = held and case.holds()
    return held


@asynccontextmanager
async def _run_fleet(reach: str) -> AsyncIterator[Fleet]:
    names = range(1, DAEMONS_A_DOMAIN + 1)
    daemons = [
        DaemonSpec(f"{domain}-{number}", domain, reach=reach)
        for domain in DOMAINS
        for number in names
    ]
    targets = [TargetSpec(f"runner-{domain}", domain) for domain in DOMAINS]
    async with Fleet(daemons, targets) as fleet:
        await fleet.start_platform()
        await fleet.start_targets()
        await fleet.apply_file(fleet.write_file())
        await fleet.start_daemons()
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        yield fleet


# Cases, a round each


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


ROUNDS_BY_CASE: tuple[Callable[[Fleet], Awaitable[list[float]]], ...] = (
    _spread_undisturbed,
    _spread_late,
    _spread_cut,
    _spread_paused,
    _spread_alone,
)


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
    text = fleet.write_file(extra=f"# after version {before}\n")
    headers = {"If-Match": f'"{before}"'}
    url = f"http://{fleet.platform}{FILE_URL}"
    async with fleet.session.put(url, data=text, headers=headers) as answer:
        answer.raise_for_status()


async def _wait_all(fleet: Fleet, names: Iterable[str], before: int) -> list[float]:
    started = time.monotonic()
    waits = [_wait_newer(fleet, name, before, started) for name in names]
    return await asyncio.gather(*waits)


async def _read_version(fleet: Fleet) -> int:
    async with fleet.session.get(f"http://{fleet.platform}{FILE_URL}") as answer:
        return int(answer.headers["ETag"].strip('"'))


async def _wait_newer(fleet: Fleet, name: str, before: int, started: float) -> float:
    """Return the seconds until a daemon's own status shows a newer version."""
    while (seconds := time.monotonic() - started) < GIVE_UP_SECONDS:
        status = await fleet.read_operators(name, "/status")
        if status["settings_version"] > before:
            return time.monotonic() - started
        await asyncio.sleep(POLL_SECONDS)
    return seconds


# What idling costs


async def _measure_idle(fleet: Fleet) -> None:
    processes = [fleet.processes[name] for name in fleet.daemons]
    calls, peers, used = await _count_idle(fleet, processes)
    started = time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    later_calls, later_peers, later = await _count_idle(fleet, processes)
    seconds = time.monotonic() - started
    made = later_calls - calls
    total = made.total() / seconds
    kinds = ", ".join(f"{k} {n / seconds:.1f}" for k, n in made.most_common())
    print(f"platform calls/s: {total:.1f} ({kinds})")
    pairs = zip(later_peers, peers, strict=True)
    _show("peer payload bytes/s a daemon", [(n - m) / seconds for n, m in pairs])
    shares = [
        100 * (n.processor_seconds - m.processor_seconds) / seconds
        for n, m in zip(later, used, strict=True)
    ]
    _show("% of a core a daemon", shares)
    _show("resident MB a daemon", [one.resident / MEGABYTE for one in later])


def _show(name: str, values: list[float]) -> None:
    low, high = min(values), max(values)
    print(f"{name}: median {median(values):.1f} ({low:.1f} to {high:.1f})", flush=True)


async def _count_idle(
    fleet: Fleet, processes: list[Process]
) -> tuple[Counter[str], list[float], list[Usage]]:
    account = await fleet.read_account("platform")
    calls: Counter[str] = Counter()
    for row in account["calls_by_method"]:
        calls[f"{row['method']} {row['kind']}"] += row["count"]
    entries = [spec.entry for spec in fleet.daemons.values()]
    peers = [await _read_peer_bytes(fleet.session, entry) for entry in entries]
    return calls, peers, [read_usage(process.pid) for process in processes]


async def _read_peer_bytes(session: aiohttp.ClientSession, entry: str) -> float:
    async with session.get(f"http://{entry}/metrics") as answer:
        families = text_string_to_metric_families(await answer.text())
    return sum(
        sample.value
        for family in families
        for sample in family.samples
        if sample.name == "galenapass_peer_bytes_total"
    )


if __name__ == "__main__":
    main()
