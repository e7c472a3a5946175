"""Prove with processes that planned changes cut no answer off and never conflict."""

import asyncio
import signal

from testtools import TestCase

from tests.process_fleet import count_whole, engines, in_fleet

STREAMS = 12
TOKENS = 40
PACED = ("--token-interval", "0.02", "--change-seconds", "0.5")
ACCEPTED = "accepted"


async def is_changed(fleet, name):
    url = f"http://{fleet.processes[name].address}/state"
    async with fleet.session.get(url) as answer:
        state = await answer.json()
    return state["role"] == "decode" and state["phase"] == "serving"


async def find_follower(fleet):
    """Return a daemon that does not hold the lease, once another holds it."""
    url = f"http://{fleet.platform}/objects/leases/north"
    async with asyncio.timeout(10):
        while True:
            async with fleet.session.get(url) as answer:
                text = await answer.text() if answer.status == 200 else ""
            followers = [name for name in fleet.daemons if name not in text]
            if len(followers) == 1:
                return followers[0]
            await asyncio.sleep(0.1)


class OrdersTest(TestCase):
    async def order_change(self, fleet):
        fleet.targets["runner-3"].declared_role = "decode"
        await fleet.apply_file(fleet.format_operators_file())

    async def check_change(self, fleet):
        """Wait for the change; check that it was one and that it hurt nobody."""
        while not await is_changed(fleet, "runner-3"):
            whole = await count_whole(fleet, STREAMS, "meanwhile", TOKENS)
            self.assertEqual(STREAMS, whole)
        for name in fleet.targets:
            account = await fleet.read_account(name)
            self.assertEqual([], account["cut_off"])
            self.assertEqual([], account["conflicts"])
        orders = (await fleet.read_account("runner-3"))["orders"]
        taken = {one["id"] for one in orders if one["outcome"] == ACCEPTED}
        self.assertEqual(1, len(taken))

    @in_fleet(1, engines(3, *PACED))
    async def test_a_change_waits_for_running_answers(self, fleet):
        running = asyncio.create_task(count_whole(fleet, STREAMS, "long", 2 * TOKENS))
        await self.order_change(fleet)
        async with asyncio.timeout(30):
            await self.check_change(fleet)
        self.assertEqual(STREAMS, await running)

    @in_fleet(1, engines(3, *PACED))
    async def test_lost_answers_of_the_platform_repeat_no_order(self, fleet):
        await self.order_change(fleet)
        await fleet.set_faults("platform", lose_answers=4)
        async with asyncio.timeout(30):
            await self.check_change(fleet)

    @in_fleet(2, engines(3, *PACED), domains=("north",))
    async def test_a_daemon_that_has_not_heard_of_it_blocks_the_change(self, fleet):
        frozen = await find_follower(fleet)
        fleet.processes[frozen].send(signal.SIGSTOP)
        await self.order_change(fleet)
        fleet.daemons.pop(frozen)
        # Longer than a lease's term and the quarantine; the serving goes on.
        async with asyncio.timeout(20):
            for n in range(8):
                whole = await count_whole(fleet, STREAMS, f"frozen {n}", TOKENS)
                self.assertEqual(STREAMS, whole)
        self.assertEqual([], (await fleet.read_account("runner-3"))["orders"])
        fleet.processes[frozen].send(signal.SIGCONT)
        async with asyncio.timeout(30):
            await self.check_change(fleet)
