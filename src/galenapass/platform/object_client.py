"""Call the platform's object API, host list and watches over HTTP."""

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import orjson
from result import Err, Ok, Result

from galenapass.logs import make_log
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ListedHost,
    ObjectChange,
    ObjectListing,
    StoredObject,
)

__all__ = ["AnswerLost", "Count", "ObjectClient", "wait_before_retry"]

CONNECT_TIMEOUT = timedelta(seconds=1)
CALL_TIMEOUT = timedelta(seconds=2)
# The platform keeps a watch alive with an empty line every 5 s.
WATCH_SILENCE = timedelta(seconds=15)
RETRY_FIRST = timedelta(milliseconds=200)
RETRY_LONGEST = timedelta(seconds=10)
# An object is at most 1 MB; JSON escapes can double it on the wire.
WATCH_LINE_BYTES = 4 * 2**20

Count = Callable[[str], None]
Parsed = TypeVar("Parsed")

_log = make_log("platform")

_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NOT_ANSWERED = (aiohttp.ClientError, OSError, TimeoutError)
_UNREADABLE = (ValueError, KeyError, TypeError)

_CAUSE_OF_STATUS = {
    404: FailureCause.NOT_FOUND,
    412: FailureCause.CONFLICT,
    429: FailureCause.THROTTLED,
}


@dataclass(slots=True, frozen=True)
class _Answer:
    status: int
    headers: Mapping[str, str]
    text: str


class AnswerLost(aiohttp.ClientError):
    """Report a connection that broke after the request may have been sent."""


class ObjectClient:
    """Call the object API in the name of one host.

    Every method returns a failure instead of raising one. ``count`` is told the
    kind of each call as it is sent.
    """

    __slots__ = ("_base", "_chance", "_count", "_headers", "_session", "_timeout")

    def __init__(
        self,
        address: str,
        host: str,
        domain: str,
        count: Count,
        chance: random.Random,
        timeout: timedelta = CALL_TIMEOUT,
        token: str | None = None,
    ):
        self._base = f"http://{address}"
        self._headers = {"X-Host": host, "X-Failure-Domain": domain}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._count = count
        self._chance = chance
        self._timeout = _limit_time(timeout)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections; a later call opens new ones."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return one object."""
        return await self._call(
            "read", "GET", _path(kind, name), lambda got: _read_stored(name, got)
        )

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the version named, or create when None; return the new version."""
        condition = _state_condition(if_version)
        path = _path(kind, name)
        return await self._call("write", "PUT", path, _version, condition, body)

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete the version named."""
        condition = _state_condition(if_version)
        path = _path(kind, name)
        return await self._call("delete", "DELETE", path, lambda _: None, condition)

    async def list(self, kind: str) -> Result[ObjectListing, Failure]:
        """Return every object of a kind."""
        path = f"/objects/{quote(kind, safe='')}"
        return await self._call("list", "GET", path, _read_listing)

    async def list_hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Return the platform's list of live and leaving hosts, which lags."""
        return await self._call("hosts", "GET", "/hosts", _read_hosts)

    async def watch(self, kind: str, after: int = 0) -> AsyncIterator[ObjectChange]:
        """Give each change after a version, for ever, reconnecting as needed."""
        attempt = 0
        while True:
            try:
                async with contextlib.aclosing(self._watch_once(kind, after)) as lines:
                    async for change in lines:
                        attempt = 0
                        after = max(after, change.version)
                        yield change
            except (*_NOT_ANSWERED, *_UNREADABLE) as error:
                _log("watch broke", kind=kind, after=after, error=_describe(error))
            pause = wait_before_retry(attempt, self._chance)
            attempt += 1
            await asyncio.sleep(pause.total_seconds())

    async def _watch_once(
        self, kind: str, after: int
    ) -> AsyncGenerator[ObjectChange, None]:
        self._count("watch")
        silence = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
            sock_read=WATCH_SILENCE.total_seconds(),
        )
        url = f"{self._base}/watch/{quote(kind, safe='')}?after={after}"
        async with self._open().get(url, timeout=silence) as response:
            response.raise_for_status()
            while line := await response.content.readline(
                max_line_length=WATCH_LINE_BYTES
            ):
                if line.strip():
                    yield _read_change(line)

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        parse: "Callable[[_Answer], Parsed]",
        headers: dict[str, str] | None = None,
        body: str | None = None,
    ) -> Result[Parsed, Failure]:
        self._count(call)
        data = None if body is None else body.encode()
        try:
            async with self._open().request(
                method, self._base + path, headers=headers, data=data
            ) as response:
                answer = _Answer(
                    response.status, response.headers, await response.text()
                )
                return Ok(parse(answer)) if answer.status == 200 else _judge(answer)
        except _NOT_SENT as error:
            return Err(Failure(FailureCause.UNAVAILABLE, detail=_describe(error)))
        except (*_NOT_ANSWERED, *_UNREADABLE) as error:
            return Err(Failure(FailureCause.UNKNOWN, detail=_describe(error)))

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                headers=self._headers,
                timeout=self._timeout,
                middlewares=(_never_resend,),
            )
        return self._session


def wait_before_retry(attempt: int, chance: random.Random) -> timedelta:
    """Return a random pause under a bound that doubles with each attempt."""
    bound = min(RETRY_FIRST * 2 ** min(attempt, 10), RETRY_LONGEST)
    return bound * chance.uniform(0.5, 1.0)


async def _never_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp sends a PUT or DELETE again when the connection breaks. The second
    # answer would then be a conflict with our own write, or "could not connect"
    # for a write that took effect.
    try:
        return await handler(request)
    except _NOT_SENT:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise AnswerLost(repr(error)) from error


def _describe(error: Exception) -> str:
    # The repr of some errors holds the request's headers, and so the token.
    return f"{type(error).__name__}: {error}"


def _limit_time(total: timedelta) -> aiohttp.ClientTimeout:
    seconds = total.total_seconds()
    connect = min(CONNECT_TIMEOUT.total_seconds(), seconds)
    return aiohttp.ClientTimeout(total=seconds, sock_connect=connect)


def _path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _state_condition(if_version: int | None) -> dict[str, str]:
    if if_version is None:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{if_version}"'}


def _judge(answer: _Answer) -> Err[Failure]:
    cause = _CAUSE_OF_STATUS.get(answer.status, FailureCause.UNKNOWN)
    current = _read_tag(answer) if cause is FailureCause.CONFLICT else None
    return Err(Failure(cause, current, f"{answer.status} {answer.text[:200]}"))


def _version(answer: _Answer) -> int:
    version = _read_tag(answer)
    if version is None:
        raise ValueError(f"answer without a version: {dict(answer.headers)}")
    return version


def _read_tag(answer: _Answer) -> int | None:
    digits = answer.headers.get("ETag", "").strip('"')
    return int(digits) if digits.isdigit() else None


def _read_stored(name: str, answer: _Answer) -> StoredObject:
    return StoredObject(name, _version(answer), answer.text)


def _read_listing(answer: _Answer) -> ObjectListing:
    data = orjson.loads(answer.text)
    items = (StoredObject(i["name"], i["version"], i["body"]) for i in data["items"])
    return ObjectListing(data["version"], tuple(items))


def _read_change(line: bytes) -> ObjectChange:
    data = orjson.loads(line)
    deleted = bool(data.get("deleted"))
    return ObjectChange(data["name"], data["version"], data.get("body") or "", deleted)


def _read_hosts(answer: _Answer) -> tuple[ListedHost, ...]:
    rows = orjson.loads(answer.text)["hosts"]
    return tuple(
        ListedHost(
            id=row["id"],
            kind=row["kind"],
            address=row["address"],
            domain=row["domain"],
            leaving=row["state"] == "leaving",
            incarnation=row.get("incarnation", 0),
        )
        for row in rows
    )
