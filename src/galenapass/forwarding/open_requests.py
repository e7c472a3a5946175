"""Bound the requests in progress by their deadlines and by a planned stop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding.answer_times import AnswerTimes
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.slot_requests import Stage
from galenapass.forwarding.stop_times import StopTimes, find_latest_start
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["OpenRequests"]

# Another host can take the request at once, and only needs to be found.
RETRY_ELSEWHERE = timedelta(milliseconds=50)


class _OpenRequest:
    """Request with the timer that ends it.

    ``request`` is None while its body is on its way. ``next_stage`` is the stage that
    it waits for, None once nothing but the answer is left to wait for.
    """

    __slots__ = ("next_stage", "request", "timer")

    def __init__(
        self, request: ForwardedRequest | None = None, next_stage: Stage | None = None
    ):
        self.request = request
        self.next_stage = next_stage
        self.timer: asyncio.Timeout | None = None


class OpenRequests:
    """Requests in progress, each ended by a timer.

    While the host stops, a request that could not be answered in time is not started,
    and one that was started is ended before the process is.
    """

    def __init__(self, clock: Clock, answer_times: AnswerTimes):
        self._clock = clock
        self._answer_times = answer_times
        self._stop_times: StopTimes | None = None
        self._open: dict[ForwardedRequest, _OpenRequest] = {}
        self._bodies: set[_OpenRequest] = set()

    def begin_stop(self, times: StopTimes) -> None:
        """Bound the open requests and all later ones by a stop."""
        self._stop_times = times
        for entry in [*self._open.values(), *self._bodies]:
            self._set_timer(entry)

    @asynccontextmanager
    async def bound(
        self, request: ForwardedRequest, first_stage: Stage
    ) -> AsyncIterator[None]:
        """Raise TimeoutError when the request must end."""
        entry = self._open[request] = _OpenRequest(request, first_stage)
        try:
            async with asyncio.timeout(None) as entry.timer:
                self._set_timer(entry)
                yield
        finally:
            del self._open[request]

    @asynccontextmanager
    async def bound_body(self) -> AsyncIterator[None]:
        """Raise TimeoutError if a body is not whole as the answers of a stop end."""
        entry = _OpenRequest()
        self._bodies.add(entry)
        try:
            async with asyncio.timeout(None) as entry.timer:
                self._set_timer(entry)
                yield
        finally:
            self._bodies.discard(entry)

    def record_wait(self, request: ForwardedRequest, stage: Stage) -> None:
        """Record the stage that a request waits for."""
        self._change_stage(request, stage)

    def record_start(self, request: ForwardedRequest) -> None:
        """Record that a request is sent to a target that may run it."""
        self._change_stage(request, None)

    def may_start(self, request: ForwardedRequest) -> bool:
        """Return whether the stage that a request waits for may begin now."""
        end = self._find_end(self._open[request])
        return end is None or self._clock.monotonic() <= end

    def make_verdict(self, request: ForwardedRequest) -> Verdict:
        """Return the verdict for a request that had to end."""
        now = self._clock.monotonic()
        run = Run.MAY_HAVE_RUN if request.runs else Run.NOT_RUN
        if now >= request.deadline:
            detail = f"{request.sends} sends in {request.deadline - request.arrived}"
            return Verdict(run, Reason.DEADLINE_PASSED, detail)
        detail = f"this host stops, {request.sends} sends"
        return Verdict(run, Reason.STOPPING, detail, RETRY_ELSEWHERE)

    def _change_stage(self, request: ForwardedRequest, stage: Stage | None) -> None:
        entry = self._open[request]
        # A request that may have run is not refused any more.
        entry.next_stage = None if request.runs else stage
        if self._stop_times is not None:
            self._set_timer(entry)

    def _set_timer(self, entry: _OpenRequest) -> None:
        timer, end = entry.timer, self._find_end(entry)
        if timer is None or timer.expired() or end is None:
            return
        seconds = (end - self._clock.monotonic()).total_seconds()
        timer.reschedule(asyncio.get_running_loop().time() + max(seconds, 0))

    def _find_end(self, entry: _OpenRequest) -> timedelta | None:
        """Return when a request must end, None for a body that no stop bounds."""
        request, times = entry.request, self._stop_times
        if request is None:
            return None if times is None else times.answer_until
        if times is None or request.deadline <= times.answer_until:
            return request.deadline
        if entry.next_stage is None:
            return times.answer_until
        expected = self._answer_times.expect(request, entry.next_stage)
        return find_latest_start(times, expected)
