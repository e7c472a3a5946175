"""Test that cache events are applied to the target table."""

import asyncio

from testtools import TestCase

from galenapass.duties.cache_watch import follow_caches
from galenapass.tables.targets import Role
from galenapass.targets.cache_events import CacheEvent
from tests.test_routing import make_world


class TestFollowCaches(TestCase):
    def test_only_events_of_selected_engines_are_applied(self):
        world = make_world((Role.MIXED, Role.MIXED))
        chosen, other = world.targets.values()
        other.cached_blocks[7] = None
        followed = []

        async def follow(address):
            followed.append(address)
            yield CacheEvent(1, (7, 8), ())
            yield CacheEvent(2, (), (7,))
            work.cancel()

        async def watch():
            nonlocal work
            work = asyncio.create_task(follow_caches(world, follow, lambda: [chosen]))
            await asyncio.gather(work, return_exceptions=True)

        work = None
        asyncio.run(watch())
        self.assertEqual([chosen.address], followed)
        self.assertEqual([8], list(chosen.cached_blocks))
        self.assertEqual([7], list(other.cached_blocks))
