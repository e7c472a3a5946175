"""Handle completion calls and the list of models."""

from aiohttp import web
from result import Err

from galenapass.callers.bodies import (
    Completion,
    hash_blocks,
    read_body,
    read_completion,
)
from galenapass.callers.keys import find_service, list_models
from galenapass.callers.parts import Handler, Parts
from galenapass.callers.problems import write_problem
from galenapass.callers.relays import Relay, relay_completion
from galenapass.callers.sinks import GatheringSink, StreamingSink
from galenapass.tables.configurations import Caller, Service
from galenapass.tables.requests import Request
from galenapass.tables.targets import Kind

__all__ = ["make_completion_handler", "make_models_handler"]

REPEATABLE_HEADER = "X-Repeatable"


def make_completion_handler(parts: Parts) -> Handler:
    """Return the handler of both completion paths."""

    async def complete(request: web.Request) -> web.StreamResponse:
        caller = parts.find_caller(request)
        if isinstance(caller, Err):
            return write_problem(caller.err_value)
        body = await read_body(request, parts.limits)
        completion = read_completion(request.path, body)
        if isinstance(completion, Err):
            return write_problem(completion.err_value)
        service = find_service(
            parts.directory.configuration(),
            caller.ok_value,
            Kind.ENGINE,
            completion.ok_value.model,
        )
        if isinstance(service, Err):
            return write_problem(service.err_value)
        return await _carry(
            parts, request, caller.ok_value, service.ok_value, completion.ok_value
        )

    return complete


def make_models_handler(parts: Parts) -> Handler:
    """Return the handler that lists what a key may use."""

    async def show_models(request: web.Request) -> web.StreamResponse:
        caller = parts.find_caller(request)
        if isinstance(caller, Err):
            return write_problem(caller.err_value)
        models = list_models(parts.directory.configuration(), caller.ok_value)
        entries = [
            {"id": model, "object": "model", "created": 0, "owned_by": "galenapass"}
            for model in models
        ]
        return web.json_response({"object": "list", "data": entries})

    return show_models


async def _carry(
    parts: Parts,
    request: web.Request,
    caller: Caller,
    service: Service,
    completion: Completion,
) -> web.StreamResponse:
    row = _make_row(parts, request, caller, service, completion)
    sink: StreamingSink | GatheringSink = (
        StreamingSink(request, row.id, parts.limits.write_timeout)
        if completion.stream
        else GatheringSink(request.path, row.id)
    )
    relay = Relay(
        request=row,
        path=request.path,
        body=completion.encode(service.model or service.name),
        sink=sink,
        dispatcher=parts.dispatcher,
        engines=parts.engines,
        streams=parts.streams,
        clock=parts.clock,
    )
    with parts.streams.count_request():
        return await sink.finish(await relay_completion(relay))


def _make_row(
    parts: Parts,
    request: web.Request,
    caller: Caller,
    service: Service,
    completion: Completion,
) -> Request:
    zone = parts.directory.configuration().zone
    urgency, patience = parts.urgency_of(caller, parts.clock.now(), zone)
    arrived = parts.clock.monotonic()
    return Request(
        id=parts.directory.new_id(),
        caller=caller.name,
        service=service.name,
        arrived=arrived,
        deadline=arrived + patience,
        urgency=urgency,
        fingerprint=completion.sign(caller.name, request.path),
        idempotent=request.headers.get(REPEATABLE_HEADER, "yes").lower() != "no",
        prompt_tokens=completion.prompt_tokens,
        output_tokens=completion.output_tokens,
        blocks=hash_blocks(completion.prompt),
    )
