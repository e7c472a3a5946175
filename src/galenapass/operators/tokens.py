"""Authenticate operators by their token."""

import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web

from galenapass.callers.problems import make_problem_response
from galenapass.logs import make_log
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["make_token_check"]

SCHEME = "bearer"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

log = make_log("operators")


def make_token_check(token: str):  # type: ignore[no-untyped-def]
    """Return a middleware that rejects requests without the token."""
    if not token:
        raise ValueError("the operators' token is empty")
    expected = token.encode()

    @web.middleware
    async def check(request: web.Request, handler: Handler) -> web.StreamResponse:
        if hmac.compare_digest(_read_token(request), expected):
            return await handler(request)
        log(
            "rejected a request with a wrong token",
            path=request.path,
            remote=request.remote,
        )
        verdict = Verdict(Run.NOT_RUN, Reason.UNAUTHENTICATED, "wrong or missing token")
        response = make_problem_response(verdict)
        response.headers["WWW-Authenticate"] = "Bearer"
        return response

    return check


def _read_token(request: web.Request) -> bytes:
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != SCHEME:
        return b""
    return token.strip().encode("utf-8", "surrogateescape")
