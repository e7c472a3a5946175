"""Communicate with model engines: streams, prefill, load, state and orders."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, TypeVar

import aiohttp
import orjson
from result import Err, Ok, Result

from galenapass.dispatch import Route
from galenapass.tables.requests import Request
from galenapass.tables.targets import LoadReport
from galenapass.targets.answer_ends import make_abort
from galenapass.targets.connections import (
    classify_error,
    classify_response,
    open_session,
    open_single_use_session,
    read_body,
)
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "EngineClient",
    "EngineState",
    "Order",
    "OrderAnswer",
    "OrderOutcome",
]

CONTROL_TIMEOUT_SECONDS = 2.0
READ_BUFFER_BYTES = 64 * 1024
# Largest response of an engine that is no stream.
MAX_RESPONSE_BYTES = 64 * 1024

# Errors that a client call can raise; any other exception is a bug in this program.
CLIENT_ERRORS = (aiohttp.ClientError, OSError)

_REQUEST_ID = "X-Request-Id"

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Order:
    """One order to an engine; ``action`` is role, model, adapter or version."""

    id: str
    fence: int
    action: str
    value: str


class OrderOutcome(Enum):
    """Result of an order at an engine."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale fence"
    BUSY = "busy"


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """Response to an order; ``fence`` is the engine's current one, if reported."""

    outcome: OrderOutcome
    fence: int | None = None


@dataclass(slots=True, frozen=True)
class EngineState:
    """Current state of an engine; order fields describe the last accepted order."""

    incarnation: str
    role: str
    model: str
    adapters: tuple[str, ...]
    phase: str
    order_id: str | None
    order_fence: int | None
    running: int


class EngineClient:
    """Client for all engines; one instance serves the whole daemon.

    A second answer to a former request may come late, where the next one is expected.
    Requests use a connection again only at an engine that names them in its answers;
    at another one each has a connection of its own, and so has each order.
    """

    __slots__ = ("_naming", "_session", "_single_use_session")

    def __init__(self) -> None:
        self._session = open_session()
        self._single_use_session = open_single_use_session()
        # Addresses of engines whose last answer named its request.
        self._naming: set[str] = set()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()
        await self._single_use_session.close()

    async def open_stream(
        self, route: Route, path: str, body: bytes, request: Request, resume_after: int
    ) -> Result[aiohttp.ClientResponse, Verdict]:
        """Send a request and return its open stream, or the verdict on its failure.

        A route with a prefill target prefills the prompt there first.
        """
        headers = _make_request_headers(request)
        if resume_after:
            headers["Last-Event-ID"] = str(resume_after)
        if route.prefill_address is None:
            return await self._post(route.address, path, body, headers)
        source = await self._prefill(route.prefill_address, path, body, request)
        if isinstance(source, Err):
            return source
        headers["X-KV-Source"] = source.ok_value
        opened = await self._post(route.address, path, body, headers)
        return opened.map_err(_mark_may_have_run)

    async def cancel(self, address: str, request_id: str) -> None:
        """Cancel a request at an engine; ignore an engine that is unreachable."""
        url = f"http://{address}/v1/requests/{request_id}"
        try:
            async with self._session.delete(url, timeout=_make_control_timeout()):
                pass
        except CLIENT_ERRORS:
            return

    async def fetch_load(self, address: str) -> Result[LoadReport, Verdict]:
        """Return the load that an engine reports."""
        return await self._fetch(f"http://{address}/load", _parse_load)

    async def fetch_state(self, address: str) -> Result[EngineState, Verdict]:
        """Return an engine's current state."""
        return await self._fetch(f"http://{address}/state", _parse_state)

    async def send_order(
        self, address: str, order: Order
    ) -> Result[OrderAnswer, Verdict]:
        """Send an order; its effect is unknown after any verdict but "not run"."""
        body = orjson.dumps(
            {
                "id": order.id,
                "fence": order.fence,
                "action": order.action,
                "value": order.value,
            }
        )
        try:
            async with self._single_use_session.post(
                f"http://{address}/orders",
                data=body,
                headers={"Content-Type": "application/json"},
                timeout=_make_control_timeout(),
            ) as response:
                if response.status not in (202, 409):
                    return Err(classify_response(response.status, response.headers))
                answer = await read_body(response, MAX_RESPONSE_BYTES)
                return _parse_order_answer(response.status, answer)
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))

    async def _prefill(
        self, address: str, path: str, body: bytes, request: Request
    ) -> Result[str, Verdict]:
        headers = _make_request_headers(request)
        headers["X-Phase"] = "prefill"
        posted = await self._post(address, path, body, headers)
        if isinstance(posted, Err):
            return posted
        try:
            async with posted.ok_value as response:
                answer = await read_body(response, MAX_RESPONSE_BYTES)
                handle = orjson.loads(answer)["handle"]
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))
        except (ValueError, KeyError, TypeError) as error:
            return Err(_classify_content_error(error))
        return Ok(f"http://{address}/kv/{handle}")

    async def _post(
        self, address: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Result[aiohttp.ClientResponse, Verdict]:
        is_naming = address in self._naming
        session = self._session if is_naming else self._single_use_session
        try:
            response = await session.post(
                f"http://{address}{path}",
                data=body,
                headers=headers,
                read_bufsize=READ_BUFFER_BYTES,
            )
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))
        named = response.headers.get(_REQUEST_ID)
        if named is None:
            self._naming.discard(address)
        if named != headers[_REQUEST_ID] and (is_naming or named is not None):
            make_abort(response)()
            response.close()
            return Err(_FOREIGN)
        if named is not None:
            self._naming.add(address)
        if response.status == 200:
            return Ok(response)
        response.close()
        return Err(classify_response(response.status, response.headers))

    async def _fetch(self, url: str, parse: Callable[[Any], T]) -> Result[T, Verdict]:
        try:
            async with self._session.get(
                url, timeout=_make_control_timeout()
            ) as response:
                if response.status != 200:
                    return Err(classify_response(response.status, response.headers))
                answer = await read_body(response, MAX_RESPONSE_BYTES)
                try:
                    return Ok(parse(orjson.loads(answer)))
                except (ValueError, KeyError, TypeError) as error:
                    # It may be the answer to another call.
                    make_abort(response)()
                    return Err(_classify_content_error(error))
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))


def _make_control_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)


def _make_request_headers(request: Request) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        _REQUEST_ID: request.id,
        "X-Priority": str(int(request.urgency)),
    }


_FOREIGN = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.TARGET_FAILED,
    "the answer is not known to be the request's",
)


def _mark_may_have_run(verdict: Verdict) -> Verdict:
    # The prompt was prefilled, even when the decode target refused the request.
    return replace(verdict, run=Run.MAY_HAVE_RUN)


def _classify_content_error(error: Exception) -> Verdict:
    detail = f"unreadable answer: {type(error).__name__}: {error}"
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def _parse_load(value: dict[str, Any]) -> LoadReport:
    return LoadReport(
        incarnation=str(value["incarnation"]),
        sequence=int(value["sequence"]),
        running=int(value["running"]),
        waiting=int(value["waiting"]),
        prefill_queued=int(value["prefill_queued"]),
        pieces_used=int(value["pieces_used"]),
        pieces_total=int(value["pieces_total"]),
        piece_tokens=int(value["piece_tokens"]),
    )


def _parse_state(value: dict[str, Any]) -> EngineState:
    order = value.get("order") or {}
    return EngineState(
        incarnation=str(value["incarnation"]),
        role=str(value["role"]),
        model=str(value["model"]),
        adapters=tuple(value.get("adapters", ())),
        phase=str(value["phase"]),
        order_id=order.get("id"),
        order_fence=order.get("fence"),
        running=int(value.get("running", 0)),
    )


def _parse_order_answer(status: int, body: bytes) -> Result[OrderAnswer, Verdict]:
    if status == 202:
        return Ok(OrderAnswer(OrderOutcome.ACCEPTED))
    try:
        value = orjson.loads(body)
        return Ok(OrderAnswer(OrderOutcome(value["reason"]), value.get("fence")))
    except (ValueError, KeyError, TypeError) as error:
        return Err(_classify_content_error(error))
