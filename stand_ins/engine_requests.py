"""Handle an engine's completions, prefills, cancellations and KV exports."""

import asyncio
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import orjson
import xxhash
from aiohttp import web

from stand_ins.engine_runtime import Engine
from stand_ins.engine_streams import Reader, Stream, StreamEncoder, StreamOutcome
from stand_ins.engine_text import (
    count_output_tokens,
    count_prompt_tokens,
    hash_blocks,
    make_seed,
    read_prompt,
)
from stand_ins.engine_work import Admission, PendingExport, Work
from stand_ins.serving import drop_connection, make_json_response, make_not_run_response

__all__ = ["ENGINE", "SESSION", "cancel", "complete", "export"]

ENGINE = web.AppKey("engine", Engine)
SESSION = web.AppKey("session", aiohttp.ClientSession)


@dataclass(slots=True, frozen=True)
class _ParsedRequest:
    work: Work
    prompt: bytes
    chat: bool
    fingerprint: int


async def complete(request: web.Request) -> web.StreamResponse:
    """Stream a completion, or only prefill its prompt."""
    engine = request.app[ENGINE]
    if engine.faults.refuse or engine.model.changing:
        engine.account.refused += 1
        return make_not_run_response("refused" if engine.faults.refuse else "changing")
    try:
        body = orjson.loads(await request.read())
        parsed = _parse_request(request, body)
    except (ValueError, KeyError, TypeError) as error:
        return make_not_run_response(f"malformed: {error}", status=400)
    model = engine.model.features.model
    if model and body.get("model") != model:
        return make_not_run_response(
            f"model is not loaded: {body.get('model')!r}", status=404
        )
    if request.headers.get("X-Phase") == "prefill":
        return await _prefill(request, parsed)
    return await _stream(
        request, parsed, engine.model.features.model or body.get("model", "")
    )


def _parse_request(request: web.Request, body: dict[str, Any]) -> _ParsedRequest:
    prompt = read_prompt(body)
    work = Work(
        id=request.headers["X-Request-Id"],
        blocks=hash_blocks(prompt),
        prompt_tokens=count_prompt_tokens(prompt),
        output_tokens=count_output_tokens(body),
        priority=int(request.headers.get("X-Priority", "1")),
        offset=int(request.headers.get("Last-Event-ID", "0")),
    )
    if not 0 <= work.offset <= work.output_tokens + 1:
        raise ValueError(f"no event has the id {work.offset}")
    identity = b"%d %b" % (work.output_tokens, prompt)
    return _ParsedRequest(
        work, prompt, "messages" in body, xxhash.xxh64_intdigest(identity)
    )


async def _prefill(request: web.Request, parsed: _ParsedRequest) -> web.StreamResponse:
    engine = request.app[ENGINE]
    try:
        future = engine.open_prefill(parsed.work, _triggers_crash(engine, parsed))
    except ValueError as error:
        return make_not_run_response(f"conflict: {error}", status=409)
    if isinstance(future, Admission):
        return make_not_run_response(future.value)
    try:
        pending = await future
    except asyncio.CancelledError:
        engine.cancel(parsed.work.id)
        raise
    if isinstance(pending, PendingExport):
        tokens = parsed.work.prompt_tokens
        body = {"handle": pending.handle, "pieces": pending.pieces, "tokens": tokens}
        return make_json_response(body)
    return (
        make_not_run_response("ended")
        if pending is StreamOutcome.NOT_RUN
        else drop_connection(request)
    )


def _triggers_crash(engine: Engine, parsed: _ParsedRequest) -> bool:
    marker = engine.faults.crash_on.encode()
    return bool(marker) and marker in parsed.prompt


async def _stream(
    request: web.Request, parsed: _ParsedRequest, model: str
) -> web.StreamResponse:
    engine = request.app[ENGINE]
    stream = engine.find(parsed.work.id)
    if stream is None:
        opened = await _open_stream(request, parsed, model)
        if isinstance(opened, Admission):
            return make_not_run_response(opened.value)
        stream = opened
    elif stream.fingerprint != parsed.fingerprint:
        return make_not_run_response("request id in use for another body", status=409)
    else:
        engine.account.replays[parsed.work.id] += 1
    outcome = await _wait_started(engine, stream)
    if outcome is StreamOutcome.NOT_RUN:
        return make_not_run_response("ended before it was started")
    if outcome is StreamOutcome.DROPPED:
        return drop_connection(request)
    return await _send_events(request, stream, parsed.work.offset)


async def _open_stream(
    request: web.Request, parsed: _ParsedRequest, model: str
) -> Admission | Stream:
    engine = request.app[ENGINE]
    work = parsed.work
    stream = Stream(
        request_id=work.id,
        seed=make_seed(parsed.prompt),
        encoder=StreamEncoder(work.id, model, parsed.chat),
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        produced=min(work.offset, work.output_tokens),
        fingerprint=parsed.fingerprint,
        started=asyncio.get_running_loop().create_future(),
    )
    if stream.finished:
        stream.report_start(StreamOutcome.STARTED)
        return stream
    imported = await _import_kv_cache(request, work)
    work = replace(work, imported=imported)
    found = engine.find(work.id)
    if found is not None:
        return found
    admission = engine.open(work, stream, _triggers_crash(engine, parsed))
    return stream if admission is Admission.ACCEPTED else admission


async def _import_kv_cache(request: web.Request, work: Work) -> int:
    source = request.headers.get("X-KV-Source")
    if not source:
        return 0
    account = request.app[ENGINE].account
    try:
        async with request.app[SESSION].get(source) as response:
            response.raise_for_status()
            export = orjson.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        export = {}
    # Without the KV cache this engine prefills the prompt, with the same result.
    if export.get("blocks") != list(work.blocks):
        account.imports_failed += 1
        return 0
    account.imports += 1
    return min(export["tokens"], work.prompt_tokens)


async def _wait_started(engine: Engine, stream: Stream) -> StreamOutcome:
    stream.waiting_handlers += 1
    try:
        return await asyncio.shield(stream.started)
    except asyncio.CancelledError:
        engine.schedule_orphan_check(stream)
        raise
    finally:
        stream.waiting_handlers -= 1


async def _send_events(
    request: web.Request, stream: Stream, last_sent: int
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    response.enable_chunked_encoding()
    await response.prepare(request)
    if request.transport is None:
        request.app[ENGINE].schedule_orphan_check(stream)
        return response
    result = asyncio.get_running_loop().create_future()
    reader = Reader(request.transport, last_sent, result)
    stream.attach(reader)
    try:
        outcome = await result
    finally:
        if stream.reader is reader:
            stream.reader = None
        request.app[ENGINE].schedule_orphan_check(stream)
    if outcome is not StreamOutcome.FINISHED:
        return drop_connection(request)  # type: ignore[return-value]
    await response.write_eof()
    return response


async def cancel(request: web.Request) -> web.Response:
    """Cancel a request and report whether it had started."""
    started = request.app[ENGINE].cancel(request.match_info["id"])
    if started is None:
        return make_json_response({"reason": "unknown request"}, 404)
    return (
        make_json_response({"ran": True})
        if started
        else make_not_run_response("cancelled", 200)
    )


async def export(request: web.Request) -> web.Response:
    """Return the KV cache of a pending export; it can be fetched once."""
    pending = request.app[ENGINE].model.fetch(request.match_info["handle"])
    if pending is None:
        return make_json_response({"reason": "unknown handle"}, 404)
    work = pending.sequence.work
    tokens = work.prompt_tokens
    blocks = list(work.blocks)
    return make_json_response(
        {"blocks": blocks, "tokens": tokens, "pieces": pending.pieces}
    )
