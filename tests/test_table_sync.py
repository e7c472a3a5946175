"""Test that the tables reflect the updates of peers."""

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


class TestTableSync(TestCase):
    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        self.world = make_world()
        self.target = next(iter(self.world.targets.values()))
        self.clock = ManualClock()
        self.table_sync = TableSync(self.world, self.clock)

    def apply_peer_use(self, host, requests):
        self.table_sync.apply_item(TargetUse(host, self.target.id, requests, 0, 0))

    @given(st.lists(st.tuples(HOSTS, COUNTS), min_size=1))
    def test_peer_totals_add_up_until_their_hosts_are_forgotten(self, published):
        self.reset()
        for host, requests in published:
            self.apply_peer_use(host, requests)
        last = dict(published)
        self.assertEqual(sum(last.values()), self.target.peer_requests)
        for host in last:
            self.table_sync.forget_host(host)
        self.assertEqual(0, self.target.peer_requests)

    def test_older_report_is_ignored(self):
        reports = [
            TargetReport(self.target.id, "i1", sequence, running, 0, 0, 0, 2000, 16)
            for sequence, running in [(2, 5), (1, 9)]
        ]
        for report in reports:
            self.table_sync.apply_item(report)
        self.assertEqual(5, self.target.load.running)

    def test_received_suspect_is_applied_and_published_unchanged(self):
        request = make_request(fingerprint="f00d")
        suspect = CrashSuspect(
            "f00d", frozenset({Crash("runner-1", "i"), Crash("runner-2", "i")})
        )
        self.table_sync.apply_item(suspect)
        self.assertIsNotNone(crashes.check_crash_suspicion(self.world, request))
        published = []
        self.table_sync.publish_suspects(published.append)
        self.assertEqual([suspect], published)

    def test_own_use_is_published_as_totals(self):
        estimates.record_change(
            self.target, estimates.LoadChange(timedelta(0), 2, 30, 4)
        )
        published = []
        self.table_sync.publish_loads(published.append)
        use = next(item for item in published if item.target == self.target.id)
        self.assertEqual((2, 30, 4), (use.requests, use.prefill, use.pieces))
