"""Test the streams that clients resume while all engines that decode are lost."""

import asyncio

from testtools import TestCase

from experiments.soak.stream_clients import list_events
from stand_ins.runner import EVENTS, Runner
from tests.platform_fleet import run

THREE_HOSTS = ("zone-a", "zone-a", "zone-b")
ALL_EVENTS = list(range(1, EVENTS + 1))
# The hosts notice the crash within 1.5 s; clients resume their streams before that.
ORDER_SECONDS = 4.0


class TestLostDecoders(TestCase):
    def test_lost_streams_do_not_go_on_as_all_engines_that_decode_are_lost(self):
        # The entries of crashed targets stay for three heartbeats; here they stay.
        prefill = [Runner(f"e{n}", "lm", stage="prefill") for n in (2, 3)]

        async def scenario(fleet):
            await fleet.wait_for(
                lambda: any(daemon.planner.is_holder for daemon in fleet.daemons)
            )
            for runner in fleet.decode_runners:
                runner.faults.event_seconds = 0.05
            engines = [fleet.prefill, *prefill]
            former = {e.id: len(e.accepted_orders) for e in engines}

            def list_ordered():
                return [e for e in engines if len(e.accepted_orders) > former[e.id]]

            async def send(number):
                path, host = f"/notes/{number}", number % len(THREE_HOSTS)
                attempt, _, begun, _ = await fleet.send_stream(
                    path, host, leave_after=2
                )
                return path, attempt, begun

            async def resume(path, attempt, begun):
                """Resume a stream as a client does, a few times."""
                headers = {
                    "Last_Event_Id": str(list_events(begun)[-1]),
                    "Resumes": attempt,
                }
                for number in range(20):
                    host = number % len(THREE_HOSTS)
                    _, status, rest, _ = await fleet.send_stream(path, host, **headers)
                    if status == 200:
                        return list_events(begun + rest)
                    await asyncio.sleep(0.3)
                return []

            async def register_ordered():
                await fleet.wait_for(list_ordered, ORDER_SECONDS)
                for runner in list_ordered():
                    fleet.register(runner)

            streams = await asyncio.gather(*(send(n) for n in range(6)))
            for runner in fleet.decode_runners:
                await runner.stop()
            *resumed, _ = await asyncio.gather(
                *(resume(*stream) for stream in streams), register_ordered()
            )
            self.assertEqual([ALL_EVENTS] * len(streams), resumed)
            self.assertEqual(["decode"], [e.stage for e in list_ordered()])

        run(scenario, domains=THREE_HOSTS, more_runners=prefill)
