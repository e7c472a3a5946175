"""Parse completion bodies and estimate their prompt and output sizes."""

import asyncio
import hashlib
from dataclasses import dataclass
from typing import Any

import orjson
import xxhash
from aiohttp import web
from result import Err, Ok, Result

from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "Completion",
    "StoppingError",
    "fingerprint_call",
    "hash_blocks",
    "read_body",
    "read_completion",
]

BLOCK_BYTES = 256
MAX_BLOCKS = 64
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
LENGTH_FIELDS = ("max_completion_tokens", "max_tokens")
STREAM_FIELDS = ("stream", "stream_options")


@dataclass(slots=True, frozen=True)
class Completion:
    """Validated completion body and its estimated prompt and output sizes in tokens."""

    model: str
    stream: bool
    fields: dict[str, Any]
    prompt: bytes
    output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Return the estimated length of the prompt in tokens."""
        return -(-len(self.prompt) // BYTES_PER_TOKEN)

    def encode(self, model: str) -> bytes:
        """Return the body for an engine, which always requests a stream."""
        return orjson.dumps({**self.fields, "model": model, "stream": True})

    def fingerprint(self, caller: str, path: str) -> str:
        """Return a fingerprint that is the same for a resend of the same body."""
        fields = {k: v for k, v in self.fields.items() if k not in STREAM_FIELDS}
        body = orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)
        return fingerprint_call(caller, path, body)


class StoppingError(Exception):
    """Refusal of a request whose body was not read before the daemon stops."""


async def read_body(
    request: web.Request, limits: Limits, streams: OpenStreams
) -> bytes:
    """Return the whole body; raise 408 if it is too slow and 413 if it is too large.

    Raise StoppingError if the daemon stops before the body is whole.
    """
    if streams.stopping:
        raise StoppingError
    try:
        async with asyncio.timeout(limits.body_timeout.total_seconds()) as timeout:
            with streams.watch_body(timeout):
                return await request.read()
    except TimeoutError:
        if streams.stopping:
            raise StoppingError from None
        detail = f"no whole body within {limits.body_timeout.total_seconds():g} s"
        raise web.HTTPRequestTimeout(text=detail) from None


def read_completion(path: str, body: bytes) -> Result[Completion, Verdict]:
    """Parse a completion body and validate the fields that routing needs."""
    try:
        fields = orjson.loads(body)
    except ValueError as error:
        return _reject(f"the body is not JSON: {error}")
    if not isinstance(fields, dict):
        return _reject("the body is not a JSON object")
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        return _reject(f"model is not a name: {model!r:.40}")
    stream = fields.get("stream") or False
    if not isinstance(stream, bool):
        return _reject(f"stream is not true or false: {stream!r:.40}")
    output = _read_output_limit(fields)
    if output is None:
        return _reject(f"max_tokens is not between 1 and {MAX_OUTPUT_TOKENS}")
    prompt = _PROMPT_READERS[path](fields)
    if prompt is None:
        return _reject("no usable prompt or messages")
    return Ok(Completion(model, stream, fields, prompt, output))


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the leading full blocks of a prompt."""
    blocks: list[int] = []
    previous = 0
    end = min(len(prompt), MAX_BLOCKS * BLOCK_BYTES)
    for start in range(0, end - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(previous.to_bytes(8, "big") + block)
        blocks.append(previous)
    return tuple(blocks)


def fingerprint_call(caller: str, path: str, body: bytes) -> str:
    """Return a fingerprint of a caller, a path and a body."""
    head = orjson.dumps([caller, path])
    return hashlib.sha256(head + body).hexdigest()


def _reject(detail: str) -> Err[Verdict]:
    return Err(Verdict(Run.NOT_RUN, Reason.MALFORMED, detail))


def _read_output_limit(fields: dict[str, Any]) -> int | None:
    limits = [fields[name] for name in LENGTH_FIELDS if fields.get(name) is not None]
    if not limits:
        return DEFAULT_OUTPUT_TOKENS
    length = limits[0]
    if type(length) is not int or not 1 <= length <= MAX_OUTPUT_TOKENS:
        return None
    return length


def _read_messages(fields: dict[str, Any]) -> bytes | None:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    texts = [_read_message(message) for message in messages]
    return "\n".join(texts).encode() if all(texts) else None


def _read_message(message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        return ""
    content = message.get("content")
    if not isinstance(content, str):
        content = orjson.dumps(content).decode()
    return f"{message['role']}: {content}"


def _read_prompt(fields: dict[str, Any]) -> bytes | None:
    prompt = fields.get("prompt")
    if isinstance(prompt, str):
        return prompt.encode()
    if isinstance(prompt, list) and prompt:
        return orjson.dumps(prompt)
    return None


_PROMPT_READERS = {
    "/v1/chat/completions": _read_messages,
    "/v1/completions": _read_prompt,
}
