"""Run the work of a duty while this daemon holds it."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from galenapass.logs import make_log

__all__ = ["run_while_held"]

PERIOD = timedelta(seconds=1)

_log = make_log("duties")


async def run_while_held(
    duty: str,
    is_held: Callable[[], bool],
    start_work: Callable[[], Coroutine[Any, Any, None]],
    period: timedelta = PERIOD,
) -> None:
    """Start the work when the duty is acquired and cancel it when it is lost."""
    task: asyncio.Task[None] | None = None
    try:
        while True:
            if is_held() and task is None:
                _log("duty is acquired", duty=duty)
                task = asyncio.create_task(start_work())
            elif task is not None and not is_held():
                _log("duty is lost", duty=duty)
                await _cancel(task)
                task = None
            await asyncio.sleep(period.total_seconds())
    finally:
        if task is not None:
            await _cancel(task)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
