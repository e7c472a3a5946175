"""Call the platform's metadata store over HTTP."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import aiohttp
import orjson
from result import Err, Ok, Result

from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.json_values import (
    DECODE_ERRORS,
    Unreadable,
    decode_members,
    describe_error,
    describe_value,
    read_each,
    read_integer,
    read_name,
    split_elements,
    split_members,
)
from galenapass.logs import make_log
from galenapass.platform.headers import parse_integer
from galenapass.platform.messages import (
    Failure,
    FailureCause,
    ObjectChange,
    ObjectListing,
    StoredObject,
)
from galenapass.platform.object_client import CountCall
from galenapass.targets.answer_ends import is_delimited, is_whole_json
from galenapass.targets.connections import (
    limit_response,
    make_silence_timeout,
    open_keepalive_session,
    read_body,
)

__all__ = ["StoreClient"]

# Until the response begins, and without a byte of it after that: a large one takes
# seconds on a slow link, and would begin anew if the whole time were limited.
CALL_TIMEOUT = timedelta(seconds=2)
# A stale response that begins later is too old to be of use.
STALE_READ_TIMEOUT = timedelta(seconds=0.8)
# Added to the requested wait of a watch, as a slow store responds late.
WATCH_SLACK = timedelta(seconds=2)
CONNECT_TIMEOUT = timedelta(seconds=1)
KEEPALIVE_SECONDS = 30.0
# Objects that take long to parse are parsed again only after a change.
LARGE_OBJECT_BYTES = 65_536
_EPOCH = "Store-Era"

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
# Body of an object whose spec cannot be read; it is not valid JSON.
_UNREADABLE = ""
_CAUSES_BY_STATUS = {
    404: FailureCause.NOT_FOUND,
    409: FailureCause.CONFLICT,
    410: FailureCause.COMPACTED,
    429: FailureCause.THROTTLED,
    # The store responds 503 only to calls that had no effect.
    503: FailureCause.UNAVAILABLE,
}
_SUCCESS_STATUSES = frozenset({200, 201})
_UNANSWERED_CAUSES = frozenset({FailureCause.UNAVAILABLE, FailureCause.UNKNOWN})

_log = make_log("store")


@dataclass(slots=True, frozen=True)
class _Call:
    name: str
    method: str
    path: str
    body: Any = None
    seconds: float = CALL_TIMEOUT.total_seconds()
    on_answer: Callable[[], None] = lambda: None


class StoreClient:
    """Client of the store; methods return a failure instead of raising an error.

    An object's version is the store's revision of its last change, its body the JSON
    text of its spec, empty if the spec cannot be read. An object of a listing or a
    watch whose name cannot be read is left out. ``count`` is called with the kind of
    each call; ``store_availability`` records the result, ``epochs`` the epoch of each
    answer. An answer of an earlier epoch than the known one counts as lost.
    """

    __slots__ = (
        "_base",
        "_count",
        "_epochs",
        "_large_objects",
        "_session",
        "_store_availability",
    )

    def __init__(
        self,
        address: str,
        count: CountCall,
        store_availability: StoreAvailability,
        epochs: StoreEpochs,
    ):
        self._base = f"http://{address}"
        self._count = count
        self._store_availability = store_availability
        self._epochs = epochs
        # Last answer and object of each large object that is read, by kind and name.
        self._large_objects: dict[tuple[str, str], tuple[bytes, StoredObject]] = {}
        self._session = open_keepalive_session(
            once=False, keep=KEEPALIVE_SECONDS, connect=CONNECT_TIMEOUT
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def read(
        self,
        kind: str,
        name: str,
        *,
        stale: bool = False,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Result[StoredObject, Failure]:
        """Return one object; a ``stale`` read is cheap and may be seconds old.

        ``on_answer`` is called once the response begins.
        """
        query = "?serializable=1" if stale else ""
        timeout = STALE_READ_TIMEOUT if stale else CALL_TIMEOUT
        path, seconds = _make_path(kind, name) + query, timeout.total_seconds()
        call = _Call("read", "GET", path, seconds=seconds, on_answer=on_answer)
        result = await self._call(call)
        return result.and_then(lambda data: self._parse_object(kind, name, data))

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace version ``if_version``, or create if None; return the new version."""
        spec = orjson.Fragment(body)
        if if_version is None:
            call = _Call("create", "POST", _make_path(kind), _make_object(name, spec))
        else:
            wrapped = _make_object(name, spec, if_version)
            call = _Call("write", "PUT", _make_path(kind, name), wrapped)
        result = await self._call(call)
        return result.and_then(lambda data: _parse(_read_written, data, kind))

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete an object if its version is ``if_version``."""
        path = f"{_make_path(kind, name)}?revision={if_version}"
        return (await self._call(_Call("delete", "DELETE", path))).map(lambda _: None)

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> Result[ObjectListing, Failure]:
        """Return every object of a kind; ``stale`` as for ``read``."""
        items: dict[str, StoredObject] = {}
        version, first_query = 0, "?serializable=1&" if stale else "?"
        query = first_query
        epoch: int | None = None
        while True:
            path = _make_path(kind) + query.rstrip("?&")
            result = await self._call(_Call("list", "GET", path))
            page = result.and_then(lambda data: _parse(_read_page, data, kind))
            if isinstance(page, Err):
                return page
            if items and self._epochs.current != epoch:
                detail = "the store was restored between two pages"
                return Err(Failure(FailureCause.UNKNOWN, detail=detail))
            epoch = self._epochs.current
            stored, current, has_more = page.ok_value
            new = {item.name: item for item in stored if item.name not in items}
            if stored and not new:
                detail = f"a page starts again at {describe_value(stored[0].name)}"
                return Err(Failure(FailureCause.UNKNOWN, detail=detail))
            items |= new
            # Changes made between two pages are newer than the first page's version.
            version = version or current
            if not has_more or not stored:
                return Ok(ObjectListing(version, tuple(items.values())))
            query = f"{first_query}after={quote(stored[-1].name, safe='')}"

    async def watch(
        self, kind: str, after: int, wait: timedelta
    ) -> Result[tuple[int, tuple[ObjectChange, ...]], Failure]:
        """Return the version to continue from and the changes after ``after``."""
        wait_ms = wait // timedelta(milliseconds=1)
        path = f"{_make_path(kind)}?watch={after}&wait_ms={wait_ms}"
        seconds = (wait + WATCH_SLACK).total_seconds()
        epoch = self._epochs.current
        result = await self._call(_Call("watch", "GET", path, seconds=seconds))
        if self._epochs.current != epoch:
            # The version to watch after belongs to the earlier epoch.
            return Err(Failure(FailureCause.COMPACTED, detail="the store was restored"))
        return result.and_then(lambda data: _parse(_read_changes, data, kind))

    def _parse_object(
        self, kind: str, name: str, text: bytes
    ) -> Result[StoredObject, Failure]:
        known = self._large_objects.get((kind, name))
        if known is not None and known[0] == text:
            return Ok(known[1])
        parsed: Result[StoredObject, Failure] = _parse(_read_object, text, kind)
        if isinstance(parsed, Ok) and len(text) >= LARGE_OBJECT_BYTES:
            self._large_objects[kind, name] = text, parsed.ok_value
        return parsed

    async def _call(self, call: _Call) -> Result[bytes, Failure]:
        sent_at = self._store_availability.start()
        result = await self._send(call)
        if isinstance(result, Err) and result.err_value.cause in _UNANSWERED_CAUSES:
            self._store_availability.record_failure(sent_at)
        else:
            self._store_availability.record_answer(sent_at)
        return result

    async def _send(self, call: _Call) -> Result[bytes, Failure]:
        self._count(call.name)
        data = None if call.body is None else orjson.dumps(call.body)
        headers = {"Content-Type": "application/json"} if data else None
        timeout = make_silence_timeout(call.seconds)
        received = 0
        try:
            async with (
                limit_response(call.seconds) as begin_transfer,
                self._session.request(
                    call.method,
                    self._base + call.path,
                    data=data,
                    headers=headers,
                    timeout=timeout,
                ) as response,
            ):
                begin_transfer()
                call.on_answer()
                try:
                    text = await read_body(response)
                finally:
                    received = response.content.total_bytes
                epoch = parse_integer(response.headers.get(_EPOCH))
                if self._epochs.is_outdated(epoch):
                    detail = f"answered in epoch {epoch}, before a restore"
                    return Err(Failure(FailureCause.UNKNOWN, detail=detail))
                self._epochs.observe(epoch, "store")
                is_whole = is_delimited(response) or is_whole_json(text)
                if text and response.status in _SUCCESS_STATUSES and not is_whole:
                    detail = f"no whole text in {received} bytes without a length"
                    return Err(Failure(FailureCause.UNKNOWN, detail=detail))
                return _decode_response(response.status, text)
        except _CONNECT_ERRORS as error:
            return Err(Failure(FailureCause.UNAVAILABLE, detail=describe_error(error)))
        except (*_TRANSPORT_ERRORS, *DECODE_ERRORS) as error:
            detail = f"{describe_error(error)} after {received} bytes of the body"
            return Err(Failure(FailureCause.UNKNOWN, detail=detail))


def _make_path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _make_object(name: str, spec: Any, version: int | None = None) -> dict[str, Any]:
    metadata: dict[str, Any] = {"name": name}
    if version is not None:
        metadata["revision"] = version
    return {"metadata": metadata, "spec": spec}


def _decode_response(status: int, text: bytes) -> Result[bytes, Failure]:
    if status in _SUCCESS_STATUSES:
        return Ok(text)
    cause = _CAUSES_BY_STATUS.get(status, FailureCause.UNKNOWN)
    detail = f"{status} {text[:200].decode(errors='replace')}"
    return Err(Failure(cause, _read_current_version(text), detail))


def _read_current_version(text: bytes) -> int | None:
    """Return the object's version that a conflict reports, or None if unreadable."""
    try:
        return _read_version(decode_members(text))
    except DECODE_ERRORS:
        return None


def _parse(
    read: Callable[[bytes, str], Any], text: bytes, kind: str
) -> Result[Any, Failure]:
    try:
        return Ok(read(text, kind))
    except DECODE_ERRORS as error:
        detail = f"unreadable: {describe_error(error)}"
        return Err(Failure(FailureCause.UNKNOWN, detail=detail))


def _read_version(data: Mapping[str, Any]) -> int:
    return read_integer(split_members(data["metadata"])["revision"])


def _read_written(text: bytes, kind: str) -> int:
    return _read_version(decode_members(text))


def _read_object(text: bytes, kind: str) -> StoredObject:
    return _read_stored(decode_members(text))


def _read_stored(value: Any) -> StoredObject:
    data = split_members(value)
    name = read_name(split_members(data["metadata"])["name"])
    return StoredObject(name, _read_version(data), _encode_spec(data.get("spec")))


def _encode_spec(spec: Any) -> str:
    if isinstance(spec, Unreadable):
        return _UNREADABLE
    try:
        return orjson.dumps(spec).decode()
    except TypeError:
        # The spec is nested too deeply to be encoded.
        return _UNREADABLE


def _read_page(text: bytes, kind: str) -> tuple[list[StoredObject], int, bool]:
    data = decode_members(text)
    elements = split_elements(data["items"])
    stored = read_each(_read_stored, elements, _make_skip(kind))
    has_more = bool(data["has_more"])
    if has_more and elements and not stored:
        raise ValueError("a page has no name after which to continue")
    return stored, read_integer(data["current_rev"]), has_more


def _read_changes(text: bytes, kind: str) -> tuple[int, tuple[ObjectChange, ...]]:
    data = decode_members(text)
    elements = split_elements(data["events"])
    changes = read_each(_read_change, elements, _make_skip(kind))
    return read_integer(data["current_rev"]), tuple(changes)


def _read_change(value: Any) -> ObjectChange:
    event = split_members(value)
    stored = _read_stored(event["object"])
    removed = bool(event["removed"])
    return ObjectChange(stored.name, stored.version, stored.body, removed)


def _make_skip(kind: str) -> Callable[[str], None]:
    return lambda error: _log("entry is left out", kind=kind, error=error)
