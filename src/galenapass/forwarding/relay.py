"""Send a request to targets until one answers it or no further retry is allowed."""

import asyncio
import itertools
from collections.abc import Callable, Set
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import admission, placement, retries
from galenapass.forwarding.answer_times import AnswerTimes
from galenapass.forwarding.fleet import (
    Fleet,
    list_excluded,
    may_send,
    record_back_off,
    record_leaving,
)
from galenapass.forwarding.interfaces import Sink, TargetClient
from galenapass.forwarding.large_answers import LargeAnswers
from galenapass.forwarding.open_requests import OpenRequests
from galenapass.forwarding.origin_sharing import OriginSharing
from galenapass.forwarding.progress import ProgressTimeouts
from galenapass.forwarding.rate_limits import find_rate_limit, record_rate_limit
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.retry_accounts import RetryAccounts
from galenapass.forwarding.routes import Repeat, is_model
from galenapass.forwarding.sending import (
    SILENT_TARGET,
    Send,
    Sender,
    classify_failure,
)
from galenapass.forwarding.service_versions import UNNAMED_VERSION, ServiceVersion
from galenapass.forwarding.slot_client import Slot, SlotClient
from galenapass.forwarding.slot_requests import Outcome, SlotRequest, Stage
from galenapass.forwarding.stop_times import StopTimes
from galenapass.forwarding.suspects import CrashSuspects
from galenapass.forwarding.switching import Standby, SwitchSteps
from galenapass.forwarding.target_messages import ClientRequest, TargetNotice
from galenapass.forwarding.usage_sharing import BeginRecorder
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target
from galenapass.timeouts import limit_silence
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Relay", "fits_stream"]

# A prefill times out after this multiple of its expected duration plus the slack. The
# timeout is long enough to mean a dead engine: repeating a prefill that is only late
# does not make it faster.
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_TIMEOUT_SLACK = timedelta(seconds=1.5)
# A stream that can be resumed is moved after this long without an event, once another
# target is ready for it; clients disconnect after two seconds without one.
STREAM_STALL_TIMEOUT = timedelta(milliseconds=800)
# The first event may take this multiple of its expected time on top of that.
FIRST_EVENT_TIMEOUT_FACTOR = 2.0
# A repeatable call is moved to another target after this share of the time left.
CALL_TIMEOUT_SHARE = 0.45
# Grants tried per slot: a target may report that it is leaving, or ask for back-off,
# while its slot is granted.
MAX_GRANTS = 3
MILLISECOND = timedelta(milliseconds=1)
_log = make_log("forwarding")


@dataclass(slots=True, frozen=True)
class PrefilledPrompt:
    """Location of a prefilled prompt's KV cache and the engine that holds it."""

    source: str
    prefill_engine: Target


class Relay:
    """Dispatcher of requests to targets, with retries.

    ``on_left`` is called with a target that reports that it is leaving,
    ``on_limit_change`` when a target names another rate limit or none,
    ``on_limited_send`` before each send to a target that limits its rate; ``begins``
    counts the requests that begin to run.
    """

    def __init__(
        self,
        fleet: Fleet,
        target_client: TargetClient,
        slot_client: SlotClient,
        suspects: CrashSuspects,
        clock: Clock,
        retry_accounts: RetryAccounts,
        on_left: Callable[[Target], None],
        on_limit_change: Callable[[], None],
        on_limited_send: Callable[[Target, Stage], None],
        origins: OriginSharing,
        on_silent: Callable[[str, timedelta], None] = lambda name, silence: None,
        large_answers: LargeAnswers | None = None,
        begins: BeginRecorder | None = None,
    ):
        self._fleet = fleet
        self._target_client = target_client
        self._slot_client = slot_client
        self._suspects = suspects
        self._clock = clock
        self._retry_accounts = retry_accounts
        self._on_left = on_left
        self._on_limit_change = on_limit_change
        self._on_limited_send = on_limited_send
        self._origins = origins
        self._on_silent = on_silent
        self._sender = Sender(
            target_client,
            suspects,
            clock,
            self._record_stream_begin,
            large_answers,
            begins,
        )
        self._answer_times = AnswerTimes()
        self._open_requests = OpenRequests(clock, self._answer_times)
        self._ticket_numbers = itertools.count()

    async def serve(
        self, request: ForwardedRequest, message: ClientRequest, sink: Sink
    ) -> Result[None, Verdict]:
        """Answer a request through ``sink``; an error is the verdict for the client."""
        first_stage = Stage.PREFILL if request.is_generation else Stage.CALL
        try:
            async with self._open_requests.bound(request, first_stage):
                refusal = await self._find_origin(request)
                if refusal is not None:
                    return Err(refusal)
                self._retry_accounts.record_request(request)
                return await self._try_targets(request, message, sink)
        except TimeoutError:
            return Err(self._open_requests.make_verdict(request))
        finally:
            self._retry_accounts.release(request)

    def begin_stop(self, times: StopTimes) -> None:
        """Answer the open requests, and those still to come, within a stop."""
        self._open_requests.begin_stop(times)

    def bound_body(self) -> AbstractAsyncContextManager[None]:
        """Raise TimeoutError if a body is not whole as the answers of a stop end."""
        return self._open_requests.bound_body()

    async def _find_origin(self, request: ForwardedRequest) -> Verdict | None:
        """Find where a stream began that a client resumes, or why it can't go on."""
        if not request.is_resumed:
            return None
        services = [name for name, _ in request.route.split]
        resolved = await self._origins.resolve(request.stream, services)
        if isinstance(resolved, Err):
            return resolved.err_value
        request.origin = resolved.ok_value
        request.service = request.origin.service
        is_engine = is_model(self._fleet.routes, request.service)
        request.is_generation = request.prompt is not None and is_engine
        return None

    def _record_stream_begin(self, request: ForwardedRequest, target: Target) -> None:
        """Keep a stream that may be resumed to the version that makes its events."""
        if request.route.repeat is not Repeat.RESUME:
            return
        if request.origin is None:
            request.origin = ServiceVersion(target.service, target.version)
        if request.version != UNNAMED_VERSION:
            self._origins.record(request.stream, request.origin, request.abandoned_at)

    async def _try_targets(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
    ) -> Result[None, Verdict]:
        standby = self._make_standby(request, message)
        try:
            return await self._try_each(request, message, sink, standby)
        finally:
            standby.cancel()

    async def _try_each(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        standby: Standby,
    ) -> Result[None, Verdict]:
        while True:
            refusal = self._suspects.check_request(request)
            if refusal is not None:
                return Err(
                    retries.make_final_verdict(
                        request, refusal, "it is not tried again"
                    )
                )
            outcome = await self._send(request, message, sink, standby)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if not await standby.settle():
                standby.cancel()
                now = self._clock.monotonic()
                obstacle = retries.find_obstacle(request, failure, now)
                was_sent = failure.reason is not Reason.TARGET_EXCLUDED
                if obstacle is None and was_sent:
                    is_reserved = self._retry_accounts.reserve(request)
                    obstacle = None if is_reserved else "the retry budget is spent"
                if obstacle is not None:
                    return Err(retries.make_final_verdict(request, failure, obstacle))
            _log(
                "request is sent again",
                request=request.id,
                failure=failure.reason.value,
                detail=failure.detail,
                sends=request.sends,
                runs=request.runs,
                last_event=request.last_event,
            )

    async def _send(
        self,
        request: ForwardedRequest,
        message: ClientRequest,
        sink: Sink,
        standby: Standby,
    ) -> Result[None, Verdict]:
        send = standby.take()
        if send is not None and not fits_stream(request, send.slot.grant.target):
            self._sender.discard(request, send)
            send = None
        if send is None:
            prepared = await self._prepare(request, message)
            if isinstance(prepared, Err):
                return prepared
            send = prepared.ok_value
            if not self._retry_accounts.charge(request):
                self._sender.discard(request, send)
                return Err(_BUDGET_SPENT)
        self._open_requests.record_start(request)
        started = self._clock.monotonic()
        outcome = await self._sender.run(request, message, sink, send, standby)
        if isinstance(outcome, Ok):
            self._record_answer_time(request, send, started)
        is_not_run = isinstance(outcome, Err) and outcome.err_value.run is Run.NOT_RUN
        if is_not_run and send.prefill_engine is not None:
            # Either engine may have lost the KV cache, so both are avoided next time.
            request.tried.add(send.prefill_engine)
        return outcome

    async def _prepare(
        self, request: ForwardedRequest, message: ClientRequest
    ) -> Result[Send, Verdict]:
        """Acquire the slots of a send and have its prompt prefilled where needed."""
        if request.is_generation:
            return await self._prepare_generation(request, message)
        return await self._prepare_call(request)

    def _record_answer_time(
        self, request: ForwardedRequest, send: Send, started: timedelta
    ) -> None:
        """Learn how long the last stages of a request took."""
        stage = Stage.DECODE if request.is_generation else Stage.CALL
        began = send.slot.first_output_at
        if stage is Stage.DECODE and send.source is None and began is not None:
            # Before its first output the engine read the prompt.
            self._answer_times.record(request, Stage.PREFILL, began - started)
            started = began
        took = self._clock.monotonic() - started
        self._answer_times.record(request, stage, took, send.slot.pace)

    # Plain services

    async def _prepare_call(self, request: ForwardedRequest) -> Result[Send, Verdict]:
        acquired = await self._acquire_slot(request, Stage.CALL)
        if isinstance(acquired, Err):
            return acquired
        progress_timeouts = ProgressTimeouts()
        time_left = request.deadline - self._clock.monotonic()
        if request.may_repeat:
            limit = max(time_left * CALL_TIMEOUT_SHARE, request.route.latency_objective)
            progress_timeouts = ProgressTimeouts(
                limit, limit, self._make_switch_check(request)
            )
        return Ok(Send(acquired.ok_value, progress_timeouts=progress_timeouts))

    # Model services

    async def _prepare_generation(
        self, request: ForwardedRequest, message: ClientRequest
    ) -> Result[Send, Verdict]:
        acquired = await self._acquire_slot(request, Stage.PREFILL)
        if isinstance(acquired, Err):
            return acquired
        slot = acquired.ok_value
        grant = slot.grant
        _log(
            "reads",
            request=request.id,
            target=grant.target.id,
            role=grant.target.role.value,
            why=grant.why,
            shared=sum(part.tokens for part in request.shared_parts),
            output=request.prompt.output_tokens if request.prompt else 0,
        )
        if grant.target.role is not Role.PREFILL:
            timeouts = self._find_progress_timeouts(request, slot)
            return Ok(Send(slot, progress_timeouts=timeouts))
        prefilled = await self._prefill(request, message, slot)
        if isinstance(prefilled, Err):
            return prefilled
        return await self._prepare_decode(request, prefilled.ok_value)

    async def _prepare_decode(
        self, request: ForwardedRequest, prefilled: PrefilledPrompt
    ) -> Result[Send, Verdict]:
        try:
            acquired = await self._acquire_slot(
                request, Stage.DECODE, prefilled.prefill_engine.id
            )
        except asyncio.CancelledError:
            self._sender.spawn(self._target_client.release_kv_cache(prefilled.source))
            raise
        if isinstance(acquired, Err):
            self._sender.spawn(self._target_client.release_kv_cache(prefilled.source))
            return acquired
        slot = acquired.ok_value
        timeouts = self._find_progress_timeouts(request, slot)
        return Ok(Send(slot, prefilled.source, timeouts, prefilled.prefill_engine.id))

    def _find_progress_timeouts(
        self, request: ForwardedRequest, slot: Slot
    ) -> ProgressTimeouts:
        """Return how long a stream may go without progress before it is moved.

        The first event may take a multiple of its expected time: when all engines are
        full, another one is no faster.
        """
        if request.route.repeat is not Repeat.RESUME:
            return ProgressTimeouts()
        expected = slot.grant.finish_ms * FIRST_EVENT_TIMEOUT_FACTOR * MILLISECOND
        check = self._make_switch_check(request)
        return ProgressTimeouts(
            STREAM_STALL_TIMEOUT + expected, STREAM_STALL_TIMEOUT, check
        )

    def _make_switch_check(self, request: ForwardedRequest) -> Callable[[], bool]:
        """Return a function that checks whether a request could be sent again now."""

        def may_switch_target() -> bool:
            now = self._clock.monotonic()
            if retries.find_obstacle(request, SILENT_TARGET, now) is not None:
                return False
            return self._retry_accounts.can_reserve(request)

        return may_switch_target

    # Silent targets

    def _make_standby(
        self, request: ForwardedRequest, message: ClientRequest
    ) -> Standby:
        steps = SwitchSteps(
            lambda: self._reserve_switch(request),
            lambda: self._prepare_switch(request, message),
            lambda send: self._sender.discard(request, send),
        )
        return Standby(request.id, steps)

    def _reserve_switch(self, request: ForwardedRequest) -> Callable[[], None] | None:
        """Reserve the cost of a switch in the retry budget, None if it is impossible.

        Return a function that releases what was not sent.
        """
        now = self._clock.monotonic()
        if request.target is not None:
            self._on_silent(request.target, STREAM_STALL_TIMEOUT)
        if not self._has_other_target(request, now):
            return None
        if not self._retry_accounts.reserve(request):
            return None
        return lambda: self._retry_accounts.release(request)

    def _has_other_target(self, request: ForwardedRequest, now: timedelta) -> bool:
        """Return whether a target that answers has a free slot, except the present one.

        Without it, a prompt would be prefilled in vain.
        """
        view = self._fleet.view(now)
        targets = placement.list_eligible(
            self._fleet.targets.values(),
            request.service,
            None,
            frozenset(),
            self._list_unusable(request),
            request.version,
        )
        return any(
            target.role is not Role.PREFILL
            and not view.is_down(target)
            and placement.has_slot(target, view.load_of(target))
            for target in targets
        )

    async def _prepare_switch(
        self, request: ForwardedRequest, message: ClientRequest
    ) -> Result[Send, Verdict]:
        if request.target is not None:
            # A request that may have crashed a target gets no second one.
            request.tried.add(request.target)
        prepared = await self._prepare(request, message)
        if isinstance(prepared, Err):
            return prepared
        send = prepared.ok_value
        if not self._retry_accounts.charge(request):
            self._sender.discard(request, send)
            return Err(_BUDGET_SPENT)
        return await self._sender.begin(request, message, send)

    async def _prefill(
        self, request: ForwardedRequest, message: ClientRequest, slot: Slot
    ) -> Result[PrefilledPrompt, Verdict]:
        grant = slot.grant
        target = grant.target
        if not self._retry_accounts.charge(request):
            slot.end(Outcome.CANCELLED)
            return Err(_BUDGET_SPENT)
        sent = self._clock.monotonic()
        request.prefills += 1
        self._open_requests.record_start(request, Stage.DECODE)
        expected = (
            grant.finish_ms * PREFILL_TIMEOUT_FACTOR * MILLISECOND
            + PREFILL_TIMEOUT_SLACK
        )
        time_left = request.deadline - sent
        rank = admission.rank_prefill(request, grant.cost_ms, sent)
        try:
            async with limit_silence(min(expected, time_left)):
                prefilled = await self._target_client.prefill(
                    target, message, time_left, rank, grant.cache_source
                )
        except TimeoutError:
            detail = f"no answer in {min(expected, time_left)}"
            prefilled = Err(Verdict(Run.NOT_RUN, Reason.TARGET_FAILED, detail))
        except BaseException:
            # The client disconnected; this is no failure of the target.
            slot.end(Outcome.CANCELLED)
            raise
        if isinstance(prefilled, Err):
            if prefilled.err_value.reason is Reason.TARGET_EXCLUDED:
                # Nothing was sent.
                request.prefills -= 1
            slot.end(classify_failure(prefilled.err_value))
            self._sender.record_failure(request, target, prefilled.err_value)
            return prefilled
        slot.end(Outcome.DONE)
        request.has_prefilled = True
        took = self._clock.monotonic() - sent
        self._answer_times.record(request, Stage.PREFILL, took)
        return Ok(PrefilledPrompt(prefilled.ok_value, target))

    # Slots

    async def _acquire_slot(
        self, request: ForwardedRequest, stage: Stage, prefill_engine: str = ""
    ) -> Result[Slot, Verdict]:
        """Acquire a slot at a target that accepts work from this daemon."""
        self._open_requests.record_wait(request, stage)
        unusable: set[str] = set()
        for _ in range(MAX_GRANTS):
            if not self._open_requests.may_start(request):
                return Err(self._open_requests.make_verdict(request))
            acquired = await self._slot_client.acquire(
                self._make_slot_request(request, stage, prefill_engine, unusable)
            )
            if isinstance(acquired, Err):
                return acquired
            refusal = self._suspects.check_request(request)
            if refusal is None and not self._open_requests.may_start(request):
                refusal = self._open_requests.make_verdict(request)
            if refusal is not None:
                # It was found to crash targets, or became too late, meanwhile.
                acquired.ok_value.end(Outcome.CANCELLED)
                return Err(refusal)
            target = acquired.ok_value.grant.target
            if self._is_usable(request, target, stage):
                if find_rate_limit(self._fleet.rate_limits, target) is not None:
                    self._on_limited_send(target, stage)
                return acquired
            # The target was excluded, or replaced, while the request was in progress,
            # or its scheduler does not know that it has left.
            acquired.ok_value.end(Outcome.CANCELLED)
            unusable.add(target.id)
        return Err(_NO_TARGET)

    def _is_usable(
        self, request: ForwardedRequest, target: Target, stage: Stage | None = None
    ) -> bool:
        """Return whether a request may go to a target that was granted to it.

        At an engine that only prefills a stream doesn't go on.
        """
        if not may_send(self._fleet, target, self._clock.monotonic()):
            return False
        if self._slot_client.is_local and self._is_replaced(target):
            return False
        only_prefills = stage is Stage.PREFILL and target.role is Role.PREFILL
        return only_prefills or fits_stream(request, target)

    def _is_replaced(self, target: Target) -> bool:
        """Return whether the id of a granted target names another one by now."""
        known = self._fleet.targets.get(target.id, target)
        return (known.incarnation, known.version) != (
            target.incarnation,
            target.version,
        )

    def _make_slot_request(
        self,
        request: ForwardedRequest,
        stage: Stage,
        prefill_engine: str,
        unusable: Set[str],
    ) -> SlotRequest:
        return SlotRequest(
            f"{self._fleet.host}:{request.id}:{next(self._ticket_numbers)}",
            request.id,
            request.service,
            stage,
            request.soft_deadline,
            request.deadline,
            request.rank,
            request.prompt,
            request.parts,
            frozenset(request.tried),
            self._list_unusable(request) | unusable,
            prefill_engine,
            request.fingerprint,
            request.version,
            organisation=request.organisation,
        )

    def _list_unusable(self, request: ForwardedRequest) -> frozenset[str]:
        excluded = list_excluded(self._fleet, self._clock.monotonic())
        return excluded if request.target is None else excluded | {request.target}

    def apply_notice(self, target: Target, notice: TargetNotice) -> None:
        """Apply what a target's response says of the target."""
        now = self._clock.monotonic()
        if notice.back_off is not None:
            record_back_off(self._fleet, target.id, now + notice.back_off)
            seconds = notice.back_off.total_seconds()
            _log("target requests back-off", target=target.id, seconds=seconds)
        if notice.leaving and record_leaving(
            self._fleet, target.id, target.incarnation
        ):
            _log("target reports that it is leaving", target=target.id)
            self._on_left(target)
        if notice.rate_limit is not None or notice.lifts_limit:
            self._apply_rate_limit(target, notice, now)

    def _apply_rate_limit(
        self, target: Target, notice: TargetNotice, now: timedelta
    ) -> None:
        limits = self._fleet.rate_limits
        rate, before = notice.rate_limit, find_rate_limit(limits, target)
        incarnation = (target.id, target.incarnation)
        if record_rate_limit(limits, incarnation, rate, notice.sent_at, now):
            _log("target limit changed", target=target.id, rate=rate, before=before)
            self._on_limit_change()


def fits_stream(request: ForwardedRequest, target: Target) -> bool:
    """Return whether a target may make the next event of a request's stream."""
    return (
        request.version is None or request.version == target.version != UNNAMED_VERSION
    )


_NO_TARGET = Verdict(
    Run.NOT_RUN,
    Reason.NO_TARGET,
    "no target accepts work from this daemon",
    timedelta(milliseconds=200),
)
_BUDGET_SPENT = Verdict(
    Run.NOT_RUN, Reason.OVERLOADED, "the retry budget was spent while it waited"
)
