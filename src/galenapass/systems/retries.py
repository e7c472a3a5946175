"""Decide whether a failed attempt is retried, within a budget.

The core calls ``record_new_request`` for each request that it admits and
``decide_retry`` for each failed attempt, after ``admission.release_reservations``. A
``Retry`` means that the request waits again; a ``Verdict`` is final.
"""

from dataclasses import dataclass, replace
from datetime import timedelta

from galenapass.systems import crashes
from galenapass.tables.limits import RetryBudget
from galenapass.tables.requests import Request, RequestState
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Retry", "decide_retry", "record_new_request"]

RETRY_SHARE = 0.1  # retries that each new request adds to the budget
MIN_RETRY_RATE = 1.0  # retries a second, regained without new requests too
MAX_BUDGET = 50.0  # retries
MAX_ATTEMPTS = 4
RESUME_TIME = timedelta(minutes=5)
SUSPECT_RESUME_TIME = timedelta(seconds=10)  # a suspect's trial may never start
RETRY_AFTER = timedelta(seconds=1)
RETRYABLE_REASONS = frozenset(
    {Reason.TARGET_REFUSED, Reason.TARGET_FAILED, Reason.TARGET_UNREACHABLE}
)


@dataclass(slots=True, frozen=True)
class Retry:
    """Decision that a request waits for another target, with the reason to log."""

    why: str


def record_new_request(world: World) -> None:
    """Add a new request's share of a retry to the budget."""
    budget = world.retries
    budget.tokens = min(MAX_BUDGET, budget.tokens + RETRY_SHARE)


def decide_retry(
    world: World, request: Request, failure: Verdict, now: timedelta
) -> Retry | Verdict:
    """Queue a failed request again, or end it and return the final verdict."""
    _extend_deadline(world, request, now)
    if failure.reason is Reason.PREEMPTED and request.idempotent:
        return _requeue(request, failure)
    _record_attempt(request, failure)
    crash_verdict = crashes.check_crash_suspicion(world, request)
    if crash_verdict is not None:
        return _end_request(request, crash_verdict)
    refusal = _find_refusal(request, failure, now)
    if refusal is not None:
        return _end_request(request, _make_final_verdict(request, failure, refusal))
    if not _consume_budget(world.retries, now):
        return _end_request(
            request, _make_final_verdict(request, failure, "the retry budget is spent")
        )
    request.state = RequestState.WAITING
    return Retry(f"attempt {request.attempts} {failure.reason.value}")


def _extend_deadline(world: World, request: Request, now: timedelta) -> None:
    """Extend the deadline of a partial answer, which is of no use unless resumed."""
    if not request.delivered:
        return
    on_trial = crashes.is_suspected(world, request)
    time = SUSPECT_RESUME_TIME if on_trial else RESUME_TIME
    request.deadline = max(request.deadline, now + time)


def _requeue(request: Request, failure: Verdict) -> Retry:
    """Queue a preempted request again without counting the attempt."""
    request.attempts -= 1
    request.may_have_run |= failure.run is not Run.NOT_RUN
    request.target = None
    request.prefill_target = None
    request.state = RequestState.WAITING
    return Retry(Reason.PREEMPTED.value)


def _record_attempt(request: Request, failure: Verdict) -> None:
    if request.target is not None:
        request.tried.add(request.target)
    if failure.run is not Run.NOT_RUN:
        request.may_have_run = True
    request.target = None
    request.prefill_target = None


def _find_refusal(request: Request, failure: Verdict, now: timedelta) -> str | None:
    """Return why a failure may not be retried, or None if it may."""
    checks = (
        (failure.reason not in RETRYABLE_REASONS, "no other target would do better"),
        (request.may_have_run and not request.idempotent, "it may run only once"),
        (now >= request.deadline, "its deadline has passed"),
        (request.attempts >= MAX_ATTEMPTS, f"{request.attempts} attempts failed"),
    )
    return next((why for applies, why in checks if applies), None)


def _consume_budget(budget: RetryBudget, now: timedelta) -> bool:
    regained = (now - budget.filled).total_seconds() * MIN_RETRY_RATE
    budget.tokens = min(MAX_BUDGET, budget.tokens + regained)
    budget.filled = now
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def _make_final_verdict(request: Request, failure: Verdict, why: str) -> Verdict:
    run = Run.MAY_HAVE_RUN if request.may_have_run else failure.run
    detail = f"{failure.detail}; {why}" if failure.detail else why
    retry_after = failure.retry_after
    if retry_after is None and failure.reason in RETRYABLE_REASONS:
        retry_after = RETRY_AFTER
    return replace(failure, run=run, detail=detail, retry_after=retry_after)


def _end_request(request: Request, verdict: Verdict) -> Verdict:
    request.state = RequestState.ENDED
    return verdict
