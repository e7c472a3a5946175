"""Call the platform's metadata store over HTTP."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp
import orjson
from result import Err, Ok, Result

from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.json_values import (
    DECODE_ERRORS,
    Unreadable,
    decode_json,
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
from galenapass.targets.answer_ends import is_delimited, is_whole_json, make_abort
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
# Of answers whose bodies show whether they are the call's.
_CHECKED_STATUSES = _SUCCESS_STATUSES | {409}
_UNANSWERED_CAUSES = frozenset({FailureCause.UNAVAILABLE, FailureCause.UNKNOWN})

Value = TypeVar("Value")
# Objects, the store's revision and whether there are more objects.
_Page = tuple[list[StoredObject], int, bool]

_log = make_log("store")


@dataclass(slots=True, frozen=True)
class _Call:
    kind: str
    name: str
    method: str
    path: str
    body: Any = None
    seconds: float = CALL_TIMEOUT.total_seconds()
    on_answer: Callable[[], None] = lambda: None
    # Of the object that a conflict names.
    object_name: str | None = None


@dataclass(slots=True, frozen=True)
class _Answer:
    status: int
    text: bytes
    abort: Callable[[], None]


class _CompactedError(ValueError):
    """Answer to a watch that does not continue from its version."""


class StoreClient:
    """Client of the store; methods return a failure instead of raising an error.

    An object's version is the store's revision of its last change, its body the JSON
    text of its spec, empty if the spec cannot be read. An object of a listing or a
    watch whose name cannot be read is left out. ``count`` is called with the kind of
    each call; ``store_availability`` records the result, ``epochs`` the epoch of each
    answer. An answer of an earlier epoch than the known one counts as lost.

    Answers bear no mark of their call, and a second one to a former call may come late.
    An answer that names another object, or an older state than the store has shown, is
    none to the call: its result is unknown, and the connection is closed.
    """

    __slots__ = (
        "_base",
        "_count",
        "_epochs",
        "_known_epoch",
        "_known_revision",
        "_large_objects",
        "_sessions",
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
        # The highest revision in an answer that is not stale, and its epoch.
        self._known_revision = 0
        self._known_epoch: int | None = None
        # Last answer and object of each large object that is read, by kind and name.
        self._large_objects: dict[tuple[str, str], tuple[bytes, StoredObject]] = {}
        # By kind: nothing but a list's or watch's connection tells the kind of it.
        self._sessions: dict[str, aiohttp.ClientSession] = {}

    async def close(self) -> None:
        """Close the connections."""
        await asyncio.gather(*(s.close() for s in self._sessions.values()))

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
        call = _Call(
            kind, "read", "GET", path, None, seconds, on_answer, object_name=name
        )
        return await self._call(call, lambda text: self._read_object(kind, name, text))

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace version ``if_version``, or create if None; return the new version."""
        wrapped = _make_object(name, orjson.Fragment(body), if_version)
        if if_version is None:
            path, call_name, method = _make_path(kind), "create", "POST"
        else:
            path, call_name, method = _make_path(kind, name), "write", "PUT"
        call = _Call(kind, call_name, method, path, wrapped, object_name=name)
        known = self._find_known_revision()
        written = await self._call(
            call,
            lambda text: _read_written(
                text, name, body, if_version, self._find_bound(known)
            ),
        )
        self._record_revision(written)
        return written

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete an object if its version is ``if_version``."""
        path = f"{_make_path(kind, name)}?revision={if_version}"
        call = _Call(kind, "delete", "DELETE", path, object_name=name)
        return await self._call(call, lambda text: _check_deleted(text, name))

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
            page = await self._read_page(kind, path, stale=stale)
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
                return Ok(ObjectListing(version, tuple(items.values()), epoch))
            query = f"{first_query}after={quote(stored[-1].name, safe='')}"

    async def watch(
        self, kind: str, after: int, wait: timedelta
    ) -> Result[tuple[int, tuple[ObjectChange, ...]], Failure]:
        """Return the version to continue from and the changes after ``after``."""
        wait_ms = wait // timedelta(milliseconds=1)
        path = f"{_make_path(kind)}?watch={after}&wait_ms={wait_ms}"
        seconds = (wait + WATCH_SLACK).total_seconds()
        epoch = self._epochs.current
        call = _Call(kind, "watch", "GET", path, seconds=seconds)
        result = await self._call(call, lambda text: _read_changes(text, kind, after))
        if self._epochs.current != epoch:
            # The version to watch after belongs to the earlier epoch.
            return Err(Failure(FailureCause.COMPACTED, detail="the store was restored"))
        self._record_revision(result.map(lambda changes: changes[0]))
        return result

    async def _read_page(
        self, kind: str, path: str, *, stale: bool
    ) -> Result[_Page, Failure]:
        known = 0 if stale else self._find_known_revision()
        call = _Call(kind, "list", "GET", path)
        page = await self._call(
            call, lambda text: _read_page(text, kind, self._find_bound(known))
        )
        if not stale:
            self._record_revision(page.map(lambda values: values[1]))
        return page

    def _find_session(self, kind: str) -> aiohttp.ClientSession:
        if kind not in self._sessions:
            self._sessions[kind] = open_keepalive_session(
                once=False, keep=KEEPALIVE_SECONDS, connect=CONNECT_TIMEOUT
            )
        return self._sessions[kind]

    def _find_known_revision(self) -> int:
        """Return a revision that the answer to a call sent now cannot be older than."""
        if self._known_epoch != self._epochs.current:
            self._known_revision, self._known_epoch = 0, self._epochs.current
        return self._known_revision

    def _find_bound(self, known: int) -> int:
        """Return the bound of an answer, from the known revision as it was sent."""
        # An answer that is the first of a later epoch has no bound.
        return min(known, self._find_known_revision())

    def _record_revision(self, result: Result[int, Failure]) -> None:
        known = self._find_known_revision()
        if isinstance(result, Ok):
            self._known_revision = max(known, result.ok_value)
        elif result.err_value.cause is FailureCause.UNKNOWN:
            # A store that names no epoch may have been restored.
            self._known_revision = 0

    def _read_object(self, kind: str, name: str, text: bytes) -> StoredObject:
        known = self._large_objects.get((kind, name))
        if known is not None and known[0] == text:
            return known[1]
        stored = _read_stored(decode_members(text))
        if stored.name != name:
            raise ValueError(f"answer names {describe_value(stored.name)}")
        if len(text) >= LARGE_OBJECT_BYTES:
            self._large_objects[kind, name] = text, stored
        return stored

    async def _call(
        self, call: _Call, read: Callable[[bytes], Value]
    ) -> Result[Value, Failure]:
        sent_at = self._store_availability.start()
        sent = await self._send(call)
        result = sent.and_then(lambda answer: _decode_answer(answer, call.object_name))
        if isinstance(result, Err) and result.err_value.cause in _UNANSWERED_CAUSES:
            self._store_availability.record_failure(sent_at)
        else:
            self._store_availability.record_answer(sent_at)
        value = result.and_then(lambda text: _parse(read, text))
        if isinstance(sent, Ok) and isinstance(value, Err):
            _reject(call, sent.ok_value, value.err_value)
        return value

    async def _send(self, call: _Call) -> Result[_Answer, Failure]:
        self._count(call.name)
        data = None if call.body is None else orjson.dumps(call.body)
        headers = {"Content-Type": "application/json"} if data else None
        timeout = make_silence_timeout(call.seconds)
        received = 0
        try:
            async with (
                limit_response(call.seconds) as begin_transfer,
                self._find_session(call.kind).request(
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
                return Ok(_Answer(response.status, text, make_abort(response)))
        except _CONNECT_ERRORS as error:
            return Err(Failure(FailureCause.UNAVAILABLE, detail=describe_error(error)))
        except (*_TRANSPORT_ERRORS, *DECODE_ERRORS) as error:
            detail = f"{describe_error(error)} after {received} bytes of the body"
            return Err(Failure(FailureCause.UNKNOWN, detail=detail))


def _reject(call: _Call, answer: _Answer, failure: Failure) -> None:
    """Close the connection of an answer that is unreadable or to another call."""
    is_conflict = failure.cause is FailureCause.CONFLICT
    if answer.status not in _CHECKED_STATUSES or is_conflict:
        return
    _log(
        "answer is rejected",
        call=call.name,
        kind=call.kind,
        name=call.object_name,
        status=answer.status,
        detail=failure.detail,
    )
    answer.abort()


def _make_path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _make_object(name: str, spec: Any, version: int | None = None) -> dict[str, Any]:
    metadata: dict[str, Any] = {"name": name}
    if version is not None:
        metadata["revision"] = version
    return {"metadata": metadata, "spec": spec}


def _decode_answer(answer: _Answer, name: str | None) -> Result[bytes, Failure]:
    if answer.status in _SUCCESS_STATUSES:
        return Ok(answer.text)
    cause = _CAUSES_BY_STATUS.get(answer.status, FailureCause.UNKNOWN)
    detail = f"{answer.status} {answer.text[:200].decode(errors='replace')}"
    current = None
    if cause is FailureCause.CONFLICT:
        try:
            current = _read_conflict(answer.text, name)
        except ValueError as error:
            cause, detail = FailureCause.UNKNOWN, describe_error(error)
    return Err(Failure(cause, current, detail))


def _read_conflict(text: bytes, name: str | None) -> int | None:
    """Return the object's version that a conflict reports, or None if unreadable."""
    try:
        data = decode_members(text)
        version = _read_version(data)
    except DECODE_ERRORS:
        return None
    _check_name(data, name)
    return version


def _parse(read: Callable[[bytes], Value], text: bytes) -> Result[Value, Failure]:
    try:
        return Ok(read(text))
    except _CompactedError as error:
        return Err(Failure(FailureCause.COMPACTED, detail=describe_error(error)))
    except DECODE_ERRORS as error:
        detail = f"unreadable: {describe_error(error)}"
        return Err(Failure(FailureCause.UNKNOWN, detail=detail))


def _read_version(data: Mapping[str, Any]) -> int:
    return read_integer(split_members(data["metadata"])["revision"])


def _read_written(
    text: bytes, name: str, body: str, if_version: int | None, known: int
) -> int:
    """Return the version that a write led to; raise ValueError if it shows none.

    ``known`` is a revision that the store had before the write.
    """
    data = decode_members(text)
    _check_name(data, name)
    version, spec = _read_version(data), data.get("spec")
    # A write that changes nothing leaves the version as it is.
    if version <= known and version != if_version:
        raise ValueError(f"version {version} is not later than revision {known}")
    is_named = spec is not None and not isinstance(spec, Unreadable)
    if is_named and spec != orjson.loads(body):
        raise ValueError("the spec is not the one that was written")
    return version


def _check_deleted(text: bytes, name: str) -> None:
    """Raise ValueError if the answer to a deletion is one to another call."""
    data = decode_json(text).ok()
    if isinstance(data, dict):
        if "items" in data or "events" in data:
            raise ValueError("answer to another call")
        _check_name(data, name)


def _check_name(data: Mapping[str, Any], name: str | None) -> None:
    """Raise ValueError if an object has another name than the one of the call."""
    found = split_members(data.get("metadata", {})).get("name", name)
    if name is not None and found != name:
        raise ValueError(f"answer names {describe_value(found)}")


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


def _read_page(text: bytes, kind: str, known: int) -> _Page:
    """Return a page; ``known`` is a revision that the store had before the call."""
    data = decode_members(text)
    current = read_integer(data["current_rev"])
    if current < known:
        raise ValueError(f"revision {current} is older than {known}")
    elements = split_elements(data["items"])
    stored = read_each(_read_stored, elements, _make_skip(kind))
    has_more = bool(data["has_more"])
    if has_more and elements and not stored:
        raise ValueError("a page has no name after which to continue")
    return stored, current, has_more


def _read_changes(
    text: bytes, kind: str, after: int
) -> tuple[int, tuple[ObjectChange, ...]]:
    data = decode_members(text)
    current = read_integer(data["current_rev"])
    if current < after:
        raise _CompactedError(f"revision {current} is older than {after}")
    elements = split_elements(data["events"])
    changes = read_each(_read_change, elements, _make_skip(kind))
    return current, tuple(changes)


def _read_change(value: Any) -> ObjectChange:
    event = split_members(value)
    stored = _read_stored(event["object"])
    removed = bool(event["removed"])
    return ObjectChange(stored.name, stored.version, stored.body, removed)


def _make_skip(kind: str) -> Callable[[str], None]:
    return lambda error: _log("entry is left out", kind=kind, error=error)
