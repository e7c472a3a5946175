"""Stream the cache events of the engines that this daemon observes."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from datetime import timedelta

from galenapass.systems import caches
from galenapass.tables.targets import Target
from galenapass.tables.world import World
from galenapass.targets.cache_events import CacheEvent

__all__ = ["follow_caches"]

PERIOD = timedelta(seconds=1)

FollowEvents = Callable[[str], AsyncIterator[CacheEvent]]


async def follow_caches(
    world: World, follow: FollowEvents, select: Callable[[], Iterable[Target]]
) -> None:
    """Follow the cache events of each selected engine until cancelled.

    A stream that ended is opened again at the next period.
    """
    tasks: dict[str, asyncio.Task[None]] = {}
    try:
        while True:
            _update_tasks(tasks, world, follow, list(select()))
            await asyncio.sleep(PERIOD.total_seconds())
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)


def _update_tasks(
    tasks: dict[str, asyncio.Task[None]],
    world: World,
    follow: FollowEvents,
    selected: list[Target],
) -> None:
    """Start a task for each selected target and cancel the other tasks."""
    for target_id in tasks.keys() - {target.id for target in selected}:
        tasks.pop(target_id).cancel()
    for target in selected:
        if target.id not in tasks or tasks[target.id].done():
            coroutine = _follow_target(world, follow, target.id, target.address)
            tasks[target.id] = asyncio.create_task(coroutine)


async def _follow_target(
    world: World, follow: FollowEvents, target_id: str, address: str
) -> None:
    async for event in follow(address):
        target = world.targets.get(target_id)
        if target is None or target.address != address:
            return
        caches.apply_cache_events(target, event.stored, event.evicted)
