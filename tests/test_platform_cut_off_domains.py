"""Test that hosts without the store learn the targets of their domain from others."""

import asyncio

from testtools import TestCase

from galenapass.forwarding import schedulers
from galenapass.platform.assembly import PlatformDaemon
from tests.platform_fleet import run

DOMAINS = ("zone-a", "zone-a", "zone-a")


async def wait_for_hosts(fleet):
    """Wait until each host has listed the others."""
    await fleet.wait_for(
        lambda: all(daemon.daemon_count == len(DOMAINS) for daemon in fleet.daemons), 10
    )


async def lose_store(fleet):
    """Make the store reject all calls, and wait until all hosts know."""
    fleet.store.faults.status = 503
    await fleet.wait_for(
        lambda: all(not d.scheduler_selection.is_fresh for d in fleet.daemons), 10
    )


class TestCutOffDomains(TestCase):
    def test_a_host_that_restarts_without_the_store_serves(self):
        # It scheduled with an empty list, and answered that nothing serves.
        async def scenario(fleet):
            await wait_for_hosts(fleet)
            await lose_store(fleet)
            former = fleet.daemons[0]
            await former.stop()
            await former.close()
            daemon = fleet.daemons[0] = PlatformDaemon(former.settings, 0)
            await daemon.start()
            await fleet.wait_for(
                lambda: daemon.fleet.targets and daemon.fleet.routes.version, 5
            )
            self.assertEqual(
                set(fleet.daemons[1].fleet.targets), set(daemon.fleet.targets)
            )
            for number in range(5):
                status, _, _ = await fleet.send(f"/seats/{number}")
                self.assertEqual(200, status)
                _, status, _, is_whole = await fleet.send_stream(f"/notes/{number}")
                self.assertEqual((200, True), (status, is_whole))
            self.assertEqual(200, await fleet.fetch_readiness())

        run(scenario, domains=DOMAINS)

    def test_a_host_whose_schedulers_are_killed_without_the_store_serves(self):
        # It knew no targets, as it had never scheduled.
        self.patch(schedulers, "MAX_SCHEDULERS", 2)

        async def scenario(fleet):
            await wait_for_hosts(fleet)
            await fleet.wait_for(lambda: len(self.list_clients(fleet)) == 1, 10)
            host = self.list_clients(fleet)[0]
            own = fleet.daemons.index(host)
            host.fleet.targets.clear()
            host.fleet.viewed_at = None
            for number in range(10):
                await fleet.send(f"/seats/{number}", host=own)
                await fleet.send_stream(f"/notes/{number}", host=own)
            self.assertTrue(host.known_targets.list_sightings())
            await lose_store(fleet)
            await fleet.wait_for(lambda: host.known_targets.list_viewed_at, 5)
            for daemon in [d for d in fleet.daemons if d is not host]:
                await daemon.stop()
                await daemon.close()
            served = 0
            for number in range(10):
                status, _, _ = await fleet.send(f"/seats/later-{number}", host=own)
                _, streamed, _, _ = await fleet.send_stream(f"/notes/{number}", own)
                served += [status, streamed].count(200)
                await asyncio.sleep(0.05)
            self.assertGreaterEqual(served, 18)

        run(scenario, domains=DOMAINS)

    def list_clients(self, fleet):
        return [d for d in fleet.daemons if not d.scheduler_selection.is_scheduler]
