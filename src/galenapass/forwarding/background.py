"""Run background tasks and log their failures."""

import asyncio
from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

from galenapass.logs import make_log

__all__ = ["BackgroundTasks", "keep_running", "run_in_steps"]

# Keeps a duty that always fails at once from using a whole processor.
RESTART_PAUSE_SECONDS = 0.5

Returned = TypeVar("Returned")


class BackgroundTasks:
    """Background tasks of one component.

    A task that fails is logged and does not affect the other tasks.
    """

    __slots__ = ("_log", "_tasks")

    def __init__(self, component: str):
        self._log = make_log(component)
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log("background task failed", error=repr(task.exception()))


async def run_in_steps(steps: Generator[None, None, Returned]) -> Returned:
    """Return what a long computation returns; other tasks run between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            returned: Returned = end.value
            return returned
        await asyncio.sleep(0)


async def keep_running(
    component: str,
    name: str,
    work: Callable[[], Coroutine[Any, Any, None]],
    on_failure: Callable[[str], None] = lambda name: None,
) -> None:
    """Run a duty until it returns or is cancelled; restart it when it raises.

    ``on_failure`` is called with the name of the duty after each failure.
    """
    log = make_log(component)
    while True:
        try:
            await work()
            return
        except Exception as error:
            log("duty failed and is restarted", duty=name, error=repr(error))
            on_failure(name)
        await asyncio.sleep(RESTART_PAUSE_SECONDS)
