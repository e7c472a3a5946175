"""Run an engine's model in real time and pass its tokens to the streams."""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from reactivex.subject import Subject

from galenapass.clocks import Clock
from galenapass.logs import make_log
from stand_ins.engine_account import Account, Faults
from stand_ins.engine_model import EngineModel
from stand_ins.engine_orders import Order, Outcome
from stand_ins.engine_reports import CacheEvents, LaggedReports
from stand_ins.engine_streams import Stream, StreamOutcome
from stand_ins.engine_work import (
    Admission,
    OrderResult,
    PendingExport,
    Phase,
    Step,
    Work,
)
from stand_ins.serving import Server

__all__ = ["Engine", "make_incarnation"]

ORPHAN_TIMEOUT_SECONDS = 10.0
REPLAY_WINDOW_SECONDS = 30.0
REPORT_INTERVAL_SECONDS = 0.1
CRASH_DELAY_SECONDS = 0.01
CACHE_EVENT_INTERVAL_SECONDS = 0.5
_PREFILL_PREFIX = "prefill "

log = make_log("stand-in engine")


def make_incarnation() -> str:
    """Return a random name for one start of an engine."""
    return secrets.token_hex(4)


class Engine:
    """Engine model with its streams and an account that survives crashes."""

    def __init__(
        self,
        clock: Clock,
        model: EngineModel,
        reports: LaggedReports,
        restart_seconds: float,
    ):
        self.model = model
        self.faults = Faults()
        self.account = Account()
        self.cache_batches: Subject[Any] = Subject()
        self._clock = clock
        self._restart_seconds = restart_seconds
        self._reports = reports
        self._cache_events = CacheEvents()
        self._streams: dict[str, Stream] = {}
        self._prefills: dict[str, asyncio.Future[PendingExport | StreamOutcome]] = {}
        self._crash_triggers: set[str] = set()
        self._server: Server | None = None
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._restart_task: asyncio.Task[None] | None = None

    # Start, stop and crash

    def start(self, server: Server | None) -> None:
        """Start running steps; a crash takes the server offline."""
        self._server = server
        self._tasks = [
            asyncio.create_task(self._run_steps()),
            asyncio.create_task(
                self._run_periodically(REPORT_INTERVAL_SECONDS, self._report)
            ),
            asyncio.create_task(
                self._run_periodically(CACHE_EVENT_INTERVAL_SECONDS, self._publish)
            ),
        ]

    def stop(self) -> None:
        """Stop running steps."""
        for task in self._tasks:
            task.cancel()
        if self._restart_task is not None:
            self._restart_task.cancel()

    def crash(self) -> None:
        """Lose all work, drop all connections and restart after the downtime."""
        if self._restart_task is not None:
            return
        self.account.crashes += 1
        self.account.lost += self.model.crash(make_incarnation())
        log("crashed", crashes=self.account.crashes)
        self._reports.clear()
        self._cache_events = CacheEvents()
        self._crash_triggers.clear()
        for request_id in [*self._streams, *self._prefills]:
            self._close(request_id, StreamOutcome.DROPPED)
        if self._server is not None:
            self._server.drop_connections()
        self._restart_task = asyncio.create_task(self._restart_server())

    async def _restart_server(self) -> None:
        if self._server is not None:
            await self._server.go_offline(self._restart_seconds)
        self._restart_task = None
        self._wake.set()

    async def _run_periodically(
        self, seconds: float, action: Callable[[], None]
    ) -> None:
        while True:
            action()
            await asyncio.sleep(seconds)

    def _report(self) -> None:
        self._reports.add(self._clock.monotonic(), self.model.report())

    def _publish(self) -> None:
        batch = self._cache_events.take()
        if batch is not None:
            self.cache_batches.on_next(batch)

    def read_report(self) -> Any:
        """Return the lagged load report."""
        if self._reports.read(self._clock.monotonic()) is None:
            self._report()
        return self._reports.read(self._clock.monotonic())

    # Requests

    def find(self, request_id: str) -> Stream | None:
        """Return the stream of a running or recently finished request, or None."""
        return self._streams.get(request_id)

    def open(self, work: Work, stream: Stream, triggers_crash: bool) -> Admission:
        """Queue a whole request and register its stream."""
        admission = self._add(work, triggers_crash)
        if admission is Admission.ACCEPTED:
            stream.duplicate_events = self.faults.duplicate_events
            self._streams[work.id] = stream
        return admission

    def open_prefill(
        self, work: Work, triggers_crash: bool
    ) -> Admission | asyncio.Future[PendingExport | StreamOutcome]:
        """Queue a prefill; the future resolves to its KV cache or its outcome."""
        work = replace(
            work, id=_PREFILL_PREFIX + work.id, phase=Phase.PREFILL, offset=0
        )
        admission = self._add(work, triggers_crash)
        if admission is not Admission.ACCEPTED:
            return admission
        future: asyncio.Future[PendingExport | StreamOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._prefills[work.id] = future
        return future

    def _add(self, work: Work, triggers_crash: bool) -> Admission:
        if self._restart_task is not None:
            return Admission.CHANGING
        admission = self.model.add(work)
        if admission is Admission.ACCEPTED:
            self._wake.set()
            if triggers_crash:
                self._crash_triggers.add(work.id)
        return admission

    def cancel(self, request_id: str) -> bool | None:
        """Cancel a request's phases; return whether any started, None if unknown."""
        results = [
            self._cancel(work_id)
            for work_id in (request_id, _PREFILL_PREFIX + request_id)
        ]
        started = [one for one in results if one is not None]
        return any(started) if started else None

    def _cancel(self, work_id: str) -> bool | None:
        started = self.model.cancel(work_id)
        if started is None:
            return None
        if started:
            self.account.cancelled.append(work_id.removeprefix(_PREFILL_PREFIX))
        self._close(
            work_id, StreamOutcome.DROPPED if started else StreamOutcome.NOT_RUN
        )
        return started

    def schedule_orphan_check(self, stream: Stream) -> None:
        """Cancel the request after a timeout if no reader has reconnected."""
        loop = asyncio.get_running_loop()
        loop.call_later(ORPHAN_TIMEOUT_SECONDS, self._cancel_abandoned, stream)

    def _cancel_abandoned(self, stream: Stream) -> None:
        if stream.abandoned and self._streams.get(stream.request_id) is stream:
            self._cancel(stream.request_id)

    def _close(self, work_id: str, outcome: StreamOutcome) -> None:
        stream = self._streams.pop(work_id, None)
        if stream is not None:
            stream.close(outcome)
        future = self._prefills.pop(work_id, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    # Steps

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self._wake.clear()
            step = self.model.step() if self._restart_task is None else None
            if step is None:
                await self._sleep_until_woken()
                due = loop.time()
                continue
            self._count_started(step)
            # Deadlines add up, so that the next steps make up for a late one.
            due = due + step.duration.total_seconds()
            incarnation = self.model.incarnation
            await asyncio.sleep(due - loop.time())
            if incarnation == self.model.incarnation:
                self._deliver(step)

    async def _sleep_until_woken(self) -> None:
        at = None if self._restart_task else self.model.next_time()
        if at is None:
            await self._wake.wait()
            return
        seconds = (at - self._clock.monotonic()).total_seconds()
        try:
            await asyncio.wait_for(self._wake.wait(), max(0.001, seconds))
        except TimeoutError:
            return

    def _count_started(self, step: Step) -> None:
        for work_id in step.started:
            if work_id in self._prefills:
                self.account.prefills[work_id.removeprefix(_PREFILL_PREFIX)] += 1
                continue
            stream = self._streams[work_id]
            self.account.runs[work_id] += 1
            self.account.resumes.update([work_id] if stream.produced else [])
            stream.report_start(StreamOutcome.STARTED)

    def _deliver(self, step: Step) -> None:
        if self._crash_triggers and not self._crash_triggers.isdisjoint(
            step.first_tokens + step.finished
        ):
            self.crash()
            return
        self._cache_events.add(step.stored, step.evicted)
        for work_id, number in step.tokens.items():
            stream = self._streams.get(work_id)
            if stream is not None:
                stream.add_token(number)
        for work_id, pending in step.prefilled.items():
            future = self._prefills.pop(work_id, None)
            if future is not None and not future.done():
                future.set_result(pending)
        self._record_finished(step)
        if self.faults.drop_stream_after:
            self._drop_one_stream()

    def _record_finished(self, step: Step) -> None:
        loop = asyncio.get_running_loop()
        for work_id in step.finished:
            stream = self._streams.get(work_id)
            if stream is not None:
                self.account.completed.append(work_id)
                loop.call_later(REPLAY_WINDOW_SECONDS, self._forget, stream)

    def _forget(self, stream: Stream) -> None:
        if self._streams.get(stream.request_id) is stream:
            del self._streams[stream.request_id]

    def _drop_one_stream(self) -> None:
        for stream in self._streams.values():
            reader = stream.reader
            if reader and reader.events >= self.faults.drop_stream_after:
                self.faults.drop_stream_after = 0
                reader.transport.abort()
                stream.detach(StreamOutcome.DROPPED)
                return

    # Orders and faults

    def order(self, order: Order) -> OrderResult:
        """Accept or refuse an order; an accepted order ends all requests."""
        result = self.model.order(order)
        for work_id in result.running:
            whole = work_id in self._streams
            ids = self.account.cut_off if whole else self.account.cut_off_prefills
            ids.append(work_id.removeprefix(_PREFILL_PREFIX))
            self._close(work_id, StreamOutcome.DROPPED)
        for work_id in result.waiting:
            self._close(work_id, StreamOutcome.NOT_RUN)
        if result.outcome is Outcome.ACCEPTED and self.faults.crash_in_change:
            half_seconds = self.model.sizes.change.total_seconds() / 2
            asyncio.get_running_loop().call_later(
                half_seconds, self._crash_during_change, order
            )
        self._wake.set()
        return result

    def _crash_during_change(self, order: Order) -> None:
        if self.model.changing and self.model.orders.last == order:
            self.crash()

    def put_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults = faults
        self.model.slowdown = faults.slow
        for stream in self._streams.values():
            stream.duplicate_events = faults.duplicate_events
        if faults.crash:
            faults.crash = False
            # Delayed until the response is sent, as a crash drops its connection too.
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_DELAY_SECONDS, self.crash)
