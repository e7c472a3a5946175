"""Do work that no request waits for, and log what becomes of it."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from galenapass.logs import make_log

__all__ = ["Background"]


class Background:
    """Hold the tasks of one part; one that fails ends alone, with a log line."""

    __slots__ = ("_log", "_tasks")

    def __init__(self, part: str):
        self._log = make_log(part)
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin a piece of work."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log("work in the background failed", error=repr(task.exception()))
