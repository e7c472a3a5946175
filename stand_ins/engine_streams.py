"""Write an engine's tokens to whoever reads a request's stream."""

import asyncio
from dataclasses import dataclass
from enum import Enum

import orjson

from stand_ins.engine_text import make_token

__all__ = ["StreamOutcome", "Reader", "Stream", "StreamForm"]

_PLACEHOLDER = "0"


class StreamOutcome(Enum):
    """Name how a stream went on for its reader."""

    STARTED = "started"
    FINISHED = "finished"
    DROPPED = "dropped"
    REPLACED = "replaced"
    NOT_RUN = "not run"


class StreamForm:
    """Encode the events of one kind of completion; only the token differs."""

    __slots__ = ("_final_choice", "_prefix", "_suffix", "_common_fields")

    def __init__(self, request_id: str, model: str, chat: bool):
        event = _make_chat_event if chat else _make_text_event
        self._common_fields = {
            "id": request_id,
            "object": "chat.completion.chunk" if chat else "text_completion",
            "created": 0,
            "model": model,
        }
        whole = orjson.dumps(
            {**self._common_fields, "choices": [event(_PLACEHOLDER, None)]}
        )
        # A request may be named like the mark, so only the last one is the token.
        prefix, _, suffix = whole.rpartition(b'"0"')
        self._prefix = b"\ndata: " + prefix + b'"'
        self._suffix = b'"' + suffix + b"\n\n"
        self._final_choice = event("", "stop")

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
    """Hold one connection that reads a stream; ``last_sent`` is the last token sent."""

    transport: asyncio.Transport
    last_sent: int
    result: asyncio.Future[StreamOutcome]
    events: int = 0

    def write(self, data: bytes) -> None:
        """Send one chunk of the HTTP body, without waiting for the peer."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self, outcome: StreamOutcome) -> None:
        """Tell the handler how the stream ended."""
        if not self.result.done():
            self.result.set_result(outcome)


@dataclass(slots=True)
class Stream:
    """Hold the tokens of one request; the text follows from its seed.

    ``started`` tells waiting handlers whether the request was started at all;
    ``waiting_handlers`` counts those handlers.
    """

    request_id: str
    seed: int
    form: StreamForm
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
        """Tell whether nobody reads the stream or is about to."""
        return self.reader is None and not self.waiting_handlers

    @property
    def finished(self) -> bool:
        """Tell whether the engine has made every token."""
        return self.produced == self.output_tokens

    def attach(self, reader: Reader) -> None:
        """Make a connection the only reader and bring it up to date."""
        self.detach(StreamOutcome.REPLACED)
        self.reader = reader
        self._catch_up(reader)

    def detach(self, outcome: StreamOutcome) -> None:
        """Leave the present reader, if any."""
        if self.reader is not None:
            self.reader.finish(outcome)
            self.reader = None

    def report_start(self, outcome: StreamOutcome) -> None:
        """Tell the waiting handlers whether the request was started."""
        if not self.started.done():
            self.started.set_result(outcome)

    def close(self, outcome: StreamOutcome) -> None:
        """Leave the reader and the waiting handlers."""
        self.report_start(outcome)
        self.detach(outcome)

    def add_token(self, number: int) -> None:
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
        numbers = range(reader.last_sent + 1, self.produced + 1)
        if numbers:
            reader.write(b"".join(map(self._encode_event, numbers)))
            reader.last_sent = self.produced
            reader.events += len(numbers)
        if self.finished:
            event = self.form.encode_end(self.prompt_tokens, self.output_tokens)
            reader.write(event)
            self.detach(StreamOutcome.FINISHED)

    def _encode_event(self, number: int) -> bytes:
        event = self.form.encode_token(number, make_token(self.seed, number))
        return event + event if self.duplicate_events else event
