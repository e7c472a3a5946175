"""Handle calls to plain services; those with an idempotency key run at most once."""

import asyncio
from collections.abc import Awaitable
from urllib.parse import unquote

from aiohttp import web
from result import Err, Ok, Result

from galenapass.callers.bodies import fingerprint_call, read_body
from galenapass.callers.context import Handler, HandlerContext
from galenapass.callers.keys import find_service
from galenapass.callers.problems import make_problem_response
from galenapass.callers.relays import COMPLETED
from galenapass.callers.streams import OpenAttempt
from galenapass.dispatch import Claim, StoredAnswer
from galenapass.tables.configurations import Caller, Service
from galenapass.tables.requests import Request
from galenapass.tables.targets import TargetKind
from galenapass.targets.services import Call
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["is_repeatable", "make_call_handler"]

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 255  # characters
PREFIX_WILDCARD = "/*"
# /v1/services/NAME precedes the path that is sent to the target.
SEGMENTS_BEFORE_PATH = 4
CLOSE_CLAIM_TIMEOUT_SECONDS = 2.0
STOPPING_CLOSE_CLAIM_TIMEOUT_SECONDS = 0.5


def make_call_handler(context: HandlerContext) -> Handler:
    """Return the handler for all paths below /v1/services/NAME."""

    async def call_service(request: web.Request) -> web.StreamResponse:
        caller = context.find_caller(request)
        if isinstance(caller, Err):
            return make_problem_response(caller.err_value)
        service = find_service(
            context.daemon_view.configuration(),
            caller.ok_value,
            TargetKind.SERVICE,
            request.match_info["name"],
        )
        if isinstance(service, Err):
            return make_problem_response(service.err_value)
        body = await read_body(request, context.limits, context.streams)
        call = _read_call(context, request, service.ok_value, body)
        if isinstance(call, Err):
            return make_problem_response(call.err_value)
        return await _handle_call(
            context, caller.ok_value, service.ok_value, call.ok_value
        )

    return call_service


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether a service lists a call as repeatable, by its path or a prefix."""
    if f"{method} {path}" in service.repeatable:
        return True
    prefixes = [
        entry for entry in service.repeatable if entry.endswith(PREFIX_WILDCARD)
    ]
    return any(f"{method} {path}".startswith(entry[:-1]) for entry in prefixes)


def _read_call(
    context: HandlerContext, request: web.Request, service: Service, body: bytes
) -> Result[Call, Verdict]:
    segments = request.rel_url.raw_path.split("/", SEGMENTS_BEFORE_PATH)
    path = "/" + "".join(segments[SEGMENTS_BEFORE_PATH:])
    # A target that resolves dot segments would run a call other than the one checked.
    if {".", ".."} & set(unquote(path).replace("\\", "/").split("/")):
        return _reject(f"the path has dot segments: {path[:80]!r}")
    key = None
    if not is_repeatable(service, request.method, path):
        key = request.headers.get(KEY_HEADER, "")
        if not 0 < len(key) <= MAX_KEY_LENGTH or not key.isprintable():
            return _reject(f"{request.method} {path[:80]} needs an {KEY_HEADER}")
    query = request.rel_url.raw_query_string
    return Ok(
        Call(
            id=context.daemon_view.make_request_id(),
            method=request.method,
            target=f"{path}?{query}" if query else path,
            content_type=request.headers.get("Content-Type", request.content_type),
            body=body,
            key=key,
        )
    )


async def _handle_call(
    context: HandlerContext, caller: Caller, service: Service, call: Call
) -> web.StreamResponse:
    request = _make_request(context, caller, service, call)
    if call.key is None:
        with context.streams.count_request():
            return _set_request_id(
                _make_response(await _dispatch(context, request, call)), call
            )
    # A call with a key runs to its end even if the caller disconnects, so that its
    # answer is stored for a resend.
    task = context.streams.spawn(
        _run_at_most_once(context, caller, service, request, call)
    )
    return _set_request_id(await asyncio.shield(task), call)


async def _run_at_most_once(
    context: HandlerContext,
    caller: Caller,
    service: Service,
    request: Request,
    call: Call,
) -> web.StreamResponse:
    claimed = await context.claims.begin(
        caller.name, service.name, call.key or "", request.fingerprint
    )
    if isinstance(claimed, Err):
        return make_problem_response(claimed.err_value)
    if isinstance(claimed.ok_value, StoredAnswer):
        response = _make_response(Ok(claimed.ok_value))
        response.headers["X-Replayed"] = "yes"
        return response
    outcome = await _run_claimed(context, claimed.ok_value, request, call)
    return _make_response(outcome)


async def _run_claimed(
    context: HandlerContext, claim: Claim, request: Request, call: Call
) -> Result[StoredAnswer, Verdict]:
    outcome: Result[StoredAnswer, Verdict] = Err(_INTERRUPTED)
    try:
        outcome = await _dispatch(context, request, call)
    finally:
        await _close_claim(context, claim, outcome)
    return outcome


async def _close_claim(
    context: HandlerContext, claim: Claim, outcome: Result[StoredAnswer, Verdict]
) -> None:
    """Store the outcome of a claim without letting a slow store delay the answer."""
    if isinstance(outcome, Ok):
        answer = outcome.ok_value
        closing = context.claims.finish(claim, answer if answer.is_whole else None)
    elif outcome.err_value.run is Run.NOT_RUN:
        closing = context.claims.release(claim)
    else:
        closing = context.claims.finish(claim, None)
    timeout = CLOSE_CLAIM_TIMEOUT_SECONDS
    if context.streams.stopping:
        timeout = STOPPING_CLOSE_CLAIM_TIMEOUT_SECONDS
    await asyncio.wait({context.streams.spawn(closing)}, timeout=timeout)


async def _dispatch(
    context: HandlerContext, request: Request, call: Call
) -> Result[StoredAnswer, Verdict]:
    verdict = _INTERRUPTED
    try:
        outcome = await _try_targets(context, request, call)
        verdict = outcome.err_value if isinstance(outcome, Err) else COMPLETED
        return outcome
    finally:
        context.dispatcher.end(request, verdict)


async def _try_targets(
    context: HandlerContext, request: Request, call: Call
) -> Result[StoredAnswer, Verdict]:
    routed = await context.dispatcher.route(request)
    while not isinstance(routed, Err):
        remaining = (request.deadline - context.clock.monotonic()).total_seconds()
        send = context.services.send(
            routed.ok_value.address, call, max(remaining, 0.001)
        )
        outcome = await _send_until_aborted(context, request, send)
        if isinstance(outcome, Ok):
            return outcome
        verdict = outcome.err_value
        if verdict.run is not Run.NOT_RUN and not request.idempotent:
            return outcome
        routed = await context.dispatcher.reroute(request, verdict)
    return Err(routed.err_value)


async def _send_until_aborted(
    context: HandlerContext,
    request: Request,
    send: Awaitable[Result[StoredAnswer, Verdict]],
) -> Result[StoredAnswer, Verdict]:
    attempt: OpenAttempt | None = None
    try:
        async with asyncio.timeout(None) as timeout:
            attempt = OpenAttempt(request, timeout, lambda: False)
            with context.streams.watch_call(attempt):
                return await send
    except TimeoutError:
        return Err((attempt and attempt.cause) or _INTERRUPTED)


def _make_request(
    context: HandlerContext, caller: Caller, service: Service, call: Call
) -> Request:
    zone = context.daemon_view.configuration().zone
    urgency, patience = context.find_urgency(caller, context.clock.now(), zone)
    arrived = context.clock.monotonic()
    return Request(
        id=call.id,
        caller=caller.name,
        service=service.name,
        arrived=arrived,
        deadline=arrived + patience,
        urgency=urgency,
        key=call.key,
        fingerprint=fingerprint_call(
            caller.name, f"{call.method} {call.target}", call.body
        ),
        idempotent=call.key is None,
    )


class _OpenEndedResponse(web.StreamResponse):
    """Response whose body ends with its connection, as that of the target did."""

    # The library would add chunks otherwise, whose end says that the body is whole.
    _length_check = False

    def __init__(self, answer: StoredAnswer):
        super().__init__(
            status=answer.status, headers={"Content-Type": answer.content_type}
        )
        self._rest = answer.body
        self.force_close()

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body and end the response."""
        rest, self._rest = self._rest, b""
        await super().write_eof(rest + data)


def _make_response(outcome: Result[StoredAnswer, Verdict]) -> web.StreamResponse:
    if isinstance(outcome, Err):
        return make_problem_response(outcome.err_value)
    answer = outcome.ok_value
    if not answer.is_whole:
        return _OpenEndedResponse(answer)
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )


def _set_request_id(response: web.StreamResponse, call: Call) -> web.StreamResponse:
    response.headers["X-Request-Id"] = call.id
    return response


def _reject(detail: str) -> Err[Verdict]:
    return Err(Verdict(Run.NOT_RUN, Reason.MALFORMED, detail))


_INTERRUPTED = Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED, "the call was broken off")
