"""Send a request to targets until one has answered it or nothing more may be tried."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import admission, retries, retry_budgets
from galenapass.forwarding.fleet import (
    Fleet,
    list_excluded,
    record_back_off,
    record_leaving,
)
from galenapass.forwarding.interfaces import Sink, TargetClient
from galenapass.forwarding.progress import ProgressTimeouts
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.retry_budgets import Budget, RetryBudgetTerms
from galenapass.forwarding.routes import Repeat
from galenapass.forwarding.sending import Send, Sender, judge_outcome
from galenapass.forwarding.slot_client import Slot, SlotClient
from galenapass.forwarding.slot_requests import Outcome, SlotRequest, Stage
from galenapass.forwarding.suspects import CrashSuspects
from galenapass.forwarding.target_messages import ClientRequest, TargetNotice
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
# Its first event may take this many times what was expected, beside that silence.
FIRST_PATIENCE = 2.0
# A call that may run again is moved after this share of the time left.
CALL_SHARE = 0.45
# A daemon that has just started takes no more than this part of the fixed budget.
DAEMONS_UNLISTED = 10
# Targets that say that they leave while a place at them is granted.
MOST_GRANTS = 3
MILLISECOND = timedelta(milliseconds=1)
_log = make_log("forwarding")


@dataclass(slots=True, frozen=True)
class Memory:
    """Hold where the memory of a prompt that was read is, and whose it is."""

    source: str
    prefill_engine: Target


class Relay:
    """Carry requests to targets; every decision is a function of the tables."""

    def __init__(
        self,
        fleet: Fleet,
        calls: TargetClient,
        slot_client: SlotClient,
        suspects: CrashSuspects,
        clock: Clock,
        terms: RetryBudgetTerms,
        on_left: Callable[[Target], None],
    ):
        self.terms = terms
        self.daemons = DAEMONS_UNLISTED
        self._fleet = fleet
        self._calls = calls
        self._slot_client = slot_client
        self._suspects = suspects
        self._clock = clock
        self._on_left = on_left
        self._sender = Sender(calls, suspects, clock)
        self._budgets: dict[str, Budget] = {}
        self._asks = itertools.count()

    async def serve(
        self, request: ForwardedRequest, message: ClientRequest, sink: Sink
    ) -> Result[None, Verdict]:
        """Answer a request; an error is the verdict to tell the client."""
        now = self._clock.monotonic()
        budget = self._budget_of(request)
        retry_budgets.record_request(budget, now, self.terms)
        left = (request.deadline - now).total_seconds()
        try:
            async with asyncio.timeout(max(left, 0)):
                return await self._try_targets(request, message, sink, budget)
        except TimeoutError:
            run = Run.MAY_HAVE_RUN if request.runs else Run.NOT_RUN
            detail = f"{request.sends} sends in {request.deadline - request.arrived}"
            return Err(Verdict(run, Reason.DEADLINE_PASSED, detail))

    async def _try_targets(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        budget: Budget,
    ) -> Result[None, Verdict]:
        while True:
            refusal = self._suspects.check(request.fingerprint)
            if refusal is not None:
                return Err(
                    retries.make_final_verdict(
                        request, refusal, "it is not tried again"
                    )
                )
            outcome = await self._send(request, message, sink)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            now = self._clock.monotonic()
            why = retries.find_obstacle(request, failure, now)
            if why is None and not self._spend(request, budget, now):
                why = "the budget of repeats is spent"
            if why is not None:
                return Err(retries.make_final_verdict(request, failure, why))
            _log(
                "sends again",
                request=request.id,
                failure=failure.reason.value,
                detail=failure.detail,
                sends=request.sends,
                runs=request.runs,
                last_event=request.last_event,
            )

    def _spend(self, request: ForwardedRequest, budget: Budget, now: timedelta) -> bool:
        count = request.next_retry_cost
        return retry_budgets.spend(budget, now, self.terms, self.daemons, count)

    async def _send(
        self, request: ForwardedRequest, message: ClientRequest, sink: Sink
    ) -> Result[None, Verdict]:
        service = self._fleet.routes.services.get(request.service)
        if service is None or not service.is_model or request.prompt is None:
            return await self._call(request, message, sink)
        return await self._generate(request, message, sink)

    # Plain services

    async def _call(
        self, request: ForwardedRequest, message: ClientRequest, sink: Sink
    ) -> Result[None, Verdict]:
        placed = await self._acquire_slot(request, Stage.CALL)
        if isinstance(placed, Err):
            return placed
        progress_timeouts = ProgressTimeouts()
        left = request.deadline - self._clock.monotonic()
        if request.may_repeat:
            limit = max(left * CALL_SHARE, request.route.latency_objective)
            progress_timeouts = ProgressTimeouts(
                limit, limit, self._make_check(request)
            )
        send = Send(placed.ok_value, progress_timeouts=progress_timeouts)
        return await self._sender.run(request, message, sink, send)

    # Model services

    async def _generate(
        self, request: ForwardedRequest, message: ClientRequest, sink: Sink
    ) -> Result[None, Verdict]:
        placed = await self._acquire_slot(request, Stage.PREFILL)
        if isinstance(placed, Err):
            return placed
        slot = placed.ok_value
        grant = slot.grant
        _log(
            "reads",
            request=request.id,
            target=grant.target.id,
            role=grant.target.role.value,
            why=grant.why,
            shared=sum(read.tokens for read in request.shared_parts),
            output=request.prompt.output_tokens if request.prompt else 0,
        )
        if grant.target.role is not Role.PREFILL:
            send = Send(
                slot, progress_timeouts=self._find_progress_timeouts(request, slot)
            )
            return await self._sender.run(request, message, sink, send)
        read = await self._prefill(request, message, slot)
        if isinstance(read, Err):
            return read
        return await self._decode(request, message, sink, read.ok_value)

    async def _decode(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        memory: Memory,
    ) -> Result[None, Verdict]:
        try:
            placed = await self._acquire_slot(
                request, Stage.DECODE, memory.prefill_engine.id
            )
        except asyncio.CancelledError:
            self._sender.spawn(self._calls.release_kv_cache(memory.source))
            raise
        if isinstance(placed, Err):
            self._sender.spawn(self._calls.release_kv_cache(memory.source))
            return placed
        slot = placed.ok_value
        send = Send(slot, memory.source, self._find_progress_timeouts(request, slot))
        outcome = await self._sender.run(request, message, sink, send)
        if isinstance(outcome, Err) and outcome.err_value.run is Run.NOT_RUN:
            # Either end may have lost the memory; another pair does better.
            request.tried.add(memory.prefill_engine.id)
        return outcome

    def _find_progress_timeouts(
        self, request: ForwardedRequest, slot: Slot
    ) -> ProgressTimeouts:
        """Return how long an engine may make no progress with a stream.

        Its first event may take some times as long as expected: another engine is
        no better when all are full.
        """
        if request.route.repeat is not Repeat.RESUME:
            return ProgressTimeouts()
        expected = slot.grant.finish_ms * FIRST_PATIENCE * MILLISECOND
        check = self._make_check(request)
        return ProgressTimeouts(STREAM_SILENCE + expected, STREAM_SILENCE, check)

    def _budget_of(self, request: ForwardedRequest) -> Budget:
        return self._budgets.setdefault(request.service, Budget())

    def _make_check(self, request: ForwardedRequest) -> Callable[[], bool]:
        """Return what tells whether a run in use could be followed by another one."""
        budget = self._budget_of(request)

        def may_switch_target() -> bool:
            now = self._clock.monotonic()
            if request.runs >= request.route.attempts:
                return False
            count = request.next_retry_cost
            return retry_budgets.can_spend(budget, now, self.terms, self.daemons, count)

        return may_switch_target

    async def _prefill(
        self, request: ForwardedRequest, message: ClientRequest, slot: Slot
    ) -> Result[Memory, Verdict]:
        grant = slot.grant
        target = grant.target
        sent = self._clock.monotonic()
        request.prefills += 1
        expected = grant.finish_ms * PREFILL_PATIENCE * MILLISECOND + PREFILL_SLACK
        left = request.deadline - sent
        rank = admission.rank_prefill(request, grant.cost_ms, sent)
        try:
            async with asyncio.timeout(min(expected, left).total_seconds()):
                read = await self._calls.prefill(
                    target, message, left, rank, grant.cache_source
                )
        except TimeoutError:
            detail = f"no answer in {min(expected, left)}"
            read = Err(Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, detail))
        except BaseException:
            # The client left, which says nothing of the target.
            slot.end(Outcome.CANCELLED)
            raise
        if isinstance(read, Err):
            slot.end(judge_outcome(read.err_value))
            self._sender.note_failure(request, target, read.err_value)
            return read
        slot.end(Outcome.DONE)
        return Ok(Memory(read.ok_value, target))

    # Places

    async def _acquire_slot(
        self, request: ForwardedRequest, stage: Stage, prefill_engine: str = ""
    ) -> Result[Slot, Verdict]:
        """Return a place at a target that takes work from this daemon."""
        for _ in range(MOST_GRANTS):
            placed = await self._slot_client.acquire(
                self._make_slot_request(request, stage, prefill_engine)
            )
            if isinstance(placed, Err):
                return placed
            target = placed.ok_value.grant.target
            if target.id not in list_excluded(self._fleet, self._clock.monotonic()):
                return placed
            # It said so while the ask was on its way.
            placed.ok_value.end(Outcome.CANCELLED)
        return Err(_NO_TARGET)

    def _make_slot_request(
        self, request: ForwardedRequest, stage: Stage, prefill_engine: str
    ) -> SlotRequest:
        return SlotRequest(
            f"{self._fleet.host}:{request.id}:{next(self._asks)}",
            request.id,
            request.service,
            stage,
            request.soft_deadline,
            request.deadline,
            request.rank,
            request.prompt,
            request.parts,
            frozenset(request.tried),
            list_excluded(self._fleet, self._clock.monotonic()),
            prefill_engine,
            request.fingerprint,
        )

    def apply_notice(self, target: Target, notice: TargetNotice) -> None:
        """Take in what a target's answer says of its wishes."""
        now = self._clock.monotonic()
        if notice.back_off is not None:
            record_back_off(self._fleet, target.id, now + notice.back_off)
            seconds = notice.back_off.total_seconds()
            _log("target wants a rest", target=target.id, seconds=seconds)
        if notice.leaving and record_leaving(
            self._fleet, target.id, target.incarnation
        ):
            _log("target says that it leaves", target=target.id)
            self._on_left(target)


_NO_TARGET = Verdict(
    Run.NOT_RUN,
    Reason.NO_TARGET,
    "no target takes work from this daemon",
    timedelta(milliseconds=200),
)
