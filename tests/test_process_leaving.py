"""Test with processes that a leaving target gets no new work after 3 s."""

import asyncio
import signal
import time

from testtools import TestCase

from tests.process_fleet import (
    count_complete,
    make_engines,
    request_chat,
    wait_until,
    with_fleet,
)

LEAVING_BOUND_SECONDS = 3.0
PAUSE_SECONDS = 0.02
STATE_READ_SECONDS = 0.6
TOKENS = 2
# Enough concurrent work that even a slightly slower target gets some.
CONCURRENT_COUNT = 60
CONCURRENT_TOKENS = 20


async def count_runs(fleet, name):
    account = await fleet.read_account(name)
    return sum(account["runs"].values()) + sum(account["prefills"].values())


async def send_requests_for(fleet, seconds, subject):
    """Send requests one after another for a number of seconds."""
    deadline = time.monotonic() + seconds
    while (left := deadline - time.monotonic()) > 0:
        await request_chat(fleet, "entry-1", f"{subject} {left}", TOKENS)
        await asyncio.sleep(PAUSE_SECONDS)


class LeavingTest(TestCase):
    async def check_no_new_work(self, fleet, name):
        """Check that a target gets no new work after the bound and the others serve."""

        async def is_reported_leaving():
            state = await fleet.query_operators_port("entry-1", "/targets")
            rows = {row["id"]: row["state"] for row in state["targets"]}
            return rows[name] == "leaving"

        # An idle daemon may skip a target for other reasons, so check the state first.
        await wait_until(is_reported_leaving, LEAVING_BOUND_SECONDS)
        await send_requests_for(fleet, LEAVING_BOUND_SECONDS, "before the bound")
        before = await count_runs(fleet, name)
        complete = await count_complete(
            fleet, CONCURRENT_COUNT, "after", CONCURRENT_TOKENS
        )
        self.assertEqual(CONCURRENT_COUNT, complete)
        self.assertEqual(before, await count_runs(fleet, name))

    async def check_gets_work_again(self, fleet, name):
        before = await count_runs(fleet, name)

        async def gets_work():
            await count_complete(
                fleet, CONCURRENT_COUNT, f"back {time.monotonic()}", CONCURRENT_TOKENS
            )
            return await count_runs(fleet, name) > before

        await wait_until(gets_work)

    @with_fleet(1, make_engines(3))
    async def test_a_target_that_reports_leaving_gets_no_work_while_listed_as_live(
        self, fleet
    ):
        self.assertEqual(12, await count_complete(fleet, 12, "start", TOKENS))
        await fleet.set_faults("runner-1", leaving=True)
        await self.check_no_new_work(fleet, "runner-1")
        await fleet.set_faults("runner-1")
        await self.check_gets_work_again(fleet, "runner-1")

    @with_fleet(1, make_engines(3))
    async def test_a_target_that_reports_leaving_gets_no_work_without_the_platform(
        self, fleet
    ):
        await fleet.set_faults("platform", cut_domains=["north"])
        # A frozen target must not delay the reading of the other targets' states.
        fleet.processes["runner-3"].send(signal.SIGSTOP)
        await asyncio.sleep(STATE_READ_SECONDS)
        await fleet.set_faults("runner-1", leaving=True)
        await asyncio.sleep(LEAVING_BOUND_SECONDS)
        fleet.processes["runner-3"].send(signal.SIGCONT)
        before = await count_runs(fleet, "runner-1")
        complete = await count_complete(
            fleet, CONCURRENT_COUNT, "cut off", CONCURRENT_TOKENS
        )
        self.assertEqual(CONCURRENT_COUNT, complete)
        self.assertEqual(before, await count_runs(fleet, "runner-1"))

    @with_fleet(1, make_engines(3))
    async def test_a_target_listed_as_leaving_gets_no_work_while_it_reports_ready(
        self, fleet
    ):
        await fleet.publish_hosts(leaving=["runner-2"])
        await self.check_no_new_work(fleet, "runner-2")
        await fleet.publish_hosts()
        await self.check_gets_work_again(fleet, "runner-2")
