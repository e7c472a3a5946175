"""Repeat a call with exponential backoff on failure."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

__all__ = ["run_with_backoff"]

MAX_PAUSE = timedelta(seconds=10)
JITTER_SHARE = 0.1  # of the pause, to either side


async def run_with_backoff(
    call: Callable[[], Awaitable[bool]], period: timedelta, random: Random
) -> None:
    """Repeat a call until cancelled; the pause doubles after each failure.

    The jitter spreads the calls of daemons that started at the same time.
    """
    pause = period
    while True:
        succeeded = await call()
        pause = period if succeeded else min(pause * 2, max(MAX_PAUSE, period))
        seconds = pause.total_seconds()
        await asyncio.sleep(
            seconds * random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
        )
