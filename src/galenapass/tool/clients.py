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

from galenapass.tool.options import Connection
from galenapass.tool.output import Exit, Failure
from galenapass.verdicts import Run

__all__ = [
    "Answer",
    "call",
    "describe_error",
    "fetch",
    "judge_refusal",
    "read_problem",
]

CONNECT_TIMEOUT = 5.0
"""Seconds to wait for a connection."""

_ETAG = re.compile(r'"?([0-9]+)"?')
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclass(slots=True, frozen=True)
class Answer:
    """Hold an answer; the version is that of its ETag, 0 without one."""

    status: int
    version: int
    body: bytes
    retry_after: str = ""

    @property
    def text(self) -> str:
        """Return the body as text, broken bytes replaced."""
        return self.body.decode("utf-8", "replace")


def fetch(connection: Connection, path: str) -> Result[Any, Failure]:
    """Return the JSON document at a path."""
    answer = asyncio.run(call(connection, "GET", path))
    if isinstance(answer, Err):
        return answer
    if answer.ok_value.status != 200:
        return Err(judge_refusal(connection.name, answer.ok_value))
    try:
        return Ok(orjson.loads(answer.ok_value.body))
    except ValueError:
        return Err(Failure(Exit.FAILED, f"{connection.name} gave no JSON at {path}"))


async def call(
    connection: Connection,
    method: str,
    path: str,
    headers: Mapping[str, str] = MappingProxyType({}),
    body: str | None = None,
) -> Result[Answer, Failure]:
    """Send one call; an error status is an answer, not a failure."""
    token = {"Authorization": f"Bearer {connection.token}"} if connection.token else {}
    try:
        async with (
            aiohttp.ClientSession(timeout=_limit(connection)) as session,
            session.request(
                method,
                f"http://{connection.address}{path}",
                headers=token | dict(headers),
                data=None if body is None else body.encode(),
            ) as answer,
        ):
            return Ok(await _read_answer(answer))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return Err(describe_error(connection.name, error))


def describe_error(name: str, error: Exception) -> Failure:
    """Return the failure for a connection that gave no whole answer."""
    if isinstance(error, _NOT_SENT):
        return Failure(Exit.UNREACHABLE, f"cannot reach {name}")
    if isinstance(error, TimeoutError):
        sentence = f"{name} gave no answer in time"
    else:
        sentence = f"the connection to {name} broke off"
    return Failure(Exit.UNREACHABLE, sentence, Run.MAY_HAVE_RUN)


def judge_refusal(name: str, answer: Answer) -> Failure:
    """Return the failure that an error status stands for."""
    problem = read_problem(answer.body)
    detail = problem.get("detail") or f"status {answer.status}"
    run = _read_run(problem.get("verdict"))
    sentence = f"{name} refused: {detail} ({run.value})"
    if answer.retry_after:
        sentence += f"; come back in {answer.retry_after} s"
    return Failure(Exit.FAILED, sentence, run, retry_after=answer.retry_after)


def read_problem(body: bytes) -> dict[str, Any]:
    """Return a problem document, empty if the body is none."""
    try:
        problem = orjson.loads(body)
    except ValueError:
        return {}
    return problem if isinstance(problem, dict) else {}


def _read_run(verdict: Any) -> Run:
    runs = {run.value: run for run in Run}
    return runs.get(verdict, Run.MAY_HAVE_RUN)


def _limit(connection: Connection) -> aiohttp.ClientTimeout:
    total = connection.timeout.total_seconds()
    return aiohttp.ClientTimeout(total=total, sock_connect=min(total, CONNECT_TIMEOUT))


async def _read_answer(answer: aiohttp.ClientResponse) -> Answer:
    etag = _ETAG.fullmatch(answer.headers.get("ETag", ""))
    return Answer(
        answer.status,
        int(etag[1]) if etag else 0,
        await answer.read(),
        answer.headers.get("Retry-After", ""),
    )
