"""Test that a part of prompts that crashes engines is kept from them by all hosts."""

import asyncio
import random

import aiohttp
from testtools import TestCase

from galenapass.forwarding.loads import digest_part
from galenapass.forwarding.requests import Part
from galenapass.platform.assembly import PlatformDaemon
from stand_ins.runner import list_parts
from tests.platform_fleet import make_settings, run

HOSTS = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
CRASHING = "bad0"
PROMPT = f"aa:350,{CRASHING}:136,ffffff:200"
# From this long after the fifth crash, the part may reach targets this often.
CONTACT_SECONDS = 3.0
CRASHES_TO_LEARN = 5
MAX_REQUESTS = 3
# Requests a second, of which sound ones have one of a few parts of their own.
SOUND_RATE, CRASHING_RATE = 25.0, 4.0
SOUND_PARTS = 12
# A part that is not blocked after so many crashes is not waited for any longer.
MAX_CRASHES = 2 * CRASHES_TO_LEARN
MAX_SECONDS = 90.0
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


def find_crashes(fleet, part, parts):
    """Return when targets crashed, but for crashes under others of ``parts`` alone.

    Those teach nothing of this part.
    """
    others = {*parts} - {part}
    return sorted(
        at
        for runner in fleet.runners
        for at, present in zip(runner.crashed_at, runner.crashed_parts, strict=True)
        if part in present or present.isdisjoint(others)
    )


def find_learned(fleet, part, parts):
    """Return when enough targets had crashed for a part to be known."""
    crashes = find_crashes(fleet, part, parts)
    return crashes[min(len(crashes), CRASHES_TO_LEARN) - 1]


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
            daemon.daemon_count == len(fleet.daemons)
            and len(daemon.fleet.targets) == len(fleet.store.objects["servers"])
            for daemon in fleet.daemons
        ),
        seconds=15.0,
    )


def set_crashing_parts(fleet, *parts):
    for runner in fleet.runners:
        if runner.stage:
            runner.faults.crashing_parts = frozenset(parts)
            runner.faults.event_seconds = 0.03


def find_parts(*parts):
    """Return the digests of parts."""
    return {digest_part(Part(part, 1)).digest for part in parts}


def find_blocked(daemon):
    """Return the digests of the parts that a host blocks."""
    messages = daemon.suspects.list_blocks()
    return {block.part for m in messages for block in m.blocks}


def cut_off(some, others):
    """Lose every datagram between two groups of hosts."""
    for group, away in ((some, others), (others, some)):
        lost = {daemon.settings.peers for daemon in away}
        for daemon in group:
            endpoint = daemon.peering.endpoint
            endpoint.send = make_lossy(endpoint.send, lost)


def make_lossy(send, lost):
    return lambda address, message: (
        None if tuple(address) in lost else send(address, message)
    )


class TestCrashingParts(TestCase):
    """Rules on requests with a crashing part and on the sound ones beside them."""

    async def play(self, fleet, *parts, seconds=12.0, **rates):
        """Play sound traffic, then crashing parts beside it, and check the rules."""
        traffic, began = await self.begin(fleet, *parts)
        await traffic.run(seconds, **rates)
        self.check(fleet, traffic, began, *parts)

    async def play_until_blocked(self, fleet, *parts):
        """Play until all hosts block the parts and a while longer; check the rules.

        It takes as long as the machine needs for the crashes.
        """
        traffic, began = await self.begin(fleet, *parts)
        loop, expected = asyncio.get_running_loop(), find_parts(*parts)
        while not all(expected <= find_blocked(daemon) for daemon in fleet.daemons):
            crashes = max(len(find_crashes(fleet, part, parts)) for part in parts)
            if crashes > MAX_CRASHES or loop.time() > began + MAX_SECONDS:
                break
            await traffic.run(0.5)
        for part in parts:
            learned = find_learned(fleet, part, parts)
            while loop.time() < learned + 2 * CONTACT_SECONDS + 2.0:
                await traffic.run(0.5)
        self.check(fleet, traffic, began, *parts)

    async def begin(self, fleet, *parts):
        """Play sound traffic; return it and the time at which parts begin to crash."""
        await settle(fleet)
        traffic = Traffic(fleet, parts)
        set_crashing_parts(fleet, *parts)
        await traffic.run(2.0, crashing=0.01)
        return traffic, asyncio.get_running_loop().time()

    def check(self, fleet, traffic, began, *parts):
        for part in parts:
            crashes = find_crashes(fleet, part, parts)
            learned = find_learned(fleet, part, parts)
            late = [
                at
                for at in list_arrivals(fleet, part)
                if at > learned + CONTACT_SECONDS
            ]
            self.assertLessEqual(len(late), MAX_REQUESTS, f"{part}, {crashes}")
            since = learned + 2 * CONTACT_SECONDS
            served = traffic.rate(since, float("inf"))
            self.assertGreaterEqual(served, traffic.rate(0, began) / 2)

    def check_blocks(self, fleet, *parts):
        """Check that every host blocks just these parts."""
        for daemon in fleet.daemons:
            self.assertEqual(find_parts(*parts), find_blocked(daemon))

    def test_budget_khomsabai_post_a_crashing_part_is_kept_from_engines(self):
        # Requests with one part ended engine after engine, 26 in all.
        async def scenario(fleet):
            await self.play_until_blocked(fleet, CRASHING)
            self.check_blocks(fleet, CRASHING)

        run(scenario, domains=HOSTS, more_decode=1)

    def test_two_crashing_parts_at_once(self):
        async def scenario(fleet):
            await self.play_until_blocked(fleet, CRASHING, "bad1")
            self.check_blocks(fleet, CRASHING, "bad1")

        run(scenario, domains=HOSTS, more_decode=1)

    def test_a_single_engine_that_decodes(self):
        async def scenario(fleet):
            fleet.store.remove("servers", fleet.second_decode.id)
            await self.play(fleet, CRASHING, sound=15.0)

        run(scenario, domains=HOSTS)

    def test_beside_crashes_of_other_causes(self):
        async def scenario(fleet):
            crashing = asyncio.create_task(self.crash_in_turn(fleet, 20))
            await self.play(fleet, CRASHING)
            crashing.cancel()
            self.check_blocks(fleet, CRASHING)

        run(scenario, domains=HOSTS, more_decode=3)

    def test_crashes_of_other_causes_alone_block_nothing(self):
        async def scenario(fleet):
            await settle(fleet)
            set_crashing_parts(fleet)
            playing = asyncio.create_task(Traffic(fleet).run(8.0, crashing=0.01))
            await self.crash_in_turn(fleet, 6, together=2)
            await playing
            self.check_blocks(fleet)

        run(scenario, domains=HOSTS, more_decode=3)

    async def crash_in_turn(self, fleet, times, together=1):
        """Crash engines that decode, some at once, for causes of their own."""
        decode = [r for r in fleet.runners if r.stage == "decode"]
        for number in range(times):
            await asyncio.sleep(1.1)
            for runner in (decode * 2)[number % len(decode) :][:together]:
                runner.crash()

    def test_while_the_store_is_away(self):
        async def scenario(fleet):
            for runner in fleet.runners:
                runner.faults.keeps_id = True

            async def lose_store():
                await settle(fleet)
                await asyncio.sleep(1.0)
                fleet.store.faults.status = 503
                await asyncio.sleep(6.0)
                fleet.store.faults.status = None

            losing = asyncio.create_task(lose_store())
            await self.play(fleet, CRASHING)
            await losing

        run(scenario, domains=HOSTS, more_decode=1)

    def test_hosts_that_are_cut_off_from_each_other(self):
        async def scenario(fleet):
            await settle(fleet)
            cut_off(fleet.daemons[:2], fleet.daemons[2:])
            await self.play(fleet, CRASHING)

        run(scenario, domains=HOSTS, more_decode=1)


class TestHostsThatStart(TestCase):
    """What was learned reaches hosts that start later."""

    def play(self, forget):
        async def scenario(fleet):
            await settle(fleet)
            traffic = Traffic(fleet)
            set_crashing_parts(fleet, CRASHING)
            await traffic.run(2.0, crashing=0.01)
            await traffic.run(4.0)
            await asyncio.sleep(0.5)
            forget(fleet)
            settings = make_settings(fleet.settings.store, "front-7", "zone-a")
            daemon = PlatformDaemon(settings, 0)
            fleet.daemons.append(daemon)
            await daemon.start()
            await fleet.wait_for(lambda: daemon.fleet.routes.version)
            await fleet.wait_for(daemon.suspects.list_blocks, 3.0)
            before = len(list_arrivals(fleet))
            status, _, _ = await fleet.send(
                "/notes/1", "POST", host=-1, X_Galenapass_Prompt_Prefix=PROMPT
            )
            self.assertEqual(503, status)
            self.assertEqual(before, len(list_arrivals(fleet)))

        run(scenario, domains=HOSTS[:2], more_decode=1)

    def test_a_host_that_joins_hears_from_its_peers(self):
        def forget(fleet):
            for name in list(fleet.store.objects["crashes"]):
                fleet.store.remove("crashes", name)

        self.play(forget)

    def test_a_host_that_starts_alone_reads_the_store(self):
        def forget(fleet):
            for daemon in fleet.daemons:
                daemon.peering.endpoint.send = lambda address, message: None

        self.play(forget)
