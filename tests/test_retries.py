"""Check that retries stay within their budget and never repeat unsafe work."""

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
    def test_work_that_may_have_run_is_repeated_only_if_idempotent(
        self, idempotent, attempt_failures
    ):
        world = make_world()
        request = make_request(idempotent=idempotent)
        may_have_run = False
        for failure in attempt_failures:
            request.attempts += 1
            may_have_run |= failure.run is Run.MAY_HAVE_RUN
            decision = retries.decide_retry(world, request, failure, seconds(0))
            if isinstance(decision, Verdict):
                self.assertEqual(may_have_run, decision.run is Run.MAY_HAVE_RUN)
                self.assertIs(RequestState.ENDED, request.state)
                return
            self.assertTrue(idempotent or not may_have_run)
            self.assertIn(
                failure.reason, {*retries.RETRYABLE_REASONS, Reason.PREEMPTED}
            )

    def test_preemption_costs_neither_an_attempt_nor_budget(self):
        world, request = make_world(), make_request(patience=10.0)
        world.retries.tokens = 0.0
        request.attempts, request.target = 1, "runner-1"
        preempted = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED)
        decision = retries.decide_retry(world, request, preempted, seconds(0))
        self.assertIsInstance(decision, retries.Retry)
        self.assertEqual((0, set()), (request.attempts, request.tried))
        self.assertIs(RequestState.WAITING, request.state)

    def test_partial_answer_may_resume_after_its_deadline(self):
        failure = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        request = make_request(patience=1.0)
        request.delivered = 5
        decision = retries.decide_retry(make_world(), request, failure, seconds(2))
        self.assertIsInstance(decision, retries.Retry)
        self.assertGreater(request.deadline, seconds(2))

    def test_partial_answer_that_waits_for_a_trial_ends_soon(self):
        """A suspect that is never sent again may hold the trial it waits for."""
        failure = Verdict(Run.MAY_HAVE_RUN, Reason.TARGET_FAILED)
        world, request = make_world(), make_request(patience=1.0, fingerprint="f")
        request.delivered = 5
        crashes.record_crash(world, "f", Crash("t0", "1"), seconds(2))
        decision = retries.decide_retry(world, request, failure, seconds(2))
        self.assertIsInstance(decision, retries.Retry)
        self.assertLessEqual(request.deadline, seconds(12))

    @given(st.integers(0, 400), st.integers(1, 400), st.floats(0, 60))
    def test_retries_are_limited_to_a_share_of_new_requests(
        self, new_requests, failed, elapsed
    ):
        world = make_world()
        for _ in range(new_requests):
            retries.record_new_request(world)
        failure = Verdict(Run.NOT_RUN, Reason.TARGET_UNREACHABLE)
        granted = 0
        for number in range(failed):
            request = make_request(number, patience=999.0)
            decision = retries.decide_retry(world, request, failure, seconds(elapsed))
            granted += isinstance(decision, retries.Retry)
        limit = retries.MAX_BUDGET + retries.RETRY_SHARE * new_requests
        self.assertLessEqual(granted, limit + retries.MIN_RETRY_RATE * elapsed)

    def test_repeated_preemptions_cost_neither_attempts_nor_budget(self):
        world = make_world()
        world.retries.tokens = 0.0
        request = make_request(patience=999.0)
        preempted = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED)
        for _ in range(2 * retries.MAX_ATTEMPTS):
            request.attempts += 1
            request.target = "runner-1"
            decision = retries.decide_retry(world, request, preempted, seconds(0))
            self.assertIsInstance(decision, retries.Retry)
        self.assertEqual((0, set()), (request.attempts, request.tried))

    def test_passed_deadline_ends_the_request_with_retry_after(self):
        failure = Verdict(Run.NOT_RUN, Reason.TARGET_REFUSED)
        request = make_request(patience=1.0)
        decision = retries.decide_retry(make_world(), request, failure, seconds(1))
        self.assertIs(Run.NOT_RUN, decision.run)
        self.assertGreater(decision.retry_after, timedelta(0))
