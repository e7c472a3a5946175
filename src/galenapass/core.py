"""Run the decision systems each tick and serve the callers' handlers."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from random import Random

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.dispatch import STOPPING, Route
from galenapass.logs import make_log
from galenapass.metrics import Metrics
from galenapass.systems import (
    admission,
    crashes,
    estimates,
    limits,
    retries,
)
from galenapass.systems.admission import Dispatch, Effect, Preempt, Refuse
from galenapass.systems.routing import Choice
from galenapass.tables.requests import Request, RequestState
from galenapass.tables.targets import Target
from galenapass.tables.world import World
from galenapass.ticks import Ticker
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Core"]

TICK_PERIOD = timedelta(milliseconds=100)
SUSPECT_PROPAGATION_TIME = timedelta(milliseconds=250)
PREEMPTED = Verdict(
    Run.MAY_HAVE_RUN, Reason.PREEMPTED, "bulk work gives way to urgent work"
)

# Failures without a response from the target, after which it is probed for a crash.
POSSIBLE_CRASH_REASONS = frozenset({Reason.TARGET_FAILED, Reason.TARGET_UNREACHABLE})

_log = make_log("routing")

Decision = asyncio.Future[Result[Route, Verdict]]
HasCrashed = Callable[[Target], Awaitable[bool]]
AbortAttempt = Callable[[str, Verdict], bool]


class Core:
    """Request lifecycle on one daemon's tables: admission, routing and end."""

    __slots__ = (
        "_abort_attempt",
        "_clock",
        "_decisions",
        "_has_crashed",
        "_metrics",
        "_publish_suspects",
        "_random",
        "_refusal",
        "_ticker",
        "stopping",
        "world",
    )

    def __init__(
        self,
        world: World,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        has_crashed: HasCrashed,
        abort_attempt: AbortAttempt,
        publish_suspects: Callable[[], None],
    ):
        self.world = world
        self._has_crashed = has_crashed
        self._publish_suspects = publish_suspects
        self._abort_attempt = abort_attempt
        self.stopping = False
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._decisions: dict[str, Decision] = {}
        self._refusal: Verdict | None = None
        self._ticker = Ticker(self._tick, TICK_PERIOD)

    def start(self) -> None:
        """Start ticking."""
        self._ticker.start()

    def stop(self) -> None:
        """Stop ticking."""
        self._ticker.stop()

    def wake(self) -> None:
        """Schedule a tick at once because the tables have changed."""
        self._ticker.wake()

    async def route(self, request: Request) -> Result[Route, Verdict]:
        """Wait for a target and return its route, or the final verdict."""
        refusal = self._refuse_stopping() or self._refuse_new(request)
        if refusal is None:
            await self._await_suspect_updates(request)
            refusal = self._refuse_stopping()
        if refusal is not None:
            self._log_refusal(request, refusal)
            return Err(refusal)
        retries.record_new_request(self.world)
        self.world.requests[request.id] = request
        self._metrics.in_flight.add(1)
        return await self._decide(request)

    async def reroute(
        self, request: Request, failure: Verdict
    ) -> Result[Route, Verdict]:
        """Release a failed attempt and return the next route or the final verdict."""
        await self._record_crash(request, failure)
        self._end_attempt(request, failure)
        await self._await_suspect_updates(request)
        now = self._clock.monotonic()
        decided = retries.decide_retry(self.world, request, failure, now)
        if isinstance(decided, Verdict):
            self._log_refusal(request, decided)
            return Err(decided)
        _log("request is retried", request=request.id, why=decided.why)
        return await self._decide(request)

    def refuse_waiting(self, verdict: Verdict) -> None:
        """Refuse every request that waits for a target, and all that would wait later.

        The verdict says that a request may have run if an earlier attempt may have.
        """
        self._refusal = verdict
        for request_id in list(self._decisions):
            refusal = _include_earlier_attempts(
                self.world.requests[request_id], verdict
            )
            self._resolve(request_id, Err(refusal))

    def record_first_token(self, request: Request) -> None:
        """Record that prefill has finished and output has begun."""
        now = self._clock.monotonic()
        admission.record_first_token(self.world, request, now)
        wait = (now - request.arrived).total_seconds()
        self._metrics.first_token.record(wait, {"urgency": request.urgency.name})

    def record_resumption(self, request: Request) -> None:
        """Record that a moved request's output continues at its new target."""
        admission.record_first_token(self.world, request, self._clock.monotonic())

    def end(self, request: Request, verdict: Verdict) -> None:
        """Remove a request and release its reservations."""
        if self.world.requests.pop(request.id, None) is None:
            return
        self._end_attempt(request, verdict)
        request.state = RequestState.ENDED
        self._decisions.pop(request.id, None)
        self._metrics.in_flight.add(-1)
        labels = {"verdict": verdict.run.value, "reason": verdict.reason.value}
        self._metrics.requests.add(1, labels)
        self._metrics.tokens.add(request.delivered)
        self.wake()

    def _refuse_stopping(self) -> Verdict | None:
        return STOPPING if self.stopping else None

    def _refuse_new(self, request: Request) -> Verdict | None:
        now = self._clock.monotonic()
        crash_verdict = crashes.check_crash_suspicion(self.world, request)
        if crash_verdict is not None:
            return crash_verdict
        limit_verdict = limits.consume_limit(self.world, request, now)
        if limit_verdict is not None:
            return limit_verdict
        admitted = admission.admit(self.world, request, now)
        return admitted.verdict if isinstance(admitted, admission.Refused) else None

    async def _record_crash(self, request: Request, failure: Verdict) -> None:
        target = self.world.targets.get(request.target or "")
        if target is None or failure.reason not in POSSIBLE_CRASH_REASONS:
            return
        # A request that never reached its target, as that was already down, cannot
        # have crashed it.
        if failure.run is Run.NOT_RUN:
            return
        if await self._has_crashed(target):
            now = self._clock.monotonic()
            suspects = crashes.record_target_crash(self.world, target.id, now)
            _log("target crashed", target=target.id, suspects=len(suspects))
            self._publish_suspects()

    async def _await_suspect_updates(self, request: Request) -> None:
        """Give crash updates time to reach every daemon before a suspect runs."""
        if crashes.is_suspected(self.world, request):
            await asyncio.sleep(SUSPECT_PROPAGATION_TIME.total_seconds())

    def _end_attempt(self, request: Request, verdict: Verdict) -> None:
        now = self._clock.monotonic()
        estimates.learn_from_attempt(self.world, request, verdict, now)
        admission.release_reservations(self.world, request, now)
        if verdict.reason is Reason.COMPLETED:
            crashes.record_completion(self.world, request, now)

    async def _decide(self, request: Request) -> Result[Route, Verdict]:
        if self._refusal is not None:
            return Err(_include_earlier_attempts(request, self._refusal))
        decision: Decision = asyncio.get_running_loop().create_future()
        self._decisions[request.id] = decision
        self.wake()
        try:
            return await decision
        finally:
            self._decisions.pop(request.id, None)

    def _tick(self) -> None:
        started = self._clock.monotonic()
        effects = admission.next_dispatches(self.world, started, self._random)
        for effect in effects:
            EFFECT_HANDLERS[type(effect)](self, effect)
        elapsed = self._clock.monotonic() - started
        self._metrics.ticks.record(elapsed.total_seconds())

    def _dispatch(self, effect: Dispatch) -> None:
        request = self.world.requests[effect.request]
        route = _make_route(self.world, effect.choice)
        _log(
            f"request is routed to {route.target}",
            request=request.id,
            target=route.target,
            prefill_target=route.prefill_target,
            candidates=effect.choice.candidates,
            why=route.why,
        )
        self._metrics.dispatches.add(1, {"target": route.target})
        self._resolve(request.id, Ok(route))

    def _refuse(self, effect: Refuse) -> None:
        request = self.world.requests[effect.request]
        self._log_refusal(request, effect.verdict)
        self._resolve(request.id, Err(effect.verdict))

    def _preempt(self, effect: Preempt) -> None:
        _log("bulk stream is preempted", request=effect.request, why=effect.why)
        self._abort_attempt(effect.request, PREEMPTED)

    def _resolve(self, request_id: str, outcome: Result[Route, Verdict]) -> None:
        decision = self._decisions.pop(request_id, None)
        if decision is not None and not decision.done():
            decision.set_result(outcome)

    def _log_refusal(self, request: Request, verdict: Verdict) -> None:
        _log(
            f"request is refused: {verdict.reason.value}",
            request=request.id,
            caller=request.caller,
            why=verdict.detail,
        )


def _include_earlier_attempts(request: Request, verdict: Verdict) -> Verdict:
    return replace(verdict, run=Run.MAY_HAVE_RUN) if request.may_have_run else verdict


def _make_route(world: World, choice: Choice) -> Route:
    prefill = world.targets.get(choice.prefill_target or "")
    return Route(
        target=choice.target,
        address=world.targets[choice.target].address,
        prefill_target=choice.prefill_target,
        prefill_address=prefill.address if prefill else None,
        why=choice.why,
    )


EFFECT_HANDLERS: dict[type[Effect], Callable[[Core, Effect], None]] = {
    Dispatch: Core._dispatch,  # type: ignore[dict-item]
    Refuse: Core._refuse,  # type: ignore[dict-item]
    Preempt: Core._preempt,  # type: ignore[dict-item]
}
