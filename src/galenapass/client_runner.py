"""Run applications whose connections close in order during a graceful stop."""

from collections.abc import Callable

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from galenapass.http_connections import ClientServer, close_after, has_waiting_request

__all__ = ["ClientRunner", "make_last_answer"]


class ClientRunner(web.AppRunner):
    """Runner of an application whose connections a graceful stop can see."""

    async def _make_server(self) -> ClientServer:
        server = await super()._make_server()
        return ClientServer(
            server.request_handler,
            request_factory=server.request_factory,
            **self._kwargs,
        )

    def count_busy(self) -> int:
        """Return the number of connections with an answer that is due or unwritten."""
        server = self.server
        return server.count_busy() if isinstance(server, ClientServer) else 0

    async def close_idle(self) -> None:
        """Stop listening and close the connections without a request."""
        for site in self.sites:
            await site.stop()
        if isinstance(self.server, ClientServer):
            self.server.close_idle()


def make_last_answer(is_stopping: Callable[[], bool]) -> Middleware:
    """Return the middleware that closes connections during a stop.

    The answer to the last request that was read from a connection closes it.
    """

    @web.middleware
    async def close_when_stopping(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        response = await handler(request)
        if is_stopping() and not has_waiting_request(request):
            response.force_close()
            await close_after(request, response)
        return response

    return close_when_stopping
