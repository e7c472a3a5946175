"""Forward TCP connections over the loopback interface and disturb them on demand."""

import asyncio
import contextlib
from enum import Enum

from stand_ins.serving import split_address

__all__ = ["Disturbance", "Proxy"]

CHUNK_BYTES = 65_536
SLOW_CHUNK_BYTES = 8_192
DELAY_SECONDS = 0.3
HOLD_POLL_SECONDS = 0.02


class Disturbance(Enum):
    """Disturbance that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    HOLD = "hold"
    CUT_REQUESTS = "cut requests"
    CUT_RESPONSES = "cut answers"


_REQUEST_DROPS = frozenset({Disturbance.SILENCE, Disturbance.CUT_REQUESTS})
_RESPONSE_DROPS = frozenset({Disturbance.SILENCE, Disturbance.CUT_RESPONSES})


class Proxy:
    """TCP proxy with one listening port and one target.

    Data that arrives while a direction is cut is dropped. Such a connection gets no
    response even after the cut ends, as after a network partition. Data that is held
    arrives after that, unless its sender has reset the connection. The responses of all
    connections share ``bytes_per_second``, None for no limit.
    """

    def __init__(self, target: str, bytes_per_second: float | None = None):
        self.disturbance = Disturbance.NONE
        self.address = ""
        self.bytes_per_second = bytes_per_second
        self._link = asyncio.Lock()
        self._target = split_address(target)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        self._abort_all()

    def disturb(self, disturbance: Disturbance) -> None:
        """Apply a disturbance to all connections from now on, including open ones."""
        self.disturbance = disturbance
        if disturbance is Disturbance.RESET:
            self._abort_all()

    def _abort_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.disturbance is Disturbance.RESET:
                return
            source, sink = await asyncio.open_connection(*self._target)
            self._writers.add(sink)
            try:
                await asyncio.gather(
                    self._forward(reader, sink, _REQUEST_DROPS),
                    self._forward(source, writer, _RESPONSE_DROPS, is_limited=True),
                )
            finally:
                self._writers.discard(sink)
                sink.transport.abort()
        except OSError:
            # One side failed or disconnected; the other is closed below.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drops: frozenset[Disturbance],
        *,
        is_limited: bool = False,
    ) -> None:
        is_cut = False
        size = SLOW_CHUNK_BYTES if is_limited and self.bytes_per_second else CHUNK_BYTES
        while chunk := await reader.read(size):
            if self.disturbance is Disturbance.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            if is_limited:
                await self._pass_link(len(chunk))
            is_cut = is_cut or self.disturbance in drops
            if is_cut:
                continue
            while self.disturbance is Disturbance.HOLD:
                await asyncio.sleep(HOLD_POLL_SECONDS)
            if reader.exception() is not None:
                return
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()

    async def _pass_link(self, size: int) -> None:
        """Wait until so many bytes have passed the link."""
        if self.bytes_per_second is None:
            return
        async with self._link:
            await asyncio.sleep(size / self.bytes_per_second)
