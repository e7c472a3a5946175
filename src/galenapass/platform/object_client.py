"""Call the platform's object API, host list and watches over HTTP."""

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result

from galenapass.json_values import (
    DECODE_ERRORS,
    decode_json,
    decode_members,
    describe_error,
    describe_value,
    read_each,
    read_integer,
    read_name,
    read_text,
    split_elements,
    split_members,
)
from galenapass.logs import make_log
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ListedHost,
    ObjectChange,
    ObjectListing,
    StoredObject,
)
from galenapass.targets.answer_ends import is_delimited, is_whole_json, make_abort
from galenapass.targets.connections import (
    limit_response,
    make_connector,
    make_silence_timeout,
    read_body,
)

__all__ = ["CountCall", "ObjectClient", "ResponseLostError", "compute_retry_delay"]

CONNECT_TIMEOUT = timedelta(seconds=1)
# Until the response begins, and without a byte of it after that.
CALL_TIMEOUT = timedelta(seconds=2)
# The platform sends an empty line every 5 s to keep a watch alive.
WATCH_READ_TIMEOUT = timedelta(seconds=15)
FIRST_RETRY_DELAY = timedelta(milliseconds=200)
MAX_RETRY_DELAY = timedelta(seconds=10)
# An object is at most 1 MB; JSON escapes can double it on the wire.
MAX_WATCH_LINE_BYTES = 4 * 2**20

CountCall = Callable[[str], None]
Parsed = TypeVar("Parsed")

_log = make_log("platform")

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)

_CAUSES_BY_STATUS = {
    404: FailureCause.NOT_FOUND,
    412: FailureCause.CONFLICT,
    429: FailureCause.THROTTLED,
}


@dataclass(slots=True, frozen=True)
class _Response:
    status: int
    headers: Mapping[str, str]
    text: bytes


class ResponseLostError(aiohttp.ClientError):
    """Connection lost when the request may already have been sent."""


class ObjectClient:
    """Client of the object API on behalf of one host.

    Calls return a failure instead of raising an error. An item of a listing or a
    watch that cannot be read is logged and left out; its body never becomes an empty
    one, which can be valid. ``count`` is called with the kind of each call when it is
    sent.

    Answers bear no mark of their call, and a second one to a former call may come late.
    A write counts only if its version is later than any known before it.
    """

    __slots__ = (
        "_base",
        "_count",
        "_headers",
        "_known_version",
        "_rng",
        "_session",
        "_timeout",
    )

    def __init__(
        self,
        address: str,
        host: str,
        domain: str,
        count: CountCall,
        rng: random.Random,
        timeout: timedelta = CALL_TIMEOUT,
        token: str | None = None,
    ):
        self._base = f"http://{address}"
        self._headers = {"X-Host": host, "X-Failure-Domain": domain}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._count = count
        self._rng = rng
        self._timeout = timeout.total_seconds()
        # The latest version in an answer, of any object.
        self._known_version = 0
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections; a later call opens new ones."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, kind: str, name: str) -> Result[StoredObject, Failure]:
        """Return one object."""
        read = await self._call(
            "read", "GET", _make_path(kind, name), lambda r: _read_single(name, r)
        )
        self._record_version(read.map(lambda stored: stored.version))
        return read

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace version ``if_version``, or create if None; return the new version."""
        condition = _make_condition(if_version)
        path = _make_path(kind, name)
        known = self._known_version
        written = await self._call(
            "write", "PUT", path, lambda r: _read_written(known, r), condition, body
        )
        self._record_version(written)
        return written

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete an object if its version is ``if_version``."""
        condition = _make_condition(if_version)
        path = _make_path(kind, name)
        return await self._call("delete", "DELETE", path, lambda _: None, condition)

    async def list(self, kind: str) -> Result[ObjectListing, Failure]:
        """Return every object of a kind."""
        path = f"/objects/{quote(kind, safe='')}"
        found = await self._call("list", "GET", path, lambda r: _read_listing(kind, r))
        self._record_version(found.map(lambda listing: listing.version))
        return found

    async def list_hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Return the platform's list of live and leaving hosts, which lags behind."""
        return await self._call("hosts", "GET", "/hosts", _read_hosts)

    async def watch(self, kind: str, after: int = 0) -> AsyncIterator[ObjectChange]:
        """Yield each change after a version until cancelled, reconnecting as needed."""
        attempt = 0
        while True:
            try:
                async with contextlib.aclosing(self._watch_once(kind, after)) as watch:
                    async for change in watch:
                        attempt = 0
                        after = max(after, change.version)
                        yield change
            except (*_TRANSPORT_ERRORS, *DECODE_ERRORS) as error:
                _log(
                    "watch failed", kind=kind, after=after, error=describe_error(error)
                )
            pause = compute_retry_delay(attempt, self._rng)
            attempt += 1
            await asyncio.sleep(pause.total_seconds())

    def _record_version(self, result: Result[int, Failure]) -> None:
        if isinstance(result, Ok):
            self._known_version = max(self._known_version, result.ok_value)
        elif result.err_value.cause is FailureCause.UNKNOWN:
            # The platform may have begun anew.
            self._known_version = 0

    async def _watch_once(
        self, kind: str, after: int
    ) -> AsyncGenerator[ObjectChange, None]:
        self._count("watch")
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=None,
            sock_read=WATCH_READ_TIMEOUT.total_seconds(),
        )
        skip = _make_skip(kind)
        url = f"{self._base}/watch/{quote(kind, safe='')}?after={after}"
        async with self._open_session().get(url, timeout=timeout) as response:
            response.raise_for_status()
            async for line in _read_lines(response.content, skip):
                for change in read_each(_read_change, [line], skip):
                    yield change

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        parse: "Callable[[_Response], Parsed]",
        headers: dict[str, str] | None = None,
        body: str | None = None,
    ) -> Result[Parsed, Failure]:
        self._count(call)
        data = None if body is None else body.encode()
        try:
            async with (
                limit_response(self._timeout) as begin_transfer,
                self._open_session().request(
                    method, self._base + path, headers=headers, data=data
                ) as response,
            ):
                begin_transfer()
                reply = _Response(
                    response.status, response.headers, await read_body(response)
                )
                if reply.status != 200:
                    return _map_error(reply)
                is_whole = is_delimited(response) or is_whole_json(reply.text)
                if method == "GET" and not is_whole:
                    detail = f"no whole text in {len(reply.text)} bytes, no length"
                    return Err(Failure(FailureCause.UNKNOWN, detail=detail))
                try:
                    return Ok(parse(reply))
                except DECODE_ERRORS as error:
                    detail = describe_error(error)
                    _log("answer is rejected", call=call, path=path, detail=detail)
                    make_abort(response)()
                    raise
        except _CONNECT_ERRORS as error:
            return Err(Failure(FailureCause.UNAVAILABLE, detail=describe_error(error)))
        except (*_TRANSPORT_ERRORS, *DECODE_ERRORS) as error:
            return Err(Failure(FailureCause.UNKNOWN, detail=describe_error(error)))

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=make_connector(CONNECT_TIMEOUT),
                headers=self._headers,
                timeout=make_silence_timeout(self._timeout),
                middlewares=(_prevent_resend,),
            )
        return self._session


def compute_retry_delay(attempt: int, rng: random.Random) -> timedelta:
    """Return a random delay below a limit that doubles with each attempt."""
    bound = min(FIRST_RETRY_DELAY * 2 ** min(attempt, 10), MAX_RETRY_DELAY)
    return bound * rng.uniform(0.5, 1.0)


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp resends a PUT or DELETE when the connection breaks. The second response
    # would then be a conflict with our own write, or a connect error for a write that
    # took effect.
    try:
        return await handler(request)
    except _CONNECT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ResponseLostError(repr(error)) from error


def _make_path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _make_condition(if_version: int | None) -> dict[str, str]:
    if if_version is None:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{if_version}"'}


def _map_error(response: _Response) -> Err[Failure]:
    cause = _CAUSES_BY_STATUS.get(response.status, FailureCause.UNKNOWN)
    current = _read_etag(response) if cause is FailureCause.CONFLICT else None
    detail = f"{response.status} {response.text[:200].decode(errors='replace')}"
    return Err(Failure(cause, current, detail))


def _require_version(response: _Response) -> int:
    version = _read_etag(response)
    if version is None:
        raise ValueError(f"response without a version: {dict(response.headers)}")
    return version


def _read_written(known: int, response: _Response) -> int:
    version = _require_version(response)
    if version <= known:
        raise ValueError(f"version {version} is not later than {known}")
    return version


def _read_etag(response: _Response) -> int | None:
    digits = response.headers.get("ETag", "").strip('"')
    return int(digits) if digits.isdigit() else None


def _read_single(name: str, response: _Response) -> StoredObject:
    return StoredObject(name, _require_version(response), response.text.decode())


def _read_listing(kind: str, response: _Response) -> ObjectListing:
    data = decode_members(response.text)
    elements = split_elements(data["items"])
    items = read_each(_read_stored, elements, _make_skip(kind))
    return ObjectListing(read_integer(data["version"]), tuple(items))


def _read_stored(value: Any) -> StoredObject:
    data = split_members(value)
    name = read_name(data["name"])
    return StoredObject(name, read_integer(data["version"]), read_text(data["body"]))


def _read_change(line: bytes) -> ObjectChange:
    data = decode_members(line)
    deleted = _read_flag(data.get("deleted", False))
    name, version = read_name(data["name"]), read_integer(data["version"])
    return ObjectChange(
        name, version, "" if deleted else read_text(data["body"]), deleted
    )


def _read_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{describe_value(value)} is no boolean")
    return value


def _read_hosts(response: _Response) -> tuple[ListedHost, ...]:
    rows = split_elements(decode_members(response.text)["hosts"])
    return tuple(read_each(_read_host, rows, _skip_host))


def _read_host(value: Any) -> ListedHost:
    row = split_members(value)
    kind, address, domain, state = (
        read_text(row[field]) for field in ("kind", "address", "domain", "state")
    )
    return ListedHost(
        id=read_name(row["id"]),
        kind=kind,
        address=address,
        domain=domain,
        leaving=state == "leaving",
        incarnation=_read_incarnation(row.get("incarnation", 0)),
    )


def _read_incarnation(value: Any) -> int | str:
    return value if isinstance(value, str) else read_integer(value)


async def _read_lines(
    content: aiohttp.StreamReader, skip: Callable[[str], None]
) -> AsyncIterator[bytes]:
    """Yield each whole line that is not empty; call ``skip`` for overlong ones."""
    line = bytearray()
    async for chunk in content.iter_any():
        *ends, rest = chunk.split(b"\n")
        for end in ends:
            line += end
            if len(line) > MAX_WATCH_LINE_BYTES:
                skip(f"a line exceeds {MAX_WATCH_LINE_BYTES} bytes")
            elif line.strip():
                yield bytes(line)
            line.clear()
        line += rest
        # One byte too many marks the line as overlong.
        del line[MAX_WATCH_LINE_BYTES + 1 :]
    # The last line may have been cut off, which the next watch repeats.
    if isinstance(decode_json(bytes(line)), Ok):
        yield bytes(line)


def _make_skip(kind: str) -> Callable[[str], None]:
    return lambda error: _log("item is left out", kind=kind, error=error)


def _skip_host(error: str) -> None:
    _log("host is left out", error=error)
