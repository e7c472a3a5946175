"""Call the platform's metadata store over HTTP."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson
from result import Err, Ok, Result

from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectChange,
    ObjectListing,
    StoredObject,
)
from galenapass.platform.object_client import Count
from galenapass.targets.connections import open_keepalive_session, read_body

__all__ = ["StoreClient"]

CALL_TIMEOUT = timedelta(seconds=2)
# A stale answer is only of use while it is not much older.
STALE_TIMEOUT = timedelta(seconds=0.8)
# Beyond the wait that a watch asks for: a slow store answers after a while.
WATCH_SLACK = timedelta(seconds=2)
CONNECT_SECONDS = 1.0
KEEP_SECONDS = 30.0

_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_NOT_ANSWERED = (aiohttp.ClientError, OSError, TimeoutError)
_UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)
_CAUSE_OF_STATUS = {
    404: FailureCause.NOT_FOUND,
    409: FailureCause.CONFLICT,
    410: FailureCause.COMPACTED,
    429: FailureCause.THROTTLED,
    # The store says so only of calls that changed nothing.
    503: FailureCause.UNAVAILABLE,
}
_DONE = frozenset({200, 201})
_UNANSWERED = frozenset({FailureCause.UNAVAILABLE, FailureCause.UNKNOWN})


@dataclass(slots=True, frozen=True)
class _Call:
    name: str
    method: str
    path: str
    body: Any = None
    seconds: float = CALL_TIMEOUT.total_seconds()


class StoreClient:
    """Call the store; every method returns a failure instead of raising one.

    An object's version is the store's revision of its last change, its body the JSON
    text of what the object says. ``count`` is told of each call, ``store_availability``
    how it ended.
    """

    __slots__ = ("_base", "_count", "_store_availability", "_session")

    def __init__(
        self, address: str, count: Count, store_availability: StoreAvailability
    ):
        self._base = f"http://{address}"
        self._count = count
        self._store_availability = store_availability
        self._session = open_keepalive_session(
            once=False, keep=KEEP_SECONDS, connect=CONNECT_SECONDS
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def read(
        self, kind: str, name: str, *, stale: bool = False
    ) -> Result[StoredObject, Failure]:
        """Return one object; a ``stale`` answer is cheap and may be seconds old."""
        query = "?serializable=1" if stale else ""
        timeout = STALE_TIMEOUT if stale else CALL_TIMEOUT
        path, seconds = _path(kind, name) + query, timeout.total_seconds()
        answer = await self._ask(_Call("read", "GET", path, seconds=seconds))
        return answer.and_then(lambda data: _parse(_read_stored, data))

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the version named, or create when None; return the new version."""
        spec = orjson.Fragment(body)
        if if_version is None:
            call = _Call("create", "POST", _path(kind), _wrap(name, spec))
        else:
            wrapped = _wrap(name, spec, if_version)
            call = _Call("write", "PUT", _path(kind, name), wrapped)
        answer = await self._ask(call)
        return answer.and_then(lambda data: _parse(_read_version, data))

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete the version named."""
        path = f"{_path(kind, name)}?revision={if_version}"
        return (await self._ask(_Call("delete", "DELETE", path))).map(lambda _: None)

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> Result[ObjectListing, Failure]:
        """Return every object of a kind; ``stale`` as for ``read``."""
        items: list[StoredObject] = []
        version, begin = 0, "?serializable=1&" if stale else "?"
        query = begin
        while True:
            path = _path(kind) + query.rstrip("?&")
            answer = await self._ask(_Call("list", "GET", path))
            page = answer.and_then(lambda data: _parse(_read_page, data))
            if isinstance(page, Err):
                return page
            stored, current, has_more = page.ok_value
            if items and stored and stored[0].name <= items[-1].name:
                detail = f"a page begins again at {stored[0].name}"
                return Err(Failure(FailureCause.UNKNOWN, detail=detail))
            items += stored
            # What changes between two pages is later than the first page.
            version = version or current
            if not has_more or not stored:
                return Ok(ObjectListing(version, tuple(items)))
            query = f"{begin}after={quote(stored[-1].name, safe='')}"

    async def watch(
        self, kind: str, after: int, wait: timedelta
    ) -> Result[tuple[int, tuple[ObjectChange, ...]], Failure]:
        """Return the changes after a version and the version to go on from."""
        wait_ms = wait // timedelta(milliseconds=1)
        path = f"{_path(kind)}?watch={after}&wait_ms={wait_ms}"
        seconds = (wait + WATCH_SLACK).total_seconds()
        answer = await self._ask(_Call("watch", "GET", path, seconds=seconds))
        return answer.and_then(lambda data: _parse(_read_changes, data))

    async def _ask(self, call: _Call) -> Result[Any, Failure]:
        sent = self._store_availability.start()
        answer = await self._send(call)
        if isinstance(answer, Err) and answer.err_value.cause in _UNANSWERED:
            self._store_availability.record_failure(sent)
        else:
            self._store_availability.record_answer(sent)
        return answer

    async def _send(self, call: _Call) -> Result[Any, Failure]:
        self._count(call.name)
        data = None if call.body is None else orjson.dumps(call.body)
        headers = {"Content-Type": "application/json"} if data else None
        timeout = aiohttp.ClientTimeout(
            total=call.seconds, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self._session.request(
                call.method,
                self._base + call.path,
                data=data,
                headers=headers,
                timeout=timeout,
            ) as response:
                text = await read_body(response)
                return _judge(response.status, text)
        except _NOT_SENT as error:
            return Err(Failure(FailureCause.UNAVAILABLE, detail=_describe(error)))
        except (*_NOT_ANSWERED, *_UNREADABLE) as error:
            return Err(Failure(FailureCause.UNKNOWN, detail=_describe(error)))


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _wrap(name: str, spec: Any, version: int | None = None) -> dict[str, Any]:
    metadata: dict[str, Any] = {"name": name}
    if version is not None:
        metadata["revision"] = version
    return {"metadata": metadata, "spec": spec}


def _judge(status: int, text: bytes) -> Result[Any, Failure]:
    if status in _DONE:
        return Ok(orjson.loads(text))
    cause = _CAUSE_OF_STATUS.get(status, FailureCause.UNKNOWN)
    detail = f"{status} {text[:200].decode(errors='replace')}"
    return Err(Failure(cause, _find_version(text), detail))


def _find_version(text: bytes) -> int | None:
    """Return the version of the object that a conflict names, if it is readable."""
    try:
        return int(orjson.loads(text)["metadata"]["revision"])
    except _UNREADABLE:
        return None


def _parse(read: Any, data: Any) -> Result[Any, Failure]:
    try:
        return Ok(read(data))
    except _UNREADABLE as error:
        return Err(
            Failure(FailureCause.UNKNOWN, detail=f"unreadable: {_describe(error)}")
        )


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _read_version(data: Mapping[str, Any]) -> int:
    return int(data["metadata"]["revision"])


def _read_stored(data: Mapping[str, Any]) -> StoredObject:
    body = orjson.dumps(data.get("spec")).decode()
    return StoredObject(data["metadata"]["name"], _read_version(data), body)


def _read_page(data: Mapping[str, Any]) -> tuple[list[StoredObject], int, bool]:
    stored = [_read_stored(item) for item in data["items"]]
    return stored, int(data["current_rev"]), bool(data["has_more"])


def _read_changes(data: Mapping[str, Any]) -> tuple[int, tuple[ObjectChange, ...]]:
    changes = []
    for event in data["events"]:
        stored = _read_stored(event["object"])
        removed = bool(event["removed"])
        changes.append(ObjectChange(stored.name, stored.version, stored.body, removed))
    return int(data["current_rev"]), tuple(changes)
