"""Test daemons on the platform while the store returns to an older copy."""

import asyncio
from collections import Counter
from unittest import mock

from testtools import TestCase

from galenapass.platform.messages import FailureCause
from galenapass.platform.store_client import StoreClient
from galenapass.tables.targets import TargetState
from stand_ins.platform_routes import CONFIGURATION, make_route
from tests.platform_fleet import run

HOSTS = ("zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c")
# Time for every host to hear of a restore and list the store again.
SETTLE_SECONDS = 1.5


async def settle(fleet):
    hosts = len(fleet.daemons)
    await fleet.wait_for(
        lambda: all(daemon.daemon_count == hosts for daemon in fleet.daemons),
        seconds=15.0,
    )
    await fleet.wait_for(lambda: count_holders(fleet) == 1, seconds=15.0)


def count_holders(fleet):
    return sum(daemon.planner.is_holder for daemon in fleet.daemons)


class TestRestore(TestCase):
    def test_restore_watches_that_the_store_has_passed_again_miss_nothing(self):
        # The restored store gives the revision of the watch out again, so no 410 comes.
        async def scenario(fleet):
            copy = fleet.store.copy()
            for number in range(5):
                fleet.register(fleet.plain, cold_remaining_ms=number)
            watch = fleet.daemon._targets_watch
            await fleet.wait_for(lambda: watch.version == fleet.store.revision)
            fleet.store.restore(copy)
            fleet.store.remove("servers", "s2")
            while fleet.store.revision < copy.revision + 20:
                fleet.register(fleet.plain, cold_remaining_ms=fleet.store.revision)
            tables = fleet.daemon.fleet
            await fleet.wait_for(lambda: "s2" not in tables.targets, seconds=4.0)

        run(scenario)

    def test_restore_a_configuration_that_was_in_force_stays(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            route = make_route("/new/", "idempotent", "desk")
            routes = [*CONFIGURATION["routes"], route]
            fleet.store.put(
                "config", "main", CONFIGURATION | {"version": 4, "routes": routes}
            )
            await fleet.wait_for(lambda: fleet.daemon.fleet.routes.version == 4)
            fleet.store.restore(copy)
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual(4, fleet.daemon.fleet.routes.version)
            self.assertEqual(200, (await fleet.send("/new/1"))[0])

        run(scenario)

    def test_restore_a_target_that_left_is_not_used_again(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            tables = fleet.daemon.fleet
            fleet.store.remove("servers", "s1")
            await fleet.wait_for(lambda: "s1" not in tables.targets)
            fleet.store.restore(copy)
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(4):
                self.assertTrue((await fleet.send("/seats/1"))[1].startswith(b"s2"))

        run(scenario)

    def test_restore_a_draining_target_is_not_used_again(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            tables = fleet.daemon.fleet
            fleet.register(fleet.plain, state="draining")
            await fleet.wait_for(
                lambda: tables.targets["s1"].state is TargetState.LEAVING
            )
            fleet.store.restore(copy)
            await asyncio.sleep(SETTLE_SECONDS)
            for _ in range(4):
                self.assertTrue((await fleet.send("/seats/1"))[1].startswith(b"s2"))

        run(scenario)

    def test_restore_a_target_whose_entry_is_missing_for_a_moment_stays(self):
        async def scenario(fleet):
            fleet.store.remove("servers", "s2")
            await fleet.wait_for(lambda: "s2" not in fleet.daemon.fleet.targets)
            copy = fleet.store.copy()
            fleet.second_plain.born += 1
            fleet.register(fleet.second_plain)
            await fleet.wait_for(lambda: "s2" in fleet.daemon.fleet.targets)
            fleet.store.restore(copy)
            for _ in range(10):
                await asyncio.sleep(0.1)
                self.assertIn("s2", fleet.daemon.fleet.targets)
            fleet.register(fleet.second_plain)
            await asyncio.sleep(2.5)
            self.assertIn("s2", fleet.daemon.fleet.targets)
            fleet.store.remove("servers", "s2")
            await fleet.wait_for(lambda: "s2" not in fleet.daemon.fleet.targets)

        run(scenario)

    def test_restore_an_older_incarnation_does_not_come_back(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            tables = fleet.daemon.fleet
            fleet.plain.born = 2
            fleet.register(fleet.plain)
            await fleet.wait_for(lambda: tables.targets["s1"].incarnation == "2")
            fleet.store.restore(copy)
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual("2", tables.targets["s1"].incarnation)

        run(scenario)

    def test_restore_hosts_register_again(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            await settle(fleet)
            self.assertEqual(len(HOSTS), len(fleet.store.objects["hosts"]))
            fleet.store.restore(copy)
            await fleet.wait_for(
                lambda: len(fleet.store.objects.get("hosts", {})) == len(HOSTS)
            )

        run(scenario, domains=HOSTS, settle=False)


class TestEpochs(TestCase):
    def test_restore_is_heard_from_peers_by_a_host_that_the_store_rejects(self):
        async def scenario(fleet):
            await settle(fleet)
            cut_off = fleet.daemons[-1]
            # Nothing listens there.
            cut_off.store._base = "http://127.0.0.1:1"
            fleet.store.restore(fleet.store.copy())
            await fleet.wait_for(lambda: cut_off.epochs.current == 2, seconds=3.0)

        run(scenario, domains=HOSTS)

    def test_restore_several_times_also_during_an_outage(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            tables, epochs = fleet.daemon.fleet, fleet.daemon.epochs
            fleet.store.restore(copy)
            await asyncio.sleep(0.3)
            fleet.store.faults.status = 503
            await asyncio.sleep(1.5)
            fleet.store.restore(copy)
            fleet.store.restore(copy)
            fleet.store.remove("servers", "s2")
            await asyncio.sleep(0.5)
            fleet.store.faults.status = None
            await fleet.wait_for(lambda: epochs.current == 4)
            await fleet.wait_for(lambda: "s2" not in tables.targets)
            self.assertEqual(200, (await fleet.send("/seats/1"))[0])
            for sample in fleet.daemon.metrics.registry.collect():
                if sample.name == "galenapass_store_restores":
                    self.assertEqual(2, sample.samples[0].value)

        run(scenario)

    def test_restore_beside_the_end_of_the_lease_holder(self):
        async def scenario(fleet):
            await settle(fleet)
            copy = fleet.store.copy()
            holder = next(d for d in fleet.daemons if d.planner.is_holder)
            fence = holder.planner._keeper.fence
            fleet.store.restore(copy)
            await holder.stop()
            rest = [daemon for daemon in fleet.daemons if daemon is not holder]
            await fleet.wait_for(
                lambda: any(daemon.planner.is_holder for daemon in rest), seconds=15.0
            )
            new = next(daemon for daemon in rest if daemon.planner.is_holder)
            self.assertGreater(new.planner._keeper.fence, fence)
            self.assertEqual(
                200, (await fleet.send("/seats/1", host=fleet.daemons.index(new)))[0]
            )

        run(scenario, domains=HOSTS)

    def test_restore_answers_of_an_earlier_epoch_count_as_lost(self):
        async def scenario(fleet):
            store = fleet.daemon.store
            fleet.daemon.epochs.observe(2, "front-9")
            read = await store.read("config", "main")
            self.assertIs(FailureCause.UNKNOWN, read.err_value.cause)
            fleet.store.restore(fleet.store.copy())
            self.assertTrue((await store.read("config", "main")).is_ok())

        run(scenario)

    def test_restore_between_two_pages_fails_the_listing(self):
        async def scenario(fleet):
            for number in range(12):
                fleet.store.put("things", f"t{number:02}", {})
            store, send = fleet.daemon.store, StoreClient._send
            pages = []

            async def send_and_restore(client, call):
                answer = await send(client, call)
                if "/things" in call.path:
                    pages.append(call)
                    if len(pages) == 1:
                        fleet.store.restore(fleet.store.copy())
                return answer

            with mock.patch.object(StoreClient, "_send", send_and_restore):
                listing = await store.list("things")
            self.assertIs(FailureCause.UNKNOWN, listing.err_value.cause)
            self.assertEqual(12, len((await store.list("things")).ok_value.items))

        run(scenario)


class TestLease(TestCase):
    def test_restore_no_fence_is_given_out_twice_and_no_two_hosts_hold_the_lease(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            await settle(fleet)
            held = {}
            for _ in range(2):
                holder = next(d for d in fleet.daemons if d.planner.is_holder)
                fence = holder.planner._keeper.fence
                held[fence] = holder.settings.host
                fleet.store.restore(copy)
                end = asyncio.get_running_loop().time() + 6.0
                while asyncio.get_running_loop().time() < end:
                    self.assertLessEqual(count_holders(fleet), 1)
                    for daemon in fleet.daemons:
                        fence = daemon.planner._keeper.fence
                        if fence is not None:
                            self.assertGreaterEqual(fence, max(held))
                            owner = held.setdefault(fence, daemon.settings.host)
                            self.assertEqual(owner, daemon.settings.host)
                    await asyncio.sleep(0.01)
                self.assertEqual(1, count_holders(fleet))
            self.assertGreaterEqual(len(held), 3)

        run(scenario, domains=HOSTS, settle=False)


class TestCalls(TestCase):
    def test_restore_no_burst_of_calls_follows(self):
        async def scenario(fleet):
            await settle(fleet)
            copy = fleet.store.copy()
            await asyncio.sleep(1.0)
            fleet.store.restore(copy)
            fleet.store.calls.clear()
            await asyncio.sleep(5.0)
            writes = [method for method, _ in fleet.store.calls if method != "GET"]
            # Six hosts; the deployments allow 2,000 reads and 400 writes a second.
            self.assertLess(len(fleet.store.calls), 200, Counter(fleet.store.calls))
            self.assertLess(len(writes), 40)

        run(scenario, domains=HOSTS)
