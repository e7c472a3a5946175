"""Track the numbered events of an engine's stream and drop duplicates."""

import orjson

__all__ = ["DONE", "EventCursor"]

DONE = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1_000_000


class EventCursor:
    """Position in a stream across all the targets that have served it."""

    __slots__ = (
        "_last_event",
        "_next_prefix",
        "_partial_event",
        "delivered",
        "ended",
        "error",
    )

    def __init__(self) -> None:
        self.delivered = 0
        self.ended = False
        self.error = ""
        self._last_event = b""
        self._next_prefix = b"id: 1\n"
        self._partial_event = b""

    @property
    def stopped(self) -> bool:
        """Return whether the stream ended or cannot continue because of an error."""
        return self.ended or bool(self.error)

    @property
    def complete(self) -> bool:
        """Return whether the event with the finish reason was accepted."""
        return self.ended or _has_finish_reason(self._last_event)

    def restart(self) -> None:
        """Discard a broken stream's partial event and error before the next attempt."""
        self._partial_event = b""
        self.error = ""

    def feed(self, chunk: bytes) -> bytes:
        """Return the new complete events of a chunk, ready to be forwarded."""
        # Fast path: nearly every chunk is exactly the next events; return it unchanged.
        start = 0
        while not self._partial_event and chunk.startswith(self._next_prefix, start):
            end = chunk.find(EVENT_END, start)
            if end < 0:
                break
            end += len(EVENT_END)
            self._record_event(chunk[start:end])
            start = end
        if start == len(chunk):
            return chunk
        return chunk[:start] + self._process_buffered(chunk[start:])

    def _record_event(self, event: bytes) -> None:
        self.delivered += 1
        self._last_event = event
        self._next_prefix = b"id: %d\n" % (self.delivered + 1)

    def _process_buffered(self, chunk: bytes) -> bytes:
        *events, self._partial_event = (self._partial_event + chunk).split(EVENT_END)
        accepted = [event + EVENT_END for event in events if self._accept(event)]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            self.error = f"an event is longer than {MAX_EVENT_BYTES} bytes"
        return b"".join(accepted)

    def _accept(self, event: bytes) -> bool:
        if self.stopped or event.startswith(b":"):
            return False
        if event.startswith(b"id: "):
            return self._accept_numbered(event)
        if event.startswith(b"data: [DONE]"):
            return self._accept_end()
        self.error = f"an event without an id: {event[:40]!r}"
        return False

    def _accept_numbered(self, event: bytes) -> bool:
        digits = event[4 : event.find(b"\n")]
        if not digits.isdigit():
            self.error = f"an unreadable event id: {digits[:40]!r}"
            return False
        number = int(digits)
        if number > self.delivered + 1:
            self.error = f"event {number} came after event {self.delivered}"
        if number != self.delivered + 1:
            return False
        self._record_event(event + EVENT_END)
        return True

    def _accept_end(self) -> bool:
        self.ended = self.complete
        if not self.ended:
            self.error = f"the stream ended unfinished after event {self.delivered}"
        return self.ended


def _has_finish_reason(event: bytes) -> bool:
    _, separator, data = event.partition(b"\ndata: ")
    if not separator:
        return False
    try:
        choices = orjson.loads(data)["choices"]
        return any(choice.get("finish_reason") for choice in choices)
    except (ValueError, KeyError, TypeError, AttributeError):
        return False
