"""Check how targets are polled and how their reports and the host list combine."""

import asyncio
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from result import Ok
from testtools import TestCase

from galenapass.duties.observer import Observer
from galenapass.systems.targets import (
    apply_configuration,
    apply_presence,
    record_readiness,
)
from galenapass.tables.configurations import Configuration, Service, TargetEntry
from galenapass.tables.targets import LoadReport, Role, Target, TargetKind, TargetState
from galenapass.tables.world import World
from galenapass.targets.engines import EngineState
from tests.test_routing import make_world

leaving_reports = st.lists(st.tuples(st.booleans(), st.booleans()), min_size=1)


class FixedClock:
    def monotonic(self):
        return timedelta(0)


class ObserverTest(TestCase):
    def observe_role(self, phase, state):
        engine = Target("e", "e", "north", TargetKind.ENGINE, "assistant", state=state)
        entry = TargetEntry("e", "assistant", "127.0.0.1:1", "north")
        declared = Configuration(version=1, targets={"e": entry})
        world = World("entry-1", "north", declared, targets={"e": engine})

        async def fetch_ready(address):
            return Ok(True)

        async def fetch_load(address):
            return Ok(LoadReport("i1", 1, 0, 0, 0, 0, 2000, 16))

        async def fetch_state(address):
            return Ok(EngineState("i1", "decode", "m", (), phase, None, None, 0))

        async def check():
            observer = Observer(
                world,
                FixedClock(),
                fetch_load,
                fetch_state,
                fetch_ready,
                lambda: [engine],
                lambda target: None,
            )
            await observer.observe()
            await asyncio.gather(*observer._reads.values())

        asyncio.run(check())
        return engine.role

    def test_the_engine_reports_its_role(self):
        serving = TargetState.SERVING
        self.assertEqual(Role.DECODE, self.observe_role("serving", serving))

    def test_a_reported_role_is_ignored_while_it_changes(self):
        changing = TargetState.CHANGING
        self.assertEqual(Role.MIXED, self.observe_role("serving", changing))
        serving = TargetState.SERVING
        self.assertEqual(Role.MIXED, self.observe_role("changing", serving))

    def test_a_silent_target_delays_no_other(self):
        polled = []

        async def fetch_ready(address):
            polled.append(address)
            if address == "silent":
                await asyncio.Event().wait()
            return Ok(True)

        targets = [
            Target(name, name, "north", TargetKind.SERVICE, "booking")
            for name in ("silent", "quick")
        ]

        async def check():
            world = World("entry-1", "north")
            observer = Observer(
                world, FixedClock(), None, None, fetch_ready, lambda: targets, print
            )
            for _ in range(3):
                await asyncio.wait_for(observer.observe(), 5)
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            await observer.stop()

        asyncio.run(check())
        self.assertEqual(3, polled.count("quick"))
        self.assertEqual(1, polled.count("silent"))


class PresenceTest(TestCase):
    @given(leaving_reports)
    def test_any_report_of_leaving_overrides_reports_of_staying(self, reports):
        world = make_world()
        target = next(iter(world.targets.values()))
        world.configuration.targets[target.id] = None
        listed, reported = False, False
        for by_list, leaves in reports:
            if by_list:
                listed = leaves
                names = [[target.id], []]
                leaving, live = names if leaves else reversed(names)
                apply_presence(world, leaving, live)
            else:
                reported = leaves
                record_readiness(world, target, not leaves)
            leaving = target.state is TargetState.LEAVING
            self.assertEqual(listed or reported, leaving)


class DomainTargetsTest(TestCase):
    def test_a_daemon_without_pooling_excludes_other_domains(self):
        for pooled, names in ((True, {"near", "far"}), (False, {"near"})):
            world = World("entry-1", "north", pooled=pooled)
            apply_configuration(world, make_configuration())
            self.assertEqual(names, set(world.targets))


def make_configuration():
    service = Service("booking", TargetKind.SERVICE)
    entries = [
        TargetEntry("near", "booking", "127.0.0.1:1", "north"),
        TargetEntry("far", "booking", "127.0.0.1:2", "south"),
    ]
    targets = {entry.name: entry for entry in entries}
    return Configuration(version=1, services={"booking": service}, targets=targets)
