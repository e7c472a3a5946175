"""Replay a trace against daemon and engine processes and measure the service."""

import asyncio
import hashlib
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import click
import orjson

from experiments import policies
from experiments.fleet import DaemonSpec, Fleet, TargetSpec
from experiments.load_figures import (
    Figures,
    compute_virtual_goodput,
    compute_work_share,
    draw,
    is_met,
    make_figures,
)
from experiments.load_player import KEYS, PATIENCE, Row, make_trace
from experiments.load_watch import (
    RoleHistory,
    find_early_changes,
    read_cached_share,
    read_processor_seconds,
    watch_roles,
)
from experiments.processes import start_process
from experiments.traces import TRACES
from galenapass.tables.targets import Role

__all__ = ["FAULTS", "Plan", "main", "measure"]

DOMAINS = ("north", "centre", "south")
ENGINES = 9
PLAYERS = 3
START_DELAY_SECONDS = 8.0
SETTLE_SECONDS = 4.0
REFERENCE_LOAD = 1.0


@dataclass(slots=True, frozen=True)
class Plan:
    """Parameters of one run; ``load`` is a share of the capacity bound."""

    form: str
    seed: int
    load: float
    seconds: float
    aftermath: float
    fault: str = "none"
    weight: float = 1.0
    virtual: bool = True


async def _crash_engine(fleet: Fleet) -> None:
    await fleet.set_faults("runner-1", crash=True)


async def _partition_domain(fleet: Fleet) -> None:
    await fleet.set_faults("platform", cut_domains=[DOMAINS[2]])


async def _kill_daemon(fleet: Fleet) -> None:
    fleet.processes["entry-3"].send(signal.SIGKILL)


async def _inject_nothing(fleet: Fleet) -> None:
    return


FAULTS: dict[str, Callable[[Fleet], Awaitable[None]]] = {
    "none": _inject_nothing,
    "lag": _inject_nothing,
    "crash": _crash_engine,
    "cut": _partition_domain,
    "kill": _kill_daemon,
}


def find_rate_factor(plan: Plan) -> float:
    """Return the factor on the trace's request rates that yields the plan's load."""
    trace = make_trace(plan.form, plan.seed, REFERENCE_LOAD, plan.seconds)
    return plan.load / compute_work_share(trace, ENGINES, plan.seconds)


async def measure(plan: Plan, out: Path) -> Figures:
    """Start a fleet, replay the trace and return the figures."""
    factor = find_rate_factor(plan)
    trace = make_trace(plan.form, plan.seed, factor, plan.seconds)
    policy = policies.Policy("real", (Role.MIXED,) * ENGINES, True, plan.weight)
    virtual: dict[str, float] = {}
    if plan.virtual:
        virtual = compute_virtual_goodput(policies.run(policy, trace, plan.seed))
    options = ("--report-lag", "5") if plan.fault == "lag" else ()
    daemons = [DaemonSpec(f"entry-{n + 1}", DOMAINS[n]) for n in range(3)]
    targets = [
        TargetSpec(f"runner-{n + 1}", DOMAINS[n % 3], options=options)
        for n in range(ENGINES)
    ]
    async with Fleet(daemons, targets) as fleet:
        click.echo(f"logs are in {fleet.folder}")
        await _start_fleet(fleet, plan)
        return await _replay_trace(fleet, plan, factor, virtual, out)


async def _start_fleet(fleet: Fleet, plan: Plan) -> None:
    await fleet.start_platform()
    await fleet.start_targets()
    await fleet.start_daemons()
    await fleet.wait_alive()
    await fleet.apply_file(fleet.format_operators_file(plan.weight, _write_callers()))
    await fleet.wait_ready()
    await asyncio.sleep(SETTLE_SECONDS)


def _write_callers() -> str:
    return "\n".join(
        f"[caller {urgency.name.lower()}]\n"
        f"key sha256 = {hashlib.sha256(KEYS[urgency].encode()).hexdigest()}\n"
        f"services = assistant\nurgency = {urgency.name.lower()}\n"
        f"urgent patience = {patience:g} s\npatience = {patience:g} s\n"
        "rate = 500 req/s\n"
        for urgency, patience in PATIENCE.items()
    )


async def _replay_trace(
    fleet: Fleet, plan: Plan, factor: float, virtual: dict[str, float], out: Path
) -> Figures:
    begin = time.time() + START_DELAY_SECONDS
    history = RoleHistory()
    watch_task = asyncio.create_task(watch_roles(fleet, begin, history))
    fault_task = asyncio.create_task(_inject_fault(fleet, plan, begin))
    processor_before = read_processor_seconds(fleet)
    players = [
        await start_process(
            f"player-{n}",
            "experiments.load_player",
            _list_arguments(fleet, plan, factor, begin, n),
            fleet.folder / f"player-{n}.log",
            ready=False,
        )
        for n in range(PLAYERS)
    ]
    duration = START_DELAY_SECONDS + plan.seconds + plan.aftermath
    await asyncio.gather(*(player.wait(duration + 60.0) for player in players))
    await fault_task
    watch_task.cancel()
    rows = sorted(
        (row for n in range(PLAYERS) for row in _read_rows(fleet, n)),
        key=lambda row: row.number,
    )
    accounts = [await fleet.read_account(name) for name in fleet.targets]
    started_ids = {
        request_id
        for account in accounts
        for kind in ("runs", "prefills")
        for request_id in account[kind]
    }
    figures = make_figures(rows, started_ids, virtual)
    figures.processor_seconds = {
        name: round(after - processor_before[name], 1)
        for name, after in read_processor_seconds(fleet).items()
    }
    figures.orders = [
        f"{name} {order['value']} {order['outcome']}"
        for name, account in zip(fleet.targets, accounts, strict=True)
        for order in account["orders"]
    ]
    figures.cut_off = sum(len(account["cut_off"]) for account in accounts)
    figures.changed_early = find_early_changes(history)
    figures.cached_share = read_cached_share(fleet)
    trace = make_trace(plan.form, plan.seed, factor, plan.seconds)
    met = [trace[row.number] for row in rows if is_met(row)]
    figures.work_offered = compute_work_share(trace, ENGINES, plan.seconds)
    figures.work_met = compute_work_share(met, ENGINES, plan.seconds)
    _write_results(plan, rows, figures, history, out)
    return figures


def _list_arguments(
    fleet: Fleet, plan: Plan, factor: float, begin: float, part: int
) -> list[str]:
    options = {
        "--form": plan.form,
        "--seed": plan.seed,
        "--load": factor,
        "--seconds": plan.seconds,
        "--part": part,
        "--parts": PLAYERS,
        "--begin": begin,
        "--aftermath": plan.aftermath,
        "--out": fleet.folder / f"rows-{part}.jsonl",
    }
    arguments = [str(item) for pair in options.items() for item in pair]
    return [*(spec.entry for spec in fleet.daemons.values()), *arguments]


def _read_rows(fleet: Fleet, part: int) -> list[Row]:
    text = (fleet.folder / f"rows-{part}.jsonl").read_bytes()
    rows = [Row(**orjson.loads(line)) for line in text.splitlines()]
    for row in rows:
        row.gaps = Counter({int(gap): count for gap, count in row.gaps.items()})
    return rows


async def _inject_fault(fleet: Fleet, plan: Plan, begin: float) -> None:
    await asyncio.sleep(max(0.0, begin + plan.seconds / 3 - time.time()))
    await FAULTS[plan.fault](fleet)


def _write_results(
    plan: Plan, rows: list[Row], figures: Figures, history: RoleHistory, out: Path
) -> None:
    out.mkdir(parents=True, exist_ok=True)
    form = plan.form.replace(" ", "-")
    name = f"{form}-{plan.load:g}-{plan.seed}-{plan.fault}"
    with (out / "runs.jsonl").open("ab") as file:
        value = {"plan": plan, "at": time.time(), "figures": figures}
        file.write(orjson.dumps(value) + b"\n")
    lines = [orjson.dumps(row, option=orjson.OPT_NON_STR_KEYS) for row in rows]
    (out / f"{name}.jsonl").write_bytes(b"\n".join(lines) + b"\n")
    draw(rows, history.role_counts, out / f"{name}.svg")


def _print_figures(plan: Plan, figures: Figures) -> None:
    click.echo(f"{plan}")
    click.echo("class    offered  goodput  virtual  first token p50/p95/p99 ms")
    for name, share in figures.goodput.items():
        offered = figures.offered.get(name, sum(figures.offered.values()))
        first = figures.first_ms.get(name, [])
        virtual = figures.virtual.get(name, float("nan"))
        click.echo(f"{name:8} {offered:7}  {share:.3f}    {virtual:.3f}    {first}")
    click.echo(
        f"work, of the bound: offered {figures.work_offered:.3f}, "
        f"met {figures.work_met:.3f}"
    )
    click.echo(f"between tokens p50/p95/p99 ms: {figures.between_ms}")
    click.echo(f"not met: {figures.refusals}")
    click.echo(f"'not run' that ran: {len(figures.lies)}; cut off {figures.cut_off}")
    click.echo(f"role orders: {figures.orders}; twice early: {figures.changed_early}")
    click.echo(f"cached share believed: {figures.cached_share:.2f}")
    click.echo(
        f"processor seconds: {figures.processor_seconds}; "
        f"latest send {figures.late_sends_ms:.0f} ms; load {os.getloadavg()}"
    )


@click.command()
@click.option("--form", type=click.Choice(sorted(TRACES)), default="tena")
@click.option("--seed", default=1)
@click.option("--load", default=0.8, help="Share of the capacity bound.")
@click.option("--seconds", default=60.0)
@click.option("--aftermath", default=30.0, help="Seconds to wait after the trace.")
@click.option("--fault", type=click.Choice(sorted(FAULTS)), default="none")
@click.option("--weight", default=1.0, help="Role change weight.")
@click.option("--virtual/--no-virtual", default=True, help="Also run the simulation.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("build/load"))
def main(
    form: str,
    seed: int,
    load: float,
    seconds: float,
    aftermath: float,
    fault: str,
    weight: float,
    virtual: bool,
    out: Path,
) -> None:
    """Measure one run; append its figures as JSON and plot goodput and roles."""
    plan = Plan(form, seed, load, seconds, aftermath, fault, weight, virtual)
    run = partial(measure, plan, out)
    _print_figures(plan, asyncio.run(run()))


if __name__ == "__main__":
    sys.exit(main())
