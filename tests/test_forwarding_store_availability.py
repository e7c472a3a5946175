"""Test how call outcomes set the store's availability, in each order of calls."""

from datetime import timedelta

from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import fleet as tables
from galenapass.forwarding.store_availability import StoreAvailability
from galenapass.tables.targets import Role
from tests.forwarding_fakes import make_fleet, make_target

SECOND = timedelta(seconds=1)


class TestStoreAvailability(TestCase):
    def setUp(self):
        super().setUp()
        self.failures, self.returns, self.recoveries = [], [], []
        self.clock = ManualClock()
        self.store_availability = StoreAvailability(
            self.clock,
            lambda: self.failures.append(1),
            self.returns.append,
            self.recoveries.append,
        )

    def play(self, *calls):
        """Record calls (sent second, ended second, whether answered) as they end."""
        for sent, ended, is_answered in sorted(calls, key=lambda call: call[1]):
            self.clock.advance(ended * SECOND - self.clock.monotonic())
            record = (
                self.store_availability.record_answer
                if is_answered
                else self.store_availability.record_failure
            )
            record(sent * SECOND)

    def test_a_return_counts_from_when_the_answered_call_was_sent(self):
        # A watch that had waited 3 s since the store's return reported a target that
        # had left. Counted from its answer, the grace kept that target for two more
        # seconds, longer than leaving targets may be used (tena-tours hunt-ae14-7).
        self.play((0, 1, False), (1, 2, False), (2, 5, True))
        self.assertEqual([2 * SECOND], self.returns)

    def test_a_single_failure_restarts_the_watches_and_is_no_outage(self):
        # A watch may have been lost in an outage that only one call met.
        self.play((0, 1, False), (2, 3, True), (3, 4, True))
        self.assertEqual(([], [2 * SECOND]), (self.returns, self.recoveries))

    def test_a_watch_that_fails_long_after_the_return_causes_no_second_return(self):
        # Watches lost in an outage failed 9 s after it. The second return kept entries
        # that were removed meanwhile for 2 s more (release-after-an-outage on
        # cwpc-shared).
        self.play(
            *((second, second + 1, False) for second in range(6, 12)),
            (12, 12.1, True),
            (11, 21, False),
            (11.2, 21.2, False),
            (21.3, 21.4, True),
        )
        self.assertEqual([12 * SECOND], self.returns)
        self.assertTrue(self.store_availability.is_available)

    def test_one_failed_call_is_reported_but_is_no_outage(self):
        self.play((0, 0.1, True), (1, 2, False))
        self.assertFalse(self.store_availability.is_available)
        self.play((3, 3.1, True))
        self.assertTrue(self.store_availability.is_available)
        self.assertEqual(([1], []), (self.failures, self.returns))

    def test_each_outage_has_its_own_return(self):
        down = lambda start: [(start + n, start + n + 0.5, False) for n in range(3)]  # noqa: E731
        self.play(*down(1), (5, 5.1, True), *down(10), (15, 15.1, True))
        self.assertEqual([5 * SECOND, 15 * SECOND], self.returns)
        self.assertEqual([1, 1], self.failures)

    def test_a_target_that_leaves_after_the_grace_is_gone_at_once(self):
        fleet = make_fleet(make_target("e1", Role.DECODE), make_target("e2"))
        store_availability = StoreAvailability(
            self.clock, on_return=lambda sent: tables.start_return_grace(fleet, sent)
        )
        self.store_availability = store_availability
        self.play((6, 7, False), (8, 9, False), (12, 12.1, True), (11, 21, False))
        # Its entry expired in the outage, which is seen after it: it may return.
        seen = tables.remove_target(fleet, "e1", 12.5 * SECOND)
        self.assertEqual("missing", seen)
        self.assertEqual("gone", tables.remove_target(fleet, "e2", 21.5 * SECOND))
        self.assertEqual(["e1"], tables.drop_overdue(fleet, 14.1 * SECOND))
