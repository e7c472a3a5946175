"""Test that a host that was suspended in a planned stop still answers."""

import asyncio
import dataclasses
from datetime import timedelta
from unittest import mock

from testtools import TestCase

from galenapass.clocks import BootClock
from tests.platform_fleet import run

GRACE_PERIOD = timedelta(seconds=6)
SUSPENSION = timedelta(seconds=10)


class TestSuspendedStops(TestCase):
    def test_open_requests_are_answered_after_a_suspension_within_the_stop(self):
        async def scenario(fleet):
            daemon = fleet.daemon
            daemon.apply_settings(
                dataclasses.replace(daemon.settings, grace_period=GRACE_PERIOD)
            )
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.delay_seconds = 2.0
            sent = asyncio.create_task(fleet.send("/hold/1", "POST"))
            await fleet.wait_for(
                lambda: fleet.plain.received or fleet.second_plain.received
            )
            stop = asyncio.create_task(daemon.stop())
            await asyncio.sleep(0.1)
            elapsed = BootClock.monotonic

            def read_after_suspension(clock):
                return elapsed(clock) + SUSPENSION

            # Timers of the event loop do not count the suspension.
            with mock.patch.object(BootClock, "monotonic", read_after_suspension):
                await stop
                self.assertEqual(0, daemon.request_handler.open)
                status, _, _ = await sent
            self.assertEqual(504, status)

        run(scenario)
