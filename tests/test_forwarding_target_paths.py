"""Test when a host takes a detour to targets, and through which hosts."""

import asyncio
from datetime import timedelta
from random import Random

from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.schedulers import HostEntry
from galenapass.forwarding.target_paths import (
    BLOCK_TIME,
    LOST_TIME,
    MAX_PEERS,
    UNUSED_TIME,
    Refusal,
    TargetPaths,
)

MS = timedelta(milliseconds=1)
HOSTS = {
    name: HostEntry(domain, ("10.0.0.1", 1))
    for name, domain in (
        ("h1", "zone-a"),
        ("h2", "zone-a"),
        ("h3", "zone-a"),
        ("h4", "zone-b"),
        ("h5", "zone-b"),
    )
}


class TestTargetPaths(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.paths = TargetPaths("h1", "zone-a", self.clock, Random(1))
        self.paths.hosts = HOSTS

    def detour(self, *addresses):
        for address in addresses:
            self.clock.advance(MS)
            self.paths.record_attempt(address, False)
            self.paths.record_detour(address, "h2")

    def run_probes(self, seconds, connect):
        async def main():
            probes = asyncio.create_task(self.paths.run_probes(connect))
            await asyncio.sleep(seconds)
            probes.cancel()

        asyncio.run(main())


class TestDetours(TestTargetPaths):
    def test_a_target_that_is_reached_needs_none(self):
        self.paths.record_attempt("t1", True)
        self.assertFalse(self.paths.needs_detour("t1"))

    def test_a_target_that_only_others_reach_is_taken_on_it_at_once(self):
        self.detour("t1")
        needed = [self.paths.needs_detour(address) for address in ("t1", "t2")]
        self.assertEqual(([True, False], False), (needed, self.paths.is_cut_off))

    def test_all_targets_are_taken_on_it_from_two_on(self):
        self.detour("t1", "t2")
        self.assertTrue(self.paths.is_cut_off)
        self.assertTrue(self.paths.needs_detour("t3"))

    def test_a_host_that_reaches_a_target_meanwhile_is_not_cut_off(self):
        self.detour("t1")
        self.clock.advance(MS)
        self.paths.record_attempt("t3", True)
        self.detour("t2")
        self.assertFalse(self.paths.is_cut_off)
        needed = [self.paths.needs_detour(a) for a in ("t1", "t2", "t3")]
        self.assertEqual([True, True, False], needed)

    def test_the_end_of_a_cut_ends_all_detours(self):
        self.detour("t1", "t2")
        self.paths.record_attempt("t1", True)
        needed = [self.paths.needs_detour(a) for a in ("t1", "t2", "t3")]
        self.assertEqual([False] * 3, needed)

    def test_a_target_that_nobody_reaches_is_not_sought_for_a_while(self):
        self.detour("t1", "t2")
        self.paths.record_lost("t1")
        self.assertFalse(self.paths.needs_detour("t1"))
        self.assertFalse(self.paths.may_detour("t1"))
        self.clock.advance(LOST_TIME)
        self.assertTrue(self.paths.may_detour("t1"))


class TestPeers(TestTargetPaths):
    def test_hosts_of_the_own_domain_and_of_another_one_take_turns(self):
        peers = self.paths.list_peers()
        domains = [HOSTS[name].domain for name in peers]
        self.assertEqual(["zone-a", "zone-b"] * (MAX_PEERS // 2), domains)
        self.assertNotIn("h1", peers)

    def test_the_load_is_spread_over_the_hosts_of_the_domain(self):
        first = {self.paths.list_peers()[0] for _ in range(50)}
        self.assertEqual({"h2", "h3"}, first)

    def test_a_host_that_is_of_no_use_is_not_asked_for_a_while(self):
        for refusal in set(Refusal) - {Refusal.UNREACHABLE, Refusal.EXCLUDED}:
            self.paths.record_refusal("h2", refusal)
            self.assertNotIn("h2", self.paths.list_peers())
            self.clock.advance(BLOCK_TIME)
            self.assertIn("h2", self.paths.list_peers())

    def test_a_host_that_does_not_reach_one_target_is_asked_for_others(self):
        self.paths.record_refusal("h2", Refusal.UNREACHABLE)
        self.assertIn("h2", self.paths.list_peers())

    def test_the_hosts_in_use_for_a_target_are_known(self):
        self.detour("t1")
        self.assertEqual(["h2"], self.paths.list_used_peers("t1"))
        self.assertEqual([], self.paths.list_used_peers("t2"))


class TestProbes(TestTargetPaths):
    def test_the_direct_way_is_probed_without_a_request(self):
        self.detour("t1", "t2")
        probed = []

        async def connect(address):
            probed.append(address)
            self.paths.record_attempt(address, True)

        self.run_probes(0.7, connect)
        self.assertTrue(probed)
        self.assertFalse(self.paths.needs_detour("t2"))

    def test_no_target_is_probed_that_is_reached(self):
        self.paths.record_attempt("t1", True)
        probed = []

        async def connect(address):
            probed.append(address)

        self.run_probes(0.7, connect)
        self.assertEqual([], probed)

    def test_a_detour_that_is_not_used_is_forgotten(self):
        self.detour("t1")
        self.clock.advance(UNUSED_TIME)

        async def connect(address):
            self.paths.record_attempt(address, False)

        self.run_probes(0.7, connect)
        self.assertFalse(self.paths.needs_detour("t1"))
