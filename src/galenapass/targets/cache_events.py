"""Receive events about engines' prefix caches, which may be late or lost."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson

from galenapass.targets.connections import open_session

__all__ = ["CacheEvent", "CacheEventClient"]

DATA_PREFIX = b"data: "
IDLE_TIMEOUT_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of a prefix cache; a gap in the sequence means lost events."""

    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class CacheEventClient:
    """Client for the cache events of engines."""

    __slots__ = ("_session",)

    def __init__(self) -> None:
        self._session = open_session()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def follow(self, address: str) -> AsyncIterator[CacheEvent]:
        """Yield an engine's events until the stream ends, fails or is idle too long."""
        timeout = aiohttp.ClientTimeout(total=None, sock_read=IDLE_TIMEOUT_SECONDS)
        url = f"http://{address}/events/cache"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                async for line in response.content:
                    if line.startswith(DATA_PREFIX):
                        yield _parse_event(line)
        except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError):
            # Events only correct an estimate; the consumer reopens the stream.
            return


def _parse_event(line: bytes) -> CacheEvent:
    value = orjson.loads(line.removeprefix(DATA_PREFIX))
    return CacheEvent(
        sequence=int(value["sequence"]),
        stored=tuple(value["stored"]),
        evicted=tuple(value["evicted"]),
    )
