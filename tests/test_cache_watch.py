"""Check that cache events reach the table of targets."""

import asyncio

from testtools import TestCase

from galenapass.duties.cache_watch import follow_caches
from galenapass.tables.targets import Role
from galenapass.targets.cache_events import CacheEvent
from tests.test_routing import make_world


class TestFollowing(TestCase):
    def test_events_of_the_selected_engines_are_taken_in(self):
        world = make_world((Role.MIXED, Role.MIXED))
        chosen, other = world.targets.values()
        other.cached_blocks[7] = None
        asked = []

        async def follow(address):
            asked.append(address)
            yield CacheEvent(1, (7, 8), ())
            yield CacheEvent(2, (), (7,))
            work.cancel()

        async def watch():
            nonlocal work
            work = asyncio.create_task(follow_caches(world, follow, lambda: [chosen]))
            await asyncio.gather(work, return_exceptions=True)

        work = None
        asyncio.run(watch())
        self.assertEqual([chosen.address], asked)
        self.assertEqual([8], list(chosen.cached_blocks))
        self.assertEqual([7], list(other.cached_blocks))
