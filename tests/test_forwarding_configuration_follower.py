"""Test how a host asks peers and the store for a version that it does not have."""

import asyncio
import dataclasses

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import SystemClock
from galenapass.forwarding import configuration_follower
from galenapass.forwarding.configuration_follower import (
    ConfigurationFollower,
    ConfigurationSources,
)
from galenapass.forwarding.configuration_updates import ConfigurationUpdates
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import RouteTable
from galenapass.platform.messages import Failure, FailureCause, StoredObject

HANGS = None
FAILS = Err(Failure(FailureCause.UNAVAILABLE))


def make_stored(version):
    return Ok(StoredObject("main", version, str(version)))


class FakeSources:
    """Store with prepared answers, and peers with versions; HANGS gives no answer."""

    def __init__(self, reads=(), peers=None):
        self.reads = list(reads)
        self.peers = peers or {}
        self.read_count = 0
        self.asked = []
        self.pong_at = None
        self.clock = SystemClock()
        self.fleet = Fleet("h1", "zone-a")
        self.fleet.routes = RouteTable(version=3)
        updates = ConfigurationUpdates(
            self.fleet, self.clock, self.decode, lambda: None, str
        )
        self.follower = ConfigurationFollower(
            self.fleet,
            updates,
            ConfigurationSources(
                self.read_store,
                lambda: list(self.peers),
                self.ask_peer,
                lambda: False,
                lambda: self.pong_at or self.clock.monotonic(),
            ),
            self.clock,
        )

    def decode(self, name, body):
        return self.decode_body(body)

    def decode_body(self, body):
        yield
        return Ok(RouteTable(version=int(body)))

    async def read_store(self, on_answer):
        self.read_count += 1
        answer = self.reads.pop(0) if len(self.reads) > 1 else self.reads[0]
        if answer is HANGS:
            await asyncio.sleep(60)
        on_answer()
        return answer

    async def ask_peer(self, peer):
        self.asked.append(peer)
        version = self.peers.get(peer, "gone")
        if version == "gone":
            return Err("refused")
        if version is HANGS:
            await asyncio.sleep(60)
        return make_stored(version) if version > self.fleet.routes.version else Ok(None)

    async def wait_for_version(self, version, seconds=2.0):
        async with asyncio.timeout(seconds):
            while self.fleet.routes.version != version:
                await asyncio.sleep(0.01)


class TestCatchingUp(TestCase):
    def follow(self, version, **options):
        sources = FakeSources(**options)

        async def main():
            sources.follower.handle_peer_version(version, "h9")
            await sources.wait_for_version(version)

        asyncio.run(main())
        return sources

    def test_a_peer_hands_it_on_without_a_call_to_the_store(self):
        sources = self.follow(6, reads=[FAILS], peers={"h2": 6})
        self.assertEqual(0, sources.read_count)

    def test_the_next_peer_is_asked_after_one_that_has_no_newer_version(self):
        sources = self.follow(6, reads=[FAILS], peers={"h2": 3, "h3": 6})
        self.assertEqual(["h2", "h3"], sources.asked)

    def test_the_store_is_asked_beside_a_peer_that_hangs(self):
        self.follow(6, reads=[make_stored(6)], peers={"h2": HANGS})

    def test_the_store_is_asked_again_after_a_failure(self):
        self.follow(6, reads=[FAILS, FAILS, make_stored(6)])

    def test_the_store_is_asked_again_beside_a_read_that_hangs(self):
        self.follow(6, reads=[HANGS, HANGS, make_stored(6)])

    def test_the_announcing_host_is_asked_where_no_scheduler_is_known(self):
        self.assertIn("h9", self.follow(6, reads=[FAILS, make_stored(6)]).asked)


class TestLimits(TestCase):
    def test_reads_that_hang_are_limited(self):
        sources = FakeSources(reads=[HANGS])

        async def main():
            sources.follower.handle_peer_version(6, "h9")
            await asyncio.sleep(3.0)
            return sources.read_count

        self.assertEqual(configuration_follower.MAX_READS, asyncio.run(main()))

    def test_a_version_that_the_store_does_not_have_is_given_up(self):
        sources = FakeSources(reads=[make_stored(3)])

        async def main():
            sources.follower.handle_peer_version(6, "h9")
            await asyncio.sleep(1.0)
            return sources.read_count, sources.follower.is_behind

        self.assertEqual((1, False), asyncio.run(main()))

    def test_a_read_from_before_an_announcement_does_not_end_the_search(self):
        sources = FakeSources(reads=[make_stored(6), make_stored(7)])
        read_store = sources.read_store

        async def read_slowly(on_answer):
            answer = await read_store(on_answer)
            await asyncio.sleep(0.2)
            return answer

        async def main():
            sources.follower.handle_peer_version(6, "h9")
            await asyncio.sleep(0.4)
            sources.follower.handle_peer_version(7, "h9")
            await sources.wait_for_version(7)

        sources.follower._sources = dataclasses.replace(
            sources.follower._sources, read_store=read_slowly
        )
        asyncio.run(main())
        self.assertEqual(2, sources.read_count)

    def test_a_known_version_is_not_read(self):
        sources = FakeSources(reads=[make_stored(3)])

        async def main():
            sources.follower.handle_peer_version(3, "h9")
            await asyncio.sleep(0.5)
            return sources.read_count

        self.assertEqual(0, asyncio.run(main()))


class TestChecks(TestCase):
    def count_reads(self, is_heard, seconds):
        sources = FakeSources(reads=[make_stored(3)])

        async def main():
            if not is_heard:
                sources.pong_at = sources.clock.monotonic()
            checks = asyncio.create_task(sources.follower.run_checks())
            await asyncio.sleep(seconds)
            checks.cancel()
            return sources.read_count

        return asyncio.run(main())

    def test_the_store_is_read_while_no_scheduler_is_heard(self):
        self.assertIn(self.count_reads(False, 3.6), (1, 2))

    def test_the_store_is_not_read_while_a_scheduler_is_heard(self):
        self.assertEqual(0, self.count_reads(True, 2.0))
