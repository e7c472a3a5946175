"""Derive an engine's output from the prompt alone, so that all engines agree."""

from collections.abc import Mapping
from typing import Any

import orjson
import xxhash

__all__ = [
    "BLOCK_BYTES",
    "BYTES_PER_TOKEN",
    "count_output_tokens",
    "count_prompt_tokens",
    "expected_text",
    "hash_blocks",
    "make_seed",
    "make_token",
    "read_prompt",
]

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
HASH_BYTES = 8
TOKEN_MASK = 0xFFFFFF


def read_prompt(body: Mapping[str, Any]) -> bytes:
    """Return the prompt of a completion or chat completion body as bytes.

    A chat prompt is ``role: content`` of each message, joined by newlines; content
    that is not a string is encoded as JSON. Raises ValueError for any other body.
    """
    if "messages" in body:
        return "\n".join(map(_format_message, body["messages"])).encode()
    prompt = body.get("prompt")
    if not isinstance(prompt, str | list) or not prompt:
        raise ValueError(f"no prompt and no messages: {sorted(body)}")
    return _format_text(prompt).encode()


def _format_message(message: Mapping[str, Any]) -> str:
    return f"{message['role']}: {_format_text(message['content'])}"


def _format_text(value: Any) -> str:
    return value if isinstance(value, str) else orjson.dumps(value).decode()


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's full blocks."""
    blocks = []
    previous = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(previous.to_bytes(HASH_BYTES, "big") + block)
        blocks.append(previous)
    return tuple(blocks)


def count_prompt_tokens(prompt: bytes) -> int:
    """Return the number of prompt tokens, at least 1."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def count_output_tokens(body: Mapping[str, Any]) -> int:
    """Return the requested number of output tokens; the engine generates exactly it.

    Raises ValueError if it is not a positive integer.
    """
    count = body.get("max_completion_tokens") or body.get("max_tokens")
    if count is None:
        return DEFAULT_OUTPUT_TOKENS
    if not isinstance(count, int) or count < 1:
        raise ValueError(f"max_tokens is no positive integer: {count!r}")
    return count


def make_seed(prompt: bytes) -> int:
    """Return the seed for all output tokens of a prompt."""
    return xxhash.xxh64_intdigest(prompt)


def make_token(seed: int, number: int) -> bytes:
    """Return token ``number``, from 1, as ASCII without JSON escapes."""
    value = xxhash.xxh64_intdigest(number.to_bytes(HASH_BYTES, "big"), seed)
    return b" %06x" % (value & TOKEN_MASK)


def expected_text(body: Mapping[str, Any]) -> str:
    """Return the full output text of any engine for a request body."""
    seed = make_seed(read_prompt(body))
    numbers = range(1, count_output_tokens(body) + 1)
    return b"".join(make_token(seed, number) for number in numbers).decode()
