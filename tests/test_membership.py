"""Test which hosts are recorded as alive, suspected or gone."""

from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase

from galenapass.systems import membership
from galenapass.systems.membership import ListedDaemon, Membership
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import Heartbeat, HostChange

SECOND = timedelta(seconds=1)
ZERO = timedelta(0)


def make_heartbeat(host, counter, incarnation=1, state=HostState.ALIVE, domain="north"):
    return Heartbeat(host, f"{host}:1", domain, incarnation, counter, state)


class MembershipTest(TestCase):
    def setUp(self):
        super().setUp()
        self.members = Membership.make("a", "north", {})
        membership.apply_heartbeat(self.members, make_heartbeat("a", 0), ZERO)

    def apply_heartbeat(self, *args, at=0, **options):
        heartbeat = make_heartbeat(*args, **options)
        return membership.apply_heartbeat(self.members, heartbeat, at * SECOND)

    def sweep(self, start, end):
        changes = []
        for second in range(start, end):
            changes += membership.sweep(self.members, second * SECOND)
        return changes

    def list_hosts(self, *rows, at):
        hosts = [ListedDaemon(name, f"{name}:1", "north", inc) for name, inc in rows]
        return membership.apply_host_list(self.members, hosts, at * SECOND)

    def state(self, host="b"):
        return self.members.hosts[host].state

    def test_a_silent_host_is_suspected_within_the_bound_and_never_gone(self):
        self.apply_heartbeat("b", 1)
        changes = self.sweep(0, 3600)
        suspect = HostChange("b", 1, HostState.ALIVE, HostState.SUSPECT)
        self.assertEqual([suspect], changes)
        self.assertEqual([], self.sweep(3600, 3700))
        self.apply_heartbeat("c", 1, at=3700)
        self.sweep(3700, 3706)
        self.assertIs(HostState.ALIVE, self.state("c"))
        self.sweep(3706, 3707)
        self.assertIs(HostState.SUSPECT, self.state("c"))

    def test_only_a_newer_heartbeat_refutes_a_suspicion(self):
        self.apply_heartbeat("b", 5)
        self.sweep(0, 10)
        self.apply_heartbeat("b", 5, at=10)
        self.apply_heartbeat("b", 4, at=10)
        self.assertIs(HostState.SUSPECT, self.state())
        self.apply_heartbeat("b", 6, at=10)
        self.assertIs(HostState.ALIVE, self.state())

    def test_a_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        self.apply_heartbeat("b", 1, incarnation=5)
        self.apply_heartbeat("b", 99, incarnation=4, at=4, state=HostState.LEAVING)
        self.assertIs(HostState.ALIVE, self.state())
        self.sweep(0, 7)
        self.assertIs(HostState.SUSPECT, self.state())

    def test_leaving_is_only_revoked_by_a_new_incarnation(self):
        self.apply_heartbeat("b", 5)
        self.apply_heartbeat("b", 5, state=HostState.LEAVING)
        self.apply_heartbeat("b", 9)
        self.assertIs(HostState.LEAVING, self.state())
        changes = self.apply_heartbeat("b", 0, incarnation=2)
        gone = HostChange("b", 1, HostState.LEAVING, HostState.GONE)
        fresh = HostChange("b", 2, None, HostState.ALIVE)
        self.assertEqual([gone, fresh], changes)

    def test_a_final_heartbeat_ends_an_incarnation_permanently(self):
        self.apply_heartbeat("b", 5)
        self.apply_heartbeat("b", 5, state=HostState.GONE)
        self.assertNotIn("b", self.members.hosts)
        self.assertEqual([], self.apply_heartbeat("b", 6))
        self.assertEqual([], self.list_hosts(("a", 1), ("b", 1), at=1))
        self.assertNotIn("b", self.members.hosts)
        self.apply_heartbeat("b", 0, incarnation=2)
        self.assertIs(HostState.ALIVE, self.state())

    def test_a_host_that_left_the_list_is_gone_once_it_is_silent(self):
        self.apply_heartbeat("b", 1)
        self.list_hosts(("a", 1), ("b", 1), at=0)
        self.assertEqual([], self.list_hosts(("a", 1), at=1))
        self.assertIs(HostState.ALIVE, self.state())
        self.list_hosts(("a", 1), ("b", 1), at=2)
        self.sweep(0, 7)
        gone = HostChange("b", 1, HostState.SUSPECT, HostState.GONE)
        self.assertEqual([gone], self.list_hosts(("a", 1), at=7))

    def test_a_host_that_the_list_does_not_show_yet_gets_a_grace_period(self):
        self.apply_heartbeat("b", 1)
        self.sweep(0, 20)
        self.assertEqual([], self.list_hosts(("a", 1), at=20))
        self.assertEqual([], self.list_hosts(("a", 1), at=59))
        self.assertEqual(1, len(self.list_hosts(("a", 1), at=61)))

    def test_the_list_adds_hosts_that_sent_no_heartbeat_yet(self):
        changes = self.list_hosts(("a", 1), ("b", 4), at=0)
        self.assertEqual([HostChange("b", 4, None, HostState.ALIVE)], changes)
        self.sweep(0, 7)
        self.assertIs(HostState.SUSPECT, self.state())
        self.apply_heartbeat("b", 0, incarnation=4, at=8)
        self.assertIs(HostState.ALIVE, self.state())

    def test_the_list_shows_a_later_incarnation_and_leaving(self):
        self.apply_heartbeat("b", 5)
        changes = self.list_hosts(("b", 2), at=0)
        self.assertEqual(HostState.GONE, changes[0].after)
        leaving = ListedDaemon("b", "b:1", "north", 2, leaving=True)
        membership.apply_host_list(self.members, [leaving], ZERO)
        self.assertIs(HostState.LEAVING, self.state())

    def test_a_daemon_that_was_paused_suspects_no_host_at_once(self):
        self.apply_heartbeat("b", 1)
        self.sweep(0, 2)
        self.assertEqual([], self.sweep(60, 65))
        self.assertEqual(1, len(self.sweep(65, 68)))


class PartnersTest(TestCase):
    @given(st.lists(st.integers(1, 30), min_size=1, max_size=8), st.integers(0, 99))
    def test_the_chosen_links_connect_the_whole_fleet(self, sizes, seed):
        names = {
            f"d{domain}-{seed}-{n}": f"d{domain}"
            for domain, size in enumerate(sizes)
            for n in range(size)
        }
        links = choose_links(names)
        self.assertEqual(set(names), find_reachable(links, set(names)))
        for domain in set(names.values()):
            inside = {n for n, d in names.items() if d == domain}
            self.assertEqual(inside, find_reachable(links, inside))

    def test_domains_of_one_daemon_each_are_connected(self):
        for seed in range(50):
            names = {f"d{n}-{seed}": f"d{n}" for n in range(6)}
            links = choose_links(names)
            self.assertEqual(set(names), find_reachable(links, set(names)))

    def test_a_mesh_counts_only_live_hosts_of_the_domain(self):
        members = Membership.make("a", "north", {})
        for host, domain in (("a", "north"), ("b", "north"), ("c", "south")):
            membership.apply_heartbeat(
                members, make_heartbeat(host, 0, domain=domain), ZERO
            )
        self.assertFalse(membership.is_meshed(members, {"c"}, ZERO))
        self.assertTrue(membership.is_meshed(members, {"b"}, ZERO))
        later = timedelta(minutes=1)
        self.assertTrue(membership.is_meshed(members, set(), later))

    def test_silent_hosts_are_tried_so_that_a_partition_heals(self):
        members = Membership.make("a", "north", {})
        membership.apply_heartbeat(members, make_heartbeat("a", 0), ZERO)
        membership.apply_heartbeat(members, make_heartbeat("b", 0), ZERO)
        membership.apply_heartbeat(
            members, make_heartbeat("c", 0, domain="south"), ZERO
        )
        later = timedelta(minutes=5)
        tried = set()
        for seed in range(20):
            tried |= membership.choose_partners(members, later, Random(seed))
        self.assertEqual({"b", "c"}, tried)


def choose_links(names):
    links = {name: set() for name in names}
    for name, domain in names.items():
        members = Membership.make(name, domain, {})
        for other, other_domain in names.items():
            heartbeat = make_heartbeat(other, 0, domain=other_domain)
            membership.apply_heartbeat(members, heartbeat, ZERO)
        partners = membership.choose_partners(members, ZERO, Random(0))
        assert len(partners) <= 8, partners
        for partner in partners:
            links[name].add(partner)
            links[partner].add(name)
    return links


def find_reachable(links, inside):
    reached, edge = set(), {min(inside)}
    while edge:
        reached |= edge
        edge = set().union(*(links[name] & inside for name in edge)) - reached
    return reached


class MembershipMachine(RuleBasedStateMachine):
    """Three daemons that are cut off, killed and restarted, and a list that lags."""

    HOSTS = ("a", "b", "c")
    host = st.sampled_from(HOSTS)

    @initialize()
    def begin(self):
        self.now = ZERO
        self.incarnations = dict.fromkeys(self.HOSTS, 1)
        self.counters = dict.fromkeys(self.HOSTS, 0)
        self.running = set(self.HOSTS)
        self.cuts = set()
        self.delivered = {}
        self.ended = {}
        self.lists = [self.list_running()]
        self.views = {host: self.make_view(host) for host in self.HOSTS}

    def make_view(self, host):
        members = Membership.make(host, "north", {})
        membership.apply_heartbeat(members, self.heartbeat(host), self.now)
        return members

    def heartbeat(self, host, state=HostState.ALIVE):
        return make_heartbeat(host, self.counters[host], self.incarnations[host], state)

    def list_running(self):
        return {host: self.incarnations[host] for host in self.running}

    @rule(seconds=st.integers(1, 8))
    def run(self, seconds):
        for _ in range(seconds):
            self.step()

    def step(self):
        self.now += SECOND
        for host in sorted(self.running):
            self.counters[host] += 1
            for other in sorted(self.running):
                if frozenset((host, other)) not in self.cuts:
                    self.deliver(other, self.heartbeat(host))
        for host in sorted(self.running):
            membership.sweep(self.views[host], self.now)

    def deliver(self, to, heartbeat):
        membership.apply_heartbeat(self.views[to], heartbeat, self.now)
        self.delivered[to, heartbeat.host] = self.now

    @rule(one=host, other=host)
    def cut(self, one, other):
        if one != other:
            self.cuts ^= {frozenset((one, other))}

    @rule(host=host)
    def kill(self, host):
        if len(self.running) > 1:
            self.running.discard(host)

    @rule(host=host)
    def restart(self, host):
        self.ended[host] = self.incarnations[host]
        self.incarnations[host] += 1
        self.counters[host] = 0
        self.running.add(host)
        self.views[host] = self.make_view(host)

    @rule(to=host, host=host, age=st.integers(0, 3))
    def deliver_late(self, to, host, age):
        """Deliver an old heartbeat, of this or an earlier incarnation."""
        if to == host or to not in self.running:
            return
        incarnation = max(1, self.incarnations[host] - age)
        old = make_heartbeat(host, max(0, self.counters[host] - 20 * age), incarnation)
        membership.apply_heartbeat(self.views[to], old, self.now)
        self.delivered[to, host] = self.now

    @rule(to=host, host=host)
    def deliver_final_heartbeat(self, to, host):
        """Deliver the final heartbeat of a process that has stopped."""
        if host not in self.running and to in self.running:
            self.ended[host] = self.incarnations[host]
            self.deliver(to, self.heartbeat(host, HostState.GONE))

    @rule()
    def refresh_list(self):
        """Update the platform's list; an incarnation that has left it has ended."""
        for host in self.HOSTS:
            if host not in self.running:
                self.ended[host] = self.incarnations[host]
        self.lists.append(self.list_running())

    @rule(to=host, lag=st.integers(0, 2))
    def read_list(self, to, lag):
        if to not in self.running:
            return
        shown = self.lists[max(0, len(self.lists) - 1 - lag)]
        rows = [ListedDaemon(h, f"{h}:1", "north", inc) for h, inc in shown.items()]
        membership.apply_host_list(self.views[to], rows, self.now)

    @invariant()
    def only_the_list_or_a_final_heartbeat_ends_an_incarnation(self):
        for view in getattr(self, "views", {}).values():
            for host, (incarnation, _) in view.ended.items():
                assert incarnation <= self.ended.get(host, 0), (host, incarnation)

    @invariant()
    def silent_hosts_are_not_alive(self):
        for to in getattr(self, "running", ()):
            view = self.views[to]
            for host in view.hosts.values():
                delivered_at = self.delivered.get((to, host.id), ZERO)
                silent = self.now - max(delivered_at, view.first_seen[host.id])
                if host.id != to and silent > membership.SUSPECT_AFTER + SECOND:
                    assert host.state is not HostState.ALIVE, host

    def teardown(self):
        """Remove every cut; each running host must become alive in every view."""
        if not hasattr(self, "views"):
            return
        self.cuts = set()
        self.step()
        for to in self.running:
            for host in self.running:
                seen = self.views[to].hosts[host]
                assert seen.state is HostState.ALIVE, (to, seen)
                assert seen.incarnation == self.incarnations[host]


class ViewsTest(TestCase):
    def test_views_recover_and_no_incarnation_ends_without_proof(self):
        run_state_machine_as_test(MembershipMachine)
