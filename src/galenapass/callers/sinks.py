"""Write the events of a completion to the caller, as a stream or as one answer."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import HttpVersion11, web

from galenapass.callers.answers import assemble_answer
from galenapass.callers.problems import encode_error_event, make_problem_response
from galenapass.http_connections import reset_connection
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["BufferingSink", "StreamingSink", "Write"]

Write = Callable[[bytes], Awaitable[None]]


STREAM_HEADERS = {
    "Content-Type": "text/event-stream; charset=utf-8",
    "Cache-Control": "no-cache",
}


class StreamingSink:
    """Response to a caller that requested a stream of events."""

    __slots__ = ("_request", "_request_id", "_response", "_write", "_write_timeout")

    def __init__(self, request: web.Request, request_id: str, write_timeout: timedelta):
        self._request = request
        self._write_timeout = write_timeout
        self._request_id = request_id
        self._response: web.StreamResponse | None = None
        self._write: Write | None = None

    async def open(self) -> Write:
        """Send the response headers and return the function that writes the body."""
        if self._response is None:
            response = web.StreamResponse(headers=STREAM_HEADERS)
            response.headers["X-Request-Id"] = self._request_id
            await response.prepare(self._request)
            self._response = response
            if self._request.version >= HttpVersion11:
                self._write = _make_chunk_writer(self._request)
        return self._write or self._response.write

    def is_blocked(self) -> bool:
        """Return whether writing is paused because the caller reads too slowly."""
        return self._request.protocol.writing_paused

    async def finish(self, verdict: Verdict) -> web.StreamResponse:
        """End the response, with a problem if the answer is incomplete."""
        if self._response is None:
            return make_problem_response(verdict, request_id=self._request_id)
        if verdict.reason is Reason.CANCELLED:
            self._abort()
            return self._response
        final_event = b"" if verdict.run is Run.RAN else encode_error_event(verdict)
        try:
            async with asyncio.timeout(self._write_timeout.total_seconds()):
                await self._response.write_eof(final_event)
        except TimeoutError:
            self._abort()
        return self._response

    def _abort(self) -> None:
        transport = self._request.transport
        if not isinstance(transport, asyncio.Transport):
            return
        if self._write is None:
            # A body without chunks is whole where its connection ends without an error.
            reset_connection(transport)
        else:
            transport.abort()


def _make_chunk_writer(request: web.Request) -> Write:
    """Return a function that writes one chunk of a body directly to the transport.

    It runs once per token; the library's own write takes three times as long.
    """
    transport, protocol, writer = request.transport, request.protocol, request.writer
    if not isinstance(transport, asyncio.Transport):
        raise ConnectionResetError("the caller disconnected")

    async def write(part: bytes) -> None:
        if transport.is_closing():
            raise ConnectionResetError("the caller disconnected")
        transport.write(b"%x\r\n%b\r\n" % (len(part), part))
        if protocol.writing_paused:
            await writer.drain()

    return write


class BufferingSink:
    """Buffered events for a caller that requested a single answer."""

    __slots__ = ("_parts", "_path", "_request_id")

    def __init__(self, path: str, request_id: str):
        self._path = path
        self._request_id = request_id
        self._parts: list[bytes] = []

    async def open(self) -> Write:
        """Return the function that buffers the events."""
        return self._append

    def is_blocked(self) -> bool:
        """Return false, since buffering never blocks."""
        return False

    async def finish(self, verdict: Verdict) -> web.StreamResponse:
        """Return the complete answer, or a problem."""
        if verdict.run is not Run.RAN:
            return make_problem_response(verdict, request_id=self._request_id)
        body = assemble_answer(self._path, b"".join(self._parts))
        return web.Response(
            body=body,
            content_type="application/json",
            headers={"X-Request-Id": self._request_id},
        )

    async def _append(self, part: bytes) -> None:
        self._parts.append(part)
