"""Test that few daemons announce leaving targets and all apply the announcements."""

import asyncio
from datetime import timedelta
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from testtools import TestCase

from galenapass.duties.host_list import NON_HOLDER_PERIOD, HostListReader
from galenapass.platform.messages import Failure, FailureCause, ListedHost
from galenapass.systems import presence
from galenapass.systems.presence import Presence
from galenapass.tables.peer_messages import Drain
from galenapass.tables.targets import Target, TargetKind, TargetState
from galenapass.tables.world import World

NAMES = ("runner-1", "runner-2")
LISTED = st.fixed_dictionaries({name: st.booleans() for name in NAMES})
STEPS = st.lists(st.tuples(LISTED, st.sampled_from([(0,), (1,), (0, 1), ()])))


def make_world():
    world = World("entry-1", "north")
    for name in NAMES:
        world.targets[name] = Target(name, "", "north", TargetKind.ENGINE, "assistant")
    world.configuration.targets.update(dict.fromkeys(NAMES))
    return world


def list_leaving(world):
    states = ((t.id, t.state) for t in world.targets.values())
    return {name for name, state in states if state is TargetState.LEAVING}


class Daemon:
    def __init__(self):
        self.world = make_world()
        self.presence = Presence()

    def read(self, listed):
        return presence.apply_target_list(self.presence, self.world, listed)

    def receive(self, updates):
        for drain in updates:
            presence.apply_drain(self.presence, self.world, drain)


class PresenceTest(TestCase):
    @given(STEPS, LISTED, st.permutations([0, 1]), st.randoms())
    def test_a_daemon_that_only_receives_agrees_with_the_list(
        self, steps, last, order, random: Random
    ):
        holders, receiver = [Daemon(), Daemon()], Daemon()
        announced = []
        for listed, readers in [*steps, (last, order)]:
            for number in readers:
                updates = holders[number].read(listed)
                announced += updates
                holders[1 - number].receive(updates)
                receiver.receive(updates)
        expected = {name for name, leaving in last.items() if leaving}
        self.assertEqual(expected, list_leaving(receiver.world))
        random.shuffle(announced)
        late = Daemon()
        late.receive(announced)
        self.assertEqual(expected, list_leaving(late.world))

    @given(LISTED)
    def test_an_unchanged_list_is_not_announced(self, listed):
        first, second = Daemon(), Daemon()
        second.receive(first.read(listed))
        self.assertEqual([], first.read(listed))
        self.assertEqual([], second.read(listed))

    def test_a_lagging_read_revokes_nothing(self):
        daemon = Daemon()
        daemon.receive([Drain("runner-1", 1)])
        self.assertEqual([], daemon.read({"runner-1": False}))


class Objects:
    def __init__(self):
        self.calls = 0
        self.answer = Ok(())

    async def list_hosts(self):
        self.calls += 1
        return self.answer


class Clock:
    def __init__(self):
        self.now = timedelta(0)

    def monotonic(self):
        return self.now


class HostListTest(TestCase):
    def setUp(self):
        super().setUp()
        self.world, self.objects, self.clock = make_world(), Objects(), Clock()
        self.is_holder, self.announced, self.daemons = False, [], []
        self.host_list = HostListReader(
            self.world,
            self.clock,
            self.objects,
            lambda: self.is_holder,
            self.daemons.extend,
            self.announced.append,
        )

    def read(self, times, pause=timedelta(seconds=1)):
        for _ in range(times):
            asyncio.run(self.host_list.read())
            self.clock.now += pause

    def test_the_list_is_read_each_time_only_for_a_duty(self):
        self.read(NON_HOLDER_PERIOD.seconds)
        self.assertEqual(1, self.objects.calls)
        self.read(1)
        self.assertEqual(2, self.objects.calls)
        self.is_holder = True
        self.read(5)
        self.assertEqual(7, self.objects.calls)

    def test_a_failed_read_is_repeated_at_once(self):
        self.objects.answer = Err(Failure(FailureCause.UNAVAILABLE))
        self.assertFalse(asyncio.run(self.host_list.read()))
        self.assertFalse(asyncio.run(self.host_list.read()))
        self.assertEqual(2, self.objects.calls)
        self.assertFalse(self.host_list.is_reachable)

    def test_a_leaving_target_is_announced_and_daemons_are_recorded(self):
        rows = (
            ListedHost("runner-1", "target", "", "north", leaving=True),
            ListedHost("entry-2", "daemon", "", "north", incarnation=3),
        )
        self.objects.answer = Ok(rows)
        self.read(1)
        self.assertEqual([Drain("runner-1", 1)], self.announced)
        self.assertEqual(["entry-2"], [daemon.id for daemon in self.daemons])
        self.assertEqual({"runner-1"}, list_leaving(self.world))
