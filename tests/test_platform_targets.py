"""Test how a daemon on the platform handles leaving and changing targets."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from galenapass.forwarding.engine_states import ENTRY_LEAD
from galenapass.tables.targets import Role, TargetState
from stand_ins.runner import STREAM_BODY
from tests.platform_fleet import run


class TestTargets(TestCase):
    def test_a_leaving_target_gets_no_more_work(self):
        async def scenario(fleet):
            fleet.register(fleet.plain, state="draining")
            await fleet.wait_for(
                lambda: fleet.daemon.fleet.targets["s1"].state.value == "leaving"
            )
            for _ in range(4):
                status, body, _ = await fleet.send("/seats/1")
                self.assertEqual((200, True), (status, body.startswith(b"s2")))

        run(scenario)

    def test_a_target_that_announces_leaving_gets_no_more_work(self):
        # During a release with an unavailable store, requests exceeded the limit on
        # leaving targets 117 times (cwpc-shared): their entries still said ready.
        for name in ("plain", "decode", "prefill"):
            with self.subTest(name):
                run(lambda fleet, name=name: self.check_leaving(fleet, name))

    async def check_leaving(self, fleet, name):
        runner = getattr(fleet, name)
        runner.faults.leaving = True
        path = "/seats/1" if name == "plain" else "/notes/1"
        method = "GET" if name == "plain" else "POST"
        async with asyncio.timeout(5.0):
            while not runner.received:
                await fleet.send(path, method)
        received = len(runner.received)
        # The entry is written again with its state unchanged.
        fleet.register(runner, cold_remaining_ms=1)
        for _ in range(5):
            await fleet.send(path, method)
        self.assertEqual(received, len(runner.received))
        runner.born, runner.faults.leaving = 2, False
        fleet.register(runner)
        await fleet.wait_for(
            lambda: fleet.daemon.fleet.targets[runner.id].state is TargetState.SERVING
        )

    def test_a_target_gets_nothing_until_its_retry_after_ends(self):
        async def scenario(fleet):
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.shed, runner.faults.retry_after_seconds = True, 0.6
            status, _, headers = await fleet.send("/seats/1")
            self.assertEqual(503, status)
            self.assertLessEqual(float(headers["Retry-After"]), 0.6)
            received = len(fleet.plain.received + fleet.second_plain.received)
            self.assertEqual(2, received)
            for _ in range(4):
                await fleet.send("/seats/1")
            self.assertEqual(
                received, len(fleet.plain.received + fleet.second_plain.received)
            )
            for runner in (fleet.plain, fleet.second_plain):
                runner.faults.shed = False
            await asyncio.sleep(0.65)
            self.assertEqual(200, (await fleet.send("/seats/1"))[0])

        run(scenario)

    def test_lost_as_one_crashed_engine_counted_as_its_whole_domain(self):
        # The engine that prefills and the other one that decodes were sound, and six
        # requests were refused.
        async def scenario(fleet):
            fleet.decode.faults.restart_seconds = 10.0
            fleet.decode.crash()
            for _ in range(3):
                answers = await asyncio.gather(
                    *(fleet.send("/notes/1", "POST") for _ in range(6))
                )
                self.assertEqual({200}, {status for status, _, _ in answers})

        run(scenario)

    def test_another_target_at_the_address_runs_nothing(self):
        async def scenario(fleet):
            fleet.store.remove("servers", "s2")
            await fleet.wait_for(lambda: "s2" not in fleet.daemon.fleet.targets)
            fleet.plain.id = "another"
            status, _, _ = await fleet.send("/hold/1", "POST")
            self.assertEqual((503, []), (status, fleet.plain.ran))

        run(scenario)

    def test_roles_are_ordered_under_a_fence(self):
        async def scenario(fleet):
            fleet.store.remove("servers", "e1")
            await fleet.wait_for(
                lambda: (
                    fleet.decode.accepted_orders or fleet.second_decode.accepted_orders
                ),
                seconds=8.0,
            )
            (order,) = (
                fleet.decode.accepted_orders + fleet.second_decode.accepted_orders
            )[:1]
            self.assertEqual("front-1", order["holder"])
            self.assertGreaterEqual(order["fencing_token"], 1)
            self.assertEqual(0, order["expected"])

        run(scenario)

    def test_an_engine_that_changed_its_role_unseen_is_probed(self):
        # A domain that was partitioned just after a role change sent prompts to an
        # engine in role decode, and had no engine to decode (tena-tours trouble-1).
        async def scenario(fleet):
            targets = fleet.daemon.fleet.targets
            fleet.decode.stage, fleet.prefill.stage = "prefill", "decode"
            await fleet.send("/notes/1", "POST")
            await fleet.wait_for(lambda: targets["e1"].role is Role.DECODE)
            status, body, _ = await fleet.send("/notes/2", "POST")
            self.assertEqual((200, STREAM_BODY), (status, body))

        run(scenario)

    def test_engines_are_probed_while_none_is_recorded_as_decode(self):
        # A daemon with outdated roles refused every prompt permanently, as a refused
        # request could not correct them (soak seed 44).
        async def scenario(fleet):
            targets = fleet.daemon.fleet.targets
            for name in ("d1", "d2"):
                targets[name] = replace(targets[name], role=Role.PREFILL)
            await asyncio.sleep(ENTRY_LEAD.total_seconds())
            async with asyncio.timeout(5.0):
                while (await fleet.send("/notes/1", "POST"))[0] != 200:
                    await asyncio.sleep(0.05)

        run(scenario)

    def test_an_engine_gets_nothing_while_its_role_changes(self):
        async def scenario(fleet):
            targets = fleet.daemon.fleet.targets
            fleet.decode.faults.changing = True
            async with asyncio.timeout(3.0):
                while targets["d1"].state is not TargetState.CHANGING:
                    await fleet.send("/notes/1", "POST")
            arrived = len(fleet.decode.received)
            for n in range(5):
                status, body, _ = await fleet.send(f"/notes/{n}", "POST")
                self.assertEqual((200, STREAM_BODY), (status, body))
            self.assertEqual(arrived, len(fleet.decode.received))
            fleet.decode.faults.changing = False
            await fleet.wait_for(lambda: targets["d1"].state is TargetState.SERVING)

        run(scenario)
