"""Carry batches over one long-lived stream for each pair of partners."""

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server
from h2.exceptions import H2Error

from galenapass.logs import make_log
from galenapass.peers import peers_pb2 as wire
from galenapass.peers.decoding import Decoder
from galenapass.peers.encoding import Encoder
from galenapass.peers.peers_grpc import ExchangeBase, ExchangeStub
from galenapass.systems.settings_sync import SettingsReplica, make_settings_reply

__all__ = ["LINK_ERRORS", "Link", "Listener", "Traffic", "dial", "split_address"]

SECRET_HEADER = "x-galenapass-secret"
HELLO_TIMEOUT = 5.0

log = make_log("peers")

LINK_ERRORS = (
    OSError,
    GRPCError,
    H2Error,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    ValueError,
)

Serve = Callable[["Link"], Awaitable[None]]


class _Stream(Protocol):
    async def send_message(self, message: wire.Batch) -> None:
        """Send one batch; waits while the partner's window is full."""

    async def recv_message(self) -> wire.Batch | None:
        """Receive one batch; None when the partner has ended the stream."""


@dataclass(slots=True)
class Traffic:
    """Count what went over the links in both directions, in bytes and batches."""

    sent: int = 0
    received: int = 0
    batches: int = 0


class Link:
    """Hold one open stream and what the partner said of itself."""

    __slots__ = (
        "_sending",
        "_stream",
        "answered",
        "asking",
        "decoder",
        "dialled",
        "encoder",
        "last_received",
        "hello",
        "name",
        "opened",
        "receiving",
        "settings_version",
        "settings_wanted",
        "wake",
    )

    def __init__(self, stream: Any, hello: wire.Hello, dialled: bool, name: str):
        self._stream: _Stream = stream
        self._sending = asyncio.Lock()
        self.hello = hello
        self.dialled = dialled
        self.name = name
        self.encoder = Encoder()
        self.decoder = Decoder(hello.host)
        self.wake = asyncio.Event()
        self.opened = self.last_received = timedelta(0)
        self.receiving: asyncio.Task[None] | None = None
        self.settings_version = 0
        self.settings_wanted = False
        self.asking = False
        self.answered = 0

    async def send(self, batch: wire.Batch) -> int:
        """Send one batch and return its size in bytes."""
        size = batch.ByteSize()
        async with self._sending:
            await self._stream.send_message(batch)
        return size

    def put_settings(self, batch: wire.Batch, replica: SettingsReplica) -> None:
        """Add what the partner lacks of the settings, and ask for what it has."""
        batch.settings_wanted, self.asking = self.asking, False
        wanted, self.settings_wanted = self.settings_wanted, False
        if self.answered == replica.current.version and not wanted:
            return
        part = make_settings_reply(replica, self.settings_version, wanted)
        if part is not None:
            self.answered = replica.current.version
            self.encoder.put_settings(batch, part)

    async def receive(self) -> wire.Batch | None:
        """Receive one batch; None when the partner has ended the link."""
        return await self._stream.recv_message()

    def close(self) -> None:
        """End the link from this side."""
        if self.receiving is not None:
            self.receiving.cancel()


class Listener(ExchangeBase):
    """Accept the links that other daemons open."""

    __slots__ = ("_hello", "_secret", "_serve", "_server", "address")

    def __init__(self, secret: str, hello: Callable[[], wire.Hello], serve: Serve):
        self._secret = secret
        self._hello = hello
        self._serve = serve
        self._server: Server | None = None
        self.address = ""

    async def start(self, listen: str) -> None:
        """Listen on IP:PORT; port 0 picks a free one, see ``address``."""
        host, port = split_address(listen)
        server = Server([self])
        await server.start(host, port)
        self._server = server
        sockets = server._server.sockets  # type: ignore[union-attr]
        self.address = f"{host}:{sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listening socket and every accepted link."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def Link(self, stream: Any) -> None:  # noqa: N802
        """Serve one link after a check of its secret."""
        secret = str(stream.metadata.get(SECRET_HEADER, ""))
        if not hmac.compare_digest(secret.encode(), self._secret.encode()):
            log("refused a link with a wrong secret", peer=_name_peer(stream))
            raise GRPCError(Status.UNAUTHENTICATED, "wrong secret")
        first = await asyncio.wait_for(stream.recv_message(), HELLO_TIMEOUT)
        if first is None or not first.HasField("hello"):
            raise GRPCError(Status.INVALID_ARGUMENT, "no hello")
        await stream.send_message(wire.Batch(hello=self._hello()))
        await self._serve(Link(stream, first.hello, False, _name_peer(stream)))


async def dial(address: str, secret: str, hello: wire.Hello, serve: Serve) -> None:
    """Open a link to an address and serve it until it ends."""
    host, port = split_address(address)
    channel = Channel(host, port)
    try:
        metadata = {SECRET_HEADER: secret}
        async with ExchangeStub(channel).Link.open(metadata=metadata) as stream:
            opening = stream.send_message(wire.Batch(hello=hello))
            await asyncio.wait_for(opening, HELLO_TIMEOUT)
            first = await asyncio.wait_for(stream.recv_message(), HELLO_TIMEOUT)
            if first is None or not first.HasField("hello"):
                raise ConnectionError(f"no hello from {address}")
            await serve(Link(stream, first.hello, True, address))
            with suppress(*LINK_ERRORS):
                await stream.cancel()
    finally:
        channel.close()


def split_address(address: str) -> tuple[str, int]:
    """Split IP:PORT; raise ValueError with the value when it is neither."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not IP:PORT: {address!r}")
    return host, int(port)


def _name_peer(stream: Any) -> str:
    address = stream.peer.addr()
    return f"{address[0]}:{address[1]}" if address else "unknown"
