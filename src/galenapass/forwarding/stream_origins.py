"""Remember at which software version each stream began."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

import xxhash

from galenapass.forwarding.service_versions import ServiceVersion

__all__ = ["StreamOrigins", "StreamRecord", "digest_stream"]

# Several times the streams that are open at once in front of the largest fleet.
MAX_STREAMS = 32_768


@dataclass(slots=True, frozen=True)
class StreamRecord:
    """Origin of one stream, kept until its client has stopped waiting.

    ``stream`` is the digest of the attempt that brought its first event. ``origin`` is
    None if the id of that attempt was used for streams of two versions.
    """

    stream: int
    origin: ServiceVersion | None
    until: timedelta


class StreamOrigins:
    """Origins of the streams that began lately."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[int, StreamRecord] = {}

    def record(self, record: StreamRecord, now: timedelta) -> StreamRecord | None:
        """Merge a record with what is known; return it if that changes anything."""
        known = self.find(record.stream, now)
        if known is not None:
            origin = known.origin if known.origin == record.origin else None
            until = max(known.until, record.until)
            record = replace(record, origin=origin, until=until)
        if record == known or record.until <= now:
            return None
        self._records.pop(record.stream, None)
        self._records[record.stream] = record
        while len(self._records) > MAX_STREAMS:
            del self._records[next(iter(self._records))]
        return record

    def find(self, stream: int, now: timedelta) -> StreamRecord | None:
        """Return the record of a stream, None if it is not known."""
        record = self._records.get(stream)
        return record if record is not None and now < record.until else None

    def select(self, streams: Iterable[int], now: timedelta) -> list[StreamRecord]:
        """Return the records of those streams that are known."""
        found = (self.find(stream, now) for stream in streams)
        return [record for record in found if record is not None]

    def forget_ended(self, now: timedelta) -> None:
        """Drop the records of streams that nobody waits for any more."""
        ended = [name for name, record in self._records.items() if record.until <= now]
        for name in ended:
            del self._records[name]


def digest_stream(attempt: str) -> int:
    """Return the digest of an attempt's id, which clients choose at any length."""
    return xxhash.xxh3_64_intdigest(attempt.encode(errors="surrogateescape"))
