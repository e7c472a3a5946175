"""Carry one completion through as many targets as its whole answer takes."""

import asyncio
from dataclasses import dataclass, field, replace
from datetime import timedelta

import aiohttp
from result import Err

from galenapass.callers.events import DONE, EventCursor
from galenapass.callers.sinks import GatheringSink, StreamingSink, Write
from galenapass.callers.streams import OpenStream, OpenStreams
from galenapass.clocks import Clock
from galenapass.dispatch import Dispatcher, Route
from galenapass.logs import make_log
from galenapass.tables.requests import Request
from galenapass.targets.connections import classify_error
from galenapass.targets.engines import EngineClient
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Relay", "relay_completion"]

BODY_END_SECONDS = 1.0

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
# Another target would fail these in the same way, or nobody waits any more.
FINAL_REASONS = frozenset(
    {
        Reason.MALFORMED,
        Reason.TOO_LARGE,
        Reason.CANCELLED,
        Reason.DEADLINE_PASSED,
    }
)

# After a break the same target may still hold the run, to be resumed there.
BREAKS = frozenset({Reason.TARGET_FAILED, Reason.TARGET_UNREACHABLE})

log = make_log("callers")


class CallerGoneError(Exception):
    """Say that the caller's connection is closed."""


@dataclass(slots=True)
class Relay:
    """Hold a completion on its way; ``touched`` are addresses that may run it."""

    request: Request
    path: str
    body: bytes
    sink: StreamingSink | GatheringSink
    dispatcher: Dispatcher
    engines: EngineClient
    streams: OpenStreams
    clock: Clock
    tail: EventCursor = field(default_factory=EventCursor)
    touched: set[str] = field(default_factory=set)
    ran: bool = False


async def relay_completion(relay: Relay) -> Verdict:
    """Route, stream and resume a completion until its end; return the verdict."""
    verdict = CANCELLED
    try:
        verdict = await _run_attempts(relay)
    except CallerGoneError:
        pass
    finally:
        relay.dispatcher.end(relay.request, verdict)
        if verdict.run is Run.RAN:
            relay.touched.clear()
        _cancel_touched(relay, keep=set())
    return verdict


async def _run_attempts(relay: Relay) -> Verdict:
    routed = await relay.dispatcher.route(relay.request)
    while not isinstance(routed, Err):
        route = routed.ok_value
        _cancel_touched(relay, keep={route.address})
        verdict = await _attempt(relay, route)
        if _is_final(relay, verdict):
            return _own_up(relay, verdict)
        log(
            "an attempt failed",
            request=relay.request.id,
            target=route.target,
            delivered=relay.tail.delivered,
            verdict=verdict.run.value,
            reason=verdict.reason.value,
            detail=verdict.detail,
        )
        if verdict.reason not in BREAKS:
            await _free_target(relay)
        routed = await relay.dispatcher.reroute(relay.request, verdict)
    return _own_up(relay, routed.err_value)


def _is_final(relay: Relay, verdict: Verdict) -> bool:
    if verdict.run is Run.RAN or verdict.reason in FINAL_REASONS:
        return True
    return relay.ran and not relay.request.idempotent


def _own_up(relay: Relay, verdict: Verdict) -> Verdict:
    # A verdict speaks of the last attempt; an earlier one may have run.
    if relay.ran and verdict.run is Run.NOT_RUN:
        return replace(verdict, run=Run.MAY_HAVE_RUN)
    return verdict


async def _attempt(relay: Relay, route: Route) -> Verdict:
    limit = _limit_attempt(relay).total_seconds()
    if limit <= 0:
        return replace(DEADLINE_PASSED, run=Run.NOT_RUN)
    relay.touched |= {route.address, route.prefill_address or route.address}
    stream: OpenStream | None = None
    try:
        async with asyncio.timeout(limit) as timeout:
            stream = OpenStream(relay.request, timeout, relay.sink.is_blocked)
            with relay.streams.watch_attempt(stream):
                verdict = await _stream_from(relay, route, stream)
    except TimeoutError:
        missed = NOT_RESUMED if relay.tail.delivered else DEADLINE_PASSED
        verdict = (stream and stream.cause) or missed
    if verdict.run is Run.NOT_RUN:
        relay.touched -= {route.address, route.prefill_address or route.address}
    else:
        relay.ran = True
    return verdict


def _limit_attempt(relay: Relay) -> timedelta:
    if relay.tail.delivered:
        return relay.streams.limits.silence_timeout
    return relay.request.deadline - relay.clock.monotonic()


async def _stream_from(relay: Relay, route: Route, stream: OpenStream) -> Verdict:
    relay.tail.restart()
    opened = await relay.engines.open_stream(
        route, relay.path, relay.body, relay.request, relay.tail.delivered
    )
    if isinstance(opened, Err):
        return opened.err_value
    source = opened.ok_value
    try:
        await _pass_all(relay, source.content, stream)
    except (aiohttp.ClientError, OSError) as error:
        verdict = classify_error(error)
    else:
        detail = relay.tail.fault or "the stream broke off"
        verdict = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED, detail)
    finally:
        _let_go(relay, source)
    if not relay.tail.complete:
        return verdict
    if not relay.tail.ended:
        await _write(await relay.sink.open(), DONE)
    return COMPLETED


def _let_go(relay: Relay, source: aiohttp.ClientResponse) -> None:
    """Keep the connection of a stream read to its end and close any other."""
    if relay.tail.ended:
        relay.streams.spawn(_read_end(source))
    else:
        source.close()


async def _read_end(source: aiohttp.ClientResponse) -> None:
    # The end of the body follows the last event; only then can others use the
    # connection, but no caller has to wait for it.
    try:
        async with asyncio.timeout(BODY_END_SECONDS):
            await source.content.readany()
        source.release()
    except (aiohttp.ClientError, OSError):
        source.close()


async def _pass_all(
    relay: Relay, content: aiohttp.StreamReader, stream: OpenStream
) -> None:
    first = await _read_first(content, relay.tail)
    if not first:
        return
    if stream.cause is None:
        stream.timeout.reschedule(None)
    _note_output(relay)
    relay.request.delivered = relay.tail.delivered
    write = await _open(relay.sink)
    await _write(write, first)
    await pass_events(content, relay.tail, write, relay.request)


def _note_output(relay: Relay) -> None:
    """Tell the dispatcher that the prompt is processed, at each attempt."""
    resumed = relay.request.delivered > 0
    dispatcher = relay.dispatcher
    note = dispatcher.record_resumption if resumed else dispatcher.record_first_token
    note(relay.request)


async def _read_first(content: aiohttp.StreamReader, tail: EventCursor) -> bytes:
    part = b""
    while not part and not tail.stopped:
        chunk = await content.readany()
        if not chunk:
            return b""
        part = tail.feed(chunk)
    return part


async def pass_events(
    content: aiohttp.StreamReader, tail: EventCursor, write: Write, request: Request
) -> None:
    """Pass events on as they are read, until the end or a fault.

    This runs once a token: one read, one check of the event id, one write.
    """
    while not tail.stopped:
        chunk = await content.readany()
        if not chunk:
            return
        part = tail.feed(chunk)
        if part:
            request.delivered = tail.delivered
            try:
                await write(part)
            except OSError as error:
                raise CallerGoneError from error


async def _open(sink: StreamingSink | GatheringSink) -> Write:
    try:
        return await sink.open()
    except OSError as error:
        raise CallerGoneError from error


async def _write(write: Write, part: bytes) -> None:
    try:
        await write(part)
    except OSError as error:
        raise CallerGoneError from error


async def _free_target(relay: Relay) -> None:
    """Cancel a run that is to move, before its next target may be the same one."""
    cancels = [relay.engines.cancel(at, relay.request.id) for at in relay.touched]
    await asyncio.gather(*cancels)
    relay.touched.clear()


def _cancel_touched(relay: Relay, keep: set[str]) -> None:
    """Cancel the request wherever it may still run for nobody."""
    for address in relay.touched - keep:
        relay.streams.spawn(relay.engines.cancel(address, relay.request.id))
    relay.touched &= keep
