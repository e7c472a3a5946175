"""Check that the daemons' parts of a limit add up, also when some are unreachable."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.systems import limits
from galenapass.tables.configurations import Caller, Configuration
from galenapass.tables.hosts import Host
from galenapass.tables.world import World
from tests.test_routing import make_request, seconds

RATE = 40.0
NAMES = ("d0", "d1", "d2")

steps = st.lists(
    st.tuples(
        st.lists(st.integers(0, 30), min_size=3, max_size=3),
        st.sets(st.sampled_from(NAMES)),
    ),
    min_size=1,
    max_size=25,
)


def make_daemon(name):
    callers = {n: Caller(n, "", frozenset(), rate=RATE) for n in ("guide", "clerk")}
    world = World(name, "west", Configuration(callers=callers))
    world.hosts = {n: Host(n, "", "west") for n in NAMES}
    return world


def exchange(daemons, unreachable, now):
    reachable = [d for d in daemons if d.host not in unreachable]
    for sender in reachable:
        for receiver in reachable:
            if sender is not receiver:
                own_use = limits.list_own_use(sender, now)
                limits.apply_peer_use(receiver, sender.host, own_use, now)


class TestLimits(TestCase):
    @given(steps)
    def test_parts_never_exceed_the_rate_by_more_than_the_slack(self, trace):
        daemons = [make_daemon(name) for name in NAMES]
        now = timedelta(0)
        for uses, unreachable in trace:
            now += seconds(1)
            for daemon, use in zip(daemons, uses, strict=True):
                for number in range(use):
                    limits.consume_limit(daemon, make_request(number), now)
            exchange(daemons, unreachable, now)
            for daemon in daemons:
                limits.rebalance(daemon, now)
            parts = [self.read_part(daemon) for daemon in daemons]
            self.assertLessEqual(sum(parts), RATE * (1 + limits.SLACK))

    def read_part(self, daemon):
        limit = daemon.limits.limits.get("guide")
        return limit.held if limit else RATE / len(NAMES)

    def test_part_follows_the_measured_use(self):
        daemons = [make_daemon(name) for name in NAMES]
        now, granted = timedelta(0), 0
        for second in range(40):
            for tenth in range(10):
                now = seconds(second + tenth / 10)
                for daemon in daemons:
                    limits.consume_limit(daemon, make_request(), now)
                for number in range(30):
                    verdict = limits.consume_limit(
                        daemons[0], make_request(number), now
                    )
                    granted += verdict is None and second >= 30
            exchange(daemons, set(), now)
            for daemon in daemons:
                limits.rebalance(daemon, now)
        self.assertGreater(daemons[0].limits.limits["guide"].held, RATE * 0.5)
        self.assertGreater(granted, 10 * RATE * 0.4)

    @given(st.integers(1, 500), st.floats(0.5, 20))
    def test_single_daemon_grants_at_most_the_rate_and_one_burst(self, count, span):
        daemon = make_daemon("d0")
        daemon.hosts.clear()
        granted = 0
        for number in range(count):
            now = seconds(span * number / count)
            granted += limits.consume_limit(daemon, make_request(number), now) is None
        self.assertLessEqual(granted, RATE * (span + limits.BURST) + 1)

    def test_caller_served_beyond_its_share_is_found(self):
        daemon = make_daemon("d0")
        clerk = make_request()
        clerk.caller = "clerk"
        limits.record_work(daemon, make_request(), 9.0, seconds(0))
        limits.record_work(daemon, clerk, 1.0, seconds(0))
        over = limits.find_over_share(daemon, {"guide", "clerk"}, seconds(0))
        self.assertEqual({"guide"}, over)
