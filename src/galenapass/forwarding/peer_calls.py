"""Call other daemons over TCP.

A connection carries one call: a line of JSON with the caller's host and the fields of
the call, then a line of JSON with the reply, and what the call defines after it.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from datetime import timedelta
from typing import Any

import orjson
from result import Err, Ok, Result

from galenapass.forwarding.schedulers import Address
from galenapass.http_connections import reset_connection
from galenapass.json_values import describe_error, read_name
from galenapass.logs import make_log
from galenapass.timeouts import limit_silence

__all__ = [
    "BUFFER_BYTES",
    "CONNECT_TIMEOUT",
    "PeerConnection",
    "PeerServer",
    "open_call",
]

# A host of the same region answers within a few milliseconds, and one whose processor
# has a quota pauses for a part of each tenth of a second.
CONNECT_TIMEOUT = timedelta(milliseconds=250)
REQUEST_TIMEOUT = timedelta(seconds=1)
MAX_LINE_BYTES = 4096
# Received bytes that are not yet read, and written ones that are not yet sent.
BUFFER_BYTES = 16_384


_log = make_log("peers")


class PeerConnection:
    """Connection of one call, from either side."""

    __slots__ = ("host", "reader", "writer")

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ):
        self.reader = reader
        self.writer = writer
        self.host = host

    async def send(self, fields: Mapping[str, Any], payload: bytes = b"") -> None:
        """Send a line of JSON and the bytes after it."""
        self.writer.write(orjson.dumps(fields) + b"\n" + payload)
        await self.writer.drain()

    async def receive(self, within: timedelta) -> dict[str, Any]:
        """Return the next line; raise TimeoutError, OSError or ValueError."""
        async with limit_silence(within):
            line = await self.reader.readline()
        if len(line) > MAX_LINE_BYTES:
            raise ValueError(f"a line is over {MAX_LINE_BYTES} bytes")
        fields = orjson.loads(line)
        if not isinstance(fields, dict):
            raise ValueError("a line holds no object")
        return fields

    def abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    def reset(self) -> None:
        """Close the connection so that the peer gets an error and no end."""
        reset_connection(self.writer.transport)


PeerHandler = Callable[[dict[str, Any], PeerConnection], Coroutine[Any, Any, None]]


class PeerServer:
    """Server of the calls of other daemons.

    ``handlers`` serve the calls by name; ``is_host`` returns whether an IP address is
    that of a host, as no one else may call.
    """

    def __init__(
        self, handlers: Mapping[str, PeerHandler], is_host: Callable[[str], bool]
    ):
        self._handlers = handlers
        self._is_host = is_host
        self._server: asyncio.Server | None = None
        self._connections: set[PeerConnection] = set()

    async def open(self, address: Address) -> None:
        """Listen on a local address."""
        self._server = await asyncio.start_server(
            self._serve, *address, limit=BUFFER_BYTES
        )

    def close(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.set_write_buffer_limits(high=BUFFER_BYTES)
        connection = PeerConnection(reader, writer, "")
        self._connections.add(connection)
        try:
            await self._answer(connection)
        except Exception as error:
            _log("call failed", peer=connection.host, error=describe_error(error))
            connection.abort()
        finally:
            self._connections.discard(connection)
            writer.close()

    async def _answer(self, connection: PeerConnection) -> None:
        ip = connection.writer.get_extra_info("peername")[0]
        if not self._is_host(ip):
            _log("call of a stranger is refused", ip=ip)
            return
        fields = await connection.receive(REQUEST_TIMEOUT)
        connection.host = read_name(fields["host"])
        handler = self._handlers.get(fields["call"])
        if handler is None:
            # A call of a later build.
            await connection.send({"error": "unknown call"})
            return
        await handler(fields, connection)


async def open_call(
    address: Address, host: str, call: str, fields: Mapping[str, Any]
) -> Result[PeerConnection, str]:
    """Send a call of this ``host`` to the daemon at an address.

    The caller reads the reply and aborts the connection.
    """
    try:
        async with limit_silence(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=BUFFER_BYTES)
    except (OSError, TimeoutError) as error:
        return Err(describe_error(error))
    connection = PeerConnection(reader, writer, host)
    try:
        await connection.send({"host": host, "call": call, **fields})
    except OSError as error:
        connection.abort()
        return Err(describe_error(error))
    return Ok(connection)
