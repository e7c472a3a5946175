"""Encode and decode what hosts tell each other of the usage of organisations.

Times are microseconds: true times since 1970, others on the sender's boot clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from galenapass.forwarding.usage_counts import SourceCounts
from galenapass.forwarding.usage_evidence import Evidence, Restore
from galenapass.json_values import read_integer, read_name

__all__ = [
    "UsageNotice",
    "UsageReply",
    "UsageRow",
    "decode_counts",
    "decode_evidence",
    "decode_notice",
    "decode_reply",
    "encode_counts",
    "encode_evidence",
    "encode_notice",
    "encode_reply",
]

MICROSECOND = timedelta(microseconds=1)

# Window, organisation and the requests that began so far.
UsageRow = tuple[int, str, int]


@dataclass(slots=True, frozen=True)
class UsageNotice:
    """Counts of the sender's process that began at ``start``.

    All counts up to ``through`` are in this notice or earlier ones. ``own_clock`` is
    the sender's wall clock without its steps, ``sent_at`` its boot clock.
    """

    start: int
    sequence: int
    sent_at: timedelta
    own_clock: timedelta
    through: timedelta
    rows: tuple[UsageRow, ...]


@dataclass(slots=True, frozen=True)
class UsageReply:
    """Reply to a notice, with the true time as the replying process knows it."""

    start: int
    sequence: int
    sent_at: timedelta
    time: timedelta
    weight: int


def encode_notice(notice: UsageNotice, now: timedelta) -> list[Any]:
    """Return a notice as an array."""
    times = (notice.sent_at, notice.own_clock, notice.through)
    return [notice.start, notice.sequence, *map(_encode_time, times), notice.rows]


def decode_notice(row: list[Any], now: timedelta) -> UsageNotice:
    """Return the notice of an array; raise an error if it is malformed."""
    start, sequence, sent_at, own_clock, through, rows = row[:6]
    return UsageNotice(
        read_integer(start),
        read_integer(sequence),
        _decode_time(sent_at),
        _decode_time(own_clock),
        _decode_time(through),
        tuple(
            (read_integer(window), read_name(name), read_integer(count))
            for window, name, count in rows
        ),
    )


def encode_reply(reply: UsageReply, now: timedelta) -> list[Any]:
    """Return a reply as an array."""
    times = (reply.sent_at, reply.time)
    return [reply.start, reply.sequence, *map(_encode_time, times), reply.weight]


def decode_reply(row: list[Any], now: timedelta) -> UsageReply:
    """Return the reply of an array; raise an error if it is malformed."""
    start, sequence, sent_at, time, weight = row[:5]
    return UsageReply(
        read_integer(start),
        read_integer(sequence),
        _decode_time(sent_at),
        _decode_time(time),
        read_integer(weight),
    )


def encode_counts(sources: Iterable[SourceCounts]) -> list[Any]:
    """Return the counts of sources as an array."""
    return [
        [*item.source, _encode_time(item.through), list(item.counts.items())]
        for item in sources
    ]


def decode_counts(rows: list[Any]) -> list[SourceCounts]:
    """Return the counts of an array; raise an error if it is malformed."""
    return [
        SourceCounts(
            (read_name(host), read_integer(start)),
            _decode_time(through),
            {
                read_integer(window): {
                    read_name(name): read_integer(count)
                    for name, count in counts.items()
                }
                for window, counts in windows
            },
        )
        for host, start, through, windows in rows
    ]


def encode_evidence(evidence: Evidence) -> dict[str, Any]:
    """Return the fields that tell what is known of the reports that were sent."""
    fields: dict[str, Any] = {
        "written": evidence.written,
        "complete_until": _encode_time(evidence.complete_until),
    }
    if evidence.restore is not None:
        seen_at = _encode_time(evidence.restore.seen_at)
        fields["restore"] = [evidence.restore.epoch, seen_at]
    return fields


def decode_evidence(fields: dict[str, Any]) -> Evidence:
    """Return what is known of the reports; raise an error if it is malformed.

    Earlier builds tell at most the last window that was written.
    """
    restore = None
    if "restore" in fields:
        epoch, seen_at = fields["restore"][:2]
        restore = Restore(read_integer(epoch), _decode_time(seen_at))
    return Evidence(
        read_integer(fields.get("written", -1)),
        _decode_time(fields.get("complete_until", 0)),
        restore,
    )


def _encode_time(time: timedelta) -> int:
    return time // MICROSECOND


def _decode_time(value: Any) -> timedelta:
    return read_integer(value) * MICROSECOND
