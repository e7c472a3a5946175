"""Prove with processes that a target that leaves gets no new work after 3 s."""

import asyncio
import signal
import time

from testtools import TestCase

from tests.process_fleet import ask_chat, count_whole, engines, in_fleet, until

BOUND_SECONDS = 3.0
PAUSE_SECONDS = 0.02
READ_SECONDS = 0.6
TOKENS = 2
# Enough work at once that no target is left out for being a little slower.
MANY = 60
LONG_TOKENS = 20


async def count_runs(fleet, name):
    account = await fleet.read_account(name)
    return sum(account["runs"].values()) + sum(account["prefills"].values())


async def ask_for(fleet, seconds, subject):
    """Ask one after the other for a while."""
    ends = time.monotonic() + seconds
    while (left := ends - time.monotonic()) > 0:
        await ask_chat(fleet, "entry-1", f"{subject} {left}", TOKENS)
        await asyncio.sleep(PAUSE_SECONDS)


class LeavingTest(TestCase):
    async def check_rests(self, fleet, name):
        """Check that a target gets nothing new from the bound on; the rest serves."""

        async def is_known():
            state = await fleet.query_operators_port("entry-1", "/targets")
            rows = {row["id"]: row["state"] for row in state["targets"]}
            return rows[name] == "leaving"

        # A daemon that is at rest may leave a target out for other reasons.
        await until(is_known, BOUND_SECONDS)
        await ask_for(fleet, BOUND_SECONDS, "before the bound")
        before = await count_runs(fleet, name)
        whole = await count_whole(fleet, MANY, "after", LONG_TOKENS)
        self.assertEqual(MANY, whole)
        self.assertEqual(before, await count_runs(fleet, name))

    async def check_returns(self, fleet, name):
        before = await count_runs(fleet, name)

        async def gets_work():
            await count_whole(fleet, MANY, f"back {time.monotonic()}", LONG_TOKENS)
            return await count_runs(fleet, name) > before

        await until(gets_work)

    @in_fleet(1, engines(3))
    async def test_its_own_word_counts_while_the_list_says_live(self, fleet):
        self.assertEqual(12, await count_whole(fleet, 12, "start", TOKENS))
        await fleet.set_faults("runner-1", leaving=True)
        await self.check_rests(fleet, "runner-1")
        await fleet.set_faults("runner-1")
        await self.check_returns(fleet, "runner-1")

    @in_fleet(1, engines(3))
    async def test_its_own_word_counts_without_the_platform(self, fleet):
        await fleet.set_faults("platform", cut_domains=["north"])
        # A frozen target must not hold the others' readings back.
        fleet.processes["runner-3"].send(signal.SIGSTOP)
        await asyncio.sleep(READ_SECONDS)
        await fleet.set_faults("runner-1", leaving=True)
        await asyncio.sleep(BOUND_SECONDS)
        fleet.processes["runner-3"].send(signal.SIGCONT)
        before = await count_runs(fleet, "runner-1")
        whole = await count_whole(fleet, MANY, "cut off", LONG_TOKENS)
        self.assertEqual(MANY, whole)
        self.assertEqual(before, await count_runs(fleet, "runner-1"))

    @in_fleet(1, engines(3))
    async def test_the_list_counts_while_its_own_word_is_ready(self, fleet):
        await fleet.publish_hosts(leaving=["runner-2"])
        await self.check_rests(fleet, "runner-2")
        await fleet.publish_hosts()
        await self.check_returns(fleet, "runner-2")
