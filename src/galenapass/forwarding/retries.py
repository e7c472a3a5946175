"""Decide whether a failed send is retried."""

from datetime import timedelta

from galenapass.forwarding.requests import ForwardedRequest
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["find_obstacle", "make_final_verdict"]

# Sends of one request, whatever their outcomes.
MAX_SENDS = 4
# A handover and the first output take longer than this.
MIN_TIME_LEFT = timedelta(milliseconds=60)
# A target that was full has a free slot, and one that left is replaced, after about
# this time.
RETRY_AFTER = timedelta(seconds=0.5)

_RETRYABLE = frozenset(
    {
        Reason.TARGET_REFUSED,
        Reason.TARGET_FAILED,
        Reason.TARGET_UNREACHABLE,
        Reason.TARGET_EXCLUDED,
        Reason.DEADLINE_PASSED,
    }
)


def find_obstacle(
    request: ForwardedRequest, failure: Verdict, now: timedelta
) -> str | None:
    """Return why a request must not be sent again, or None if it may be."""
    tries = max(request.sends, request.prefills)
    may_have_run = failure.run is not Run.NOT_RUN
    checks = (
        (failure.reason not in _RETRYABLE, "no other target would do better"),
        (may_have_run and not request.may_repeat, "it may run only once"),
        (
            may_have_run and request.runs >= request.route.attempts,
            "its runs are used up",
        ),
        (tries >= MAX_SENDS, f"{tries} sends failed"),
        (now + MIN_TIME_LEFT >= request.deadline, "too little time is left"),
    )
    return next((why for holds, why in checks if holds), None)


def make_final_verdict(
    request: ForwardedRequest, failure: Verdict, why: str
) -> Verdict:
    """Return the verdict for the client; it is NOT_RUN only if no send may have run."""
    run = Run.MAY_HAVE_RUN if request.runs else Run.NOT_RUN
    detail = f"{failure.detail}; {why}" if failure.detail else why
    return Verdict(run, failure.reason, detail, failure.retry_after or RETRY_AFTER)
