"""Test the planner with fakes of the platform's client and of a target."""

import asyncio
from datetime import timedelta
from unittest import mock

from result import Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.duties import planner
from galenapass.duties.planner import Planner
from galenapass.metrics import make_metrics
from galenapass.systems import drains
from galenapass.systems.role_planning import RequiredChange
from galenapass.tables.configurations import Configuration, Service, TargetEntry
from galenapass.tables.hosts import Host, HostState
from galenapass.tables.orders import LatestOrders
from galenapass.tables.targets import Role, Target, TargetKind, TargetState
from galenapass.tables.world import World
from tests.fake_engines import FakeEngine
from tests.fake_objects import UNAVAILABLE, FakeObjects

REQUIRED = RequiredChange("e1", "role", "decode", 9.0, 1.0, "test")


class _Client:
    """Fake of the platform's client."""

    def __init__(self):
        self.objects = FakeObjects()
        self.is_cut_off = False

    async def read(self, kind, name):
        return UNAVAILABLE if self.is_cut_off else self.objects.read(kind)

    async def write(self, kind, name, body, if_version=None):
        if self.is_cut_off:
            return UNAVAILABLE
        return self.objects.write(kind, body, if_version)


class _Engines:
    """Fake of the engines' client, with one target."""

    def __init__(self, world):
        self.world = world
        self.engine = FakeEngine(True)
        self.orders = []
        self.gate = None

    async def fetch_state(self, address):
        if self.gate is not None:
            await self.gate.wait()
        return self.engine.state(self.world.targets["e1"].own_requests)

    async def send_order(self, address, order):
        self.orders.append(order)
        return Ok(self.engine.offer(order, lambda order: None))


class PlannerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.client = _Client()
        self.world = World("h1", "north")
        self.world.targets["e1"] = Target("e1", "a:1", "north", TargetKind.ENGINE, "s")
        self.world.configuration = Configuration(
            1,
            services={"s": Service("s", TargetKind.ENGINE)},
            targets={"e1": TargetEntry("e1", "s", "a:1", "north")},
        )
        self.view = LatestOrders()
        self.engines = _Engines(self.world)
        self.daemons = {"h1": 1}
        self.wanted = (REQUIRED,)
        self.planner = Planner(
            self.world,
            1,
            self.clock,
            self.client,
            self.engines,
            make_metrics(),
            lambda: drains.list_acks(self.world, self.view, 1),
            self._publish,
        )

    def _publish(self, orders):
        now = self.clock.monotonic()
        drains.apply_orders(self.world, self.view, orders, now)

    def _run(self, rounds):
        async def inner():
            for _ in range(rounds):
                self.clock.advance(timedelta(seconds=1))
                self.planner.record_listed_daemons(self.daemons)
                await self.planner.step_lease()
                await self.planner.step_orders()

        wants = mock.patch.object(
            planner, "list_required_changes", lambda *_: self.wanted
        )
        with wants:
            asyncio.run(inner())

    def _finish_change(self):
        self.wanted = ()
        self.engines.engine.finish()
        self._run(3)

    @property
    def target(self):
        return self.world.targets["e1"]

    def test_drains_orders_and_returns_to_service(self):
        self.target.own_requests = 1
        self._run(4)
        self.assertIs(TargetState.DRAINING, self.target.state)
        self.assertEqual([], self.engines.orders)
        self.target.own_requests = 0
        self._run(3)
        self.assertIs(TargetState.CHANGING, self.target.state)
        self._finish_change()
        self.assertIs(TargetState.SERVING, self.target.state)
        self.assertIs(Role.DECODE, self.target.role)
        self.assertEqual(1, len(self.engines.orders))

    def test_repeats_the_order_after_a_crash_during_the_change(self):
        self._run(4)
        self.engines.engine.crash()
        self._run(4)
        first, second = self.engines.orders
        self.assertEqual(first.id, second.id)
        self.assertLess(first.fence, second.fence)

    def test_sends_no_order_when_cut_off_from_the_platform(self):
        self.target.own_requests = 1
        self._run(4)
        self.client.is_cut_off = True
        self.target.own_requests = 0
        self._run(20)
        self.assertFalse(self.planner.is_holder())
        self.assertEqual([], self.engines.orders)

    def test_waits_for_a_daemon_that_does_not_answer_and_then_serves_again(self):
        self.daemons = {"h1": 1, "h2": 1}
        self.world.hosts["h2"] = Host("h2", "a:2", "north", 1)
        self._run(10)
        self.assertIs(TargetState.DRAINING, self.target.state)
        self._run(60)
        self.assertIs(TargetState.SERVING, self.target.state)
        self.assertEqual([], self.engines.orders)
        self._run(10)
        self.assertIs(TargetState.SERVING, self.target.state)

    def test_starts_no_drain_that_a_daemon_cannot_acknowledge(self):
        self.daemons = {"h1": 1, "h2": 1}
        host = Host("h2", "a:2", "north", 1, HostState.SUSPECT)
        self.world.hosts["h2"] = host
        self._run(10)
        self.assertIs(TargetState.SERVING, self.target.state)
        host.state = HostState.ALIVE
        self._run(2)
        self.assertIs(TargetState.DRAINING, self.target.state)

    def test_seeks_no_lease_before_its_host_is_listed(self):
        self.daemons = {"h2": 1}
        self._run(3)
        self.assertFalse(self.planner.is_holder())

    def test_releases_the_lease_when_it_loses_its_duty(self):
        self._run(2)
        self.assertTrue(self.planner.is_holder())
        asyncio.run(self._run_and_cancel())
        self.assertFalse(self.planner.is_holder())
        self.assertIn('"holder":null', self.client.objects.objects["leases"].body)

    def test_finishes_a_call_in_flight_before_it_stops_and_can_run_again(self):
        self._run(4)
        self.engines.engine.crash()
        self.clock.advance(timedelta(seconds=1))
        self.engines.gate = asyncio.Event()
        asyncio.run(self._run_and_cancel())
        self._run(20)
        self.assertEqual(2, len(self.engines.orders))
        self._finish_change()
        self.assertIs(Role.DECODE, self.target.role)

    async def _run_and_cancel(self):
        task = asyncio.create_task(self.planner.run())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.01)
        if self.engines.gate is not None:
            self.engines.gate.set()
        await asyncio.gather(task, return_exceptions=True)
