"""Encode and decode what hosts tell each other, and publish, of streams' origins.

Datagrams hold remaining times and ages. A published text holds the wall time at which
it was written as well, so that hosts that start later know the times.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

import orjson

from galenapass.forwarding.service_versions import ServiceVersion, VersionRow
from galenapass.forwarding.stream_origins import StreamRecord
from galenapass.json_values import (
    DECODE_ERRORS,
    decode_json,
    describe_error,
    read_integer,
    read_number,
)
from galenapass.logs import make_log

__all__ = [
    "OriginQuery",
    "OriginReply",
    "PublishedOrigins",
    "StreamNotice",
    "decode_notice",
    "decode_published",
    "decode_query",
    "decode_reply",
    "encode_notice",
    "encode_published",
    "encode_query",
    "encode_reply",
    "split_notice",
]

MILLISECOND = timedelta(milliseconds=1)
# Records that fit into one datagram of usual size.
MAX_RECORDS = 24
# The time of day of two hosts may differ by this much.
CLOCK_TOLERANCE = timedelta(seconds=5)

_log = make_log("streams")


@dataclass(slots=True, frozen=True)
class StreamNotice:
    """Origins of streams that began at the sender."""

    records: tuple[StreamRecord, ...]


@dataclass(slots=True, frozen=True)
class OriginQuery:
    """Question at which version of which of some services a stream began."""

    stream: int
    services: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class OriginReply:
    """Answer to a query; ``origin`` is None if it is not known."""

    stream: int
    origin: ServiceVersion | None


@dataclass(slots=True, frozen=True)
class PublishedOrigins:
    """Streams that began at one host, and the versions that it saw.

    ``complete_epoch`` is the store's epoch if the versions were complete as they were
    written in it, else -1; None in texts of earlier builds.
    """

    records: Sequence[StreamRecord] = ()
    versions: Sequence[VersionRow] = ()
    complete_epoch: int | None = None


def split_notice(records: Sequence[StreamRecord]) -> list[StreamNotice]:
    """Return notices that fit into one datagram each."""
    return [
        StreamNotice(tuple(records[n : n + MAX_RECORDS]))
        for n in range(0, len(records), MAX_RECORDS)
    ]


def encode_notice(notice: StreamNotice, now: timedelta) -> list[Any]:
    """Return a notice as an array."""
    return _encode_records(notice.records, now)


def decode_notice(row: list[Any], now: timedelta) -> StreamNotice:
    """Return the notice of an array; raise an error if it is malformed."""
    return StreamNotice(tuple(_decode_records(row, now)))


def encode_query(query: OriginQuery, now: timedelta) -> list[Any]:
    """Return a query as an array."""
    return [query.stream, query.services]


def decode_query(row: list[Any], now: timedelta) -> OriginQuery:
    """Return the query of an array; raise an error if it is malformed."""
    stream, services = row
    return OriginQuery(read_integer(stream), tuple(map(str, services)))


def encode_reply(reply: OriginReply, now: timedelta) -> list[Any]:
    """Return a reply as an array."""
    return [reply.stream, _encode_origin(reply.origin)]


def decode_reply(row: list[Any], now: timedelta) -> OriginReply:
    """Return the reply of an array; raise an error if it is malformed."""
    stream, origin = row
    return OriginReply(read_integer(stream), _decode_origin(origin))


def encode_published(
    published: PublishedOrigins, wall: datetime, now: timedelta
) -> str:
    """Return what a host knows of streams as JSON."""
    versions = [
        [
            _encode_origin(row.origin),
            None if row.left_at is None else (now - row.left_at) // MILLISECOND,
        ]
        for row in published.versions
    ]
    data = {
        "written_at": wall.timestamp(),
        "versions": versions,
        "streams": _encode_records(published.records, now),
        "complete_epoch": published.complete_epoch,
    }
    return orjson.dumps(data).decode()


def decode_published(text: str, wall: datetime, now: timedelta) -> PublishedOrigins:
    """Return what a host published, nothing if it is malformed.

    Records are kept a little longer than they say, as wall clocks differ.
    """
    try:
        data = decode_json(text).unwrap_or_raise(ValueError)
        written_at = datetime.fromtimestamp(read_number(data["written_at"]), UTC)
        age = max(wall - written_at - CLOCK_TOLERANCE, timedelta(0))
        records = list(_decode_records(data["streams"], now - age))
        versions = [_decode_version(row, now) for row in data["versions"]]
        epoch = data.get("complete_epoch")
        complete_epoch = None if epoch is None else read_integer(epoch)
    except (*DECODE_ERRORS, OSError) as error:
        _log("published streams are unreadable", error=describe_error(error))
        return PublishedOrigins()
    return PublishedOrigins(records, versions, complete_epoch)


def _decode_version(row: list[Any], now: timedelta) -> VersionRow:
    origin, age = row
    decoded = _decode_origin(origin)
    if decoded is None:
        raise ValueError("a version names no service")
    # Without the time since it was written, the version counts as seen later.
    left_at = None if age is None else now - read_integer(age) * MILLISECOND
    return VersionRow(decoded, left_at)


def _encode_records(records: Iterable[StreamRecord], now: timedelta) -> list[list[Any]]:
    """Return the records grouped by origin."""
    groups: dict[ServiceVersion | None, list[list[int]]] = {}
    for record in records:
        left_ms = (record.until - now) // MILLISECOND
        groups.setdefault(record.origin, []).append([record.stream, left_ms])
    return [[_encode_origin(origin), rows] for origin, rows in groups.items()]


def _decode_records(row: list[Any], now: timedelta) -> Iterable[StreamRecord]:
    for origin, rows in row:
        decoded = _decode_origin(origin)
        for stream, left in rows:
            until = now + read_integer(left) * MILLISECOND
            yield StreamRecord(read_integer(stream), decoded, until)


def _encode_origin(origin: ServiceVersion | None) -> list[str] | None:
    return None if origin is None else [origin.service, origin.version]


def _decode_origin(row: list[Any] | None) -> ServiceVersion | None:
    if row is None:
        return None
    service, version = row
    return ServiceVersion(str(service), str(version))
