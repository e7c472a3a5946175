"""Bound the requests in progress by their deadlines and by a planned stop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.forwarding.answer_times import AnswerTimes
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.slot_requests import Stage
from galenapass.forwarding.stop_times import (
    Certainty,
    LatestStart,
    StopTimes,
    find_latest_start,
)
from galenapass.logs import make_log
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["OpenRequests"]

# Another host can take the request at once, and only needs to be found.
RETRY_ELSEWHERE = timedelta(milliseconds=50)
MILLISECOND = timedelta(milliseconds=1)

_log = make_log("forwarding")


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
        except TimeoutError:
            is_open = self._clock.monotonic() < request.deadline
            if self._stop_times is not None and is_open and not request.runs:
                self._log_start("request is too late for the stop", entry)
            raise
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

    def record_start(
        self, request: ForwardedRequest, next_stage: Stage | None = None
    ) -> None:
        """Record that a request is sent to a target, and the stage that follows.

        Without one the target may run it.
        """
        if self._stop_times is not None:
            self._log_start("request begins in the stop", self._open[request])
        self._change_stage(request, next_stage)

    def may_start(self, request: ForwardedRequest) -> bool:
        """Return whether the stage that a request waits for may begin now."""
        entry = self._open[request]
        latest = self._find_latest_start(entry)
        if latest is None or self._clock.monotonic() <= latest.at:
            return True
        self._log_start("request is too late for the stop", entry)
        return False

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
        entry.next_stage = stage
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
        if times is None:
            return request.deadline
        latest = self._find_latest_start(entry)
        # A request that may have run is not refused any more.
        if latest is None or request.runs:
            return min(request.deadline, times.answer_until)
        return latest.at

    def _find_latest_start(self, entry: _OpenRequest) -> LatestStart | None:
        """Return when the stage that a request waits for must start in a stop.

        None if it waits for none, or ends by its deadline.
        """
        request, times = entry.request, self._stop_times
        if request is None or times is None or entry.next_stage is None:
            return None
        if request.deadline <= times.answer_until:
            return None
        expected = self._answer_times.expect(request, entry.next_stage)
        return find_latest_start(times, expected, _choose_certainty(request))

    def _log_start(self, sentence: str, entry: _OpenRequest) -> None:
        """Log what the latest start of a request in a stop follows from."""
        request, times = entry.request, self._stop_times
        assert request is not None and times is not None
        latest, now = self._find_latest_start(entry), self._clock.monotonic()
        duration = None if latest is None else latest.duration
        _log(
            sentence,
            request=request.id,
            stage=entry.next_stage.name if entry.next_stage else "",
            bound="deadline" if latest is None else latest.certainty.value,
            expected_ms=None if duration is None else duration // MILLISECOND,
            left_ms=(times.answer_until - now) // MILLISECOND,
            deadline_ms=(request.deadline - now) // MILLISECOND,
            runs=request.runs,
        )


def _choose_certainty(request: ForwardedRequest) -> Certainty:
    """Return how certain the end of a request that begins in a stop must be.

    Its client can repeat a call that is cut off, but neither one that may run only once
    nor a stream that has begun. One that may have run is lost in any case if it is not
    sent again.
    """
    if request.runs:
        return Certainty.LIKELY
    if request.may_repeat and not request.route.streams:
        return Certainty.USUAL
    return Certainty.BOUNDED
