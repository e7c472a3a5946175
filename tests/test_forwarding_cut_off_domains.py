"""Replay the partition of a failure domain of 28 hosts in a fleet of 84."""

import asyncio

from testtools import TestCase

from galenapass.forwarding.announcements import Announcement
from tests.cut_off_domain import Network
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

    def test_hosts_keep_schedulers_that_know_their_targets(self):
        # 20 of 28 hosts switched to hosts without targets and refused their requests.
        async def cut(network):
            network.is_cut = True
            await asyncio.sleep(3.0)
            names = [n for n, h in network.hosts.items() if h.selection.is_scheduler]
            self.assertEqual(sorted(network.designated), sorted(names))

        self.check_converged(self.replay(cut))

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

        self.replay(cut, seconds=9.0)

    def test_all_schedulers_are_killed_as_the_cut_begins(self):
        # Then hosts know only the targets that grants named.
        async def cut(network):
            network.is_cut = True
            for name in network.designated:
                network.kill(name)

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
