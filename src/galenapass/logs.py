"""Write short log sentences, each behind the fixed prefix of its part."""

import sys
from collections.abc import Callable
from typing import Any, TextIO

import eliot

__all__ = ["log_to", "make_log"]

Log = Callable[..., None]


def make_log(part: str) -> Log:
    """Return a function that logs a sentence and its fields for one part."""

    def log(sentence: str, **fields: Any) -> None:
        eliot.log_message(
            message_type=f"galenapass:{part}", text=f"{part}: {sentence}", **fields
        )

    return log


def log_to(stream: TextIO = sys.stderr) -> None:
    """Send every log line to a stream as one JSON object a line."""
    eliot.to_file(stream)
