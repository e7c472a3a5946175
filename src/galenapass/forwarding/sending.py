"""Run one request at one target and pass its answer on while it comes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

import aiohttp
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import retries
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.events import EventStream
from galenapass.forwarding.interfaces import Sink, TargetClient
from galenapass.forwarding.progress import Progress, ProgressTimeouts
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.routes import Repeat
from galenapass.forwarding.slot_client import Slot
from galenapass.forwarding.slot_requests import Outcome
from galenapass.forwarding.suspects import CrashSuspects
from galenapass.forwarding.target_messages import ClientRequest, TargetResponse
from galenapass.logs import make_log
from galenapass.tables.targets import Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Send", "Sender", "judge_outcome"]

MILLISECOND = timedelta(milliseconds=1)
# The largest answer that is held until it is whole, so that half of one is never
# passed on as an answer.
ANSWER_BYTES = 8 * 2**20

T = TypeVar("T")

_log = make_log("forwarding")
_BROKEN = (aiohttp.ClientError, OSError)
_OUTCOMES = {
    Reason.TARGET_UNREACHABLE: Outcome.UNREACHABLE,
    Reason.TARGET_REFUSED: Outcome.REFUSED,
}


@dataclass(slots=True, frozen=True)
class Send:
    """Hold one send to the target of a place."""

    slot: Slot
    source: str | None = None
    progress_timeouts: ProgressTimeouts = ProgressTimeouts()


class Sender:
    """Hold what every send needs."""

    def __init__(self, calls: TargetClient, suspects: CrashSuspects, clock: Clock):
        self._calls = calls
        self._suspects = suspects
        self._clock = clock
        self._background = BackgroundTasks("forwarding")

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Do work that no client waits for."""
        self._background.spawn(work)

    async def run(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        send: Send,
    ) -> Result[None, Verdict]:
        """Run a request, pass its answer on and give its place back."""
        target = send.slot.grant.target
        # Until the target proves otherwise.
        request.runs += 1
        request.sends += 1
        try:
            outcome = await self._pass_on(request, message, sink, send)
        except _BROKEN as error:
            detail = f"{type(error).__name__}: {error}"
            outcome = Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        except _SilenceError:
            detail = "no progress for too long"
            outcome = Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        except BaseException:
            # The client left or its time is over, which says nothing of the target.
            send.slot.end(Outcome.CANCELLED)
            raise
        if isinstance(outcome, Ok):
            send.slot.end(Outcome.DONE)
            self._suspects.record_completion(request)
            return outcome
        failure = outcome.err_value
        if failure.run is Run.NOT_RUN:
            request.runs -= 1
        send.slot.end(judge_outcome(failure))
        self.note_failure(request, target, failure)
        return outcome

    async def _pass_on(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        send: Send,
    ) -> Result[None, Verdict]:
        target = send.slot.grant.target
        progress = Progress(send.progress_timeouts, self._clock)
        left = request.deadline - self._clock.monotonic()
        once = request.route.repeat is Repeat.ONCE
        rank = request.route.rank if request.prompt is not None else None
        _log(
            "runs",
            request=request.id,
            target=target.id,
            service=request.service,
            source=send.source,
            why=send.slot.grant.why,
            left_ms=left // MILLISECOND,
        )
        opened = self._calls.run(
            target,
            message,
            left,
            priority=rank,
            source=send.source,
            last_event=request.last_event,
            once=once,
        )
        entered = await _bound(opened.__aenter__(), progress.find_time_left())
        try:
            if isinstance(entered, Err):
                return entered
            answer = entered.ok_value
            if request.route.streams and answer.status == 200:
                return await self._stream(request, sink, send, answer, progress)
            return await self._answer_whole(request, sink, send, answer, progress)
        finally:
            await opened.__aexit__(None, None, None)

    async def _answer_whole(
        self,
        request: ForwardedRequest,
        sink: Sink,
        send: Send,
        answer: TargetResponse,
        progress: Progress,
    ) -> Result[None, Verdict]:
        body = bytearray()
        async for chunk in _bound_each(answer.chunks, progress):
            progress.record()
            body += chunk
            if len(body) > ANSWER_BYTES:
                return Err(_TOO_LONG)
        refusal = _judge_answer(answer)
        if refusal is not None:
            return Err(refusal)
        failed = answer.status >= 500
        if failed and self._may_run_again(request, self._clock.monotonic()):
            detail = f"the target answered {answer.status}"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        if sink.began:
            detail = f"the target answered {answer.status} to a resumed stream"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        if failed:
            # The answer goes on, but the target is no better for it.
            send.slot.end(Outcome.FAILED)
        await sink.answer(answer.status, answer.headers, bytes(body))
        return Ok(None)

    async def _stream(
        self,
        request: ForwardedRequest,
        sink: Sink,
        send: Send,
        answer: TargetResponse,
        progress: Progress,
    ) -> Result[None, Verdict]:
        if not answer.signed:
            return Err(_UNSIGNED)
        events = EventStream(request.last_event)
        async for chunk in _bound_each(answer.chunks, progress):
            whole = events.feed(chunk)
            if not whole:
                continue
            progress.record()
            send.slot.record_output()
            if not sink.began:
                await sink.begin(answer.status, answer.headers)
            await sink.write(whole)
            request.last_event = events.last
        if not events.is_complete:
            detail = (
                events.fault
                or f"the stream ended within an event, {events.events} whole"
            )
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        send.slot.end(Outcome.DONE, events.events)
        await sink.finish()
        return Ok(None)

    def _may_run_again(self, request: ForwardedRequest, now: timedelta) -> bool:
        failure = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        return retries.find_obstacle(request, failure, now) is None

    def note_failure(
        self, request: ForwardedRequest, target: Target, failure: Verdict
    ) -> None:
        """Log a send that failed, and find out whether the target crashed."""
        request.tried.add(target.id)
        _log(
            "target failed",
            request=request.id,
            target=target.id,
            domain=target.domain,
            run=failure.run.value,
            reason=failure.reason.value,
            detail=failure.detail,
        )
        if failure.reason is Reason.TARGET_FAILED and failure.run is not Run.NOT_RUN:
            self.spawn(self._suspects.look_for_crash(request, target))


def judge_outcome(failure: Verdict) -> Outcome:
    """Return what a failed use says of its target."""
    return _OUTCOMES.get(failure.reason, Outcome.FAILED)


class _SilenceError(Exception):
    """Say that a target made no progress for too long."""


async def _bound(work: Awaitable[T], limit: timedelta | None) -> T:
    if limit is None:
        return await work
    try:
        async with asyncio.timeout(limit.total_seconds()) as bound:
            return await work
    except TimeoutError:
        if bound.expired():
            raise _SilenceError from None
        raise


async def _bound_each(
    chunks: AsyncIterator[bytes], progress: Progress
) -> AsyncIterator[bytes]:
    while True:
        try:
            chunk = await _bound(anext(chunks), progress.find_time_left())
        except StopAsyncIteration:
            return
        yield chunk


def _judge_answer(answer: TargetResponse) -> Verdict | None:
    """Return why an answer cannot be passed on, or None when it can."""
    if answer.signed:
        return None
    if answer.status < 300:
        return _UNSIGNED
    detail = f"the target answered {answer.status} without proof of its origin"
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


_UNSIGNED = Verdict(
    Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, "the answer does not prove its origin"
)
_TOO_LONG = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.TARGET_FAILED,
    f"the answer is longer than {ANSWER_BYTES} bytes",
)
