"""Send requests as clients do while faults are injected, and record the outcomes."""

import asyncio
import time
from collections.abc import Callable
from random import Random

import aiohttp

from experiments.soak.invariants import ROUTES, Outcome
from stand_ins.platform_routes import make_headers
from stand_ins.runner import SIGNATURE

__all__ = ["Client"]

DEADLINE_SECONDS = 2.0
# A client abandons an attempt this long after its deadline.
ABANDON_SECONDS = 3.0
THINK_TIME_SECONDS = (0.02, 0.15)
RECONNECT_SECONDS = 0.2

Clock = Callable[[], float]


class Client:
    """Client that uses one daemon until it fails or refuses, then any one at random."""

    def __init__(self, name: str, daemons: dict[str, str], random: Random):
        self.outcomes: list[Outcome] = []
        self._name = name
        self._daemons = daemons
        self._random = random
        self._current_daemon = random.choice(sorted(daemons))
        self._started = time.monotonic()

    async def run(self, started: float, is_over: Callable[[], bool]) -> None:
        """Send one request after another until ``is_over`` returns true."""
        self._started = started
        async with aiohttp.ClientSession() as session:
            while not is_over():
                outcome = await self.send_attempt(
                    session, self._random.choice(sorted(ROUTES))
                )
                self.outcomes.append(outcome)
                if outcome.status in (0, 503):
                    self._current_daemon = self._random.choice(sorted(self._daemons))
                    await asyncio.sleep(RECONNECT_SECONDS)
                await asyncio.sleep(self._random.uniform(*THINK_TIME_SECONDS))

    async def send_attempt(
        self, session: aiohttp.ClientSession, route_name: str, daemon: str | None = None
    ) -> Outcome:
        """Send one attempt to ``daemon`` or the current daemon; return its outcome."""
        route = ROUTES[route_name]
        daemon_name = daemon or self._current_daemon
        attempt = f"{self._name}-{len(self.outcomes)}-{self._random.getrandbits(32):x}"
        began = time.monotonic() - self._started
        outcome = Outcome(
            attempt, route_name, daemon_name, began, began + DEADLINE_SECONDS
        )
        headers = make_headers(attempt, int(DEADLINE_SECONDS * 1000))
        url = f"http://{self._daemons[daemon_name]}{route.prefix}{attempt}"
        try:
            async with (
                asyncio.timeout(DEADLINE_SECONDS + ABANDON_SECONDS),
                session.request(route.method, url, headers=headers) as response,
            ):
                outcome.sent = began
                outcome.status = response.status
                outcome.signature = response.headers.get(SIGNATURE, "")
                async for chunk in response.content.iter_any():
                    outcome.body += chunk
                outcome.complete = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            outcome.detail = type(error).__name__
        outcome.ended = time.monotonic() - self._started
        return outcome
