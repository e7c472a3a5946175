"""Exchange batches over one long-lived stream for each pair of daemons."""

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
HELLO_TIMEOUT = 5.0  # seconds

_log = make_log("peers")

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
        """Send one batch; wait while the partner's flow-control window is full."""

    async def recv_message(self) -> wire.Batch | None:
        """Receive one batch; return None when the partner has ended the stream."""


@dataclass(slots=True)
class Traffic:
    """Bytes sent and received, and batches in both directions, over all links."""

    sent: int = 0
    received: int = 0
    batches: int = 0


class Link:
    """Open stream to a partner: the daemon at the other end, described by ``hello``."""

    __slots__ = (
        "_send_lock",
        "_stream",
        "decoder",
        "dialled",
        "encoder",
        "hello",
        "last_received_at",
        "name",
        "opened_at",
        "receive_task",
        "requests_settings",
        "settings_version",
        "settings_version_sent",
        "settings_wanted",
        "wake",
    )

    def __init__(self, stream: Any, hello: wire.Hello, dialled: bool, name: str):
        self._stream: _Stream = stream
        self._send_lock = asyncio.Lock()
        self.hello = hello
        self.dialled = dialled
        self.name = name
        self.encoder = Encoder()
        self.decoder = Decoder(hello.host)
        self.wake = asyncio.Event()
        self.opened_at = self.last_received_at = timedelta(0)
        self.receive_task: asyncio.Task[None] | None = None
        self.settings_version = 0
        self.settings_wanted = False
        self.requests_settings = False
        self.settings_version_sent = 0

    async def send(self, batch: wire.Batch) -> int:
        """Send one batch and return its size in bytes."""
        size = batch.ByteSize()
        async with self._send_lock:
            await self._stream.send_message(batch)
        return size

    def put_settings(self, batch: wire.Batch, replica: SettingsReplica) -> None:
        """Add settings that the partner lacks, and request its own if required."""
        batch.settings_wanted, self.requests_settings = self.requests_settings, False
        requested, self.settings_wanted = self.settings_wanted, False
        if self.settings_version_sent == replica.current.version and not requested:
            return
        reply = make_settings_reply(replica, self.settings_version, requested)
        if reply is not None:
            self.settings_version_sent = replica.current.version
            self.encoder.put_settings(batch, reply)

    async def receive(self) -> wire.Batch | None:
        """Receive one batch; return None when the partner has ended the link."""
        return await self._stream.recv_message()

    def close(self) -> None:
        """Close the link from this end."""
        if self.receive_task is not None:
            self.receive_task.cancel()


class Listener(ExchangeBase):
    """Server for the links that other daemons open."""

    __slots__ = ("_make_hello", "_secret", "_serve", "_server", "address")

    def __init__(self, secret: str, make_hello: Callable[[], wire.Hello], serve: Serve):
        self._secret = secret
        self._make_hello = make_hello
        self._serve = serve
        self._server: Server | None = None
        self.address = ""

    async def start(self, listen: str) -> None:
        """Listen on IP:PORT; port 0 selects a free one, see ``address``."""
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
        """Serve one link after checking its secret."""
        secret = str(stream.metadata.get(SECRET_HEADER, ""))
        if not hmac.compare_digest(secret.encode(), self._secret.encode()):
            _log("link refused: wrong secret", peer=_format_peer_address(stream))
            raise GRPCError(Status.UNAUTHENTICATED, "wrong secret")
        first = await asyncio.wait_for(stream.recv_message(), HELLO_TIMEOUT)
        if first is None or not first.HasField("hello"):
            raise GRPCError(Status.INVALID_ARGUMENT, "no hello")
        await stream.send_message(wire.Batch(hello=self._make_hello()))
        await self._serve(
            Link(stream, first.hello, False, _format_peer_address(stream))
        )


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
    """Split IP:PORT; raise ValueError with the value if it is malformed."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not IP:PORT: {address!r}")
    return host, int(port)


def _format_peer_address(stream: Any) -> str:
    address = stream.peer.addr()
    return f"{address[0]}:{address[1]}" if address else "unknown"
