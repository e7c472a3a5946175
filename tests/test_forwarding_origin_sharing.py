"""Check how hosts find out, tell and publish where streams began."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import origin_queries, origin_sharing
from galenapass.forwarding.origin_messages import (
    OriginQuery,
    OriginReply,
    PublishedOrigins,
    StreamNotice,
    decode_published,
    encode_published,
)
from galenapass.forwarding.origin_sharing import OriginHooks, OriginSharing
from galenapass.forwarding.routes import RouteTable
from galenapass.forwarding.service_versions import (
    STREAM_LIFETIME,
    ServiceVersion,
    VersionRow,
)
from galenapass.forwarding.stream_origins import StreamRecord
from galenapass.platform.messages import Failure, FailureCause, ObjectListing
from galenapass.verdicts import Run
from tests.fake_objects import FakeObjects
from tests.forwarding_fakes import MS, make_fleet, make_route, make_target

SECOND = timedelta(seconds=1)
OLD, NEW = ServiceVersion("lm", "v1"), ServiceVersion("lm", "v1.1")
SERVICES = ("lm",)


@dataclass
class FakeStore:
    """Store that can be away; ``lists`` counts its listings."""

    objects: FakeObjects = field(default_factory=FakeObjects)
    epoch: int | None = None
    is_away: bool = False
    lists: int = 0

    async def write(self, kind, name, body, if_version=None):
        await asyncio.sleep(0)
        if self.is_away:
            return Err(Failure(FailureCause.UNAVAILABLE))
        return self.objects.write(name, body, if_version)

    async def delete(self, kind, name, if_version):
        await asyncio.sleep(0)
        if self.objects.objects[name].version != if_version:
            return Err(Failure(FailureCause.CONFLICT))
        del self.objects.objects[name]
        return Ok(None)

    async def list(self, kind, *, stale=False):
        self.lists += 1
        await asyncio.sleep(0)
        if self.is_away:
            return Err(Failure(FailureCause.UNAVAILABLE))
        items = tuple(self.objects.objects.values())
        return Ok(ObjectListing(self.objects.version, items, self.epoch))

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
        # The targets in the store, None for those that this host knows.
        self.stored_targets = None
        self.is_listing_slow = False
        hooks = OriginHooks(
            share=self.shared.append,
            ask=self.ask,
            list_targets=self.list_targets,
            is_scheduler=lambda: self.is_scheduler,
            is_view_fresh=lambda: self.is_view_fresh,
            find_epoch=lambda: self.store.epoch,
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

    async def list_targets(self):
        if self.store.is_away:
            return None
        targets = self.stored_targets
        targets = self.fleet.targets.values() if targets is None else targets
        listed = list(targets)
        await asyncio.sleep(0.05 if self.is_listing_slow else 0)
        return listed

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
        for name in (
            "SHARE_INTERVAL",
            "PUBLISH_INTERVAL",
            "RETRY_DELAY",
            "READ_INTERVAL",
        ):
            self.patch(origin_sharing, name, 1 * MS)
        self.patch(origin_queries, "REPLY_TIMEOUT", 50 * MS)


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
            host.sharing.queries.apply_reply(OriginReply(1, OLD))
            return await again

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))
        self.assertEqual(2, len(host.asked))

    def test_one_scheduler_that_does_not_know_is_not_the_last_word(self):
        host = self.make_client(schedulers=2)

        async def scenario():
            asking = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0)
            host.sharing.queries.apply_reply(OriginReply(1, None))
            await asyncio.sleep(0.01)
            host.sharing.queries.apply_reply(OriginReply(1, OLD))
            return await asking

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))

    def test_a_stream_that_no_scheduler_knows_is_refused_at_once(self):
        host = self.make_client(schedulers=2)
        self.patch(origin_queries, "REPLY_TIMEOUT", 60 * SECOND)

        async def scenario():
            asking = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0)
            for _ in range(2):
                host.sharing.queries.apply_reply(OriginReply(1, None))
            async with asyncio.timeout(5):
                return await asking

        verdict = asyncio.run(scenario()).unwrap_err()
        self.assertIs(Run.NOT_RUN, verdict.run)

    def test_silent_schedulers_hold_a_take_up_for_a_bounded_time(self):
        host = self.make_client()
        self.assertIsInstance(asyncio.run(host.sharing.resolve(1, SERVICES)), Err)

    def test_a_host_without_a_scheduler_refuses_at_once(self):
        host = self.make_client(schedulers=0)
        self.patch(origin_queries, "REPLY_TIMEOUT", 60 * SECOND)

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
            host.sharing.queries.apply_reply(OriginReply(1, OLD))
            return await asyncio.gather(*asking)

        self.assertEqual([Ok(OLD)] * 2, asyncio.run(scenario()))
        self.assertEqual([OriginQuery(1, SERVICES)], host.asked)


class TestRecords(OriginCase):
    def test_nothing_is_told_or_written_of_streams_while_one_version_serves(self):
        host = FakeHost("v1", "v1")

        async def scenario():
            await host.publish()
            host.sharing.observe()
            host.record(1, OLD)
            await asyncio.sleep(0.03)
            return await host.sharing.resolve(2, SERVICES)

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))
        self.assertEqual([], host.shared)
        published = host.store.read_published("host-1", host.clock)
        self.assertEqual([], list(published.records))
        self.assertEqual(["only version"], host.outcomes)

    def test_open_streams_are_told_and_published_once_a_second_version_joins(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            host.sharing.observe()
            host.record(1, OLD)
            host.set_versions("v1", "v1.1")
            host.sharing.observe()
            await host.publish()

        asyncio.run(scenario())
        record = StreamRecord(1, OLD, 8 * SECOND)
        self.assertEqual([StreamNotice((record,))], host.shared)
        published = host.store.read_published("host-1", host.clock)
        self.assertEqual([record], list(published.records))
        self.assertEqual([False, True], host.needs)

    def test_a_host_that_is_lost_right_after_a_first_event_has_told_its_stream(self):
        self.patch(origin_sharing, "SHARE_INTERVAL", 20 * MS)
        host = FakeHost("v1", "v1.1")
        host.clock.advance(SECOND)

        async def scenario():
            host.record(1, OLD)
            at_once = list(host.shared)
            for stream in (2, 3):
                host.record(stream, NEW)
            soon = list(host.shared)
            await asyncio.sleep(0.05)
            return at_once, soon

        first = StreamNotice((StreamRecord(1, OLD, 9 * SECOND),))
        at_once, soon = asyncio.run(scenario())
        self.assertEqual(([first], [first]), (at_once, soon))
        more = tuple(StreamRecord(stream, NEW, 9 * SECOND) for stream in (2, 3))
        self.assertEqual([first, StreamNotice(more)], host.shared)

    def test_the_first_stream_after_a_pause_is_published_at_once(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            self.patch(origin_sharing, "PUBLISH_INTERVAL", 60 * SECOND)
            host.clock.advance(60 * SECOND)
            host.record(1, OLD)
            await host.publish()
            host.record(2, OLD)
            await host.publish()
            return host.store.read_published("host-1", host.clock)

        published = asyncio.run(scenario())
        self.assertEqual([1], [record.stream for record in published.records])

    def test_what_a_client_of_this_host_tells_is_passed_on_and_published(self):
        host = FakeHost("v1", "v1.1")
        notice = StreamNotice((StreamRecord(1, NEW, 8 * SECOND),))

        async def scenario():
            await host.publish()
            host.sharing.apply_notice(notice, from_client=True)
            host.sharing.apply_notice(notice, from_client=True)
            await host.publish()
            return await host.sharing.resolve(1, SERVICES)

        self.assertEqual(Ok(NEW), asyncio.run(scenario()))
        self.assertEqual([notice], host.shared)
        published = host.store.read_published("host-1", host.clock)
        self.assertEqual(notice.records, tuple(published.records))

    def test_what_another_scheduler_tells_is_not_passed_on(self):
        host = FakeHost("v1", "v1.1")
        notice = StreamNotice((StreamRecord(1, NEW, 8 * SECOND),))

        async def scenario():
            await host.publish()
            host.sharing.apply_notice(notice, from_client=False)
            await host.publish()

        asyncio.run(scenario())
        self.assertEqual([], host.shared)

    def test_a_version_that_a_peer_names_first_ends_certainty(self):
        # Its watch of the store was faster than this host's.
        host = FakeHost("v1")
        notice = StreamNotice((StreamRecord(1, NEW, 8 * SECOND),))

        async def scenario():
            await host.publish()
            host.sharing.apply_notice(notice, from_client=False)
            return await host.sharing.resolve(2, SERVICES)

        self.assertIsInstance(asyncio.run(scenario()), Err)

    def test_records_survive_the_restart_of_all_hosts(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            host.record(1, OLD)
            await host.publish()
            host.publishing.cancel()
            host.clock.advance(2 * SECOND)
            changes = {"store": host.store, "clock": host.clock}
            for name in ("host-1", "host-2"):
                started = FakeHost("v1", name=name, is_first_start=False, **changes)
                await started.publish()
                self.assertEqual(Ok(OLD), await started.sharing.resolve(1, SERVICES))
                self.assertIsInstance(await started.sharing.resolve(2, SERVICES), Err)
                # Its first write must not drop what it wrote before its start.
                started.record(3, OLD)
                await started.publish()
            return host.store.read_published("host-1", host.clock)

        published = asyncio.run(scenario())
        self.assertEqual({1, 3}, {record.stream for record in published.records})

    def test_records_are_written_again_to_a_restored_store(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            copy = host.store.objects.copy()
            host.record(1, OLD)
            await host.publish()
            host.store.objects.restore(copy)
            host.sharing.publish_again()
            await host.publish()
            return host.store.read_published("host-1", host.clock)

        published = asyncio.run(scenario())
        self.assertEqual([1], [record.stream for record in published.records])

    def test_order_hosts_that_start_after_a_restore_do_not_know_all_versions(self):
        # A version that came and left since the copy was passed over.
        host = FakeHost("v1")
        host.store.epoch = 1
        changes = {"store": host.store, "clock": host.clock, "is_first_start": False}

        async def resolve(name):
            started = FakeHost("v1", name=name, **changes)
            await started.publish()
            return started, await started.sharing.resolve(1, SERVICES)

        async def scenario():
            await host.publish()
            _, before = await resolve("host-2")
            self.assertEqual(Ok(OLD), before)
            host.store.epoch = 2
            for name in ("host-2", "host-3"):
                started, unknown = await resolve(name)
                self.assertIs(Run.NOT_RUN, unknown.err_value.run)
            host.sharing.publish_again()
            await host.publish()
            # A host that has seen all of them writes again.
            self.assertEqual(Ok(OLD), await started.sharing.resolve(1, SERVICES))

        asyncio.run(scenario())

    def test_order_what_a_host_without_knowledge_writes_makes_no_other_one_certain(
        self,
    ):
        # Neither knows what served before it, and a store that names no epoch tells
        # nothing of that.
        host = FakeHost("v1", is_first_start=False)

        async def scenario():
            await host.publish()
            host.store.publish("host-2", host.clock, (), (VersionRow(OLD, None),))
            return await host.sharing.resolve(1, SERVICES)

        self.assertIsInstance(asyncio.run(scenario()), Err)

    def test_order_hosts_that_start_after_a_restore_know_all_versions_in_the_end(self):
        host = FakeHost("v1", is_first_start=False)
        host.store.epoch = 2
        changes = {"store": host.store, "clock": host.clock, "is_first_start": False}

        async def scenario():
            await host.publish()
            host.clock.advance(STREAM_LIFETIME)
            host.sharing.observe()
            await host.publish()
            started = FakeHost("v1", name="host-2", **changes)
            await started.publish()
            return await started.sharing.resolve(1, SERVICES)

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))

    def test_a_write_that_failed_is_made_up_for(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            host.store.is_away = True
            host.record(1, OLD)
            await host.publish()
            host.store.is_away = False
            await host.publish()
            return host.store.read_published("host-1", host.clock)

        published = asyncio.run(scenario())
        self.assertEqual([1], [record.stream for record in published.records])


class TestTakeUps(OriginCase):
    def resolve(self, host, stream=1, services=SERVICES):
        async def scenario():
            await host.publish()
            return await host.sharing.resolve(stream, services)

        return asyncio.run(scenario())

    def test_a_stream_is_unknown_without_updates_of_the_store(self):
        host = FakeHost("v1")
        host.is_view_fresh = False
        self.assertIsInstance(self.resolve(host), Err)

    def test_what_is_recorded_is_known_without_the_store(self):
        host = FakeHost("v1", "v1.1")
        host.is_view_fresh, host.store.is_away = False, True

        async def scenario():
            host.record(1, OLD)
            return await host.sharing.resolve(1, SERVICES)

        self.assertEqual(Ok(OLD), asyncio.run(scenario()))
        self.assertEqual(0, host.store.lists)

    def test_a_stream_that_another_host_is_about_to_publish_is_found(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            asking = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            while host.store.lists < 2:
                await asyncio.sleep(0)
            host.store.publish("host-2", host.clock, [StreamRecord(1, NEW, 8 * SECOND)])
            return await asking

        self.assertEqual(Ok(NEW), asyncio.run(scenario()))

    def test_a_burst_of_unknown_take_ups_shares_the_reads(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            before = host.store.lists
            found = await asyncio.gather(
                *(host.sharing.resolve(stream, SERVICES) for stream in range(50))
            )
            return found, host.store.lists - before

        found, reads = asyncio.run(scenario())
        self.assertTrue(all(isinstance(each, Err) for each in found))
        self.assertEqual(2, reads)

    def test_a_store_that_does_not_answer_holds_a_take_up_for_a_bounded_time(self):
        self.patch(origin_sharing, "READ_TIMEOUT", 20 * MS)
        host = FakeHost("v1", "v1.1")

        async def hang(kind, *, stale=False):
            await asyncio.sleep(60)

        async def scenario():
            await host.publish()
            host.store.list = hang
            async with asyncio.timeout(5):
                return await host.sharing.resolve(1, SERVICES)

        self.assertIsInstance(asyncio.run(scenario()), Err)

    def test_a_route_that_leads_to_two_services_needs_a_record(self):
        host = FakeHost("v1")
        self.assertIsInstance(self.resolve(host, services=("lm", "desk")), Err)

    def test_a_stream_of_a_service_that_the_route_has_left_is_refused(self):
        host = FakeHost("v1")
        notice = StreamNotice((StreamRecord(1, OLD, 8 * SECOND),))
        host.sharing.apply_notice(notice, from_client=False)
        self.assertIsInstance(self.resolve(host, services=("desk",)), Err)
        self.assertEqual(["the route leads elsewhere"], host.outcomes)

    def test_a_route_that_comes_from_another_service_ends_certainty(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            first = await host.sharing.resolve(1, SERVICES)
            for version, service in ((2, "desk"), (3, "lm")):
                route = make_route(split=((service, 1.0),))
                host.fleet.routes = RouteTable(version, {"a.example": (route,)})
                host.sharing.observe()
            return first, await host.sharing.resolve(2, SERVICES)

        first, later = asyncio.run(scenario())
        self.assertEqual(Ok(OLD), first)
        self.assertIsInstance(later, Err)

    def test_targets_that_name_no_version_have_one_in_common(self):
        host = FakeHost("", "")
        self.assertEqual(Ok(ServiceVersion("lm", "")), self.resolve(host))

    def test_an_id_that_is_used_at_two_versions_is_refused_at_once(self):
        host = FakeHost("v1", "v1.1")

        async def scenario():
            await host.publish()
            host.record(1, OLD)
            host.record(1, NEW)
            before = host.store.lists
            found = await host.sharing.resolve(1, SERVICES)
            return found, host.store.lists - before

        found, reads = asyncio.run(scenario())
        self.assertIsInstance(found, Err)
        self.assertEqual(0, reads)

    def test_unreadable_objects_of_other_hosts_hide_nothing(self):
        host = FakeHost("v1", "v1.1")
        for name, body in (("a", "7"), ("b", "{}"), ("c", "")):
            host.store.objects.write(name, body, None)
        host.store.publish("host-2", host.clock, [StreamRecord(1, NEW, 8 * SECOND)])
        self.assertEqual(Ok(NEW), self.resolve(host))


class TestStaleViews(OriginCase):
    def test_order_a_host_with_a_stale_view_knows_only_the_older_version(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            # Meanwhile a version joined, began a stream and was published.
            record = StreamRecord(1, NEW, host.clock.monotonic() + 8 * SECOND)
            rows = (VersionRow(OLD, None), VersionRow(NEW, None))
            host.store.publish("host-2", host.clock, [record], rows)
            return [await host.sharing.resolve(stream, SERVICES) for stream in (1, 2)]

        published, unknown = asyncio.run(scenario())
        self.assertEqual(Ok(NEW), published)
        self.assertIs(Run.NOT_RUN, unknown.unwrap_err().run)

    def test_order_a_version_has_joined_that_no_host_has_told(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            host.stored_targets = [make_target("e1", version=v) for v in ("v1", "v1.1")]
            return await host.sharing.resolve(1, SERVICES)

        self.assertIs(Run.NOT_RUN, asyncio.run(scenario()).unwrap_err().run)

    def test_order_a_version_has_joined_since_the_store_was_asked(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            host.is_listing_slow = True
            host.clock.advance(1 * SECOND)
            earlier = asyncio.create_task(host.sharing.resolve(1, SERVICES))
            await asyncio.sleep(0.02)
            host.clock.advance(1 * SECOND)
            host.stored_targets = [make_target("e1", version=v) for v in ("v1", "v1.1")]
            later = await host.sharing.resolve(2, SERVICES)
            return await earlier, later

        earlier, later = asyncio.run(scenario())
        self.assertEqual(Ok(OLD), earlier)
        self.assertIs(Run.NOT_RUN, later.unwrap_err().run)

    def test_order_no_version_is_the_only_one_while_the_store_does_not_answer(self):
        host = FakeHost("v1")

        async def scenario():
            await host.publish()
            known = await host.sharing.resolve(1, SERVICES)
            host.store.is_away = True
            return known, await host.sharing.resolve(1, SERVICES)

        known, unknown = asyncio.run(scenario())
        self.assertEqual(Ok(OLD), known)
        self.assertIs(Run.NOT_RUN, unknown.unwrap_err().run)

    def resolve_later(self, host, rows):
        """Resolve streams long after the start, as another host publishes rows."""

        async def scenario():
            await host.publish()
            host.clock.advance(2 * STREAM_LIFETIME)
            host.sharing.observe()
            before = await host.sharing.resolve(1, SERVICES)
            # This host was cut off from the store for a moment.
            host.store.publish("host-2", host.clock, (), rows(host.clock.monotonic()))
            return before, await host.sharing.resolve(2, SERVICES)

        return asyncio.run(scenario())

    def test_order_a_version_came_and_left_while_a_host_was_cut_off(self):
        before, after = self.resolve_later(
            FakeHost("v1"),
            lambda now: (VersionRow(OLD, None), VersionRow(NEW, now - 2 * SECOND)),
        )
        self.assertEqual(Ok(OLD), before)
        self.assertIs(Run.NOT_RUN, after.unwrap_err().run)

    def test_order_a_known_version_came_back_while_a_host_was_cut_off(self):
        host = FakeHost("v1", "v1.1")
        host.sharing.observe()
        host.set_versions("v1")
        before, after = self.resolve_later(
            host, lambda now: (VersionRow(OLD, None), VersionRow(NEW, None))
        )
        self.assertEqual(Ok(OLD), before)
        self.assertIs(Run.NOT_RUN, after.unwrap_err().run)

    def test_lost_two_hosts_keep_a_version_that_has_left_in_memory(self):
        # Each would read of the other, a little later, when it left.
        clock, store = ManualClock(), FakeStore()
        hosts = [
            FakeHost("v1", "v1.1", name=name, store=store, clock=clock)
            for name in ("host-1", "host-2")
        ]

        async def scenario():
            for host in hosts:
                await host.publish()
            for host in hosts:
                host.set_versions("v1")
                host.sharing.observe()
            found = []
            for second in range(70):
                clock.advance(SECOND)
                for host in hosts:
                    host.record(100 + second, OLD)
                    host.sharing.observe()
                    found = [*found[-1:], await host.sharing.resolve(1, SERVICES)]
                await asyncio.sleep(0.01)
            return found

        self.assertEqual([Ok(OLD)] * 2, asyncio.run(scenario()))

    def test_lost_an_object_of_a_host_that_is_gone_makes_its_version_new_again(self):
        host = FakeHost("v1.1")
        host.store.publish("gone", host.clock, (), (VersionRow(OLD, None),))

        async def scenario():
            await host.publish()
            host.clock.advance(2 * STREAM_LIFETIME)
            host.sharing.observe()
            return [await host.sharing.resolve(n, SERVICES) for n in (1, 2)]

        self.assertEqual([Ok(NEW), Ok(NEW)], asyncio.run(scenario()))


class TestRemoval(OriginCase):
    def setUp(self):
        super().setUp()
        self.patch(origin_sharing, "REMOVAL_DELAY", 20 * MS)

    def remove(self, host, change=lambda: None):
        """Return the names of the objects some time after a version has left.

        ``change`` is called between the two looks at the objects.
        """

        async def scenario():
            await host.publish()
            removing = asyncio.create_task(host.sharing.run_removal())
            host.clock.advance(STREAM_LIFETIME)
            host.sharing.observe()
            await asyncio.sleep(0.03)
            change()
            await asyncio.sleep(0.1)
            removing.cancel()
            return set(host.store.objects.objects)

        return asyncio.run(scenario())

    def test_lost_an_object_of_a_host_that_is_gone_makes_each_start_uncertain(self):
        # Take-ups that are recorded nowhere were refused for a minute.
        host = FakeHost("v1.1")
        host.store.publish("gone", host.clock, (), (VersionRow(OLD, None),))
        self.remove(host)
        restarted = FakeHost(
            "v1.1", store=host.store, clock=host.clock, is_first_start=False
        )

        async def scenario():
            await restarted.publish()
            return await restarted.sharing.resolve(1, SERVICES)

        self.assertEqual(Ok(NEW), asyncio.run(scenario()))

    def test_an_object_that_is_still_written_stays(self):
        host = FakeHost("v1.1")
        rows = (VersionRow(OLD, None),)
        host.store.publish("gone", host.clock, (), rows)
        host.store.publish("host-2", host.clock, (), rows)
        names = self.remove(
            host, lambda: host.store.publish("host-2", host.clock, (), rows)
        )
        self.assertEqual({"host-1", "host-2"}, names)

    def test_an_object_that_names_versions_in_service_stays(self):
        host = FakeHost("v1.1")
        host.store.publish("gone", host.clock, (), (VersionRow(OLD, None),))
        host.store.publish("host-2", host.clock, (), (VersionRow(NEW, None),))
        self.assertEqual({"host-1", "host-2"}, self.remove(host))

    def test_a_host_without_updates_of_the_store_removes_nothing(self):
        host = FakeHost("v1.1")
        host.store.publish("gone", host.clock, (), (VersionRow(OLD, None),))
        host.is_view_fresh = False
        self.assertEqual({"gone", "host-1"}, self.remove(host))
