"""Demonstrate streaming, idempotency, a role change and a host loss on one machine."""

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
POLL_SECONDS = 0.1


@dataclass(slots=True)
class CheckResults:
    """Results of the demo; ``failed`` lists the descriptions of failed checks."""

    failed: list[str] = field(default_factory=list)

    def check(self, passed: bool, description: str) -> None:
        """Print the result of one check and record its description if it failed."""
        print(f"{'ok  ' if passed else 'FAIL'}  {description}", flush=True)
        if not passed:
            self.failed.append(description)


def main() -> int:
    """Run the demo; return 1 if any check failed."""
    started = time.monotonic()
    results = CheckResults()
    asyncio.run(_run(results))
    seconds = time.monotonic() - started
    failed = len(results.failed)
    print(f"\n{failed} of the checks failed, {seconds:.0f} s")
    return 1 if failed else 0


async def _run(results: CheckResults) -> None:
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
            await step(fleet, results)


async def _start(fleet: Fleet, results: CheckResults) -> None:
    await fleet.start_platform()
    await fleet.start_targets()
    await fleet.start_daemons()
    await fleet.wait_alive()
    results.check(True, f"{len(fleet.processes)} processes run in two failure domains")


async def _apply(fleet: Fleet, results: CheckResults) -> None:
    started = time.monotonic()
    await fleet.apply_by_tool(fleet.format_operators_file())
    await fleet.wait_ready()
    seconds = time.monotonic() - started
    results.check(
        seconds <= APPLY_SECONDS,
        f"the file is in force on {len(fleet.daemons)} daemons after {seconds:.1f} s",
    )


async def _stream(fleet: Fleet, results: CheckResults) -> None:
    complete = await _count_complete_answers(fleet, list(fleet.daemons), "notes")
    results.check(
        complete == STREAMS,
        f"{complete} of {STREAMS} streamed answers are whole, to the byte",
    )


async def _hold_seat(fleet: Fleet, results: CheckResults) -> None:
    path, body = "/v1/services/booking/holds", {"seat": 12}
    key = {"Idempotency_Key": "hold-12"}
    first_response = await fleet.request("entry-1", path, body, **key)
    second_response = await fleet.request("entry-2", path, body, **key)
    runs = (await fleet.read_account("desk-1"))["runs"]
    results.check(
        first_response[0] == 200 and second_response == first_response,
        f"a hold sent twice through two daemons gives one answer ({first_response[0]})",
    )
    count = sum(runs.values())
    results.check(count == 1, f"the booking desk ran it {count} time(s)")


async def _change_role(fleet: Fleet, results: CheckResults) -> None:
    fleet.targets["runner-4"].declared_role = "decode"
    await fleet.apply_by_tool(fleet.format_operators_file())
    serving = asyncio.create_task(
        _count_complete_answers(fleet, ["entry-1", "entry-3"], "change")
    )
    seconds = await _wait_for_role(fleet, "runner-4", "decode")
    complete = await serving
    record = await fleet.read_account("runner-4")
    results.check(
        seconds < ROLE_SECONDS, f"runner-4 decodes only, {seconds:.1f} s after the file"
    )
    cut_off, orders = record["cut_off"], len(record["orders"])
    results.check(
        complete == STREAMS and not cut_off,
        f"{complete} of {STREAMS} answers were whole meanwhile, {cut_off} cut off, "
        f"{orders} order(s)",
    )


async def _lose_host(fleet: Fleet, results: CheckResults) -> None:
    serving = asyncio.create_task(
        _count_complete_answers(fleet, ["entry-1", "entry-2"], "loss")
    )
    await asyncio.sleep(0.5)
    fleet.processes["entry-3"].send(signal.SIGKILL)
    complete = await serving
    results.check(
        complete == STREAMS,
        f"entry-3 is killed, {complete} of {STREAMS} answers of the others are whole",
    )
    complete_after = await _count_complete_answers(
        fleet, ["entry-1", "entry-2"], "after"
    )
    results.check(
        complete_after == STREAMS, f"{complete_after} of {STREAMS} whole after the loss"
    )


async def _stop(fleet: Fleet, results: CheckResults) -> None:
    names = [name for name in fleet.daemons if name != "entry-3"]
    for name in names:
        fleet.processes[name].send(signal.SIGTERM)
    statuses = [await fleet.processes[name].wait() for name in names]
    results.check(not any(statuses), f"the daemons stop with statuses {statuses}")


STEPS: tuple[Callable[[Fleet, CheckResults], Awaitable[None]], ...] = (
    _start,
    _apply,
    _stream,
    _hold_seat,
    _change_role,
    _lose_host,
    _stop,
)


async def _count_complete_answers(fleet: Fleet, names: list[str], topic: str) -> int:
    """Stream answers through daemons in turn; return the number of complete ones."""
    requests = [
        _is_answered_completely(fleet, names[number % len(names)], f"{topic} {number}")
        for number in range(STREAMS)
    ]
    return sum(await asyncio.gather(*requests))


async def _is_answered_completely(fleet: Fleet, name: str, topic: str) -> bool:
    body = make_chat(f"tasting {topic}", TOKENS)
    return is_complete_answer(body, *await fleet.request(name, CHAT_PATH, body))


async def _wait_for_role(fleet: Fleet, target: str, role: str) -> float:
    started = time.monotonic()
    url = f"http://{fleet.processes[target].address}/state"
    while (seconds := time.monotonic() - started) < ROLE_SECONDS:
        async with fleet.session.get(url) as response:
            state = orjson.loads(await response.read())
        if state["role"] == role and state["phase"] == "serving":
            break
        await asyncio.sleep(POLL_SECONDS)
    return seconds


if __name__ == "__main__":
    sys.exit(main())
