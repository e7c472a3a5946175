"""Test what is known of the software versions at which streams began."""

from datetime import UTC, datetime, timedelta

from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding import datagrams, placement
from galenapass.forwarding.capacity import Capacity
from galenapass.forwarding.origin_messages import (
    CLOCK_TOLERANCE,
    OriginQuery,
    OriginReply,
    PublishedOrigins,
    StreamNotice,
    decode_published,
    encode_published,
    split_notice,
)
from galenapass.forwarding.permits import Permits
from galenapass.forwarding.service_versions import (
    ANOTHER_SERVICE,
    STREAM_LIFETIME,
    ServiceVersion,
    VersionHistory,
    VersionRow,
)
from galenapass.forwarding.slot_requests import SlotRequest, Stage
from galenapass.forwarding.stream_origins import (
    MAX_STREAMS,
    StreamOrigins,
    StreamRecord,
    digest_stream,
)
from galenapass.tables.targets import Role
from tests.forwarding_fakes import MS, make_fleet, make_prompt, make_target

SECOND = timedelta(seconds=1)
OLD, NEW = ServiceVersion("lm", "v1"), ServiceVersion("lm", "v1.1")
WALL = datetime(2026, 1, 5, tzinfo=UTC)


def make_history(*versions, now=100 * SECOND, rows=(), is_first_start=True):
    history = VersionHistory()
    history.load(rows, now, is_first_start=is_first_start)
    history.observe(make_targets(*versions), now)
    return history


def make_targets(*versions):
    return [make_target(f"e{n}", version=v) for n, v in enumerate(versions)]


class TestVersionHistory(TestCase):
    def test_one_version_that_always_served_began_every_stream(self):
        history = make_history("v1", "v1")
        self.assertEqual(OLD, history.find_only("lm", 100 * SECOND))
        self.assertIsNone(history.find_only("desk", 100 * SECOND))

    def test_a_version_that_has_just_left_may_have_begun_a_stream(self):
        history = make_history("v1", "v1.1")
        history.observe(make_targets("v1.1"), 110 * SECOND)
        self.assertIsNone(history.find_only("lm", 111 * SECOND))
        later = 110 * SECOND + STREAM_LIFETIME
        history.observe(make_targets("v1.1"), later)
        self.assertEqual(NEW, history.find_only("lm", later))

    def test_a_host_that_starts_cannot_see_which_version_left(self):
        history = make_history("v1.1", is_first_start=False)
        self.assertIsNone(history.find_only("lm", 101 * SECOND))
        later = 100 * SECOND + STREAM_LIFETIME
        history.observe(make_targets("v1.1"), later)
        self.assertEqual(NEW, history.find_only("lm", later))

    def test_a_version_that_was_present_when_its_row_was_written_counts_as_seen(self):
        row = VersionRow(OLD, None)
        history = make_history("v1.1", rows=[row], is_first_start=False)
        self.assertIsNone(history.find_only("lm", 101 * SECOND))

    def test_a_version_that_left_long_before_began_no_open_stream(self):
        rows = [VersionRow(OLD, 10 * SECOND), VersionRow(NEW, None)]
        history = make_history("v1.1", rows=rows, is_first_start=False)
        self.assertEqual(NEW, history.find_only("lm", 101 * SECOND))

    def test_a_route_that_came_from_another_service_leaves_no_certainty(self):
        history = make_history("v1")
        history.record(ServiceVersion("lm", ANOTHER_SERVICE), 100 * SECOND)
        self.assertIsNone(history.find_only("lm", 101 * SECOND))

    def test_rows_name_what_is_present_and_what_has_left(self):
        history = make_history("v1", "v1.1")
        history.observe(make_targets("v1.1"), 110 * SECOND)
        rows = {row.origin: row.left_at for row in history.list_rows(111 * SECOND)}
        self.assertEqual({OLD: 110 * SECOND, NEW: None}, rows)


class TestStreamOrigins(TestCase):
    def test_a_record_is_known_until_its_client_has_stopped_waiting(self):
        origins = StreamOrigins()
        record = StreamRecord(1, OLD, 8 * SECOND)
        self.assertEqual(record, origins.record(record, 0 * SECOND))
        self.assertIsNone(origins.record(record, 1 * SECOND))
        self.assertEqual(record, origins.find(1, 7 * SECOND))
        self.assertIsNone(origins.find(1, 8 * SECOND))

    def test_an_id_that_is_used_at_two_versions_has_no_origin(self):
        origins = StreamOrigins()
        origins.record(StreamRecord(1, OLD, 8 * SECOND), 0 * SECOND)
        origins.record(StreamRecord(1, NEW, 9 * SECOND), 0 * SECOND)
        origins.record(StreamRecord(1, NEW, 9 * SECOND), 0 * SECOND)
        self.assertEqual(StreamRecord(1, None, 9 * SECOND), origins.find(1, 1 * SECOND))

    def test_an_id_may_be_used_again_once_its_stream_has_ended(self):
        origins = StreamOrigins()
        origins.record(StreamRecord(1, OLD, 8 * SECOND), 0 * SECOND)
        origins.record(StreamRecord(1, NEW, 20 * SECOND), 10 * SECOND)
        self.assertEqual(NEW, origins.find(1, 11 * SECOND).origin)

    def test_records_are_bounded(self):
        origins = StreamOrigins()
        for stream in range(MAX_STREAMS + 5):
            origins.record(StreamRecord(stream, OLD, 8 * SECOND), 0 * SECOND)
        self.assertIsNone(origins.find(4, 1 * SECOND))
        self.assertIsNotNone(origins.find(5, 1 * SECOND))
        origins.forget_ended(8 * SECOND)
        self.assertEqual([], origins.select(range(MAX_STREAMS + 5), 1 * SECOND))

    def test_ids_of_any_length_and_encoding_have_a_digest(self):
        ids = ["", "a1", "a" * 10_000, "\udce4", "\N{SNOWMAN}"]
        self.assertEqual(len(ids), len({digest_stream(each) for each in ids}))


class TestMessages(TestCase):
    records = (
        StreamRecord(2**64 - 1, OLD, 8 * SECOND),
        StreamRecord(2, None, 7 * SECOND),
    )

    def check_datagram(self, message):
        row = datagrams.encode_message(message, 1 * SECOND)
        data = datagrams.encode_datagram("h1", [row])
        _, messages = datagrams.decode_datagram(data, 1 * SECOND).unwrap()
        self.assertEqual([message], messages)

    def test_messages_are_unchanged_after_encoding_and_decoding(self):
        self.check_datagram(StreamNotice(self.records))
        self.check_datagram(OriginQuery(2**64 - 1, ("lm", "other")))
        self.check_datagram(OriginReply(7, OLD))
        self.check_datagram(OriginReply(7, None))

    def test_many_records_are_split_over_datagrams(self):
        records = [StreamRecord(n, OLD, 8 * SECOND) for n in range(60)]
        notices = split_notice(records)
        self.assertEqual(3, len(notices))
        self.assertEqual(records, [r for n in notices for r in n.records])

    def test_what_was_published_is_read_at_a_later_start(self):
        versions = (VersionRow(OLD, 1 * SECOND), VersionRow(NEW, None))
        published = PublishedOrigins(self.records, versions)
        text = encode_published(published, WALL, 5 * SECOND)
        # The host that reads it started an hour ago by its monotonic clock.
        now, elapsed = timedelta(hours=1), CLOCK_TOLERANCE + 2 * SECOND
        found = decode_published(text, WALL + elapsed, now)
        left = [record.until - now for record in found.records]
        self.assertEqual([1 * SECOND, 0 * SECOND], left)
        left_at = [row.left_at for row in found.versions]
        self.assertEqual([now - 4 * SECOND, None], left_at)

    def test_a_clock_that_was_set_back_makes_no_record_longer(self):
        text = encode_published(PublishedOrigins(self.records), WALL, 5 * SECOND)
        found = decode_published(text, WALL - timedelta(days=1), 0 * SECOND)
        self.assertEqual(3 * SECOND, found.records[0].until)

    def test_unreadable_texts_hold_nothing(self):
        for text in ("", "7", "{}", '{"written_at":1,"streams":[[1]],"versions":[]}'):
            found = decode_published(text, WALL, 0 * SECOND)
            self.assertEqual(PublishedOrigins(), found)


class TestPlacement(TestCase):
    def test_only_targets_of_the_version_may_generate(self):
        targets = [
            make_target("p1", Role.PREFILL, version="v1"),
            make_target("d1", Role.DECODE, version="v1"),
            make_target("d2", Role.DECODE, version="v1.1"),
            make_target("m1", Role.MIXED, version="v1"),
        ]

        def list_names(role):
            found = placement.list_eligible(
                targets, "lm", role, frozenset(), version="v1.1"
            )
            return [target.id for target in found]

        self.assertEqual(["p1", "d2"], list_names(None))
        self.assertEqual(["d2"], list_names(Role.DECODE))

    def test_a_prompt_waits_while_its_version_has_no_free_slot(self):
        fleet = make_fleet(
            make_target("p1", Role.PREFILL, version="v1"),
            make_target("d1", Role.DECODE, version="v1", slots=1),
            make_target("d2", Role.DECODE, version="v1.1", slots=1),
        )
        fleet.load_by_id("d1").requests = 1
        clock = ManualClock()
        capacity = Capacity(fleet, Permits("h1", fleet.rate_limits, clock))
        view = fleet.view(clock.monotonic())
        choice = placement.choose_prefill(
            [fleet.targets["p1"]], make_prompt(), (), view
        )

        def has_capacity(version):
            slot_request = SlotRequest(
                "t1",
                "r1",
                "lm",
                Stage.PREFILL,
                500 * MS,
                5 * SECOND,
                0,
                make_prompt(),
                version=version,
            )
            return capacity.has_capacity(slot_request, choice, None, view)

        self.assertEqual(
            [True, False, True], [has_capacity(v) for v in (None, "v1", "v1.1")]
        )
