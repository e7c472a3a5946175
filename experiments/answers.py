"""Make chat requests with a predictable response, and parse the responses."""

from typing import Any

import orjson

from stand_ins.engine_text import expected_text

__all__ = ["CHAT_PATH", "is_complete_answer", "join_text", "make_chat", "read_error"]

CHAT_PATH = "/v1/chat/completions"
MODEL = "juniper-8b"
DATA_PREFIX = b"data: "


def make_chat(content: str, tokens: int) -> dict[str, Any]:
    """Return the body of a streamed chat completion."""
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }


def join_text(response: bytes) -> str:
    """Return the text of all events of a streamed response, joined."""
    return "".join(
        choice["delta"].get("content", "")
        for chunk in _read_chunks(response)
        for choice in chunk.get("choices", ())
    )


def is_complete_answer(body: dict[str, Any], status: int, response: bytes) -> bool:
    """Return whether a streamed response is complete and its text as expected."""
    ended = response.endswith(DATA_PREFIX + b"[DONE]\n\n")
    return status == 200 and ended and join_text(response) == expected_text(body)


def read_error(response: bytes) -> dict[str, Any] | None:
    """Return the problem of an error response or a stream's error event, if any."""
    _, found, event = response.rpartition(b"event: error\n" + DATA_PREFIX)
    text = event if found else response
    return orjson.loads(text) if text.lstrip().startswith(b"{") else None


def _read_chunks(response: bytes) -> list[dict[str, Any]]:
    lines = [
        line for line in response.split(b"\n") if line.startswith(DATA_PREFIX + b"{")
    ]
    return [orjson.loads(line.removeprefix(DATA_PREFIX)) for line in lines]
