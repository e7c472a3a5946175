"""Check the datagrams and announcements between daemons, and crash suspects."""

from datetime import UTC, datetime, timedelta

import orjson
from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from testtools import TestCase

from galenapass.forwarding import announcements, datagrams
from galenapass.forwarding.announcements import Announcement, TargetWork
from galenapass.forwarding.crash_evidence import CrashReport, PartBlock, Sighting
from galenapass.forwarding.crash_sharing import PartBlocks, SoundParts
from galenapass.forwarding.datagrams import (
    Ping,
    Pong,
    SlotPending,
    SlotRefusal,
    TargetLeaving,
)
from galenapass.forwarding.limit_sharing import LimitNotice
from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.permits import Permit, PermitRequest
from galenapass.forwarding.published_crashes import (
    PublishedCrashes,
    decode_published,
    encode_published,
)
from galenapass.forwarding.rate_limits import RateLimit
from galenapass.forwarding.requests import Prompt
from galenapass.forwarding.silent_targets import SilentTargets
from galenapass.forwarding.slot_requests import (
    Grant,
    Outcome,
    SlotRelease,
    SlotRequest,
    Stage,
)
from galenapass.forwarding.workload import DecodeStatistics, MeasuredDemand
from galenapass.systems.crashes import SuspectUpdate
from galenapass.tables.crashes import Crash
from galenapass.tables.targets import Role, Target, TargetKind
from galenapass.verdicts import Reason, Run, Verdict
from tests.forwarding_fakes import MS, make_fleet, make_target

counts = st.integers(0, 50)
names = st.text(max_size=6)
works = st.builds(
    TargetWork,
    st.sampled_from(["e1", "e2", "unknown"]),
    counts,
    st.integers(0, 500_000),
    counts,
    st.integers(0, 5000).map(float),
)
amounts = st.integers(0, 10**6).map(float)
models = st.builds(DecodeStatistics, *[amounts] * len(DecodeStatistics._fields))
demands = st.builds(
    MeasuredDemand, st.sampled_from(["lm"]), amounts, amounts, amounts, models
)
announcement_values = st.builds(
    Announcement,
    st.sampled_from(["h2", "h3"]),
    st.integers(1, 30),
    st.integers(0, 9),
    st.lists(works, max_size=3, unique_by=lambda w: w.target).map(tuple),
    st.lists(
        st.tuples(
            st.sampled_from(["e1", "e2"]),
            st.builds(PartDigest, st.integers(0, 9), st.integers(1, 99)),
        ),
        max_size=3,
    ).map(tuple),
    st.lists(demands, max_size=1).map(tuple),
    st.lists(st.tuples(names, names), max_size=2).map(tuple),
    st.lists(st.tuples(names, st.sampled_from(Role)), max_size=2).map(tuple),
    st.lists(st.tuples(names, st.floats(0, 1)), max_size=2).map(tuple),
)
parts = st.builds(PartDigest, st.integers(0, 2**64 - 1), counts)
moments = st.integers(-(10**7), 10**7).map(lambda ms: ms * MS)
names_sets = st.frozensets(names, max_size=3)
slot_requests = st.builds(
    SlotRequest,
    names,
    names,
    names,
    st.sampled_from(Stage),
    moments,
    moments,
    st.integers(0, 9),
    st.builds(Prompt, counts, counts, st.just(())),
    st.lists(parts, max_size=3).map(tuple),
    names_sets,
    names_sets,
    names,
    names,
)
targets = st.builds(
    Target,
    names,
    names,
    names,
    st.sampled_from(TargetKind),
    names,
    st.sampled_from(Role),
    incarnation=names,
    slots=counts,
)
grants = st.builds(
    Grant, names, targets, amounts, amounts, counts, amounts, names, st.none() | names
)
verdicts = st.builds(
    Verdict,
    st.sampled_from(Run),
    st.sampled_from(Reason),
    names,
    st.none() | st.integers(0, 9000).map(lambda ms: ms * MS),
)
incarnations = st.tuples(names, names)
limit_notices = st.none() | st.lists(
    st.builds(
        LimitNotice,
        incarnations,
        st.builds(
            RateLimit,
            st.none() | amounts,
            st.integers(-(10**8), -(10**7)).map(lambda n: n * MS),
        ),
    ),
    max_size=3,
).map(tuple)
digests = st.integers(0, 2**64 - 1)
reports = st.builds(
    CrashReport,
    st.builds(Crash, names, names),
    names,
    names,
    moments,
    counts,
    st.lists(st.builds(Sighting, digests, counts, moments), max_size=3).map(tuple),
    st.lists(names, max_size=2).map(tuple),
)
part_blocks = st.builds(PartBlock, digests, moments, moments, counts)
messages = (
    announcement_values
    | slot_requests
    | grants
    | st.builds(SlotRefusal, names, verdicts)
    | st.builds(SlotPending, names)
    | st.builds(
        SilentTargets,
        names,
        st.lists(st.tuples(names, names, moments), max_size=3).map(tuple),
    )
    | st.builds(
        SlotRelease,
        names,
        st.sampled_from(Outcome),
        amounts,
        amounts,
        st.booleans(),
        counts,
    )
    | st.builds(Ping, counts, limit_notices, st.none() | counts)
    | st.builds(Pong, counts, st.booleans(), limit_notices, st.none() | counts)
    | st.builds(PermitRequest, incarnations, counts)
    | st.builds(Permit, incarnations)
    | st.builds(TargetLeaving, names, names)
    | reports
    | st.builds(SoundParts, st.lists(digests, max_size=3).map(tuple), moments)
    | st.builds(PartBlocks, st.lists(part_blocks, max_size=3).map(tuple))
)
rows = st.recursive(
    st.none() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=6),
    max_leaves=30,
)
kinds = st.sampled_from(sorted(datagrams._DECODERS))


class TestDatagrams(TestCase):
    @given(messages, moments)
    def test_a_message_is_unchanged_after_encoding_and_decoding(self, message, now):
        host = getattr(message, "host", "h2")
        row = datagrams.encode_message(message, now)
        data = datagrams.encode_datagram(host, [row])
        self.assertEqual(Ok((host, [message])), datagrams.decode_datagram(data, now))

    def test_messages_of_a_build_without_rate_limits_are_read(self):
        # As 840d00a wrote them.
        data = b'["h2",[["ping",7],["pong",7,true]]]'
        expected = [
            Ping(7, None, knows_versions=False),
            Pong(7, True, None, knows_versions=False),
        ]
        self.assertEqual(Ok(("h2", expected)), datagrams.decode_datagram(data, 0 * MS))

    def test_a_build_without_rate_limits_reads_pings_and_pongs(self):
        # It reads these elements and ignores the rest.
        notice = LimitNotice(("e1", "7"), RateLimit(2.5, 0 * MS))
        for message, read in (
            (Ping(7, (notice,)), ["ping", 7]),
            (Pong(7, True, (notice,)), ["pong", 7, True]),
        ):
            row = datagrams.encode_message(message, 9 * MS)
            self.assertEqual(read, row[: len(read)])

    def test_messages_of_a_later_build_are_left_out(self):
        data = b'["h2",[["later",7],["ping",7]]]'
        expected = [Ping(7, None, knows_versions=False)]
        self.assertEqual(Ok(("h2", expected)), datagrams.decode_datagram(data, 0 * MS))

    @given(st.binary(max_size=200))
    def test_no_bytes_raise(self, data):
        datagrams.decode_datagram(data, 0 * MS)

    @given(kinds, st.lists(rows, max_size=14))
    def test_no_row_raises(self, kind, row):
        try:
            data = orjson.dumps(["h2", [[kind, *row]]])
        except TypeError:
            # orjson cannot encode integers of more than 64 bits.
            return
        datagrams.decode_datagram(data, 0 * MS)


class TestAnnouncements(TestCase):
    @given(st.lists(announcement_values, max_size=30))
    def test_only_the_latest_of_each_peer_counts(self, items):
        fleet = make_fleet(make_target("e1"), make_target("e2"))
        peers, last = {}, {}
        for item in items:
            is_newer = (
                item.sequence > last[item.host].sequence if item.host in last else True
            )
            self.assertEqual(
                is_newer, announcements.apply_announcement(fleet, peers, item, 0 * MS)
            )
            if is_newer:
                last[item.host] = item
        for name in ("e1", "e2"):
            expected = sum(
                w.work_ms for n in last.values() for w in n.work if w.target == name
            )
            self.assertAlmostEqual(
                expected, fleet.load_of(fleet.targets[name]).peer_work_ms
            )

    def test_the_work_of_a_silent_peer_is_removed(self):
        fleet, peers = make_fleet(make_target("e1")), {}
        announcement = Announcement("h2", 1, 1, (TargetWork("e1", 3, 900, 1, 400.0),))
        announcements.apply_announcement(fleet, peers, announcement, 0 * MS)
        self.assertEqual(400.0, fleet.loads["e1"].peer_work_ms)
        late = announcements.SILENCE_TIMEOUT + timedelta(seconds=1)
        self.assertEqual(["h2"], announcements.forget_silent(peers, late))
        self.assertEqual(0.0, fleet.loads["e1"].peer_work_ms)


class TestPublishedCrashes(TestCase):
    wall = datetime(2026, 1, 5, 9, 0, tzinfo=UTC)

    def test_suspects_are_unchanged_after_encoding_and_decoding(self):
        crash = Crash("e1", "17")
        updates = [SuspectUpdate("f", frozenset({crash}), frozenset(), timedelta(0))]
        published = PublishedCrashes(updates)
        text = encode_published(published, self.wall, 0 * MS)
        self.assertEqual(updates, decode_published(text, self.wall, 0 * MS).suspects)

    def test_reports_and_blocks_keep_their_ages(self):
        report = CrashReport(
            Crash("e1", "17"), "lm", "h1", 5000 * MS, 3, (Sighting(7, 2, 4900 * MS),)
        )
        block = PartBlock(7, 5000 * MS, 65_000 * MS, 1)
        published = PublishedCrashes((), (report,), (block,))
        text = encode_published(published, self.wall, 6000 * MS)
        read = decode_published(text, self.wall + 2000 * MS, 100_000 * MS)
        self.assertEqual(97_000 * MS, read.reports[0].at)
        self.assertEqual(96_900 * MS, read.reports[0].sightings[0].sent_at)
        self.assertEqual(
            (97_000 * MS, 157_000 * MS),
            (read.blocks[0].crashed_at, read.blocks[0].until),
        )

    def test_texts_of_earlier_builds_hold_only_suspects(self):
        text = '{"suspects": []}'
        read = decode_published(text, self.wall, 0 * MS)
        self.assertEqual(((), ()), (tuple(read.reports), tuple(read.blocks)))

    @given(st.text(max_size=80))
    def test_no_text_raises(self, text):
        decode_published(text, self.wall, 0 * MS)

    @given(rows, rows, rows)
    def test_no_json_raises(self, written_at, reports, blocks):
        data = {
            "suspects": [],
            "written_at": written_at,
            "reports": reports,
            "blocks": blocks,
        }
        try:
            text = orjson.dumps(data).decode()
        except TypeError:
            # orjson cannot encode integers of more than 64 bits.
            return
        decode_published(text, self.wall, 0 * MS)
