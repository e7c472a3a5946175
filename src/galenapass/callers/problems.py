"""Write verdicts as problem documents with the matching HTTP status."""

import math

import orjson
from aiohttp import web

from galenapass.verdicts import Reason, Verdict

__all__ = ["PROBLEM_TYPE", "describe_problem", "write_error_event", "write_problem"]

PROBLEM_TYPE = "application/problem+json"
DEFAULT_STATUS = 503

STATUSES = {
    Reason.MALFORMED: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.KEY_IN_USE: 409,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.CRASHES_TARGETS: 422,
    Reason.LIMIT_EXCEEDED: 429,
    Reason.CANCELLED: 499,
    Reason.TARGET_FAILED: 502,
    Reason.TARGET_UNREACHABLE: 502,
    Reason.OVERLOADED: 503,
    Reason.NO_TARGET: 503,
    Reason.TARGET_REFUSED: 503,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.STOPPING: 503,
    Reason.NOT_CONFIGURED: 503,
    Reason.DEADLINE_PASSED: 504,
}


def describe_problem(verdict: Verdict, status: int) -> bytes:
    """Return the problem document as JSON.

    ``error`` repeats the document in the form that completion clients read.
    """
    title = verdict.reason.value
    detail = verdict.detail or title
    return orjson.dumps(
        {
            "type": f"urn:galenapass:problem:{title.replace(' ', '-')}",
            "title": title,
            "status": status,
            "detail": detail,
            "verdict": verdict.run.value,
            "reason": title,
            "error": {"message": f"{detail} ({verdict.run.value})", "type": title},
        }
    )


def write_problem(
    verdict: Verdict, status: int | None = None, request_id: str = ""
) -> web.Response:
    """Return the answer for a request that got no bytes yet."""
    status = status or STATUSES.get(verdict.reason, DEFAULT_STATUS)
    answer = web.Response(
        status=status,
        body=describe_problem(verdict, status),
        content_type=PROBLEM_TYPE,
    )
    if verdict.retry_after is not None:
        seconds = max(1, math.ceil(verdict.retry_after.total_seconds()))
        answer.headers["Retry-After"] = str(seconds)
    if request_id:
        answer.headers["X-Request-Id"] = request_id
    if not verdict.may_retry:
        # Completion clients send a request again on most errors, unless told.
        answer.headers["X-Should-Retry"] = "false"
    if verdict.reason is Reason.STOPPING:
        # A caller that connects again reaches a host that stays.
        answer.force_close()
    return answer


def write_error_event(verdict: Verdict) -> bytes:
    """Return the event that ends a stream which failed after its first bytes."""
    status = STATUSES.get(verdict.reason, DEFAULT_STATUS)
    return b"event: error\ndata: " + describe_problem(verdict, status) + b"\n\n"
