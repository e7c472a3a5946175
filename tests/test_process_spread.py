"""Prove with processes that an accepted file reaches daemons without the platform."""

import asyncio

from testtools import TestCase

from experiments.fleet import DaemonSpec
from tests.process_fleet import engines, in_fleet, until

DOMAINS = ("east", "north", "south")
CUT = "north"
TARGETS = engines(1)


async def apply_newer(fleet):
    """Apply a file with one change and return its version."""
    text = fleet.format_operators_file(extra="# newer\n")
    return await fleet.apply_file(text)


def is_in_force(fleet, names, version):
    """Return a check that daemons themselves show a version."""

    async def check():
        rows = [await fleet.query_operators_port(name, "/status") for name in names]
        return {row["settings_version"] for row in rows} == {version}

    return check


def is_platform_away(fleet, names):
    """Return a check that daemons themselves say that the platform is away."""

    async def check():
        rows = [await fleet.query_operators_port(name, "/status") for name in names]
        return {row["platform"] for row in rows} == {"away"}

    return check


def is_target_state(fleet, names, state):
    """Return a check that daemons show the only target in a state."""

    async def check():
        answers = [await fleet.query_operators_port(name, "/targets") for name in names]
        return {row["state"] for one in answers for row in one["targets"]} == {state}

    return check


class SpreadTest(TestCase):
    @in_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_file_spreads_while_the_platform_answers_late(self, fleet):
        await fleet.set_faults("platform", delay=1.0)
        version = await apply_newer(fleet)
        await until(is_in_force(fleet, fleet.daemons, version))

    @in_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_domain_without_the_platform_learns_from_its_peers(self, fleet):
        cut = [name for name, spec in fleet.daemons.items() if spec.domain == CUT]
        await fleet.set_faults("platform", cut_domains=[CUT])
        await until(is_platform_away(fleet, cut))
        version = await apply_newer(fleet)
        await until(is_in_force(fleet, cut, version))
        self.assertTrue(await is_platform_away(fleet, cut)())

    @in_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_domain_without_the_platform_hears_that_a_target_leaves(
        self, fleet
    ):
        cut = [name for name, spec in fleet.daemons.items() if spec.domain == CUT]
        await fleet.set_faults("platform", cut_domains=[CUT])
        await until(is_platform_away(fleet, cut))
        for leaving, state in (([], "serving"), (["runner-1"], "leaving")):
            await fleet.publish_hosts(leaving)
            await until(is_target_state(fleet, cut, state))

    @in_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_new_daemon_without_the_platform_learns_from_its_peers(self, fleet):
        version = await apply_newer(fleet)
        await until(is_in_force(fleet, fleet.daemons, version))
        # An answer that never comes costs a starting daemon more than a refusal.
        await fleet.set_faults("platform", delay=600.0)
        fleet.daemons["entry-7"] = DaemonSpec("entry-7", CUT)
        await fleet.start_daemon("entry-7")
        await asyncio.wait_for(fleet.wait_ready(["entry-7"]), 15)
        await until(is_in_force(fleet, ["entry-7"], version))
