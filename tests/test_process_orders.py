"""Test with processes that role changes interrupt no answer and never conflict."""

import asyncio
import signal

from testtools import TestCase

from tests.process_fleet import count_complete, make_engines, with_fleet

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
    """Wait until one daemon holds the lease; return the other one."""
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
    async def declare_decode_role(self, fleet):
        fleet.targets["runner-3"].declared_role = "decode"
        await fleet.apply_file(fleet.format_operators_file())

    async def check_change(self, fleet):
        """Wait for the change; check that it took one order and cut off no answer."""
        while not await is_changed(fleet, "runner-3"):
            complete = await count_complete(fleet, STREAMS, "meanwhile", TOKENS)
            self.assertEqual(STREAMS, complete)
        for name in fleet.targets:
            account = await fleet.read_account(name)
            self.assertEqual([], account["cut_off"])
            self.assertEqual([], account["conflicts"])
        orders = (await fleet.read_account("runner-3"))["orders"]
        accepted = {order["id"] for order in orders if order["outcome"] == ACCEPTED}
        self.assertEqual(1, len(accepted))

    @with_fleet(1, make_engines(3, *PACED))
    async def test_a_change_waits_for_running_answers(self, fleet):
        running = asyncio.create_task(
            count_complete(fleet, STREAMS, "long", 2 * TOKENS)
        )
        await self.declare_decode_role(fleet)
        async with asyncio.timeout(30):
            await self.check_change(fleet)
        self.assertEqual(STREAMS, await running)

    @with_fleet(1, make_engines(3, *PACED))
    async def test_lost_answers_of_the_platform_repeat_no_order(self, fleet):
        await self.declare_decode_role(fleet)
        await fleet.set_faults("platform", lose_answers=4)
        async with asyncio.timeout(30):
            await self.check_change(fleet)

    @with_fleet(2, make_engines(3, *PACED), domains=("north",))
    async def test_a_frozen_daemon_blocks_the_change(self, fleet):
        frozen = await find_follower(fleet)
        fleet.processes[frozen].send(signal.SIGSTOP)
        await self.declare_decode_role(fleet)
        fleet.daemons.pop(frozen)
        # Longer than a lease's term and the quarantine; requests are still served.
        async with asyncio.timeout(20):
            for n in range(8):
                complete = await count_complete(fleet, STREAMS, f"frozen {n}", TOKENS)
                self.assertEqual(STREAMS, complete)
        self.assertEqual([], (await fleet.read_account("runner-3"))["orders"])
        fleet.processes[frozen].send(signal.SIGCONT)
        async with asyncio.timeout(30):
            await self.check_change(fleet)
