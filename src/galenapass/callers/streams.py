"""Track open requests, abort stalled attempts and wait until all have ended."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from galenapass.callers.limits import Limits
from galenapass.tables.requests import Request
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["OpenAttempt", "OpenStreams"]

SWEEP_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class OpenAttempt:
    """Open attempt at a target; its request's task reroutes it after an abort.

    ``last_delivered`` is the last event that a sweep saw delivered,
    ``last_progress_at`` the time of that sweep in seconds of the event loop's clock.
    """

    request: Request
    timeout: asyncio.Timeout
    is_write_blocked: Callable[[], bool]
    last_delivered: int = -1
    last_progress_at: float = 0.0
    cause: Verdict | None = None

    def abort(self, cause: Verdict) -> None:
        """End the attempt at once with a cause."""
        self.cause = cause
        self.timeout.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class OpenStreams:
    """Open requests, attempts and background tasks of one daemon."""

    limits: Limits = field(default_factory=Limits)
    requests: int = 0
    stopping: bool = False
    _attempts: dict[str, OpenAttempt] = field(default_factory=dict)
    _calls: dict[str, OpenAttempt] = field(default_factory=dict)
    _abort_cause: Verdict | None = None
    _bodies: set[asyncio.Timeout] = field(default_factory=set)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _idle: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def count(self) -> int:
        """Return the number of open requests and background tasks."""
        return self.requests + len(self._tasks)

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request as open while the block runs."""
        self.requests += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.requests -= 1
            self._signal_if_idle()

    @contextmanager
    def watch_attempt(self, attempt: OpenAttempt) -> Iterator[None]:
        """Register an attempt for sweeps and ``abort_attempt`` while the block runs."""
        self._attempts[attempt.request.id] = attempt
        self._abort_late(attempt)
        try:
            yield
        finally:
            del self._attempts[attempt.request.id]

    @contextmanager
    def watch_call(self, attempt: OpenAttempt) -> Iterator[None]:
        """Register a call, which only ``abort_all_attempts`` ends, during the block."""
        self._calls[attempt.request.id] = attempt
        self._abort_late(attempt)
        try:
            yield
        finally:
            del self._calls[attempt.request.id]

    @contextmanager
    def watch_body(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Let ``refuse_bodies`` end a timeout while the block reads a body."""
        self._bodies.add(timeout)
        try:
            yield
        finally:
            self._bodies.remove(timeout)

    def refuse_bodies(self) -> None:
        """Refuse the requests whose bodies are on their way, and all that follow."""
        self.stopping = True
        now = asyncio.get_running_loop().time()
        for timeout in self._bodies:
            timeout.reschedule(now)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine as a background task, which ``wait_idle`` waits for."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._remove_task)
        return task

    async def wait_idle(self) -> None:
        """Wait until no request or background task is open."""
        while self.count:
            await self._idle.wait()

    def abort_attempt(self, request_id: str, cause: Verdict) -> bool:
        """Abort a request's open attempt; return False if none or not idempotent.

        The request is rerouted and its stream resumes after the last delivered event.
        """
        attempt = self._attempts.get(request_id)
        if attempt is None or not attempt.request.idempotent:
            return False
        attempt.abort(cause)
        return True

    def abort_all_attempts(self, cause: Verdict) -> None:
        """End every open attempt at once with a cause, and all that begin later."""
        self._abort_cause = cause
        for attempt in [*self._attempts.values(), *self._calls.values()]:
            attempt.abort(cause)

    async def run_sweeps(self) -> None:
        """Abort stalled attempts once per sweep interval until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            for attempt in list(self._attempts.values()):
                self._abort_if_stalled(attempt, loop.time())

    def _abort_if_stalled(self, attempt: OpenAttempt, now: float) -> None:
        if attempt.last_delivered != attempt.request.delivered:
            attempt.last_delivered = attempt.request.delivered
            attempt.last_progress_at = now
        if attempt.cause is not None or not attempt.last_delivered:
            return
        stalled_seconds = now - attempt.last_progress_at
        if attempt.is_write_blocked():
            if stalled_seconds > self.limits.write_timeout.total_seconds():
                attempt.abort(_CALLER_STALLED)
        elif stalled_seconds > self.limits.silence_timeout.total_seconds():
            attempt.abort(_TARGET_SILENT)

    def _abort_late(self, attempt: OpenAttempt) -> None:
        if self._abort_cause is not None:
            attempt.abort(self._abort_cause)

    def _remove_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        self._signal_if_idle()

    def _signal_if_idle(self) -> None:
        if not self.count:
            self._idle.set()


_CALLER_STALLED = Verdict(
    Run.MAY_HAVE_RUN, Reason.CANCELLED, "the caller does not read its stream"
)
_TARGET_SILENT = Verdict(
    Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE, "the target fell silent"
)
