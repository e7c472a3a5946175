"""Test that a stream goes on only at targets of the software version that began it."""

import asyncio
import re

from testtools import TestCase

from stand_ins.runner import EVENTS
from tests.platform_fleet import run

# Two decode targets of each version.
VERSIONS = {"d1": "v1", "d2": "v2", "d3": "v1", "d4": "v2"}
TWO_HOSTS = ("zone-a", "zone-b")
STREAMS = 24
# Streams at a time; a target that breaks several off at once gets no more for a while.
CONCURRENT = 3
EVENT_SECONDS = 0.03
EVENT = re.compile(rb"id: (\d+)\ndata: t(\d+) ?(\S*)\n\n")


def list_versions(body):
    """Return the versions that wrote a stream's events, in order."""
    return list(dict.fromkeys(version for _, _, version in EVENT.findall(body)))


def list_events(body):
    """Return the numbers of a stream's events."""
    return [int(number) for number, _, _ in EVENT.findall(body)]


ALL_EVENTS = list(range(1, EVENTS + 1))


async def repeat(send, count=STREAMS):
    """Return the results of ``count`` calls, a few at a time."""
    free = asyncio.Semaphore(CONCURRENT)

    async def send_one(number):
        async with free:
            return await send(number)

    return await asyncio.gather(*(send_one(number) for number in range(count)))


class TestOneAnswer(TestCase):
    def test_order_a_stream_is_joined_from_two_versions_in_one_answer(self):
        async def scenario(fleet):
            for runner in fleet.decode_runners:
                runner.faults.break_after = 2
                runner.faults.break_share = 0.3
            answers = await repeat(lambda n: fleet.send_stream(f"/notes/{n}"))
            bodies = [body for *_, body, _ in answers]
            joined = [body for body in bodies if len(list_versions(body)) > 1]
            self.assertEqual([], joined)
            for _, status, body, complete in answers:
                whole = list_events(body) == ALL_EVENTS
                self.assertEqual(status == 200 and complete, whole, body)
            resumed = [
                request
                for runner in fleet.decode_runners
                for request in runner.received
                if "Last-Event-Id" in request.headers
            ]
            self.assertNotEqual([], resumed)

        run(scenario, more_decode=2, versions=VERSIONS)


class TestTakeUps(TestCase):
    def test_order_a_client_takes_a_stream_up_at_another_version(self):
        async def scenario(fleet):
            for runner in fleet.decode_runners:
                runner.faults.event_seconds = EVENT_SECONDS

            async def take_up(number):
                path = f"/notes/{number}"
                attempt, begun_status, begun, _ = await fleet.send_stream(
                    path, leave_after=2
                )
                last = str(list_events(begun)[-1])
                _, status, rest, complete = await fleet.send_stream(
                    path, host=1, Last_Event_Id=last, Resumes=attempt
                )
                return begun_status, begun, status, rest, complete

            streams = await repeat(take_up)
            bodies = [begun + rest for _, begun, _, rest, _ in streams]
            joined = [body for body in bodies if len(list_versions(body)) > 1]
            self.assertEqual([], joined)
            self.assertEqual({200}, {status for status, *_ in streams})
            self.assertLessEqual({s for _, _, s, _, _ in streams}, {200, 503})
            went_on = [list_events(body) == ALL_EVENTS for body in bodies]
            self.assertGreaterEqual(sum(went_on), STREAMS // 2)

        run(scenario, domains=TWO_HOSTS, more_decode=2, versions=VERSIONS)
