"""Convert verdicts to problem documents with the matching HTTP status."""

import math

import orjson
from aiohttp import web

from galenapass.verdicts import Reason, Verdict

__all__ = [
    "PROBLEM_TYPE",
    "encode_error_event",
    "encode_problem",
    "make_problem_response",
]

PROBLEM_TYPE = "application/problem+json"
DEFAULT_STATUS = 503

HTTP_STATUSES = {
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
    Reason.TARGETS_UNKNOWN: 503,
    Reason.TARGET_REFUSED: 503,
    Reason.TARGET_EXCLUDED: 503,
    Reason.PLATFORM_UNAVAILABLE: 503,
    Reason.STOPPING: 503,
    Reason.NOT_CONFIGURED: 503,
    Reason.DEADLINE_PASSED: 504,
}


def encode_problem(verdict: Verdict, status: int) -> bytes:
    """Return the problem document as JSON.

    ``error`` repeats the problem in the format that completion clients parse.
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


def make_problem_response(
    verdict: Verdict, status: int | None = None, request_id: str = ""
) -> web.Response:
    """Return the problem response for a request whose response has not begun."""
    status = status or HTTP_STATUSES.get(verdict.reason, DEFAULT_STATUS)
    response = web.Response(
        status=status,
        body=encode_problem(verdict, status),
        content_type=PROBLEM_TYPE,
    )
    if verdict.retry_after is not None:
        seconds = max(1, math.ceil(verdict.retry_after.total_seconds()))
        response.headers["Retry-After"] = str(seconds)
    if request_id:
        response.headers["X-Request-Id"] = request_id
    if not verdict.may_retry:
        # Completion clients retry on most errors unless this header forbids it.
        response.headers["X-Should-Retry"] = "false"
    return response


def encode_error_event(verdict: Verdict) -> bytes:
    """Return the event that ends a stream that failed after its response began."""
    status = HTTP_STATUSES.get(verdict.reason, DEFAULT_STATUS)
    return b"event: error\ndata: " + encode_problem(verdict, status) + b"\n\n"
