"""Test the streams that clients take up again after all daemons were killed at once."""

import asyncio
import signal
import tempfile
import time
from pathlib import Path
from random import Random

from testtools import TestCase

from experiments.soak.environment import Environment
from experiments.soak.faults import Fault
from experiments.soak.runs import wait_ready
from experiments.soak.stream_clients import (
    MIN_TAKE_UPS,
    StreamClient,
    find_joined,
    find_refused_take_ups,
    list_events,
)
from stand_ins.platform_routes import CONFIGURATION

DAEMONS = 3
CLIENTS = 24
DEADLINE_MS = 8000
ROUTES = [route | {"timeout_ms": DEADLINE_MS} for route in CONFIGURATION["routes"]]
KILL_SECONDS = 3.0
DOWN_SECONDS = 0.5
JOIN_SECONDS = 1.2
PLAY_SECONDS = 7.0
SEED = 2026
# A take-up that can't go on is refused at once; a busy machine needs some time for it.
REFUSAL_SECONDS = 1.0


class KilledHosts:
    """Clients that read streams of two software versions while daemons are killed."""

    def __init__(self, environment):
        self.environment = environment
        self.killed_at = 0.0
        self.clients = [
            StreamClient(
                f"c{n}",
                {name: d.address for name, d in environment.daemons.items()},
                Random(f"{SEED}-{n}"),
                environment.is_served,
            )
            for n in range(CLIENTS)
        ]

    @property
    def streams(self):
        return [stream for client in self.clients for stream in client.streams]

    @property
    def take_ups(self):
        """Return the take-ups after the kill that were answered."""
        return [
            one
            for stream in self.streams
            for one in stream.tries
            if one.resumes and one.status and one.began > self.killed_at
        ]

    async def play(self, actions):
        """Apply actions at their times, in seconds, while the clients read."""
        started = time.monotonic()
        is_over = lambda: time.monotonic() > started + PLAY_SECONDS  # noqa: E731
        async with asyncio.TaskGroup() as tasks:
            for client in self.clients:
                tasks.create_task(client.run(started, is_over))
            for at, action in [*actions, (KILL_SECONDS, self.kill)]:
                tasks.create_task(apply_at(started + at, action))

    async def kill(self):
        """Kill all daemons at once and start them again."""
        self.killed_at = time.monotonic()
        for daemon in self.environment.daemons.values():
            daemon.send(signal.SIGKILL)
        for daemon in self.environment.daemons.values():
            await daemon.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        names = self.environment.daemons
        await asyncio.gather(*(self.environment.start_daemon(n) for n in names))

    def inject(self, kind, component, seconds=0.0):
        """Return an action that injects a fault."""
        return lambda: self.environment.apply(Fault(0.0, seconds, kind, component))

    def list_engines(self, version):
        """Return the names of the engines of a version, whose roles may change."""
        return [
            name
            for name, runner in self.environment.runners.items()
            if runner.stage and runner.version == version
        ]


class LateVersion(Environment):
    """Environment whose second version is unknown as the daemons start."""

    async def start_daemon(self, name):
        if self.daemons[name].process is None:
            names = [
                n for n, r in self.runners.items() if r.version == self.versions[1]
            ]
            await self.leave(*names)
        await super().start_daemon(name)

    async def join(self, *names):
        for name in names:
            self._register(self.runners[name])

    async def leave(self, *names):
        for name in names:
            self._remove(self.runners[name])


async def apply_at(at, action):
    await asyncio.sleep(max(at - time.monotonic(), 0))
    await action()


class TestKilledHosts(TestCase):
    def play(self, plan, versions=("v1", "v2"), make_environment=Environment):
        """Return the hosts after a play with the actions that ``plan`` returns."""

        async def main(folder):
            environment = make_environment(
                folder,
                DAEMONS,
                configuration=CONFIGURATION | {"routes": ROUTES},
                versions=versions,
            )
            try:
                await environment.start()
                self.assertEqual([], await wait_ready(environment))
                hosts = KilledHosts(environment)
                await hosts.play(plan(hosts))
            finally:
                await environment.stop()
            return hosts

        with tempfile.TemporaryDirectory() as folder:
            hosts = asyncio.run(main(Path(folder)))
        self.assertEqual([], find_joined(hosts.streams))
        self.assertNotEqual([], hosts.take_ups)
        self.assertEqual(set(), {one.status for one in hosts.take_ups} - {200, 503})
        late = [
            round(one.ended - one.began, 2)
            for one in hosts.take_ups
            if one.status == 503 and one.ended - one.began > REFUSAL_SECONDS
        ]
        self.assertEqual([], late)
        return hosts

    def check_share(self, hosts):
        """Check that take-ups at versions that serve go on as new streams begin."""
        served = {one.resumes for one in hosts.take_ups if one.is_served}
        self.assertGreaterEqual(len(served), MIN_TAKE_UPS)
        is_after = lambda one: one.began > hosts.killed_at  # noqa: E731
        self.assertEqual([], find_refused_take_ups(hosts.streams, is_after))

    def test_order_streams_are_joined_after_a_kill_of_all_hosts(self):
        self.check_share(self.play(lambda hosts: []))

    def test_order_streams_are_joined_as_the_older_version_has_left(self):
        def plan(hosts):
            rest = PLAY_SECONDS - KILL_SECONDS
            return [
                (KILL_SECONDS - 0.1, hosts.inject("lapse", name, rest))
                for name in hosts.list_engines("v1")
            ]

        hosts = self.play(plan)
        back_at = hosts.killed_at + PLAY_SECONDS - KILL_SECONDS - 0.5
        went_on = [
            stream.path
            for stream in hosts.streams
            if stream.versions[:1] == ["lm-v1"]
            for one in stream.tries
            if one.resumes and hosts.killed_at < one.began < back_at
            if list_events(one.body)
        ]
        self.assertEqual([], went_on)

    def test_order_streams_are_joined_as_a_version_has_joined(self):
        def plan(hosts):
            return [
                (0.0, hosts.inject("lapse", name, KILL_SECONDS - 0.1))
                for name in hosts.list_engines("v2")
            ]

        self.check_share(self.play(plan))

    def test_order_streams_of_a_version_that_the_store_has_lost_are_joined(self):
        # The version came after the copy from which the store is restored, and left.
        def plan(hosts):
            environment = hosts.environment
            names = hosts.list_engines("v2")
            return [
                (JOIN_SECONDS, lambda: environment.join(*names)),
                (KILL_SECONDS - 0.1, lambda: environment.leave(*names)),
                (KILL_SECONDS, hosts.inject("restore", "store", DOWN_SECONDS - 0.1)),
            ]

        hosts = self.play(plan, make_environment=LateVersion)
        begun = [s.path for s in hosts.streams if s.versions[:1] == ["lm-v2"]]
        self.assertNotEqual([], begun)

    def test_order_streams_are_joined_while_the_store_is_slow(self):
        self.play(
            lambda hosts: [(KILL_SECONDS - 1, hosts.inject("slow", "store", 3.0))]
        )

    def test_order_streams_are_joined_while_the_store_is_away(self):
        self.play(
            lambda hosts: [
                (KILL_SECONDS - 1, hosts.inject("unavailable", "store", 2.5))
            ]
        )

    def test_order_streams_of_three_versions_are_joined_after_a_kill(self):
        self.play(lambda hosts: [], versions=("v1", "v2", "v3"))
