"""Send a request to targets until one has answered it or nothing more may be tried."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import admission, budgets, loads, placement, retries, roles
from galenapass.forwarding.answers import Message
from galenapass.forwarding.budgets import Budget, BudgetTerms
from galenapass.forwarding.engine_states import EngineStates
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.interfaces import Calls, Sink
from galenapass.forwarding.requests import Forwarded
from galenapass.forwarding.routes import Repeat
from galenapass.forwarding.sending import Send, Sender
from galenapass.forwarding.suspects import Suspects
from galenapass.forwarding.waiting import ReadingQueue, Reservation
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Relay"]

# A prefill that takes this many times what was expected has met a dead engine; one
# that is only late is not helped by being read once more.
PREFILL_PATIENCE = 3.0
PREFILL_SLACK = timedelta(seconds=1.5)
# A stream that may go on elsewhere is moved after this silence; clients leave
# after two seconds without an event.
STREAM_SILENCE = timedelta(milliseconds=800)
# A call that may run again is moved after this share of the time left.
CALL_SHARE = 0.45
# A daemon that has just started takes no more than this part of the fixed budget.
DAEMONS_UNLISTED = 10
MILLISECOND = timedelta(milliseconds=1)
_log = make_log("forwarding")


@dataclass(slots=True, frozen=True)
class Memory:
    """Hold where the memory of a prompt that was read is, and whose it is."""

    source: str
    origin: Target


class Relay:
    """Carry requests to targets; every decision is a function of the tables."""

    def __init__(
        self,
        fleet: Fleet,
        calls: Calls,
        queue: ReadingQueue,
        suspects: Suspects,
        clock: Clock,
        terms: BudgetTerms,
    ):
        self.terms = terms
        self.daemons = DAEMONS_UNLISTED
        self._fleet = fleet
        self._calls = calls
        self._queue = queue
        self._suspects = suspects
        self._clock = clock
        self.states = EngineStates(fleet, calls, clock, queue.wake)
        self._sender = Sender(fleet, calls, suspects, self.states, clock)
        self._budgets: dict[str, Budget] = {}

    async def serve(
        self, request: Forwarded, message: Message, sink: Sink
    ) -> Result[None, Verdict]:
        """Answer a request; an error is the verdict to tell the client."""
        now = self._clock.monotonic()
        budget = self._budgets.setdefault(request.service, Budget())
        budgets.note_request(budget, now, self.terms)
        left = (request.deadline - now).total_seconds()
        try:
            async with asyncio.timeout(max(left, 0)):
                return await self._try_targets(request, message, sink, budget)
        except TimeoutError:
            run = Run.MAY_HAVE_RUN if request.runs else Run.NOT_RUN
            detail = f"{request.sends} sends in {request.deadline - request.arrived}"
            return Err(Verdict(run, Reason.DEADLINE_PASSED, detail))

    async def _try_targets(
        self, request: Forwarded, message: Message, sink: Sink, budget: Budget
    ) -> Result[None, Verdict]:
        while True:
            refusal = self._suspects.check(request)
            if refusal is not None:
                return Err(refusal)
            outcome = await self._send(request, message, sink)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            now = self._clock.monotonic()
            why = retries.find_obstacle(request, failure, now)
            if why is None and not self._spend(request, budget, now):
                why = "the budget of repeats is spent"
            if why is not None:
                return Err(retries.judge_final(request, failure, why))
            _log(
                "sends again",
                request=request.id,
                failure=failure.reason.value,
                detail=failure.detail,
                sends=request.sends,
                runs=request.runs,
                last_event=request.last_event,
            )

    def _spend(self, request: Forwarded, budget: Budget, now: timedelta) -> bool:
        count = request.next_repeats
        return budgets.spend(budget, now, self.terms, self.daemons, count)

    async def _send(
        self, request: Forwarded, message: Message, sink: Sink
    ) -> Result[None, Verdict]:
        service = self._fleet.routes.services.get(request.service)
        if service is None or not service.is_model or request.prompt is None:
            return await self._call(request, message, sink)
        return await self._generate(request, message, sink)

    # Plain services

    async def _call(
        self, request: Forwarded, message: Message, sink: Sink
    ) -> Result[None, Verdict]:
        now = self._clock.monotonic()
        fit = self._list_fit(request, None)
        choice = placement.choose_plain(fit, self._fleet.view(now))
        if choice is None:
            return Err(_NO_TARGET)
        limit = None
        left = request.deadline - now
        if request.may_repeat and request.runs + 1 < request.route.attempts:
            limit = max(left * CALL_SHARE, request.route.objective)
        send = Send(choice.target, limit=limit)
        return await self._sender.run(request, message, sink, send)

    # Model services

    async def _generate(
        self, request: Forwarded, message: Message, sink: Sink
    ) -> Result[None, Verdict]:
        serving = placement.list_fit(
            self._fleet.targets.values(), request.service, None, set()
        )
        view = self._fleet.view(self._clock.monotonic())
        if placement.lacks_output(serving, view):
            decode = [t for t in serving if t.role is Role.DECODE]
            engines = roles.list_engines(self._fleet.targets.values(), request.service)
            self._sender.spawn(self.states.retest(decode or engines))
            return Err(_NO_DECODE)
        started = await self._queue.start(request)
        if isinstance(started, Err):
            return started
        reading = started.ok_value
        target = reading.choice.target
        _log(
            "reads",
            request=request.id,
            target=target.id,
            role=target.role.value,
            why=reading.choice.why,
            shared=sum(read.tokens for read in request.reads),
            output=request.prompt.output_tokens if request.prompt else 0,
            peers=self._fleet.load_of(target).peer_requests,
        )
        limit = STREAM_SILENCE if request.route.repeat is Repeat.RESUME else None
        try:
            if target.role is not Role.PREFILL:
                if limit is not None:
                    limit += reading.choice.finish_ms * MILLISECOND
                send = Send(target, limit=limit, on_first=reading.end)
                return await self._sender.run(request, message, sink, send)
            read = await self._prefill(request, message, reading)
        finally:
            reading.end()
        if isinstance(read, Err):
            return read
        return await self._decode(request, message, sink, read.ok_value, limit)

    async def _decode(
        self,
        request: Forwarded,
        message: Message,
        sink: Sink,
        memory: Memory,
        limit: timedelta | None,
    ) -> Result[None, Verdict]:
        fit = self._list_fit(request, Role.DECODE)
        now = self._clock.monotonic()
        choice = placement.choose_decode(fit, memory.origin, self._fleet.view(now))
        if choice is None:
            self._sender.spawn(self._calls.drop_memory(memory.source))
            return Err(_NO_TARGET)
        # It keeps what it fetches, so engines that prefill may fetch it from there.
        self._queue.note_parts(choice.target, request.parts, now)
        send = Send(choice.target, source=memory.source, limit=limit)
        outcome = await self._sender.run(request, message, sink, send)
        if isinstance(outcome, Err) and outcome.err_value.run is Run.NOT_RUN:
            # Either end may have lost the memory; another pair does better.
            request.tried.add(memory.origin.id)
            evidence = self._fleet.load_of(memory.origin).failures
            loads.note_outcome(evidence, True, self._clock.monotonic())
        return outcome

    async def _prefill(
        self, request: Forwarded, message: Message, reading: Reservation
    ) -> Result[Memory, Verdict]:
        choice = reading.choice
        target = choice.target
        load = self._fleet.load_of(target)
        ahead = max(load.work_ms + load.peer_ms - choice.cost_ms, 0.0)
        sent = self._clock.monotonic()
        request.prefills += 1
        expected = choice.finish_ms * PREFILL_PATIENCE * MILLISECOND + PREFILL_SLACK
        left = request.deadline - sent
        rank = admission.rank_prefill(request, choice.cost_ms, sent)
        try:
            async with asyncio.timeout(min(expected, left).total_seconds()):
                read = await self._calls.prefill(
                    target, message, left, rank, choice.donor
                )
        except TimeoutError:
            detail = f"no answer in {min(expected, left)}"
            read = Err(Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, detail))
        now = self._clock.monotonic()
        if isinstance(read, Err):
            self._sender.note_failure(request, target, read.err_value, now)
            return read
        self._sender.note_reached(target, False, now)
        took_ms = (now - sent) / MILLISECOND - choice.fixed_ms
        loads.note_prefilled(load, choice.unread, took_ms, ahead, now)
        return Ok(Memory(read.ok_value, target))

    def _list_fit(self, request: Forwarded, role: Role | None) -> list[Target]:
        return placement.list_fit(
            self._fleet.targets.values(), request.service, role, request.tried
        )


_NO_TARGET = Verdict(
    Run.NOT_RUN, Reason.NO_TARGET, "no target serves", timedelta(milliseconds=500)
)
_NO_DECODE = Verdict(
    Run.NOT_RUN,
    Reason.NO_TARGET,
    "no engine that decodes answers",
    timedelta(milliseconds=500),
)
