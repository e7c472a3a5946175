"""Follow the numbered events of an engine's stream and drop repeated ones."""

import orjson

__all__ = ["DONE", "EventCursor"]

DONE = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
EVENT_BYTES = 1_000_000


class EventCursor:
    """Hold how far a stream has come, over all the targets that served it."""

    __slots__ = ("_last", "_next", "_rest", "delivered", "ended", "fault")

    def __init__(self) -> None:
        self.delivered = 0
        self.ended = False
        self.fault = ""
        self._last = b""
        self._next = b"id: 1\n"
        self._rest = b""

    @property
    def stopped(self) -> bool:
        """Tell whether the stream ended or cannot go on."""
        return self.ended or bool(self.fault)

    @property
    def complete(self) -> bool:
        """Tell whether the event that finishes the answer was taken."""
        return self.ended or _finishes(self._last)

    def restart(self) -> None:
        """Forget a broken stream and expect the next event from another one."""
        self._rest = b""
        self.fault = ""

    def feed(self, chunk: bytes) -> bytes:
        """Return the new whole events of a chunk as they are to be passed on."""
        # Nearly every chunk is the next events and no more: pass it on untouched.
        start = 0
        while not self._rest and chunk.startswith(self._next, start):
            end = chunk.find(EVENT_END, start)
            if end < 0:
                break
            end += len(EVENT_END)
            self._count(chunk[start:end])
            start = end
        if start == len(chunk):
            return chunk
        return chunk[:start] + self._take_parts(chunk[start:])

    def _count(self, event: bytes) -> None:
        self.delivered += 1
        self._last = event
        self._next = b"id: %d\n" % (self.delivered + 1)

    def _take_parts(self, chunk: bytes) -> bytes:
        *events, self._rest = (self._rest + chunk).split(EVENT_END)
        new = [event + EVENT_END for event in events if self._is_new(event)]
        if len(self._rest) > EVENT_BYTES:
            self.fault = f"an event is longer than {EVENT_BYTES} bytes"
        return b"".join(new)

    def _is_new(self, event: bytes) -> bool:
        if self.stopped or event.startswith(b":"):
            return False
        if event.startswith(b"id: "):
            return self._is_next(event)
        if event.startswith(b"data: [DONE]"):
            return self._is_end()
        self.fault = f"an event without an id: {event[:40]!r}"
        return False

    def _is_next(self, event: bytes) -> bool:
        digits = event[4 : event.find(b"\n")]
        if not digits.isdigit():
            self.fault = f"an unreadable event id: {digits[:40]!r}"
            return False
        number = int(digits)
        if number > self.delivered + 1:
            self.fault = f"event {number} came after event {self.delivered}"
        if number != self.delivered + 1:
            return False
        self._count(event + EVENT_END)
        return True

    def _is_end(self) -> bool:
        self.ended = self.complete
        if not self.ended:
            self.fault = f"the stream ended unfinished after event {self.delivered}"
        return self.ended


def _finishes(event: bytes) -> bool:
    _, found, data = event.partition(b"\ndata: ")
    if not found:
        return False
    try:
        choices = orjson.loads(data)["choices"]
        return any(choice.get("finish_reason") for choice in choices)
    except (ValueError, KeyError, TypeError, AttributeError):
        return False
