"""Provide fake dispatchers, claims and targets for tests of the data path."""

import asyncio
import contextlib
import hashlib
import itertools
from datetime import timedelta

import orjson
from aiohttp import web
from result import Err, Ok

from galenapass.callers.app import make_callers_app, make_runner
from galenapass.callers.limits import Limits
from galenapass.callers.streams import OpenStreams
from galenapass.clocks import SystemClock
from galenapass.dispatch import Claim, Route, StoredAnswer
from galenapass.tables.configurations import Caller, Configuration, Service
from galenapass.tables.requests import Urgency
from galenapass.tables.targets import TargetKind
from galenapass.targets.engines import EngineClient
from galenapass.targets.services import PlainServiceClient
from galenapass.verdicts import Reason, Run, Verdict

KEY = "juniper"
HEADERS = {"Authorization": f"Bearer {KEY}"}
SHUTDOWN_TIMEOUT = timedelta(seconds=0.1)
CHAT = "/v1/chat/completions"
BODY = {"model": "juniper-8b", "messages": [{"role": "user", "content": "notes"}]}
NO_TARGET = Verdict(
    Run.NOT_RUN, Reason.NO_TARGET, "none left", retry_after=timedelta(seconds=2)
)
CONFIGURATION = Configuration(
    version=1,
    services={
        "assistant": Service("assistant", TargetKind.ENGINE, model="juniper-8b"),
        "other": Service("other", TargetKind.ENGINE, model="other-8b"),
        "booking": Service(
            "booking",
            TargetKind.SERVICE,
            repeatable=frozenset({"GET /seats", "POST /quotes/*"}),
        ),
    },
    callers={
        "guides": Caller(
            "guides",
            hashlib.sha256(KEY.encode()).hexdigest(),
            frozenset({"assistant", "booking"}),
        )
    },
)


class FakeDaemonView:
    def __init__(self):
        self.is_ready = True
        self.request_numbers = itertools.count(1)

    def configuration(self):
        return CONFIGURATION

    def ready(self):
        return self.is_ready

    def make_request_id(self):
        return f"r{next(self.request_numbers)}"


class FakeDispatcher:
    """Dispatcher that returns the given routes in order, then the NO_TARGET verdict."""

    def __init__(self, routes=()):
        self.routes = list(routes)
        self.failures = []
        self.ends = []
        self.first_tokens = 0
        self.resumptions = 0
        self.requests = []

    async def route(self, request):
        self.requests.append(request)
        return Ok(self.routes.pop(0)) if self.routes else Err(NO_TARGET)

    async def reroute(self, request, failure):
        self.failures.append(failure)
        return Ok(self.routes.pop(0)) if self.routes else Err(failure)

    def record_first_token(self, request):
        self.first_tokens += 1

    def record_resumption(self, request):
        self.resumptions += 1

    def end(self, request, verdict):
        self.ends.append(verdict)


class FakeClaims:
    def __init__(self):
        self.outcomes = {}
        self.log = []

    async def begin(self, caller, service, key, fingerprint):
        self.log.append("begin")
        if key not in self.outcomes:
            self.outcomes[key] = "begun"
            return Ok(Claim(key, "nonce"))
        if isinstance(self.outcomes[key], StoredAnswer):
            return Ok(self.outcomes[key])
        return Err(Verdict(Run.MAY_HAVE_RUN, Reason.KEY_IN_USE, "began before"))

    async def finish(self, claim, answer):
        self.log.append("finish" if answer else "leave open")
        self.outcomes[claim.key] = answer

    async def release(self, claim):
        self.log.append("release")
        del self.outcomes[claim.key]


def make_chunk(number, tokens):
    last = number == tokens + 1
    choice = {"index": 0, "delta": {} if last else {"content": f"t{number} "}}
    choice["finish_reason"] = "stop" if last else None
    chunk = {"id": "c", "object": "chat.completion.chunk", "created": 1}
    chunk |= {"model": "juniper-8b", "choices": [choice]}
    if last:
        usage = {"prompt_tokens": 1, "completion_tokens": tokens}
        chunk["usage"] = usage | {"total_tokens": tokens + 1}
    return chunk


def make_event(number, tokens):
    return b"id: %d\ndata: %s\n\n" % (number, orjson.dumps(make_chunk(number, tokens)))


def make_complete_stream(tokens):
    events = [make_event(number, tokens) for number in range(1, tokens + 2)]
    return b"".join(events) + b"data: [DONE]\n\n"


class FakeEngine:
    """Engine that answers each completion with the next handler and records cancels."""

    def __init__(self, *handlers):
        self.handlers = list(handlers)
        self.received = []
        self.cancelled = []
        self.log = []
        self.was_cancelled = asyncio.Event()
        self.app = web.Application()
        self.app.router.add_post("/v1/chat/completions", self._handle)
        self.app.router.add_post("/v1/completions", self._handle)
        self.app.router.add_delete("/v1/requests/{id}", self._cancel)

    async def _handle(self, request):
        await request.read()
        self.received.append(request)
        self.log.append("run")
        return await self.handlers.pop(0)(request)

    async def _cancel(self, request):
        self.cancelled.append(request.match_info["id"])
        self.log.append("cancel")
        self.was_cancelled.set()
        return web.Response()


def parse_resume_point(request):
    return int(request.headers.get("Last-Event-ID", "0"))


async def start_stream_response(request):
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    return response


def make_stream_handler(
    tokens, overlap=0, last_event=None, skipped_event=None, end="whole", write_size=0
):
    """Return a handler that streams from ``overlap`` events before the resume point.

    ``last_event`` is the last event sent, ``skipped_event`` one that is left out,
    ``end`` what follows the last event: "whole" sends [DONE], "abort" drops the
    connection, "hang" stalls and "eof" ends the body. ``write_size`` is the most bytes
    per write, 0 for all at once.
    """

    async def handler(request):
        first = max(1, parse_resume_point(request) + 1 - overlap)
        last = tokens + 1 if last_event is None else min(last_event, tokens + 1)
        numbers = [n for n in range(first, last + 1) if n != skipped_event]
        data = b"".join(make_event(number, tokens) for number in numbers)
        if end == "whole" and last == tokens + 1:
            data += b"data: [DONE]\n\n"
        response = await start_stream_response(request)
        for start in range(0, len(data), write_size or len(data) or 1):
            await response.write(data[start : start + (write_size or len(data))])
            await asyncio.sleep(0)
        if end == "abort":
            request.transport.abort()
        if end == "hang":
            await asyncio.sleep(60)
        return response

    return handler


def make_status_handler(status, **headers):
    async def handler(request):
        return web.Response(status=status, headers=headers, text="{}")

    return handler


async def abort_connection(request):
    request.transport.abort()
    return web.Response()


NOT_RUN_503 = make_status_handler(503, **{"X-Run": "not-run"})


@contextlib.asynccontextmanager
async def serve(app):
    """Serve an application on a free port and yield its address."""
    runner = (
        app if isinstance(app, web.AppRunner) else make_runner(app, SHUTDOWN_TIMEOUT)
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


class Harness:
    """Callers' application with fake collaborators."""

    def __init__(
        self, routes=(), limits=None, patience=timedelta(seconds=5), clock=None
    ):
        self.dispatcher = FakeDispatcher(routes)
        self.claims = FakeClaims()
        self.daemon_view = FakeDaemonView()
        self.limits = limits or Limits()
        self.streams = OpenStreams(self.limits)
        self.patience = patience
        self.clock = clock or SystemClock()
        self.url = ""

    @contextlib.asynccontextmanager
    async def run(self):
        engines = EngineClient()
        services = PlainServiceClient()
        app = make_callers_app(
            self.dispatcher,
            self.claims,
            self.daemon_view,
            self.clock,
            self.limits,
            find_urgency=lambda caller, now, zone: (Urgency.NORMAL, self.patience),
            engines=engines,
            services=services,
            streams=self.streams,
        )
        try:
            async with serve(make_runner(app, SHUTDOWN_TIMEOUT)) as address:
                self.url = f"http://{address}"
                yield self
        finally:
            await engines.close()
            await services.close()


def route_to(address, prefill=None):
    return Route(
        target=address,
        address=address,
        prefill_target=prefill,
        prefill_address=prefill,
    )


def find_closed_port():
    """Return an address that refuses connections."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"
