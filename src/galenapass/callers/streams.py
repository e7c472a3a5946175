"""Count open work, break off what stands still and wait for the rest to end."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from galenapass.callers.limits import Limits
from galenapass.tables.requests import Request
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["OpenStream", "OpenStreams"]

SWEEP_SECONDS = 1.0


@dataclass(slots=True)
class OpenStream:
    """Hold one attempt at a target; moving it on is up to its request's task.

    ``seen`` is the last event that a sweep noticed, ``seen_at`` when, in seconds
    of the event loop's clock.
    """

    request: Request
    timeout: asyncio.Timeout
    write_blocked: Callable[[], bool]
    seen: int = -1
    seen_at: float = 0.0
    cause: Verdict | None = None

    def abort_attempt(self, cause: Verdict) -> None:
        """Make the attempt end with a cause at once."""
        self.cause = cause
        self.timeout.reschedule(asyncio.get_running_loop().time())


@dataclass(slots=True)
class OpenStreams:
    """Hold the open attempts and the calls that go on without their callers."""

    limits: Limits = field(default_factory=Limits)
    requests: int = 0
    _attempts: dict[str, OpenStream] = field(default_factory=dict)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _idle: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def count(self) -> int:
        """Return how many requests and background calls are under way."""
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
            self._note_end()

    @contextmanager
    def watch_attempt(self, stream: OpenStream) -> Iterator[None]:
        """Let sweeps and ``abort_attempt`` see an attempt while the block runs."""
        self._attempts[stream.request.id] = stream
        try:
            yield
        finally:
            del self._attempts[stream.request.id]

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work that outlives its caller; a stop waits for it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        self._idle.clear()
        task.add_done_callback(self._forget_task)
        return task

    async def wait_idle(self) -> None:
        """Wait until nothing is open."""
        while self.count:
            await self._idle.wait()

    def abort_attempt(self, request_id: str, cause: Verdict) -> bool:
        """Make an idempotent request leave its target; False when it cannot.

        The request is routed again and its stream resumed where it stood.
        """
        stream = self._attempts.get(request_id)
        if stream is None or not stream.request.idempotent:
            return False
        stream.abort_attempt(cause)
        return True

    def abort_all_attempts(self, cause: Verdict) -> None:
        """Make every open attempt end with a cause at once."""
        for stream in self._attempts.values():
            stream.abort_attempt(cause)

    async def sweep_forever(self) -> None:
        """Break off the streams that stand still, once a second."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            for stream in list(self._attempts.values()):
                self._sweep(stream, loop.time())

    def _sweep(self, stream: OpenStream, now: float) -> None:
        if stream.seen != stream.request.delivered:
            stream.seen = stream.request.delivered
            stream.seen_at = now
        if stream.cause is not None or not stream.seen:
            return
        still = now - stream.seen_at
        if stream.write_blocked():
            if still > self.limits.write_timeout.total_seconds():
                stream.abort_attempt(_SLOW_CALLER)
        elif still > self.limits.silence_timeout.total_seconds():
            stream.abort_attempt(_SILENT_TARGET)

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        self._note_end()

    def _note_end(self) -> None:
        if not self.count:
            self._idle.set()


_SLOW_CALLER = Verdict(
    Run.MAY_HAVE_RUN, Reason.CANCELLED, "the caller does not read its stream"
)
_SILENT_TARGET = Verdict(
    Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE, "the target fell silent"
)
