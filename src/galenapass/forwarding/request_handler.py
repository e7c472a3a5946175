"""Handle HTTP requests of clients and write the responses."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

import xxhash
from aiohttp import web
from result import Err

from galenapass.callers.problems import make_problem_response
from galenapass.clocks import Clock
from galenapass.forwarding.caller_finder import (
    CallerFinder,
    KeyProblem,
    make_key_refusal,
)
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.large_answers import SMALL_ANSWER_BYTES
from galenapass.forwarding.loads import digest_parts
from galenapass.forwarding.relay import Relay
from galenapass.forwarding.requests import ForwardedRequest, RequestMetadata
from galenapass.forwarding.routes import (
    Repeat,
    Route,
    RouteTable,
    is_model,
)
from galenapass.forwarding.stream_origins import digest_stream
from galenapass.forwarding.target_messages import ClientRequest, ResponseIdentity
from galenapass.http_connections import (
    ClientServer,
    close_after,
    cut_connection,
    has_waiting_request,
)
from galenapass.logs import make_log
from galenapass.metrics import Metrics
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["RequestHandler", "make_server"]

DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)
# Clients choose the ids of their attempts.
MAX_LOGGED_CHARACTERS = 64
MAX_HEADER_LINE_BYTES = 65_536
# Longer than any idle timeout that a configuration allows for clients.
KEEPALIVE_TIMEOUT = timedelta(seconds=60)

# Of the challenge that a response about a key has to contain.
KEY_SCHEME = "Token"

_log = make_log("entry")

DecodeMetadata = Callable[[Mapping[str, str]], RequestMetadata]


class RequestHandler:
    """HTTP handler of the clients' port.

    ``open`` counts the requests in progress; once ``stopping`` is set, responses close
    their connections.
    """

    def __init__(
        self,
        fleet: Fleet,
        relay: Relay,
        decode_metadata: DecodeMetadata,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        caller_finder: CallerFinder,
    ):
        self.stopping = False
        self.open = 0
        self._fleet = fleet
        self._relay = relay
        self._decode_metadata = decode_metadata
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._caller_finder = caller_finder

    async def handle(self, raw: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return its response."""
        self.open += 1
        try:
            response = await self._answer(raw)
        except Exception as error:
            # The server answers 500, or closes a connection whose response has begun.
            _log("request failed", path=raw.raw_path, error=repr(error))
            raise
        finally:
            self.open -= 1
        if self.stopping and not response.prepared and not has_waiting_request(raw):
            response.force_close()
        # A stream that began before the stop did not say that its connection closes.
        if self.stopping and response.keep_alive is False:
            await close_after(raw, response)
        return response

    async def _answer(self, raw: web.BaseRequest) -> web.StreamResponse:
        arrived = self._clock.monotonic()
        if not self._fleet.routes.version:
            return self._refuse(raw, _NO_ROUTES, None)
        host = raw.headers.get("Host", "").split(":")[0].lower()
        path = _extract_path(raw.raw_path)
        found = await self._caller_finder.find(raw.headers, host, path)
        table, route = found.table, found.route
        if route is None:
            _log("no route", host=host, path=raw.raw_path, version=table.version)
            return web.Response(status=404)
        metadata = self._decode_metadata(raw.headers)
        if isinstance(found.caller, Err):
            return self._refuse_key(found.caller.err_value, route, table, metadata)
        try:
            async with self._relay.bound_body():
                body = await _read_body(raw, table.limits.body_bytes)
        except TimeoutError:
            _log("body is refused", request=metadata.attempt, path=raw.raw_path)
            return self._refuse(raw, _BODY_TOO_LATE, None)
        if body is None:
            return web.Response(status=413)
        request = self._make_request(raw, table, route, metadata, body, arrived)
        request.organisation = found.organisation or ""
        request.caller_rank = found.rank
        if request.is_resumed:
            _log(
                "stream is taken up",
                request=request.id,
                resumes=metadata.resumes[:MAX_LOGGED_CHARACTERS],
                last_event=request.last_event,
            )
        message = ClientRequest(
            metadata.attempt,
            raw.method,
            raw.raw_path,
            raw.headers.get("Host", ""),
            tuple(raw.headers.items()),
            body,
            found.organisation,
        )
        sink = ClientSink(raw, lambda: self.stopping)
        try:
            outcome = await self._relay.serve(request, message, sink)
        except asyncio.CancelledError:
            self._log_leaving_client(request, table.version, sink)
            raise
        verdict = outcome.err() if outcome.is_err() else None
        self._record_end(request, table.version, verdict, is_cut=sink.began)
        if outcome.is_ok():
            assert sink.response is not None
            return sink.response
        if sink.began and sink.response is not None:
            sink.abort()
            return sink.response
        return self._refuse(raw, outcome.unwrap_err(), request)

    def _make_request(
        self,
        raw: web.BaseRequest,
        table: RouteTable,
        route: Route,
        metadata: RequestMetadata,
        body: bytes,
        arrived: timedelta,
    ) -> ForwardedRequest:
        patience = route.timeout if metadata.patience is None else metadata.patience
        may_resume = route.repeat is Repeat.RESUME
        last_event = metadata.last_event if may_resume else None
        # The id of the last event is passed on even where it is no number.
        is_resumed = last_event is not None or (may_resume and bool(metadata.resumes))
        service = self._pick_service(route)
        return ForwardedRequest(
            id=metadata.attempt,
            route=route,
            service=service,
            arrived=arrived,
            deadline=arrived + min(patience, route.timeout),
            prompt=metadata.prompt,
            parts=digest_parts(metadata.prompt) if metadata.prompt else (),
            fingerprint=_make_fingerprint(raw, body),
            is_generation=metadata.prompt is not None and is_model(table, service),
            last_event=last_event,
            is_resumed=is_resumed,
            stream=digest_stream(metadata.resumes or metadata.attempt),
            abandoned_at=arrived + patience,
        )

    def _pick_service(self, route: Route) -> str:
        names = [name for name, _ in route.split]
        weights = [weight for _, weight in route.split]
        if len(names) == 1 or not sum(weights):
            return names[0]
        return self._random.choices(names, weights)[0]

    def _refuse_key(
        self,
        problem: KeyProblem,
        route: Route,
        table: RouteTable,
        metadata: RequestMetadata,
    ) -> web.StreamResponse:
        self._metrics.refused_keys.add(1, {"reason": problem.value})
        _log(
            "request is refused for its key",
            request=metadata.attempt[:MAX_LOGGED_CHARACTERS],
            route=route.name,
            version=table.version,
            reason=problem.value,
        )
        response = make_problem_response(make_key_refusal(problem))
        if response.status == 401:
            response.headers["WWW-Authenticate"] = KEY_SCHEME
        return response

    def _refuse(
        self, raw: web.BaseRequest, verdict: Verdict, request: ForwardedRequest | None
    ) -> web.StreamResponse:
        if verdict.run is Run.NOT_RUN:
            after = verdict.retry_after or DEFAULT_RETRY_AFTER
            headers = {"Retry-After": f"{after.total_seconds():.2f}"}
            return web.Response(status=503, headers=headers)
        late = verdict.reason is Reason.DEADLINE_PASSED
        return web.Response(status=504 if late else 502)

    def _log_leaving_client(
        self, request: ForwardedRequest, arrived_version: int, sink: "ClientSink"
    ) -> None:
        took = self._clock.monotonic() - request.arrived
        _log(
            "client disconnected",
            request=request.id,
            route=request.route.name,
            arrived_version=arrived_version,
            version=self._fleet.routes.version,
            took_ms=took // timedelta(milliseconds=1),
            began=sink.began,
            sends=request.sends,
        )

    def _record_end(
        self,
        request: ForwardedRequest,
        arrived_version: int,
        verdict: Verdict | None,
        *,
        is_cut: bool,
    ) -> None:
        took = self._clock.monotonic() - request.arrived
        reason = verdict.reason if verdict else Reason.COMPLETED
        self._metrics.requests.add(1, {"reason": reason.value})
        self._metrics.first_token.record(took.total_seconds())
        _log(
            "ended",
            request=request.id,
            route=request.route.name,
            arrived_version=arrived_version,
            version=self._fleet.routes.version,
            took_ms=took // timedelta(milliseconds=1),
            reason=reason.value,
            cut=is_cut and verdict is not None,
            run=verdict.run.value if verdict else Run.RAN.value,
            detail=verdict.detail if verdict else "",
            sends=request.sends,
            last_event=request.last_event,
            answer=_describe_answer(request.answer),
        )


class ClientSink:
    """Response to one client.

    ``began`` is set once the head of a stream is sent; ``response`` is what the handler
    returns.
    """

    def __init__(self, raw: web.BaseRequest, is_stopping: Callable[[], bool]):
        self.began = False
        self.response: web.StreamResponse | None = None
        self._raw = raw
        self._is_stopping = is_stopping

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes | bytearray
    ) -> None:
        """Set a complete response for the handler to return.

        A large one is sent here as fast as the client takes it.
        """
        if len(body) <= SMALL_ANSWER_BYTES:
            body = bytes(body)
            self.response = web.Response(status=status, headers=headers, body=body)
            return
        await self.begin(status, headers, len(body))
        for start in range(0, len(body), SMALL_ANSWER_BYTES):
            await self.write(bytes(body[start : start + SMALL_ANSWER_BYTES]))
        await self.finish()

    async def begin(
        self, status: int, headers: list[tuple[str, str]], length: int | None = None
    ) -> None:
        """Send the status and headers of a stream, or of a body of known length."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self.response.content_length = length
        if self._is_stopping() and not has_waiting_request(self._raw):
            self.response.force_close()
        self.began = True
        await self.response.prepare(self._raw)

    async def write(self, events: bytes) -> None:
        """Send complete events."""
        assert self.response is not None
        await self.response.write(events)

    async def finish(self) -> None:
        """End the body of the stream."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection so that the body is seen to be cut short."""
        cut_connection(self._raw)


def make_server(handler: RequestHandler) -> ClientServer:
    """Return the server of the clients' port.

    A client that disconnects cancels the handling of its request.
    """
    return ClientServer(
        handler.handle,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
        keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds(),
    )


def _describe_answer(identity: ResponseIdentity | None) -> str:
    """Return whose a target's response is, its place on its connection and its end."""
    if identity is None:
        return ""
    name = "unnamed" if identity.attempt is None else identity.attempt
    end = identity.framing.value
    return f"{name[:MAX_LOGGED_CHARACTERS]}, exchange {identity.exchange}, by {end}"


async def _read_body(raw: web.BaseRequest, limit: int) -> bytes | None:
    """Return the whole body, or None if it is longer than ``limit`` bytes."""
    if not raw.body_exists:
        return b""
    if raw.headers.get("Expect", "").lower() == "100-continue":
        await raw.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")  # type: ignore[attr-defined]
    body = bytearray()
    async for chunk in raw.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def _extract_path(target: str) -> str:
    """Return the path of a request target, which may be an absolute URL."""
    if not target.startswith("/"):
        _, _, rest = target.partition("://")
        target = "/" + rest.partition("/")[2]
    return target.partition("?")[0]


def _make_fingerprint(raw: web.BaseRequest, body: bytes) -> str:
    digest = xxhash.xxh3_128(f"{raw.method} {raw.raw_path}\n".encode())
    digest.update(body)
    return digest.hexdigest()


_BODY_TOO_LATE = Verdict(
    Run.NOT_RUN, Reason.STOPPING, "the body did not arrive before this host stopped"
)
_NO_ROUTES = Verdict(
    Run.NOT_RUN, Reason.NOT_CONFIGURED, "no configuration is known yet"
)
