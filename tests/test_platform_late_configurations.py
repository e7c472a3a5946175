"""Test that each host applies a version of the configuration in time."""

import asyncio

from testtools import TestCase

from experiments.soak.proxies import Disturbance
from tests.platform_links import run_linked

# Shortest time that a deployment allows from the store's acknowledgement.
MAX_APPLY_SECONDS = 2.0
# A scheduler has told its clients of a new version by then, and they read it.
NOTICE_SECONDS = 0.3
# The slowest links of the deployments, and the time after the store was disturbed from
# which a host has to follow it.
SLOW_LINK_BYTES_PER_SECOND = 5e6 / 8
MAX_CONTACT_SECONDS = 3.0
# Takes 0.9 s on such a link if nothing else uses it.
MANY_ROUTES = 3_000


class TestLateVersions(TestCase):
    def test_version_beside_a_read_that_hangs(self):
        async def scenario(fleet):
            fleet.links[2].disturb(Disturbance.SILENCE)
            fleet.put_version()
            await asyncio.sleep(NOTICE_SECONDS)
            # The read on its way stays without an answer, later ones have one.
            fleet.links[2].disturb(Disturbance.NONE)
            await fleet.measure_version(fleet.host, MAX_APPLY_SECONDS)

        run_linked(scenario)

    def test_version_at_a_host_that_the_store_does_not_answer(self):
        async def scenario(fleet):
            fleet.links[2].disturb(Disturbance.SILENCE)
            fleet.put_version()
            await fleet.measure_version(fleet.host, MAX_APPLY_SECONDS)

        run_linked(scenario)

    def test_large_versions_over_slow_links(self):
        async def scenario(fleet):
            for link in fleet.links:
                link.bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
            for _ in range(3):
                fleet.put_version(MANY_ROUTES)
                for daemon in fleet.daemons:
                    await fleet.measure_version(daemon, MAX_APPLY_SECONDS)

        run_linked(scenario)

    def test_large_version_over_a_slow_link_after_a_slow_store(self):
        async def scenario(fleet):
            for link in fleet.links:
                link.bytes_per_second = SLOW_LINK_BYTES_PER_SECOND
            fleet.store.faults.delay_seconds = 0.5
            for _ in range(3):
                fleet.put_version(MANY_ROUTES)
                await asyncio.sleep(MAX_APPLY_SECONDS)
            fleet.store.faults.delay_seconds = 0.0
            for daemon in fleet.daemons:
                await fleet.measure_version(daemon, MAX_CONTACT_SECONDS)

        run_linked(scenario)

    def test_version_at_a_host_whose_schedulers_are_silent(self):
        async def scenario(fleet):
            for daemon in fleet.schedulers:
                daemon.peering.endpoint.close()
            fleet.put_version()
            await fleet.measure_version(fleet.host, MAX_APPLY_SECONDS)

        run_linked(scenario)

    def test_versions_at_a_scheduler_whose_reads_hang(self):
        async def scenario(fleet):
            fleet.links[0].disturb(Disturbance.SILENCE)
            fleet.put_version()
            await fleet.measure_version(fleet.daemons[0], MAX_APPLY_SECONDS)

        run_linked(scenario)
