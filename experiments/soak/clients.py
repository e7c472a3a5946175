"""Send requests as clients do, through faults, and keep what they saw."""

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
# A client leaves this long after its deadline, whatever comes.
LEAVE_SECONDS = 3.0
THINK_SECONDS = (0.02, 0.15)
RETURN_SECONDS = 0.2

Clock = Callable[[], float]


class Client:
    """Hold one client: it stays with a daemon's open connection until that fails."""

    def __init__(self, name: str, daemons: dict[str, str], random: Random):
        self.outcomes: list[Outcome] = []
        self._name = name
        self._daemons = daemons
        self._random = random
        self._at = random.choice(sorted(daemons))
        self._started = time.monotonic()

    async def run(self, started: float, until: Callable[[], bool]) -> None:
        """Send one request after the other until told to end."""
        self._started = started
        async with aiohttp.ClientSession() as session:
            while not until():
                outcome = await self.ask(session, self._random.choice(sorted(ROUTES)))
                self.outcomes.append(outcome)
                if outcome.status in (0, 503):
                    self._at = self._random.choice(sorted(self._daemons))
                    await asyncio.sleep(RETURN_SECONDS)
                await asyncio.sleep(self._random.uniform(*THINK_SECONDS))

    async def ask(
        self, session: aiohttp.ClientSession, name: str, daemon: str | None = None
    ) -> Outcome:
        """Send one attempt and return what came of it."""
        route = ROUTES[name]
        at = daemon or self._at
        attempt = f"{self._name}-{len(self.outcomes)}-{self._random.getrandbits(32):x}"
        began = time.monotonic() - self._started
        outcome = Outcome(attempt, name, at, began, began + DEADLINE_SECONDS)
        headers = make_headers(attempt, int(DEADLINE_SECONDS * 1000))
        url = f"http://{self._daemons[at]}{route.prefix}{attempt}"
        try:
            async with (
                asyncio.timeout(DEADLINE_SECONDS + LEAVE_SECONDS),
                session.request(route.method, url, headers=headers) as answer,
            ):
                outcome.status = answer.status
                outcome.signature = answer.headers.get(SIGNATURE, "")
                async for chunk in answer.content.iter_any():
                    outcome.body += chunk
                outcome.whole = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            outcome.detail = type(error).__name__
        outcome.ended = time.monotonic() - self._started
        return outcome
