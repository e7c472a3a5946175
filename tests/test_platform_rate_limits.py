"""Test that several daemons together keep the rate limits that targets name."""

import asyncio
from bisect import bisect_left

from testtools import TestCase

from tests.platform_fleet import run

HOSTS = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
LIMIT = 2.5
# A target that names a limit may get, in any window, one and a half times what the
# limit allows and some requests.
WINDOW_SECONDS = 4.0
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5
# Time for every host to learn of a limit.
LEARN_SECONDS = 1.0
CLIENTS_PER_HOST = 2


def count_most(times, window):
    """Return the largest number of times within any window."""
    return max(
        (bisect_left(times, at + window) - n for n, at in enumerate(times)), default=0
    )


def count_allowed(limit, window=WINDOW_SECONDS):
    return EXCESS_FACTOR * limit * window + EXCESS_REQUESTS


async def send_all_along(fleet, seconds, path="/notes/1", method="POST"):
    """Send requests through every host for some seconds; return the statuses."""
    end = asyncio.get_running_loop().time() + seconds
    statuses = []

    async def send(host):
        while asyncio.get_running_loop().time() < end:
            status, _, _ = await fleet.send(path, method, host=host)
            statuses.append(status)
            await asyncio.sleep(0.05)

    hosts = range(len(fleet.daemons))
    await asyncio.gather(*(send(n) for n in hosts for _ in range(CLIENTS_PER_HOST)))
    return statuses


class TestRateLimits(TestCase):
    def check_limit(self, limited, path, method):
        """Check what a target gets once every host had time to learn of its limit."""

        async def scenario(fleet):
            await self.settle(fleet)
            runner = getattr(fleet, limited)
            runner.faults.rate_limit = LIMIT
            await send_all_along(fleet, LEARN_SECONDS, path, method)
            runner.received_at.clear()
            seconds = WINDOW_SECONDS + 1.0
            statuses = await send_all_along(fleet, seconds, path, method)
            most = count_most(runner.received_at, WINDOW_SECONDS)
            self.assertLessEqual(most, count_allowed(LIMIT))
            self.assertGreater(len(statuses), 100)
            return runner.received_at, statuses

        run(scenario, domains=HOSTS)

    async def settle(self, fleet):
        """Wait until the hosts know of each other."""
        await fleet.wait_for(
            lambda: all(daemon.daemon_count == len(HOSTS) for daemon in fleet.daemons),
            seconds=15.0,
        )

    def test_limit_khomsabai_post_an_engine_gets_no_more_than_its_limit(self):
        # An engine that named 2.6 a second got 47 requests in 4 s from six hosts.
        self.check_limit("decode", "/notes/1", "POST")

    def test_prefills_are_held_to_the_limit(self):
        self.check_limit("prefill", "/notes/1", "POST")

    def test_calls_are_held_to_the_limit(self):
        self.check_limit("plain", "/seats/1", "GET")
