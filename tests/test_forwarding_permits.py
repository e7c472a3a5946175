"""Check that schedulers together keep a target's rate limit, also when cut off."""

import asyncio
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import permits
from galenapass.forwarding.limit_sharing import MAX_NOTICES, LimitNotice, LimitSharing
from galenapass.forwarding.permits import Permit, PermitRequest, Permits
from galenapass.forwarding.rate_limits import RateLimit
from galenapass.tables.targets import Role
from tests.forwarding_fakes import MS, make_target
from tests.test_platform_rate_limits import WINDOW_SECONDS, count_allowed, count_most

ENGINE = make_target("e1", Role.DECODE, incarnation="7")
KEY = (ENGINE.id, ENGINE.incarnation)
STEP = 10 * MS
LATENCY_STEPS = 1
# After this time without a message a scheduler is not heard any more.
SILENCE = timedelta(seconds=1.5)


class Network:
    """Schedulers that all use one target, on one clock; ``cut`` is one side of a cut.

    ``sent_at`` lists the times, in seconds, at which any of them sent a request.
    """

    def __init__(self, hosts, rate, random):
        self.clock = ManualClock()
        self.limits = {KEY: RateLimit(rate, timedelta(0))}
        self.random = random
        self.cut, self.loss = frozenset(), 0.0
        self.sent_at, self.sent_by, self.messages = [], [], []
        self.heard = {}
        self.schedulers = {}
        for name in (f"h{n}" for n in range(hosts)):
            scheduler = Permits(name, self.limits, self.clock)
            scheduler.connect(_View(self, name), self._make_send(name), lambda: None)
            self.schedulers[name] = scheduler

    def _make_send(self, sender):
        return lambda host, message: self.messages.append((sender, host, message))

    def is_cut(self, one, other):
        return (one in self.cut) is not (other in self.cut)

    def step(self, demand=1.0):
        """Deliver the messages, then let each scheduler send what it may."""
        now = self.clock.monotonic()
        for one in self.schedulers:
            for other in self.schedulers:
                if not self.is_cut(one, other):
                    self.heard[one, other] = now
        self._deliver()
        for name, scheduler in self.schedulers.items():
            scheduler._issuer.step()
            if self.random.random() >= demand:
                continue
            scheduler.request([ENGINE], 4)
            while scheduler.is_available(ENGINE):
                scheduler.spend(ENGINE)
                self.sent_at.append(now.total_seconds())
                self.sent_by.append(name)
        self.clock.advance(STEP)

    def _deliver(self):
        messages, self.messages = self.messages, []
        for sender, host, message in messages:
            if self.is_cut(sender, host) or self.random.random() < self.loss:
                continue
            if isinstance(message, PermitRequest):
                self.schedulers[host].apply_request(sender, message)
            else:
                self.schedulers[host].apply_permit(message)

    def run(self, seconds, demand=1.0):
        for _ in range(int(seconds * 1000 / (STEP / MS))):
            self.step(demand)


class _View:
    """What one scheduler of the network knows of the others."""

    def __init__(self, network, name):
        self._network, self._name = network, name

    def list_issuers(self):
        now = self._network.clock.monotonic()
        return [
            other
            for other in self._network.schedulers
            if other == self._name
            or now - self._network.heard.get((self._name, other), -SILENCE) < SILENCE
        ]

    def find_issued_share(self):
        return len(self.list_issuers()) / len(self._network.schedulers)


def simulate(scenario, hosts=6, rate=2.5, seed=1):
    """Return the network after a scenario."""

    async def main():
        network = Network(hosts, rate, Random(seed))
        scenario(network)
        return network

    return asyncio.run(main())


class TestPermits(TestCase):
    def assert_kept(self, network, rate):
        most = count_most(network.sent_at, WINDOW_SECONDS)
        self.assertLessEqual(most, count_allowed(rate))

    def test_all_of_a_low_rate_is_used_by_whoever_needs_it(self):
        for rate in (0.5, 1.4, 2.6, 40.0):
            with self.subTest(rate):
                network = simulate(lambda network: network.run(20), rate=rate)
                self.assert_kept(network, rate)
                self.assertGreater(len(network.sent_at), 0.8 * 20 * rate)

    def test_one_host_alone_may_use_the_whole_rate(self):
        def scenario(network):
            for _ in range(1000):
                idle = dict(network.schedulers)
                network.schedulers = {"h3": idle["h3"]} | idle
                for name in idle:
                    if name != "h3":
                        idle[name].request = lambda targets, count: None
                network.step()

        network = simulate(scenario)
        self.assertEqual({"h3"}, set(network.sent_by))
        self.assertGreater(len(network.sent_at), 0.8 * 10 * 2.5)

    def test_schedulers_take_turns(self):
        network = simulate(lambda network: network.run(30))
        counts = [network.sent_by.count(name) for name in network.schedulers]
        self.assertLessEqual(max(counts) - min(counts), 3)

    @given(
        st.integers(0, 2**32),
        st.integers(2, 12),
        st.sampled_from([0.3, 1.4, 2.6, 8.0, 50.0]),
        st.sampled_from([0.0, 0.05, 0.3]),
    )
    def test_a_limit_is_kept_through_cuts_and_lost_messages(
        self, seed, hosts, rate, loss
    ):
        def scenario(network):
            random = network.random
            network.loss = loss
            for _ in range(5):
                names = sorted(network.schedulers)
                size = random.randrange(len(names))
                network.cut = frozenset(random.sample(names, size))
                network.run(random.uniform(0.2, 4.0), random.choice((1.0, 0.3, 0.02)))

        self.assert_kept(simulate(scenario, hosts, rate, seed), rate)

    def test_both_sides_of_a_lasting_cut_together_keep_the_limit(self):
        def scenario(network):
            network.cut = frozenset({"h0", "h1"})
            network.run(12)

        network = simulate(scenario, rate=10.0)
        self.assert_kept(network, 10.0)
        sides = [name in network.cut for name in network.sent_by]
        self.assertIn(True, sides)
        # Each side gets its part of the rate.
        self.assertGreater(sides.count(False), sides.count(True))

    def test_an_unused_permit_expires(self):
        def scenario(network):
            scheduler = network.schedulers["h0"]
            scheduler.apply_permit(Permit(KEY))
            self.assertTrue(scheduler.is_available(ENGINE))
            network.clock.advance(permits.PERMIT_LIFETIME)
            self.assertFalse(scheduler.is_available(ENGINE))

        simulate(scenario)

    def test_a_limit_of_zero_lets_its_end_be_noticed(self):
        network = simulate(lambda network: network.run(20), rate=0.0)
        self.assert_kept(network, 0.0)
        self.assertGreater(len(network.sent_at), 0)

    def test_nothing_is_needed_once_the_limit_ends(self):
        def scenario(network):
            network.limits[KEY] = RateLimit(None, 1 * MS)
            self.assertTrue(network.schedulers["h0"].is_available(ENGINE))
            network.schedulers["h0"].spend(ENGINE)

        simulate(scenario)


class TestLimitSharing(TestCase):
    def test_limits_are_told_at_once_and_then_regularly(self):
        limits, clock = {}, ManualClock()
        sharing = LimitSharing(limits, clock)
        self.assertFalse(sharing.is_due())
        limits[KEY] = RateLimit(2.0, 0 * MS)
        self.assertTrue(sharing.is_due())
        sharing.record_share()
        self.assertFalse(sharing.is_due())
        clock.advance(timedelta(seconds=1))
        self.assertTrue(sharing.is_due())

    def test_many_limits_are_told_in_turn(self):
        limits = {(f"e{n}", "1"): RateLimit(2.0, 0 * MS) for n in range(40)}
        sharing = LimitSharing(limits, ManualClock())
        told = set()
        for _ in range(-(-len(limits) // MAX_NOTICES)):
            notices = sharing.next_notices()
            self.assertEqual(MAX_NOTICES, len(notices))
            told |= {notice.incarnation for notice in notices}
        self.assertEqual(set(limits), told)

    def test_only_hosts_that_know_limits_get_permits(self):
        sharing = LimitSharing({}, ManualClock())
        notice = LimitNotice(KEY, RateLimit(2.0, 1 * MS))
        self.assertTrue(sharing.apply("h2", (notice,)))
        self.assertFalse(sharing.apply("h2", (notice,)))
        self.assertEqual({"h2"}, sharing.aware)
        sharing.apply("h2", None)
        self.assertEqual(set(), sharing.aware)
