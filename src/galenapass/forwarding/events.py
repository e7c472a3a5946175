"""Split a stream of server-sent events and drop those already sent to the client."""

__all__ = ["EventStream"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# The largest events have a few thousand bytes; a longer one is no event stream.
MAX_EVENT_BYTES = 1_000_000


class EventStream:
    """Parser of one target's event stream.

    ``last`` is the id of the last event sent to the client, None before the first;
    ``events`` counts the complete events read; ``fault`` is why the stream is invalid,
    empty if it is valid.
    """

    __slots__ = ("_partial_event", "events", "fault", "last")

    def __init__(self, last: int | None):
        self.last = last
        self.events = 0
        self.fault = ""
        self._partial_event = b""

    @property
    def is_complete(self) -> bool:
        """Return whether the stream is valid and ends with a complete event."""
        return not self._partial_event and not self.fault and self.events > 0

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
        if event_id is None:
            return True
        if self.last is not None and event_id <= self.last:
            return False
        self.last = event_id
        return True

    def _parse_id(self, event: bytes) -> int | None:
        for line in event.split(b"\n"):
            if line.startswith(ID_FIELD):
                digits = line[len(ID_FIELD) :].strip()
                if digits.isdigit():
                    return int(digits)
                self.fault = f"an unreadable event id: {digits[:40]!r}"
        return None
