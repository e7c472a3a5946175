"""Speak to model engines: streams, hand-overs, load, state and orders."""

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
from galenapass.targets.connections import (
    classify_error,
    classify_response,
    open_session,
)
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "EngineClient",
    "EngineState",
    "Order",
    "OrderAnswer",
    "OrderOutcome",
]

CONTROL_SECONDS = 2.0
READ_BUFFER_BYTES = 64 * 1024

# What a client call can raise; anything else is a fault of this program.
CLIENT_ERRORS = (aiohttp.ClientError, OSError)

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Order:
    """Hold one order to an engine; action is role, model, adapter or version."""

    id: str
    fence: int
    action: str
    value: str


class OrderOutcome(Enum):
    """Name what an engine did with an order."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale fence"
    BUSY = "busy"


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """Hold an engine's answer; fence is the one it holds, when it told."""

    outcome: OrderOutcome
    fence: int | None = None


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold an engine's current state; the order is the last one accepted."""

    incarnation: str
    role: str
    model: str
    adapters: tuple[str, ...]
    phase: str
    order_id: str | None
    order_fence: int | None
    running: int


class EngineClient:
    """Hold the connections to engines; one object serves the whole daemon."""

    __slots__ = ("_session",)

    def __init__(self) -> None:
        self._session = open_session()

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def open_stream(
        self, route: Route, path: str, body: bytes, request: Request, resume_after: int
    ) -> Result[aiohttp.ClientResponse, Verdict]:
        """Send a request and return its open stream, or why there is none.

        A route with a prefill target runs the prompt there first.
        """
        headers = _name_request(request)
        if resume_after:
            headers["Last-Event-ID"] = str(resume_after)
        if route.prefill_address is None:
            return await self._post(route.address, path, body, headers)
        source = await self._prefill(route.prefill_address, path, body, request)
        if isinstance(source, Err):
            return source
        headers["X-KV-Source"] = source.ok_value
        opened = await self._post(route.address, path, body, headers)
        return opened.map_err(_count_prefill)

    async def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a request; an engine that is away needs none."""
        url = f"http://{address}/v1/requests/{request_id}"
        try:
            async with self._session.delete(url, timeout=_control_timeout()):
                pass
        except CLIENT_ERRORS:
            return

    async def fetch_load(self, address: str) -> Result[LoadReport, Verdict]:
        """Return an engine's own report of its load."""
        return await self._fetch(f"http://{address}/load", _read_load)

    async def fetch_state(self, address: str) -> Result[EngineState, Verdict]:
        """Return an engine's current state."""
        return await self._fetch(f"http://{address}/state", _read_state)

    async def send_order(
        self, address: str, order: Order
    ) -> Result[OrderAnswer, Verdict]:
        """Send an order; a verdict other than not run leaves its effect unknown."""
        body = orjson.dumps(
            {
                "id": order.id,
                "fence": order.fence,
                "action": order.action,
                "value": order.value,
            }
        )
        try:
            async with self._session.post(
                f"http://{address}/orders",
                data=body,
                headers={"Content-Type": "application/json"},
                timeout=_control_timeout(),
            ) as answer:
                if answer.status not in (202, 409):
                    return Err(classify_response(answer.status, answer.headers))
                return _read_order_answer(answer.status, await answer.read())
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))

    async def _prefill(
        self, address: str, path: str, body: bytes, request: Request
    ) -> Result[str, Verdict]:
        headers = _name_request(request)
        headers["X-Phase"] = "prefill"
        posted = await self._post(address, path, body, headers)
        if isinstance(posted, Err):
            return posted
        try:
            async with posted.ok_value as answer:
                handle = orjson.loads(await answer.read())["handle"]
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))
        except (ValueError, KeyError, TypeError) as error:
            return Err(_judge_content(error))
        return Ok(f"http://{address}/kv/{handle}")

    async def _post(
        self, address: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Result[aiohttp.ClientResponse, Verdict]:
        try:
            answer = await self._session.post(
                f"http://{address}{path}",
                data=body,
                headers=headers,
                read_bufsize=READ_BUFFER_BYTES,
            )
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))
        if answer.status == 200:
            return Ok(answer)
        answer.close()
        return Err(classify_response(answer.status, answer.headers))

    async def _fetch(self, url: str, read: Callable[[Any], T]) -> Result[T, Verdict]:
        try:
            async with self._session.get(url, timeout=_control_timeout()) as answer:
                if answer.status != 200:
                    return Err(classify_response(answer.status, answer.headers))
                return Ok(read(orjson.loads(await answer.read())))
        except CLIENT_ERRORS as error:
            return Err(classify_error(error))
        except (ValueError, KeyError, TypeError) as error:
            return Err(_judge_content(error))


def _control_timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=CONTROL_SECONDS)


def _name_request(request: Request) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "X-Request-Id": request.id,
        "X-Priority": str(int(request.urgency)),
    }


def _count_prefill(verdict: Verdict) -> Verdict:
    # The prompt was run, even when the decoding target refused.
    return replace(verdict, run=Run.MAY_HAVE_RUN)


def _judge_content(error: Exception) -> Verdict:
    detail = f"unreadable answer: {type(error).__name__}: {error}"
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def _read_load(value: dict[str, Any]) -> LoadReport:
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


def _read_state(value: dict[str, Any]) -> EngineState:
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


def _read_order_answer(status: int, body: bytes) -> Result[OrderAnswer, Verdict]:
    if status == 202:
        return Ok(OrderAnswer(OrderOutcome.ACCEPTED))
    try:
        value = orjson.loads(body)
        return Ok(OrderAnswer(OrderOutcome(value["reason"]), value.get("fence")))
    except (ValueError, KeyError, TypeError) as error:
        return Err(_judge_content(error))
