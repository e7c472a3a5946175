"""Serve HTTP connections whose state a graceful stop can see."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import BadHttpMethod, HttpProcessingError

from galenapass.logs import make_log

__all__ = [
    "RESET_ON_CLOSE",
    "ClientConnection",
    "ClientServer",
    "ConnectionCounts",
    "close_after",
    "cut_connection",
    "has_waiting_request",
    "reset_connection",
]

# Value of SO_LINGER: lingering is on, for 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time for a client to close its side of a connection that is closed here. Data that
# arrives on a closed socket resets the connection, and an answer on its way is lost.
LINGER_TIME = timedelta(milliseconds=100)
FLUSH_POLL = timedelta(milliseconds=20)

_log = make_log("connections")


@dataclass(slots=True, frozen=True)
class ConnectionCounts:
    """Open connections, requests that wait on them and bytes not yet written."""

    connections: int
    waiting: int
    unwritten: int


class ClientConnection(web.RequestHandler):  # type: ignore[misc]
    """HTTP connection of one client."""

    __slots__ = ()

    @property
    def waiting(self) -> int:
        """Return the number of requests that were read and are not yet handled."""
        return len(self._messages)

    @property
    def is_idle(self) -> bool:
        """Return whether the connection waits for a request."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_waiting and not self._messages

    @property
    def unwritten(self) -> int:
        """Return the number of bytes that the client has not yet taken."""
        if self.transport is None or self.transport.is_closing():
            return 0
        return int(self.transport.get_write_buffer_size())

    def close_idle(self) -> None:
        """Close the sending side, ignore what arrives, and close once all is taken."""
        self.close()
        if self.transport is not None and not self.transport.is_closing():
            _close_sending_side(self.transport)
        self._close_when_written()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that failed, without what a malformed one contains.

        The text of such an error repeats the head of the request, and with it its key.
        """
        if isinstance(exc, HttpProcessingError):
            _log("request is malformed", error=type(exc).__name__)
            message = "the request is malformed"
            exc = BadHttpMethod("") if isinstance(exc, BadHttpMethod) else None
        response: web.StreamResponse = super().handle_error(
            request, status, exc, message
        )
        return response

    def _close_when_written(self) -> None:
        delay, act = LINGER_TIME, self.force_close
        if self.unwritten:
            delay, act = FLUSH_POLL, self._close_when_written
        self._loop.call_later(delay.total_seconds(), act)


class ClientServer(web.Server):
    """Server of client connections.

    ``options`` are those of aiohttp's connections.
    """

    def __init__(self, handler: Any, **options: Any):
        super().__init__(handler, **options)
        self._options = {k: v for k, v in options.items() if k not in _SERVER_OPTIONS}

    def __call__(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self, loop=self._loop, **self._options)

    def count(self) -> ConnectionCounts:
        """Return the counts of all connections."""
        connections = self._list_open()
        return ConnectionCounts(
            len(connections),
            sum(connection.waiting for connection in connections),
            sum(connection.unwritten for connection in connections),
        )

    def count_busy(self) -> int:
        """Return the number of connections with an answer that is due or unwritten."""
        return sum(
            not connection.is_idle or connection.unwritten > 0
            for connection in self._list_open()
        )

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self._list_open():
            if connection.is_idle:
                connection.close_idle()

    def _list_open(self) -> list[ClientConnection]:
        return [
            connection
            for connection in self.connections
            if isinstance(connection, ClientConnection)
            and connection.transport is not None
        ]


def has_waiting_request(raw: web.BaseRequest) -> bool:
    """Return whether another request waits on the connection for its answer."""
    return isinstance(raw.protocol, ClientConnection) and raw.protocol.waiting > 0


async def close_after(raw: web.BaseRequest, response: web.StreamResponse) -> None:
    """Write a response, and close its connection once the client has taken it."""
    transport = raw.transport
    if not raw.content.is_eof() or transport is None or transport.is_closing():
        return
    await response.prepare(raw)
    await response.write_eof()
    _close_sending_side(transport)
    while transport.get_write_buffer_size():  # type: ignore[attr-defined]
        await asyncio.sleep(FLUSH_POLL.total_seconds())
    await asyncio.sleep(LINGER_TIME.total_seconds())


def reset_connection(transport: Any) -> None:
    """Close a connection at once, so that no byte on its way is delivered later."""
    connected = transport.get_extra_info("socket")
    if connected is not None and connected.fileno() >= 0:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def cut_connection(raw: web.BaseRequest) -> None:
    """Close the connection of a request so that its answer is seen to be cut short."""
    transport = raw.transport
    if transport is None:
        return
    if raw.version >= HttpVersion11:
        transport.close()
        return
    # A closed connection is how an answer without chunks ends, so it is reset instead.
    reset_connection(transport)


def _close_sending_side(transport: Any) -> None:
    # TLS has no half-closed connections.
    if not transport.can_write_eof():
        return
    try:
        transport.write_eof()
    except OSError as error:
        # The client has reset the connection, and the event loop does not know yet.
        _log("connection was reset", error=repr(error))


_SERVER_OPTIONS = frozenset({"request_factory", "handler_cancellation", "loop"})
