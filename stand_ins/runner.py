"""Serve a stand-in for a runner of the platform: an engine or a plain service."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any
from weakref import WeakKeyDictionary

import orjson
from aiohttp import web
from aiohttp.typedefs import Handler
from multidict import CIMultiDict

from stand_ins.runner_answers import Framing, RawResponse, Repeat, break_connection
from stand_ins.serving import make_json_response, split_address

__all__ = [
    "ATTEMPT",
    "Arrival",
    "EVENTS",
    "SIGNATURE",
    "STREAM_BODY",
    "Runner",
    "RunnerFaults",
    "list_parts",
]

EVENTS = 4
# Complete body of a streamed response.
STREAM_BODY = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1)
)
SIGNATURE = "X-Galenapass-Response-Signature"
ATTEMPT = "X-Galenapass-Attempt-Id"
# Time from the head of an answer to the crash of a runner.
CRASH_SECONDS = 0.05


def list_parts(request: web.Request) -> set[str]:
    """Return the ids of the parts of a request's prompt, but for the last."""
    entries = request.headers.get("X-Galenapass-Prompt-Prefix", "").split(",")
    return {entry.partition(":")[0] for entry in entries[:-1]}


def _describe_caller(request: web.Request) -> dict[str, list[str]]:
    """Return what the headers of a request say of its caller, for the record."""
    return {
        "organisation": request.headers.getall("X-Galenapass-Tenant", []),
        "authorization": request.headers.getall("Authorization", []),
    }


@dataclass(slots=True)
class Arrival:
    """Arrival of an attempt at a runner; ``at`` is in seconds of the event loop.

    ``is_prefilled`` is set once the runner has accepted it as a prefill.
    """

    attempt: str
    at: float
    is_prefilled: bool = False


@dataclass(slots=True)
class RunnerFaults:
    """Active faults of a runner.

    ``shed`` refuses a share ``shed_share`` of the requests.
    ``break_after`` closes a share ``break_share`` of the streams after that number of
    events, ``crash`` the connection of each request, ``close_port`` also the port.
    ``marks_version`` adds the runner's service and version to the data of each
    event.
    ``wrong_id`` responds with another attempt's id. ``leaving`` and ``rate_limit``, in
    requests a second, add a header to each response, ``retry_after_seconds`` one to
    each refusal. The runner crashes as it begins to answer a request with one of the
    ``crashing_parts`` in its prompt, and is back after ``restart_seconds``, under its
    id if it ``keeps_id``. A plain service answers ``body_bytes`` bytes.

    A runner that ``stutters`` writes a share ``stutter_share`` of its answers twice on
    their connection, the second time after ``stutter_seconds``, drawn between the two;
    without ``repeats_id``, the second one lacks the attempt's id. ``unframed`` answers
    have neither length nor chunks and end with their connection. An answer to a prefill
    bears the attempt's id if the runner ``names_prefills``. Connections that the runner
    breaks end with a FIN, as those of a killed process do, or with a reset if it
    ``resets`` them. The second half of a plain answer follows ``split_seconds`` after
    the first. If the runner ``marks_runs``, signatures name the run, and bodies the run
    and its attempt.

    A request may ask for more: ``seconds`` in its query is the duration of a call, or
    the time between the events of a stream, ``bytes`` the length of an answer and
    ``events`` the number of events of a stream.
    """

    shed: bool = False
    shed_share: float = 1.0
    break_after: int | None = None
    break_share: float = 1.0
    marks_version: bool = False
    crash: bool = False
    close_port: bool = False
    wrong_id: bool = False
    unsigned: bool = False
    status: int = 200
    delay_seconds: float = 0.0
    lose_handles: bool = False
    changing: bool = False
    event_seconds: float = 0.0
    leaving: bool = False
    rate_limit: float | None = None
    retry_after_seconds: float | None = None
    crashing_parts: frozenset[str] = frozenset()
    restart_seconds: float = 1.0
    keeps_id: bool = False
    body_bytes: int | None = None
    stutters: bool = False
    stutter_share: float = 1.0
    stutter_seconds: tuple[float, float] = (0.0, 0.0)
    repeats_id: bool = True
    unframed: bool = False
    names_prefills: bool = False
    resets: bool = False
    split_seconds: float = 0.0
    marks_runs: bool = False

    @property
    def needs_raw_bytes(self) -> bool:
        """Return whether answers are written as no HTTP server writes them."""
        return self.stutters or self.unframed or self.split_seconds > 0


@dataclass(slots=True)
class Runner:
    """Runner of the platform; ``stage`` is empty for a plain service.

    ``received`` lists all requests that arrived, ``received_at`` their times in seconds
    of the event loop, ``arrivals`` what they were, ``ran`` the attempts that were run,
    ``crashed_at`` the times of its crashes and ``crashed_parts`` the parts of the
    prompts that it ran then.
    ``on_restart`` is called with its former id after each restart.
    ``on_record`` is called with each handle, run and piece of an answer before it is
    sent.
    ``version`` is that of its software; None leaves it out of the entry. ``slots`` is
    the number of requests at once that its entry names.
    """

    id: str
    service: str
    zone: str = "zone-a"
    stage: str = ""
    version: str | None = "v1"
    slots: int = 8
    born: int = 1
    address: str = ""
    orders: int = 0
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    received: list[web.Request] = field(default_factory=list)
    received_at: list[float] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    handles: set[str] = field(default_factory=set)
    cached_prompts: dict[str, int] = field(default_factory=dict)
    accepted_orders: list[dict[str, Any]] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    crashed_parts: list[set[str]] = field(default_factory=list)
    on_restart: Callable[[str], None] = lambda former: None
    on_record: Callable[[dict[str, Any]], None] = lambda record: None
    random: Random = field(default_factory=lambda: Random(0))
    _running: list[set[str]] = field(default_factory=list)
    _restart: asyncio.Task[None] | None = None
    _runner: web.AppRunner | None = None
    _site: web.TCPSite | None = None
    _locks: WeakKeyDictionary[asyncio.Transport, asyncio.Lock] = field(
        default_factory=WeakKeyDictionary
    )
    _copies: set[asyncio.Task[None]] = field(default_factory=set)

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the runner's entry in the store; ``changes`` replace its fields."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 7,
            "born": self.born,
        }
        if self.version is not None:
            entry["version"] = self.version
        if self.stage:
            entry |= {"stage": self.stage, "models": [{"name": "m", "version": 1}]}
        return entry | changes

    async def start(self, listen: str = "127.0.0.1:0") -> None:
        """Listen on an address, port 0 for a free one, and set ``address``."""
        app = web.Application(client_max_size=2**23, middlewares=[self._write_raw])
        app.on_response_prepare.append(self._add_notices)
        app.router.add_get("/report", self._report)
        app.router.add_post("/order", self._apply_order)
        app.router.add_delete("/kv-handle/{id}", self._drop_handle)
        app.router.add_get("/kv-list", self._list_cached_prompts)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, *split_address(listen))
        await self._site.start()
        ip, port = self._runner.addresses[0][:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._restart is not None:
            self._restart.cancel()
        for copy in self._copies:
            copy.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def crash(self) -> None:
        """Close the port and break every connection; restart after a while."""
        if self._restart is not None and not self._restart.done():
            return
        self.crashed_at.append(asyncio.get_running_loop().time())
        self.crashed_parts.append(set().union(*self._running))
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        assert self._runner is not None and self._site is not None
        await self._site.stop()
        server = self._runner.server
        assert server is not None
        for connection in list(server.connections):
            break_connection(connection.transport, resets=self.faults.resets)
        self.handles.clear()
        await asyncio.sleep(self.faults.restart_seconds)
        former = self.id
        self.born += 1
        if not self.faults.keeps_id:
            self.id = f"{former.partition('-')[0]}-{self.born}"
        ip, port = split_address(self.address)
        self._site = web.TCPSite(self._runner, ip, port, reuse_address=True)
        await self._site.start()
        self.on_restart(former)

    async def _add_notices(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.faults.leaving:
            response.headers["Server-Leaving"] = "1"
        if self.faults.rate_limit is not None:
            response.headers["Server-Limit"] = str(self.faults.rate_limit)

    @web.middleware
    async def _write_raw(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Write the answer as raw bytes if a fault asks for that."""
        response = await handler(request)
        transport = request.transport
        if transport is None or transport.is_closing():
            return response
        if isinstance(response, web.Response) and self.faults.needs_raw_bytes:
            body = response.body
            assert body is None or isinstance(body, bytes)
            body = body or b""
            raw = await self._open_raw(request, response.status, response.headers, body)
            middle = len(body) // 2 if self.faults.split_seconds else len(body)
            await raw.prepare(request)
            await raw.write(body[:middle])
            if middle < len(body):
                await asyncio.sleep(self.faults.split_seconds)
                await raw.write(body[middle:])
            response = raw
        if isinstance(response, RawResponse):
            await response.write_eof()
            if response.repeat is not None and response.framing is not Framing.CLOSE:
                copy = asyncio.create_task(response.write_copy())
                self._copies.add(copy)
                copy.add_done_callback(self._copies.discard)
        return response

    async def _open_raw(
        self,
        request: web.Request,
        status: int,
        headers: Mapping[str, str],
        body: bytes | None = None,
    ) -> RawResponse:
        """Return a raw response, in chunks or without length unless there is a body."""
        framing = Framing.CHUNKS if body is None else Framing.LENGTH
        if self.faults.unframed:
            framing = Framing.CLOSE
        own = CIMultiDict(headers)
        if body is not None:
            own["Content-Length"] = str(len(body))
        repeat = None
        if self.faults.stutters and self.random.random() < self.faults.stutter_share:
            delay = self.random.uniform(*self.faults.stutter_seconds)
            repeat = Repeat(delay, None if self.faults.repeats_id else ATTEMPT)
        assert request.transport is not None
        lock = self._locks.setdefault(request.transport, asyncio.Lock())
        response = RawResponse(status, own, framing, lock, repeat)
        await self._add_notices(request, response)
        return response

    def _drop(self, request: web.Request) -> web.Response:
        """Break the caller's connection; the returned response is never sent."""
        break_connection(request.transport, resets=self.faults.resets)
        return web.Response(status=500)

    async def _report(self, request: web.Request) -> web.Response:
        return make_json_response(
            {
                "stage": self.stage,
                "models": [],
                "busy": self.faults.changing,
                "seq": self.orders,
                "num_waiting": 0,
                "num_running": 0,
                "born": self.born,
            }
        )

    async def _list_cached_prompts(self, request: web.Request) -> web.Response:
        prompts = [
            ["", name, tokens, "m"] for name, tokens in self.cached_prompts.items()
        ]
        return make_json_response({"epoch": 1, "next": 1, "held": prompts})

    async def _apply_order(self, request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        if order.get("expected") not in (None, self.orders):
            return web.Response(status=409)
        self.accepted_orders.append(order)
        self.orders += 1
        self.stage = order["stage"]
        return web.Response(status=202)

    async def _drop_handle(self, request: web.Request) -> web.Response:
        self.handles.discard(request.match_info["id"])
        return web.Response()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.received.append(request)
        now = asyncio.get_running_loop().time()
        self.received_at.append(now)
        arrival = Arrival(request.headers.get(ATTEMPT, ""), now)
        self.arrivals.append(arrival)
        await request.read()
        refusal = self._refuse(request)
        if refusal is not None:
            refusal.headers[ATTEMPT] = request.headers.get(ATTEMPT, "")
            if self.faults.retry_after_seconds is not None:
                refusal.headers["Retry-After"] = str(self.faults.retry_after_seconds)
            return refusal
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        attempt = request.headers[ATTEMPT]
        if request.headers.get("X-Galenapass-Stage") == "prefill":
            arrival.is_prefilled = True
            handle = f"handle-{len(self.received)}-{attempt}"
            self.handles.add(handle)
            prefill = {"kind": "prefill", "attempt": attempt, "handle": handle}
            self.on_record(prefill | _describe_caller(request))
            prefilled = make_json_response(
                {"kv_handle": handle, "tokens": 1, "version": 1}
            )
            if self.faults.names_prefills:
                prefilled.headers[ATTEMPT] = attempt
            return prefilled
        self.ran.append(attempt)
        run = f"{self.id}.{self.born}.{len(self.ran)}"
        pieces = self._make_pieces(request, run)
        self._record_run(request, run, pieces)
        if self.faults.crash or self.faults.close_port:
            if self.faults.close_port and self._site is not None:
                await self._site.stop()
            return self._drop(request)
        headers = {ATTEMPT: "another" if self.faults.wrong_id else attempt}
        if not self.faults.unsigned:
            signer = run if self.faults.marks_runs else self.id
            headers[SIGNATURE] = f"signed-by-{signer}"
        seconds = request.query.get("seconds")
        if not self.stage:
            await asyncio.sleep(float(seconds or 0))
            self.on_record({"kind": "sent", "run": run, "piece": 0})
            body = pieces[0].encode()
            return web.Response(status=self.faults.status, headers=headers, body=body)
        pause = self.faults.event_seconds if seconds is None else float(seconds)
        parts = list_parts(request)
        self._running.append(parts)
        try:
            return await self._stream(request, headers, pause, run, pieces)
        finally:
            self._running.remove(parts)

    def _make_pieces(self, request: web.Request, run: str) -> list[str]:
        """Return the events of a stream after the caller's last, or a plain body."""
        if not self.stage:
            return [self._make_body(request, run)]
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        last = int(request.query.get("events", EVENTS))
        mark = f" {self.service}-{self.version}" if self.faults.marks_version else ""
        if self.faults.marks_runs:
            mark += f" {run} {request.headers[ATTEMPT]}"
        return [
            f"id: {number}\ndata: t{number}{mark}\n\n"
            for number in range(first, last + 1)
        ]

    def _make_body(self, request: web.Request, run: str) -> str:
        if self.faults.body_bytes is not None:
            return "\0" * self.faults.body_bytes
        size = int(request.query.get("bytes", 0))
        if not self.faults.marks_runs:
            return f"{self.id} {request.method} {request.raw_path}".rjust(size)
        line = f"{run} {request.headers[ATTEMPT]} {request.method} {request.raw_path}\n"
        return line * (size // len(line) + 1)

    def _record_run(self, request: web.Request, run: str, pieces: list[str]) -> None:
        self.on_record(
            {
                "kind": "run",
                "run": run,
                "attempt": request.headers[ATTEMPT],
                "method": request.method,
                "path": request.raw_path,
                "source": request.headers.get("X-Galenapass-Kv-Source"),
                "last_event": int(request.headers.get("Last-Event-Id", "0")),
                "pieces": pieces,
                **_describe_caller(request),
            }
        )

    def _refuse(self, request: web.Request) -> web.Response | None:
        expected = request.headers.get("X-Galenapass-Expect-Instance")
        if expected not in (None, self.id):
            return web.Response(status=421)
        source = request.headers.get("X-Galenapass-Kv-Source")
        expected_stage = request.headers.get("X-Galenapass-Stage", "decode")
        if self.stage and not self.faults.changing and expected_stage != self.stage:
            return web.Response(status=421)
        if self.faults.changing:
            return web.Response(status=503, headers={"X-Galenapass-Not-Executed": "1"})
        sheds = self.faults.shed and self.random.random() < self.faults.shed_share
        if sheds or (source is not None and self.faults.lose_handles):
            return web.Response(status=503, headers={"X-Galenapass-Not-Executed": "1"})
        return None

    async def _stream(
        self,
        request: web.Request,
        headers: dict[str, str],
        pause: float,
        run: str,
        events: list[str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        if self.faults.needs_raw_bytes:
            response = await self._open_raw(request, 200, headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        if list_parts(request) & self.faults.crashing_parts:
            await asyncio.sleep(CRASH_SECONDS)
            self.crash()
            await asyncio.sleep(self.faults.restart_seconds)
            return self._drop(request)
        breaks = self.random.random() < self.faults.break_share
        for sent, event in enumerate(events):
            if breaks and sent == self.faults.break_after:
                await response.write(b"id: ")
                return self._drop(request)
            await asyncio.sleep(pause)
            self.on_record({"kind": "sent", "run": run, "piece": sent})
            await response.write(event.encode())
        await response.write_eof()
        return response
