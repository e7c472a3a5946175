"""Test the take-ups of streams at a host that is out of step as a version joins."""

import asyncio
from datetime import timedelta

from testtools import TestCase

from experiments.soak.stream_clients import list_events, list_versions
from galenapass.forwarding import origin_sharing
from stand_ins.runner import Runner
from tests.platform_fleet import run

TWO_HOSTS = ("zone-a", "zone-b")
VERSIONS = {"d1": "v1", "d2": "v1"}
STREAMS = 24


class SilentStore:
    """Store whose watches bring no changes, as if their connection were dead."""

    async def watch(self, kind, after, wait):
        await asyncio.sleep(60)


def cut_off(daemon):
    """Let a daemon hear no changes of targets and no peers, as yet unnoticed."""
    daemon._targets_watch._store = SilentStore()
    daemon._targets_watch.restart()
    daemon.origins.apply_notice = lambda notice, *, from_client: None


async def add_targets(fleet, version):
    """Start two decode targets of another version."""
    for name in ("d3", "d4"):
        runner = Runner(name, "lm", stage="decode", version=version)
        runner.faults.marks_version = True
        fleet.more_decode.append(runner)
        await runner.start()
        fleet.register(runner)


class TestJoiningVersions(TestCase):
    def test_order_streams_go_on_at_another_version_at_a_host_that_is_out_of_step(self):
        # Nobody has published the new version yet.
        self.patch(origin_sharing, "PUBLISH_INTERVAL", timedelta(seconds=2))

        async def scenario(fleet):
            in_step, out_of_step = fleet.daemons
            # Both have published the version that serves, and have run for long.
            await asyncio.sleep(2.5)
            for daemon in fleet.daemons:
                daemon.origins._history._complete_at = timedelta(0)
            cut_off(out_of_step)
            await asyncio.sleep(0.1)
            await add_targets(fleet, "v2")
            for runner in fleet.decode_runners:
                runner.faults.break_after = 2
            await fleet.wait_for(lambda: "d4" in in_step.fleet.targets)

            async def take_up(number):
                path = f"/notes/{number}"
                attempt, _, begun, _ = await fleet.send_stream(path, leave_after=2)
                last = str(list_events(begun)[-1]) if list_events(begun) else "0"
                _, status, rest, _ = await fleet.send_stream(
                    path, 1, Last_Event_Id=last, Resumes=attempt
                )
                return begun, status, rest

            results = await asyncio.gather(*(take_up(n) for n in range(STREAMS)))
            begun_new = [one for one in results if list_versions(one[0]) == ["lm-v2"]]
            self.assertGreater(len(begun_new), 2)
            joined = [
                begun + rest
                for begun, _, rest in results
                if len(list_versions(begun + rest)) > 1
            ]
            self.assertEqual([], joined)

        run(scenario, domains=TWO_HOSTS, versions=VERSIONS)
