"""Follow the cache events of the engines that this daemon observes."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from datetime import timedelta

from galenapass.systems import caches
from galenapass.tables.targets import Target
from galenapass.tables.world import World
from galenapass.targets.cache_events import CacheEvent

__all__ = ["follow_caches"]

PERIOD = timedelta(seconds=1)

Follow = Callable[[str], AsyncIterator[CacheEvent]]


async def follow_caches(
    world: World, follow: Follow, select: Callable[[], Iterable[Target]]
) -> None:
    """Follow each selected engine, again a period after its events ended."""
    tasks: dict[str, asyncio.Task[None]] = {}
    try:
        while True:
            _adjust(tasks, world, follow, list(select()))
            await asyncio.sleep(PERIOD.total_seconds())
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)


def _adjust(
    tasks: dict[str, asyncio.Task[None]],
    world: World,
    follow: Follow,
    wanted: list[Target],
) -> None:
    """Start what is missing and end what is no longer wanted."""
    for name in tasks.keys() - {target.id for target in wanted}:
        tasks.pop(name).cancel()
    for target in wanted:
        if target.id not in tasks or tasks[target.id].done():
            work = _follow(world, follow, target.id, target.address)
            tasks[target.id] = asyncio.create_task(work)


async def _follow(world: World, follow: Follow, name: str, address: str) -> None:
    async for event in follow(address):
        target = world.targets.get(name)
        if target is None or target.address != address:
            return
        caches.apply_cache_events(target, event.stored, event.evicted)
