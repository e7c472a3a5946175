"""Test links between daemons on real sockets of the loopback interface."""

import asyncio
import time
from datetime import timedelta
from random import Random

from eliot.testing import MemoryLogger, swap_logger
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.peers import PeerNetwork
from galenapass.peers.links import dial
from galenapass.tables.crashes import Crash
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import (
    CrashSuspect,
    DemandUse,
    Drain,
    DrainAck,
    HostChange,
    LimitUse,
    LinkChange,
    Orders,
    Settings,
    TargetReport,
    TargetUse,
)

WAIT_TIMEOUT = 20.0  # seconds
PERIOD = timedelta(milliseconds=100)


def make_network(number, join=(), domain="north", secret="s3cret", **options):
    options.setdefault("period", PERIOD)
    peers = PeerNetwork(
        f"entry-{number}",
        domain,
        options.pop("incarnation", 1),
        options.pop("listen", f"127.0.0.{number}:0"),
        secret,
        join,
        SystemClock(),
        Random(number),
        **options,
    )
    peers.received = []
    peers.updates.subscribe(peers.received.append)
    return peers


async def wait_until(condition):
    end = time.monotonic() + WAIT_TIMEOUT
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(
                f"condition not met within {WAIT_TIMEOUT} s: {condition}"
            )
        await asyncio.sleep(0.02)


async def start_group(count, **options):
    first = make_network(1, **options)
    await first.start()
    group = [first]
    for number in range(2, count + 1):
        peers = make_network(number, [first.address], **options)
        await peers.start()
        group.append(peers)
    return group


async def stop_group(group):
    for peers in group:
        await peers.stop()


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 3 * WAIT_TIMEOUT))


async def catch_rpc_error(awaitable):
    try:
        await awaitable
    except GRPCError as error:
        return error
    raise AssertionError("no GRPCError was raised")


def count_alive(peers):
    return sum(h.state is HostState.ALIVE for h in peers.hosts.values())


class LinksTest(TestCase):
    def test_every_daemon_discovers_all_others_from_one_join_address(self):
        async def scenario():
            group = await start_group(5)
            await wait_until(lambda: all(count_alive(p) == 5 for p in group))
            await wait_until(lambda: all(len(p.links) == 4 for p in group))
            for peers in group:
                changes = [i for i in peers.received if isinstance(i, HostChange)]
                self.assertEqual(5, len({change.host for change in changes}))
            await stop_group(group)

        run(scenario())

    def test_each_kind_of_item_arrives_unchanged_and_once(self):
        items = [
            Drain("runner-1", 3),
            DrainAck("entry-1", 1, "runner-1", 3, 2),
            CrashSuspect("f00d", frozenset({Crash("runner-1", "i1")})),
            DemandUse("entry-1", "assistant", 5, 1.5, 0.25),
            LimitUse("entry-1", "guides", 5, 40.0, 20.5),
            Orders("north", 9, "[order 1]\n" * 500),
            TargetUse("entry-1", "runner-1", 3, 15, 0),
            TargetReport("runner-1", "b", 7, 4, 1, 12, 9, 2000, 16),
        ]

        async def scenario():
            group = await start_group(3)
            await wait_until(lambda: all(len(p.links) == 2 for p in group))
            for item in items:
                group[0].publish(item)
            for peers in group[1:]:
                await wait_until(
                    lambda received=peers.received: set(items) <= set(received)
                )
            await stop_group(group)
            for peers in group[1:]:
                counts = [peers.received.count(item) for item in items]
                self.assertEqual([1] * len(items), counts)

        run(scenario())

    def test_urgent_items_and_settings_are_relayed_without_waiting_for_a_round(self):
        async def scenario():
            group = await start_group(3)
            first, _, third = group
            await wait_until(lambda: all(len(p.links) == 2 for p in group))
            for peers in group:
                peers._round_task.cancel()
            first.links["entry-3"].close()
            await wait_until(lambda: len(first.links) == len(third.links) == 1)
            ack = DrainAck("entry-1", 1, "runner-1", 1, 0)
            first.publish(ack)
            await wait_until(lambda: ack in third.received)
            first.publish(Settings(1, "[fleet]\n"))
            first.publish(Settings(2, "[fleet]\na = b\n"))
            await wait_until(lambda: third.settings.version == 2)
            await stop_group(group)

        run(scenario())

    def test_a_wrong_secret_is_refused_and_not_logged(self):
        logger = MemoryLogger()
        previous_logger = swap_logger(logger)
        self.addCleanup(swap_logger, previous_logger)

        async def scenario():
            first = make_network(1)
            await first.start()
            second = make_network(2, [first.address], secret="gu3ss")
            await second.start()
            await wait_until(lambda: any("refused" in m["text"] for m in list_logged()))
            hello, served = second._make_hello(), []
            error = await catch_rpc_error(
                dial(first.address, "gu3ss", hello, served.append)
            )
            self.assertEqual((Status.UNAUTHENTICATED, []), (error.status, served))
            self.assertEqual(({}, {}), (first.links, second.links))
            self.assertEqual(["entry-1"], list(first.hosts))
            await stop_group([first, second])

        def list_logged():
            return [m for m in logger.messages if "text" in m]

        run(scenario())
        for secret in ("s3cret", "gu3ss"):
            self.assertNotIn(secret, str(logger.messages))

    def test_an_empty_secret_is_an_error(self):
        self.assertRaises(ValueError, make_network, 1, secret="")

    def test_a_restarted_daemon_is_linked_again_as_a_new_incarnation(self):
        async def scenario():
            first, second = await start_group(2)
            await wait_until(lambda: count_alive(first) == 2)
            address = second.address
            await second.stop()
            await wait_until(lambda: "entry-2" not in first.hosts)
            restarted = make_network(2, [first.address], incarnation=2, listen=address)
            await restarted.start()
            await wait_until(
                lambda: (
                    first.hosts.get("entry-2")
                    and first.hosts["entry-2"].incarnation == 2
                )
            )
            await wait_until(lambda: "entry-2" in first.links)
            await stop_group([first, restarted])

        run(scenario())

    def test_a_restart_with_a_known_incarnation_raises_it(self):
        async def scenario():
            first, second = await start_group(2)
            await wait_until(lambda: count_alive(first) == 2)
            second.leave()
            await wait_until(lambda: first.hosts["entry-2"].state is HostState.LEAVING)
            stop_abruptly(second)
            restarted = make_network(2, [first.address])
            await restarted.start()
            await wait_until(lambda: restarted.incarnation == 2)
            await wait_until(lambda: first.hosts["entry-2"].incarnation == 2)
            self.assertIs(HostState.ALIVE, first.hosts["entry-2"].state)
            await stop_group([first, restarted])

        run(scenario())

    def test_a_restarted_daemon_is_redialled_and_receives_newer_settings(self):
        async def scenario():
            first, second = await start_group(2)
            await wait_until(lambda: first.links and second.links)
            first.publish(Settings(4, "[fleet]\n"))
            await wait_until(lambda: second.settings.version == 4)
            address = first.address
            stop_abruptly(first)
            await wait_until(lambda: LinkChange("entry-1", False) in second.received)
            second.publish(Settings(5, "[fleet]\na = b\n"))
            restarted = make_network(1, incarnation=2, listen=address)
            await restarted.start()
            await wait_until(
                lambda: restarted.settings == Settings(5, "[fleet]\na = b\n")
            )
            await stop_group([second, restarted])

        run(scenario())

    def test_settings_that_fail_the_check_are_not_adopted(self):
        async def scenario():
            group = await start_group(2, check=lambda text: "bad" not in text)
            await wait_until(lambda: all(p.links for p in group))
            group[0].publish(Settings(2, "good"))
            group[0].publish(Settings(3, "bad"))
            await wait_until(lambda: group[1].settings.version == 2)
            self.assertEqual(2, group[0].settings.version)
            await stop_group(group)

        run(scenario())

    def test_a_failing_subscriber_does_not_end_a_link(self):
        def raise_error(item):
            raise ValueError(item)

        async def scenario():
            group = await start_group(2)
            group[1].updates.subscribe(raise_error)
            await wait_until(lambda: all(p.links for p in group))
            link = group[1].links["entry-1"]
            group[0].publish(Drain("runner-1", 1))
            await wait_until(lambda: Drain("runner-1", 1) in group[1].received)
            group[0].publish(Drain("runner-1", 2))
            await wait_until(lambda: Drain("runner-1", 2) in group[1].received)
            self.assertIs(link, group[1].links["entry-1"])
            await stop_group(group)

        run(scenario())


def stop_abruptly(peers):
    """Stop a daemon without its final heartbeat."""
    peers._round_task.cancel()
    for link in peers.links.values():
        link.close()
    peers._listener._server.close()
    for task in peers._dialler._dials.values():
        task.cancel()
