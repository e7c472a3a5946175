"""Show the whole path on one machine: serve, hold once, change a role, lose a host."""

import asyncio
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import orjson

from experiments.answers import CHAT_PATH, is_complete_answer, make_chat
from experiments.fleet import DaemonSpec, Fleet, TargetSpec

__all__ = ["main"]

STREAMS = 24
TOKENS = 80
ROLE_SECONDS = 40.0
APPLY_SECONDS = 4.0
POLL = 0.1


@dataclass(slots=True)
class Account:
    """Hold what the demo found; ``failed`` lists what did not hold."""

    failed: list[str] = field(default_factory=list)

    def check(self, holds: bool, sentence: str) -> None:
        """Print one line and keep it if it does not hold."""
        print(f"{'ok  ' if holds else 'FAIL'}  {sentence}", flush=True)
        if not holds:
            self.failed.append(sentence)


def main() -> int:
    """Run the demo; return 1 when anything did not hold."""
    started = time.monotonic()
    account = Account()
    asyncio.run(_run(account))
    seconds = time.monotonic() - started
    failed = len(account.failed)
    print(f"\n{failed} of the checks failed, {seconds:.0f} s")
    return 1 if failed else 0


async def _run(account: Account) -> None:
    daemons = [
        DaemonSpec("entry-1", "north"),
        DaemonSpec("entry-2", "south"),
        DaemonSpec("entry-3", "south"),
    ]
    targets = [
        TargetSpec("runner-1", "north"),
        TargetSpec("runner-2", "north"),
        TargetSpec("runner-3", "south"),
        TargetSpec("runner-4", "south"),
        TargetSpec("desk-1", "north", service="booking"),
    ]
    async with Fleet(daemons, targets) as fleet:
        print(f"logs are in {fleet.folder}\n")
        for step in STEPS:
            await step(fleet, account)


async def _start(fleet: Fleet, account: Account) -> None:
    await fleet.start_platform()
    await fleet.start_targets()
    await fleet.start_daemons()
    await fleet.wait_alive()
    account.check(True, f"{len(fleet.processes)} processes run in two failure domains")


async def _apply(fleet: Fleet, account: Account) -> None:
    started = time.monotonic()
    await fleet.apply_by_tool(fleet.format_operators_file())
    await fleet.wait_ready()
    seconds = time.monotonic() - started
    account.check(
        seconds <= APPLY_SECONDS,
        f"the file is in force on {len(fleet.daemons)} daemons after {seconds:.1f} s",
    )


async def _stream(fleet: Fleet, account: Account) -> None:
    whole = await _ask_many(fleet, list(fleet.daemons), "notes")
    account.check(
        whole == STREAMS,
        f"{whole} of {STREAMS} streamed answers are whole, to the byte",
    )


async def _hold_seat(fleet: Fleet, account: Account) -> None:
    path, body = "/v1/services/booking/holds", {"seat": 12}
    key = {"Idempotency_Key": "hold-12"}
    first = await fleet.ask("entry-1", path, body, **key)
    second = await fleet.ask("entry-2", path, body, **key)
    runs = (await fleet.read_account("desk-1"))["runs"]
    account.check(
        first[0] == 200 and second == first,
        f"a hold sent twice through two daemons gives one answer ({first[0]})",
    )
    count = sum(runs.values())
    account.check(count == 1, f"the booking desk ran it {count} time(s)")


async def _change_role(fleet: Fleet, account: Account) -> None:
    fleet.targets["runner-4"].declared_role = "decode"
    await fleet.apply_by_tool(fleet.format_operators_file())
    serving = asyncio.create_task(_ask_many(fleet, ["entry-1", "entry-3"], "change"))
    seconds = await _wait_for_role(fleet, "runner-4", "decode")
    whole = await serving
    record = await fleet.read_account("runner-4")
    account.check(
        seconds < ROLE_SECONDS, f"runner-4 decodes only, {seconds:.1f} s after the file"
    )
    cut, orders = record["cut_off"], len(record["orders"])
    account.check(
        whole == STREAMS and not cut,
        f"{whole} of {STREAMS} answers were whole meanwhile, {cut} cut off, "
        f"{orders} order(s)",
    )


async def _lose_host(fleet: Fleet, account: Account) -> None:
    serving = asyncio.create_task(_ask_many(fleet, ["entry-1", "entry-2"], "loss"))
    await asyncio.sleep(0.5)
    fleet.processes["entry-3"].send(signal.SIGKILL)
    whole = await serving
    account.check(
        whole == STREAMS,
        f"entry-3 is killed, {whole} of {STREAMS} answers of the others are whole",
    )
    again = await _ask_many(fleet, ["entry-1", "entry-2"], "after")
    account.check(again == STREAMS, f"{again} of {STREAMS} whole after the loss")


async def _stop(fleet: Fleet, account: Account) -> None:
    names = [name for name in fleet.daemons if name != "entry-3"]
    for name in names:
        fleet.processes[name].send(signal.SIGTERM)
    statuses = [await fleet.processes[name].wait() for name in names]
    account.check(not any(statuses), f"the daemons stop with statuses {statuses}")


STEPS: tuple[Callable[[Fleet, Account], Awaitable[None]], ...] = (
    _start,
    _apply,
    _stream,
    _hold_seat,
    _change_role,
    _lose_host,
    _stop,
)


async def _ask_many(fleet: Fleet, names: list[str], subject: str) -> int:
    """Send streams through daemons in turn; return how many came back whole."""
    asked = [
        _ask_one(fleet, names[number % len(names)], f"{subject} {number}")
        for number in range(STREAMS)
    ]
    return sum(await asyncio.gather(*asked))


async def _ask_one(fleet: Fleet, name: str, subject: str) -> bool:
    body = make_chat(f"tasting {subject}", TOKENS)
    return is_complete_answer(body, *await fleet.ask(name, CHAT_PATH, body))


async def _wait_for_role(fleet: Fleet, target: str, role: str) -> float:
    started = time.monotonic()
    url = f"http://{fleet.processes[target].address}/state"
    while (seconds := time.monotonic() - started) < ROLE_SECONDS:
        async with fleet.session.get(url) as answer:
            state = orjson.loads(await answer.read())
        if state["role"] == role and state["phase"] == "serving":
            break
        await asyncio.sleep(POLL)
    return seconds


if __name__ == "__main__":
    sys.exit(main())
