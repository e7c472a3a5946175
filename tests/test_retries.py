"""Check that retries stay within their budget and never run work twice."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.systems import crashes, retries
from galenapass.tables.crashes import Crash
from galenapass.tables.requests import RequestState
from galenapass.verdicts import Reason, Run, Verdict
from tests.test_routing import make_request, make_world, seconds

failures = st.builds(
    Verdict, st.sampled_from([Run.NOT_RUN, Run.MAY_HAVE_RUN]), st.sampled_from(Reason)
)


class TestRetries(TestCase):
    @given(st.booleans(), st.lists(failures, min_size=1, max_size=8))
    def test_work_that_may_have_run_is_repeated_only_if_idempotent(self, safe, ends):
        world = make_world()
        request = make_request(idempotent=safe)
        may_have_run = False
        for failure in ends:
            request.attempts += 1
            may_have_run |= failure.run is Run.MAY_HAVE_RUN
            decision = retries.decide_retry(world, request, failure, seconds(0))
            if isinstance(decision, Verdict):
                self.assertEqual(may_have_run, decision.run is Run.MAY_HAVE_RUN)
                self.assertIs(RequestState.ENDED, request.state)
                return
            self.assertTrue(safe or not may_have_run)
            self.assertIn(failure.reason, {*retries.RETRIED, Reason.PREEMPTED})

    def test_preempted_work_waits_again_at_no_cost(self):
        world, request = make_world(), make_request(patience=10.0)
        world.retries.tokens = 0.0
        request.attempts, request.target = 1, "runner-1"
        preempted = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED)
        decision = retries.decide_retry(world, request, preempted, seconds(0))
        self.assertIsInstance(decision, retries.Retry)
        self.assertEqual((0, set()), (request.attempts, request.tried))
        self.assertIs(RequestState.WAITING, request.state)

    def test_a_begun_answer_may_resume_after_its_deadline(self):
        failure = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        request = make_request(patience=1.0)
        request.delivered = 5
        decision = retries.decide_retry(make_world(), request, failure, seconds(2))
        self.assertIsInstance(decision, retries.Retry)
        self.assertGreater(request.deadline, seconds(2))

    def test_a_begun_answer_that_waits_for_a_trial_ends_soon(self):
        """Its turn may be taken by a suspect that nobody sends again."""
        failure = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        world, request = make_world(), make_request(patience=1.0, fingerprint="f")
        request.delivered = 5
        crashes.record_crash(world, "f", Crash("t0", "1"), seconds(2))
        decision = retries.decide_retry(world, request, failure, seconds(2))
        self.assertIsInstance(decision, retries.Retry)
        self.assertLessEqual(request.deadline, seconds(12))

    @given(st.integers(0, 400), st.integers(1, 400), st.floats(0, 60))
    def test_retries_are_a_share_of_fresh_work(self, fresh, failed, elapsed):
        world = make_world()
        for _ in range(fresh):
            retries.record_new_request(world)
        failure = Verdict(Run.NOT_RUN, Reason.TARGET_UNREACHABLE)
        granted = 0
        for number in range(failed):
            request = make_request(number, patience=999.0)
            decision = retries.decide_retry(world, request, failure, seconds(elapsed))
            granted += isinstance(decision, retries.Retry)
        limit = retries.LARGEST_BUDGET + retries.RETRY_SHARE * fresh
        self.assertLessEqual(granted, limit + retries.LEAST_RATE * elapsed)

    def test_moves_cost_neither_attempts_nor_the_budget(self):
        world = make_world()
        world.retries.tokens = 0.0
        request = make_request(patience=999.0)
        moved = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED)
        for _ in range(2 * retries.MOST_ATTEMPTS):
            request.attempts += 1
            request.target = "runner-1"
            decision = retries.decide_retry(world, request, moved, seconds(0))
            self.assertIsInstance(decision, retries.Retry)
        self.assertEqual((0, set()), (request.attempts, request.tried))

    def test_a_passed_deadline_ends_it_with_a_time_to_return(self):
        failure = Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED)
        request = make_request(patience=1.0)
        decision = retries.decide_retry(make_world(), request, failure, seconds(1))
        self.assertIs(Run.NOT_RUN, decision.run)
        self.assertGreater(decision.retry_after, timedelta(0))
