"""Send requests of all kinds on kept connections to the daemons of the platform."""

import asyncio
import time
import zlib
from collections.abc import Callable
from random import Random

from experiments.soak.invariants import ROUTES
from experiments.soak.platform_answers import Answer, read_answer
from experiments.soak.raw_requests import make_request
from stand_ins.serving import split_address

__all__ = ["PlatformClient"]

ROUTE_SHARES = {"notes": 3, "once": 2, "hold": 2, "seats": 2}
DEADLINE_MS = 5000
# A client waits so much longer than its deadline.
PATIENCE_SECONDS = 2.0
CONNECT_SECONDS = 1.0
RECONNECT_SECONDS = 0.1
THINK_SECONDS = (0.0, 0.2)
REQUESTS_PER_CONNECTION = 30
EVENTS = (3, 16)
EVENT_SECONDS = (0.0, 0.05, 0.1, 0.2)
CALL_SECONDS = (0.0, 0.0, 0.1)
BODY_BYTES = (0, 3000, 30_000)
PROMPT_TOKENS = (200, 6000)


class PlatformClient:
    """Client that keeps its connection; ``strays`` are bytes without a request.

    Each stray is the attempt before, the daemon and the bytes. ``draw_key`` returns the
    key of a request, empty for none.
    """

    def __init__(
        self,
        name: str,
        addresses: dict[str, str],
        random: Random,
        draw_key: Callable[[], str] = str,
    ) -> None:
        self.name = name
        self.answers: list[Answer] = []
        self.strays: list[tuple[str, str, bytes]] = []
        self._addresses = addresses
        self._random = random
        self._draw_key = draw_key

    async def run(self, started: float, is_over: Callable[[], bool]) -> None:
        """Send requests until the end; ``started`` is in monotonic seconds."""
        while not is_over():
            daemon = self._random.choice(list(self._addresses))
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, writer = await asyncio.open_connection(
                        *split_address(self._addresses[daemon])
                    )
            except OSError:
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            for _ in range(REQUESTS_PER_CONNECTION):
                is_kept = await self._send(reader, writer, daemon, started)
                if not is_kept or is_over():
                    break
            writer.transport.abort()

    async def _send(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        daemon: str,
        started: float,
    ) -> bool:
        """Send one request; return whether the connection can be used again."""
        answer, request = self._make_request(daemon)
        answer.began = time.monotonic() - started
        self.answers.append(answer)
        writer.write(request)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + PATIENCE_SECONDS):
                await read_answer(reader, answer)
        except TimeoutError:
            return False
        finally:
            answer.ended = time.monotonic() - started
        return answer.stays_open and await self._think(reader, answer)

    async def _think(self, reader: asyncio.StreamReader, answer: Answer) -> bool:
        """Pause; return whether the connection stays open and silent."""
        try:
            async with asyncio.timeout(self._random.uniform(*THINK_SECONDS)):
                stray = await reader.read(200)
        except TimeoutError:
            return True
        except OSError:
            return False
        if stray:
            self.strays.append((answer.attempt, answer.daemon, stray))
        return False

    def _make_request(self, daemon: str) -> tuple[Answer, bytes]:
        random = self._random
        attempt = f"{self.name}x{len(self.answers)}"
        names, shares = list(ROUTE_SHARES), list(ROUTE_SHARES.values())
        name = random.choices(names, shares)[0]
        route = ROUTES[name]
        events = random.randint(*EVENTS)
        if route.streams:
            query = f"events={events}&seconds={random.choice(EVENT_SECONDS)}"
        else:
            size = random.choice(BODY_BYTES)
            query = f"bytes={size}&seconds={random.choice(CALL_SECONDS)}"
        path = f"{route.prefix}{attempt}?{query}"
        # Equal prompts that break off would pass for ones that crash their runners.
        own_part = f"{zlib.crc32(attempt.encode()):x}"
        tokens = random.randint(*PROMPT_TOKENS)
        key = self._draw_key()
        request = make_request(
            path,
            attempt,
            DEADLINE_MS,
            route.method,
            output_tokens=events,
            prompt=f"aa:1000,{own_part}:{tokens}",
            key=key,
        )
        return Answer(attempt, name, path, daemon, 0.0, key=key), request
