"""Take the events of an answer: send them on, or gather them for one answer."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from aiohttp import HttpVersion11, web

from galenapass.callers.answers import assemble_answer
from galenapass.callers.problems import write_error_event, write_problem
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["GatheringSink", "StreamingSink", "Write"]

Write = Callable[[bytes], Awaitable[None]]

STREAM_HEADERS = {
    "Content-Type": "text/event-stream; charset=utf-8",
    "Cache-Control": "no-cache",
}


class StreamingSink:
    """Hold the answer to a caller that reads events as they come."""

    __slots__ = ("_answer", "_request", "_request_id", "_write", "_write_timeout")

    def __init__(self, request: web.Request, request_id: str, write_timeout: timedelta):
        self._request = request
        self._write_timeout = write_timeout
        self._request_id = request_id
        self._answer: web.StreamResponse | None = None
        self._write: Write | None = None

    async def open(self) -> Write:
        """Send the head of the answer and return what writes its body."""
        if self._answer is None:
            answer = web.StreamResponse(headers=STREAM_HEADERS)
            answer.headers["X-Request-Id"] = self._request_id
            await answer.prepare(self._request)
            self._answer = answer
            if self._request.version >= HttpVersion11:
                self._write = _make_chunk_writer(self._request)
        return self._write or self._answer.write

    def is_blocked(self) -> bool:
        """Tell whether the caller has left too much unread."""
        return self._request.protocol.writing_paused

    async def finish(self, verdict: Verdict) -> web.StreamResponse:
        """End the answer, with the problem when it is not whole."""
        if self._answer is None:
            return write_problem(verdict, request_id=self._request_id)
        if verdict.reason is Reason.CANCELLED:
            self._abort()
            return self._answer
        last = b"" if verdict.run is Run.RAN else write_error_event(verdict)
        try:
            async with asyncio.timeout(self._write_timeout.total_seconds()):
                await self._answer.write_eof(last)
        except TimeoutError:
            self._abort()
        return self._answer

    def _abort(self) -> None:
        transport = self._request.transport
        if isinstance(transport, asyncio.Transport):
            transport.abort()


def _make_chunk_writer(request: web.Request) -> Write:
    """Return what writes a part of a chunked body without the library's detours.

    This runs once a token; the library's own way takes three times as long.
    """
    transport, protocol, writer = request.transport, request.protocol, request.writer
    if not isinstance(transport, asyncio.Transport):
        raise ConnectionResetError("the caller went away")

    async def write(part: bytes) -> None:
        if transport.is_closing():
            raise ConnectionResetError("the caller went away")
        transport.write(b"%x\r\n%b\r\n" % (len(part), part))
        if protocol.writing_paused:
            await writer.drain()

    return write


class GatheringSink:
    """Hold the events for a caller that wants one answer."""

    __slots__ = ("_parts", "_path", "_request_id")

    def __init__(self, path: str, request_id: str):
        self._path = path
        self._request_id = request_id
        self._parts: list[bytes] = []

    async def open(self) -> Write:
        """Return what keeps the parts of the answer."""
        return self._keep

    def is_blocked(self) -> bool:
        """Return false: keeping never blocks."""
        return False

    async def finish(self, verdict: Verdict) -> web.StreamResponse:
        """Return the whole answer, or the problem."""
        if verdict.run is not Run.RAN:
            return write_problem(verdict, request_id=self._request_id)
        body = assemble_answer(self._path, b"".join(self._parts))
        return web.Response(
            body=body,
            content_type="application/json",
            headers={"X-Request-Id": self._request_id},
        )

    async def _keep(self, part: bytes) -> None:
        self._parts.append(part)
