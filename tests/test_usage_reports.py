"""Test that each window of usage is reported once, in time and whole."""

import asyncio
from datetime import timedelta

import orjson
import pytest

from galenapass.duties.usage_reports import Closing, Report, decide_closing
from galenapass.platform.messages import StoredObject
from tests.usage_world import EPOCH, FIRST_WINDOW, MS, SECOND, START, World

HOSTS = {"h1": "a", "h2": "a", "h3": "b", "h4": "b", "h5": "c", "h6": "c"}


def play(scenario, windows=6, missing_requests=0, lateness=10 * SECOND):
    """Run hosts that each serve a request in each 0.5 s, and check the reports."""

    async def main():
        world = World()
        for name, domain in HOSTS.items():
            world.start(name, domain, is_first=True)
        world.former = dict(HOSTS)
        load = asyncio.create_task(scenario(world))
        while world.now < 5 * windows * SECOND:
            await step(world)
        # Time for the reports of the last windows.
        await world.run(12 * SECOND)
        await load
        assert not world.before and not world.after
        world.check(windows, missing_requests, lateness)
        assert world.unwritten == []
        return world

    return asyncio.run(main())


async def step(world):
    await world.run(500 * MS)
    for host in list(world.hosts.values()):
        if not host.is_frozen:
            host.serve(f"org-{host.name}")
            host.serve("all", 2)
    # Lets the scenario act.
    await asyncio.sleep(0)


async def wait_until(world, at):
    while world.now < at:
        await asyncio.sleep(0)


async def calm(world):
    pass


def test_calm_hosts_report_each_window_whole_and_remove_old_objects():
    world = play(calm)
    holders = {call.holder for call in world.platform.calls}
    assert len(holders) == 1
    # One report is sent for each window, and the store keeps the last ones only.
    windows = [call.body["window"] for call in world.platform.calls]
    assert windows == sorted(set(windows))
    assert sum(kind == "usage" for kind, _ in world.objects) <= 3


def fault_once(hooks_name, kind, action):
    async def scenario(world):
        await wait_until(world, 8 * SECOND)
        getattr(world, hooks_name)[kind] = action(world)

    return scenario


def kill(world):
    async def hook(host):
        world.kill(host)

    return hook


def freeze(world):
    async def hook(host):
        host.is_frozen = True
        await world.run(9 * SECOND)
        host.is_frozen = False

    return hook


@pytest.mark.parametrize(
    ("hooks_name", "kind"),
    [
        ("before", "write usage"),
        ("after", "write usage"),
        ("before", "report"),
        ("after", "report"),
        ("after", "delete"),
    ],
)
def test_holder_that_is_killed_between_write_send_and_answer(hooks_name, kind):
    """Another count after one that may have been sent breaks the rule."""
    # What the killed host began in its last half second may be lost.
    world = play(fault_once(hooks_name, kind, kill), 7, missing_requests=6)
    assert len({call.holder for call in world.platform.calls}) == 2


def test_next_holder_that_is_killed_before_it_knows_what_was_written():
    async def scenario(world):
        await wait_until(world, 11 * SECOND)
        world.before["list"] = kill(world)
        world.kill(world.holder)

    # The third holder needs a term of its own; some windows are late then.
    play(scenario, 8, missing_requests=12, lateness=18 * SECOND)


@pytest.mark.parametrize(
    ("hooks_name", "kind"),
    [
        ("before", "write usage"),
        ("after", "write usage"),
        ("before", "report"),
        ("after", "report"),
        ("before", "delete"),
    ],
)
def test_holder_that_is_frozen_and_resumes_never_sends_with_an_old_fence(
    hooks_name, kind
):
    play(fault_once(hooks_name, kind, freeze), 8)


def test_late_write_of_a_frozen_holder_does_not_revive_a_window():
    """The object of a window that was accepted and removed may be created again."""

    async def scenario(world):
        await wait_until(world, 21 * SECOND)
        name = str(FIRST_WINDOW + 1)
        assert ("usage", name) not in world.objects
        body = orjson.dumps({"counts": {"all": 1}, "accepted": -1}).decode()
        world.objects["usage", name] = StoredObject(name, 1, body)
        world.kill(world.holder)

    play(scenario, 8, missing_requests=6)


@pytest.mark.parametrize("is_known", [True, False])
def test_reports_that_are_read_again_during_a_delete_end_no_duty(is_known):
    """The window may be gone from the reports before the answer comes."""

    async def main():
        world = World()
        reports = world.start("h1").reports
        if is_known:
            world.objects["usage", "1"] = StoredObject("1", 1, "")
        reports._reports = {1: Report({}, 0), 2: Report({}, 1)}

        async def read_again(host):
            reports._reports = {2: Report({}, 1)}

        world.before["delete"] = read_again
        await reports._remove_one()
        assert list(reports._reports) == [2]

    asyncio.run(main())


def test_write_that_is_lost_is_not_taken_for_done():
    async def scenario(world):
        await wait_until(world, 8 * SECOND)
        world.lose_request["write usage"] = 2

    play(scenario)


@pytest.mark.parametrize("call", ["write usage", "report", "delete", "write leases"])
def test_lost_answers_change_no_count(call):
    async def scenario(world):
        await wait_until(world, 3 * SECOND)
        world.lose[call] = 5

    play(scenario)


def test_store_that_is_away_for_nine_seconds_makes_no_report_late():
    async def scenario(world):
        await wait_until(world, 9600 * MS)
        world.store_is_away = True
        await wait_until(world, 18600 * MS)
        world.store_is_away = False

    play(scenario, 7)


def test_reports_that_a_platform_missed_are_sent_as_written():
    async def scenario(world):
        await wait_until(world, 10 * SECOND)
        world.platform_is_away = True
        await wait_until(world, 18 * SECOND)
        world.platform_is_away = False

    play(scenario, 7)


def test_store_that_loses_reports_leads_to_no_second_count():
    """A next holder of a restored store must not count a window anew."""

    async def scenario(world):
        await wait_until(world, 8 * SECOND)
        copy = dict(world.objects), world.version
        await wait_until(world, 17 * SECOND)
        world.objects, world.version = dict(copy[0]), copy[1]
        world.epoch += 1
        world.kill(world.holder)

    async def main():
        world = World()
        for name, domain in HOSTS.items():
            world.start(name, domain, is_first=True)
        world.former = dict(HOSTS)
        task = asyncio.create_task(scenario(world))
        while world.now < 45 * SECOND:
            await step(world)
        await task
        assert world.platform.violations == []
        # Windows wait for the killed host until shortly before they are due.
        assert max(world.platform.windows) >= FIRST_WINDOW + 6

    asyncio.run(main())


def test_window_closed_by_force_is_not_counted_anew_after_a_restore():
    """The counts that were missing have come when the next holder takes over."""

    async def main():
        world = World()
        for name, domain in HOSTS.items():
            world.start(name, domain, is_first=True)
        world.former = dict(HOSTS)
        while world.now < 8 * SECOND:
            await step(world)
        world.cut_off = {next(n for n in HOSTS if n != world.holder.name)}
        copy = dict(world.objects), world.version

        async def restore(host):
            world.objects, world.version = dict(copy[0]), copy[1]
            world.epoch += 1
            world.cut_off = set()
            world.kill(host)

        world.after["report"] = restore
        while world.now < 45 * SECOND:
            await step(world)
        assert not world.after
        assert world.platform.violations == []
        assert max(world.platform.windows) >= FIRST_WINDOW + 6

    asyncio.run(main())


def test_loss_of_the_domain_of_the_holder():
    async def scenario(world):
        await wait_until(world, 12 * SECOND)
        domain = world.holder.domain
        for host in list(world.hosts.values()):
            if host.domain == domain:
                world.kill(host)

    # Two hosts lose what they began in their last half second.
    play(scenario, 7, missing_requests=12)


def test_host_that_is_cut_off_delays_no_report_and_is_counted_after():
    async def scenario(world):
        await wait_until(world, 11 * SECOND)
        cut = next(n for n in HOSTS if world.hosts[n] is not world.holder)
        world.cut_off = {cut}
        await wait_until(world, 15500 * MS)
        world.cut_off = set()

    play(scenario, 7)


def test_holder_that_is_cut_off_leaves_the_reports_to_the_next():
    async def scenario(world):
        await wait_until(world, 11 * SECOND)
        world.cut_off = {world.holder.name}
        await wait_until(world, 22 * SECOND)
        world.cut_off = set()

    # Its counts of the two windows that are closed meanwhile come too late.
    play(scenario, 8, missing_requests=60)


@pytest.mark.parametrize("seconds", [2.4, -2.4])
def test_steps_of_the_wall_clock_of_the_holder_move_no_window(seconds):
    async def scenario(world):
        await wait_until(world, 7 * SECOND)
        host = world.holder
        host.clock.step = timedelta(seconds=seconds)
        await wait_until(world, 19 * SECOND)
        host.clock.step = timedelta(0)

    play(scenario)


@pytest.mark.parametrize("seconds", [2.4, -2.4])
def test_process_that_starts_while_its_wall_clock_is_off(seconds):
    async def scenario(world):
        await wait_until(world, 9 * SECOND)
        name = world.holder.name
        world.kill(world.holder)
        host = world.start(name, HOSTS[name], timedelta(seconds=seconds))
        host.serve("early", 5)

    play(scenario, 7, missing_requests=6)


def test_process_whose_wall_clock_is_ahead_declares_no_future_time_complete():
    """Its counts of that time would not be waited for."""

    async def main():
        world = World()
        for name, domain in HOSTS.items():
            world.start(name, domain, is_first=True)
        await world.run(8 * SECOND)
        host = world.start("h7", "a", 2400 * MS)
        while world.now < 14 * SECOND:
            # Each scheduler may be asked at any time.
            await world.hosts["h1"].sharing.collect(-1)
            await world.run(50 * MS)
            for other in world.hosts.values():
                told = other.sharing.table.through.get(host.sharing.source)
                if told is not None and other is not host:
                    assert told <= START - EPOCH + world.now
        assert host.sharing.time.is_settled
        tables = [h.sharing.table for h in world.hosts.values() if h is not host]
        assert max(t.through.get(host.sharing.source, timedelta(0)) for t in tables) > (
            START - EPOCH + 10 * SECOND
        )

    asyncio.run(main())


def test_lost_datagrams_change_no_count():
    async def scenario(world):
        calls = iter(range(10**9))
        world.loss = lambda sender, receiver: next(calls) % 3 == 0

    play(scenario)


def test_report_of_another_build_is_left_as_it_is():
    async def scenario(world):
        world.objects["usage", "odd"] = StoredObject("odd", 1, orjson.dumps(1).decode())

    play(scenario)


def run_calm(world, duration):
    async def main():
        for name, domain in HOSTS.items():
            world.start(name, domain, is_first=True)
        while world.now < duration:
            await step(world)
        assert world.platform.violations == []

    asyncio.run(main())


def test_report_that_is_always_rejected_does_not_stop_the_removal_for_ever():
    """The store would keep all later reports."""
    world = World(rejected={FIRST_WINDOW + 1: 0})
    run_calm(world, 160 * SECOND)
    assert sum(kind == "usage" for kind, _ in world.objects) <= 3
    # The delay doubles up to 30 s.
    assert 5 <= world.rejected[FIRST_WINDOW + 1] <= 12


def test_unreadable_report_does_not_stop_the_later_windows():
    name = str(FIRST_WINDOW + 1)
    world = World()
    world.objects["usage", name] = StoredObject(name, 1, "of another build")
    run_calm(world, 30 * SECOND)
    assert FIRST_WINDOW + 1 not in world.platform.windows
    assert {FIRST_WINDOW, FIRST_WINDOW + 2, FIRST_WINDOW + 3} <= set(
        world.platform.windows
    )
    assert world.objects["usage", name].body == "of another build"


def test_window_is_closed_when_complete_and_in_time_otherwise():
    end, late = 100 * SECOND, 10 * SECOND
    assert decide_closing(end, late, True, end - MS) is Closing.WAIT
    assert decide_closing(end, late, True, end) is Closing.CLOSE
    assert decide_closing(end, late, False, end + 6 * SECOND) is Closing.WAIT
    assert decide_closing(end, late, False, end + 7 * SECOND) is Closing.FORCE
