"""Test with processes that an applied file reaches daemons without the platform."""

import asyncio

from testtools import TestCase

from experiments.fleet import DaemonSpec
from tests.process_fleet import make_engines, wait_until, with_fleet

DOMAINS = ("east", "north", "south")
CUT_DOMAIN = "north"
TARGETS = make_engines(1)


async def apply_changed_file(fleet):
    """Apply a file with one change and return its version."""
    text = fleet.format_operators_file(extra="# newer\n")
    return await fleet.apply_file(text)


def is_in_force(fleet, names, version):
    """Return a check that all daemons report a settings version."""

    async def check():
        rows = [await fleet.query_operators_port(name, "/status") for name in names]
        return {row["settings_version"] for row in rows} == {version}

    return check


def is_platform_away(fleet, names):
    """Return a check that all daemons report the platform as away."""

    async def check():
        rows = [await fleet.query_operators_port(name, "/status") for name in names]
        return {row["platform"] for row in rows} == {"away"}

    return check


def is_target_state(fleet, names, state):
    """Return a check that all daemons report the only target in a state."""

    async def check():
        answers = [await fleet.query_operators_port(name, "/targets") for name in names]
        return {row["state"] for answer in answers for row in answer["targets"]} == {
            state
        }

    return check


class SpreadTest(TestCase):
    @with_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_file_spreads_while_the_platform_answers_late(self, fleet):
        await fleet.set_faults("platform", delay=1.0)
        version = await apply_changed_file(fleet)
        await wait_until(is_in_force(fleet, fleet.daemons, version))

    @with_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_domain_without_the_platform_gets_the_file_from_its_peers(
        self, fleet
    ):
        cut_daemons = [
            name for name, spec in fleet.daemons.items() if spec.domain == CUT_DOMAIN
        ]
        await fleet.set_faults("platform", cut_domains=[CUT_DOMAIN])
        await wait_until(is_platform_away(fleet, cut_daemons))
        version = await apply_changed_file(fleet)
        await wait_until(is_in_force(fleet, cut_daemons, version))
        self.assertTrue(await is_platform_away(fleet, cut_daemons)())

    @with_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_domain_without_the_platform_learns_that_a_target_leaves(
        self, fleet
    ):
        cut_daemons = [
            name for name, spec in fleet.daemons.items() if spec.domain == CUT_DOMAIN
        ]
        await fleet.set_faults("platform", cut_domains=[CUT_DOMAIN])
        await wait_until(is_platform_away(fleet, cut_daemons))
        for leaving, state in (([], "serving"), (["runner-1"], "leaving")):
            await fleet.publish_hosts(leaving)
            await wait_until(is_target_state(fleet, cut_daemons, state))

    @with_fleet(6, TARGETS, domains=DOMAINS)
    async def test_a_new_daemon_without_the_platform_gets_the_file_from_peers(
        self, fleet
    ):
        version = await apply_changed_file(fleet)
        await wait_until(is_in_force(fleet, fleet.daemons, version))
        # A missing answer delays the start of a daemon more than a refusal does.
        await fleet.set_faults("platform", delay=600.0)
        fleet.daemons["entry-7"] = DaemonSpec("entry-7", CUT_DOMAIN)
        await fleet.start_daemon("entry-7")
        await asyncio.wait_for(fleet.wait_ready(["entry-7"]), 15)
        await wait_until(is_in_force(fleet, ["entry-7"], version))
