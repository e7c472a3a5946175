"""Test with processes that a declared role is ordered once and interrupts nothing."""

import asyncio
import signal

import aiohttp
import orjson
from testtools import TestCase

from tests.process_fleet import count_complete, make_engines, wait_until, with_fleet

TOKENS = 30
ROLE_CHANGE_TIMEOUT_SECONDS = 40.0


async def declare(fleet, name, role):
    fleet.targets[name].declared_role = role
    await fleet.apply_file(fleet.format_operators_file())


async def read_roles(fleet):
    """Return the role of each target, as a table for each daemon."""
    tables = [await fleet.query_operators_port(d, "/targets") for d in fleet.daemons]
    return [{row["id"]: row["role"] for row in table["targets"]} for table in tables]


async def wait_role(fleet, name, role):
    async def is_shown():
        return all(roles[name] == role for roles in await read_roles(fleet))

    await wait_until(is_shown, ROLE_CHANGE_TIMEOUT_SECONDS)


class RoleChangeTest(TestCase):
    async def check_account(self, fleet, name):
        account = await fleet.read_account(name)
        self.assertEqual([], account["conflicts"])
        self.assertEqual([], account["cut_off"] + account["cut_off_prefills"])
        return account["orders"]

    @with_fleet(2, make_engines(3, "--change-seconds", "0.5"), domains=("north",))
    async def test_a_declared_role_takes_effect_under_load(self, fleet):
        async def work():
            return [
                await count_complete(fleet, 6, f"round {n}", TOKENS) for n in range(8)
            ]

        working = asyncio.create_task(work())
        await declare(fleet, "runner-1", "prefill")
        await wait_role(fleet, "runner-1", "prefill")
        self.assertEqual([6] * 8, await working)
        orders = await self.check_account(fleet, "runner-1")
        self.assertEqual(["accepted"], [order["outcome"] for order in orders])

    @with_fleet(2, make_engines(3, "--change-seconds", "0.5"), domains=("north",))
    async def test_a_crash_during_a_change_repeats_the_same_order(self, fleet):
        await fleet.set_faults("runner-1", crash_in_change=True)
        await declare(fleet, "runner-1", "prefill")

        async def has_restarted():
            try:
                return (await fleet.read_account("runner-1"))["crashes"] > 0
            except aiohttp.ClientError:
                return False

        await wait_until(has_restarted, ROLE_CHANGE_TIMEOUT_SECONDS)
        await fleet.set_faults("runner-1")
        await wait_role(fleet, "runner-1", "prefill")
        orders = await self.check_account(fleet, "runner-1")
        self.assertEqual(1, len({order["id"] for order in orders}))
        fences = [order["fence"] for order in orders]
        self.assertEqual(sorted(set(fences)), fences)

    @with_fleet(3, make_engines(2, "--change-seconds", "2"), domains=("north",))
    async def test_a_successor_completes_the_change_of_a_killed_planner(self, fleet):
        await declare(fleet, "runner-1", "prefill")

        async def is_ordered():
            return bool((await fleet.read_account("runner-1"))["orders"])

        await wait_until(is_ordered, ROLE_CHANGE_TIMEOUT_SECONDS)
        holder = await self.read_holder(fleet)
        fleet.processes[holder].send(signal.SIGKILL)
        del fleet.daemons[holder]
        await fleet.publish_hosts()
        await wait_role(fleet, "runner-1", "prefill")
        orders = await self.check_account(fleet, "runner-1")
        self.assertEqual(1, len({order["id"] for order in orders}))
        self.assertNotEqual(holder, await self.read_holder(fleet))

    async def read_holder(self, fleet):
        url = f"http://{fleet.platform}/objects/leases/north"
        async with fleet.session.get(url) as answer:
            return orjson.loads(await answer.read())["holder"]
