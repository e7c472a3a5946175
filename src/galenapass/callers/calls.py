"""Handle calls to plain services, at most once where they need it."""

import asyncio
from urllib.parse import unquote

from aiohttp import web
from result import Err, Ok, Result

from galenapass.callers.bodies import read_body, sign_call
from galenapass.callers.context import Handler, HandlerContext
from galenapass.callers.keys import find_service
from galenapass.callers.problems import write_problem
from galenapass.callers.relays import COMPLETED
from galenapass.dispatch import Claim, StoredAnswer
from galenapass.tables.configurations import Caller, Service
from galenapass.tables.requests import Request
from galenapass.tables.targets import TargetKind
from galenapass.targets.services import Call
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["is_repeatable", "make_call_handler"]

KEY_HEADER = "Idempotency-Key"
KEY_LENGTH = 255  # characters
PREFIX_END = "/*"
# /v1/services/NAME come before the path that the target gets.
SEGMENTS_BEFORE_PATH = 4
KEEP_ANSWER_SECONDS = 2.0


def make_call_handler(context: HandlerContext) -> Handler:
    """Return the handler of all paths below /v1/services/NAME."""

    async def call_service(request: web.Request) -> web.StreamResponse:
        caller = context.find_caller(request)
        if isinstance(caller, Err):
            return write_problem(caller.err_value)
        service = find_service(
            context.daemon_view.configuration(),
            caller.ok_value,
            TargetKind.SERVICE,
            request.match_info["name"],
        )
        if isinstance(service, Err):
            return write_problem(service.err_value)
        body = await read_body(request, context.limits)
        call = _read_call(context, request, service.ok_value, body)
        if isinstance(call, Err):
            return write_problem(call.err_value)
        return await _carry(context, caller.ok_value, service.ok_value, call.ok_value)

    return call_service


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Tell whether a service lists a call, by its path or by a leading part."""
    if f"{method} {path}" in service.repeatable:
        return True
    prefixes = [entry for entry in service.repeatable if entry.endswith(PREFIX_END)]
    return any(f"{method} {path}".startswith(entry[:-1]) for entry in prefixes)


def _read_call(
    context: HandlerContext, request: web.Request, service: Service, body: bytes
) -> Result[Call, Verdict]:
    segments = request.rel_url.raw_path.split("/", SEGMENTS_BEFORE_PATH)
    path = "/" + "".join(segments[SEGMENTS_BEFORE_PATH:])
    # A target that resolves such a path would run another call than was checked.
    if {".", ".."} & set(unquote(path).replace("\\", "/").split("/")):
        return _refuse(f"the path has dot segments: {path[:80]!r}")
    key = None
    if not is_repeatable(service, request.method, path):
        key = request.headers.get(KEY_HEADER, "")
        if not 0 < len(key) <= KEY_LENGTH or not key.isprintable():
            return _refuse(f"{request.method} {path[:80]} needs an {KEY_HEADER}")
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


async def _carry(
    context: HandlerContext, caller: Caller, service: Service, call: Call
) -> web.StreamResponse:
    row = _make_row(context, caller, service, call)
    if call.key is None:
        with context.streams.count_request():
            return _name_call(_write_answer(await _run(context, row, call)), call)
    # Once begun, the call goes on to its end even if the caller goes away, so
    # that its answer is kept for the resend.
    work = context.streams.spawn(_run_once(context, caller, service, row, call))
    return _name_call(await asyncio.shield(work), call)


async def _run_once(
    context: HandlerContext, caller: Caller, service: Service, row: Request, call: Call
) -> web.StreamResponse:
    begun = await context.claims.begin(
        caller.name, service.name, call.key or "", row.fingerprint
    )
    if isinstance(begun, Err):
        return write_problem(begun.err_value)
    if isinstance(begun.ok_value, StoredAnswer):
        answer = _write_answer(Ok(begun.ok_value))
        answer.headers["X-Replayed"] = "yes"
        return answer
    answered = await _run_claimed(context, begun.ok_value, row, call)
    return _write_answer(answered)


async def _run_claimed(
    context: HandlerContext, claim: Claim, row: Request, call: Call
) -> Result[StoredAnswer, Verdict]:
    answered: Result[StoredAnswer, Verdict] = Err(_UNKNOWN)
    try:
        answered = await _run(context, row, call)
    finally:
        await _close_claim(context, claim, answered)
    return answered


async def _close_claim(
    context: HandlerContext, claim: Claim, answered: Result[StoredAnswer, Verdict]
) -> None:
    """Keep the outcome, but let no slow store hold the answer back."""
    if isinstance(answered, Ok):
        closing = context.claims.finish(claim, answered.ok_value)
    elif answered.err_value.run is Run.NOT_RUN:
        closing = context.claims.release(claim)
    else:
        closing = context.claims.finish(claim, None)
    await asyncio.wait({context.streams.spawn(closing)}, timeout=KEEP_ANSWER_SECONDS)


async def _run(
    context: HandlerContext, row: Request, call: Call
) -> Result[StoredAnswer, Verdict]:
    verdict = _UNKNOWN
    try:
        answered = await _try_targets(context, row, call)
        verdict = answered.err_value if isinstance(answered, Err) else COMPLETED
        return answered
    finally:
        context.dispatcher.end(row, verdict)


async def _try_targets(
    context: HandlerContext, row: Request, call: Call
) -> Result[StoredAnswer, Verdict]:
    routed = await context.dispatcher.route(row)
    while not isinstance(routed, Err):
        left = (row.deadline - context.clock.monotonic()).total_seconds()
        answered = await context.services.send(
            routed.ok_value.address, call, max(left, 0.001)
        )
        if isinstance(answered, Ok):
            return answered
        verdict = answered.err_value
        if verdict.run is not Run.NOT_RUN and not row.idempotent:
            return answered
        routed = await context.dispatcher.reroute(row, verdict)
    return Err(routed.err_value)


def _make_row(
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
        fingerprint=sign_call(caller.name, f"{call.method} {call.target}", call.body),
        idempotent=call.key is None,
    )


def _write_answer(answered: Result[StoredAnswer, Verdict]) -> web.Response:
    if isinstance(answered, Err):
        return write_problem(answered.err_value)
    answer = answered.ok_value
    return web.Response(
        status=answer.status,
        body=answer.body,
        headers={"Content-Type": answer.content_type},
    )


def _name_call(answer: web.StreamResponse, call: Call) -> web.StreamResponse:
    answer.headers["X-Request-Id"] = call.id
    return answer


def _refuse(detail: str) -> Err[Verdict]:
    return Err(Verdict(Run.NOT_RUN, Reason.MALFORMED, detail))


_UNKNOWN = Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED, "the call was broken off")
