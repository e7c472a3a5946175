"""Assemble the events of a finished stream into one answer."""

from typing import Any

import orjson

from galenapass.callers.events import EVENT_END

__all__ = ["assemble_answer"]

OBJECTS = {
    "/v1/chat/completions": "chat.completion",
    "/v1/completions": "text_completion",
}
# Strings of these names come whole in each event; all others come in parts.
WHOLE = frozenset({"role", "id", "type", "finish_reason"})


def assemble_answer(path: str, stream: bytes) -> bytes:
    """Return the JSON answer that a whole stream spells out."""
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for event in stream.split(EVENT_END):
        _, found, data = event.partition(b"\ndata: ")
        if found:
            _add_chunk(answer, choices, orjson.loads(data))
    answer["object"] = OBJECTS[path]
    answer["choices"] = [choices[index] for index in sorted(choices)]
    return orjson.dumps(answer)


def _add_chunk(
    answer: dict[str, Any], choices: dict[int, dict[str, Any]], chunk: dict[str, Any]
) -> None:
    for part in chunk.pop("choices", ()):
        if "delta" in part:
            part["message"] = part.pop("delta")
        _merge(choices.setdefault(part.get("index", 0), {}), part)
    answer.update((name, value) for name, value in chunk.items() if value is not None)


def _merge(whole: dict[str, Any], part: dict[str, Any]) -> None:
    for name, value in part.items():
        known = whole.get(name)
        if value is None:
            continue
        elif isinstance(value, dict):
            _merge(whole.setdefault(name, {}), value)
        elif isinstance(known, str) and name not in WHOLE:
            whole[name] = known + value
        elif isinstance(known, list):
            _merge_lists(known, value)
        else:
            whole[name] = value


def _merge_lists(whole: list[Any], parts: list[Any]) -> None:
    for part in parts:
        index = part.get("index") if isinstance(part, dict) else None
        if isinstance(index, int) and index < len(whole):
            _merge(whole[index], part)
        else:
            whole.append(part)
