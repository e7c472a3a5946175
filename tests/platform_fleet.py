"""Run a daemon against stand-ins of the platform in one event loop."""

import asyncio
import contextlib
import functools
import zlib
from datetime import timedelta

import aiohttp
from aiohttp import web

from experiments.processes import find_free_port
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from galenapass.platform.assembly import PlatformDaemon
from galenapass.platform.settings import HostSettings
from galenapass.targets.connections import make_target_socket
from stand_ins.metadata_store import MetadataStore
from stand_ins.platform_routes import CONFIGURATION, make_headers
from stand_ins.runner import Runner
from tests.target_links import TargetLinks


def make_settings(store, name="front-1", domain="zone-a", operations=None):
    ports = [find_free_port() for _ in range(3)]
    front, ready, peers = (("127.0.0.1", port) for port in ports)
    return HostSettings(
        host=name,
        domain=domain,
        front=front,
        ready=ready,
        peers=peers,
        store=store,
        grace_period=timedelta(seconds=1),
        lease=timedelta(seconds=1),
        budget=RetryBudgetTerms(0.2, 50.0, timedelta(seconds=10)),
        operations=operations,
    )


async def wait_for(condition, seconds=5.0):
    """Wait until a condition is true; raise TimeoutError after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class PlatformFleet:
    """A metadata store, runners and daemons; ``daemon`` is the first of them."""

    def __init__(self):
        self.store = MetadataStore()
        self.prefill = Runner("e1", "lm", stage="prefill")
        self.decode = Runner("d1", "lm", stage="decode")
        self.second_decode = Runner("d2", "lm", stage="decode")
        self.plain = Runner("s1", "desk")
        self.second_plain = Runner("s2", "desk")
        self.more_decode = []
        self.more_runners = []
        self.daemons = []
        self.links = []
        self.settings = None
        self.client = None
        self._number = 0

    @property
    def sent(self):
        """Return the number of requests that were sent."""
        return self._number

    @property
    def daemon(self):
        return self.daemons[0]

    @property
    def runners(self):
        return [
            self.prefill,
            self.plain,
            self.second_plain,
            *self.decode_runners,
            *self.more_runners,
        ]

    @property
    def decode_runners(self):
        return [self.decode, self.second_decode, *self.more_decode]

    def register(self, runner, **changes):
        self.store.put("servers", runner.id, runner.entry(**changes))

    def replace_entry(self, runner, former):
        if former != runner.id:
            self.store.remove("servers", former)
        self.register(runner)

    async def send(self, path, method="GET", body=b"", host=0, **headers):
        self._number += 1
        all_headers = make_headers(f"a{self._number}", 2500) | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = f"http://127.0.0.1:{self.daemons[host].settings.front[1]}{path}"
        async with self.client.request(
            method, url, headers=all_headers, data=body or None
        ) as response:
            return response.status, await response.read(), response.headers

    async def send_stream(self, path, host=0, leave_after=None, **headers):
        """Return the attempt's id, the status, the body and whether it is complete.

        The connection is closed after ``leave_after`` events. Each path has a prompt
        of its own: equal ones that break off pass for crashing ones.
        """
        self._number += 1
        attempt = f"a{self._number}"
        all_headers = make_headers(attempt, 2500)
        part = f"{zlib.crc32(path.encode()):x}:1000"
        all_headers["X-Galenapass-Prompt-Prefix"] = f"{part},bb:200"
        all_headers |= {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        url = f"http://127.0.0.1:{self.daemons[host].settings.front[1]}{path}"
        body = b""
        try:
            async with self.client.post(url, headers=all_headers) as response:
                async for piece in response.content.iter_any():
                    body += piece
                    if leave_after and body.count(b"\n\n") >= leave_after:
                        return attempt, response.status, body, False
        except aiohttp.ClientPayloadError:
            return attempt, response.status, body, False
        return attempt, response.status, body, True

    async def fetch_readiness(self):
        url = f"http://127.0.0.1:{self.settings.ready[1]}/readyz"
        async with self.client.get(url) as response:
            return response.status

    async def wait_for(self, condition, seconds=5.0):
        await wait_for(condition, seconds)


@contextlib.asynccontextmanager
async def run_fleet(
    configuration=CONFIGURATION,
    settle=True,
    cached_prompts=None,
    domains=("zone-a",),
    more_decode=0,
    versions=None,
    more_runners=(),
    linked=False,
    operations=None,
):
    """Yield a fleet with a daemon per domain, which have loaded routes and targets.

    ``versions`` are the software versions of runners by id; their events name it.
    ``more_runners`` are targets besides the usual ones. If ``linked``, the paths of
    each daemon to the targets can be disturbed by the fleet's ``links``. ``operations``
    are the terms of the daemons' duties.
    """
    fleet = PlatformFleet()
    fleet.prefill.cached_prompts = cached_prompts or {}
    fleet.more_decode = [
        Runner(f"d{n}", "lm", stage="decode") for n in range(3, 3 + more_decode)
    ]
    fleet.more_runners = list(more_runners)
    for target in fleet.runners:
        if versions is not None and target.id in versions:
            target.version = versions[target.id]
            target.faults.marks_version = True
    runner = web.AppRunner(
        fleet.store.make_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    port = find_free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    for target in fleet.runners:
        await target.start()
        target.on_restart = functools.partial(fleet.replace_entry, target)
        fleet.register(target)
    if configuration is not None:
        fleet.store.put("config", "main", configuration)
    if linked:
        fleet.links = [TargetLinks() for _ in domains]
        for links in fleet.links:
            await links.start([target.address for target in fleet.runners])
    fleet.daemons = [
        PlatformDaemon(
            make_settings(f"127.0.0.1:{port}", f"front-{n}", domain, operations),
            0,
            fleet.links[n - 1].make_socket if linked else make_target_socket,
        )
        for n, domain in enumerate(domains, start=1)
    ]
    fleet.settings = fleet.daemon.settings
    fleet.client = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    )
    try:
        for daemon in fleet.daemons:
            # As on hosts that have run for longer than the window of the retry budget.
            daemon.retry_accounts.fixed_part_from = timedelta(0)
            daemon.retry_accounts.count_daemons = lambda: len(domains)
            await daemon.start()
        if settle:
            tables = [daemon.fleet for daemon in fleet.daemons]
            await fleet.wait_for(
                lambda: all(table.routes.version and table.targets for table in tables)
            )
        yield fleet
    finally:
        await fleet.client.close()
        await asyncio.gather(*(daemon.stop() for daemon in fleet.daemons))
        for daemon in fleet.daemons:
            await daemon.close()
        for links in fleet.links:
            await links.stop()
        for target in fleet.runners:
            await target.stop()
        await runner.cleanup()


def run(scenario, **options):
    """Run an async test scenario with a fleet of its own."""

    async def main():
        async with run_fleet(**options) as fleet:
            await scenario(fleet)

    asyncio.run(main())
