"""Test that hosts which reach no target serve their callers through other hosts."""

import asyncio
from collections import Counter

from testtools import TestCase

from experiments.soak.proxies import Disturbance
from galenapass.tables.targets import Role
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import run

# Two hosts in one failure domain and one in another.
DOMAINS = ("zone-a", "zone-a", "zone-b")
# From this time after a cut on, callers of the hosts that are cut off are to be served
# at least two thirds as often as the others.
CONTACT_SECONDS = 3.0
MIN_SHARE = 2 / 3
ROUNDS = 10


async def wait_for_hosts(fleet):
    """Wait until each host has listed the others."""
    daemons = fleet.daemons
    await fleet.wait_for(
        lambda: all(daemon.daemon_count == len(DOMAINS) for daemon in daemons), 10
    )


async def send_each(fleet, host, number):
    """Return which of a stream, a call that may run once and another are served."""
    streamed, held, seen = await asyncio.gather(
        fleet.send_stream(f"/notes/{number}", host=host),
        fleet.send(f"/hold/{number}", "POST", b"{}", host=host),
        fleet.send(f"/seats/{number}", host=host),
    )
    is_streamed = streamed[1] == 200 and streamed[2] == STREAM_BODY and streamed[3]
    return [is_streamed, held[0] == 200, seen[0] == 200]


async def measure_share(fleet, host):
    """Return the least share of a kind of request that is served at a host."""
    rounds = [
        await send_each(fleet, host, f"{host}-{number}") for number in range(ROUNDS)
    ]
    return min(sum(served) / ROUNDS for served in zip(*rounds, strict=True))


async def wait_for_contact(fleet, hosts):
    """Send requests to hosts until they count."""
    loop = asyncio.get_running_loop()
    end, number = loop.time() + CONTACT_SECONDS, 0
    while loop.time() < end:
        number += 1
        sends = (send_each(fleet, host, f"{host}-early-{number}") for host in hosts)
        await asyncio.gather(*sends)
        await asyncio.sleep(0.1)


def cut(links, disturbance, *, hangs):
    links.hangs, links.refuses = hangs, not hangs
    links.disturb(disturbance)


class TestCutOffHosts(TestCase):
    def check(self, disturbance, *, hangs, hosts=(0,)):
        async def scenario(fleet):
            await wait_for_hosts(fleet)
            await send_each(fleet, 0, "first")
            for host in hosts:
                cut(fleet.links[host], disturbance, hangs=hangs)
            await wait_for_contact(fleet, hosts)
            others = [n for n in range(len(DOMAINS)) if n not in hosts]
            expected = await measure_share(fleet, others[0])
            self.assertEqual(1.0, expected)
            for host in hosts:
                share = await measure_share(fleet, host)
                self.assertGreaterEqual(share, MIN_SHARE * expected)
            self.check_runs(fleet)

        run(scenario, domains=DOMAINS, linked=True)

    def check_runs(self, fleet):
        """Check that no call that may run once has run twice."""
        for service in (fleet.plain, fleet.second_plain):
            paths = {r.headers["X-Galenapass-Attempt-Id"]: r for r in service.received}
            once = [a for a in service.ran if paths[a].path.startswith("/hold/")]
            self.assertEqual([], [a for a, n in Counter(once).items() if n > 1])

    def test_cut_whose_connections_hang(self):
        self.check(Disturbance.SILENCE, hangs=True)

    def test_cut_whose_connections_are_reset(self):
        self.check(Disturbance.RESET, hangs=False)

    def test_cut_whose_open_connections_live_on(self):
        self.check(Disturbance.NONE, hangs=False)

    def test_cut_whose_open_connections_live_on_while_new_ones_hang(self):
        self.check(Disturbance.NONE, hangs=True)

    def test_cut_of_all_hosts_of_a_domain(self):
        self.check(Disturbance.SILENCE, hangs=True, hosts=(0, 1))


class TestDetours(TestCase):
    def play(self, scenario, domains=DOMAINS):
        """Run a scenario whose first host is cut off and knows it."""

        async def cut_first(fleet):
            await wait_for_hosts(fleet)
            cut(fleet.links[0], Disturbance.SILENCE, hangs=True)
            await wait_for_contact(fleet, [0])
            self.assertTrue(fleet.daemon.paths.is_cut_off)
            await scenario(fleet)

        run(cut_first, domains=domains, linked=True)

    def test_end_of_a_cut_is_noticed_without_a_request(self):
        async def scenario(fleet):
            fleet.links[0].heal()
            await fleet.wait_for(lambda: not fleet.daemon.paths.is_cut_off, 2.0)
            self.assertEqual([True] * 3, await send_each(fleet, 0, "healed"))
            self.assertEqual([0, 0], [d.tunnels.open for d in fleet.daemons[1:]])

        self.play(scenario)

    def test_gone_clients_of_a_host_that_is_cut_off_leave_the_target(self):
        async def scenario(fleet):
            peers = fleet.daemons[1:]
            pending = asyncio.create_task(
                fleet.send("/hold/long?seconds=2", "POST", b"{}")
            )
            await fleet.wait_for(lambda: any(peer.tunnels.open for peer in peers))
            pending.cancel()
            await fleet.wait_for(
                lambda: not any(peer.tunnels.open for peer in peers), 0.5
            )

        self.play(scenario)

    def test_lost_is_no_stream_through_a_host_that_stops(self):
        async def scenario(fleet):
            stream = asyncio.create_task(
                fleet.send_stream("/notes/long?seconds=0.1&events=6")
            )
            peer = fleet.daemons[1]
            await fleet.wait_for(lambda: peer.tunnels.open)
            await peer.stop()
            _, status, _, is_whole = await stream
            self.assertEqual((200, True), (status, is_whole))
            self.assertEqual([True] * 3, await send_each(fleet, 0, "later"))

        # So that the host which stops is the one that is asked.
        self.play(scenario, domains=("zone-a", "zone-a", "zone-b"))

    def test_no_order_of_a_role_takes_a_detour(self):
        async def scenario(fleet):
            before = [len(target.accepted_orders) for target in fleet.runners]
            await fleet.daemon.runner_client.order_role(
                fleet.daemon.fleet.targets["d1"], Role.PREFILL, "front-1", 1, 0
            )
            after = [len(target.accepted_orders) for target in fleet.runners]
            self.assertEqual(before, after)

        self.play(scenario)

    def test_a_host_that_is_cut_off_does_not_take_targets_for_crashed(self):
        async def scenario(fleet):
            self.assertEqual({}, fleet.store.objects.get("crashes", {}))

        self.play(scenario)
