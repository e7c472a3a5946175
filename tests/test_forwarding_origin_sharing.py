"""Check how hosts find out, tell and publish where streams began."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import origin_sharing
from galenapass.forwarding.origin_messages import (
    OriginQuery,
    OriginReply,
    PublishedOrigins,
    decode_published,
    encode_published,
)
from galenapass.forwarding.origin_sharing import OriginHooks, OriginSharing
from galenapass.forwarding.service_versions import (
    STREAM_LIFETIME,
    ServiceVersion,
    VersionRow,
)
from galenapass.platform.messages import Failure, FailureCause, ObjectListing
from galenapass.verdicts import Run
from tests.fake_objects import FakeObjects
from tests.forwarding_fakes import MS, make_fleet, make_target

SECOND = timedelta(seconds=1)
OLD, NEW = ServiceVersion("lm", "v1"), ServiceVersion("lm", "v1.1")
SERVICES = ("lm",)


@dataclass
class FakeStore:
    """Store that can be away; ``lists`` counts its listings."""

    objects: FakeObjects = field(default_factory=FakeObjects)
    is_away: bool = False
    lists: int = 0

    async def write(self, kind, name, body, if_version=None):
        await asyncio.sleep(0)
        if self.is_away:
            return Err(Failure(FailureCause.UNAVAILABLE))
        return self.objects.write(name, body, if_version)

    async def list(self, kind, *, stale=False):
        self.lists += 1
        await asyncio.sleep(0)
        if self.is_away:
            return Err(Failure(FailureCause.UNAVAILABLE))
        items = tuple(self.objects.objects.values())
        return Ok(ObjectListing(self.objects.version, items))

    def publish(self, host, clock, records=(), versions=()):
        """Store what another host published."""
        published = PublishedOrigins(records, versions)
        body = encode_published(published, clock.now(), clock.monotonic())
        stored = self.objects.objects.get(host)
        self.objects.write(host, body, stored and stored.version)

    def read_published(self, host, clock):
        """Return what a host has published."""
        stored = self.objects.objects[host]
        return decode_published(stored.body, clock.now(), clock.monotonic())


class FakeHost:
    """Sharing of origins of one host; ``shared`` and ``asked`` list its messages."""

    def __init__(self, *versions, name="host-1", store=None, clock=None, **changes):
        self.is_scheduler = self.is_view_fresh = True
        self.shared, self.asked, self.outcomes, self.needs = [], [], [], []
        self.schedulers = 1
        self.publishing = None
        self.clock = clock or ManualClock()
        self.store = store or FakeStore()
        self.fleet = make_fleet()
        self.fleet.host = name
        self.set_versions(*versions)
        hooks = OriginHooks(
            share=self.shared.append,
            ask=self.ask,
            is_scheduler=lambda: self.is_scheduler,
            is_view_fresh=lambda: self.is_view_fresh,
            on_need=lambda: self.needs.append(self.sharing.needs_records),
            on_resumed=self.outcomes.append,
        )
        is_first_start = changes.get("is_first_start", True)
        self.sharing = OriginSharing(
            self.fleet, self.store, self.clock, hooks, is_first_start=is_first_start
        )

    def ask(self, query):
        self.asked.append(query)
        return self.schedulers

    def set_versions(self, *versions):
        targets = [make_target(f"e{n}", version=v) for n, v in enumerate(versions)]
        self.fleet.targets = {target.id: target for target in targets}

    async def publish(self):
        """Schedule, and wait until what there is to publish is published."""
        self.is_scheduler = True
        if self.publishing is None:
            self.publishing = asyncio.create_task(self.sharing.run_publishing())
        await asyncio.sleep(0.03)

    def stop_scheduling(self):
        self.is_scheduler = False
        self.publishing.cancel()
        self.publishing = None
        self.sharing.observe()

    def record(self, stream, origin, seconds=8):
        until = self.clock.monotonic() + seconds * SECOND
        self.sharing.record(stream, origin, until)


class OriginCase(TestCase):
    def setUp(self):
        super().setUp()
        for name in ("SHARE_DELAY", "PUBLISH_DELAY", "RETRY_DELAY", "READ_INTERVAL"):
            self.patch(origin_sharing, name, 1 * MS)
        self.patch(origin_sharing, "REPLY_TIMEOUT", 50 * MS)


class TestSchedulers(OriginCase):
    def test_a_host_that_schedules_again_does_not_know_what_served_meanwhile(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            host.clock.advance(2 * STREAM_LIFETIME)
            host.sharing.observe()
            self.assertEqual(Ok(OLD), await host.sharing.resolve(1, SERVICES), "before")
            host.stop_scheduling()
            # Meanwhile v1.1 served and left, which another host has seen.
            host.clock.advance(20 * SECOND)
            left = VersionRow(NEW, host.clock.monotonic() - 5 * SECOND)
            host.store.publish("host-2", host.clock, (), [VersionRow(OLD, None), left])
            await host.publish()
            return await host.sharing.resolve(2, SERVICES)

        self.assertIsInstance(asyncio.run(scenario()), Err)

    def test_a_host_that_schedules_again_is_uncertain_until_it_has_read(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            host.stop_scheduling()
            host.clock.advance(20 * SECOND)
            host.store.is_away = True
            await host.publish()
            return await host.sharing.resolve(2, SERVICES)

        self.assertIsInstance(asyncio.run(scenario()), Err)

    def test_a_version_that_left_long_ago_costs_no_take_up_after_a_restart(self):
        # Its row told no time since it was written, so it counted as just left.
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            host.set_versions("v1.1")
            host.sharing.observe()
            await host.publish()
            host.clock.advance(STREAM_LIFETIME)
            host.sharing.observe()
            await host.publish()
            restarted = FakeHost(
                "v1.1", store=host.store, clock=host.clock, is_first_start=False
            )
            await restarted.publish()
            return await restarted.sharing.resolve(1, SERVICES)

        self.assertEqual(Ok(NEW), asyncio.run(scenario()))


class TestQueries(OriginCase):
    def make_client(self, schedulers=1):
        host = FakeHost()
        host.is_scheduler, host.schedulers = False, schedulers
        return host

    def test_a_client_that_leaves_leaves_no_query_behind(self):
        host = self.make_client()

        async def scenario():
            asking = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0)
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)
            await asyncio.sleep(0.1)
            again = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0)
            host.sharing.apply_reply(OriginReply(1, OLD))
            return await again

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))
        self.assertEqual(2, len(host.asked))

    def test_one_scheduler_that_does_not_know_is_not_the_last_word(self):
        host = self.make_client(schedulers=2)

        async def scenario():
            asking = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0)
            host.sharing.apply_reply(OriginReply(1, None))
            await asyncio.sleep(0.01)
            host.sharing.apply_reply(OriginReply(1, OLD))
            return await asking

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))

    def test_a_stream_that_no_scheduler_knows_is_refused_at_once(self):
        host = self.make_client(schedulers=2)
        self.patch(origin_sharing, "REPLY_TIMEOUT", 60 * SECOND)

        async def scenario():
            asking = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0)
            for _ in range(2):
                host.sharing.apply_reply(OriginReply(1, None))
            async with asyncio.timeout(5):
                return await asking

        verdict = asyncio.run(scenario()).unwrap_err()
        self.assertIs(Run.NOT_RUN, verdict.run)

    def test_silent_schedulers_hold_a_take_up_for_a_bounded_time(self):
        host = self.make_client()
        self.assertIsInstance(asyncio.run(host.sharing.resolve(1, SERVICES)), Err)

    def test_a_host_without_a_scheduler_refuses_at_once(self):
        host = self.make_client(schedulers=0)
        self.patch(origin_sharing, "REPLY_TIMEOUT", 60 * SECOND)

        async def scenario():
            async with asyncio.timeout(5):
                return await host.sharing.resolve(1, SERVICES)

        self.assertIsInstance(asyncio.run(scenario()), Err)

    def test_take_ups_of_one_stream_share_a_query(self):
        host = self.make_client()

        async def scenario():
            asking = [
                asyncio.create_task(host.sharing.resolve(1, SERVICES)) for _ in "ab"
            ]
            await asyncio.sleep(0)
            host.sharing.apply_reply(OriginReply(1, OLD))
            return await asyncio.gather(*asking)

        self.assertEqual([Ok(OLD)] * 2, asyncio.run(scenario()))
        self.assertEqual([OriginQuery(1, SERVICES)], host.asked)
