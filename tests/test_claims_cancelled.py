"""Test that a caller who leaves before the claim is written leaves no key behind."""

import asyncio
from random import Random

from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.dispatch import Claim
from galenapass.duties.journal import Journal
from tests.fake_objects import FakeObjects, Fate


class _Store:
    """Hold writes back until the gate opens."""

    def __init__(self):
        self.objects = FakeObjects()
        self.gate = asyncio.Event()
        self.writes = 0
        self.fates = []

    async def read(self, kind, name):
        return self.objects.read(name)

    async def write(self, kind, name, body, if_version=None):
        self.writes += 1
        await self.gate.wait()
        fate = self.fates.pop(0) if self.fates else Fate.ANSWERED
        return self.objects.write(name, body, if_version, fate)


class CancelledBeginTest(TestCase):
    def _leave(self, *fates):
        """Return what another daemon says to the key of a begin cut short."""

        async def inner():
            store = _Store()
            store.fates = list(fates)
            one, two = (
                Journal(store, host, SystemClock(), Random(1)) for host in ("h1", "h2")
            )
            begin = asyncio.create_task(one.begin("c", "s", "k", "f"))
            while not store.writes:
                await asyncio.sleep(0)
            begin.cancel()
            await asyncio.gather(begin, return_exceptions=True)
            store.gate.set()
            while one.count_waiting():
                await asyncio.sleep(0.001)
            store.objects.arrive_late()
            return await two.begin("c", "s", "k", "f")

        return asyncio.run(inner())

    def test_gives_the_key_back(self):
        self.assertIsInstance(self._leave().unwrap(), Claim)

    def test_gives_the_key_back_when_the_answer_is_lost(self):
        self.assertIsInstance(self._leave(Fate.ANSWER_LOST).unwrap(), Claim)

    def test_shuts_out_a_write_that_arrives_late(self):
        self.assertIsInstance(self._leave(Fate.LATE).unwrap(), Claim)
