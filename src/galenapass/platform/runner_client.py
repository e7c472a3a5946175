"""Send requests, prefills and orders to runners over HTTP."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import aiohttp
import orjson
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from galenapass.forwarding.requests import Part
from galenapass.forwarding.target_messages import (
    ClientRequest,
    EngineState,
    OrderOutcome,
    TargetNotice,
    TargetResponse,
)
from galenapass.platform.headers import (
    ATTEMPT,
    RETRY_AFTER,
    SIGNATURE,
    SendOptions,
    decode_notice,
    encode_send,
    is_not_run,
    keep_answer_headers,
    read_seconds,
)
from galenapass.platform.runners import ROLE_WORDS, ROLES_BY_WORD
from galenapass.tables.targets import Role, Target
from galenapass.targets.connections import (
    classify_error,
    open_keepalive_session,
    read_body,
)
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["RunnerClient"]

# Domains are a few milliseconds apart; a runner that takes longer is gone or full,
# and a lost opening packet is sent again only after a second.
CONNECT_SECONDS = 0.25
# Runners close idle connections; one that is used again soon is still open.
KEEP_SECONDS = 4.0
# An order is answered at once; the change itself takes seconds.
ORDER_SECONDS = 1.5
REPORT_SECONDS = 1.0
# A client that left costs nothing more than this to clean up after.
DROP_SECONDS = 1.0
READ_CHUNK = 65_536

_SKIPPED = ("User-Agent", "Content-Type", "Accept", "Accept-Encoding")
_ORDER_OUTCOMES = {
    200: OrderOutcome.ALREADY_HELD,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.MISDIRECTED,
}
_UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)


class RunnerClient:
    """Hold the client sessions: one that keeps connections, one that does not.

    A request that may run only once goes out on a new connection, as a kept one
    may be closed by the runner just then. ``on_notice`` hears what every answer
    says of its target.
    """

    __slots__ = ("_kept", "_on_notice", "_once")

    def __init__(
        self,
        on_notice: Callable[[Target, TargetNotice], None] = lambda target, notice: None,
    ) -> None:
        self._on_notice = on_notice
        self._kept = open_keepalive_session(
            once=False, keep=KEEP_SECONDS, connect=CONNECT_SECONDS
        )
        self._once = open_keepalive_session(once=True, connect=CONNECT_SECONDS)

    async def close(self) -> None:
        """Close every connection."""
        await self._kept.close()
        await self._once.close()

    async def prefill(
        self,
        target: Target,
        message: ClientRequest,
        left: timedelta,
        priority: int,
        cache_source: str | None,
    ) -> Result[str, Verdict]:
        """Have a prompt read; return where its memory is.

        A failed prefill never ran the request.
        """
        options = SendOptions(
            target.id,
            left,
            priority,
            prefill=True,
            cache_source=cache_source,
        )
        try:
            async with self._kept.request(
                message.method,
                _url(target.address, message.target),
                headers=CIMultiDict(
                    encode_send(message.headers, message.host, options)
                ),
                data=message.body or None,
                skip_auto_headers=_SKIPPED,
                timeout=_limit(left.total_seconds()),
            ) as response:
                self._note(target, response)
                body = await read_body(response)
                refusal = _judge_identity(response, message)
                if refusal is None and response.status != 200:
                    refusal = _refuse(response)
                if refusal is not None:
                    return Err(replace(refusal, run=Run.NOT_RUN))
                handle = orjson.loads(body)["kv_handle"]
                return Ok(f"{target.address}/{handle}")
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            failure = classify_error(error)
            return Err(Verdict(Run.NOT_RUN, failure.reason, failure.detail))
        except _UNREADABLE as error:
            return Err(Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, repr(error)))

    @asynccontextmanager
    async def run(
        self,
        target: Target,
        message: ClientRequest,
        left: timedelta,
        *,
        priority: int | None,
        source: str | None,
        last_event: int | None,
        once: bool,
    ) -> AsyncIterator[Result[TargetResponse, Verdict]]:
        """Send a request and give its answer while its body is still to be read."""
        options = SendOptions(
            target.id, left, priority, source=source, last_event=last_event
        )
        session = self._once if once else self._kept
        try:
            response = await session.request(
                message.method,
                _url(target.address, message.target),
                headers=CIMultiDict(
                    encode_send(message.headers, message.host, options)
                ),
                data=message.body or None,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
                timeout=_limit(None),
            )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            yield Err(classify_error(error))
            return
        self._note(target, response)
        try:
            refusal = _judge_identity(response, message)
            if refusal is None and is_not_run(response.status, response.headers):
                refusal = _refuse(response)
            yield Err(refusal) if refusal else Ok(_make_answer(response))
        finally:
            # An answer may come before a long request was read whole; what the
            # target reads next on that connection would be the rest of it.
            if response.status == 200 and response.content.is_eof():
                response.release()
            else:
                response.close()

    async def release_kv_cache(self, source: str) -> None:
        """Free the memory of a prompt whose request will not run."""
        address, _, handle = source.rpartition("/")
        url = f"http://{address}/kv-handle/{handle}"
        try:
            async with self._kept.delete(url, timeout=_limit(DROP_SECONDS)):
                pass
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The runner frees it by itself after a few seconds.
            return

    async def fetch_state(self, target: Target) -> Result[EngineState, Verdict]:
        """Return what an engine says of itself, some hundred milliseconds old."""
        url = f"http://{target.address}/report"
        try:
            async with self._kept.get(url, timeout=_limit(REPORT_SECONDS)) as response:
                self._note(target, response)
                data = orjson.loads(await read_body(response))
                return Ok(
                    EngineState(
                        # The number of orders accepted since the runner's start; the
                        # field of that name in the store's entry counts heartbeats.
                        orders=int(data["seq"]),
                        changing=bool(data["busy"]),
                        role=ROLES_BY_WORD.get(data["stage"], Role.MIXED),
                        incarnation=str(data.get("born", 0)),
                        waiting=int(data.get("num_waiting", 0)),
                        running=int(data.get("num_running", 0)),
                    )
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(classify_error(error))
        except _UNREADABLE as error:
            return Err(Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, repr(error)))

    async def fetch_kept(self, target: Target) -> Result[tuple[Part, ...], Verdict]:
        """Return the prompt parts that an engine keeps; the call delays its work."""
        url = f"http://{target.address}/kv-list"
        try:
            async with self._kept.get(url, timeout=_limit(REPORT_SECONDS)) as response:
                self._note(target, response)
                data = orjson.loads(await read_body(response))
                # Each row has an empty text, the part, its tokens and the model.
                return Ok(tuple(Part(str(r[1]), int(r[2])) for r in data["held"]))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Err(classify_error(error))
        except (*_UNREADABLE, IndexError) as error:
            return Err(Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, repr(error)))

    def _note(self, target: Target, response: aiohttp.ClientResponse) -> None:
        notice = decode_notice(response.status, response.headers)
        if notice.leaving or notice.back_off is not None:
            self._on_notice(target, notice)

    async def order_role(
        self, target: Target, role: Role, holder: str, fence: int, orders: int
    ) -> OrderOutcome:
        """Order a change of role on condition of the orders accepted so far."""
        body = {
            "opcode": "stage",
            "stage": ROLE_WORDS[role],
            "holder": holder,
            "fencing_token": fence,
            "expected": orders,
        }
        headers = {
            "Content-Type": "application/json",
            "X-Galenapass-Expect-Instance": target.id,
        }
        try:
            async with self._once.post(
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


def _url(address: str, target: str) -> URL:
    return URL(f"http://{address}{target}", encoded=True)


def _limit(seconds: float | None) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)


def _judge_identity(
    response: aiohttp.ClientResponse, message: ClientRequest
) -> Verdict | None:
    """Return a verdict when an answer belongs to another request."""
    told = response.headers.get(ATTEMPT)
    if told is None or told == message.attempt:
        return None
    response.close()
    detail = f"the answer names request {told}"
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def _refuse(response: aiohttp.ClientResponse) -> Verdict:
    run = Run.MAY_HAVE_RUN
    if is_not_run(response.status, response.headers):
        run = Run.NOT_RUN
    after = read_seconds(response.headers.get(RETRY_AFTER))
    detail = f"the target answered {response.status}"
    return Verdict(run, Reason.TARGET_REFUSED, detail, after)


def _make_answer(response: aiohttp.ClientResponse) -> TargetResponse:
    return TargetResponse(
        status=response.status,
        headers=keep_answer_headers(response.headers.items()),
        signed=SIGNATURE in response.headers,
        chunks=_read_chunks(response),
    )


async def _read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Give the body; raise when the connection broke before the body's end."""
    framed = (
        response.content_length is not None
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )
    connection = response.connection
    # The library takes a reset for the end of a body that has no length.
    closed = None
    if not framed and connection is not None and connection.protocol is not None:
        closed = connection.protocol.closed
    async for chunk in response.content.iter_any():
        yield chunk
    if closed is not None and closed.done():
        closed.result()
