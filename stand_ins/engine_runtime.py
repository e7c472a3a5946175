"""Run an engine's model in real time and hand its tokens to the streams."""

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
from stand_ins.engine_streams import End, Stream
from stand_ins.engine_work import Admission, CutOff, Kept, Phase, Step, Work
from stand_ins.serving import Server

__all__ = ["Engine", "make_incarnation"]

ORPHAN_SECONDS = 10.0
REPLAY_SECONDS = 30.0
REPORT_SECONDS = 0.1
CRASH_DELAY_SECONDS = 0.01
CACHE_EVENT_SECONDS = 0.5
_PREFILL = "prefill "

log = make_log("stand-in engine")


def make_incarnation() -> str:
    """Return a name that no other start of an engine has."""
    return secrets.token_hex(4)


class Engine:
    """Hold a model, its streams and its account; the account outlives crashes."""

    def __init__(
        self, clock: Clock, model: EngineModel, reports: LaggedReports, restart: float
    ):
        self.model = model
        self.faults = Faults()
        self.account = Account()
        self.cache_batches: Subject[Any] = Subject()
        self._clock = clock
        self._restart = restart
        self._reports = reports
        self._cache_events = CacheEvents()
        self._streams: dict[str, Stream] = {}
        self._prefills: dict[str, asyncio.Future[Kept | End]] = {}
        self._fatal: set[str] = set()
        self._server: Server | None = None
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._returning: asyncio.Task[None] | None = None

    # Life

    def start(self, server: Server | None) -> None:
        """Begin to step; a crash makes the server stay away."""
        self._server = server
        self._tasks = [
            asyncio.create_task(self._run_steps()),
            asyncio.create_task(self._repeat(REPORT_SECONDS, self._report)),
            asyncio.create_task(self._repeat(CACHE_EVENT_SECONDS, self._publish)),
        ]

    def stop(self) -> None:
        """Stop stepping."""
        for task in self._tasks:
            task.cancel()
        if self._returning is not None:
            self._returning.cancel()

    def crash(self) -> None:
        """Lose all work, drop every connection, and come back after a while."""
        if self._returning is not None:
            return
        self.account.crashes += 1
        self.account.lost += self.model.crash(make_incarnation())
        log("crashed", crashes=self.account.crashes)
        self._reports.clear()
        self._cache_events = CacheEvents()
        self._fatal.clear()
        for request in [*self._streams, *self._prefills]:
            self._end(request, End.DROPPED)
        if self._server is not None:
            self._server.drop_connections()
        self._returning = asyncio.create_task(self._return())

    async def _return(self) -> None:
        if self._server is not None:
            await self._server.stay_away(self._restart)
        self._returning = None
        self._wake.set()

    async def _repeat(self, seconds: float, act: Callable[[], None]) -> None:
        while True:
            act()
            await asyncio.sleep(seconds)

    def _report(self) -> None:
        self._reports.add(self._clock.monotonic(), self.model.report())

    def _publish(self) -> None:
        batch = self._cache_events.take()
        if batch is not None:
            self.cache_batches.on_next(batch)

    def read_report(self) -> Any:
        """Return the load report that the lag shows."""
        if self._reports.read(self._clock.monotonic()) is None:
            self._report()
        return self._reports.read(self._clock.monotonic())

    # Requests

    def find(self, request: str) -> Stream | None:
        """Return the stream of a request that runs here or ended a moment ago."""
        return self._streams.get(request)

    def open(self, work: Work, stream: Stream, fatal: bool) -> Admission:
        """Take a whole request."""
        answer = self._add(work, fatal)
        if answer is Admission.ACCEPTED:
            stream.duplicates = self.faults.duplicate_events
            self._streams[work.id] = stream
        return answer

    def open_prefill(
        self, work: Work, fatal: bool
    ) -> Admission | asyncio.Future[Kept | End]:
        """Take a prompt; the future gives its KV cache or how it ended."""
        work = replace(work, id=_PREFILL + work.id, phase=Phase.PREFILL, offset=0)
        answer = self._add(work, fatal)
        if answer is not Admission.ACCEPTED:
            return answer
        future: asyncio.Future[Kept | End] = asyncio.get_running_loop().create_future()
        self._prefills[work.id] = future
        return future

    def _add(self, work: Work, fatal: bool) -> Admission:
        if self._returning is not None:
            return Admission.CHANGING
        answer = self.model.add(work)
        if answer is Admission.ACCEPTED:
            self._wake.set()
            if fatal:
                self._fatal.add(work.id)
        return answer

    def cancel(self, request: str) -> bool | None:
        """End a request in each phase; tell whether it was started, if known."""
        known = [self._cancel(name) for name in (request, _PREFILL + request)]
        started = [one for one in known if one is not None]
        return any(started) if started else None

    def _cancel(self, name: str) -> bool | None:
        started = self.model.cancel(name)
        if started is None:
            return None
        if started:
            self.account.cancelled.append(name.removeprefix(_PREFILL))
        self._end(name, End.DROPPED if started else End.NOT_RUN)
        return started

    def leave(self, stream: Stream) -> None:
        """Cancel a request after a while if nobody has come back to read it."""
        loop = asyncio.get_running_loop()
        loop.call_later(ORPHAN_SECONDS, self._cancel_unread, stream)

    def _cancel_unread(self, stream: Stream) -> None:
        if stream.unread and self._streams.get(stream.request) is stream:
            self._cancel(stream.request)

    def _end(self, name: str, end: End) -> None:
        stream = self._streams.pop(name, None)
        if stream is not None:
            stream.stop(end)
        future = self._prefills.pop(name, None)
        if future is not None and not future.done():
            future.set_result(end)

    # Steps

    async def _run_steps(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self._wake.clear()
            step = self.model.step() if self._returning is None else None
            if step is None:
                await self._sleep_until_woken()
                due = loop.time()
                continue
            self._count_started(step)
            # A step that came late is made up for by the next ones.
            due = due + step.duration.total_seconds()
            incarnation = self.model.incarnation
            await asyncio.sleep(due - loop.time())
            if incarnation == self.model.incarnation:
                self._deliver(step)

    async def _sleep_until_woken(self) -> None:
        at = None if self._returning else self.model.next_time()
        if at is None:
            await self._wake.wait()
            return
        seconds = (at - self._clock.monotonic()).total_seconds()
        try:
            await asyncio.wait_for(self._wake.wait(), max(0.001, seconds))
        except TimeoutError:
            return

    def _count_started(self, step: Step) -> None:
        for name in step.started:
            if name in self._prefills:
                self.account.prefills[name.removeprefix(_PREFILL)] += 1
                continue
            stream = self._streams[name]
            self.account.runs[name] += 1
            self.account.resumes.update([name] if stream.produced else [])
            stream.start(End.STARTED)

    def _deliver(self, step: Step) -> None:
        if self._fatal and not self._fatal.isdisjoint(step.firsts + step.finished):
            self.crash()
            return
        self._cache_events.add(step.stored, step.evicted)
        for name, number in step.tokens.items():
            stream = self._streams.get(name)
            if stream is not None:
                stream.give(number)
        for name, kept in step.prefilled.items():
            future = self._prefills.pop(name, None)
            if future is not None and not future.done():
                future.set_result(kept)
        self._finish(step)
        if self.faults.drop_stream_after:
            self._drop_stream()

    def _finish(self, step: Step) -> None:
        loop = asyncio.get_running_loop()
        for name in step.finished:
            stream = self._streams.get(name)
            if stream is not None:
                self.account.completed.append(name)
                loop.call_later(REPLAY_SECONDS, self._forget, stream)

    def _forget(self, stream: Stream) -> None:
        if self._streams.get(stream.request) is stream:
            del self._streams[stream.request]

    def _drop_stream(self) -> None:
        for stream in self._streams.values():
            reader = stream.reader
            if reader and reader.events >= self.faults.drop_stream_after:
                self.faults.drop_stream_after = 0
                reader.transport.abort()
                stream.detach(End.DROPPED)
                return

    # Orders and faults

    def order(self, order: Order) -> CutOff:
        """Accept or refuse an order; an accepted one ends what runs."""
        answer = self.model.order(order)
        for name in answer.running:
            whole = name in self._streams
            ended = self.account.cut_off if whole else self.account.cut_off_prefills
            ended.append(name.removeprefix(_PREFILL))
            self._end(name, End.DROPPED)
        for name in answer.waiting:
            self._end(name, End.NOT_RUN)
        if answer.outcome is Outcome.ACCEPTED and self.faults.crash_in_change:
            half = self.model.sizes.change.total_seconds() / 2
            asyncio.get_running_loop().call_later(half, self._crash_in, order)
        self._wake.set()
        return answer

    def _crash_in(self, order: Order) -> None:
        if self.model.changing and self.model.orders.last == order:
            self.crash()

    def put_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self.model.slowdown = faults.slow
        for stream in self._streams.values():
            stream.duplicates = faults.duplicate_events
        if faults.crash:
            faults.crash = False
            # The answer goes out first, as a crash drops its connection too.
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_DELAY_SECONDS, self.crash)
