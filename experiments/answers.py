"""Make requests whose whole answer is known, and read what came back."""

from typing import Any

import orjson

from stand_ins.engine_text import expected_text

__all__ = ["CHAT_PATH", "is_complete_answer", "join_text", "make_chat", "read_error"]

CHAT_PATH = "/v1/chat/completions"
MODEL = "juniper-8b"
DATA = b"data: "


def make_chat(content: str, tokens: int) -> dict[str, Any]:
    """Return the body of a streamed chat completion."""
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }


def join_text(answer: bytes) -> str:
    """Return the text that the events of a stream spell out."""
    return "".join(
        choice["delta"].get("content", "")
        for chunk in _read_chunks(answer)
        for choice in chunk.get("choices", ())
    )


def is_complete_answer(body: dict[str, Any], status: int, answer: bytes) -> bool:
    """Tell whether a stream is the whole answer to a body, to the byte."""
    ended = answer.endswith(DATA + b"[DONE]\n\n")
    return status == 200 and ended and join_text(answer) == expected_text(body)


def read_error(answer: bytes) -> dict[str, Any] | None:
    """Return the problem of a refusal or of a stream's error event, if any."""
    _, found, event = answer.rpartition(b"event: error\n" + DATA)
    text = event if found else answer
    return orjson.loads(text) if text.lstrip().startswith(b"{") else None


def _read_chunks(answer: bytes) -> list[dict[str, Any]]:
    lines = [line for line in answer.split(b"\n") if line.startswith(DATA + b"{")]
    return [orjson.loads(line.removeprefix(DATA)) for line in lines]
