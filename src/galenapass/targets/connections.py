"""Open client sessions to targets and classify their failures."""

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import aiohttp
from aiohttp import ClientHandlerType
from aiohttp.client_middlewares import ClientMiddlewareType
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.connector import Connection

from galenapass.clocks import BootClock
from galenapass.http_connections import reset_connection
from galenapass.targets.connection_records import (
    Call,
    ConnectionRecord,
    ConnectionRecords,
    current_call,
)
from galenapass.targets.end_proofs import SETTLE_TIME, Witness
from galenapass.targets.tcp_states import has_ended_before
from galenapass.timeouts import limit_silence
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "LostConnectionError",
    "MAX_BODY_BYTES",
    "NOT_SENT_ERRORS",
    "OnConnect",
    "SocketFactory",
    "TargetExcludedError",
    "classify_error",
    "classify_response",
    "enable_probes",
    "find_length",
    "limit_response",
    "make_connector",
    "make_probed_socket",
    "make_response_handler",
    "make_silence_timeout",
    "make_target_socket",
    "open_detour_session",
    "open_keepalive_session",
    "open_session",
    "open_single_use_session",
    "open_witness",
    "read_body",
]

CONNECT_TIMEOUT = timedelta(seconds=2)
KEEPALIVE_SECONDS = 15.0
# TCP keepalive closes a connection whose peer stops answering probes: a link that
# fails silently never reports the end of a connection.
PROBE_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 2
# Where it is set, this and not the number of probes ends a silent connection, at the
# next probe after it.
USER_TIMEOUT = timedelta(seconds=1.5)
# A sound target may be silent for a second or so, in which two probes are lost; the
# third one is answered.
TARGET_USER_TIMEOUT = timedelta(seconds=3.5)
# Received bytes that are not yet read, by the kernel and by the library: hosts have
# hundreds of connections.
SOCKET_BUFFER_BYTES = 64 * 2**10
READER_BUFFER_BYTES = 16 * 2**10
# Largest response that is read as a whole; the largest page of the platform's store
# holds about 1 MB.
MAX_BODY_BYTES = 8_000_000
# The largest response takes 1.7 s at 5 Mbit/s, and twice as long beside another one.
MAX_TRANSFER_TIME = timedelta(seconds=3.5)
# Interim (1xx) responses before the final one; the known servers send at most one.
MAX_INTERIM_RESPONSES = 16
# A response with another status is none; the library's parser passes on any number.
STATUSES = range(100, 600)
NOT_RUN_HEADER = "X-Run"
NOT_RUN_VALUE = "not-run"

OnConnect = Callable[[str, bool], None]
SocketFactory = Callable[[Any], socket.socket]

# Errors of the connect phase, before the request was sent. Connect timeouts have
# their own class, so any other timeout occurred after the request was sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# Statuses with which a target rejects an invalid request.
_CLIENT_ERROR_REASONS = {
    400: Reason.MALFORMED,
    413: Reason.TOO_LARGE,
    422: Reason.MALFORMED,
}


class TargetExcludedError(aiohttp.ClientError):
    """Refusal to send a request to its target, directly before it is written."""


class LostConnectionError(aiohttp.ClientError):
    """Failure of a connection after a request was sent on it."""


class _StrictResponseHandler(ResponseHandler):
    """Response reader that closes a connection with responses that nobody awaits.

    The library keeps a response that arrives on an idle connection for the next
    request, and takes a reset for the end of a body without a length. It also discards
    interim responses in a loop that blocks the event loop, so their number is limited.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._record: ConnectionRecord | None = None
        self._records: ConnectionRecords | None = None
        self._interim_count = 0
        self._is_awaiting = False

    @property
    def record(self) -> ConnectionRecord | None:
        """Return the record of this connection, None if it has none."""
        return self._record

    def bind_record(self, address: str, records: ConnectionRecords) -> ConnectionRecord:
        """Return the record of this connection, which begins now if it had none."""
        if self._record is None:
            via = _find_via(self.transport, address)
            self._record = ConnectionRecord(address, via, self.transport)
            self._records = records
        return self._record

    def close(self) -> None:
        """Close the connection from this side.

        It is reset if its exchange has not ended: a request that is given up must not
        arrive after a cut of the link.
        """
        self._record_own_end()
        if self.transport is not None and self._is_in_use():
            reset_connection(self.transport)
            super().abort()
            return
        super().close()

    def abort(self) -> None:
        """Close the connection from this side, without its pending writes."""
        self._record_own_end()
        super().abort()

    def _is_in_use(self) -> bool:
        """Return whether a request or its response may still be on the way."""
        if self._is_awaiting or (
            self._payload is not None and not self._payload.is_eof()
        ):
            return True
        transport = self.transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def _record_own_end(self) -> None:
        if self._record is not None and self._record.is_open:
            self._record.ended_here = True
            self._record.is_open = False

    def set_response_params(self, **params: Any) -> None:
        """Begin to await the response to the next request."""
        self._is_awaiting = True
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; those on an idle connection belong to no request."""
        is_idle = not self._is_awaiting and (
            self._payload is None or self._payload.is_eof()
        )
        if data and is_idle:
            if self._record is not None:
                self._record.is_garbled = True
            self._report_unrequested("on an idle connection")
            self.abort()
            return
        super().data_received(data)
        error = self.exception()
        if error is not None:
            self._process_fault(error)

    def _process_fault(self, error: BaseException) -> None:
        """Process received bytes that are no response, or no rest of one.

        The library reports them to the reader of the next head, and not to that of the
        body.
        """
        payload = self._payload
        if payload is None:
            return
        if payload.is_eof():
            if self._record is not None:
                self._record.is_garbled = True
        elif payload.exception() is None:
            payload.set_exception(aiohttp.ClientPayloadError(str(error)), error)

    def eof_received(self) -> None:
        """Process the end of what the peer sends."""
        if self._record is not None:
            self._record.is_open = False
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Process the end of the connection; an error cuts the body off."""
        if self._record is not None and self._record.is_open:
            self._record.was_reset = exc is not None
            self._record.is_open = False
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            error = aiohttp.ClientPayloadError(f"the connection was lost: {exc}")
            payload.set_exception(error, exc)
        super().connection_lost(exc)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Process the parsed head of a response."""
        status = data[0].code
        if status not in STATUSES:
            self._reject(f"the status is {status}")
            return
        is_interim = 100 <= status < 200
        self._interim_count = self._interim_count + 1 if is_interim else 0
        if self._interim_count > MAX_INTERIM_RESPONSES:
            self._reject(f"over {MAX_INTERIM_RESPONSES} interim answers")
            return
        if not self._is_awaiting:
            # A second response to one request.
            self._report_unrequested("together with the one before")
            self.force_close()
            return
        self._is_awaiting = is_interim
        message = data[0]
        if self._record is not None and not message.chunked:
            self._record.is_overdue = "Content-Length" not in message.headers and (
                has_ended_before(self.transport, SETTLE_TIME)
            )
        super().feed_data(data, size)

    def _reject(self, fault: str) -> None:
        """Close the connection, whose head is that of no response."""
        if self.transport is not None:
            self.transport.close()
        self.set_exception(aiohttp.ClientPayloadError(fault))

    def _report_unrequested(self, kind: str) -> None:
        if self._record is not None and self._records is not None:
            self._records.record_unrequested(self._record, kind)


class _Connector(aiohttp.TCPConnector):
    """Connector whose attempts to connect end only on silent targets.

    ``on_connect`` gets the address of each attempt and whether it succeeded.
    """

    def __init__(
        self,
        connect: timedelta,
        on_connect: OnConnect,
        records: ConnectionRecords,
        **options: Any,
    ):
        super().__init__(**options)
        self._connect_timeout = connect
        self._on_connect = on_connect
        self._records = records

    async def _get(self, key: Any, traces: Any) -> Connection | None:
        """Return an idle connection that may carry the call that is being sent."""
        call, idle = current_call(), self._conns.get(key)
        if call is None or not idle:
            return await super()._get(key, traces)
        fit = [entry for entry in idle if self._is_fit(entry[0], call)]
        if not fit:
            return None
        unfit = [entry for entry in idle if entry not in fit]
        # The library uses the first that is still open.
        idle.clear()
        idle.extend(fit)
        try:
            return await super()._get(key, traces)
        finally:
            if unfit:
                self._conns[key].extend(unfit)

    def _is_fit(self, handler: ResponseHandler, call: Call) -> bool:
        record = getattr(handler, "record", None)
        return self._records.may_carry(record, call)

    async def connect(
        self, req: ClientRequest, *args: Any, **options: Any
    ) -> Connection:
        """Return a connection; raise TimeoutError for a silent target."""
        try:
            async with limit_silence(self._connect_timeout):
                connection = await super().connect(req, *args, **options)
        except (aiohttp.ClientConnectorError, TimeoutError):
            self._on_connect(_find_address(req), False)
            raise
        call, handler = current_call(), connection.protocol
        if call is not None and not call.may_send():
            # Nothing was sent on it, so that it can be used again.
            connection.release()
            raise TargetExcludedError("the target takes no work from this host")
        if call is not None and isinstance(handler, _StrictResponseHandler):
            call.assign(handler.bind_record(_find_address(req), self._records))
        return connection

    async def _create_connection(
        self, req: ClientRequest, *args: Any, **options: Any
    ) -> ResponseHandler:
        handler = await super()._create_connection(req, *args, **options)
        self._on_connect(_find_address(req), True)
        return handler


def make_response_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    """Return the reader of the responses on one connection."""
    return _StrictResponseHandler(loop)


async def open_witness(
    connected: socket.socket, address: str, records: ConnectionRecords
) -> Witness:
    """Return a connected socket as a connection to an address that is only watched."""
    loop = asyncio.get_running_loop()
    transport, handler = await loop.create_connection(
        lambda: _StrictResponseHandler(loop), sock=connected
    )
    return Witness(handler.bind_record(address, records), transport)


def make_probed_socket(info: Any) -> socket.socket:
    """Return a socket on which a silent peer causes an error within seconds."""
    family, kind, protocol = info[0], info[1], info[2]
    probed = socket.socket(family=family, type=kind, proto=protocol)
    probed.setblocking(False)
    probed.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    enable_probes(probed)
    return probed


def make_target_socket(info: Any) -> socket.socket:
    """Return a socket to a target, whose short silences cause no error."""
    probed = make_probed_socket(info)
    enable_probes(probed, TARGET_USER_TIMEOUT)
    return probed


def enable_probes(
    connected: socket.socket, user_timeout: timedelta = USER_TIMEOUT
) -> None:
    """Make a silent peer cause an error within seconds."""
    options = {
        socket.TCP_NODELAY: 1,
        socket.TCP_KEEPIDLE: PROBE_IDLE_SECONDS,
        socket.TCP_KEEPINTVL: PROBE_INTERVAL_SECONDS,
        socket.TCP_KEEPCNT: MAX_UNANSWERED_PROBES,
        socket.TCP_USER_TIMEOUT: user_timeout // timedelta(milliseconds=1),
    }
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        connected.setsockopt(socket.IPPROTO_TCP, option, value)


class _DetourConnector(_Connector):
    """Connector whose connections are opened by a function of the target's address."""

    def __init__(
        self,
        open_path: Callable[[str], Awaitable[socket.socket]],
        connect: timedelta,
        records: ConnectionRecords,
    ):
        super().__init__(connect, _ignore_attempt, records, limit=0, force_close=True)
        self._open_path = open_path

    async def _create_connection(
        self, req: ClientRequest, *args: Any, **options: Any
    ) -> ResponseHandler:
        try:
            connected = await self._open_path(_find_address(req))
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        loop = asyncio.get_running_loop()
        _, handler = await loop.create_connection(self._factory, sock=connected)
        return handler


def open_detour_session(
    open_path: Callable[[str], Awaitable[socket.socket]],
    connect: timedelta,
    records: ConnectionRecords | None = None,
) -> aiohttp.ClientSession:
    """Return a session whose connections ``open_path`` opens, one for each request.

    It gets the address of the target and raises OSError if there is none. ``connect``
    is the connect timeout; ``trace_request_ctx`` as in ``open_keepalive_session``.
    """
    connector = _DetourConnector(
        open_path, connect, records or ConnectionRecords(BootClock())
    )
    _set_response_handler(connector)
    traces = [_make_connection_trace()]
    return _open_session(connector, _prevent_resend, trace_configs=traces)


def open_session() -> aiohttp.ClientSession:
    """Return a session that reuses its connections and has no total timeout."""
    return _open_session(make_connector(keepalive_timeout=KEEPALIVE_SECONDS))


def open_single_use_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection per request and never resends."""
    return _open_session(make_connector(force_close=True), _prevent_resend)


def open_keepalive_session(
    *,
    once: bool,
    keep: float = KEEPALIVE_SECONDS,
    connect: timedelta = CONNECT_TIMEOUT,
    make_socket: SocketFactory = make_probed_socket,
    on_connect: OnConnect | None = None,
    records: ConnectionRecords | None = None,
) -> aiohttp.ClientSession:
    """Return a session that never resends a request and detects silent links.

    ``once`` opens a connection per request; otherwise an idle connection stays open
    for ``keep`` seconds. ``connect`` is the connect timeout, ``on_connect`` is called
    with the address of each attempt to connect and whether it succeeded. A function
    given as ``trace_request_ctx`` of a request is called once it has a connection,
    before any of it is written.
    """
    options: dict[str, Any] = {"socket_factory": make_socket}
    # The library accepts only one of these options.
    options |= {"force_close": True} if once else {"keepalive_timeout": keep}
    return _open_session(
        make_connector(connect, on_connect, records, **options),
        _prevent_resend,
        trace_configs=[_make_connection_trace()],
    )


def make_connector(
    connect: timedelta = CONNECT_TIMEOUT,
    on_connect: OnConnect | None = None,
    records: ConnectionRecords | None = None,
    **options: Any,
) -> aiohttp.TCPConnector:
    """Return a connector whose connections read each response for one request.

    ``connect`` is the connect timeout, ``on_connect`` gets the address of each attempt
    to connect and whether it succeeded.
    """
    on_connect = on_connect or _ignore_attempt
    records = records or ConnectionRecords(BootClock())
    connector = _Connector(connect, on_connect, records, limit=0, **options)
    _set_response_handler(connector)
    return connector


def _set_response_handler(connector: aiohttp.TCPConnector) -> None:
    # The library has no public setting for this; its version is pinned.
    factory: Any = functools.partial(make_response_handler, asyncio.get_running_loop())
    connector._factory = factory


def _open_session(
    connector: aiohttp.TCPConnector,
    *middlewares: ClientMiddlewareType,
    trace_configs: list[aiohttp.TraceConfig] | None = None,
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        # The connector limits the attempts to connect.
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
        headers={"Accept-Encoding": "identity"},
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        read_bufsize=READER_BUFFER_BYTES,
        middlewares=middlewares,
        trace_configs=trace_configs,
    )


def _ignore_attempt(address: str, is_connected: bool) -> None:
    return


def _find_via(transport: asyncio.BaseTransport | None, address: str) -> str:
    """Return the peer of a connection that does not lead straight to an address."""
    peer = None if transport is None else transport.get_extra_info("peername")
    name = "" if peer is None else f"{peer[0]}:{peer[1]}"
    return "" if name == address else name


def _find_address(request: ClientRequest) -> str:
    return f"{request.url.host}:{request.url.port}"


def _make_connection_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_report_connection)
    trace.on_connection_reuseconn.append(_report_connection)
    return trace


async def _report_connection(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    on_connection: Callable[[], None] | None = context.trace_request_ctx
    if on_connection is not None:
        on_connection()


async def _prevent_resend(
    request: aiohttp.ClientRequest, send: ClientHandlerType
) -> aiohttp.ClientResponse:
    # The client library resends a PUT, DELETE or GET on these two errors; another
    # exception class prevents that.
    try:
        return await send(request)
    except NOT_SENT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostConnectionError(f"{type(error).__name__}: {error}") from error


def find_length(response: aiohttp.ClientResponse) -> int | None:
    """Return the number of bytes that a response announces, None if it names none.

    The response to a HEAD has none of the bytes that it announces.
    """
    return None if response.method == "HEAD" else response.content_length


def make_silence_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Return the timeouts of a request whose response may not be silent for longer."""
    return aiohttp.ClientTimeout(total=None, sock_connect=None, sock_read=seconds)


@asynccontextmanager
async def limit_response(seconds: float) -> AsyncIterator[Callable[[], None]]:
    """Raise TimeoutError unless a response begins in time and then ends in time.

    The context yields a function to be called as the response begins; its transfer may
    take ``MAX_TRANSFER_TIME`` from then on.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds) as timeout:
        yield lambda: timeout.reschedule(
            loop.time() + MAX_TRANSFER_TIME.total_seconds()
        )


async def read_body(
    response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES
) -> bytes:
    """Return a whole body; raise LostConnectionError for one over ``limit`` bytes.

    Load pattern: a faulty peer that sends bytes without end.
    """
    if (find_length(response) or 0) > limit:
        response.close()
        raise LostConnectionError(f"the body is over {limit} bytes")
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            response.close()
            raise LostConnectionError(f"the body is over {limit} bytes")
    return bytes(body)


def classify_error(error: Exception) -> Verdict:
    """Return the verdict on a client error: whether the request may have run."""
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, NOT_SENT_ERRORS):
        return Verdict(Run.NOT_RUN, Reason.TARGET_UNREACHABLE, detail)
    if isinstance(error, TargetExcludedError):
        return Verdict(Run.NOT_RUN, Reason.TARGET_EXCLUDED, detail)
    if isinstance(error, TimeoutError):
        return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE, detail)
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def classify_response(status: int, headers: Mapping[str, str]) -> Verdict:
    """Return the verdict on an error response: whether the request may have run."""
    detail = f"the target answered {status}"
    reason = _CLIENT_ERROR_REASONS.get(status)
    if headers.get(NOT_RUN_HEADER, "").lower() == NOT_RUN_VALUE:
        return Verdict(Run.NOT_RUN, reason or Reason.TARGET_REFUSED, detail)
    return Verdict(Run.MAY_HAVE_RUN, reason or Reason.TARGET_FAILED, detail)
