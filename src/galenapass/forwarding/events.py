"""Split a stream of server-sent events and drop those that were already passed on."""

__all__ = ["EventStream"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# The largest event is a few thousand bytes; beyond this it is not a stream.
EVENT_BYTES = 1_000_000


class EventStream:
    """Hold how far one target's stream has come.

    ``last`` is the id of the last event that the client has, None before any.
    """

    __slots__ = ("_rest", "events", "fault", "last")

    def __init__(self, last: int | None):
        self.last = last
        self.events = 0
        self.fault = ""
        self._rest = b""

    @property
    def is_complete(self) -> bool:
        """Tell whether the stream stands at the end of an event."""
        return not self._rest and not self.fault and self.events > 0

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole new events of a chunk, unchanged."""
        parts = (self._rest + chunk).split(EVENT_END)
        self._rest = parts.pop()
        if len(self._rest) > EVENT_BYTES:
            self.fault = f"an event is longer than {EVENT_BYTES} bytes"
        return b"".join(part + EVENT_END for part in parts if self._is_new(part))

    def _is_new(self, event: bytes) -> bool:
        if self.fault:
            return False
        self.events += 1
        number = self._read_id(event)
        if number is None:
            return True
        if self.last is not None and number <= self.last:
            return False
        self.last = number
        return True

    def _read_id(self, event: bytes) -> int | None:
        for line in event.split(b"\n"):
            if line.startswith(ID_FIELD):
                digits = line[len(ID_FIELD) :].strip()
                if digits.isdigit():
                    return int(digits)
                self.fault = f"an unreadable event id: {digits[:40]!r}"
        return None
