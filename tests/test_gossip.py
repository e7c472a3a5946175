"""Test that rows reach every daemon, urgent ones first, within a byte budget."""

from collections import Counter
from dataclasses import replace
from datetime import timedelta

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

from galenapass.peers.decoding import Decoder
from galenapass.peers.encoding import Encoder
from galenapass.systems import gossip
from galenapass.systems.levels import LEVELS, find_level
from galenapass.systems.row_kinds import ROW_KINDS
from galenapass.tables.crashes import Crash
from galenapass.tables.gossip import GossipTable, RowPriority
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import (
    CrashSuspect,
    DemandUse,
    Drain,
    DrainAck,
    Heartbeat,
    LimitUse,
    Orders,
    TargetReport,
    TargetUse,
)

ZERO = timedelta(0)
NAMES = ["a", "b", "c"]
name = st.sampled_from(NAMES)
small = st.integers(0, 3)
amount = st.integers(0, 10**9)
crashes = st.frozensets(st.builds(Crash, name, st.sampled_from(["1", "2"])))
rate = st.integers(0, 5000).map(lambda n: n / 1000)
state = st.sampled_from([HostState.ALIVE, HostState.LEAVING, HostState.GONE])

ITEMS = {
    Heartbeat: st.builds(
        Heartbeat, name, st.just(""), st.just("north"), small, small, state
    ),
    Drain: st.builds(Drain, name, small, st.booleans()),
    DrainAck: st.builds(DrainAck, name, small, name, small, small),
    CrashSuspect: st.builds(CrashSuspect, name, crashes, crashes),
    DemandUse: st.builds(DemandUse, name, name, small, rate, rate),
    Orders: st.builds(Orders, name, small, st.just("x" * 99)),
    LimitUse: st.builds(LimitUse, name, name, small, rate, rate),
    TargetUse: st.builds(TargetUse, st.just("a"), name, amount, amount, amount),
    TargetReport: st.builds(
        TargetReport, name, name, small, amount, amount, amount, small, small, small
    ),
}
any_item = st.one_of(*ITEMS.values())
suspect = st.builds(CrashSuspect, st.just("f"), crashes, crashes)
spread_item = st.one_of(
    st.builds(
        Heartbeat, st.just("a"), st.just(""), st.just("north"), small, small, state
    ),
    st.builds(Drain, st.just("t"), small, st.booleans()),
    st.builds(DrainAck, st.just("a"), small, st.just("t"), small, small),
    suspect,
    st.builds(LimitUse, st.just("a"), st.just("c"), small, st.just(1.0), st.just(0.0)),
)


class MergeTest(TestCase):
    @given(suspect, suspect, suspect)
    def test_merging_crash_suspects_is_independent_of_order(self, first, second, third):
        merge = ROW_KINDS[CrashSuspect].merge
        one = merge(merge(first, second), third)
        self.assertEqual(one, merge(merge(third, second), first))
        self.assertIs(one, merge(one, first))
        seen = (first, second, third)
        crashes = frozenset().union(*(suspect.crashes for suspect in seen))
        cleared = frozenset().union(*(suspect.cleared for suspect in seen))
        self.assertEqual((crashes, cleared), (one.crashes, one.cleared))

    def test_acks_of_one_epoch_only_decrease(self):
        table = GossipTable("a", "north")
        acks = [DrainAck("b", 1, "t", 2, n) for n in (3, 0, 1)]
        put = [gossip.put(table, ack, ZERO, source="b") for ack in acks]
        self.assertEqual([acks[0], acks[1], None], put)

    @given(amount)
    def test_a_level_bounds_its_amount_from_above_and_maps_to_itself(self, value):
        level = LEVELS[find_level(value)]
        self.assertGreaterEqual(level, min(value, LEVELS[-1]))
        self.assertLessEqual(level, max(value * 1.1, value + 1))
        self.assertEqual(level, LEVELS[find_level(level)])

    def test_a_use_at_the_same_level_is_not_sent_again(self):
        table = GossipTable("a", "north")
        gossip.put(table, TargetUse("a", "t", 1000, 0, 0), ZERO)
        gossip.open_link(table, "b", "b", "north", ZERO)
        seconds = timedelta(seconds=10)
        self.assertEqual(1, len(gossip.dequeue(table, "b", seconds, 1000)))
        self.assertIsNone(gossip.put(table, TargetUse("a", "t", 1001, 0, 0), ZERO))
        self.assertEqual([], gossip.dequeue(table, "b", seconds, 1000))

    def test_a_report_of_a_new_incarnation_supersedes_older_ones(self):
        table = GossipTable("a", "north")
        old = TargetReport("t", "zz", 900, 1, 0, 0, 0, 10, 16)
        new = TargetReport("t", "aa", 1, 0, 0, 0, 0, 10, 16)
        gossip.put(table, old, ZERO)
        put = gossip.put(table, new, ZERO)
        self.assertEqual(("aa", 1, 1), (put.incarnation, put.sequence, put.generation))
        self.assertIsNone(gossip.put(table, old, ZERO, source="b"))


class BudgetTest(TestCase):
    @given(
        st.lists(st.tuples(st.integers(0, 5000), st.lists(any_item, max_size=8))),
        st.integers(10, 2000),
    )
    def test_the_rate_holds_over_every_interval(self, steps, rate):
        table = GossipTable("a", "north")
        gossip.open_link(table, "b", "b", "north", ZERO)
        now, dequeued, largest = ZERO, [], 0
        for wait, items in steps:
            now += timedelta(milliseconds=wait)
            for item in items:
                gossip.put(table, item, now)
            sizes = [
                ROW_KINDS[type(i)].size(i)
                for i in gossip.dequeue(table, "b", now, rate)
            ]
            largest = max([largest, *sizes])
            dequeued.append((now.total_seconds(), sum(sizes)))
        for start in range(len(dequeued)):
            total = 0
            for end in range(start, len(dequeued)):
                total += dequeued[end][1]
                elapsed = dequeued[end][0] - dequeued[start][0]
                bound = rate * (elapsed + 3 * gossip.BURST_SECONDS) + largest
                self.assertLessEqual(total, bound)

    def test_an_idle_link_accumulates_at_most_a_burst_of_credit(self):
        table = GossipTable("a", "north")
        gossip.open_link(table, "b", "b", "north", ZERO)
        for number in range(1000):
            gossip.put(table, TargetUse("a", f"t{number}", 1, 1, 1), ZERO)
        dequeued = gossip.dequeue(table, "b", timedelta(hours=1), 100)
        size = sum(ROW_KINDS[type(item)].size(item) for item in dequeued)
        self.assertLessEqual(size, 2 * 100 * gossip.BURST_SECONDS + 6)

    def test_a_busy_link_uses_the_credit_that_an_idle_one_leaves(self):
        table = GossipTable("a", "north")
        for link in ("b", "c"):
            gossip.open_link(table, link, link, "north", ZERO)
        for number in range(1000):
            gossip.put(table, TargetUse("a", f"t{number}", 1, 1, 1), ZERO)
        table.queues["b"].pending[RowPriority.LOAD].clear()
        dequeued = 0
        for second in range(1, 31):
            now = timedelta(seconds=second)
            self.assertEqual([], gossip.dequeue(table, "b", now, 60))
            dequeued += len(gossip.dequeue(table, "c", now, 60))
        self.assertGreater(dequeued, 1.7 * 30 * 60 / 6)
        self.assertLessEqual(dequeued, 2 * 60 * (30 + 3 * gossip.BURST_SECONDS) / 6)

    def test_a_row_received_from_a_partner_is_not_sent_back(self):
        table = GossipTable("a", "north")
        gossip.open_link(table, "b", "b", "north", ZERO)
        drain = Drain("t", 1)
        gossip.put(table, drain, ZERO)
        gossip.put(table, drain, ZERO, source="b")
        self.assertEqual([], gossip.dequeue(table, "b", timedelta(seconds=9), 1000))

    @given(st.lists(any_item, max_size=15))
    def test_rows_are_sent_once_in_order_of_priority(self, items):
        table = GossipTable("a", "north")
        gossip.open_link(table, "b", "b", "north", ZERO)
        for item in items:
            gossip.put(table, item, ZERO)
        dequeued = gossip.dequeue(table, "b", timedelta(seconds=60), 100_000)
        ranks = [ROW_KINDS[type(item)].priority for item in dequeued]
        self.assertEqual(sorted(ranks), ranks)
        rows = [row.item for rows in table.rows.values() for row in rows.values()]
        self.assertEqual(Counter(rows), Counter(dequeued))
        self.assertEqual([], gossip.dequeue(table, "b", timedelta(seconds=70), 100_000))

    def test_a_drain_is_sent_at_once_while_load_rows_wait_for_credit(self):
        table = GossipTable("a", "north")
        gossip.open_link(table, "b", "b", "north", ZERO)
        second = timedelta(seconds=1)
        for number in range(1000):
            gossip.put(table, TargetUse("a", f"t{number}", 1, 1, 1), ZERO)
        self.assertLess(len(gossip.dequeue(table, "b", second, 100)), 1000)
        gossip.charge(table, "b", 10**6, 100)
        gossip.put(table, Drain("t1", 1), ZERO)
        self.assertEqual([Drain("t1", 1)], gossip.dequeue(table, "b", second, 100))

    def test_load_is_not_relayed_to_a_meshed_partner(self):
        table = GossipTable("a", "north")
        for link in ("b", "c"):
            gossip.open_link(table, link, link, "north", ZERO)
        table.queues["c"].meshed = True
        report = TargetReport("t", "i", 1, 1, 1, 1, 1, 1, 1)
        second = timedelta(seconds=1)
        gossip.put(table, report, ZERO, source="b")
        gossip.put(table, Drain("t", 1), ZERO, source="b")
        self.assertEqual([Drain("t", 1)], gossip.dequeue(table, "c", second, 1000))
        gossip.put(table, TargetReport("u", "i", 1, 1, 1, 1, 1, 1, 1), ZERO)
        self.assertEqual(1, len(gossip.dequeue(table, "c", second, 1000)))

    def test_rows_that_change_faster_than_a_link_sends_are_merged(self):
        table = GossipTable("a", "north")
        gossip.open_link(table, "b", "b", "north", ZERO)
        for turn in range(5000):
            gossip.put(table, Drain("t1", turn), ZERO)
            gossip.put(table, CrashSuspect(f"f{turn}", frozenset()), ZERO)
        limit = ROW_KINDS[CrashSuspect].limit
        self.assertEqual(limit, len(table.rows[CrashSuspect]))
        pending = sum(len(p) for p in table.queues["b"].pending)
        self.assertEqual(limit + 1, pending)
        gossip.expire(table, timedelta(days=2))
        self.assertEqual(0, sum(len(p) for p in table.queues["b"].pending))

    @given(st.lists(any_item, max_size=15))
    def test_row_sizes_bound_the_size_of_a_batch_without_names(self, items):
        encoder = Encoder()
        encoder.encode(items, 7)
        batch = encoder.encode(items, 7)
        self.assertEqual(0, len(batch.names))
        sizes = sum(ROW_KINDS[type(item)].size(item) for item in items)
        self.assertLessEqual(batch.ByteSize(), sizes + 2 + 4 * len(ITEMS))

    @given(st.lists(st.lists(any_item, max_size=6), max_size=3))
    def test_decoding_returns_the_encoded_items(self, batches):
        encoder, decoder = Encoder(), Decoder("a")
        for items in batches:
            read = decoder.decode(encoder.encode(items, 7))
            self.assertEqual(
                Counter(round_to_levels(item) for item in items), Counter(read)
            )

    def test_heartbeats_of_one_host_in_a_batch_keep_their_states_and_order(self):
        # A short heartbeat was read with the state of a whole entry after it.
        states = (HostState.ALIVE, HostState.ALIVE, HostState.LEAVING, HostState.GONE)
        for before in range(3):
            encoder, decoder = Encoder(), Decoder("a")
            first = [Heartbeat("a", "", "north", 1, n) for n in range(before)]
            decoder.decode(encoder.encode(first, 7))
            items = [
                Heartbeat(name, "", "north", 1, 10 + 2 * n + twice, state, n)
                for n, state in enumerate(states)
                for twice in (0, 1)
                for name in ("a", "b")
            ]
            read = decoder.decode(encoder.encode(items, 7))
            for name in ("a", "b"):
                expected = [item for item in items if item.host == name]
                self.assertEqual(expected, [i for i in read if i.host == name])
            again = [replace(item, counter=99) for item in items[-2:]]
            self.assertEqual(again, decoder.decode(encoder.encode(again, 7)))


def round_to_levels(item):
    if isinstance(item, TargetUse):
        amounts = (item.requests, item.prefill, item.pieces)
        levels = [LEVELS[find_level(value)] for value in amounts]
        return TargetUse(item.host, item.target, *levels)
    if isinstance(item, TargetReport):
        return TargetReport(
            item.target,
            item.incarnation,
            item.sequence,
            *(
                LEVELS[find_level(value)]
                for value in (
                    item.running,
                    item.waiting,
                    item.prefill_queued,
                    item.pieces_used,
                )
            ),
            item.pieces_total,
            item.piece_tokens,
            item.generation,
        )
    return item


class GossipMachine(RuleBasedStateMachine):
    """Four daemons in a chain; broken links lose the messages in flight."""

    HOSTS = ("a", "b", "c", "d")
    PAIRS = (("a", "b"), ("b", "c"), ("c", "d"))

    @initialize()
    def begin(self):
        self.now = ZERO
        self.tables = {host: GossipTable(host, "north") for host in self.HOSTS}
        self.in_flight = {}
        for pair in self.PAIRS:
            self.connect(pair)

    def connect(self, pair):
        for one, other in (pair, pair[::-1]):
            gossip.open_link(self.tables[one], other, other, "north", self.now)
            self.in_flight[one, other] = []

    @rule(host=st.sampled_from(HOSTS), item=spread_item)
    def publish(self, host, item):
        gossip.put(self.tables[host], item, self.now)

    @rule(pair=st.sampled_from(PAIRS))
    def disconnect(self, pair):
        for one, other in (pair, pair[::-1]):
            gossip.close_link(self.tables[one], other)
            self.in_flight.pop((one, other), None)

    @rule(pair=st.sampled_from(PAIRS))
    def reconnect(self, pair):
        if pair not in self.in_flight:
            self.connect(pair)

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        for pair in self.PAIRS:
            if host in pair:
                self.disconnect(pair)
        self.tables[host] = GossipTable(host, "north")

    @rule(pair=st.sampled_from(PAIRS), back=st.booleans(), rate=st.integers(5, 200))
    def send(self, pair, back, rate):
        pair = pair[::-1] if back else pair
        if pair not in self.in_flight:
            return
        self.now += timedelta(seconds=1)
        self.in_flight[pair] += gossip.dequeue(
            self.tables[pair[0]], pair[1], self.now, rate
        )

    @rule(pair=st.sampled_from(PAIRS), back=st.booleans(), count=st.integers(1, 5))
    def deliver(self, pair, back, count):
        pair = pair[::-1] if back else pair
        messages = self.in_flight.get(pair, [])
        for item in messages[:count]:
            gossip.put(self.tables[pair[1]], item, self.now, source=pair[0])
        del messages[:count]

    @invariant()
    def queues_contain_only_existing_rows(self):
        for table in getattr(self, "tables", {}).values():
            keys = {key for rows in table.rows.values() for key in rows}
            for queue in table.queues.values():
                assert all(set(pending) <= keys for pending in queue.pending)

    def teardown(self):
        """Reconnect every link: all daemons must converge to the same rows."""
        if not hasattr(self, "tables"):
            return
        for pair in self.PAIRS:
            self.reconnect(pair)
        for _ in range(3 * len(self.HOSTS)):
            for one, other in list(self.in_flight):
                self.send((one, other), False, 10**6)
                self.deliver((one, other), False, 10**6)
        views = [self.list_rows_by_type(table) for table in self.tables.values()]
        assert all(view == views[0] for view in views), views

    def list_rows_by_type(self, table):
        rows = [row.item for rows in table.rows.values() for row in rows.values()]
        return {type(item): item for item in rows}


class ConvergenceTest(TestCase):
    def test_all_daemons_converge_to_the_same_rows(self):
        run_state_machine_as_test(GossipMachine)
