"""Do work that no request waits for, and log what becomes of it."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from galenapass.logs import make_log

__all__ = ["BackgroundTasks", "keep_running"]

# A duty that fails at once each time must not take the whole processor.
RESTART_PAUSE_SECONDS = 0.5


class BackgroundTasks:
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


async def keep_running(
    part: str,
    name: str,
    work: Callable[[], Coroutine[Any, Any, None]],
    on_failure: Callable[[str], None] = lambda name: None,
) -> None:
    """Do a duty that goes on for ever; begin again when it fails unexpectedly."""
    log = make_log(part)
    while True:
        try:
            await work()
            return
        except Exception as error:
            log("a duty failed and begins again", duty=name, error=repr(error))
            on_failure(name)
        await asyncio.sleep(RESTART_PAUSE_SECONDS)
