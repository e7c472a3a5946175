"""Check which rate limits of targets are believed, and when they end."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.forwarding import rate_limits
from galenapass.forwarding.rate_limits import (
    RateLimit,
    merge_rate_limit,
    record_rate_limit,
)
from galenapass.platform.headers import ATTEMPT_ID, decode_notice
from tests.forwarding_fakes import MS, make_target

ENGINE = ("e1", "7")


class TestDecodeNotice(TestCase):
    def decode(self, status=200, attempt="a1", **headers):
        pairs = {name.replace("_", "-"): value for name, value in headers.items()}
        return decode_notice(status, pairs, 5 * MS, attempt)

    def test_a_limit_is_a_decimal_number(self):
        self.assertEqual(2.6, self.decode(Server_Limit="2.6").rate_limit)
        self.assertEqual(2.6, self.decode(503, None, Server_Limit="2.6").rate_limit)
        for text in ("", "-1", "nan", "inf", "many"):
            with self.subTest(text):
                self.assertIsNone(self.decode(Server_Limit=text).rate_limit)

    def test_only_an_answer_to_a_request_lifts_a_limit(self):
        self.assertTrue(self.decode().lifts_limit)
        self.assertTrue(self.decode(**{ATTEMPT_ID: "a1"}).lifts_limit)
        self.assertFalse(self.decode(**{ATTEMPT_ID: "a2"}).lifts_limit)
        self.assertFalse(self.decode(attempt=None).lifts_limit)
        self.assertFalse(self.decode(503).lifts_limit)
        self.assertFalse(self.decode(Server_Limit="2").lifts_limit)

    def test_a_misdirected_request_says_nothing_of_the_target(self):
        self.assertIsNone(self.decode(421, Server_Limit="2.6").rate_limit)


class TestRecord(TestCase):
    def record(self, *responses):
        """Return the rate after responses of (rate, sent, received) milliseconds."""
        limits = {}
        for rate, sent, received in responses:
            record_rate_limit(limits, ENGINE, rate, sent * MS, received * MS)
        limit = limits.get(ENGINE)
        return limit.rate if limit else None

    def test_a_limit_holds_from_the_first_answer_that_names_it(self):
        self.assertEqual(3.0, self.record((3.0, 0, 500)))
        self.assertEqual(2.0, self.record((3.0, 0, 500), (2.0, 100, 600)))

    def test_an_answer_to_an_older_request_does_not_lift_or_raise_a_limit(self):
        # A host that was suspended reads answers that were written seconds before.
        self.assertEqual(3.0, self.record((3.0, 0, 500), (None, 400, 900)))
        self.assertEqual(3.0, self.record((3.0, 0, 500), (4.0, 400, 900)))

    def test_an_answer_to_a_later_request_lifts_or_raises_a_limit(self):
        self.assertIsNone(self.record((3.0, 0, 500), (None, 501, 900)))
        self.assertEqual(4.0, self.record((3.0, 0, 500), (4.0, 501, 900)))
        self.assertEqual(
            2.0, self.record((3.0, 0, 500), (None, 501, 900), (2.0, 600, 950))
        )

    def test_a_restart_ends_a_limit(self):
        limits = {ENGINE: RateLimit(2.0, 5 * MS)}
        restarted = make_target("e1", incarnation="8")
        self.assertIsNone(rate_limits.find_rate_limit(limits, restarted))
        same = make_target("e1", incarnation="7")
        self.assertEqual(2.0, rate_limits.find_rate_limit(limits, same))

    def test_a_change_is_reported_once(self):
        limits = {}
        changes = [
            record_rate_limit(limits, ENGINE, rate, at * MS, at * MS)
            for at, rate in enumerate((None, 2.0, 2.0, 1.0, None, None), start=1)
        ]
        self.assertEqual([False, True, False, True, True, False], changes)


class TestMerge(TestCase):
    @given(
        st.lists(
            st.tuples(st.sampled_from([None, 1.0, 2.5]), st.integers(0, 9)),
            unique_by=lambda item: item[1],
        ),
        st.randoms(use_true_random=False),
    )
    def test_hosts_agree_whatever_the_order_of_messages(self, items, random):
        views = []
        for _ in range(2):
            limits = {}
            random.shuffle(items)
            for rate, at in items:
                merge_rate_limit(limits, ENGINE, RateLimit(rate, at * MS))
            views.append(limits)
        self.assertEqual(*views)

    def test_old_incarnations_are_forgotten(self):
        limits = {}
        for number in range(rate_limits.MAX_RATE_LIMITS + 5):
            limit = RateLimit(1.0, timedelta(seconds=number))
            merge_rate_limit(limits, (f"e{number}", "1"), limit)
        self.assertEqual(rate_limits.MAX_RATE_LIMITS, len(limits))
        self.assertNotIn(("e0", "1"), limits)
