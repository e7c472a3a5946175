"""Assemble the events of a completed stream into one JSON answer."""

from typing import Any

import orjson

from galenapass.callers.events import EVENT_END

__all__ = ["assemble_answer"]

OBJECT_TYPES = {
    "/v1/chat/completions": "chat.completion",
    "/v1/completions": "text_completion",
}
# Each event holds the whole string of these fields; other strings come in fragments.
UNSPLIT_FIELDS = frozenset({"role", "id", "type", "finish_reason"})


def assemble_answer(path: str, stream: bytes) -> bytes:
    """Return the JSON answer to which the events of a complete stream add up."""
    answer: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for event in stream.split(EVENT_END):
        _, separator, data = event.partition(b"\ndata: ")
        if separator:
            _add_chunk(answer, choices, orjson.loads(data))
    answer["object"] = OBJECT_TYPES[path]
    answer["choices"] = [choices[index] for index in sorted(choices)]
    return orjson.dumps(answer)


def _add_chunk(
    answer: dict[str, Any], choices: dict[int, dict[str, Any]], chunk: dict[str, Any]
) -> None:
    for choice in chunk.pop("choices", ()):
        if "delta" in choice:
            choice["message"] = choice.pop("delta")
        _merge(choices.setdefault(choice.get("index", 0), {}), choice)
    answer.update((name, value) for name, value in chunk.items() if value is not None)


def _merge(merged: dict[str, Any], fragment: dict[str, Any]) -> None:
    for name, value in fragment.items():
        existing = merged.get(name)
        if value is None:
            continue
        elif isinstance(value, dict):
            _merge(merged.setdefault(name, {}), value)
        elif isinstance(existing, str) and name not in UNSPLIT_FIELDS:
            merged[name] = existing + value
        elif isinstance(existing, list):
            _merge_lists(existing, value)
        else:
            merged[name] = value


def _merge_lists(merged: list[Any], fragments: list[Any]) -> None:
    for fragment in fragments:
        index = fragment.get("index") if isinstance(fragment, dict) else None
        if isinstance(index, int) and index < len(merged):
            _merge(merged[index], fragment)
        else:
            merged.append(fragment)
