"""Replay the partition of a failure domain of 28 hosts in a fleet of 84."""

import asyncio
import zlib

from result import Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import schedulers
from galenapass.forwarding.announcements import Announcement
from galenapass.forwarding.datagrams import (
    Ping,
    Pong,
    decode_datagram,
    encode_datagram,
    encode_message,
)
from galenapass.forwarding.fleet import Fleet, apply_listing
from galenapass.forwarding.known_targets import (
    MAX_SIGHTING_AGE,
    MAX_SIGHTINGS,
    KnownTargets,
    Sighting,
    TargetList,
    TargetReport,
)
from galenapass.forwarding.schedulers import Contact, Contacts
from galenapass.forwarding.target_sharing import (
    MAX_BODY_BYTES,
    decode_targets,
    encode_targets,
)
from galenapass.tables.targets import TargetState
from tests.cut_off_domain import SECOND, Network
from tests.forwarding_fakes import make_target
from tests.jumping_loops import run_jumping

START, CUT, SETTLE = 2.0, 6.0, 1.0
MIN_SHARE = 0.9


async def play(network, change, seconds=6.0, heal=6.0):
    """Partition the domain for some seconds, heal it, and return the network."""
    network.start()
    await asyncio.sleep(START)
    sending = [asyncio.create_task(h.send_requests()) for h in network.hosts.values()]
    await asyncio.sleep(CUT - START)
    await change(network)
    await asyncio.sleep(CUT + seconds - asyncio.get_running_loop().time())
    network.is_cut, network.lag = False, 0.0
    network.rejected.clear()
    network.blocked.clear()
    await asyncio.sleep(heal)
    for task in sending:
        task.cancel()
    for host in network.hosts.values():
        host.stop()
    return network


class TestCutOffDomains(TestCase):
    def replay(self, change, seconds=6.0, **changes):
        async def main():
            network = Network()
            for name, value in changes.items():
                setattr(network, name, value)
            return await play(network, change, seconds)

        network = run_jumping(main())
        shares = network.count_served(CUT + SETTLE, CUT + seconds + 4.0)
        self.assertGreaterEqual(len(shares), len(network.hosts))
        self.assertEqual([], [n for n, share in shares.items() if share < MIN_SHARE])
        self.assertEqual(0, network.refusals["no engine serves"])
        self.assertEqual(0, network.refusals["no target serves"])
        return network

    def check_converged(self, network):
        """Check that only the designated schedulers schedule, with the store."""
        scheduling = [n for n, h in network.hosts.items() if h.selection.is_scheduler]
        self.assertEqual(sorted(network.designated), sorted(scheduling))
        for name, host in network.hosts.items():
            if name not in network.designated:
                best = host.selection.list_granting()[0]
                self.assertIn(best, network.designated)
                self.assertTrue(host.selection.has_fresh_view)

    def check_few_schedule(self, network):
        """Check that the hosts agree on the next schedulers."""
        scheduling = [h for h in network.hosts.values() if h.selection.is_scheduler]
        self.assertLessEqual(len(scheduling), 8)

    def test_hosts_keep_schedulers_that_know_their_targets(self):
        # 20 of 28 hosts switched to hosts without targets and refused their requests.
        async def cut(network):
            network.is_cut = True
            await asyncio.sleep(3.0)
            names = [n for n, h in network.hosts.items() if h.selection.is_scheduler]
            self.assertEqual(sorted(network.designated), sorted(names))

        self.check_converged(self.replay(cut))

    def test_a_cut_at_most_of_the_capacity_of_the_domain(self):
        async def cut(network):
            network.is_cut = True

        self.check_converged(self.replay(cut, holding_seconds=0.9))

    def test_all_schedulers_are_killed_at_most_of_the_capacity(self):
        async def cut(network):
            network.is_cut = True
            await asyncio.sleep(3.0)
            for name in network.designated:
                network.kill(name)

        self.replay(cut, seconds=9.0, holding_seconds=0.9)

    def test_a_cut_by_silent_loss(self):
        async def cut(network):
            network.is_cut = True

        self.check_converged(self.replay(cut, lag=1.5))

    def test_a_cut_in_one_direction(self):
        # Announcements of other domains still arrive and count as no answers.
        async def cut(network):
            network.is_cut = True
            for number in range(1, 20):
                for name in network.designated:
                    entry = network.entries["b0"]
                    announcement = Announcement("b0", number, 1)
                    receive = network.hosts[name].peering._receive
                    receive("b0", entry.address, announcement)
                await asyncio.sleep(0.25)

        self.check_converged(self.replay(cut))

    def test_a_cut_from_other_domains_but_not_from_the_store(self):
        async def cut(network):
            network.is_cut = True
            network.reaches_store = lambda host: True

        self.check_converged(self.replay(cut))

    def test_all_schedulers_are_killed_during_the_cut(self):
        async def cut(network):
            network.is_cut = True
            await asyncio.sleep(3.0)
            for name in network.designated:
                network.kill(name)
            await asyncio.sleep(4.0)
            self.check_few_schedule(network)

        self.replay(cut, seconds=9.0)

    def test_all_schedulers_are_killed_as_the_cut_begins(self):
        # Then hosts know only the targets that grants named.
        async def cut(network):
            network.is_cut = True
            for name in network.designated:
                network.kill(name)
            await asyncio.sleep(4.0)
            self.check_few_schedule(network)

        self.replay(cut)

    def test_a_scheduler_that_restarts_knows_its_targets_again(self):
        async def cut(network):
            network.is_cut = True
            await asyncio.sleep(1.0)
            name = network.designated[0]
            network.kill(name)
            await asyncio.sleep(0.3)
            host = network.restart(name)
            sending = asyncio.create_task(host.send_requests())
            await asyncio.sleep(3.0)
            sending.cancel()
            self.assertTrue(host.fleet.knows_service("lm"))

        self.replay(cut)

    def test_hosts_find_the_ones_that_reach_the_store(self):
        # A host never heard from serves better than a scheduler without the store.
        async def reject(network):
            others = [n for n in network.hosts if n not in network.designated]
            network.rejected = {*network.designated, *others[:9]}
            await asyncio.sleep(4.5)
            rejected = [network.hosts[name] for name in others[:9]]
            self.assertEqual([True] * 9, [h.selection.has_fresh_view for h in rejected])

        self.replay(reject)

    def test_a_scheduler_whose_answers_are_lost_is_left(self):
        # Its announcements reset the count of unanswered messages.
        async def block(network):
            name = network.designated[0]
            network.blocked = {(name, other) for other in network.hosts}

        self.replay(block)

    def test_two_partitions_overlap(self):
        async def cut(network):
            network.rejected = set(network.designated)
            await asyncio.sleep(1.5)
            network.is_cut = True
            await asyncio.sleep(1.5)
            network.rejected.clear()

        self.check_converged(self.replay(cut))


class TestKnownTargets(TestCase):
    def make_known(self):
        clock, fleet = ManualClock(), Fleet("h1", "a")
        clock.advance(100 * SECOND)
        return KnownTargets(fleet, clock), fleet, clock

    def test_granted_targets_are_bounded_and_expire(self):
        known, fleet, clock = self.make_known()
        for number in range(2 * MAX_SIGHTINGS):
            known.record_grant(make_target(f"t{number}"), clock.monotonic())
        self.assertEqual(MAX_SIGHTINGS, len(known.list_sightings()))
        clock.advance(MAX_SIGHTING_AGE + SECOND)
        self.assertIsNone(known.find_view_time())
        self.assertFalse(known.seed())
        self.assertFalse(fleet.knows_service("lm"))

    def test_a_target_that_left_is_not_known_again_by_an_older_grant(self):
        known, fleet, clock = self.make_known()
        target = make_target("t1", incarnation="1")
        apply_listing(fleet, [target], clock.monotonic())
        known.record_grant(target, clock.monotonic())
        apply_listing(fleet, [], clock.monotonic())
        self.assertFalse(known.seed())

    def test_a_target_that_a_later_list_does_not_name_is_not_used_again(self):
        # The list was applied first, and the older grant put the target back.
        known, fleet, clock = self.make_known()
        known.record_grant(make_target("t1", domain="a"), clock.monotonic())
        clock.advance(5 * SECOND)
        listed = TargetList("a", (make_target("t2", domain="a"),), clock.monotonic())
        known.apply_report(TargetReport(listed))
        known.seed(anew=True)
        self.assertEqual({"t2"}, set(fleet.targets))

    def test_a_list_of_a_domain_replaces_what_it_does_not_name(self):
        known, fleet, clock = self.make_known()
        targets = [make_target(f"t{n}", domain=d) for n, d in enumerate("aab")]
        apply_listing(fleet, targets, clock.monotonic())
        clock.advance(5 * SECOND)
        listed = TargetList("a", (targets[1],), clock.monotonic())
        known.apply_report(TargetReport(listed))
        known.seed()
        self.assertEqual({"t1", "t2"}, set(fleet.targets))

    def test_targets_known_long_before_the_last_grant_are_forgotten(self):
        # The host had scheduled minutes ago; they may have left since.
        known, fleet, clock = self.make_known()
        apply_listing(fleet, [make_target("t1")], clock.monotonic())
        clock.advance(3 * MAX_SIGHTING_AGE)
        known.record_grant(make_target("t2"), clock.monotonic())
        known.seed(anew=True)
        self.assertEqual({"t2"}, set(fleet.targets))

    def test_a_scheduler_without_the_store_keeps_the_targets_of_other_domains(self):
        # Another scheduler of its domain, which the store still answers, lists only
        # the targets of their domain.
        known, fleet, clock = self.make_known()
        targets = [make_target("t1"), make_target("t2", domain="b")]
        apply_listing(fleet, targets, clock.monotonic())
        clock.advance(3 * MAX_SIGHTING_AGE)
        listed = TargetList("a", (targets[0],), clock.monotonic())
        known.apply_report(TargetReport(listed))
        known.seed()
        self.assertEqual({"t1", "t2"}, set(fleet.targets))
        self.assertTrue(fleet.knows_service("desk"))

    def test_a_report_arrives_with_its_ages(self):
        known, _, clock = self.make_known()
        now = clock.monotonic()
        changing = make_target("t1", state=TargetState.CHANGING, slots=4, version="v1")
        listed = TargetList("a", (changing,), now - 3 * SECOND)
        sighting = Sighting(make_target("t2"), now - SECOND)
        report = TargetReport(listed, (sighting,), now - 2 * SECOND)
        decoded = decode_targets("a", *encode_targets(report, now), now)
        self.assertEqual(report, decoded)

    def test_a_report_that_is_cut_or_too_long_is_refused(self):
        now = 100 * SECOND
        head, payload = encode_targets(TargetReport(), now)
        for faulty in (payload[:-3], zlib.compress(b" " * (MAX_BODY_BYTES + 1))):
            error = None
            try:
                decode_targets("a", head, faulty, now)
            except ValueError as raised:
                error = raised
            self.assertIsNotNone(error)


class TestContacts(TestCase):
    def test_announcements_do_not_count_as_answers(self):
        # With a link that carries only one way, a scheduler whose answers are lost was
        # never left.
        contact = Contact(answered_at=SECOND)
        for _ in range(schedulers.MAX_UNANSWERED):
            schedulers.record_unanswered(contact)
            schedulers.record_contact(contact, 2 * SECOND)
        self.assertTrue(contact.is_unresponsive)
        schedulers.record_answer(contact, 3 * SECOND)
        self.assertFalse(contact.is_unresponsive)

    def test_a_scheduler_that_knows_its_targets_comes_before_the_never_heard(self):
        contacts = Contacts(["never", "empty", "old", "knows", "fresh"])
        for name, is_fresh, knows, viewed in (
            ("empty", False, False, 0),
            ("old", False, True, 10),
            ("knows", False, True, 30),
            ("fresh", True, True, 32),
        ):
            contact = contacts.get(name)
            schedulers.record_answer(contact, 40 * SECOND)
            schedulers.record_view(contact, is_fresh, knows, viewed * SECOND)
        self.assertEqual(
            ["fresh", "knows", "old", "never", "empty"],
            schedulers.order_contacts(contacts),
        )
        self.assertEqual(
            ["fresh", "knows", "old"], schedulers.list_granting(contacts, ["s1"])
        )
        self.assertIn("never", schedulers.list_granting(contacts, ["never"]))

    def test_a_view_that_was_told_long_ago_does_not_count(self):
        contacts = Contacts(["a", "b"])
        contact = contacts.get("b")
        schedulers.record_answer(contact, SECOND)
        schedulers.record_view(contact, True, True, SECOND)
        schedulers.expire_answers(contacts, 9 * SECOND, 3 * SECOND)
        self.assertFalse(schedulers.has_fresh(contacts))
        self.assertEqual(["a", "b"], schedulers.order_contacts(contacts))

    def test_messages_of_earlier_builds_are_read(self):
        now = 100 * SECOND
        pong = Pong(3, True, knows_targets=True, view_age=2 * SECOND)
        for message, older in (
            (pong, Pong(3, True)),
            (Ping(3, is_probe=True), Ping(3)),
        ):
            row = encode_message(message, now)
            earlier = encode_message(older, now)
            self.assertEqual(earlier, row[: len(earlier)])
            for each, expected in ((row, message), (earlier, older)):
                data = encode_datagram("h1", [each])
                self.assertEqual(Ok(("h1", [expected])), decode_datagram(data, now))


class TestCalmDays(TestCase):
    def test_no_host_but_the_schedulers_is_pinged_or_asked(self):
        # The bytes and calls of a calm day are to stay as they were.
        async def main():
            network = Network()
            asked = []
            for host in network.hosts.values():
                host.sharing.learn = lambda name=host.name: asked.append(name)

            async def stay(network):
                await asyncio.sleep(4.0)

            await play(network, stay)
            pinged = {n for h in network.hosts.values() for n in h.selection._pinged_at}
            return network, asked, pinged

        network, asked, pinged = run_jumping(main())
        self.assertEqual([], asked)
        self.assertEqual(set(network.designated), pinged)
        self.assertEqual({1.0}, set(network.count_served(START, CUT).values()))
