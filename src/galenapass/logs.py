"""Write short log sentences, each behind the fixed prefix of its part."""

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

# Lines a second that a daemon may write on average, and at once; a request has
# about four, and a host of half a core serves about 60 requests a second.
LINES_PER_SECOND = 400.0
MOST_LINES_AT_ONCE = 1200.0
# Lines that wait while nobody reads; the oldest go first.
MOST_WAITING = 2000

Log = Callable[..., None]


def make_log(part: str) -> Log:
    """Return a function that logs a sentence and its fields for one part."""

    def log(sentence: str, **fields: Any) -> None:
        eliot.log_message(
            message_type=f"galenapass:{part}", text=f"{part}: {sentence}", **fields
        )

    return log


def add_log_stream(stream: TextIO = sys.stderr) -> None:
    """Send every log line to a stream as one JSON object a line."""
    eliot.to_file(stream)


class BoundedLog:
    """Write lines to a descriptor without ever waiting for whoever reads it.

    What is over the rate, or cannot be written for long, is left out and counted
    in the next line that is written.
    """

    __slots__ = ("_clock", "_descriptor", "_filled", "_left_out", "_tokens", "_waiting")

    def __init__(self, descriptor: int, clock: Clock):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = MOST_LINES_AT_ONCE
        self._filled = clock.monotonic()
        self._left_out = 0
        self._waiting: deque[bytes] = deque()

    def open(self) -> None:
        """Take every log line from now on."""
        eliot.add_destinations(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Write one line, or keep it until the descriptor takes more."""
        if not self._spend():
            self._left_out += 1
            return
        if self._left_out:
            message = message | {"left_out": self._left_out}
            self._left_out = 0
        self._waiting.append(orjson.dumps(message, default=str) + b"\n")
        while len(self._waiting) > MOST_WAITING:
            self._waiting.popleft()
            self._left_out += 1
        self._flush()

    def _spend(self) -> bool:
        now = self._clock.monotonic()
        regained = (now - self._filled) / timedelta(seconds=1) * LINES_PER_SECOND
        self._tokens = min(self._tokens + regained, MOST_LINES_AT_ONCE)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
