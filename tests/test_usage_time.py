"""Test the true time, and how hosts share counts, without a network."""

import asyncio
import zlib
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenapass.duties.duty_calls import DutyCalls
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.forwarding import usage_counts, usage_sharing
from galenapass.forwarding.operations import CallOutcome
from galenapass.forwarding.true_time import (
    ClockReading,
    TrueTime,
    WallClock,
    find_median,
    follow_wall_clock,
)
from galenapass.forwarding.usage_counts import UsageTable
from galenapass.forwarding.usage_evidence import Evidence
from galenapass.forwarding.usage_sharing import choose_receivers
from galenapass.tables.leases import Lease
from tests.forwarding_fakes import make_request
from tests.usage_world import MS, SECOND, HostClock, Store, World


def test_steps_of_a_wall_clock_are_left_out_and_slewing_is_followed():
    wall_clock = WallClock(10 * SECOND, 10 * SECOND)
    assert follow_wall_clock(wall_clock, 10 * SECOND + 3 * MS) is None
    assert follow_wall_clock(wall_clock, 12403 * MS) == 2400 * MS
    assert follow_wall_clock(wall_clock, 10001 * MS) == -2402 * MS
    assert wall_clock.offset == 10003 * MS


def test_median_is_not_moved_by_less_than_half_of_the_clocks():
    offsets = [0, 1, 2, 2400, -2400]
    readings = [ClockReading(offset * MS, 1, 0 * MS) for offset in offsets]
    assert find_median(readings) == 1 * MS


def test_host_without_peers_keeps_its_time_over_steps():
    world = World()
    clock = HostClock(world, 500 * SECOND)
    time = TrueTime(clock)
    start = time.now()
    for second in range(1, 20):
        world.now = second * SECOND
        clock.step = 2400 * MS if 5 < second < 12 else timedelta(0)
        time.update()
        assert time.now() - start == world.now
    assert time.is_settled


def test_reply_after_a_pause_tells_no_time():
    """A frozen host would take the time of long ago for the present one."""
    world = World()
    time = TrueTime(HostClock(world, 500 * SECOND))
    before = time.now()
    world.now += 9 * SECOND
    time.apply_reply("h2", before, 5, 500 * SECOND)
    time.update()
    assert time.now() == before + 9 * SECOND


def test_receivers_are_of_two_domains_and_change_when_one_fails():
    designated = {"a": ["h1", "h2"], "b": ["h3", "h4"]}
    first = choose_receivers(designated, "h9", "a", lambda name: False)
    assert first[0] in designated["a"] and first[1] in designated["b"]
    second = choose_receivers(designated, "h9", "a", lambda name: name in first)
    assert second[0] in designated["a"] and second[1] in designated["b"]
    assert not set(first) & set(second)
    # A domain whose schedulers have all failed, and a system of one domain.
    for failed in (designated["a"], designated["b"]):
        found = choose_receivers(designated, "h9", "a", lambda n, f=failed: n in f)
        assert len(found) == 2
    assert choose_receivers({"a": ["h1"]}, "h1", "a", lambda name: False) == []


@given(st.permutations(range(8)), st.lists(st.integers(0, 7), max_size=4))
def test_messages_in_any_order_and_repeated_lead_to_the_same_sums(order, repeated):
    table = UsageTable()
    for count in [*order, *repeated]:
        usage_counts.merge_counts(table, ("h1", 1), 5, {"a": count})
        usage_counts.merge_counts(table, ("h1", 2), 5, {"a": 2 * count})
    assert usage_counts.sum_window(table, 5) == {"a": 21}


def test_replaced_process_of_a_host_is_not_waited_for():
    table = UsageTable()
    usage_counts.record_through(table, ("h1", 9), 3 * SECOND)
    usage_counts.record_through(table, ("h1", 5), 8 * SECOND)
    usage_counts.record_through(table, ("h2", 5), 4 * SECOND)
    assert usage_counts.list_missing(table, 6 * SECOND, 8 * SECOND) == ["h2"]
    # One that tells nothing for a minute is gone.
    assert usage_counts.list_missing(table, 6 * SECOND, 70 * SECOND) == []


def test_hosts_that_only_a_silent_scheduler_may_know_are_waited_for():
    """Else a window is closed without them as soon as a call to it fails."""
    table = UsageTable()
    usage_counts.record_through(table, ("h1", 9), 3 * SECOND)
    hosts = ["h1", "h2", "h3"]
    assert usage_counts.list_hidden(table, hosts, []) == []
    assert usage_counts.list_hidden(table, hosts, ["h3"]) == ["h2"]


def test_calls_hold_a_window_back_until_they_are_counted_or_refused():
    world = World()
    host = world.start("h1")
    sharing, source = host.sharing, host.sharing.source
    requests = [make_request(name) for name in ("refused", "long", "sent late")]
    boot = host.clock.monotonic()
    for request, sent_at in zip(requests, [boot, boot, None], strict=True):
        request.organisation = "org"
        sharing.watch_call(request, lambda sent_at=sent_at: sent_at)
    opened = sharing.time.now()
    world.now += 1 * SECOND
    sharing.step()
    assert sharing.table.through[source] == opened
    sharing.end_call(requests[0])
    # The others are counted after the time in which a target refuses them.
    world.now += 1 * SECOND
    sharing.step()
    assert requests[1].has_begun and not requests[2].has_begun
    assert sharing.table.through[source] == opened
    sharing.end_call(requests[2])
    world.now += 1 * SECOND
    sharing.step()
    assert sharing.table.through[source] == opened + 3 * SECOND
    window = usage_counts.find_window(opened, sharing.window)
    assert usage_counts.sum_window(sharing.table, window) == {"org": 1}
    # What comes after that is counted once.
    sharing.record_begin(requests[1], boot)
    assert usage_counts.sum_window(sharing.table, window) == {"org": 1}


class Calls:
    """Client that records its calls and answers when told to."""

    def __init__(self, world):
        self.world = world
        self.sent = []
        self.answer = asyncio.Event()

    async def report_usage(self, window, counts, holder, fence, time_limit):
        self.sent.append((self.world.now, fence, time_limit))
        await self.answer.wait()
        return CallOutcome.ACCEPTED


@pytest.fixture
def world():
    return World()


def make_calls(world, start=0):
    host = world.start("h1")
    lease = Lease("roles", "h1", start, 6 * SECOND)
    lease.fresh_until = host.clock.monotonic() + 6 * SECOND
    keeper = LeaseKeeper(lease, host.clock, Store(world, host), lambda: 1)
    client = Calls(world)
    return keeper, client, DutyCalls("h1", keeper, client, host.clock, 1.0, 3 * SECOND)


def test_calls_wait_for_the_rate_and_for_holders_that_may_alternate(world):
    """This host, another one and this host again within 3 s break the rule."""

    async def run():
        keeper, client, calls = make_calls(world)
        client.answer.set()
        await keeper.step()
        # A former process of this host may have called just now.
        assert await calls.report_usage(1, {}) is None
        world.now += 3 * SECOND
        await keeper.step()
        assert await calls.report_usage(1, {}) is CallOutcome.ACCEPTED
        assert await calls.report_usage(2, {}) is None
        world.now += 1 * SECOND
        assert await calls.report_usage(2, {}) is CallOutcome.ACCEPTED
        await keeper.release()
        assert await calls.report_usage(3, {}) is None
        world.now += 2 * SECOND
        await keeper.step()
        assert keeper.is_holder
        assert await calls.report_usage(3, {}) is None
        world.now += 1 * SECOND
        assert await calls.report_usage(3, {}) is CallOutcome.ACCEPTED
        fences = [fence for _, fence, _ in client.sent]
        assert fences[0] == fences[1] < fences[2]

    asyncio.run(run())


def test_call_is_given_up_before_the_lease_is_released(world):
    """The next holder calls at once, and a held-up call would come after it."""

    async def run():
        keeper, client, calls = make_calls(world)
        await keeper.step()
        world.now += 3 * SECOND
        await keeper.step()
        task = asyncio.create_task(calls.report_usage(1, {}))
        while not client.sent:
            await asyncio.sleep(0)
        is_over = []

        async def check(host):
            is_over.append(task.done())

        world.before["write leases"] = check
        await keeper.release()
        assert await asyncio.wait_for(task, 1) is CallOutcome.UNKNOWN
        assert is_over == [True]
        # It could not have lasted longer than the lease either.
        assert client.sent[0][2] < 6 * SECOND

    asyncio.run(run())


@pytest.mark.parametrize(
    ("head", "written"), [({}, -1), ({"written": 7}, 7), ({"written": 7, "new": 1}, 7)]
)
def test_answers_of_builds_that_tell_no_written_window_are_read(head, written):
    """A holder would take all schedulers of an earlier build for silent."""

    class Connection:
        def __init__(self):
            self.reader = asyncio.StreamReader()
            self.body = zlib.compress(b"[]")
            self.reader.feed_data(self.body)

        async def receive(self, timeout):
            return {"length": len(self.body)} | head

    async def run():
        return await usage_sharing._read_answer(Connection())

    assert asyncio.run(run()).ok_value == (Evidence(written), [])
