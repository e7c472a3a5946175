"""Ask schedulers at which version a stream began."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.origin_messages import OriginQuery, OriginReply
from galenapass.forwarding.service_versions import ServiceVersion
from galenapass.logs import make_log

__all__ = ["OriginQueries"]

# Wait for the replies of schedulers, which may have to read the store twice.
REPLY_TIMEOUT = timedelta(seconds=1)

_log = make_log("streams")


@dataclass(slots=True)
class _PendingQuery:
    """Query of this host; ``unanswered`` counts the schedulers still to reply."""

    reply: asyncio.Future[ServiceVersion | None]
    unanswered: int = 0


class OriginQueries:
    """Queries of this host that wait for replies, one for each stream.

    ``send`` sends a query to some schedulers and returns to how many.
    """

    __slots__ = ("_pending", "_send")

    def __init__(self, send: Callable[[OriginQuery], int]):
        self._send = send
        self._pending: dict[int, _PendingQuery] = {}

    async def ask(self, stream: int, services: Sequence[str]) -> ServiceVersion | None:
        """Return where a stream began, None if no scheduler knows or replies."""
        query = self._pending.get(stream) or self._start(stream, services)
        # Other take-ups of the stream may wait for the same reply.
        return await asyncio.shield(query.reply)

    def apply_reply(self, reply: OriginReply) -> None:
        """Apply a scheduler's reply; the first that knows the stream ends its query."""
        query = self._pending.get(reply.stream)
        if query is None:
            return
        query.unanswered -= 1
        if reply.origin is not None or query.unanswered <= 0:
            query.unanswered = 0
            self._end(reply.stream, query, reply.origin)

    def _start(self, stream: int, services: Sequence[str]) -> _PendingQuery:
        loop = asyncio.get_running_loop()
        query = _PendingQuery(loop.create_future())
        self._pending[stream] = query
        query.unanswered = self._send(OriginQuery(stream, tuple(services)))
        delay = REPLY_TIMEOUT if query.unanswered else timedelta(0)
        loop.call_later(delay.total_seconds(), self._end, stream, query, None)
        return query

    def _end(
        self, stream: int, query: _PendingQuery, origin: ServiceVersion | None
    ) -> None:
        if query.reply.done():
            return
        del self._pending[stream]
        query.reply.set_result(origin)
        if query.unanswered:
            _log("schedulers do not reply", stream=stream, count=query.unanswered)
