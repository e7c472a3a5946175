"""Relay a completion, resuming it at other targets until its answer is complete."""

import asyncio
from dataclasses import dataclass, field, replace
from datetime import timedelta

import aiohttp
from result import Err

from galenapass.callers.events import DONE, EventCursor
from galenapass.callers.sinks import BufferingSink, StreamingSink, Write
from galenapass.callers.streams import OpenAttempt, OpenStreams
from galenapass.clocks import Clock
from galenapass.dispatch import Dispatcher, Route
from galenapass.logs import make_log
from galenapass.tables.requests import Request
from galenapass.targets.connections import classify_error
from galenapass.targets.engines import EngineClient
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Relay", "relay_completion"]

BODY_END_TIMEOUT_SECONDS = 1.0

RETRY_AFTER = timedelta(seconds=1)

COMPLETED = Verdict(Run.RAN, Reason.COMPLETED)
CANCELLED = Verdict(Run.MAY_HAVE_RUN, Reason.CANCELLED, "the caller went away")
DEADLINE_PASSED = Verdict(
    Run.MAY_HAVE_RUN,
    Reason.DEADLINE_PASSED,
    "no answer began in time",
    RETRY_AFTER,
)
NOT_RESUMED = Verdict(
    Run.MAY_HAVE_RUN, Reason.TARGET_UNREACHABLE, "the stream did not go on in time"
)
# Another target would fail in the same way, or the caller no longer waits.
FINAL_REASONS = frozenset(
    {
        Reason.MALFORMED,
        Reason.TOO_LARGE,
        Reason.CANCELLED,
        Reason.DEADLINE_PASSED,
    }
)

# After these failures the same target may still run the request and can resume it.
RESUMABLE_REASONS = frozenset({Reason.TARGET_FAILED, Reason.TARGET_UNREACHABLE})

log = make_log("callers")


class CallerDisconnectedError(Exception):
    """Loss of the connection to the caller."""


@dataclass(slots=True)
class Relay:
    """Completion in progress; ``contacted`` holds addresses that may be running it."""

    request: Request
    path: str
    body: bytes
    sink: StreamingSink | BufferingSink
    dispatcher: Dispatcher
    engines: EngineClient
    streams: OpenStreams
    clock: Clock
    cursor: EventCursor = field(default_factory=EventCursor)
    contacted: set[str] = field(default_factory=set)
    may_have_run: bool = False


async def relay_completion(relay: Relay) -> Verdict:
    """Route, stream and resume a completion until it ends; return the verdict."""
    verdict = CANCELLED
    try:
        verdict = await _run_attempts(relay)
    except CallerDisconnectedError:
        pass
    finally:
        relay.dispatcher.end(relay.request, verdict)
        if verdict.run is Run.RAN:
            relay.contacted.clear()
        _cancel_contacted(relay, keep=set())
    return verdict


async def _run_attempts(relay: Relay) -> Verdict:
    routed = await relay.dispatcher.route(relay.request)
    while not isinstance(routed, Err):
        route = routed.ok_value
        _cancel_contacted(relay, keep={route.address})
        verdict = await _run_attempt(relay, route)
        if _is_final(relay, verdict):
            return _include_earlier_attempts(relay, verdict)
        log(
            "a completion attempt failed",
            request=relay.request.id,
            target=route.target,
            delivered=relay.cursor.delivered,
            verdict=verdict.run.value,
            reason=verdict.reason.value,
            detail=verdict.detail,
        )
        if verdict.reason not in RESUMABLE_REASONS:
            await _cancel_before_reroute(relay)
        routed = await relay.dispatcher.reroute(relay.request, verdict)
    return _include_earlier_attempts(relay, routed.err_value)


def _is_final(relay: Relay, verdict: Verdict) -> bool:
    if verdict.run is Run.RAN or verdict.reason in FINAL_REASONS:
        return True
    return relay.may_have_run and not relay.request.idempotent


def _include_earlier_attempts(relay: Relay, verdict: Verdict) -> Verdict:
    # The verdict covers only the last attempt; an earlier one may have run.
    if relay.may_have_run and verdict.run is Run.NOT_RUN:
        return replace(verdict, run=Run.MAY_HAVE_RUN)
    return verdict


async def _run_attempt(relay: Relay, route: Route) -> Verdict:
    timeout_seconds = _compute_attempt_timeout(relay).total_seconds()
    if timeout_seconds <= 0:
        return replace(DEADLINE_PASSED, run=Run.NOT_RUN)
    relay.contacted |= {route.address, route.prefill_address or route.address}
    attempt: OpenAttempt | None = None
    try:
        async with asyncio.timeout(timeout_seconds) as timeout:
            attempt = OpenAttempt(relay.request, timeout, relay.sink.is_blocked)
            with relay.streams.watch_attempt(attempt):
                verdict = await _stream_from(relay, route, attempt)
    except TimeoutError:
        timeout_verdict = NOT_RESUMED if relay.cursor.delivered else DEADLINE_PASSED
        verdict = (attempt and attempt.cause) or timeout_verdict
    if verdict.run is Run.NOT_RUN:
        relay.contacted -= {route.address, route.prefill_address or route.address}
    else:
        relay.may_have_run = True
    return verdict


def _compute_attempt_timeout(relay: Relay) -> timedelta:
    if relay.cursor.delivered:
        return relay.streams.limits.silence_timeout
    return relay.request.deadline - relay.clock.monotonic()


async def _stream_from(relay: Relay, route: Route, attempt: OpenAttempt) -> Verdict:
    relay.cursor.restart()
    opened = await relay.engines.open_stream(
        route, relay.path, relay.body, relay.request, relay.cursor.delivered
    )
    if isinstance(opened, Err):
        return opened.err_value
    response = opened.ok_value
    try:
        await _forward_stream(relay, response.content, attempt)
    except (aiohttp.ClientError, OSError) as error:
        verdict = classify_error(error)
    else:
        detail = relay.cursor.error or "the stream broke off"
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
    finally:
        _release_connection(relay, response)
    if not relay.cursor.complete:
        return verdict
    if not relay.cursor.ended:
        await _write(await relay.sink.open(), DONE)
    return COMPLETED


def _release_connection(relay: Relay, response: aiohttp.ClientResponse) -> None:
    """Release the connection for reuse if the stream ended; close it otherwise."""
    if relay.cursor.ended:
        relay.streams.spawn(_read_body_end(response))
    else:
        response.close()


async def _read_body_end(response: aiohttp.ClientResponse) -> None:
    # The connection can be reused only after the end of the body, which follows the
    # last event. This runs in the background so that the caller does not wait for it.
    try:
        async with asyncio.timeout(BODY_END_TIMEOUT_SECONDS):
            await response.content.readany()
        response.release()
    except (aiohttp.ClientError, OSError):
        response.close()


async def _forward_stream(
    relay: Relay, content: aiohttp.StreamReader, attempt: OpenAttempt
) -> None:
    first_events = await _read_first_events(content, relay.cursor)
    if not first_events:
        return
    if attempt.cause is None:
        attempt.timeout.reschedule(None)
    _record_progress(relay)
    relay.request.delivered = relay.cursor.delivered
    write = await _open_sink(relay.sink)
    await _write(write, first_events)
    await _forward_events(content, relay.cursor, write, relay.request)


def _record_progress(relay: Relay) -> None:
    """Report to the dispatcher, once per attempt, that prefill has finished."""
    is_resumed = relay.request.delivered > 0
    dispatcher = relay.dispatcher
    record = (
        dispatcher.record_resumption if is_resumed else dispatcher.record_first_token
    )
    record(relay.request)


async def _read_first_events(
    content: aiohttp.StreamReader, cursor: EventCursor
) -> bytes:
    part = b""
    while not part and not cursor.stopped:
        chunk = await content.readany()
        if not chunk:
            return b""
        part = cursor.feed(chunk)
    return part


async def _forward_events(
    content: aiohttp.StreamReader, cursor: EventCursor, write: Write, request: Request
) -> None:
    """Forward events as they are read, until the end or an error.

    The loop runs once per token: one read, one check of the event id, one write.
    """
    while not cursor.stopped:
        chunk = await content.readany()
        if not chunk:
            return
        part = cursor.feed(chunk)
        if part:
            request.delivered = cursor.delivered
            try:
                await write(part)
            except OSError as error:
                raise CallerDisconnectedError from error


async def _open_sink(sink: StreamingSink | BufferingSink) -> Write:
    try:
        return await sink.open()
    except OSError as error:
        raise CallerDisconnectedError from error


async def _write(write: Write, part: bytes) -> None:
    try:
        await write(part)
    except OSError as error:
        raise CallerDisconnectedError from error


async def _cancel_before_reroute(relay: Relay) -> None:
    """Cancel the request at its targets, since the next one may be among them."""
    cancels = [
        relay.engines.cancel(address, relay.request.id) for address in relay.contacted
    ]
    await asyncio.gather(*cancels)
    relay.contacted.clear()


def _cancel_contacted(relay: Relay, keep: set[str]) -> None:
    """Cancel the request at the addresses that may still run it, except ``keep``."""
    for address in relay.contacted - keep:
        relay.streams.spawn(relay.engines.cancel(address, relay.request.id))
    relay.contacted &= keep
