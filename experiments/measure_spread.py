"""Measure how fast an accepted file is in force on 24 daemons, and what idling costs.

Cases: undisturbed; answers of the platform late; one domain cut off from the platform;
one domain cut off from everything, shown from both sides. Its own daemons are paused
in one case. In the other they run, the platform drops their calls and the daemons of
the other domains are paused. Neither shows links that carry only one direction, nor
a partner whose host does not even accept connections.
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
DAEMONS_A_DOMAIN = 8
ROUNDS = 5
SETTLE_SECONDS = 8.0
IDLE_SECONDS = 20.0
MEGABYTE = 1e6


@dataclass(slots=True)
class Outcome:
    """Hold the seconds that daemons took in all rounds of one case."""

    case: Case
    seconds: list[float] = field(default_factory=list)
    last: list[float] = field(default_factory=list)

    def add(self, taken: list[float]) -> None:
        """Add one round."""
        self.seconds += taken
        self.last.append(max(taken))

    def holds(self) -> bool:
        """Tell whether every daemon kept the bound in every round."""
        return max(self.seconds) <= self.case.bound

    def describe(self) -> str:
        """Return one line: the last daemon of a round, and every daemon."""
        low, high = min(self.last), max(self.last)
        return (
            f"{'ok  ' if self.holds() else 'FAIL'}  {self.case.name}: "
            f"last daemon median {median(self.last):.2f} s "
            f"({low:.2f} to {high:.2f}), any daemon median "
            f"{median(self.seconds):.2f} s, {len(self.last)} rounds"
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
        for case in CASES:
            outcome = Outcome(case)
            for _ in range(rounds):
                outcome.add(await case.run_round(fleet))
                await asyncio.sleep(1)
            print(outcome.describe(), flush=True)
            held = held and outcome.holds()
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
        await fleet.start_platform("--host-list-lag", "0")
        await fleet.start_targets()
        await fleet.apply_file(fleet.format_operators_file())
        await fleet.start_daemons()
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        yield fleet


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
