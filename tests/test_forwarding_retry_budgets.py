"""Test the decisions of the retry budget in virtual time."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from experiments.soak.arrivals import measure_retry_use
from galenapass.clocks import ManualClock
from galenapass.forwarding import retry_budgets
from galenapass.forwarding.retry_accounts import RetryAccounts
from galenapass.forwarding.retry_budgets import RetryBudgetTerms
from tests.forwarding_fakes import make_request

TERMS = RetryBudgetTerms(0.2, 58.0, timedelta(seconds=10))
SECOND = timedelta(seconds=1)


@dataclass
class Hosts:
    """Hosts that send each request again as often as their budgets allow."""

    count: int
    terms: RetryBudgetTerms = TERMS
    clock: ManualClock = field(default_factory=ManualClock)
    requests: list = field(default_factory=list)
    retries: list = field(default_factory=list)
    accounts: list = field(init=False)

    def __post_init__(self):
        self.accounts = [self.start(is_first_start=True) for _ in range(self.count)]

    def start(self, *, is_first_start=False):
        return RetryAccounts(
            self.clock,
            self.terms,
            lambda: self.count,
            is_first_start=is_first_start,
        )

    def kill(self, hosts):
        for host in hosts:
            self.accounts[host] = self.start()

    def receive(self, host):
        """Receive a request and send it once."""
        request = make_request(f"r{len(self.requests)}")
        self.requests.append(self.clock.monotonic().total_seconds())
        self.accounts[host].record_request(request)
        return self.send(host, request)

    def send(self, host, request):
        """Send a request unless it would be a retry that the budget does not allow."""
        if not self.accounts[host].charge(request):
            return None
        if request.sends:
            self.retries.append(self.clock.monotonic().total_seconds())
        request.sends += 1
        return request

    def serve(self, host):
        """Send a request, and send it again as often as the budget allows."""
        request = self.receive(host)
        while self.accounts[host].reserve(request):
            self.send(host, request)

    def measure_use(self):
        return measure_retry_use("lm", self.retries, self.requests, self.terms)


def play_steadily(hosts, rate, seconds, kills=(), demand_from=0.0):
    """Send requests evenly to the hosts in turn; return the hosts."""
    kills = sorted(kills)
    random = Random(43)
    for number in range(int(rate * seconds)):
        now = number / rate
        while kills and kills[0] <= now:
            hosts.kill(range(hosts.count))
            kills.pop(0)
        send = hosts.serve if now >= demand_from else hosts.receive
        send(random.randrange(hosts.count))
        hosts.clock.advance(SECOND / rate)
    return hosts


class TestProcesses(TestCase):
    def test_budget_of_hosts_that_are_killed_again_and_again_is_one_budget(self):
        # 404 arrivals beyond the first, 349 allowed (cwpc-shared, refused-and-killed).
        kills = [20.0, 21.0, 22.5, 24.0, 25.0, 27.5]
        for count, rate in ((2, 20), (9, 20), (9, 130), (77, 130)):
            hosts = play_steadily(Hosts(count), rate, 45.0, kills, demand_from=12.0)
            self.assertLessEqual(hosts.measure_use().share, 1.0, (count, rate))

    def test_a_fleet_that_lasts_uses_what_is_allowed(self):
        for count, rate in ((2, 20), (9, 20), (9, 130), (77, 130)):
            hosts = play_steadily(Hosts(count), rate, 45.0, demand_from=22.0)
            self.assertGreater(hosts.measure_use().share, 0.8, (count, rate))

    @given(
        st.integers(1, 4),
        st.lists(
            st.tuples(
                st.sampled_from(("request", "retry", "retry", "kill")),
                st.integers(0, 3),
                st.integers(0, 4000),
                st.integers(1, 40),
            ),
            max_size=60,
        ),
    )
    def test_the_fleet_stays_within_its_budget_whatever_ends(self, count, steps):
        hosts = Hosts(count, RetryBudgetTerms(0.2, 12.0, timedelta(seconds=10)))
        for kind, host, pause, repetitions in steps:
            hosts.clock.advance(pause * SECOND / 1000)
            host %= count
            if kind == "kill":
                hosts.kill([host])
                continue
            for _ in range(repetitions):
                send = hosts.serve if kind == "retry" else hosts.receive
                send(host)
        use = hosts.measure_use()
        self.assertLessEqual(use.retries, use.allowed)

    def test_budget_of_retries_that_wait_for_slots_is_that_of_their_arrival(self):
        # 166 arrivals beyond the first, 98 allowed (virtual time, 64707f7).
        for rate in (20, 130):
            hosts, waiting = Hosts(1), []
            for number in range(rate * 40):
                request = hosts.receive(0)
                if number >= rate * 20 and hosts.accounts[0].reserve(request):
                    waiting.append(request)
                if number == rate * 25:
                    for request in waiting:
                        hosts.send(0, request)
                if number > rate * 25 and request.reserved_retries:
                    hosts.send(0, request)
                hosts.clock.advance(SECOND / rate)
            use = hosts.measure_use()
            self.assertLessEqual(use.retries, use.allowed)
            self.assertGreater(use.share, 0.5)

    @given(
        st.lists(
            st.tuples(st.booleans(), st.integers(0, 900), st.integers(0, 8000)),
            max_size=150,
        )
    )
    def test_the_fleet_stays_within_its_budget_whatever_waits(self, steps):
        hosts, waiting = Hosts(1, RetryBudgetTerms(0.2, 12.0, 10 * SECOND)), []
        for is_retried, pause, delay in steps:
            hosts.clock.advance(pause * SECOND / 1000)
            now = hosts.clock.monotonic()
            for due, request in [one for one in waiting if one[0] <= now]:
                waiting.remove((due, request))
                hosts.send(0, request)
                hosts.accounts[0].release(request)
            request = hosts.receive(0)
            if is_retried and hosts.accounts[0].reserve(request):
                waiting.append((now + delay * SECOND / 1000, request))
        use = hosts.measure_use()
        self.assertLessEqual(use.retries, use.allowed)
        reserved = sum(request.reserved_retries for _, request in waiting)
        budget = hosts.accounts[0]._budgets.get("lm", retry_budgets.Budget())
        self.assertEqual(reserved, budget.reserved)

    def test_the_arrivals_of_a_generation_are_paid_once(self):
        # Prefills: rejected, accepted, accepted; the output is refused in between.
        request, paid = make_request(), []
        accounts = Hosts(1).accounts[0]
        for accepted in (False, True, None, True, None):
            self.assertTrue(accounts.charge(request))
            paid.append(request.paid_retries)
            if accepted is None:
                request.sends += 1
            else:
                request.prefills += 1
                request.has_prefilled |= accepted
        self.assertEqual([0, 1, 1, 2, 3], paid)

    def test_the_fixed_part_is_held_back_for_a_window(self):
        part = lambda now: retry_budgets.compute_fixed_part(  # noqa: E731
            TERMS, 2, 10 * SECOND, now * SECOND
        )
        self.assertEqual([0.0, 0.0, 29.0], [part(0), part(9), part(10)])

    def test_budget_of_a_host_that_has_read_no_list_has_no_fixed_part(self):
        late = 99 * SECOND
        part = retry_budgets.compute_fixed_part(TERMS, None, 10 * SECOND, late)
        self.assertEqual(0.0, part)

    def test_what_a_request_earned_lapses(self):
        budget = retry_budgets.Budget()
        for _ in range(20):
            retry_budgets.record_request(budget, 0 * SECOND, TERMS)
        self.assertTrue(retry_budgets.can_reserve(budget, 10 * SECOND, TERMS, 0.0, 2))
        self.assertFalse(
            retry_budgets.can_reserve(budget, 10.1 * SECOND, TERMS, 0.0, 1)
        )

    def test_a_retry_uses_the_oldest_requests_first(self):
        budget = retry_budgets.Budget()
        for at in (0, 5):
            for _ in range(10):
                retry_budgets.record_request(budget, at * SECOND, TERMS)
        self.assertTrue(retry_budgets.spend(budget, 6 * SECOND, TERMS, 0.0, 1))
        self.assertTrue(retry_budgets.can_reserve(budget, 15 * SECOND, TERMS, 0.0, 1))
