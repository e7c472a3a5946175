"""Write the answers of a runner as raw bytes, which an HTTP server does not allow."""

import asyncio
import socket
import struct
from enum import Enum
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict

__all__ = ["Framing", "RawResponse", "Repeat", "break_connection", "reset_transport"]

# Closing a socket with this option resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class Framing(Enum):
    """How the end of a body is told."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Repeat:
    """Second copy of an answer, after a delay, with or without some header."""

    __slots__ = ("delay_seconds", "left_out")

    def __init__(self, delay_seconds: float, left_out: str | None = None) -> None:
        self.delay_seconds = delay_seconds
        self.left_out = left_out


class RawResponse(web.StreamResponse):
    """Response that writes its own bytes to the connection.

    Answers on one connection share a lock, so that a second copy of an answer comes
    where the next answer is expected. A body that ends with its connection gets the
    second copy before the close.
    """

    def __init__(
        self,
        status: int,
        headers: CIMultiDict[str],
        framing: Framing,
        lock: asyncio.Lock,
        repeat: Repeat | None = None,
    ) -> None:
        super().__init__(status=status, headers=headers)
        self.framing = framing
        self.repeat = repeat
        self._lock = lock
        self._connection: asyncio.Transport | None = None
        self._sent = b""
        self._is_ended = False

    @property
    def keep_alive(self) -> bool | None:
        """Return whether the connection stays open after the answer."""
        return self.framing is not Framing.CLOSE

    @property
    def prepared(self) -> bool:
        """Return whether the head has been written."""
        return self._connection is not None

    async def prepare(self, request: web.BaseRequest) -> None:
        """Write the head unless that has been done."""
        if self._connection is not None:
            return
        await self._lock.acquire()
        if request.transport is None or request.transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._connection = request.transport
        self._connection.write(self._make_head())

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write a piece of the body."""
        assert self._connection is not None
        if self._connection.is_closing():
            raise ConnectionResetError("the connection is closed")
        self._sent += bytes(data)
        if self.framing is Framing.CHUNKS:
            data = b"%x\r\n%b\r\n" % (len(data), bytes(data))
        self._connection.write(data)

    async def write_eof(self, data: bytes = b"") -> None:
        """End the body; without framing, close the connection."""
        assert self._connection is not None
        if self._is_ended:
            return
        self._is_ended = True
        if data:
            await self.write(data)
        if self.framing is Framing.CHUNKS:
            self._connection.write(b"0\r\n\r\n")
        if self.framing is Framing.CLOSE:
            if self.repeat is not None:
                await asyncio.sleep(self.repeat.delay_seconds)
                self._connection.write(self._make_copy())
            self._connection.close()
        self._lock.release()

    async def write_copy(self) -> None:
        """Write the second copy of a framed answer after its delay."""
        assert self._connection is not None and self.repeat is not None
        await asyncio.sleep(self.repeat.delay_seconds)
        async with self._lock:
            if not self._connection.is_closing():
                self._connection.write(self._make_copy())

    def _make_head(self, left_out: str | None = None) -> bytes:
        headers = CIMultiDict(self.headers)
        if left_out is not None:
            headers.popall(left_out, None)
        if self.framing is Framing.CHUNKS:
            headers["Transfer-Encoding"] = "chunked"
        if self.framing is Framing.CLOSE:
            headers.popall("Content-Length", None)
            headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _make_copy(self) -> bytes:
        assert self.repeat is not None
        body = self._sent
        if self.framing is Framing.CHUNKS:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return self._make_head(self.repeat.left_out) + body


def reset_transport(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset instead of a FIN."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def break_connection(transport: asyncio.Transport | None, *, resets: bool) -> None:
    """Break a connection as a process that ends does, or with a reset."""
    if transport is None:
        return
    if resets:
        reset_transport(transport)
    transport.abort()
