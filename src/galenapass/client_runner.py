"""Run applications whose connections close in order during a graceful stop."""

from aiohttp import web

from galenapass.http_connections import ClientServer

__all__ = ["ClientRunner"]


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
