"""Check how a next send is awaited while the silent target still works."""

import asyncio
import time
from contextlib import asynccontextmanager
from datetime import timedelta

from result import Err
from testtools import TestCase

from galenapass.forwarding.sending import REFUSAL_TIME, Exchange
from galenapass.verdicts import Reason, Run, Verdict

# Two targets must not work on one request for 0.4 s; the test machine may pause too.
MAX_OVERLAP_SECONDS = 0.4 + 0.3
PAUSE_SECONDS = 0.06
REFUSAL = Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED, "full")
TICK_SECONDS = 0.025


def open_exchange(opened, is_connected=lambda: True):
    """Return an exchange that is open once a future has its result."""

    @asynccontextmanager
    async def run():
        yield await opened

    return Exchange(run(), is_connected)


class TestFindFailure(TestCase):
    def test_two_targets_work_on_one_request_while_the_host_pauses(self):
        # A host whose processor quota is spent stops for a part of each 0.1 s.
        async def main():
            loop = asyncio.get_running_loop()
            began = loop.time()
            for number in range(40):
                loop.call_later(0.03 + 0.08 * number, time.sleep, PAUSE_SECONDS)
            exchange = open_exchange(loop.create_future())
            self.assertIsNone(await exchange.find_failure(REFUSAL_TIME))
            took = loop.time() - began
            await exchange.close()
            self.assertLess(took, MAX_OVERLAP_SECONDS)

        asyncio.run(main())

    def test_a_next_send_without_a_connection_has_failed_and_sends_nothing(self):
        # The way through another host takes longer than a target has to refuse.
        async def main():
            opened = asyncio.get_running_loop().create_future()
            exchange = open_exchange(opened, lambda: False)
            failure = await exchange.find_failure(timedelta(seconds=TICK_SECONDS))
            self.assertIs(Run.NOT_RUN, failure.run)
            await exchange.close()
            self.assertTrue(opened.cancelled())

        asyncio.run(main())

    def test_a_failure_that_comes_as_the_time_ends_is_found(self):
        async def main():
            loop = asyncio.get_running_loop()
            opened = loop.create_future()
            exchange = open_exchange(opened)
            # The result and the end of the time are due in the same pass.
            loop.call_later(TICK_SECONDS / 5, time.sleep, TICK_SECONDS)
            loop.call_later(TICK_SECONDS / 2, opened.set_result, Err(REFUSAL))
            limit = timedelta(seconds=TICK_SECONDS)
            self.assertEqual(REFUSAL, await exchange.find_failure(limit))

        asyncio.run(main())
