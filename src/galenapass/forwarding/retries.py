"""Decide whether a failed send is followed by another."""

from datetime import timedelta

from galenapass.forwarding.requests import ForwardedRequest
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["find_obstacle", "make_final_verdict"]

# Sends of one request, whatever each of them came to.
MOST_SENDS = 4
# Less is left than a hand-over and the first output take.
LEAST_LEFT = timedelta(milliseconds=60)
# A target that was full or left is replaced or free again within about this time.
RETRY_AFTER = timedelta(seconds=0.5)

_RETRIED = frozenset(
    {
        Reason.TARGET_REFUSED,
        Reason.TARGET_FAILED,
        Reason.TARGET_UNREACHABLE,
        Reason.DEADLINE_PASSED,
    }
)


def find_obstacle(
    request: ForwardedRequest, failure: Verdict, now: timedelta
) -> str | None:
    """Return why a request may not be sent again, or None when it may."""
    tries = max(request.sends, request.prefills)
    unproved = failure.run is not Run.NOT_RUN
    checks = (
        (failure.reason not in _RETRIED, "no other target would do better"),
        (unproved and not request.may_repeat, "it may run only once"),
        (unproved and request.runs >= request.route.attempts, "its runs are used up"),
        (tries >= MOST_SENDS, f"{tries} sends failed"),
        (now + LEAST_LEFT >= request.deadline, "too little time is left"),
    )
    return next((why for holds, why in checks if holds), None)


def make_final_verdict(
    request: ForwardedRequest, failure: Verdict, why: str
) -> Verdict:
    """Return the verdict for the client: not run only if no send may have run."""
    run = Run.MAY_HAVE_RUN if request.runs else Run.NOT_RUN
    detail = f"{failure.detail}; {why}" if failure.detail else why
    return Verdict(run, failure.reason, detail, failure.retry_after or RETRY_AFTER)
