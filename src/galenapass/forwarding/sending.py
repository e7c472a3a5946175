"""Run one request at one target and pass its answer on while it comes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

import aiohttp
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import loads, retries
from galenapass.forwarding.answers import Answer, Message
from galenapass.forwarding.engine_states import EngineStates
from galenapass.forwarding.events import EventStream
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.interfaces import Calls, Sink
from galenapass.forwarding.requests import Forwarded
from galenapass.forwarding.routes import Repeat
from galenapass.forwarding.suspects import Suspects
from galenapass.logs import make_log
from galenapass.tables.targets import Kind, Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Send", "Sender"]

MILLISECOND = timedelta(milliseconds=1)
# The largest answer that is held until it is whole, so that half of one is never
# passed on as an answer.
ANSWER_BYTES = 8 * 2**20

T = TypeVar("T")

_log = make_log("forwarding")
_BROKEN = (aiohttp.ClientError, OSError)


@dataclass(slots=True, frozen=True)
class Send:
    """Hold one send; ``limit`` bounds each silence, ``on_first`` hears of output."""

    target: Target
    source: str | None = None
    limit: timedelta | None = None
    on_first: Callable[[], None] = lambda: None


class Sender:
    """Hold what every send needs."""

    def __init__(
        self,
        fleet: Fleet,
        calls: Calls,
        suspects: Suspects,
        states: EngineStates,
        clock: Clock,
    ):
        self._fleet = fleet
        self._calls = calls
        self._suspects = suspects
        self._states = states
        self._clock = clock
        self._background: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Do work that no client waits for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def run(
        self,
        request: Forwarded,
        message: Message,
        sink: Sink,
        send: Send,
    ) -> Result[None, Verdict]:
        """Run a request at a target and pass its answer on."""
        target = send.target
        load = self._fleet.load_of(target)
        load.requests += 1
        # Until the target proves otherwise.
        request.runs += 1
        request.sends += 1
        sent = self._clock.monotonic()
        try:
            outcome = await self._pass_on(request, message, sink, send, sent)
        except _BROKEN as error:
            detail = f"{type(error).__name__}: {error}"
            outcome = Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        except _SilenceError:
            detail = f"silent for {send.limit}"
            outcome = Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        finally:
            load.requests = max(load.requests - 1, 0)
        now = self._clock.monotonic()
        if isinstance(outcome, Ok):
            self._suspects.note_completion(request)
            return outcome
        failure = outcome.err_value
        if failure.run is Run.NOT_RUN:
            request.runs -= 1
        self.note_failure(request, target, failure, now)
        return outcome

    async def _pass_on(
        self,
        request: Forwarded,
        message: Message,
        sink: Sink,
        send: Send,
        sent: timedelta,
    ) -> Result[None, Verdict]:
        target, limit = send.target, send.limit
        left = request.deadline - sent
        once = request.route.repeat is Repeat.ONCE
        rank = request.route.rank if request.prompt is not None else None
        _log(
            "runs",
            request=request.id,
            target=target.id,
            service=request.service,
            source=send.source,
            in_flight=self._fleet.load_of(target).requests,
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
        entered = await _bound(opened.__aenter__(), limit)
        try:
            if isinstance(entered, Err):
                return entered
            answer = entered.ok_value
            if request.route.streams and answer.status == 200:
                return await self._stream(request, sink, send, answer, sent)
            return await self._answer_whole(request, sink, send, answer, sent)
        finally:
            await opened.__aexit__(None, None, None)

    async def _answer_whole(
        self,
        request: Forwarded,
        sink: Sink,
        send: Send,
        answer: Answer,
        sent: timedelta,
    ) -> Result[None, Verdict]:
        target, limit = send.target, send.limit
        body = bytearray()
        async for chunk in _bound_each(answer.chunks, limit):
            body += chunk
            if len(body) > ANSWER_BYTES:
                return Err(_TOO_LONG)
        now = self._clock.monotonic()
        load = self._fleet.load_of(target)
        failed = answer.status >= 500
        self.note_reached(target, failed, now)
        loads.note_run(load, (now - sent) / MILLISECOND)
        refusal = _judge_answer(answer)
        if refusal is not None:
            return Err(refusal)
        if failed and self._may_run_again(request, now):
            detail = f"the target answered {answer.status}"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        if sink.began:
            detail = f"the target answered {answer.status} to a resumed stream"
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        await sink.answer(answer.status, answer.headers, bytes(body))
        return Ok(None)

    async def _stream(
        self,
        request: Forwarded,
        sink: Sink,
        send: Send,
        answer: Answer,
        sent: timedelta,
    ) -> Result[None, Verdict]:
        target, limit = send.target, send.limit
        if not answer.signed:
            return Err(_UNSIGNED)
        events = EventStream(request.last_event)
        load = self._fleet.load_of(target)
        is_first = True
        async for chunk in _bound_each(answer.chunks, limit):
            whole = events.take(chunk)
            if not whole:
                continue
            now = self._clock.monotonic()
            if is_first:
                is_first = False
                send.on_first()
                if send.source is not None:
                    loads.note_run(load, (now - sent) / MILLISECOND)
                self.note_reached(target, False, now)
            if not sink.began:
                await sink.begin(answer.status, answer.headers)
            await sink.write(whole)
            request.last_event = events.last
        if not events.is_whole:
            detail = (
                events.fault
                or f"the stream ended within an event, {events.events} whole"
            )
            return Err(Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail))
        await sink.finish()
        return Ok(None)

    def _may_run_again(self, request: Forwarded, now: timedelta) -> bool:
        failure = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        return retries.find_obstacle(request, failure, now) is None

    def note_failure(
        self, request: Forwarded, target: Target, failure: Verdict, now: timedelta
    ) -> None:
        """Learn from a send that failed."""
        request.tried.add(target.id)
        evidence = self._fleet.load_of(target).failures
        if failure.reason is Reason.TARGET_UNREACHABLE:
            loads.note_reach(evidence, False, now)
            loads.note_reach(self._fleet.cut_of(target), False, now)
        else:
            loads.note_outcome(evidence, True, now)
        _log(
            "target failed",
            request=request.id,
            target=target.id,
            run=failure.run.value,
            reason=failure.reason.value,
            detail=failure.detail,
        )
        if failure.reason is Reason.TARGET_FAILED and failure.run is not Run.NOT_RUN:
            self.spawn(self._suspects.look_for_crash(request, target))
        if failure.reason is Reason.TARGET_REFUSED and target.kind is Kind.ENGINE:
            self.spawn(self._states.check(target))

    def note_reached(self, target: Target, failed: bool, now: timedelta) -> None:
        """Learn from a target that answered, be it with a failure."""
        loads.note_outcome(self._fleet.load_of(target).failures, failed, now)
        loads.note_reach(self._fleet.cut_of(target), True, now)


class _SilenceError(Exception):
    """Say that a target sent nothing for too long."""


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
    chunks: AsyncIterator[bytes], limit: timedelta | None
) -> AsyncIterator[bytes]:
    while True:
        try:
            chunk = await _bound(anext(chunks), limit)
        except StopAsyncIteration:
            return
        yield chunk


def _judge_answer(answer: Answer) -> Verdict | None:
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
