"""Write log messages, each with the fixed prefix of its component."""

import os
import sys
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, TextIO

import eliot
import orjson

from galenapass.clocks import Clock

__all__ = ["BoundedLog", "add_log_stream", "make_log"]

# Average rate and burst of lines that a daemon may write. A request logs about four
# lines, and a host with half a core serves about 60 requests a second.
LINES_PER_SECOND = 400.0
MAX_BURST_LINES = 1200.0
# Lines queued while the descriptor is blocked; the oldest are dropped first.
MAX_QUEUED_LINES = 2000

Log = Callable[..., None]


def make_log(component: str) -> Log:
    """Return a function that logs a sentence and fields for one component."""

    def log(sentence: str, **fields: Any) -> None:
        eliot.log_message(
            message_type=f"galenapass:{component}",
            text=f"{component}: {sentence}",
            **fields,
        )

    return log


def add_log_stream(stream: TextIO = sys.stderr) -> None:
    """Write every log message to a stream as one JSON object per line."""
    eliot.to_file(stream)


class BoundedLog:
    """Rate-limited log that never blocks on the reader of its descriptor.

    Lines over the rate limit or the queue limit are dropped; the next line written
    reports their number in its ``left_out`` field.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_dropped",
        "_queue",
        "_refilled_at",
        "_tokens",
    )

    def __init__(self, descriptor: int, clock: Clock):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock.monotonic()
        self._dropped = 0
        self._queue: deque[bytes] = deque()

    def open(self) -> None:
        """Start receiving every log message."""
        eliot.add_destinations(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Write one line, or queue it until the descriptor is writable."""
        if not self._take_token():
            self._dropped += 1
            return
        if self._dropped:
            message = message | {"left_out": self._dropped}
            self._dropped = 0
        self._queue.append(orjson.dumps(message, default=str) + b"\n")
        while len(self._queue) > MAX_QUEUED_LINES:
            self._queue.popleft()
            self._dropped += 1
        self._flush()

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) / timedelta(seconds=1) * LINES_PER_SECOND
        self._tokens = min(self._tokens + refill, MAX_BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report it.
                self._queue.clear()
                return
            if written < len(line):
                self._queue[0] = line[written:]
                return
            self._queue.popleft()
