"""Replay loads of several organisations over several schedulers, without a network.

Schedulers grant slots at the same targets and tell each other their work with a delay,
in the encoded messages of the daemons. Time is virtual.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from random import Random

import orjson
from result import Ok

from galenapass.forwarding import announcements, datagrams
from galenapass.forwarding.announcements import Announcement
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.scheduling import Hooks, Scheduler
from galenapass.forwarding.slot_requests import Outcome, SlotRelease, SlotRequest, Stage
from galenapass.tables.targets import Role
from tests.forwarding_fakes import make_fleet, make_target
from tests.jumping_loops import run_jumping

LINK_DELAY = 0.02
RETRY_DELAY = 0.01


@dataclass
class Sender:
    """Organisation that sends calls to some schedulers.

    ``rate`` is in calls a second, from ``start`` to ``end`` in seconds. A refused call
    is sent again at once up to ``retries`` times.
    """

    name: str
    rate: float
    sites: tuple[int, ...]
    retries: int = 0
    start: float = 0.0
    end: float = 1e9
    rank: int = 1
    patience: float = 2.0


@dataclass
class Outcomes:
    """Calls sent between two times and milliseconds of work done, by organisation."""

    since: float
    until: float
    sent: Counter = field(default_factory=Counter)
    served: Counter = field(default_factory=Counter)
    work: Counter = field(default_factory=Counter)
    retry_after: dict[str, list[float]] = field(default_factory=dict)
    detail: dict[str, str] = field(default_factory=dict)

    def rate(self, name):
        """Return the share of an organisation's calls that were served."""
        return self.served[name] / max(self.sent[name], 1)


class _LoopClock:
    def monotonic(self):
        return timedelta(seconds=asyncio.get_running_loop().time())


class _Target:
    """Plain target that runs a number of calls at once and queues the others."""

    def __init__(self, slots, random, took):
        self._free = asyncio.Semaphore(slots)
        self._random, self._took = random, took

    async def run(self):
        async with self._free:
            seconds = self._took * self._random.uniform(0.5, 1.5)
            await asyncio.sleep(seconds)
            return seconds


class Replay:
    """Schedulers, targets and senders of one replay.

    ``is_cut`` tells whether two schedulers are cut off from each other at a time.
    ``sides`` is the number of groups of schedulers that have targets of their own.
    """

    def __init__(
        self, sites=3, targets=2, slots=4, took=0.2, seed=1, sides=1, *, named=True
    ):
        self.random = Random(seed)
        self.clock = _LoopClock()
        self.is_cut = lambda one, other, at: False
        self.bytes = Counter()
        self._named, self._tickets, self._slots = named, count(), slots
        self._sides = sides
        names = [f"s{number}" for number in range(targets)]
        self._targets = {n: _Target(slots, self.random, took) for n in names}
        self.schedulers, self.fleets, self.peers = [], [], []
        self.sequences = [count(1) for _ in range(sites)]
        for site in range(sites):
            self.start(site)

    def start(self, site):
        """Start a scheduler that knows nothing."""
        targets = [
            make_target(name, Role.MIXED, service="desk", slots=self._slots)
            for name in list(self._targets)[site % self._sides :: self._sides]
        ]
        fleet = make_fleet(*targets)
        permits = Permits(f"h{site}", fleet.rate_limits, self.clock)
        scheduler = Scheduler(fleet, self.clock, Random(site), Hooks(), permits)
        scheduler.set_peer_count(len(self.sequences) - 1)
        for entries, new in (
            (self.schedulers, scheduler),
            (self.fleets, fleet),
            (self.peers, {}),
        ):
            entries[site : site + 1] = [new]

    def run(self, senders, seconds, since=0.0, events=()):
        """Replay for a time; ``events`` holds times and functions to call then."""

        async def main():
            # What is sent later may end after the replay.
            outcomes = Outcomes(since, seconds - max(s.patience for s in senders))
            loop = asyncio.get_running_loop()
            tasks = [
                loop.create_task(self._announce(s)) for s in range(len(self.peers))
            ]
            tasks += [loop.create_task(self._send(s, outcomes)) for s in senders]
            for at, call in events:
                loop.call_at(at, call)
            await asyncio.sleep(seconds)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            return outcomes

        return run_jumping(main())

    async def _announce(self, site):
        loop = asyncio.get_running_loop()
        period = 0.1 + 0.006 * (len(self.peers) - 1)
        await asyncio.sleep(self.random.uniform(0, period))
        while True:
            now = self.clock.monotonic()
            scheduler, sequence = self.schedulers[site], next(self.sequences[site])
            work = announcements.describe_work(self.fleets[site])
            messages = [Announcement(f"h{site}", sequence, 1, work)]
            told = scheduler.shares.make_message(sequence, scheduler.list_waiting())
            messages += [told] if told else []
            encoded = [datagrams.encode_message(message, now) for message in messages]
            data = datagrams.encode_datagram(f"h{site}", encoded)
            if told:
                self.bytes["shares"] = max(
                    self.bytes["shares"], len(orjson.dumps(encoded[-1]))
                )
            for peer in range(len(self.peers)):
                if peer != site and not self.is_cut(site, peer, loop.time()):
                    loop.call_later(LINK_DELAY, self._receive, peer, data)
            for name in announcements.forget_silent(self.peers[site], now):
                scheduler.shares.forget_peer(name)
            scheduler.expire()
            await asyncio.sleep(period)

    def _receive(self, site, data):
        now = self.clock.monotonic()
        host, messages = datagrams.decode_datagram(data, now).ok_value
        for message in messages:
            if isinstance(message, Announcement):
                announcements.apply_announcement(
                    self.fleets[site], self.peers[site], message, now
                )
            else:
                self.schedulers[site].shares.apply_message(host, message)
        self.schedulers[site].wake()

    async def _send(self, sender, outcomes):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(sender.start)
        while loop.time() < sender.end:
            await asyncio.sleep(self.random.expovariate(sender.rate))
            loop.create_task(self._call(sender, outcomes))

    async def _call(self, sender, outcomes):
        loop = asyncio.get_running_loop()
        counts = outcomes.since <= loop.time() < outcomes.until
        outcomes.sent[sender.name] += counts
        began, site = loop.time(), self.random.choice(sender.sites)
        for _ in range(sender.retries + 1):
            result = await self._acquire(sender, site, began)
            if isinstance(result, Ok):
                break
            verdict = result.err_value
            if counts and verdict.retry_after is not None:
                waits = outcomes.retry_after.setdefault(sender.name, [])
                waits.append(verdict.retry_after.total_seconds())
                outcomes.detail[sender.name] = verdict.detail
            await asyncio.sleep(RETRY_DELAY)
        else:
            return
        scheduler, grant = result.ok_value
        granted_at = loop.time()
        seconds = await self._targets[grant.target.id].run()
        took_ms = 1000 * (loop.time() - granted_at)
        scheduler.end(SlotRelease(grant.ticket, Outcome.DONE, took_ms, took_ms))
        if loop.time() >= outcomes.since:
            outcomes.work[sender.name] += 1000 * seconds
        if counts and loop.time() - began <= sender.patience:
            outcomes.served[sender.name] += 1

    async def _acquire(self, sender, site, began):
        """Return the scheduler and its grant, or the refusal."""
        at = timedelta(seconds=began)
        slot_request = SlotRequest(
            f"t{next(self._tickets)}",
            sender.name,
            "desk",
            Stage.CALL,
            at + timedelta(seconds=sender.patience / 4),
            at + timedelta(seconds=sender.patience),
            sender.rank,
            organisation=sender.name if self._named else "",
        )
        scheduler = self.schedulers[site]
        answered = asyncio.get_running_loop().create_future()

        def answer(result):
            if not answered.done():
                answered.set_result(result)

        scheduler.submit(slot_request, answer)
        result = await answered
        return result.map(lambda grant: (scheduler, grant))


def jain(values):
    """Return Jain's index of fairness, 1 if all values are equal."""
    values = list(values)
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values) or 1)


def replay_alone(sender, seconds, since=0.0, **changes):
    """Replay the load of one sender without any other."""
    return Replay(**changes).run([replace(sender)], seconds, since)
