"""Answer an engine's requests: completions, prompts alone, cancels and KV exports."""

import asyncio
from dataclasses import dataclass, replace
from typing import Any

import aiohttp
import orjson
import xxhash
from aiohttp import web

from stand_ins.engine_runtime import Engine
from stand_ins.engine_streams import End, Reader, Stream, StreamForm
from stand_ins.engine_text import (
    count_output_tokens,
    count_prompt_tokens,
    hash_blocks,
    make_seed,
    read_prompt,
)
from stand_ins.engine_work import Admission, Kept, Work
from stand_ins.serving import answer_json, drop_connection, not_run

__all__ = ["ENGINE", "SESSION", "cancel", "complete", "export"]

ENGINE = web.AppKey("engine", Engine)
SESSION = web.AppKey("session", aiohttp.ClientSession)


@dataclass(slots=True, frozen=True)
class _Ask:
    work: Work
    prompt: bytes
    chat: bool
    fingerprint: int


async def complete(request: web.Request) -> web.StreamResponse:
    """Stream a completion, or run its prompt only."""
    engine = request.app[ENGINE]
    if engine.faults.refuse or engine.model.changing:
        engine.account.refused += 1
        return not_run("refused" if engine.faults.refuse else "changing")
    try:
        body = orjson.loads(await request.read())
        ask = _read_ask(request, body)
    except (ValueError, KeyError, TypeError) as error:
        return not_run(f"malformed: {error}", status=400)
    model = engine.model.features.model
    if model and body.get("model") != model:
        return not_run(f"model is not loaded: {body.get('model')!r}", status=404)
    if request.headers.get("X-Phase") == "prefill":
        return await _prefill(request, ask)
    return await _stream(
        request, ask, engine.model.features.model or body.get("model", "")
    )


def _read_ask(request: web.Request, body: dict[str, Any]) -> _Ask:
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
    asked = b"%d %b" % (work.output_tokens, prompt)
    return _Ask(work, prompt, "messages" in body, xxhash.xxh64_intdigest(asked))


async def _prefill(request: web.Request, ask: _Ask) -> web.StreamResponse:
    engine = request.app[ENGINE]
    try:
        future = engine.open_prefill(ask.work, _is_fatal(engine, ask))
    except ValueError as error:
        return not_run(f"conflict: {error}", status=409)
    if isinstance(future, Admission):
        return not_run(future.value)
    try:
        kept = await future
    except asyncio.CancelledError:
        engine.cancel(ask.work.id)
        raise
    if isinstance(kept, Kept):
        tokens = ask.work.prompt_tokens
        answer = {"handle": kept.handle, "pieces": kept.pieces, "tokens": tokens}
        return answer_json(answer)
    return not_run("ended") if kept is End.NOT_RUN else drop_connection(request)


def _is_fatal(engine: Engine, ask: _Ask) -> bool:
    marker = engine.faults.crash_on.encode()
    return bool(marker) and marker in ask.prompt


async def _stream(request: web.Request, ask: _Ask, model: str) -> web.StreamResponse:
    engine = request.app[ENGINE]
    stream = engine.find(ask.work.id)
    if stream is None:
        opened = await _open(request, ask, model)
        if isinstance(opened, Admission):
            return not_run(opened.value)
        stream = opened
    elif stream.fingerprint != ask.fingerprint:
        return not_run("request id in use for another body", status=409)
    else:
        engine.account.replays[ask.work.id] += 1
    end = await _wait_started(engine, stream)
    if end is End.NOT_RUN:
        return not_run("ended before it was started")
    if end is End.DROPPED:
        return drop_connection(request)
    return await _follow(request, stream, ask.work.offset)


async def _open(request: web.Request, ask: _Ask, model: str) -> Admission | Stream:
    engine = request.app[ENGINE]
    work = ask.work
    stream = Stream(
        request=work.id,
        seed=make_seed(ask.prompt),
        form=StreamForm(work.id, model, ask.chat),
        prompt_tokens=work.prompt_tokens,
        output_tokens=work.output_tokens,
        produced=min(work.offset, work.output_tokens),
        fingerprint=ask.fingerprint,
        started=asyncio.get_running_loop().create_future(),
    )
    if stream.finished:
        stream.start(End.STARTED)
        return stream
    imported = await _import(request, work)
    work = replace(work, imported=imported)
    found = engine.find(work.id)
    if found is not None:
        return found
    answer = engine.open(work, stream, _is_fatal(engine, ask))
    return stream if answer is Admission.ACCEPTED else answer


async def _import(request: web.Request, work: Work) -> int:
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
    # Without the KV cache the prompt is run here, so the answer stays right.
    if export.get("blocks") != list(work.blocks):
        account.imports_failed += 1
        return 0
    account.imports += 1
    return min(export["tokens"], work.prompt_tokens)


async def _wait_started(engine: Engine, stream: Stream) -> End:
    stream.arriving += 1
    try:
        return await asyncio.shield(stream.started)
    except asyncio.CancelledError:
        engine.leave(stream)
        raise
    finally:
        stream.arriving -= 1


async def _follow(
    request: web.Request, stream: Stream, given: int
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    response.enable_chunked_encoding()
    await response.prepare(request)
    if request.transport is None:
        request.app[ENGINE].leave(stream)
        return response
    ended = asyncio.get_running_loop().create_future()
    reader = Reader(request.transport, given, ended)
    stream.attach(reader)
    try:
        end = await ended
    finally:
        if stream.reader is reader:
            stream.reader = None
        request.app[ENGINE].leave(stream)
    if end is not End.FINISHED:
        return drop_connection(request)  # type: ignore[return-value]
    await response.write_eof()
    return response


async def cancel(request: web.Request) -> web.Response:
    """Cancel a request."""
    started = request.app[ENGINE].cancel(request.match_info["id"])
    if started is None:
        return answer_json({"reason": "unknown request"}, 404)
    return answer_json({"ran": True}) if started else not_run("cancelled", 200)


async def export(request: web.Request) -> web.Response:
    """Give a kept KV cache away."""
    kept = request.app[ENGINE].model.fetch(request.match_info["handle"])
    if kept is None:
        return answer_json({"reason": "unknown handle"}, 404)
    work = kept.sequence.work
    tokens = work.prompt_tokens
    blocks = list(work.blocks)
    return answer_json({"blocks": blocks, "tokens": tokens, "pieces": kept.pieces})
