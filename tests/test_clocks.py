"""Test the system clock and the manual clock."""

from datetime import timedelta

from testtools import TestCase

from galenapass.clocks import ManualClock, SystemClock


class ManualClockTest(TestCase):
    def test_advances_wall_and_monotonic_time_equally(self):
        clock = ManualClock()
        start = clock.now()
        clock.advance(timedelta(seconds=3))
        self.assertEqual(timedelta(seconds=3), clock.monotonic())
        self.assertEqual(timedelta(seconds=3), clock.now() - start)

    def test_rejects_a_negative_step(self):
        error = self.assertRaises(
            ValueError, ManualClock().advance, timedelta(seconds=-1)
        )
        self.assertIn("-1 day", str(error))


class SystemClockTest(TestCase):
    def test_monotonic_time_never_decreases(self):
        clock = SystemClock()
        times = [clock.monotonic() for _ in range(100)]
        self.assertEqual(sorted(times), times)
