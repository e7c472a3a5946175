"""Open client sessions to targets and judge what went wrong on them."""

from collections.abc import Mapping

import aiohttp

from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["judge_answer", "judge_error", "open_session"]

CONNECT_SECONDS = 2.0
KEEPALIVE_SECONDS = 15.0
NOT_RUN_HEADER = "X-Run"
NOT_RUN_VALUE = "not-run"

# Errors of the connect phase; the request was not sent. Timeouts of the connect
# phase have their own class, so any other timeout came after the request.
_BEFORE_SENDING = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
# A target answers these for what is wrong with the request itself.
_CALLERS_FAULT = {
    400: Reason.MALFORMED,
    413: Reason.TOO_LARGE,
    422: Reason.MALFORMED,
}


def open_session(reuse: bool = True) -> aiohttp.ClientSession:
    """Return a session without a total timeout; reused connections are optional.

    The client library sends some methods twice when a reused connection turns
    out to be closed, so calls that must not run twice need fresh connections.
    """
    connector = (
        aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
        if reuse
        else aiohttp.TCPConnector(limit=0, force_close=True)
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        headers={"Accept-Encoding": "identity"},
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )


def judge_error(error: Exception) -> Verdict:
    """Tell from a client error whether the request may have run."""
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, _BEFORE_SENDING):
        return Verdict(Run.NOT_RUN, Reason.TARGET_UNREACHABLE, detail)
    if isinstance(error, TimeoutError):
        return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE, detail)
    return Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)


def judge_answer(status: int, headers: Mapping[str, str]) -> Verdict:
    """Tell from an error answer whether the request may have run."""
    if status == 503 and headers.get(NOT_RUN_HEADER, "").lower() == NOT_RUN_VALUE:
        return Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED, "the target answered 503")
    reason = _CALLERS_FAULT.get(status, Reason.TARGET_FAILED)
    return Verdict(Run.MAY_HAVE_RUN, reason, f"the target answered {status}")
