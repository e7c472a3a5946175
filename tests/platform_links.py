"""Run daemons of several failure domains, each with a link of its own to the store."""

import asyncio
import contextlib
import dataclasses

from aiohttp import web

from experiments.processes import find_free_port
from experiments.soak.proxies import Proxy
from galenapass.platform.assembly import PlatformDaemon
from stand_ins.metadata_store import MetadataStore
from stand_ins.platform_routes import CONFIGURATION, make_route
from tests.platform_fleet import make_settings, wait_for

# With so many hosts in so many domains, two hosts of a domain are its schedulers.
OTHER_DOMAINS = [f"zone-{name}" for name in "bcdefg"]
OTHER_HOSTS_PER_DOMAIN = 2
SCHEDULER_POWER = 2.0


class LinkedFleet:
    """Two schedulers and one other host of a failure domain, and their store.

    ``links`` are their paths to the store. The hosts of the other domains are named in
    the store and do not run.
    """

    def __init__(self):
        self.store = MetadataStore()
        self.daemons = []
        self.links = []
        self.version = CONFIGURATION["version"]

    @property
    def schedulers(self):
        return self.daemons[:2]

    @property
    def host(self):
        """Return the host that does not schedule."""
        return self.daemons[2]

    def put_version(self, more_routes=0):
        """Store the next version of the configuration."""
        self.version += 1
        routes = CONFIGURATION["routes"] + [
            make_route(f"/more{n}/", "idempotent", "desk") for n in range(more_routes)
        ]
        changes = {"version": self.version, "routes": routes}
        self.store.put("config", "main", CONFIGURATION | changes)

    async def measure_version(self, daemon, seconds):
        """Return in how many seconds a daemon has the newest version.

        Raise TimeoutError after ``seconds``.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await wait_for(lambda: daemon.fleet.routes.version == self.version, seconds)
        return loop.time() - began

    def add_host(self, settings):
        ip, port = settings.peers
        entry = {
            "domain": settings.domain,
            "peers": f"{ip}:{port}",
            "power": settings.power,
            "joining": False,
        }
        self.store.put("hosts", settings.host, entry)


@contextlib.asynccontextmanager
async def run_linked_fleet():
    """Yield a fleet whose hosts have settled into their roles."""
    fleet = LinkedFleet()
    runner = web.AppRunner(
        fleet.store.make_app(), access_log=None, shutdown_timeout=0.1
    )
    await runner.setup()
    port = find_free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    fleet.store.put("config", "main", CONFIGURATION)
    for domain in OTHER_DOMAINS:
        for n in range(OTHER_HOSTS_PER_DOMAIN):
            fleet.add_host(make_settings("", f"{domain}-{n}", domain))
    for name, power in (
        ("front-1", SCHEDULER_POWER),
        ("front-2", SCHEDULER_POWER),
        ("front-3", 1.0),
    ):
        link = Proxy(f"127.0.0.1:{port}")
        await link.start()
        settings = dataclasses.replace(make_settings(link.address, name), power=power)
        fleet.add_host(settings)
        fleet.links.append(link)
        fleet.daemons.append(PlatformDaemon(settings, 0))
    try:
        for daemon in fleet.daemons:
            await daemon.start()
        await wait_for(lambda: all(d.fleet.routes.version for d in fleet.daemons), 10)
        selection = fleet.host.scheduler_selection
        await wait_for(lambda: selection.has_scheduler and not selection.is_scheduler)
        yield fleet
    finally:
        await asyncio.gather(*(daemon.stop() for daemon in fleet.daemons))
        for daemon in fleet.daemons:
            await daemon.close()
        for link in fleet.links:
            await link.stop()
        await runner.cleanup()


def run_linked(scenario):
    """Run an async test scenario with a fleet of its own."""

    async def main():
        async with run_linked_fleet() as fleet:
            await scenario(fleet)

    asyncio.run(main())
