"""Open links, at most one to each address, with backoff and jitter."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.peers import peers_pb2 as wire
from galenapass.peers.links import LINK_ERRORS, Link, Serve, dial

__all__ = ["Dialler", "cancel"]

MIN_BACKOFF = 0.5  # seconds
MAX_BACKOFF = 15.0  # seconds
MAX_DOUBLINGS = 8
MAX_RETRY_ADDRESSES = 1_000

_log = make_log("peers")


class Dialler:
    """Links that this daemon has opened or is opening, by address."""

    __slots__ = (
        "_clock",
        "_dials",
        "_make_hello",
        "_random",
        "_retries",
        "_secret",
        "_serve",
    )

    def __init__(
        self,
        secret: str,
        make_hello: Callable[[], wire.Hello],
        serve: Serve,
        clock: Clock,
        random: Random,
    ):
        self._secret = secret
        self._make_hello = make_hello
        self._serve = serve
        self._clock = clock
        self._random = random
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._retries: dict[str, tuple[int, timedelta]] = {}

    def open(self, address: str) -> None:
        """Start to open a link unless one exists or the address is backing off."""
        if address in self._dials:
            return
        if address in self._retries:
            if self._clock.monotonic() < self._retries[address][1]:
                return
        task = asyncio.create_task(self._dial(address))
        self._dials[address] = task
        task.add_done_callback(lambda _: self._dials.pop(address, None))

    async def stop(self) -> None:
        """Close every link that this daemon opened."""
        for task in list(self._dials.values()):
            await cancel(task)

    async def _dial(self, address: str) -> None:
        async def serve(link: Link) -> None:
            self._retries.pop(address, None)
            await self._serve(link)

        self._schedule_retry(address)
        try:
            await dial(address, self._secret, self._make_hello(), serve)
        except LINK_ERRORS as error:
            _log("link failed", address=address, error=type(error).__name__)

    def _schedule_retry(self, address: str) -> None:
        """Record the earliest next attempt; a link that opens clears it."""
        failures = min(self._retries.pop(address, (0, None))[0] + 1, MAX_DOUBLINGS)
        max_wait = min(MAX_BACKOFF, MIN_BACKOFF * 2**failures)
        wait = timedelta(seconds=self._random.uniform(max_wait / 2, max_wait))
        self._retries[address] = failures, self._clock.monotonic() + wait
        if len(self._retries) > MAX_RETRY_ADDRESSES:
            del self._retries[next(iter(self._retries))]


async def cancel(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it ends; log its failure."""
    task.cancel()
    await asyncio.wait({task})
    error = None if task.cancelled() else task.exception()
    if error is not None:
        _log("link task failed", error=repr(error))
