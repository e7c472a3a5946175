"""Test in which order configurations are decoded and applied."""

import asyncio

from result import Err, Ok
from testtools import TestCase

from galenapass.clocks import ManualClock
from galenapass.forwarding.configuration_updates import ConfigurationUpdates
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import RouteTable
from galenapass.platform.messages import StoredObject

STEPS = 20


class Applier:
    """Updates of one host, whose bodies are versions that take some steps to decode."""

    def __init__(self):
        self.begun, self.applied = [], []
        self.fleet = Fleet("h1", "zone-a")
        self.updates = ConfigurationUpdates(
            self.fleet, ManualClock(), self.decode, self.record, str
        )

    def decode(self, name, body):
        return self.decode_body(body) if name == "main" else None

    def decode_body(self, body):
        self.begun.append(body)
        for _ in range(STEPS):
            yield
        if not body.isdigit():
            return Err("no version")
        return Ok(RouteTable(version=int(body)))

    def record(self):
        self.applied.append(self.fleet.routes.version)

    def apply(self, *versions):
        for version in versions:
            self.updates.apply(StoredObject("main", int(version), version), "test")


def run(scenario):
    async def main():
        applier = Applier()
        await scenario(applier)
        async with asyncio.timeout(5):
            await applier.updates.settle()
        return applier

    return asyncio.run(main())


class TestOrder(TestCase):
    def test_only_the_newest_version_that_waits_is_decoded(self):
        async def scenario(applier):
            applier.apply("3")
            await asyncio.sleep(0)
            applier.apply("4", "5", "7")

        applier = run(scenario)
        self.assertEqual((["3", "7"], [3, 7]), (applier.begun, applier.applied))

    def test_an_older_version_does_not_replace_a_newer_one_that_waits(self):
        async def scenario(applier):
            applier.apply("3")
            await asyncio.sleep(0)
            applier.apply("7", "5")

        self.assertEqual([3, 7], run(scenario).applied)

    def test_an_older_version_does_not_take_effect(self):
        async def scenario(applier):
            applier.apply("7")
            await applier.updates.settle()
            applier.apply("5")

        applier = run(scenario)
        self.assertEqual(([7], 7), (applier.applied, applier.updates.in_force.version))

    def test_an_unreadable_version_does_not_stop_the_next_one(self):
        async def scenario(applier):
            applier.updates.apply(StoredObject("main", 4, "x"), "test")
            await asyncio.sleep(0)
            applier.apply("5")

        self.assertEqual([5], run(scenario).applied)

    def test_an_object_of_another_name_is_not_decoded(self):
        async def scenario(applier):
            applier.updates.apply(StoredObject("other", 4, "4"), "test")

        self.assertEqual([], run(scenario).begun)
