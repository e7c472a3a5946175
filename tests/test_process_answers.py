"""Test with processes that each caller gets the complete answer to its request."""

import asyncio

from testtools import TestCase

from tests.process_fleet import count_complete, make_engines, wait_until, with_fleet

STREAMS = 24
TOKENS = 60
PACED = ("--token-interval", "0.02", "--restart", "0.5")


class AnswersTest(TestCase):
    @with_fleet(2, make_engines(3, *PACED))
    async def test_answers_stay_complete_when_an_engine_crashes(self, fleet):
        requests = asyncio.create_task(count_complete(fleet, STREAMS, "crash", TOKENS))

        async def are_streams_running():
            return len((await fleet.read_account("runner-1"))["runs"]) >= 4

        await wait_until(are_streams_running)
        await fleet.set_faults("runner-1", crash=True)
        self.assertEqual(STREAMS, await requests)
        account = await fleet.read_account("runner-1")
        self.assertEqual(1, account["crashes"])
        self.assertNotEqual([], account["lost"])

    @with_fleet(3, make_engines(3, *PACED))
    async def test_answers_stay_complete_when_streams_break_repeat_and_lag(self, fleet):
        await fleet.set_faults("runner-1", drop_stream_after=10)
        await fleet.set_faults("runner-2", duplicate_events=True)
        await fleet.set_faults("runner-3", slow=4.0)
        self.assertEqual(STREAMS, await count_complete(fleet, STREAMS, "break", TOKENS))
        accounts = [await fleet.read_account(name) for name in fleet.targets]
        self.assertTrue(all(account["runs"] for account in accounts))
        started = sum(sum(account["runs"].values()) for account in accounts)
        replayed = sum(sum(account["replays"].values()) for account in accounts)
        self.assertGreater(started + replayed, STREAMS)
