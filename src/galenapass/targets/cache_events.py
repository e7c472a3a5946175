"""Follow what engines say of their prefix caches, late and with gaps."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import orjson

from galenapass.targets.connections import open_session

__all__ = ["CacheEvent", "CacheEventClient"]

DATA = b"data: "
SILENCE_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """Hold one change of a cache; a jump of the sequence means that some are lost."""

    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class CacheEventClient:
    """Hold the connections on which engines send their cache events."""

    __slots__ = ("_session",)

    def __init__(self) -> None:
        self._session = open_session()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def follow(self, address: str) -> AsyncIterator[CacheEvent]:
        """Yield an engine's events until it closes, breaks off or falls silent."""
        timeout = aiohttp.ClientTimeout(total=None, sock_read=SILENCE_SECONDS)
        url = f"http://{address}/events/cache"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                async for line in answer.content:
                    if line.startswith(DATA):
                        yield _read_event(line)
        except (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError):
            # Events only correct an estimate; whoever follows opens it again.
            return


def _read_event(line: bytes) -> CacheEvent:
    value = orjson.loads(line.removeprefix(DATA))
    return CacheEvent(
        sequence=int(value["sequence"]),
        stored=tuple(value["stored"]),
        evicted=tuple(value["evicted"]),
    )
