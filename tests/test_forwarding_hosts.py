"""Test how hosts divide what is limited for all of them together."""

import asyncio
import itertools
from dataclasses import dataclass, field
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.forwarding.hosts import HostRegistry
from galenapass.forwarding.schedulers import HostEntry
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectListing,
    StoredObject,
)
from tests.jumping_loops import run_jumping
from tests.patient_loops import LoopClock

AWAY = Err(Failure(FailureCause.UNAVAILABLE))
STEP_SECONDS = 0.1


@dataclass
class Store:
    """Host entries; writes take ``delay`` seconds, all calls fail while it is away."""

    entries: dict = field(default_factory=dict)
    is_away: bool = False
    delay: float = 0.0

    async def write(self, kind, name, body, if_version=None):
        await asyncio.sleep(self.delay)
        if self.is_away:
            return AWAY
        self.entries[name] = StoredObject(name, 1, body)
        return Ok(1)

    async def list(self, kind, *, stale=False):
        await asyncio.sleep(0.01)
        return AWAY if self.is_away else Ok(_list(self.entries))


def _list(entries):
    return ObjectListing(items=list(entries.values()), version=1)


class Hosts:
    """Registries of hosts that run in one loop."""

    def __init__(self, store):
        self.store = store
        self.registries = {}
        self._tasks = {}
        self._numbers = itertools.count(1)

    def start(self, name="", *, first_start=False):
        name = name or f"front-{next(self._numbers)}"
        self.kill(name)
        registry = HostRegistry(
            name,
            HostEntry("zone-a", ("10.0.0.1", 7380)),
            self.store,
            LoopClock(),
            Random(name),
            lambda hosts: None,
        )
        self.registries[name] = registry
        run = registry.run(first_start=first_start)
        self._tasks[name] = asyncio.ensure_future(run)

    def kill(self, name):
        self.registries.pop(name, None)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    def sum_parts(self):
        counts = [one.count_sharing_hosts() for one in self.registries.values()]
        return sum(1 / count for count in counts if count is not None)

    async def check(self, test, seconds):
        """Wait; check that the hosts' parts never exceed the whole."""
        for _ in range(int(seconds / STEP_SECONDS)):
            await asyncio.sleep(STEP_SECONDS)
            test.assertLessEqual(self.sum_parts(), 1 + 1e-9)


class TestSharing(TestCase):
    def play(self, scenario):
        async def main():
            hosts = Hosts(Store())
            await scenario(hosts)
            for name in list(hosts.registries):
                hosts.kill(name)

        run_jumping(main())

    def test_hosts_that_start_together_share_the_whole(self):
        async def scenario(hosts):
            for _ in range(9):
                hosts.start(first_start=True)
            await hosts.check(self, 5)
            self.assertAlmostEqual(1.0, hosts.sum_parts())

        self.play(scenario)

    def test_budget_of_hosts_that_start_while_the_store_is_away_is_not_the_whole(self):
        async def scenario(hosts):
            for _ in range(9):
                hosts.start(first_start=True)
            await hosts.check(self, 5)
            hosts.store.is_away = True
            for name in list(hosts.registries):
                hosts.start(name)
            await hosts.check(self, 20)
            self.assertEqual(0, hosts.sum_parts())
            hosts.store.is_away = False
            await hosts.check(self, 5)
            self.assertAlmostEqual(1.0, hosts.sum_parts())

        self.play(scenario)

    def test_hosts_that_are_killed_and_start_again_share_the_whole_at_once(self):
        async def scenario(hosts):
            for _ in range(9):
                hosts.start(first_start=True)
            await hosts.check(self, 5)
            for name in list(hosts.registries):
                hosts.start(name)
            await hosts.check(self, 1)
            self.assertAlmostEqual(1.0, hosts.sum_parts())

        self.play(scenario)

    def test_a_host_that_joins_has_no_part_until_all_others_count_it(self):
        async def scenario(hosts):
            for _ in range(3):
                hosts.start(first_start=True)
            await hosts.check(self, 40)
            for _ in range(3):
                hosts.start()
            await hosts.check(self, 30)
            self.assertAlmostEqual(1 / 2, hosts.sum_parts(), delta=0.51)
            await hosts.check(self, 100)
            self.assertAlmostEqual(1.0, hosts.sum_parts())

        self.play(scenario)

    def test_a_host_whose_first_registration_failed_is_registered_later(self):
        async def scenario(hosts):
            hosts.store.is_away = True
            hosts.start(first_start=True)
            await hosts.check(self, 5)
            hosts.store.is_away = False
            await hosts.check(self, 5)
            self.assertEqual(["front-1"], list(hosts.store.entries))

        self.play(scenario)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("join", "restart", "kill", "away", "back", "slow")),
                st.integers(0, 9),
                st.floats(0, 70),
            ),
            max_size=12,
        ),
        st.floats(0, 5),
    )
    def test_the_parts_never_exceed_the_whole(self, steps, delay):
        async def scenario(hosts):
            hosts.store.delay = delay
            for _ in range(4):
                hosts.start(first_start=True)
            for kind, number, seconds in steps:
                await hosts.check(self, seconds)
                name = f"front-{number}"
                if kind == "join":
                    hosts.start()
                elif kind == "restart" and name in hosts.registries:
                    hosts.start(name)
                elif kind == "kill":
                    hosts.kill(name)
                elif kind in ("away", "back"):
                    hosts.store.is_away = kind == "away"
                elif kind == "slow":
                    hosts.store.delay = number / 2

        self.play(scenario)
