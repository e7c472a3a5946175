"""Call a daemon's operators' port or the platform's object API."""

import asyncio
import re
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import aiohttp
import orjson
from result import Err, Ok, Result

from galenapass.targets.answer_ends import is_delimited, is_whole_json
from galenapass.tool.options import Connection
from galenapass.tool.output import Exit, Failure
from galenapass.verdicts import Run

__all__ = [
    "Response",
    "call",
    "describe_error",
    "describe_refusal",
    "fetch",
    "read_problem",
]

CONNECT_TIMEOUT_SECONDS = 5.0

_ETAG = re.compile(r'"?([0-9]+)"?')
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclass(slots=True, frozen=True)
class Response:
    """HTTP response; the version is that of its ETag, 0 without one."""

    status: int
    version: int
    body: bytes
    retry_after: str = ""

    @property
    def text(self) -> str:
        """Return the body as text, with invalid bytes replaced."""
        return self.body.decode("utf-8", "replace")


def fetch(connection: Connection, path: str) -> Result[Any, Failure]:
    """Return the JSON document at a path."""
    response = asyncio.run(call(connection, "GET", path))
    if isinstance(response, Err):
        return response
    if response.ok_value.status != 200:
        return Err(describe_refusal(connection.name, response.ok_value))
    try:
        return Ok(orjson.loads(response.ok_value.body))
    except ValueError:
        return Err(Failure(Exit.FAILED, f"{connection.name} gave no JSON at {path}"))


async def call(
    connection: Connection,
    method: str,
    path: str,
    headers: Mapping[str, str] = MappingProxyType({}),
    body: str | None = None,
) -> Result[Response, Failure]:
    """Send one HTTP request; an error status is a response, not a failure."""
    token = {"Authorization": f"Bearer {connection.token}"} if connection.token else {}
    try:
        async with (
            aiohttp.ClientSession(timeout=_make_timeout(connection)) as session,
            session.request(
                method,
                f"http://{connection.address}{path}",
                headers=token | dict(headers),
                data=None if body is None else body.encode(),
            ) as response,
        ):
            answer = await _read_response(response)
            is_whole = is_delimited(response) or is_whole_json(answer.body)
            if method == "GET" and response.status == 200 and not is_whole:
                message = f"{connection.name} ended the answer before it was whole"
                return Err(Failure(Exit.FAILED, message, Run.MAY_HAVE_RUN))
            return Ok(answer)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return Err(describe_error(connection.name, error))


def describe_error(name: str, error: Exception) -> Failure:
    """Return the failure for a connection without a complete response."""
    if isinstance(error, _NOT_SENT):
        return Failure(Exit.UNREACHABLE, f"cannot reach {name}")
    if isinstance(error, TimeoutError):
        message = f"{name} gave no answer in time"
    else:
        message = f"the connection to {name} broke off"
    return Failure(Exit.UNREACHABLE, message, Run.MAY_HAVE_RUN)


def describe_refusal(name: str, response: Response) -> Failure:
    """Return the failure for a response with an error status."""
    problem = read_problem(response.body)
    detail = problem.get("detail") or f"status {response.status}"
    run = _read_run(problem.get("verdict"))
    message = f"{name} refused: {detail} ({run.value})"
    if response.retry_after:
        message += f"; come back in {response.retry_after} s"
    return Failure(Exit.FAILED, message, run, retry_after=response.retry_after)


def read_problem(body: bytes) -> dict[str, Any]:
    """Return the problem document of a body, empty if it is none."""
    try:
        problem = orjson.loads(body)
    except ValueError:
        return {}
    return problem if isinstance(problem, dict) else {}


def _read_run(verdict: Any) -> Run:
    runs = {run.value: run for run in Run}
    return runs.get(verdict, Run.MAY_HAVE_RUN)


def _make_timeout(connection: Connection) -> aiohttp.ClientTimeout:
    total = connection.timeout.total_seconds()
    return aiohttp.ClientTimeout(
        total=total, sock_connect=min(total, CONNECT_TIMEOUT_SECONDS)
    )


async def _read_response(response: aiohttp.ClientResponse) -> Response:
    etag = _ETAG.fullmatch(response.headers.get("ETag", ""))
    return Response(
        response.status,
        int(etag[1]) if etag else 0,
        await response.read(),
        response.headers.get("Retry-After", ""),
    )
