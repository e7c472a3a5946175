"""Prove with processes that "not run" is told of nothing that a target ran."""

import asyncio
import signal

from testtools import TestCase

from experiments.fleet import TargetSpec
from tests.process_fleet import ask_chat, engines, in_fleet, until

CALLS = 60
TOKENS = 40
TIGHT = ("--token-interval", "0.05", "--max-running", "2", "--max-waiting", "1")
WITNESSES = ("runs", "prefills", "resumes", "replays", "requests")
NOT_RUN = "not run"


async def read_ran(fleet):
    """Return the names of all requests that any target began to run."""
    accounts = [await fleet.read_account(name) for name in fleet.targets]
    return {
        name
        for account in accounts
        for record in WITNESSES
        for name in account.get(record, ())
    }


class NotRunTest(TestCase):
    def check(self, answers, ran):
        """Return how many were told that they were not run, all of them truly."""
        denied = [
            (answer.headers.get("X-Request-Id"), problem)
            for answer, problem in answers
            if problem and problem["verdict"] == NOT_RUN
        ]
        self.assertEqual([], [(name, p) for name, p in denied if name in ran])
        return len(denied)

    @in_fleet(2, engines(2, *TIGHT, "--restart", "0.5"), patience="4 s")
    async def test_no_engine_ran_what_was_refused_under_faults(self, fleet):
        names = list(fleet.daemons)
        asked = [
            asyncio.create_task(ask_chat(fleet, names[n % 2], f"tight {n}", TOKENS))
            for n in range(CALLS)
        ]

        async def engine_is_full():
            return len((await fleet.read_account("runner-1"))["runs"]) >= 2

        await until(engine_is_full)
        await fleet.set_faults("runner-1", crash=True)
        await fleet.set_faults("runner-2", refuse=True)
        fleet.processes["entry-2"].send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        asked += [
            asyncio.create_task(ask_chat(fleet, "entry-1", f"late {n}", TOKENS))
            for n in range(CALLS)
        ]
        await asyncio.sleep(0.5)
        await fleet.set_faults("runner-2")
        answers = [(a, problem) for a, _, problem in await asyncio.gather(*asked)]
        self.assertGreater(self.check(answers, await read_ran(fleet)), 0)
        whole = sum(problem is None for _, problem in answers)
        self.assertGreater(whole, 0)

    @in_fleet(1, [*engines(1), TargetSpec("desk-1", "north", service="booking")])
    async def test_no_service_ran_what_was_refused(self, fleet):
        await fleet.set_faults("desk-1", refuse=1000)
        paths = "/v1/services/booking/seats", "/v1/chat/completions"
        answers = [await fleet.send("entry-1", path, {}) for path in paths]
        self.assertEqual([400, 400], [answer.status for answer in answers])
        url = f"http://{fleet.daemons['entry-1'].entry}{paths[0]}"
        headers = {"Authorization": "Bearer guide-key"}
        async with fleet.session.get(url, headers=headers) as answer:
            self.assertEqual(NOT_RUN, (await answer.json(content_type=None))["verdict"])
            self.assertNotIn(answer.headers["X-Request-Id"], await read_ran(fleet))
        self.assertGreater((await fleet.read_account("desk-1"))["refused"], 0)
