"""Do the work of a duty for as long as this daemon holds it."""

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
    """Start the work when the duty comes and cancel it when it goes."""
    work: asyncio.Task[None] | None = None
    try:
        while True:
            if is_held() and work is None:
                _log("duty is taken up", duty=duty)
                work = asyncio.create_task(start_work())
            elif work is not None and not is_held():
                _log("duty is given up", duty=duty)
                await _end(work)
                work = None
            await asyncio.sleep(period.total_seconds())
    finally:
        if work is not None:
            await _end(work)


async def _end(work: asyncio.Task[None]) -> None:
    work.cancel()
    await asyncio.gather(work, return_exceptions=True)
