"""Write an engine's tokens to the connection that reads a request's stream."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import orjson

from stand_ins.engine_text import make_token

__all__ = ["Reader", "Stream", "StreamEncoder", "StreamOutcome"]

_PLACEHOLDER = "0"


class StreamOutcome(Enum):
    """Outcome of a stream for its waiting handlers and its reader."""

    STARTED = "started"
    FINISHED = "finished"
    DROPPED = "dropped"
    REPLACED = "replaced"
    NOT_RUN = "not run"


class StreamEncoder:
    """Encoder for the events of one stream, which differ only in their token."""

    __slots__ = ("_common_fields", "_final_choice", "_prefix", "_suffix")

    def __init__(self, request_id: str, model: str, chat: bool):
        event = _make_chat_event if chat else _make_text_event
        self._common_fields = {
            "id": request_id,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": 0,
            "model": model,
        }
        sample = orjson.dumps(
            {**self._common_fields, "choices": [event(_PLACEHOLDER, None)]}
        )
        # The request id may equal the placeholder, so split at its last occurrence.
        prefix, _, suffix = sample.rpartition(b'"0"')
        self._prefix = b"\ndata: " + prefix + b'"'
        self._suffix = b'"' + suffix + b"\n\n"
        self._final_choice = event("", "stop")

    def encode_token(self, number: int, token: bytes) -> bytes:
        """Return the event of one token."""
        return b"id: %d%b%b%b" % (number, self._prefix, token, self._suffix)

    def encode_end(self, prompt_tokens: int, output_tokens: int) -> bytes:
        """Return the event with the usage, followed by ``[DONE]``."""
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
        last = {**self._common_fields, "choices": [self._final_choice], "usage": usage}
        event = b"id: %d\ndata: %b\n\n" % (output_tokens + 1, orjson.dumps(last))
        return event + b"data: [DONE]\n\n"


def _make_chat_event(text: str, reason: str | None) -> dict[str, object]:
    delta = {"content": text} if reason is None else {}
    return {"index": 0, "delta": delta, "finish_reason": reason}


def _make_text_event(text: str, reason: str | None) -> dict[str, object]:
    return {"index": 0, "text": text, "finish_reason": reason}


@dataclass(slots=True)
class Reader:
    """Connection that reads a stream; ``last_sent`` is the last token number sent."""

    transport: asyncio.Transport
    last_sent: int
    result: asyncio.Future[StreamOutcome]
    events: int = 0

    def write(self, data: bytes) -> None:
        """Send one chunk of the HTTP body without flow control."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self, outcome: StreamOutcome) -> None:
        """Report the stream's outcome to the handler."""
        if not self.result.done():
            self.result.set_result(outcome)


@dataclass(slots=True)
class Stream:
    """Stream of one request, whose text is derived from its seed.

    ``started`` resolves to whether the request was started; ``waiting_handlers``
    counts the handlers that await it. ``produced`` is the last token generated.
    """

    request_id: str
    seed: int
    encoder: StreamEncoder
    prompt_tokens: int
    output_tokens: int
    produced: int
    fingerprint: int
    started: asyncio.Future[StreamOutcome]
    waiting_handlers: int = 0
    reader: Reader | None = None
    duplicate_events: bool = False

    @property
    def abandoned(self) -> bool:
        """Return whether the stream has neither a reader nor a waiting handler."""
        return self.reader is None and not self.waiting_handlers

    @property
    def finished(self) -> bool:
        """Return whether all tokens are generated."""
        return self.produced == self.output_tokens

    def attach(self, reader: Reader) -> None:
        """Replace the reader and send it the tokens that it lacks."""
        self.detach(StreamOutcome.REPLACED)
        self.reader = reader
        self._catch_up(reader)

    def detach(self, outcome: StreamOutcome) -> None:
        """Detach the current reader, if any."""
        if self.reader is not None:
            self.reader.finish(outcome)
            self.reader = None

    def report_start(self, outcome: StreamOutcome) -> None:
        """Report to the waiting handlers whether the request was started."""
        if not self.started.done():
            self.started.set_result(outcome)

    def close(self, outcome: StreamOutcome) -> None:
        """Report an outcome to the waiting handlers and detach the reader."""
        self.report_start(outcome)
        self.detach(outcome)

    def add_token(self, number: int) -> None:
        """Add the next token and send it to the reader; ignore any other number.

        A step may still deliver tokens of an earlier request with the same id, which
        was ended during the step and then sent again.
        """
        if number != self.produced + 1:
            return
        self.produced = number
        if self.reader is not None:
            self._catch_up(self.reader)

    def _catch_up(self, reader: Reader) -> None:
        numbers = range(reader.last_sent + 1, self.produced + 1)
        if numbers:
            reader.write(b"".join(map(self._encode_event, numbers)))
            reader.last_sent = self.produced
            reader.events += len(numbers)
        if self.finished:
            event = self.encoder.encode_end(self.prompt_tokens, self.output_tokens)
            reader.write(event)
            self.detach(StreamOutcome.FINISHED)

    def _encode_event(self, number: int) -> bytes:
        event = self.encoder.encode_token(number, make_token(self.seed, number))
        return event + event if self.duplicate_events else event
