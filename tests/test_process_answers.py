"""Prove with processes that each caller gets the whole answer to its own request."""

import asyncio

from testtools import TestCase

from tests.process_fleet import count_whole, engines, in_fleet, until

STREAMS = 24
TOKENS = 60
PACED = ("--token-interval", "0.02", "--restart", "0.5")


class AnswersTest(TestCase):
    @in_fleet(2, engines(3, *PACED))
    async def test_answers_stay_whole_when_an_engine_crashes(self, fleet):
        asked = asyncio.create_task(count_whole(fleet, STREAMS, "crash", TOKENS))

        async def streams_run():
            return len((await fleet.read_account("runner-1"))["runs"]) >= 4

        await until(streams_run)
        await fleet.set_faults("runner-1", crash=True)
        self.assertEqual(STREAMS, await asked)
        account = await fleet.read_account("runner-1")
        self.assertEqual(1, account["crashes"])
        self.assertNotEqual([], account["lost"])

    @in_fleet(3, engines(3, *PACED))
    async def test_answers_stay_whole_when_streams_break_repeat_and_lag(self, fleet):
        await fleet.set_faults("runner-1", drop_stream_after=10)
        await fleet.set_faults("runner-2", duplicate_events=True)
        await fleet.set_faults("runner-3", slow=4.0)
        self.assertEqual(STREAMS, await count_whole(fleet, STREAMS, "break", TOKENS))
        accounts = [await fleet.read_account(name) for name in fleet.targets]
        self.assertTrue(all(account["runs"] for account in accounts))
        started = sum(sum(account["runs"].values()) for account in accounts)
        again = sum(sum(account["replays"].values()) for account in accounts)
        self.assertGreater(started + again, STREAMS)
