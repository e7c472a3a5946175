"""Write an engine's tokens to whoever reads a request's stream."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import orjson

from stand_ins.engine_text import make_token

__all__ = ["End", "Reader", "Stream", "StreamForm"]

_MARK = "0"


class End(Enum):
    """Name how a stream went on for its reader."""

    STARTED = "started"
    FINISHED = "finished"
    DROPPED = "dropped"
    REPLACED = "replaced"
    NOT_RUN = "not run"


class StreamForm:
    """Encode the events of one kind of completion; only the token differs."""

    __slots__ = ("_last", "_prefix", "_suffix", "_total")

    def __init__(self, request: str, model: str, chat: bool):
        event = _make_chat_event if chat else _make_text_event
        self._total = {
            "id": request,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": 0,
            "model": model,
        }
        whole = orjson.dumps({**self._total, "choices": [event(_MARK, None)]})
        # A request may be named like the mark, so only the last one is the token.
        prefix, _, suffix = whole.rpartition(b'"0"')
        self._prefix = b"\ndata: " + prefix + b'"'
        self._suffix = b'"' + suffix + b"\n\n"
        self._last = event("", "stop")

    def encode_token(self, number: int, token: bytes) -> bytes:
        """Return the event of one token."""
        return b"id: %d%b%b%b" % (number, self._prefix, token, self._suffix)

    def encode_end(self, prompt_tokens: int, output_tokens: int) -> bytes:
        """Return the event with the usage and the closing mark."""
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
        last = {**self._total, "choices": [self._last], "usage": usage}
        event = b"id: %d\ndata: %b\n\n" % (output_tokens + 1, orjson.dumps(last))
        return event + b"data: [DONE]\n\n"


def _make_chat_event(text: str, reason: str | None) -> dict[str, object]:
    delta = {"content": text} if reason is None else {}
    return {"index": 0, "delta": delta, "finish_reason": reason}


def _make_text_event(text: str, reason: str | None) -> dict[str, object]:
    return {"index": 0, "text": text, "finish_reason": reason}


@dataclass(slots=True)
class Reader:
    """Hold one connection that reads a stream; ``given`` is the last token sent."""

    transport: asyncio.Transport
    given: int
    ended: asyncio.Future[End]
    events: int = 0

    def write(self, data: bytes) -> None:
        """Send one chunk of the HTTP body, without waiting for the peer."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self, end: End) -> None:
        """Tell the handler how the stream ended."""
        if not self.ended.done():
            self.ended.set_result(end)


@dataclass(slots=True)
class Stream:
    """Hold the tokens of one request; the text follows from its seed.

    ``started`` tells waiting handlers whether the request was started at all;
    ``arriving`` counts those handlers.
    """

    request: str
    seed: int
    form: StreamForm
    prompt_tokens: int
    output_tokens: int
    produced: int
    fingerprint: int
    started: asyncio.Future[End]
    arriving: int = 0
    reader: Reader | None = None
    duplicates: bool = False

    @property
    def unread(self) -> bool:
        """Tell whether nobody reads the stream or is about to."""
        return self.reader is None and not self.arriving

    @property
    def finished(self) -> bool:
        """Tell whether the engine has made every token."""
        return self.produced == self.output_tokens

    def attach(self, reader: Reader) -> None:
        """Make a connection the only reader and bring it up to date."""
        self.detach(End.REPLACED)
        self.reader = reader
        self._catch_up(reader)

    def detach(self, end: End) -> None:
        """Leave the present reader, if any."""
        if self.reader is not None:
            self.reader.end(end)
            self.reader = None

    def start(self, end: End) -> None:
        """Tell the waiting handlers whether the request was started."""
        if not self.started.done():
            self.started.set_result(end)

    def stop(self, end: End) -> None:
        """Leave the reader and the waiting handlers."""
        self.start(end)
        self.detach(end)

    def give(self, number: int) -> None:
        """Add the next token and send it on; ignore any other.

        A step that was under way when the request was ended and sent again tells of
        tokens that this stream does not wait for.
        """
        if number != self.produced + 1:
            return
        self.produced = number
        if self.reader is not None:
            self._catch_up(self.reader)

    def _catch_up(self, reader: Reader) -> None:
        numbers = range(reader.given + 1, self.produced + 1)
        if numbers:
            reader.write(b"".join(map(self._encode, numbers)))
            reader.given = self.produced
            reader.events += len(numbers)
        if self.finished:
            end = self.form.encode_end(self.prompt_tokens, self.output_tokens)
            reader.write(end)
            self.detach(End.FINISHED)

    def _encode(self, number: int) -> bytes:
        event = self.form.encode_token(number, make_token(self.seed, number))
        return event + event if self.duplicates else event
