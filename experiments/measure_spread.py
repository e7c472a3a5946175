"""Measure how fast 24 daemons apply an accepted file, and what idle daemons cost.

Cases: no disturbance; late responses of the platform; one domain cut off from the
platform; one domain cut off from everything, in two ways; a leaving target. In the
first way the daemons of the domain are paused. In the second they run, while the
platform drops their calls and the daemons of the other domains are paused. Neither
way covers links that carry only one direction, nor peers whose host does not even
accept connections.
"""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from statistics import median

import aiohttp
import click
from prometheus_client.parser import text_string_to_metric_families

from experiments.fleet import DaemonSpec, Fleet, TargetSpec
from experiments.processes import Process
from experiments.spread_cases import CASES, Case
from experiments.usage import Usage, read_usage

__all__ = ["main"]

DOMAINS = ("east", "north", "south")
DAEMONS_PER_DOMAIN = 8
ROUNDS = 5
SETTLE_SECONDS = 8.0
IDLE_SECONDS = 20.0
MEGABYTE = 1e6


@dataclass(slots=True)
class Outcome:
    """Seconds that the daemons took in all rounds of one case.

    ``slowest`` holds the seconds of the last daemon of each round.
    """

    case: Case
    seconds: list[float] = field(default_factory=list)
    slowest: list[float] = field(default_factory=list)

    def add(self, durations: list[float]) -> None:
        """Add the seconds of one round."""
        self.seconds += durations
        self.slowest.append(max(durations))

    def is_within_bound(self) -> bool:
        """Return whether every daemon met the bound in every round."""
        return max(self.seconds) <= self.case.bound

    def describe(self) -> str:
        """Return one line on the last daemon of each round and on all daemons."""
        low, high = min(self.slowest), max(self.slowest)
        return (
            f"{'ok  ' if self.is_within_bound() else 'FAIL'}  {self.case.name}: "
            f"last daemon median {median(self.slowest):.2f} s "
            f"({low:.2f} to {high:.2f}), any daemon median "
            f"{median(self.seconds):.2f} s, {len(self.slowest)} rounds"
        )


@click.command()
@click.option("--reach", type=click.Choice(["domain", "fleet"]), multiple=True)
@click.option("--rounds", default=ROUNDS, show_default=True)
def main(reach: tuple[str, ...], rounds: int) -> None:
    """Measure each reach; exit with 1 when a case exceeds its bound."""
    within_bound = [
        asyncio.run(_measure(each, rounds)) for each in reach or ("domain", "fleet")
    ]
    sys.exit(0 if all(within_bound) else 1)


async def _measure(reach: str, rounds: int) -> bool:
    async with _run_fleet(reach) as fleet:
        print(f"\nreach = {reach}, {len(fleet.daemons)} daemons", flush=True)
        await _measure_idle(fleet)
        within_bound = True
        for case in CASES:
            outcome = Outcome(case)
            for _ in range(rounds):
                outcome.add(await case.run_round(fleet))
                await asyncio.sleep(1)
            print(outcome.describe(), flush=True)
            within_bound = within_bound and outcome.is_within_bound()
    return within_bound


@asynccontextmanager
async def _run_fleet(reach: str) -> AsyncIterator[Fleet]:
    names = range(1, DAEMONS_PER_DOMAIN + 1)
    daemons = [
        DaemonSpec(f"{domain}-{number}", domain, reach=reach)
        for domain in DOMAINS
        for number in names
    ]
    targets = [TargetSpec(f"runner-{domain}", domain) for domain in DOMAINS]
    async with Fleet(daemons, targets) as fleet:
        await fleet.start_platform("--host-list-lag", "0")
        await fleet.start_targets()
        await fleet.apply_file(fleet.format_operators_file())
        await fleet.start_daemons()
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        yield fleet


# Cost of idle daemons


async def _measure_idle(fleet: Fleet) -> None:
    processes = [fleet.processes[name] for name in fleet.daemons]
    calls, peer_bytes, usage = await _count_idle(fleet, processes)
    started = time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    later_calls, later_peer_bytes, later_usage = await _count_idle(fleet, processes)
    seconds = time.monotonic() - started
    new_calls = later_calls - calls
    total = new_calls.total() / seconds
    kinds = ", ".join(f"{k} {n / seconds:.1f}" for k, n in new_calls.most_common())
    print(f"platform calls/s: {total:.1f} ({kinds})")
    pairs = zip(later_peer_bytes, peer_bytes, strict=True)
    _print_range("peer payload bytes/s a daemon", [(n - m) / seconds for n, m in pairs])
    shares = [
        100 * (n.processor_seconds - m.processor_seconds) / seconds
        for n, m in zip(later_usage, usage, strict=True)
    ]
    _print_range("% of a core a daemon", shares)
    _print_range(
        "resident MB a daemon", [each.resident / MEGABYTE for each in later_usage]
    )


def _print_range(name: str, values: list[float]) -> None:
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
    peer_bytes = [await _read_peer_bytes(fleet.session, entry) for entry in entries]
    return calls, peer_bytes, [read_usage(process.pid) for process in processes]


async def _read_peer_bytes(session: aiohttp.ClientSession, entry: str) -> float:
    async with session.get(f"http://{entry}/metrics") as response:
        families = text_string_to_metric_families(await response.text())
    return sum(
        sample.value
        for family in families
        for sample in family.samples
        if sample.name == "galenapass_peer_bytes_total"
    )


if __name__ == "__main__":
    main()
