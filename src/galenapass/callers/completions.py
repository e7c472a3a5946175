"""Handle completion requests and the list of models."""

from aiohttp import web
from result import Err

from galenapass.callers.bodies import (
    Completion,
    hash_blocks,
    read_body,
    read_completion,
)
from galenapass.callers.context import Handler, HandlerContext
from galenapass.callers.keys import find_service, list_models
from galenapass.callers.problems import make_problem_response
from galenapass.callers.relays import Relay, relay_completion
from galenapass.callers.sinks import BufferingSink, StreamingSink
from galenapass.tables.configurations import Caller, Service
from galenapass.tables.requests import Request
from galenapass.tables.targets import TargetKind

__all__ = ["make_completion_handler", "make_models_handler"]

REPEATABLE_HEADER = "X-Repeatable"


def make_completion_handler(context: HandlerContext) -> Handler:
    """Return the handler for both completion paths."""

    async def complete(http_request: web.Request) -> web.StreamResponse:
        caller = context.find_caller(http_request)
        if isinstance(caller, Err):
            return make_problem_response(caller.err_value)
        body = await read_body(http_request, context.limits, context.streams)
        completion = read_completion(http_request.path, body)
        if isinstance(completion, Err):
            return make_problem_response(completion.err_value)
        service = find_service(
            context.daemon_view.configuration(),
            caller.ok_value,
            TargetKind.ENGINE,
            completion.ok_value.model,
        )
        if isinstance(service, Err):
            return make_problem_response(service.err_value)
        return await _handle_completion(
            context,
            http_request,
            caller.ok_value,
            service.ok_value,
            completion.ok_value,
        )

    return complete


def make_models_handler(context: HandlerContext) -> Handler:
    """Return the handler that lists the models that a caller may use."""

    async def show_models(http_request: web.Request) -> web.StreamResponse:
        caller = context.find_caller(http_request)
        if isinstance(caller, Err):
            return make_problem_response(caller.err_value)
        models = list_models(context.daemon_view.configuration(), caller.ok_value)
        entries = [
            {"id": model, "object": "model", "created": 0, "owned_by": "galenapass"}
            for model in models
        ]
        return web.json_response({"object": "list", "data": entries})

    return show_models


async def _handle_completion(
    context: HandlerContext,
    http_request: web.Request,
    caller: Caller,
    service: Service,
    completion: Completion,
) -> web.StreamResponse:
    request = _make_request(context, http_request, caller, service, completion)
    sink: StreamingSink | BufferingSink = (
        StreamingSink(http_request, request.id, context.limits.write_timeout)
        if completion.stream
        else BufferingSink(http_request.path, request.id)
    )
    relay = Relay(
        request=request,
        path=http_request.path,
        body=completion.encode(service.model or service.name),
        sink=sink,
        dispatcher=context.dispatcher,
        engines=context.engines,
        streams=context.streams,
        clock=context.clock,
    )
    with context.streams.count_request():
        return await sink.finish(await relay_completion(relay))


def _make_request(
    context: HandlerContext,
    http_request: web.Request,
    caller: Caller,
    service: Service,
    completion: Completion,
) -> Request:
    zone = context.daemon_view.configuration().zone
    urgency, patience = context.find_urgency(caller, context.clock.now(), zone)
    arrived = context.clock.monotonic()
    return Request(
        id=context.daemon_view.make_request_id(),
        caller=caller.name,
        service=service.name,
        arrived=arrived,
        deadline=arrived + patience,
        urgency=urgency,
        fingerprint=completion.fingerprint(caller.name, http_request.path),
        idempotent=http_request.headers.get(REPEATABLE_HEADER, "yes").lower() != "no",
        prompt_tokens=completion.prompt_tokens,
        output_tokens=completion.output_tokens,
        blocks=hash_blocks(completion.prompt),
    )
