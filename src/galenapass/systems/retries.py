"""Decide whether a failed attempt is tried again, within a budget.

The core calls ``record_new_request`` for each request that it admits and
``decide_retry`` for each failed attempt, after ``admission.release_reservations``. A
``Retry`` puts the request back among the waiting; a ``Verdict`` is final.
"""

from dataclasses import dataclass, replace
from datetime import timedelta

from galenapass.systems import crashes
from galenapass.tables.limits import RetryBudget
from galenapass.tables.requests import Request, RequestState
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Retry", "decide_retry", "record_new_request"]

RETRY_SHARE = 0.1  # retries that each fresh request pays for
LEAST_RATE = 1.0  # retries a second that idle daemons regain
LARGEST_BUDGET = 50.0  # retries
MOST_ATTEMPTS = 4
RESUME_TIME = timedelta(minutes=5)
SUSPECT_RESUME_TIME = timedelta(seconds=10)  # its turn for a trial may not come
RETRY_AFTER = timedelta(seconds=1)
RETRIED = frozenset(
    {Reason.TARGET_REFUSED, Reason.TARGET_FAILED, Reason.TARGET_UNREACHABLE}
)


@dataclass(slots=True, frozen=True)
class Retry:
    """Tell that a request waits for another target, and why."""

    why: str


def record_new_request(world: World) -> None:
    """Let a fresh request pay its share of a retry."""
    budget = world.retries
    budget.tokens = min(LARGEST_BUDGET, budget.tokens + RETRY_SHARE)


def decide_retry(
    world: World, request: Request, failure: Verdict, now: timedelta
) -> Retry | Verdict:
    """Put a failed request back among the waiting, or return the final verdict."""
    _extend(world, request, now)
    if failure.reason is Reason.PREEMPTED and request.idempotent:
        return _put_back(request, failure)
    _note_attempt(request, failure)
    crash_verdict = crashes.check_crash_suspicion(world, request)
    if crash_verdict is not None:
        return _end(request, crash_verdict)
    refusal = _refuse(request, failure, now)
    if refusal is not None:
        return _end(request, _final(request, failure, refusal))
    if not _spend(world.retries, now):
        return _end(request, _final(request, failure, "the retry budget is spent"))
    request.state = RequestState.WAITING
    return Retry(f"attempt {request.attempts} {failure.reason.value}")


def _extend(world: World, request: Request, now: timedelta) -> None:
    """Give a begun answer time to resume, as half of it is worth nothing."""
    if not request.delivered:
        return
    on_trial = crashes.is_suspected(world, request)
    time = SUSPECT_RESUME_TIME if on_trial else RESUME_TIME
    request.deadline = max(request.deadline, now + time)


def _put_back(request: Request, failure: Verdict) -> Retry:
    """Queue a request again that no failure of its own has stopped."""
    request.attempts -= 1
    request.may_have_run |= failure.run is not Run.NOT_RUN
    request.target = None
    request.prefill_target = None
    request.state = RequestState.WAITING
    return Retry(Reason.PREEMPTED.value)


def _note_attempt(request: Request, failure: Verdict) -> None:
    if request.target is not None:
        request.tried.add(request.target)
    if failure.run is not Run.NOT_RUN:
        request.may_have_run = True
    request.target = None
    request.prefill_target = None


def _refuse(request: Request, failure: Verdict, now: timedelta) -> str | None:
    """Return why a failure may not be retried, or None when it may."""
    checks = (
        (failure.reason not in RETRIED, "no other target would do better"),
        (request.may_have_run and not request.idempotent, "it may run only once"),
        (now >= request.deadline, "its deadline has passed"),
        (request.attempts >= MOST_ATTEMPTS, f"{request.attempts} attempts failed"),
    )
    return next((why for holds, why in checks if holds), None)


def _spend(budget: RetryBudget, now: timedelta) -> bool:
    regained = (now - budget.filled).total_seconds() * LEAST_RATE
    budget.tokens = min(LARGEST_BUDGET, budget.tokens + regained)
    budget.filled = now
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True


def _final(request: Request, failure: Verdict, why: str) -> Verdict:
    run = Run.MAY_HAVE_RUN if request.may_have_run else failure.run
    detail = f"{failure.detail}; {why}" if failure.detail else why
    back = failure.retry_after
    if back is None and failure.reason in RETRIED:
        back = RETRY_AFTER
    return replace(failure, run=run, detail=detail, retry_after=back)


def _end(request: Request, verdict: Verdict) -> Verdict:
    request.state = RequestState.ENDED
    return verdict
