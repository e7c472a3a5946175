"""Test with processes that "not run" is never reported for a request that ran."""

import asyncio
import signal

from testtools import TestCase

from experiments.fleet import TargetSpec
from tests.process_fleet import make_engines, request_chat, wait_until, with_fleet

CALLS = 60
TOKENS = 40
LOW_CAPACITY = ("--token-interval", "0.05", "--max-running", "2", "--max-waiting", "1")
RUN_RECORDS = ("runs", "prefills", "resumes", "replays", "requests")
NOT_RUN = "not run"


async def read_run_requests(fleet):
    """Return the names of all requests that any target began to run."""
    accounts = [await fleet.read_account(name) for name in fleet.targets]
    return {
        name
        for account in accounts
        for record in RUN_RECORDS
        for name in account.get(record, ())
    }


class NotRunTest(TestCase):
    def check_not_run(self, answers, run_requests):
        """Check that no request reported as "not run" ran; return their number."""
        not_run = [
            (answer.headers.get("X-Request-Id"), problem)
            for answer, problem in answers
            if problem and problem["verdict"] == NOT_RUN
        ]
        self.assertEqual([], [(name, p) for name, p in not_run if name in run_requests])
        return len(not_run)

    @with_fleet(2, make_engines(2, *LOW_CAPACITY, "--restart", "0.5"), patience="4 s")
    async def test_no_engine_ran_what_was_refused_under_faults(self, fleet):
        names = list(fleet.daemons)
        requests = [
            asyncio.create_task(request_chat(fleet, names[n % 2], f"tight {n}", TOKENS))
            for n in range(CALLS)
        ]

        async def is_engine_full():
            return len((await fleet.read_account("runner-1"))["runs"]) >= 2

        await wait_until(is_engine_full)
        await fleet.set_faults("runner-1", crash=True)
        await fleet.set_faults("runner-2", refuse=True)
        fleet.processes["entry-2"].send(signal.SIGTERM)
        await asyncio.sleep(0.3)
        requests += [
            asyncio.create_task(request_chat(fleet, "entry-1", f"late {n}", TOKENS))
            for n in range(CALLS)
        ]
        await asyncio.sleep(0.5)
        await fleet.set_faults("runner-2")
        answers = [(a, problem) for a, _, problem in await asyncio.gather(*requests)]
        self.assertGreater(
            self.check_not_run(answers, await read_run_requests(fleet)), 0
        )
        complete = sum(problem is None for _, problem in answers)
        self.assertGreater(complete, 0)

    @with_fleet(1, [*make_engines(1), TargetSpec("desk-1", "north", service="booking")])
    async def test_no_service_ran_what_was_refused(self, fleet):
        await fleet.set_faults("desk-1", refuse=1000)
        paths = "/v1/services/booking/seats", "/v1/chat/completions"
        answers = [await fleet.send("entry-1", path, {}) for path in paths]
        self.assertEqual([400, 400], [answer.status for answer in answers])
        url = f"http://{fleet.daemons['entry-1'].entry}{paths[0]}"
        headers = {"Authorization": "Bearer guide-key"}
        async with fleet.session.get(url, headers=headers) as answer:
            self.assertEqual(NOT_RUN, (await answer.json(content_type=None))["verdict"])
            self.assertNotIn(
                answer.headers["X-Request-Id"], await read_run_requests(fleet)
            )
        self.assertGreater((await fleet.read_account("desk-1"))["refused"], 0)
