"""Stand in for the core, the claims and the targets in tests of the data path."""

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
STOP_WITHIN = timedelta(seconds=0.1)
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
        self.ids = itertools.count(1)

    def configuration(self):
        return CONFIGURATION

    def ready(self):
        return self.is_ready

    def make_request_id(self):
        return f"r{next(self.ids)}"


class FakeDispatcher:
    """Hand out the given routes in order, then say that no target is left."""

    def __init__(self, routes=()):
        self.routes = list(routes)
        self.failures = []
        self.ends = []
        self.first_tokens = 0
        self.resumes = 0
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
        self.resumes += 1

    def end(self, request, verdict):
        self.ends.append(verdict)


class FakeClaims:
    def __init__(self):
        self.kept = {}
        self.log = []

    async def begin(self, caller, service, key, fingerprint):
        self.log.append("begin")
        if key not in self.kept:
            self.kept[key] = "begun"
            return Ok(Claim(key, "nonce"))
        if isinstance(self.kept[key], StoredAnswer):
            return Ok(self.kept[key])
        return Err(Verdict(Run.MAY_HAVE_RUN, Reason.KEY_IN_USE, "began before"))

    async def finish(self, claim, answer):
        self.log.append("finish" if answer else "leave open")
        self.kept[claim.key] = answer

    async def release(self, claim):
        self.log.append("release")
        del self.kept[claim.key]


def chunk_of(number, tokens):
    last = number == tokens + 1
    choice = {"index": 0, "delta": {} if last else {"content": f"t{number} "}}
    choice["finish_reason"] = "stop" if last else None
    chunk = {"id": "c", "object": "chat.completion.chunk", "created": 1}
    chunk |= {"model": "juniper-8b", "choices": [choice]}
    if last:
        usage = {"prompt_tokens": 1, "completion_tokens": tokens}
        chunk["usage"] = usage | {"total_tokens": tokens + 1}
    return chunk


def event_of(number, tokens):
    return b"id: %d\ndata: %s\n\n" % (number, orjson.dumps(chunk_of(number, tokens)))


def whole_stream(tokens):
    events = [event_of(number, tokens) for number in range(1, tokens + 2)]
    return b"".join(events) + b"data: [DONE]\n\n"


class FakeEngine:
    """Play one scripted act for each completion it is sent, then cancel on demand."""

    def __init__(self, *acts):
        self.acts = list(acts)
        self.seen = []
        self.cancelled = []
        self.log = []
        self.was_cancelled = asyncio.Event()
        self.app = web.Application()
        self.app.router.add_post("/v1/chat/completions", self._play)
        self.app.router.add_post("/v1/completions", self._play)
        self.app.router.add_delete("/v1/requests/{id}", self._cancel)

    async def _play(self, request):
        await request.read()
        self.seen.append(request)
        self.log.append("run")
        return await self.acts.pop(0)(request)

    async def _cancel(self, request):
        self.cancelled.append(request.match_info["id"])
        self.log.append("cancel")
        self.was_cancelled.set()
        return web.Response()


def resume_point(request):
    return int(request.headers.get("Last-Event-ID", "0"))


async def open_answer(request):
    answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await answer.prepare(request)
    return answer


def play_stream(tokens, back=0, until=None, skip=None, end="whole", cut=0):
    """Return an act that streams from the resume point, or ``back`` before it.

    ``until`` is the last event sent, ``skip`` one left out, ``end`` what follows
    and ``cut`` the size of the parts that the bytes are written in.
    """

    async def act(request):
        first = max(1, resume_point(request) + 1 - back)
        last = tokens + 1 if until is None else min(until, tokens + 1)
        numbers = [n for n in range(first, last + 1) if n != skip]
        data = b"".join(event_of(number, tokens) for number in numbers)
        if end == "whole" and last == tokens + 1:
            data += b"data: [DONE]\n\n"
        answer = await open_answer(request)
        for start in range(0, len(data), cut or len(data) or 1):
            await answer.write(data[start : start + (cut or len(data))])
            await asyncio.sleep(0)
        if end == "abort":
            request.transport.abort()
        if end == "hang":
            await asyncio.sleep(60)
        return answer

    return act


def play_status(status, **headers):
    async def act(request):
        return web.Response(status=status, headers=headers, text="{}")

    return act


async def play_abort(request):
    request.transport.abort()
    return web.Response()


NOT_RUN_503 = play_status(503, **{"X-Run": "not-run"})


@contextlib.asynccontextmanager
async def serve(app):
    """Run an application on a free port and give its address."""
    runner = app if isinstance(app, web.AppRunner) else make_runner(app, STOP_WITHIN)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


class Bench:
    """Hold the callers' application and what stands around it."""

    def __init__(self, routes=(), limits=None, patience=timedelta(seconds=5)):
        self.dispatcher = FakeDispatcher(routes)
        self.claims = FakeClaims()
        self.daemon_view = FakeDaemonView()
        self.limits = limits or Limits()
        self.streams = OpenStreams(self.limits)
        self.patience = patience
        self.url = ""

    @contextlib.asynccontextmanager
    async def run(self):
        engines = EngineClient()
        services = PlainServiceClient()
        app = make_callers_app(
            self.dispatcher,
            self.claims,
            self.daemon_view,
            SystemClock(),
            self.limits,
            find_urgency=lambda caller, now, zone: (Urgency.NORMAL, self.patience),
            engines=engines,
            services=services,
            streams=self.streams,
        )
        try:
            async with serve(make_runner(app, STOP_WITHIN)) as address:
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
