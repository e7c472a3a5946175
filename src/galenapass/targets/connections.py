"""Open client sessions to targets and judge what went wrong on them."""

import asyncio
import functools
import socket
from collections.abc import Mapping
from typing import Any

import aiohttp
from aiohttp import ClientHandlerType
from aiohttp.client_middlewares import ClientMiddlewareType
from aiohttp.client_proto import ResponseHandler

from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "MAX_BODY_BYTES",
    "LostConnectionError",
    "classify_response",
    "classify_error",
    "make_probed_socket",
    "open_once_session",
    "open_keepalive_session",
    "open_session",
    "read_body",
]

CONNECT_SECONDS = 2.0
KEEPALIVE_SECONDS = 15.0
# A peer that answers no probe for this long is given up: silent links show no end.
PROBE_IDLE_SECONDS = 1
PROBE_PERIOD_SECONDS = 1
PROBES_UNANSWERED = 2
UNACKNOWLEDGED_MS = 1500
# Bytes of an answer that is read as a whole; the largest page of the platform's store
# holds about 1 MB.
MAX_BODY_BYTES = 8_000_000
# Interim answers before the final one; the servers spoken to send none or one.
MOST_INTERIM = 16
NOT_RUN_HEADER = "X-Run"
NOT_RUN_VALUE = "not-run"

# Errors of the connect phase; the request was not sent. Timeouts of the connect
# phase have their own class, so any other timeout came after the request.
_BEFORE_SENDING = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# A target answers these for what is wrong with the request itself.
_CALLERS_FAULT = {
    400: Reason.MALFORMED,
    413: Reason.TOO_LARGE,
    422: Reason.MALFORMED,
}


class LostConnectionError(aiohttp.ClientError):
    """Say that a connection was lost after a request was sent on it."""


class _Answers(ResponseHandler):
    """Read the answers on one connection, and close it on too many interim ones.

    The library drops each of them in a loop that lets nothing else run.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._interim = 0

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take in the head of an answer."""
        is_interim = 100 <= data[0].code < 200
        self._interim = self._interim + 1 if is_interim else 0
        if self._interim <= MOST_INTERIM:
            super().feed_data(data, size)
            return
        if self.transport is not None:
            self.transport.close()
        error = aiohttp.ClientPayloadError(f"over {MOST_INTERIM} interim answers")
        self.set_exception(error)


def open_session() -> aiohttp.ClientSession:
    """Return a session that keeps its connections and has no total timeout."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
    return _open_session(connector)


def open_once_session() -> aiohttp.ClientSession:
    """Return a session that sends every request on a connection of its own, once."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return _open_session(connector, _forbid_repeats)


def open_keepalive_session(
    *, once: bool, keep: float = KEEPALIVE_SECONDS, connect: float = CONNECT_SECONDS
) -> aiohttp.ClientSession:
    """Return a session that never repeats a request and notices silent links.

    ``once`` sends each request on a connection of its own; ``keep`` is how long
    another one stays open unused, ``connect`` bounds its set-up, both in seconds.
    """
    options: dict[str, Any] = {"socket_factory": make_probed_socket}
    # The library takes either the one or the other.
    options |= {"force_close": True} if once else {"keepalive_timeout": keep}
    connector = aiohttp.TCPConnector(limit=0, **options)
    return _open_session(connector, _forbid_repeats, connect=connect)


def make_probed_socket(info: Any) -> socket.socket:
    """Return a socket on which a silent peer shows as an error within seconds."""
    family, kind, protocol = info[0], info[1], info[2]
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_SECONDS)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_UNANSWERED)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return made


def _open_session(
    connector: aiohttp.TCPConnector,
    *middlewares: ClientMiddlewareType,
    connect: float = CONNECT_SECONDS,
) -> aiohttp.ClientSession:
    # The library has no public place for this; its version is pinned.
    factory: Any = functools.partial(_Answers, loop=asyncio.get_running_loop())
    connector._factory = factory
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect),
        headers={"Accept-Encoding": "identity"},
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=middlewares,
    )


async def _forbid_repeats(
    request: aiohttp.ClientRequest, send: ClientHandlerType
) -> aiohttp.ClientResponse:
    # On these two errors the client library sends a PUT, DELETE or GET again by
    # itself; under another class they come back here first.
    try:
        return await send(request)
    except _BEFORE_SENDING:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostConnectionError(f"{type(error).__name__}: {error}") from error


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return a whole body; raise LostConnectionError for one that is too large.

    Load pattern: a peer in trouble that sends bytes without end.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            response.close()
            raise LostConnectionError(f"the body is over {MAX_BODY_BYTES} bytes")
    return bytes(body)


def classify_error(error: Exception) -> Verdict:
    """Tell from a client error whether the request may have run."""
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, _BEFORE_SENDING):
        return Verdict(Run.NOT_RUN, Reason.TARGET_UNREACHABLE, detail)
    if isinstance(error, TimeoutError):
        return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE, detail)
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def classify_response(status: int, headers: Mapping[str, str]) -> Verdict:
    """Tell from an error answer whether the request may have run."""
    detail = f"the target answered {status}"
    reason = _CALLERS_FAULT.get(status)
    if headers.get(NOT_RUN_HEADER, "").lower() == NOT_RUN_VALUE:
        return Verdict(Run.NOT_RUN, reason or Reason.TARGET_REFUSED, detail)
    return Verdict(Run.MAY_HAVE_RUN, reason or Reason.TARGET_FAILED, detail)
