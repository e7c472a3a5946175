"""Test with processes that a non-repeatable call runs at most once."""

import asyncio
import signal
import time

from testtools import TestCase

from experiments.fleet import TargetSpec
from tests.process_fleet import wait_until, with_fleet

PATH = "/v1/services/booking/holds"
SEAT = {"seat": 12}
CONCURRENT_CALLS = 9
FAST_ANSWER_SECONDS = 3.0
DESKS = [TargetSpec(f"desk-{n}", "north", service="booking") for n in (1, 2)]
DAEMONS = ("entry-1", "entry-2", "entry-3")


async def send_hold(fleet, name, key, body=SEAT):
    return await fleet.send(name, PATH, body, Idempotency_Key=key)


async def count_runs(fleet):
    accounts = [await fleet.read_account(spec.name) for spec in DESKS]
    return sum(sum(account["runs"].values()) for account in accounts)


class AtMostOnceTest(TestCase):
    async def wait_for_run(self, fleet, count=1):
        async def has_run():
            return await count_runs(fleet) >= count

        await wait_until(has_run)

    @with_fleet(3, DESKS)
    async def test_concurrent_calls_with_one_key_through_many_daemons_run_once(
        self, fleet
    ):
        for desk in DESKS:
            await fleet.set_faults(desk.name, delay=0.3)
        sent = [
            send_hold(fleet, DAEMONS[n % 3], "hold-1") for n in range(CONCURRENT_CALLS)
        ]
        answers = await asyncio.gather(*sent)
        self.assertEqual(1, await count_runs(fleet))
        # Some calls wait and some get a conflict; all others get the same answer.
        self.assertEqual(1, len({a.body for a in answers if a.status == 200}))
        self.assertLessEqual({a.status for a in answers}, {200, 409})
        for name in DAEMONS:
            later = await send_hold(fleet, name, "hold-1")
            self.assertEqual(200, later.status)
            self.assertIn(later.body, {a.body for a in answers})
        other = await send_hold(fleet, "entry-2", "hold-1", {"seat": 13})
        self.assertEqual(422, other.status)
        self.assertEqual(1, await count_runs(fleet))

    @with_fleet(3, DESKS)
    async def test_a_call_whose_daemon_is_killed_is_not_run_again(self, fleet):
        for desk in DESKS:
            await fleet.set_faults(desk.name, delay=1.0)
        sent = asyncio.create_task(send_hold(fleet, "entry-1", "hold-2"))
        await self.wait_for_run(fleet)
        fleet.processes["entry-1"].send(signal.SIGKILL)
        await asyncio.gather(sent, return_exceptions=True)
        for name in ("entry-2", "entry-3", "entry-2"):
            answer = await send_hold(fleet, name, "hold-2")
            self.assertNotEqual(200, answer.status)
            self.assertIn(b'"verdict":"may have run"', answer.body)
        self.assertEqual(1, await count_runs(fleet))

    @with_fleet(1, DESKS)
    async def test_a_call_without_the_platform_is_refused_at_once(self, fleet):
        await fleet.set_faults("platform", outage=True)
        started = time.monotonic()
        answer = await send_hold(fleet, "entry-1", "hold-3")
        self.assertLess(time.monotonic() - started, FAST_ANSWER_SECONDS)
        self.assertEqual(503, answer.status)
        self.assertIn(b'"verdict":"not run"', answer.body)
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(0, await count_runs(fleet))
        await fleet.set_faults("platform")

        async def is_accepted():
            return (await send_hold(fleet, "entry-1", "hold-3")).status == 200

        await wait_until(is_accepted)
        self.assertEqual(1, await count_runs(fleet))

    @with_fleet(2, DESKS)
    async def test_a_call_whose_answer_was_lost_is_not_run_again(self, fleet):
        for desk in DESKS:
            await fleet.set_faults(desk.name, lose_answers=1)
        first = await send_hold(fleet, "entry-1", "hold-4")
        self.assertIn(b'"verdict":"may have run"', first.body)
        for name in ("entry-2", "entry-1"):
            again = await send_hold(fleet, name, "hold-4")
            self.assertIn(b'"verdict":"may have run"', again.body)
        self.assertEqual(1, await count_runs(fleet))

    @with_fleet(2, DESKS)
    async def test_lost_answers_of_the_platform_leave_one_run(self, fleet):
        await fleet.set_faults("platform", lose_answers=2)
        await send_hold(fleet, "entry-1", "hold-5")
        for name in ("entry-2", "entry-1"):
            await send_hold(fleet, name, "hold-5")
        self.assertLessEqual(await count_runs(fleet), 1)
        await self.check_served(fleet, "hold-6")

    async def check_served(self, fleet, key):
        before = await count_runs(fleet)

        async def is_accepted():
            return (await send_hold(fleet, "entry-2", key)).status == 200

        await wait_until(is_accepted)
        self.assertEqual(before + 1, await count_runs(fleet))
