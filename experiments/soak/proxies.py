"""Forward TCP connections over the loopback interface and disturb them on demand."""

import asyncio
import contextlib
from enum import Enum

from stand_ins.serving import split_address

__all__ = ["Disturbance", "Proxy"]

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.3


class Disturbance(Enum):
    """Disturbance that a proxy applies to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_REQUESTS = "cut requests"
    CUT_RESPONSES = "cut answers"


_REQUEST_DROPS = frozenset({Disturbance.SILENCE, Disturbance.CUT_REQUESTS})
_RESPONSE_DROPS = frozenset({Disturbance.SILENCE, Disturbance.CUT_RESPONSES})


class Proxy:
    """TCP proxy with one listening port and one target.

    Data that arrives while a direction is cut is dropped. Such a connection gets no
    response even after the cut ends, as after a network partition.
    """

    def __init__(self, target: str):
        self.disturbance = Disturbance.NONE
        self.address = ""
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
                    self._forward(source, writer, _RESPONSE_DROPS),
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
    ) -> None:
        is_cut = False
        while chunk := await reader.read(CHUNK_BYTES):
            if self.disturbance is Disturbance.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            is_cut = is_cut or self.disturbance in drops
            if is_cut:
                continue
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
