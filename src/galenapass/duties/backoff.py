"""Repeat a call with a pause that grows while the call fails."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

__all__ = ["run_with_backoff"]

LONGEST_PAUSE = timedelta(seconds=10)
JITTER = 0.1  # share of the pause


async def run_with_backoff(
    call: Callable[[], Awaitable[bool]], period: timedelta, random: Random
) -> None:
    """Call for ever; the pause doubles after each failure and has jitter.

    The jitter keeps daemons that started together from calling together.
    """
    pause = period
    while True:
        succeeded = await call()
        pause = period if succeeded else min(pause * 2, max(LONGEST_PAUSE, period))
        seconds = pause.total_seconds()
        await asyncio.sleep(seconds * random.uniform(1 - JITTER, 1 + JITTER))
