"""Read what the kernel knows of a connection, also while its bytes are not read."""

import asyncio
import socket
import struct
from datetime import timedelta
from typing import NamedTuple

__all__ = ["has_ended_before", "has_unacknowledged", "is_established"]

MILLISECOND = timedelta(milliseconds=1)
# Of Linux's tcp_info: the state, the segments that were sent and not acknowledged, and
# the milliseconds since the peer last sent.
_TCP_INFO = struct.Struct("=B23xI28xI")
_ESTABLISHED = 1
_CLOSE_WAIT = 8


class _State(NamedTuple):
    """State of a connection, 0 if unknown, and for how long its peer is silent."""

    state: int
    unacknowledged: int
    silence: timedelta


_UNKNOWN = _State(0, 0, timedelta(0))


def is_established(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether neither side has closed a connection; False if it is unknown."""
    return _read(transport).state == _ESTABLISHED


def has_ended_before(transport: asyncio.BaseTransport | None, age: timedelta) -> bool:
    """Return whether a peer closed a connection that long ago, unread until now.

    This host was frozen or busy meanwhile.
    """
    known = _read(transport)
    return known.state == _CLOSE_WAIT and known.silence > age


def has_unacknowledged(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer may not have got all that was sent, False if unknown."""
    return _read(transport).unacknowledged > 0


def _read(transport: asyncio.BaseTransport | None) -> _State:
    """Return the state of a connection."""
    connected = None if transport is None else transport.get_extra_info("socket")
    if connected is None:
        return _UNKNOWN
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        # It is closed, or the system has no such figures.
        return _UNKNOWN
    if len(info) < _TCP_INFO.size:
        return _UNKNOWN
    state, unacknowledged, silence_ms = _TCP_INFO.unpack(info)
    return _State(state, unacknowledged, silence_ms * MILLISECOND)
