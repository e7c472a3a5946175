"""Connect hosts to targets that they do not reach, through a host that does.

A tunnel carries the bytes of one connection to a target unchanged. What a request may
do is decided at the host that has it alone; the other host only refuses targets that it
must not connect to. A tunnel leads straight to its target, so there is one host on the
way at most.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import orjson
from result import Err, Ok, Result

from galenapass.forwarding.peer_calls import (
    BUFFER_BYTES,
    CONNECT_TIMEOUT,
    PeerConnection,
)
from galenapass.forwarding.schedulers import Address
from galenapass.forwarding.target_paths import Refusal, TargetPaths
from galenapass.http_connections import reset_connection
from galenapass.json_values import DECODE_ERRORS, decode_json, read_name
from galenapass.logs import make_log
from galenapass.settings.addresses import parse_ipv4_address
from galenapass.targets.connections import (
    SocketFactory,
    enable_probes,
    make_probed_socket,
)
from galenapass.timeouts import limit_silence

__all__ = ["TUNNEL_CALL", "TunnelClient", "TunnelServer", "connect_target"]

TUNNEL_CALL = "tunnel"
# For the other host's attempt to connect, and its answer.
ANSWER_TIMEOUT = 2 * CONNECT_TIMEOUT
# Hosts that do not reach a target until it counts as lost.
MAX_UNREACHABLE = 2
# For the caller to close its end after the target has closed.
CLOSE_TIMEOUT = timedelta(seconds=2)
MAX_ANSWER_BYTES = 256
# Each takes two descriptors and up to 100 KB; the smallest hosts have 1,638 and 160 MB.
MAX_TUNNELS = 128

_OPENED = orjson.dumps({"opened": True}) + b"\n"

_log = make_log("paths")

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect_target(address: str, make_socket: SocketFactory) -> socket.socket:
    """Return a socket that is connected to a target; raise OSError."""
    return await _connect(_parse(address), make_socket)


class TunnelServer:
    """Server of the tunnels of other hosts.

    ``connect`` connects to a target, ``is_excluded`` returns whether this host must not
    send to an address. ``open`` counts the tunnels; once ``stopping`` is set, no new
    ones are opened.
    """

    def __init__(
        self,
        paths: TargetPaths,
        connect: Callable[[str], Awaitable[socket.socket]],
        is_excluded: Callable[[str], bool],
    ):
        self.open = 0
        self.stopping = False
        self._paths = paths
        self._connect = connect
        self._is_excluded = is_excluded

    async def serve(self, fields: dict[str, Any], connection: PeerConnection) -> None:
        """Connect a host to a target and pass bytes on until either end closes."""
        address = read_name(fields["address"])
        opened = await self._open(address)
        if isinstance(opened, Err):
            await connection.send({"refused": opened.err_value.value})
            return
        reader, writer = opened.ok_value
        writer.transport.set_write_buffer_limits(high=BUFFER_BYTES)
        self.open += 1
        try:
            enable_probes(connection.writer.get_extra_info("socket"))
            connection.writer.write(_OPENED)
            await _pass_on(connection, reader, writer)
        finally:
            self.open -= 1
            # What the caller has given up must not arrive after a cut.
            reset_connection(writer.transport)

    async def _open(self, address: str) -> Result[Streams, Refusal]:
        refusal = self._find_refusal(address)
        if refusal is not None:
            return Err(refusal)
        try:
            connected = await self._connect(address)
        except OSError:
            self._paths.record_attempt(address, False)
            return Err(Refusal.UNREACHABLE)
        self._paths.record_attempt(address, True)
        return Ok(await asyncio.open_connection(sock=connected, limit=BUFFER_BYTES))

    def _find_refusal(self, address: str) -> Refusal | None:
        reasons = (
            (self.stopping, Refusal.STOPPING),
            (self.open >= MAX_TUNNELS, Refusal.BUSY),
            (self._paths.is_cut_off, Refusal.CUT_OFF),
            (self._is_excluded(address), Refusal.EXCLUDED),
            (self._paths.has_failed(address), Refusal.UNREACHABLE),
        )
        return next((refusal for holds, refusal in reasons if holds), None)


class TunnelClient:
    """Opener of tunnels for one host.

    ``find_address`` returns the address of a host, None if it is unknown.
    """

    def __init__(
        self,
        host: str,
        paths: TargetPaths,
        find_address: Callable[[str], Address | None],
    ):
        self._host = host
        self._paths = paths
        self._find_address = find_address

    async def open(self, address: str, via: str = "") -> socket.socket:
        """Return a socket that leads to a target through a host that reaches it.

        It leads through the host at the address ``via`` if that is not empty. Raise
        ConnectionError if no host that was asked reaches it; nothing was sent to the
        target then.
        """
        if via:
            return (await self._ask_at(_parse(via), address)).unwrap_or_raise(
                ConnectionError
            )
        failed: list[str] = []
        for peer in self._paths.list_peers():
            opened = await self._ask(peer, address)
            if isinstance(opened, Ok):
                for other in failed:
                    self._paths.record_refusal(other, Refusal.CUT_OFF)
                self._paths.record_detour(address, peer)
                return opened.ok_value
            refusal = opened.err_value
            self._paths.record_refusal(peer, refusal)
            if refusal is Refusal.EXCLUDED:
                break
            if refusal is Refusal.UNREACHABLE:
                failed.append(peer)
            if len(failed) >= MAX_UNREACHABLE:
                break
        self._paths.record_lost(address)
        raise ConnectionError(f"no host reaches {address}")

    async def _ask(self, peer: str, address: str) -> Result[socket.socket, Refusal]:
        peer_address = self._find_address(peer)
        if peer_address is None:
            return Err(Refusal.SILENT)
        return await self._ask_at(peer_address, address)

    async def _ask_at(
        self, peer_address: Address, address: str
    ) -> Result[socket.socket, Refusal]:
        call = {"host": self._host, "call": TUNNEL_CALL, "address": address}
        loop = asyncio.get_running_loop()
        try:
            connected = await _connect(peer_address, make_probed_socket)
        except OSError:
            return Err(Refusal.SILENT)
        try:
            await loop.sock_sendall(connected, orjson.dumps(call) + b"\n")
            async with limit_silence(ANSWER_TIMEOUT):
                answer = await loop.sock_recv(connected, MAX_ANSWER_BYTES)
        except OSError:
            connected.close()
            return Err(Refusal.SILENT)
        except BaseException:
            connected.close()
            raise
        if answer == _OPENED:
            return Ok(connected)
        connected.close()
        return Err(_read_refusal(answer))


def _parse(text: str) -> Address:
    parsed = parse_ipv4_address(text)
    if isinstance(parsed, Err):
        raise OSError(f"no address: {text}")
    return parsed.ok_value.ip, parsed.ok_value.port


async def _connect(address: Address, make_socket: SocketFactory) -> socket.socket:
    info = (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)
    connected = make_socket(info)
    loop = asyncio.get_running_loop()
    try:
        async with limit_silence(CONNECT_TIMEOUT):
            await loop.sock_connect(connected, address)
    except BaseException:
        # The loop would do so later, when the descriptor may be that of another socket.
        loop.remove_writer(connected)
        connected.close()
        raise
    return connected


def _read_refusal(answer: bytes) -> Refusal:
    """Return why a tunnel was refused; a host of an earlier build does not say."""
    try:
        return Refusal(decode_json(answer).unwrap_or_raise(ValueError)["refused"])
    except DECODE_ERRORS:
        return Refusal.SILENT


async def _pass_on(
    connection: PeerConnection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Pass bytes on between a caller and a target until either end closes.

    The caller's connection is reset unless the target has closed its own, as the end of
    an answer may be that of its connection.
    """
    sending = asyncio.create_task(_copy(connection.reader, writer))
    receiving = asyncio.create_task(_copy(reader, connection.writer))
    try:
        await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
        if not receiving.done() or receiving.exception() is not None:
            # The caller has left, or the target did not end its answer.
            connection.reset()
            return
        with contextlib.suppress(OSError):
            connection.writer.write_eof()
            await asyncio.wait((sending,), timeout=CLOSE_TIMEOUT.total_seconds())
    except BaseException:
        connection.reset()
        raise
    finally:
        for task in (sending, receiving):
            task.cancel()
        await asyncio.gather(sending, receiving, return_exceptions=True)


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while chunk := await reader.read(BUFFER_BYTES):
        writer.write(chunk)
        await writer.drain()
