"""Check that what peers tell lands in the tables as they mean it."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.systems import crashes, estimates
from galenapass.table_sync import TableSync
from galenapass.tables.crashes import Crash
from galenapass.tables.peer_messages import CrashSuspect, TargetReport, TargetUse
from tests.test_routing import make_request, make_world

HOSTS = st.sampled_from(["entry-2", "entry-3"])
COUNTS = st.integers(0, 9)


class NewsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.world = make_world()
        self.target = next(iter(self.world.targets.values()))
        self.clock = ManualClock()
        self.table_sync = TableSync(self.world, self.clock)

    def apply_peer_use(self, host, requests):
        self.table_sync.hear(TargetUse(host, self.target.id, requests, 0, 0))

    @given(st.lists(st.tuples(HOSTS, COUNTS), min_size=1))
    def test_totals_of_peers_add_up_and_go_with_them(self, told):
        self.begin()
        for host, requests in told:
            self.apply_peer_use(host, requests)
        last = dict(told)
        self.assertEqual(sum(last.values()), self.target.peer_requests)
        for host in last:
            self.table_sync.forget_host(host)
        self.assertEqual(0, self.target.peer_requests)

    def test_an_older_report_changes_nothing(self):
        reports = [
            TargetReport(self.target.id, "i1", sequence, running, 0, 0, 0, 2000, 16)
            for sequence, running in [(2, 5), (1, 9)]
        ]
        for report in reports:
            self.table_sync.hear(report)
        self.assertEqual(5, self.target.load.running)

    def test_what_one_daemon_tells_another_takes_in(self):
        request = make_request(fingerprint="f00d")
        crash_news = CrashSuspect(
            "f00d", frozenset({Crash("runner-1", "i"), Crash("runner-2", "i")})
        )
        self.table_sync.hear(crash_news)
        self.assertIsNotNone(crashes.check_crash_suspicion(self.world, request))
        told = []
        self.table_sync.publish_suspects(told.append)
        self.assertEqual([crash_news], told)

    def test_own_work_is_told_by_its_total(self):
        estimates.record_change(
            self.target, estimates.LoadChange(timedelta(0), 2, 30, 4)
        )
        told = []
        self.table_sync.publish_loads(told.append)
        use = next(item for item in told if item.target == self.target.id)
        self.assertEqual((2, 30, 4), (use.requests, use.prefill, use.pieces))
