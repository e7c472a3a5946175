"""Test the clocks."""

from datetime import timedelta

from testtools import TestCase

from galenapass.clocks import ManualClock, SystemClock


class ManualClockTest(TestCase):
    def test_advances_both_clocks_alike(self):
        clock = ManualClock()
        start = clock.now()
        clock.advance(timedelta(seconds=3))
        self.assertEqual(timedelta(seconds=3), clock.monotonic())
        self.assertEqual(timedelta(seconds=3), clock.now() - start)

    def test_refuses_to_go_back(self):
        error = self.assertRaises(
            ValueError, ManualClock().advance, timedelta(seconds=-1)
        )
        self.assertIn("-1 day", str(error))


class SystemClockTest(TestCase):
    def test_never_goes_back(self):
        clock = SystemClock()
        times = [clock.monotonic() for _ in range(100)]
        self.assertEqual(sorted(times), times)
