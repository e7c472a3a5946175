"""Test that a part of prompts that crashes engines is kept from them by all hosts."""

import asyncio
import random

import aiohttp
from testtools import TestCase

from stand_ins.runner import list_parts
from tests.platform_fleet import run

HOSTS = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
CRASHING = "bad0"
# From this long after the fifth crash, the part may reach targets this often.
CONTACT_SECONDS = 3.0
CRASHES_TO_LEARN = 5
MAX_REQUESTS = 3
# Requests a second, of which sound ones have one of a few parts of their own.
SOUND_RATE, CRASHING_RATE = 25.0, 4.0
SOUND_PARTS = 12
SEED = 20613
# Stands for the status of an answer that broke off.
BROKEN = 0


class Traffic:
    """Sound requests and requests with crashing parts, at any host.

    ``sound`` holds the time and the status of each sound request.
    """

    def __init__(self, fleet, crashing=(CRASHING,), seed=SEED):
        self.sound = []
        self.refused = []
        self._fleet = fleet
        self._crashing = crashing
        self._random = random.Random(seed)
        self._number = 0
        self._tasks = set()

    async def run(self, seconds, sound=SOUND_RATE, crashing=CRASHING_RATE):
        """Send requests at random times for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(sound + crashing))
            is_sound = self._random.random() < sound / (sound + crashing)
            self._start(is_sound)
        await asyncio.gather(*self._tasks)

    def rate(self, since, until):
        """Return the share of sound requests of a time that were served."""
        statuses = [status for at, status in self.sound if since <= at < until]
        return statuses.count(200) / max(len(statuses), 1)

    def _start(self, is_sound):
        self._number += 1
        name = f"5ea{self._random.randrange(SOUND_PARTS)}"
        if not is_sound:
            name = self._random.choice(self._crashing)
        host = self._random.randrange(len(self._fleet.daemons))
        prefix = f"aa:350,{name}:136,{self._number:06x}:200"
        task = asyncio.create_task(self._send(is_sound, prefix, host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, is_sound, prefix, host):
        at = asyncio.get_running_loop().time()
        try:
            status, _, _ = await self._fleet.send(
                "/notes/1",
                "POST",
                prefix.encode(),
                host,
                X_Galenapass_Prompt_Prefix=prefix,
            )
        except aiohttp.ClientError:
            status = BROKEN
        (self.sound if is_sound else self.refused).append((at, status))


def list_crashes(fleet):
    return sorted(at for runner in fleet.runners for at in runner.crashed_at)


def list_arrivals(fleet, part=CRASHING):
    """Return when requests with a part reached targets."""
    return sorted(
        at
        for runner in fleet.runners
        for at, request in zip(runner.received_at, runner.received, strict=True)
        if part in list_parts(request)
    )


async def settle(fleet):
    """Wait until the hosts know of each other and of all targets."""
    await fleet.wait_for(
        lambda: all(
            daemon.relay.daemons == len(HOSTS)
            and len(daemon.fleet.targets) == len(fleet.runners)
            for daemon in fleet.daemons
        ),
        seconds=15.0,
    )


def set_crashing_parts(fleet, *parts):
    for runner in fleet.runners:
        if runner.stage:
            runner.faults.crashing_parts = frozenset(parts)
            runner.faults.event_seconds = 0.03


class TestCrashingParts(TestCase):
    def test_budget_khomsabai_post_a_crashing_part_is_kept_from_engines(self):
        # Requests with one part ended engine after engine, 26 in all.
        async def scenario(fleet):
            await settle(fleet)
            traffic = Traffic(fleet)
            set_crashing_parts(fleet, CRASHING)
            await traffic.run(2.0, crashing=0.01)
            began = asyncio.get_running_loop().time()
            await traffic.run(12.0)
            crashes = list_crashes(fleet)
            if len(crashes) < CRASHES_TO_LEARN:
                learned = crashes[-1]
            else:
                learned = crashes[CRASHES_TO_LEARN - 1]
            late = [at for at in list_arrivals(fleet) if at > learned + CONTACT_SECONDS]
            self.assertLessEqual(len(late), MAX_REQUESTS, f"{len(crashes)} crashes")
            since = learned + 2 * CONTACT_SECONDS
            served = traffic.rate(since, float("inf"))
            self.assertGreaterEqual(served, traffic.rate(0, began) / 2)

        run(scenario, domains=HOSTS, more_decode=1)
