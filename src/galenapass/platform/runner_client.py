"""Send requests, prefills and role orders to runners over HTTP."""

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from enum import Enum
from typing import Any

import aiohttp
import orjson
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from galenapass.clocks import Clock
from galenapass.forwarding.requests import Part
from galenapass.forwarding.target_messages import (
    ClientRequest,
    EngineState,
    Framing,
    OrderOutcome,
    ResponseIdentity,
    TargetNotice,
    TargetResponse,
)
from galenapass.forwarding.target_paths import TargetPaths
from galenapass.forwarding.tunnels import connect_target
from galenapass.json_values import (
    DECODE_ERRORS,
    describe_error,
    read_identifier,
    read_integer,
)
from galenapass.logs import make_log
from galenapass.platform.embedded_responses import EmbeddedResponses
from galenapass.platform.headers import (
    ATTEMPT_ID,
    RETRY_AFTER,
    SIGNATURE,
    SendOptions,
    decode_notice,
    encode_headers,
    filter_response_headers,
    is_not_run,
    parse_seconds,
)
from galenapass.platform.runners import ROLE_NAMES, ROLES_BY_NAME
from galenapass.tables.targets import Role, Target
from galenapass.targets.connection_records import Call, ConnectionRecords, bind_call
from galenapass.targets.connections import (
    NOT_SENT_ERRORS,
    SocketFactory,
    classify_error,
    find_length,
    make_target_socket,
    open_detour_session,
    open_keepalive_session,
    open_witness,
    read_body,
)
from galenapass.targets.end_proofs import EndProof, Witness
from galenapass.targets.transit_limits import TransitLimits
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["RunnerClient"]

# Latency between domains is a few milliseconds: a runner that takes longer is gone or
# overloaded, and a lost SYN is retransmitted only after a second.
CONNECT_TIMEOUT = timedelta(milliseconds=250)
# For some hosts to be asked, one after the other.
DETOUR_TIMEOUT = timedelta(seconds=1.5)
# Runners close idle connections, and a cut that began meanwhile shows on none: what is
# sent there arrives after it. An attempt to connect fails instead.
KEEPALIVE_SECONDS = 1.5
# A runner confirms an order at once; the role change itself takes seconds.
ORDER_SECONDS = 1.5
REPORT_SECONDS = 1.0
# From the end of a body with a second response in it to the bytes that this displaced.
REST_TIME = timedelta(milliseconds=100)
# Bounds the cleanup after a client that disconnected.
RELEASE_SECONDS = 1.0
# Sizes of the responses that are for this daemon.
MAX_HANDLE_BYTES = 64 * 2**10
MAX_REPORT_BYTES = 64 * 2**10
MAX_PARTS_BYTES = 2**20

_log = make_log("forwarding")
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Content-Type", "Accept", "Accept-Encoding")
_ORDER_OUTCOMES = {
    200: OrderOutcome.ALREADY_HELD,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.MISDIRECTED,
}


# Statuses of responses without a body.
_BODYLESS_STATUSES = frozenset({204, 304})

OpenDetour = Callable[[str, str], Awaitable[socket.socket]]


class CallKind(Enum):
    """Kind of a call for a client's request, for which a target may name attempts."""

    RUN = "run"
    PREFILL = "prefill"

    @property
    def may_be_unnamed(self) -> bool:
        """Return whether a sound response of this kind may name no attempt."""
        return self is CallKind.PREFILL


class UnprovedResponseError(aiohttp.ClientError):
    """A response that may be one to another request."""


async def _open_no_detour(address: str, via: str) -> socket.socket:
    raise ConnectionError(f"no host is known that reaches {address}")


class RunnerClient:
    """Client sessions to runners, with and without reuse of connections.

    A request that may run only once uses a new connection, as the runner may close a
    reused one at that moment. ``on_notice`` receives what a target's response says of
    the target. ``paths`` tells which targets this host does not reach; ``open_detour``
    opens a connection to the address of one through another host, that at a second
    address if it is not empty. ``records`` are those of all connections.
    ``hides_callers`` returns whether no target may get a client's key by now,
    ``may_send`` whether a target may get a request now, ``has_left`` whether it never
    may again.
    """

    __slots__ = (
        "_clock",
        "_detours",
        "_hides_callers",
        "_make_socket",
        "_may_send",
        "_on_notice",
        "_open_detour",
        "_paths",
        "_pool",
        "_records",
        "_transit_limits",
        "_unpooled",
    )

    def __init__(
        self,
        clock: Clock,
        on_notice: Callable[[Target, TargetNotice], None] = lambda target, notice: None,
        paths: TargetPaths | None = None,
        open_detour: OpenDetour = _open_no_detour,
        make_socket: SocketFactory = make_target_socket,
        records: ConnectionRecords | None = None,
        hides_callers: Callable[[], bool] = lambda: False,
        may_send: Callable[[Target], bool] = lambda target: True,
        has_left: Callable[[Target], bool] = lambda target: False,
    ) -> None:
        self._clock = clock
        self._transit_limits = TransitLimits(clock, has_left)
        self._may_send = may_send
        self._hides_callers = hides_callers
        self._on_notice = on_notice
        self._paths = paths
        self._open_detour = open_detour
        self._make_socket = make_socket
        self._records = records or ConnectionRecords(clock)
        open_session = functools.partial(
            open_keepalive_session,
            connect=CONNECT_TIMEOUT,
            make_socket=make_socket,
            on_connect=paths.record_attempt if paths is not None else None,
            records=self._records,
        )
        self._pool = open_session(once=False, keep=KEEPALIVE_SECONDS)
        self._unpooled = open_session(once=True)
        self._detours = open_detour_session(
            lambda address: open_detour(address, ""), DETOUR_TIMEOUT, self._records
        )

    async def close(self) -> None:
        """Close every connection."""
        for session in (self._pool, self._unpooled, self._detours):
            await session.close()

    def limit_transits(self) -> None:
        """Limit how long requests may be on their way to targets that have left."""
        self._transit_limits.update()

    async def _request(
        self,
        method: str,
        address: str,
        path: str,
        *,
        call: Call,
        once: bool = False,
        **options: Any,
    ) -> aiohttp.ClientResponse:
        """Send a request to a target, through another host if there is no other way.

        An attempt to connect that fails has sent nothing, so that a request that may
        run once can take the other way after it. ``once`` opens a connection for it
        alone, whose response needs no further proof.
        """
        url = _make_url(address, path)
        # A redirect would send the request to an address that was not chosen.
        options["allow_redirects"] = False
        with bind_call(call):
            if self._paths is None or not self._paths.needs_detour(address):
                session = self._unpooled if once else self._pool
                try:
                    response = await session.request(method, url, **options)
                    return _record_name(response, call)
                except NOT_SENT_ERRORS:
                    if self._paths is None or not self._paths.may_detour(address):
                        raise
            response = await self._detours.request(method, url, **options)
            return _record_name(response, call)

    async def _send(
        self,
        kind: CallKind,
        target: Target,
        message: ClientRequest,
        options: SendOptions,
        call: Call,
        **request_options: Any,
    ) -> aiohttp.ClientResponse:
        """Send a client's request; return the head of the response that is its own.

        Raise UnprovedResponseError for a response that may be another one's. The target
        may have run the request.
        """
        call.may_send = functools.partial(self._may_send, target)
        names = self._records.names_attempts(target.address, kind.value)
        call.needs_new = names is not True if kind.may_be_unnamed else names is False
        # A connection that can't be used again is not kept.
        request_options["once"] = request_options.get("once") or names is False
        sent_at = self._clock.monotonic()
        organisation = message.organisation
        if organisation is None and self._hides_callers():
            organisation = ""
        options = replace(options, organisation=organisation)
        with self._transit_limits.track(target, call):
            response = await self._request(
                message.method,
                target.address,
                message.target,
                call=call,
                headers=CIMultiDict(
                    encode_headers(message.headers, message.host, options)
                ),
                data=message.body or None,
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                **request_options,
            )
        named = response.headers.get(ATTEMPT_ID)
        self._records.record_naming(target.address, kind.value, named is not None)
        connection = call.connection
        assert connection is not None
        if not call.is_answered_by(named):
            response.close()
            if named is not None:
                self._records.record_unrequested(connection, "in another's place")
            raise UnprovedResponseError(
                f"the response is for attempt {named or 'unknown'}"
            )
        self._report_notice(target, response, sent_at, message.attempt)
        return response

    async def prefill(
        self,
        target: Target,
        message: ClientRequest,
        time_left: timedelta,
        priority: int,
        cache_source: str | None,
    ) -> Result[str, Verdict]:
        """Prefill a prompt; return the ADDRESS/HANDLE of its KV cache.

        A failed prefill never ran the request.
        """
        options = SendOptions(
            target.id,
            time_left,
            priority,
            prefill=True,
            cache_source=cache_source,
        )
        call = Call(message.attempt)
        try:
            async with await self._send(
                CallKind.PREFILL,
                target,
                message,
                options,
                call,
                timeout=_limit(time_left.total_seconds()),
            ) as response:
                body = await read_body(response, MAX_HANDLE_BYTES)
                if response.status != 200:
                    return Err(replace(_make_refusal(response), run=Run.NOT_RUN))
                handle = read_identifier(orjson.loads(body)["kv_handle"])
                if ATTEMPT_ID not in response.headers:
                    _log(
                        "prefill is answered without an id",
                        request=message.attempt,
                        target=target.id,
                        handle=handle,
                        exchange=call.exchange,
                    )
                return Ok(f"{target.address}/{handle}")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = classify_error(error)
            return Err(Verdict(Run.NOT_RUN, failure.reason, failure.detail))
        except DECODE_ERRORS as error:
            return Err(
                Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, describe_error(error))
            )

    @asynccontextmanager
    async def run(
        self,
        target: Target,
        message: ClientRequest,
        time_left: timedelta,
        *,
        priority: int | None,
        source: str | None,
        last_event: int | None,
        once: bool,
        on_connection: Callable[[], None] | None = None,
    ) -> AsyncIterator[Result[TargetResponse, Verdict]]:
        """Send a request and yield its response, whose body is still to be read."""
        options = SendOptions(
            target.id, time_left, priority, source=source, last_event=last_event
        )
        call = Call(message.attempt)
        try:
            response = await self._send(
                CallKind.RUN,
                target,
                message,
                options,
                call,
                once=once,
                timeout=_limit(None),
                trace_request_ctx=on_connection,
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            yield Err(classify_error(error))
            return
        is_refused = is_not_run(response.status, response.headers)
        needs_proof = not is_refused and _find_framing(response) is Framing.CLOSE
        proof = self._prove_end(call) if needs_proof else None
        try:
            if is_refused:
                yield Err(_make_refusal(response))
            else:
                yield Ok(_make_response(response, call, proof))
        finally:
            if proof is not None:
                proof.close()
            # A response may arrive before a long request is sent completely; the
            # target would read the rest as the next request on that connection.
            if response.status == 200 and response.content.is_eof():
                response.release()
            else:
                response.close()

    def _prove_end(self, call: Call) -> EndProof:
        """Begin to prove that a response ends where its connection does."""
        connection = call.connection
        assert connection is not None

        async def open_another() -> Witness:
            address, via = connection.address, connection.via
            if via:
                connected = await self._open_detour(address, via)
            else:
                connected = await connect_target(address, self._make_socket)
            return await open_witness(connected, address, self._records)

        return EndProof(connection, open_another)

    async def release_kv_cache(self, source: str) -> None:
        """Free the KV cache of a prompt whose request will not run.

        Nothing follows from the response, so that it may be another one's.
        """
        address, _, handle = source.rpartition("/")
        path, timeout = f"/kv-handle/{handle}", _limit(RELEASE_SECONDS)
        try:
            async with await self._request(
                "DELETE", address, path, call=Call(), timeout=timeout
            ):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The runner frees it on its own after a few seconds.
            return

    async def fetch_state(self, target: Target) -> Result[EngineState, Verdict]:
        """Return an engine's own state, a few hundred milliseconds old."""
        sent_at, timeout = self._clock.monotonic(), _limit(REPORT_SECONDS)
        try:
            async with await self._request(
                "GET",
                target.address,
                "/report",
                call=Call(),
                once=True,
                timeout=timeout,
            ) as response:
                self._report_notice(target, response, sent_at)
                data = orjson.loads(await read_body(response, MAX_REPORT_BYTES))
                return Ok(
                    EngineState(
                        # Number of orders accepted since the runner's start; the
                        # field `seq` of the store's entry counts heartbeats.
                        orders=read_integer(data["seq"]),
                        changing=bool(data["busy"]),
                        role=ROLES_BY_NAME.get(data["stage"], Role.MIXED),
                        incarnation=str(data.get("born", 0)),
                        waiting=read_integer(data.get("num_waiting", 0)),
                        running=read_integer(data.get("num_running", 0)),
                    )
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(classify_error(error))
        except DECODE_ERRORS as error:
            return Err(
                Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, describe_error(error))
            )

    async def fetch_parts(self, target: Target) -> Result[tuple[Part, ...], Verdict]:
        """Return the prompt parts that an engine caches; the call delays its work."""
        sent_at, timeout = self._clock.monotonic(), _limit(REPORT_SECONDS)
        try:
            async with await self._request(
                "GET",
                target.address,
                "/kv-list",
                call=Call(),
                once=True,
                timeout=timeout,
            ) as response:
                self._report_notice(target, response, sent_at)
                data = orjson.loads(await read_body(response, MAX_PARTS_BYTES))
                # Each row has an empty string, part, token count and model.
                rows = data["held"]
                return Ok(
                    tuple(Part(read_identifier(r[1]), read_integer(r[2])) for r in rows)
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(classify_error(error))
        except DECODE_ERRORS as error:
            return Err(
                Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, describe_error(error))
            )

    def _report_notice(
        self,
        target: Target,
        response: aiohttp.ClientResponse,
        sent_at: timedelta,
        attempt: str | None = None,
    ) -> None:
        notice = decode_notice(response.status, response.headers, sent_at, attempt)
        self._on_notice(target, notice)

    async def order_role(
        self, target: Target, role: Role, holder: str, fence: int, orders: int
    ) -> OrderOutcome:
        """Order a role change, provided the engine has accepted ``orders`` so far.

        It never takes another way: an order that another host sends counts as one of a
        second holder.
        """
        body = {
            "opcode": "stage",
            "stage": ROLE_NAMES[role],
            "holder": holder,
            "fencing_token": fence,
            "expected": orders,
        }
        headers = {
            "Content-Type": "application/json",
            "X-Galenapass-Expect-Instance": target.id,
        }
        try:
            async with self._unpooled.post(
                f"http://{target.address}/order",
                data=orjson.dumps(body),
                headers=headers,
                timeout=_limit(ORDER_SECONDS),
            ) as response:
                return _ORDER_OUTCOMES.get(response.status, OrderOutcome.REFUSED)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if classify_error(error).run is Run.NOT_RUN:
                return OrderOutcome.REFUSED
            return OrderOutcome.UNKNOWN


def _make_url(address: str, target: str) -> URL:
    return URL(f"http://{address}{target}", encoded=True)


def _record_name(
    response: aiohttp.ClientResponse, call: Call
) -> aiohttp.ClientResponse:
    if call.connection is not None and ATTEMPT_ID not in response.headers:
        call.connection.has_unnamed = True
    return response


def _limit(seconds: float | None) -> aiohttp.ClientTimeout:
    # The session limits the attempts to connect.
    return aiohttp.ClientTimeout(total=seconds, sock_connect=None)


def _make_refusal(response: aiohttp.ClientResponse) -> Verdict:
    run = Run.MAY_HAVE_RUN
    if is_not_run(response.status, response.headers):
        run = Run.NOT_RUN
    retry_after = parse_seconds(response.headers.get(RETRY_AFTER))
    detail = f"the target answered {response.status}"
    return Verdict(run, Reason.TARGET_REFUSED, detail, retry_after)


def _make_response(
    response: aiohttp.ClientResponse, call: Call, proof: EndProof | None
) -> TargetResponse:
    attempt = response.headers.get(ATTEMPT_ID)
    return TargetResponse(
        status=response.status,
        headers=filter_response_headers(response.headers.items()),
        signed=SIGNATURE in response.headers,
        chunks=_read_chunks(response, call, proof),
        length=find_length(response),
        identity=ResponseIdentity(attempt, call.exchange, _find_framing(response)),
    )


def _find_framing(response: aiohttp.ClientResponse) -> Framing:
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    if response.method == "HEAD" or response.status in _BODYLESS_STATUSES:
        return Framing.LENGTH
    return Framing.CLOSE if response.content_length is None else Framing.LENGTH


async def _read_chunks(
    response: aiohttp.ClientResponse, call: Call, proof: EndProof | None
) -> AsyncIterator[bytes]:
    """Yield the body; raise if the connection broke before its end.

    An empty body needs a length: without one the runner may have stopped before it.
    Without a length or ``proof`` of the end, the runner may have been killed.
    """
    connection = call.connection
    assert connection is not None
    embedded = EmbeddedResponses(connection)
    is_reused = call.exchange > 1
    may_hold_others = is_reused or proof is not None
    is_empty = True
    async for chunk in response.content.iter_any():
        if may_hold_others and embedded.is_in(chunk):
            raise UnprovedResponseError("the body holds another response")
        is_empty = False
        yield chunk
    if is_reused and embedded.may_be_cut():
        # The rest of the body is then on its way.
        await asyncio.sleep(REST_TIME.total_seconds())
    if is_reused and connection.is_garbled:
        raise UnprovedResponseError("the body is followed by no response")
    if proof is None:
        return
    if is_empty:
        raise aiohttp.ClientPayloadError("the connection ended after the head")
    if not await proof.is_given():
        raise aiohttp.ClientPayloadError("the target ended with its response")


def _make_unreadable(error: Exception) -> Verdict:
    return Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, describe_error(error))
