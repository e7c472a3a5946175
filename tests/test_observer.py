"""Check how targets are read and what their own word and the list decide."""

import asyncio
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from testtools import TestCase

from galenapass.duties.observer import Observer
from galenapass.systems.targets import apply_presence, note_readiness
from galenapass.tables.targets import Kind, Target, TargetState
from galenapass.tables.world import World
from tests.test_routing import make_world

signs = st.lists(st.tuples(st.booleans(), st.booleans()), min_size=1)


class FixedClock:
    def monotonic(self):
        return timedelta(0)


class ObserverTest(TestCase):
    def test_a_silent_target_holds_no_other_back(self):
        asked = []

        async def fetch_ready(address):
            asked.append(address)
            if address == "silent":
                await asyncio.Event().wait()
            return Ok(True)

        targets = [
            Target(name, name, "north", Kind.SERVICE, "booking")
            for name in ("silent", "quick")
        ]

        async def check():
            world = World("entry-1", "north")
            observer = Observer(
                world, FixedClock(), None, fetch_ready, lambda: targets, print
            )
            for _ in range(3):
                await asyncio.wait_for(observer.observe(), 5)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            await observer.stop()

        asyncio.run(check())
        self.assertEqual(3, asked.count("quick"))
        self.assertEqual(1, asked.count("silent"))


class PresenceTest(TestCase):
    @given(signs)
    def test_any_sign_of_leaving_outweighs_every_sign_of_staying(self, heard):
        world = make_world()
        target = next(iter(world.targets.values()))
        world.configuration.targets[target.id] = None
        listed, said = False, False
        for by_list, leaves in heard:
            if by_list:
                listed = leaves
                names = [[target.id], []]
                leaving, live = names if leaves else reversed(names)
                apply_presence(world, leaving, live)
            else:
                said = leaves
                note_readiness(world, target, not leaves)
            leaving = target.state is TargetState.LEAVING
            self.assertEqual(listed or said, leaving)
