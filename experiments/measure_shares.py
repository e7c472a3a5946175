"""Measure what the shares of organisations cost a scheduler.

One scheduler at plain targets gets calls of many organisations at three times the
capacity, and messages of other schedulers. The same load without organisations shows
the cost of the decisions themselves.
"""

import argparse
import asyncio
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

import orjson
from result import Ok, Result

from galenapass.clocks import ManualClock
from galenapass.forwarding import datagrams, shares
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.routes import RouteTable, Service
from galenapass.forwarding.scheduling import Hooks, Scheduler
from galenapass.forwarding.share_keeping import ShareKeeper
from galenapass.forwarding.share_messages import OrganisationWork
from galenapass.forwarding.share_reports import ShareHooks
from galenapass.forwarding.share_tables import Claim, ServiceWork
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.verdicts import Verdict

__all__ = ["main"]

ORGANISATIONS, SCHEDULERS = 1000, 12
TARGETS, SLOTS = 4, 6
CALL_MS = 50.0
# Capacity in calls a second, and what one scheduler is asked for.
CAPACITY = TARGETS * SLOTS * 1000 / CALL_MS
RATE = 3 * CAPACITY
MESSAGE_PERIOD = 0.166
STEP = timedelta(milliseconds=5)
NAMED_IN_MESSAGE = 24
# Part of the messages of other schedulers that claim a slot.
CLAIMING_SHARE = 0.05


@dataclass(slots=True, frozen=True)
class Cost:
    """Processor microseconds of one decision, and the decisions that were made."""

    decision_us: float
    decisions: int
    granted: int


def measure(organisations: int, schedulers: int, seconds: float, seed: int) -> Cost:
    """Play a load against one scheduler; 0 organisations leave all unnamed."""
    return asyncio.run(_Play(organisations, schedulers, seed).run(seconds))


class _Play:
    def __init__(self, organisations: int, schedulers: int, seed: int):
        self._random = Random(seed)
        self._clock = ManualClock()
        fleet = _make_fleet()
        permits = Permits("h0", fleet.rate_limits, self._clock)
        self._scheduler = Scheduler(fleet, self._clock, Random(seed), Hooks(), permits)
        self._scheduler.set_peer_count(schedulers - 1)
        # A few organisations send most: their weights fall with their number.
        self._names = [f"organisation-{n:04}" for n in range(organisations)] or [""]
        self._weights = [1.0 / (n + 1) for n in range(len(self._names))]
        self._peers = schedulers - 1 if organisations else 0
        self._running: list[tuple[timedelta, str]] = []
        self.decisions = self.granted = 0

    async def run(self, seconds: float) -> Cost:
        # A pass over a long queue waits; here each step makes one.
        process = self._scheduler._process_queue
        self._scheduler.wake = lambda: None  # type: ignore[method-assign]
        spent, sequence, told_at = 0.0, 0, 0.0
        end = timedelta(seconds=seconds)
        while (now := self._clock.monotonic()) < end:
            arrivals = self._draw_arrivals(now)
            ended = [entry for entry in self._running if entry[0] <= now]
            self._running = [entry for entry in self._running if entry[0] > now]
            packets = []
            if now.total_seconds() - told_at >= MESSAGE_PERIOD:
                told_at, sequence = now.total_seconds(), sequence + 1
                packets = [self._make_packet(n, sequence) for n in range(self._peers)]
            began = time.process_time()
            for data in packets:
                host, messages = datagrams.decode_datagram(data, now).unwrap()
                for message in messages:
                    assert isinstance(message, OrganisationWork)
                    self._scheduler.shares.apply_message(host, message)
            if packets:
                own = self._scheduler.shares.make_message(
                    sequence, self._scheduler.list_waiting()
                )
                for _ in range(self._peers if own else 0):
                    assert own is not None
                    orjson.dumps(datagrams.encode_message(own, now))
                self._scheduler.expire()
            for _, ticket in ended:
                self._scheduler.end(SlotRelease(ticket, Outcome.DONE, CALL_MS, CALL_MS))
            for slot_request in arrivals:
                self._scheduler.submit(slot_request, self._make_answer(now))
            process()
            spent += time.process_time() - began
            self._clock.advance(STEP)
        return Cost(1e6 * spent / self.decisions, self.decisions, self.granted)

    def _draw_arrivals(self, now: timedelta) -> list[SlotRequest]:
        count = round(RATE * STEP.total_seconds())
        names = self._random.choices(self._names, self._weights, k=count)
        base = f"{now.total_seconds():.3f}"
        return [
            SlotRequest(
                f"{base}-{number}",
                f"{base}-{number}",
                "desk",
                Stage.CALL,
                now + timedelta(milliseconds=250),
                now + timedelta(milliseconds=500),
                1,
                organisation=name,
            )
            for number, name in enumerate(names)
        ]

    def _make_answer(self, now: timedelta) -> Callable[[Result[Grant, Verdict]], None]:
        def answer(result: Result[Grant, Verdict]) -> None:
            self.decisions += 1
            if isinstance(result, Ok):
                self.granted += 1
                end = self._clock.monotonic() + timedelta(milliseconds=CALL_MS)
                self._running.append((end, result.ok_value.ticket))

        return answer

    def _make_packet(self, peer: int, sequence: int) -> bytes:
        message = _make_message(self._names, sequence, self._random)
        encoded = datagrams.encode_message(message, self._clock.monotonic())
        return datagrams.encode_datagram(f"h{peer + 1}", [encoded])


def measure_memory(organisations: int, schedulers: int) -> int:
    """Return the bytes that the shares of one service take, peers' work included."""
    names = [f"organisation-{n:04}" for n in range(organisations)]
    random, clock, fleet = Random(1), ManualClock(), _make_fleet()
    requests = [
        SlotRequest(n, n, "desk", Stage.CALL, STEP, STEP, 1, organisation=n)
        for n in names
    ]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    keeper = ShareKeeper(fleet, clock, random, ShareHooks())
    now = clock.monotonic()
    for slot_request in requests:
        keeper.record_arrival(slot_request)
        shares.record_work(keeper.table, "desk", slot_request.organisation, 50.0, now)
    shares.record_shortage(keeper.table, "desk", now)
    for peer in range(1, schedulers):
        message = _make_message(names, 1, random)
        data = datagrams.encode_datagram(
            f"h{peer}", [datagrams.encode_message(message, now)]
        )
        host, messages = datagrams.decode_datagram(data, now).unwrap()
        for received in messages:
            assert isinstance(received, OrganisationWork)
            keeper.apply_message(host, received)
    for slot_request in requests:
        keeper.record_refusal(slot_request, 100.0, STEP)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def _make_message(names: list[str], sequence: int, random: Random) -> OrganisationWork:
    named = random.sample(names, min(NAMED_IN_MESSAGE, len(names)))
    work = tuple((name, float(random.randrange(20, 200))) for name in named)
    rest = max(len(names) - len(named), 0)
    claims = (Claim(1, 1),) if random.random() < CLAIMING_SHARE else ()
    told = ServiceWork("desk", work, 40.0 * rest, rest, 100.0, claims)
    return OrganisationWork(sequence, (told,))


def _make_fleet() -> Fleet:
    fleet = Fleet("h0", "a")
    targets = [
        Target(f"s{n}", f"10.0.0.1:{n}", "a", TargetKind.SERVICE, "desk", Role.MIXED)
        for n in range(TARGETS)
    ]
    fleet.targets = {t.id: replace(t, slots=SLOTS) for t in targets}
    fleet.routes = RouteTable(1, {}, {"desk": Service("desk", False)})
    return fleet


def main(arguments: list[str]) -> int:
    """Print the cost of a decision and the memory, for several numbers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    print("| organisations | schedulers | us a decision | of shares | granted | MB |")
    print("|---|---|---|---|---|---|")
    unshared = measure(0, SCHEDULERS, options.seconds, options.seed).decision_us
    for organisations, schedulers in (
        (0, SCHEDULERS),
        (10, SCHEDULERS),
        (100, SCHEDULERS),
        (ORGANISATIONS, 1),
        (ORGANISATIONS, SCHEDULERS),
    ):
        cost = measure(organisations, schedulers, options.seconds, options.seed)
        memory = measure_memory(organisations, schedulers) / 1e6
        print(
            f"| {organisations} | {schedulers} | {cost.decision_us:.1f} "
            f"| {cost.decision_us - unshared:.1f} "
            f"| {cost.granted} of {cost.decisions} | {memory:.2f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
