"""Run a request at one target and relay its response to the client."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any

import aiohttp
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import retries
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.events import EventStream
from galenapass.forwarding.interfaces import Sink, TargetClient
from galenapass.forwarding.large_answers import (
    EVICTED,
    MAX_ANSWER_BYTES,
    AnswerEvictedError,
    HeldAnswer,
    LargeAnswers,
)
from galenapass.forwarding.progress import Progress, ProgressTimeouts
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.routes import Repeat
from galenapass.forwarding.silence import NextSend, SilenceWatch, SilentTargetError
from galenapass.forwarding.slot_client import Slot
from galenapass.forwarding.slot_requests import Outcome
from galenapass.forwarding.suspects import CrashSuspects
from galenapass.forwarding.target_messages import ClientRequest, TargetResponse
from galenapass.forwarding.usage_sharing import BeginRecorder
from galenapass.logs import make_log
from galenapass.tables.targets import Target
from galenapass.timeouts import limit_silence
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["SILENT_TARGET", "Send", "Sender", "classify_failure"]

MILLISECOND = timedelta(milliseconds=1)
SILENT_TARGET = Verdict(
    Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, "no progress for too long"
)

# Time for which the next target may fail a request while the silent one still works on
# it: longer than an attempt to connect.
REFUSAL_TIME = timedelta(milliseconds=300)
# Time for which two targets may work on one request, with the pauses of this process:
# below the 0.4 s after which it would count as sent twice.
MAX_OVERLAP = timedelta(milliseconds=350)

_log = make_log("forwarding")
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError)
_OUTCOMES_BY_REASON = {
    Reason.TARGET_UNREACHABLE: Outcome.UNREACHABLE,
    Reason.TARGET_REFUSED: Outcome.REFUSED,
    Reason.TARGET_EXCLUDED: Outcome.CANCELLED,
}


class Exchange:
    """Request on its way to a target, and the response to it.

    ``is_connected`` returns whether the request may have been sent, ``find_sent_at``
    since when, None if unknown.
    """

    __slots__ = ("_context", "_is_connected", "_opening", "find_sent_at")

    def __init__(
        self,
        context: AbstractAsyncContextManager[Result[TargetResponse, Verdict]],
        is_connected: Callable[[], bool] = lambda: True,
        find_sent_at: Callable[[], timedelta | None] = lambda: None,
    ):
        self._context = context
        self._is_connected = is_connected
        self.find_sent_at = find_sent_at
        self._opening = asyncio.ensure_future(context.__aenter__())

    async def open(self) -> Result[TargetResponse, Verdict]:
        """Return the response, whose body is still to be read."""
        return await self._opening

    async def find_failure(self, within: timedelta) -> Verdict | None:
        """Return how the request failed, None if it has not within a time.

        Without a connection by then it has failed, as nothing of it was sent. Pauses of
        this process do not count, up to ``MAX_OVERLAP`` in all.
        """
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(MAX_OVERLAP.total_seconds()),
                limit_silence(within),
            ):
                await asyncio.wait((self._opening,))
        # It may fail in the pass of the event loop that ends the wait.
        if not self._opening.done():
            if self._is_connected():
                return None
            # It must not connect and send the request after all.
            self._opening.cancel()
            return _UNCONNECTED
        opened = self._opening.result()
        return opened.err_value if isinstance(opened, Err) else _check(opened.ok_value)

    def cancel(self) -> bool:
        """Send nothing more of the request; return whether it may have run."""
        if not self._opening.done():
            self._opening.cancel()
        elif not self._opening.cancelled() and self._opening.exception() is None:
            opened = self._opening.result()
            return isinstance(opened, Ok) or opened.err_value.run is not Run.NOT_RUN
        return self._is_connected()

    async def close(self) -> None:
        """End the exchange, whether or not the response has come."""
        if not self._opening.done():
            self._opening.cancel()
            await asyncio.wait((self._opening,))
        if self._opening.cancelled() or self._opening.exception() is not None:
            # It was not entered; to leave it would send the request.
            return
        await self._context.__aexit__(None, None, None)


@dataclass(slots=True, frozen=True)
class Send:
    """Parameters of one send to the target of a slot.

    ``source`` is where the KV cache of a prefilled prompt is, ``prefill_engine`` the id
    of the engine that holds it. ``exchange`` is set once the request is on its way.
    """

    slot: Slot
    source: str | None = None
    progress_timeouts: ProgressTimeouts = ProgressTimeouts()
    prefill_engine: str | None = None
    exchange: Exchange | None = None


class Sender:
    """Sender of requests to targets, which records how each send ended.

    ``on_stream_begin`` is called before the first event of an answer is passed on;
    ``begins`` counts the requests that begin to run.
    """

    def __init__(
        self,
        target_client: TargetClient,
        suspects: CrashSuspects,
        clock: Clock,
        on_stream_begin: Callable[[ForwardedRequest, Target], None],
        large_answers: LargeAnswers | None = None,
        begins: BeginRecorder | None = None,
    ):
        self._begins = begins
        self._target_client = target_client
        self._large_answers = large_answers or LargeAnswers()
        self._on_stream_begin = on_stream_begin
        self._suspects = suspects
        self._clock = clock
        self._background = BackgroundTasks("forwarding")

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        self._background.spawn(work)

    def discard(self, request: ForwardedRequest, send: Send) -> None:
        """Release what a send that will not be run holds.

        It remains a run unless it never reached its target, or was refused there.
        """
        send.slot.end(Outcome.CANCELLED)
        if send.exchange is not None:
            if not send.exchange.cancel():
                request.runs -= 1
            self.spawn(send.exchange.close())
        self._release_kv_cache(send)

    async def begin(
        self, request: ForwardedRequest, message: ClientRequest, send: Send
    ) -> Result[Send, Verdict]:
        """Send a request to its next target, while the present one is still awaited.

        An error is the verdict of a target that failed it at once. Load pattern: silent
        targets whose replacements are full. With the present target given up first, a
        refusal would end the answer.
        """
        request.runs += 1
        request.sends += 1
        exchange = self._open_exchange(request, message, send)
        begun = replace(send, exchange=exchange)
        try:
            failure = await exchange.find_failure(REFUSAL_TIME)
        except BaseException:
            self.discard(request, begun)
            raise
        if failure is None:
            return Ok(begun)
        self.spawn(exchange.close())
        self._record_failed_send(request, send, failure)
        return Err(failure)

    async def run(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        send: Send,
        next_send: NextSend,
    ) -> Result[None, Verdict]:
        """Run a request, relay its response and release its slot.

        A silent target is given up once ``next_send`` is ready. It counts as failed, as
        one that is cut off or has lost its host is silent too.
        """
        if send.exchange is None:
            # Counted as a run until the target proves that it did not run the request.
            request.runs += 1
            request.sends += 1
        try:
            outcome = await self._run_at_target(request, message, sink, send, next_send)
        except _CONNECTION_ERRORS as error:
            detail = f"{type(error).__name__}: {error}"
            outcome = Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        except SilentTargetError:
            outcome = Err(SILENT_TARGET)
        except AnswerEvictedError:
            outcome = Err(EVICTED)
        except BaseException:
            # The client disconnected or the deadline passed; this is no failure of the
            # target.
            send.slot.end(Outcome.CANCELLED)
            self._release_kv_cache(send)
            raise
        if isinstance(outcome, Ok):
            send.slot.end(Outcome.DONE)
            self._suspects.record_completion(request)
            return outcome
        self._record_failed_send(request, send, outcome.err_value)
        return outcome

    def _record_failed_send(
        self, request: ForwardedRequest, send: Send, failure: Verdict
    ) -> None:
        target = send.slot.grant.target
        if failure.run is Run.NOT_RUN:
            request.runs -= 1
        if failure.reason is Reason.TARGET_EXCLUDED:
            # Nothing was sent.
            request.sends -= 1
        send.slot.end(classify_failure(failure))
        self._release_kv_cache(send)
        self.record_failure(request, target, failure)
        if failure.reason is Reason.TARGET_FAILED and failure.run is not Run.NOT_RUN:
            self.spawn(
                self._suspects.check_for_crash(
                    request, target, send.slot.started_at, send.slot.first_output_at
                )
            )

    def _release_kv_cache(self, send: Send) -> None:
        """Free the KV cache of a prompt unless its send has fetched it.

        An engine that has sent output has the KV cache, one that was left before may
        have it. To free one that was fetched has no effect.
        """
        if send.source is not None and send.slot.first_output_at is None:
            self.spawn(self._target_client.release_kv_cache(send.source))

    async def _run_at_target(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        send: Send,
        next_send: NextSend,
    ) -> Result[None, Verdict]:
        target = send.slot.grant.target
        request.target = target.id
        watch = SilenceWatch(Progress(send.progress_timeouts, self._clock), next_send)
        try:
            return await self._exchange(request, message, sink, send, watch)
        finally:
            watch.stop()
            request.target = None

    async def _exchange(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        send: Send,
        watch: SilenceWatch,
    ) -> Result[None, Verdict]:
        exchange = send.exchange or self._open_exchange(request, message, send)
        may_have_run = True
        self._watch_call(request, exchange)
        try:
            opened = await watch.read(exchange.open())
            if isinstance(opened, Err):
                may_have_run = opened.err_value.run is not Run.NOT_RUN
                return opened
            response = opened.ok_value
            request.answer = response.identity
            self._record_head(request, response, exchange)
            if request.route.streams and response.status == 200:
                return await self._relay_stream(request, sink, send, response, watch)
            async with self._large_answers.hold(send.slot.grant.target.id) as held:
                return await self._relay_whole(
                    request, sink, send, response, watch, held
                )
        finally:
            # A call that was sent runs also if its client leaves before the answer.
            self._end_call(request, exchange if may_have_run else None)
            await exchange.close()

    def _watch_call(self, request: ForwardedRequest, exchange: Exchange) -> None:
        if self._begins is not None and not request.is_generation:
            self._begins.watch_call(request, exchange.find_sent_at)

    def _record_head(
        self, request: ForwardedRequest, response: TargetResponse, exchange: Exchange
    ) -> None:
        """Count a request whose answer begins, unless it begins with its first event.

        A call began as it was sent, to a slot that was free.
        """
        if self._begins is None:
            return
        if not request.is_generation:
            self._end_call(request, exchange)
        elif not request.route.streams and response.status == 200:
            self._begins.record_begin(request, self._clock.monotonic())

    def _end_call(self, request: ForwardedRequest, exchange: Exchange | None) -> None:
        """Count a call if it was sent, and is not known to have been refused."""
        if self._begins is None or request.is_generation:
            return
        sent_at = None if exchange is None else exchange.find_sent_at()
        if sent_at is not None:
            self._begins.record_begin(request, sent_at)
        self._begins.end_call(request)

    def _open_exchange(
        self, request: ForwardedRequest, message: ClientRequest, send: Send
    ) -> Exchange:
        target = send.slot.grant.target
        time_left = request.deadline - self._clock.monotonic()
        once = request.route.repeat is Repeat.ONCE
        rank = request.rank if request.prompt is not None else None
        _log(
            "runs",
            request=request.id,
            target=target.id,
            service=request.service,
            version=target.version,
            resumes_at=request.last_event,
            source=send.source,
            why=send.slot.grant.why,
            left_ms=time_left // MILLISECOND,
        )
        connections: list[timedelta] = []
        return Exchange(
            self._target_client.run(
                target,
                message,
                time_left,
                priority=rank,
                source=send.source,
                last_event=request.last_event,
                once=once,
                on_connection=lambda: connections.append(self._clock.monotonic()),
            ),
            lambda: bool(connections),
            lambda: connections[-1] if connections else None,
        )

    async def _relay_whole(
        self,
        request: ForwardedRequest,
        sink: Sink,
        send: Send,
        response: TargetResponse,
        watch: SilenceWatch,
        held: HeldAnswer,
    ) -> Result[None, Verdict]:
        if response.length is not None and response.length > MAX_ANSWER_BYTES:
            return Err(_TOO_LONG)
        body = bytearray()
        async for chunk in _read_chunks(response.chunks, watch):
            size = len(body) + len(chunk)
            if size > MAX_ANSWER_BYTES:
                return Err(_TOO_LONG)
            await held.extend(size)
            body += chunk
            # The target was not waited for while the answer waited for its slot.
            watch.record_progress()
        held.is_whole = True
        refusal = _check_origin(response)
        if refusal is not None:
            return Err(refusal)
        failed = response.status >= 500
        if failed and self._may_run_again(request, self._clock.monotonic()):
            detail = f"the target answered {response.status}"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        if sink.began:
            detail = f"the target answered {response.status} to a resumed stream"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        # A failure is relayed, but still counts as one. The client may take its time.
        send.slot.end(Outcome.FAILED if failed else Outcome.DONE)
        await sink.answer(response.status, response.headers, body)
        return Ok(None)

    async def _relay_stream(
        self,
        request: ForwardedRequest,
        sink: Sink,
        send: Send,
        response: TargetResponse,
        watch: SilenceWatch,
    ) -> Result[None, Verdict]:
        if not response.signed:
            return Err(_UNSIGNED)
        events = EventStream(request.last_event)
        async for chunk in _read_chunks(response.chunks, watch):
            events_before = events.events
            complete_events = events.feed(chunk)
            if complete_events:
                if self._begins is not None and request.is_generation:
                    self._begins.record_begin(request, self._clock.monotonic())
                watch.record_progress()
                send.slot.record_output(events.events - events_before)
                if not sink.began:
                    self._on_stream_begin(request, send.slot.grant.target)
                    await sink.begin(response.status, response.headers)
                await sink.write(complete_events)
                request.last_event = events.last
                # The target was not waited for while the client was slow to read.
                watch.record_progress()
            if events.fault:
                break
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

    def record_failure(
        self, request: ForwardedRequest, target: Target, failure: Verdict
    ) -> None:
        """Log a failed send and remember its target."""
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


def classify_failure(failure: Verdict) -> Outcome:
    """Return the outcome of a slot whose use failed."""
    return _OUTCOMES_BY_REASON.get(failure.reason, Outcome.FAILED)


async def _read_chunks(
    chunks: AsyncIterator[bytes], watch: SilenceWatch
) -> AsyncIterator[bytes]:
    while True:
        try:
            chunk = await watch.read(anext(chunks))
        except StopAsyncIteration:
            return
        yield chunk


def _check(response: TargetResponse) -> Verdict | None:
    """Return why a response does not replace the one of a silent target, else None."""
    if response.status < 500:
        return _check_origin(response)
    detail = f"the target answered {response.status}"
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def _check_origin(response: TargetResponse) -> Verdict | None:
    """Return why a response must not be relayed, or None if it proves its origin."""
    if response.signed:
        return None
    if response.status < 300:
        return _UNSIGNED
    detail = f"the target answered {response.status} without proof of its origin"
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


_UNCONNECTED = Verdict(
    Run.NOT_RUN, Reason.TARGET_UNREACHABLE, "no connection to the next target in time"
)
_UNSIGNED = Verdict(
    Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, "the answer does not prove its origin"
)
_TOO_LONG = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.TARGET_FAILED,
    f"the answer is longer than {MAX_ANSWER_BYTES} bytes",
)
