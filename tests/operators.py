"""Provide a fake daemon for tests of the operators' interface."""

import asyncio
import contextlib
import threading
from datetime import timedelta

from aiohttp import web
from result import Err, Ok

from galenapass.operators.interfaces import (
    Conflict,
    HostStatus,
    PlatformState,
    Status,
    TargetStatus,
)
from galenapass.tables.configurations import Configuration

__all__ = ["TOKEN", "FakeDaemon", "serve_apps"]

TOKEN = "operators-token"


class FakeDaemon:
    """Daemon that stores applied files in memory.

    ``failure`` is returned without applying a file, ``lost`` after applying it.
    """

    def __init__(self):
        self.files = {}
        self.failure = None
        self.lost = None

    @property
    def version(self):
        return max(self.files, default=0)

    def read_status(self):
        host, domain = "entry-1", "addis-1"
        hosts = (HostStatus(host, domain, "alive", self.version),)
        state = (True, self.version, PlatformState.REACHABLE, ("planner",), hosts)
        return Status(host, domain, 4, *state)

    def read_targets(self):
        load = (3, 1, 40, 2000, timedelta(milliseconds=250))
        placement = ("assistant", "addis-1", "engine")
        return [
            TargetStatus("runner-1", *placement, "prefill", "serving", *load),
            TargetStatus("runner-2", *placement, "decode", "draining", *load),
            TargetStatus("desk-1", "booking", "addis-1", "service", "", "serving"),
        ]

    def read_configuration(self, version=None):
        version = self.version if version is None else version
        if version not in self.files:
            return None
        return Configuration(version, self.files[version])

    async def apply(self, text, base_version):
        if self.failure:
            return Err(self.failure)
        if base_version != self.version:
            return Err(Conflict(base_version, self.version))
        self.files[self.version + 3] = text
        return Err(self.lost) if self.lost else Ok(self.version)


@contextlib.contextmanager
def serve_apps(*apps):
    """Serve applications on loopback ports from a separate thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runners = [
        web.AppRunner(app, shutdown_timeout=0, handler_cancellation=True)
        for app in apps
    ]

    def run(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result(10)

    try:
        yield [run(_start(runner)) for runner in runners]
    finally:
        for runner in runners:
            run(runner.cleanup())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def _start(runner):
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"
