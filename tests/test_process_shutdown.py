"""Test with processes that every planned stop of a daemon is graceful."""

import asyncio
import functools
import signal
from pathlib import Path

from testtools import TestCase

from experiments.answers import CHAT_PATH, is_complete_answer, make_chat, read_error
from tests.process_fleet import make_engines, request_chat, wait_until, with_fleet

TOKENS = 60
PACED = ("--token-interval", "0.03")
SLOW = ("--token-interval", "0.2")
STREAMS = 6


async def count_started(fleet):
    return len((await fleet.read_account("runner-1"))["runs"])


async def handles_sigterm(pid):
    """Return whether a process has installed a handler for SIGTERM."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    caught = next(line for line in status.splitlines() if line.startswith("SigCgt"))
    return bool(int(caught.split()[1], 16) & 1 << signal.SIGTERM - 1)


class ShutdownTest(TestCase):
    async def start_streams(self, fleet, tokens):
        requests = [
            asyncio.create_task(request_chat(fleet, "entry-1", f"stop {n}", tokens))
            for n in range(STREAMS)
        ]

        async def all_run():
            return await count_started(fleet) == STREAMS

        await wait_until(all_run)
        return requests

    @with_fleet(1, make_engines(1, *PACED))
    async def test_a_stopping_daemon_is_unready_first_and_streams_complete(self, fleet):
        requests = await self.start_streams(fleet, TOKENS)
        daemon = fleet.processes["entry-1"]
        daemon.send(signal.SIGTERM)

        async def is_unready():
            return not await fleet.is_ready("entry-1")

        await wait_until(is_unready, 1.0)
        late, _, problem = await request_chat(fleet, "entry-1", "late", TOKENS)
        self.assertEqual(503, late.status)
        self.assertEqual("not run", problem["verdict"])
        self.assertIn("Retry-After", late.headers)
        daemon.send(signal.SIGTERM)
        self.assertFalse(any(task.done() for task in requests))
        answers = await asyncio.gather(*requests)
        self.assertEqual([True] * STREAMS, [complete for _, complete, _ in answers])
        self.assertEqual(0, await daemon.wait(5))
        self.assertEqual(STREAMS, await count_started(fleet))

    @with_fleet(1, make_engines(1, *SLOW), stop_within="4 s")
    async def test_a_stream_cut_off_by_a_stop_reports_may_have_run(self, fleet):
        requests = await self.start_streams(fleet, 100)
        fleet.processes["entry-1"].send(signal.SIGTERM)
        self.assertEqual(0, await fleet.processes["entry-1"].wait(5))
        for answer, complete, problem in await asyncio.gather(*requests):
            self.assertEqual((200, False), (answer.status, complete))
            self.assertEqual("may have run", problem["verdict"])
            self.assertEqual("stopping", problem["reason"])

    @with_fleet(1, make_engines(1))
    async def test_a_stop_during_the_start_ends_it_with_status_0(self, fleet):
        fleet.processes["entry-1"].send(signal.SIGTERM)
        self.assertEqual(0, await fleet.processes["entry-1"].wait(5))
        # Pauses cover the start from installing the handler until the daemon is ready.
        for pause in (0.0, 0.2, 0.4, 0.6, 0.8):
            daemon = await fleet.start_daemon("entry-1")
            await wait_until(functools.partial(handles_sigterm, daemon.pid))
            await asyncio.sleep(pause)
            daemon.send(signal.SIGTERM)
            self.assertEqual(0, await daemon.wait(8), f"after {pause} s")

    @with_fleet(2, make_engines(1, *PACED))
    async def test_a_stop_without_the_platform_is_graceful_too(self, fleet):
        requests = await self.start_streams(fleet, TOKENS)
        await fleet.set_faults("platform", outage=True)
        fleet.processes["entry-1"].send(signal.SIGTERM)
        answers = await asyncio.gather(*requests)
        self.assertEqual([True] * STREAMS, [complete for _, complete, _ in answers])
        self.assertEqual(0, await fleet.processes["entry-1"].wait(5))

    @with_fleet(1, make_engines(1, *PACED))
    async def test_a_caller_that_reads_nothing_does_not_delay_a_stop(self, fleet):
        url = f"http://{fleet.daemons['entry-1'].entry}{CHAT_PATH}"
        body = make_chat("unread", TOKENS)
        headers = {"Authorization": "Bearer guide-key"}
        async with fleet.session.post(url, json=body, headers=headers) as answer:
            fleet.processes["entry-1"].send(signal.SIGTERM)
            self.assertEqual(0, await fleet.processes["entry-1"].wait(10))
            content = await answer.read()
        self.assertTrue(is_complete_answer(body, 200, content), read_error(content))
