"""Split a stream of server-sent events and drop those already sent to the client."""

import re

__all__ = ["EventStream"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# The largest events have a few thousand bytes; a longer one is no event stream.
MAX_EVENT_BYTES = 64 * 2**10
# A line of an event: a field or a comment. Error texts and HTTP heads have others.
LINE = re.compile(rb"[A-Za-z][A-Za-z0-9_-]*:|:|(?:data|event|id|retry)$")


class EventStream:
    """Parser of one target's event stream.

    ``last`` is the id of the last event sent to the client, None before the first;
    ``events`` counts the complete events read; ``fault`` is why the stream is invalid,
    empty if it is valid. Events before an invalid one are passed on.
    """

    __slots__ = ("_new_events", "_partial_event", "events", "fault", "last")

    def __init__(self, last: int | None):
        self.last = last
        self.events = 0
        self.fault = ""
        self._new_events = 0
        self._partial_event = b""

    @property
    def is_complete(self) -> bool:
        """Return whether the stream is valid and ends with a complete new event."""
        return not self._partial_event and not self.fault and self._new_events > 0

    def feed(self, chunk: bytes) -> bytes:
        """Return the new events that a chunk completes, unchanged."""
        parts = (self._partial_event + chunk).split(EVENT_END)
        self._partial_event = parts.pop()
        if len(self._partial_event) > MAX_EVENT_BYTES:
            self.fault = f"an event is longer than {MAX_EVENT_BYTES} bytes"
        return b"".join(part + EVENT_END for part in parts if self._is_new(part))

    def _is_new(self, event: bytes) -> bool:
        if self.fault:
            return False
        self.events += 1
        event_id = self._parse_id(event)
        if event_id is None and self.last is not None:
            self.fault = self.fault or f"an event without an id: {event[:40]!r}"
        if self.fault:
            return False
        if self.last is not None and event_id is not None and event_id <= self.last:
            return False
        self.last = self.last if event_id is None else event_id
        self._new_events += 1
        return True

    def _parse_id(self, event: bytes) -> int | None:
        """Return the id of an event; set ``fault`` for a line that is no field."""
        event_id = None
        for line in event.split(b"\n"):
            if line and not LINE.match(line):
                self.fault = f"a line that is no field: {line[:40]!r}"
                return None
            if line.startswith(ID_FIELD):
                digits = line[len(ID_FIELD) :].strip()
                if not digits.isdigit():
                    self.fault = f"an unreadable event id: {digits[:40]!r}"
                    return None
                event_id = int(digits)
        return event_id
