"""Test the retries of a fleet whose hosts fail against its retry budget.

The targets are the judges: they count what arrives beyond the first arrival of each
request.
"""

import asyncio
import signal
import tempfile
import time
from datetime import timedelta
from pathlib import Path
from random import Random

import aiohttp
from testtools import TestCase

from experiments.soak.arrivals import find_excess_retries, list_retries
from experiments.soak.environment import Environment
from experiments.soak.runs import wait_ready
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from stand_ins.platform_routes import CONFIGURATION, make_headers
from stand_ins.runner import ATTEMPT

DAEMONS = 3
CLIENTS = 6
DEADLINE_MS = 2000
PLAY_SECONDS = 12.0
KILL_SECONDS = (2.0, 4.0, 6.0, 8.0)
PAUSE_SECONDS = (0.03, 0.15)
SEED = 43
TERMS = RetryBudgetTerms(0.2, 45.0, timedelta(seconds=10))


class Play:
    """Clients that send new requests without a pause while targets refuse half."""

    def __init__(self, environment):
        self.environment = environment
        self.requests = []

    async def run(self, actions):
        """Apply actions at their times, in seconds, while the clients send."""
        for runner in self.environment.runners.values():
            runner.faults.shed = runner.service == "lm"
            runner.faults.shed_share = 0.5
        self.over_at = time.monotonic() + PLAY_SECONDS
        started = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in range(CLIENTS):
                tasks.create_task(self._send_requests(number))
            for at, action in actions:
                tasks.create_task(_apply_at(started + at, action))

    async def kill(self):
        """Kill all daemons at once and start them again."""
        daemons = self.environment.daemons
        for daemon in daemons.values():
            daemon.send(signal.SIGKILL)
        for daemon in daemons.values():
            await daemon.process.wait()
        await asyncio.gather(*(self.environment.start_daemon(n) for n in daemons))

    async def _send_requests(self, number):
        random = Random(f"{SEED}-{number}")
        addresses = [daemon.address for daemon in self.environment.daemons.values()]
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            count = 0
            while time.monotonic() < self.over_at:
                count += 1
                await self._send(session, random.choice(addresses), f"{number}-{count}")
                await asyncio.sleep(random.uniform(*PAUSE_SECONDS))

    async def _send(self, session, address, name):
        self.requests.append(time.monotonic())
        headers = make_headers(name, DEADLINE_MS)
        headers["X-Galenapass-Prompt-Prefix"] = "aa:1000,bb:200"
        url = f"http://{address}/notes/{name}"
        try:
            async with session.post(url, headers=headers) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            # The daemon was killed.
            return


async def _apply_at(at, action):
    await asyncio.sleep(max(at - time.monotonic(), 0))
    await action()


class TestRetryBudgets(TestCase):
    def play(self, plan):
        async def main(folder):
            environment = Environment(folder, DAEMONS, configuration=CONFIGURATION)
            for daemon in environment.daemons.values():
                daemon.retry_slack = int(TERMS.fixed)
            try:
                await environment.start()
                self.assertEqual([], await wait_ready(environment))
                play = Play(environment)
                await play.run(plan(play))
                arrivals = environment.list_arrivals()
            finally:
                await environment.stop()
            return play, arrivals

        with tempfile.TemporaryDirectory() as folder:
            play, arrivals = asyncio.run(main(Path(folder)))
        self.assertNotIn("", {one.attempt for one in arrivals["lm"]}, ATTEMPT)
        self.assertNotEqual([], list_retries(arrivals["lm"]))
        self.assertEqual(
            [], find_excess_retries(arrivals, {"lm": play.requests}, TERMS)
        )

    def test_budget_is_exceeded_when_all_hosts_are_killed_again_and_again(self):
        self.play(lambda play: [(at, play.kill) for at in KILL_SECONDS])
