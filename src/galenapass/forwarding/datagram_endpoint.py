"""Exchange messages with other daemons in datagrams."""

import asyncio
from collections.abc import Callable
from typing import Any

import orjson
from result import Err

from galenapass.clocks import Clock
from galenapass.forwarding.datagrams import (
    PeerMessage,
    decode_datagram,
    encode_datagram,
    encode_message,
)
from galenapass.forwarding.schedulers import Address
from galenapass.logs import make_log

__all__ = ["DatagramEndpoint"]

# Fits, together with the headers, into one packet of a usual network.
MAX_PAYLOAD_BYTES = 1350

OnMessage = Callable[[str, Address, PeerMessage], None]

_log = make_log("peers")


class DatagramEndpoint:
    """UDP endpoint of one daemon.

    Messages to one address that are sent in the same iteration of the event loop
    share datagrams. ``on_message`` is called with the sender, its address and each
    message.
    """

    def __init__(self, host: str, clock: Clock, on_message: OnMessage):
        self._host = host
        self._clock = clock
        self._on_message = on_message
        self._outgoing: dict[Address, list[list[Any]]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind to a local address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive), local_addr=address
        )

    def close(self) -> None:
        """Close the socket, if it is open."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: Address, message: PeerMessage) -> None:
        """Send a message in the next iteration of the event loop."""
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        encoded = encode_message(message, self._clock.monotonic())
        self._outgoing.setdefault(address, []).append(encoded)

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, {}
        if self._transport is None:
            return
        for address, messages in outgoing.items():
            for packed in _pack(messages):
                self._transport.sendto(encode_datagram(self._host, packed), address)

    def _receive(self, data: bytes, address: Address) -> None:
        decoded = decode_datagram(data, self._clock.monotonic())
        if isinstance(decoded, Err):
            _log("datagram is unreadable", sender=address[0], error=decoded.err_value)
            return
        host, messages = decoded.ok_value
        for message in messages:
            self._deliver(host, address, message)

    def _deliver(self, host: str, address: Address, message: PeerMessage) -> None:
        """Deliver one message; log an error, so that the next ones are delivered."""
        try:
            self._on_message(host, address, message)
        except Exception as error:
            kind = type(message).__name__
            _log("message failed", sender=host, kind=kind, error=repr(error))


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, Address], None]):
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        # A peer whose port is closed is detected by its silence.
        return


def _pack(messages: list[list[Any]]) -> list[list[list[Any]]]:
    """Group messages into packets; one that is too large gets its own."""
    if len(messages) == 1:
        return [messages]
    groups: list[list[list[Any]]] = []
    size = MAX_PAYLOAD_BYTES
    for message in messages:
        length = len(orjson.dumps(message)) + 1
        if size + length > MAX_PAYLOAD_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(message)
        size += length
    return groups
