"""Test daemons that report usage while the store is restored and processes end."""

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from stand_ins.metadata_store import MetadataStore
from stand_ins.operations import Operations
from stand_ins.platform_routes import make_headers, make_organisations
from stand_ins.runner import Runner
from tests.platform_fleet import wait_for
from tests.test_usage_client import serve_operations
from tests.test_usage_processes import WINDOW_SECONDS, ZONES, ReportingDaemon

CONFIGURATION = make_organisations(4, {"a": ["key-a"], "b": ["key-b"]})
COPY_PERIOD_SECONDS = 0.25
COPY_AGE_SECONDS = 4.0
AWAY_SECONDS = 0.6
HEARTBEAT_SECONDS = 0.5
REQUEST_PERIOD_SECONDS = 0.1
# Of a start, or of a takeover from a holder of the lease; with a busy machine.
TAKEOVER_SECONDS = 25.0
# Reports before the drill and after it.
WARM_UP_WINDOWS = 4
WINDOWS_AFTER = 3


class Drill:
    """Daemons with clients, a store that can be restored, and the reports."""

    def __init__(self, folder):
        self.operations = Operations(lease_seconds=2.0)
        self.store = MetadataStore()
        self.runner = Runner("s1", "desk")
        self.daemons = {
            # Hosts know each other's calls by their addresses.
            f"h{n}": ReportingDaemon(f"h{n}", zone, folder, ip="127.0.0.1")
            for n, zone in enumerate(ZONES)
        }
        self.address = ""
        self.copies = []
        self.serving = set()

    @property
    def holder(self):
        return self.daemons[self.operations.calls[-1].holder]

    @property
    def others(self):
        return [daemon for daemon in self.daemons.values() if daemon != self.holder]

    async def kill(self, *daemons):
        for daemon in daemons:
            daemon.send(signal.SIGKILL)
        for daemon in daemons:
            await daemon.process.wait()

    async def start(self, *daemons):
        for daemon in daemons:
            await daemon.start(self.address)

    async def restart_in_turn(self, number):
        for daemon in self.daemons.values():
            daemon.send(number)
            await daemon.process.wait()
            await daemon.start(self.address)
            await asyncio.sleep(1.0)

    def fail_store(self):
        self.store.faults.status = 503

    def restore(self, age=COPY_AGE_SECONDS):
        oldest = time.monotonic() - age
        self.store.restore([copy for at, copy in self.copies if at <= oldest][-1])
        self.store.put("config", "main", CONFIGURATION)
        self.register()
        self.store.faults.status = None

    def register(self):
        self.store.put("servers", self.runner.id, self.runner.entry())

    async def wait_for_report(self):
        """Wait until another report is accepted."""
        count = len(self.operations.calls)
        await wait_for(lambda: len(self.operations.calls) > count, TAKEOVER_SECONDS)

    async def copy_store(self):
        while True:
            self.copies.append((time.monotonic(), self.store.copy()))
            await asyncio.sleep(COPY_PERIOD_SECONDS)

    async def write_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    async def send_requests(self, daemon, key, client):
        while True:
            await asyncio.sleep(random.uniform(0.5, 1.5) * REQUEST_PERIOD_SECONDS)
            attempt = f"{random.getrandbits(64):x}"
            headers = make_headers(attempt, 1000) | {"Authorization": f"Token {key}"}
            url = f"http://{daemon.address}/seats/{attempt}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with client.get(url, headers=headers) as response:
                    await response.read()
                    if response.status == 200:
                        self.serving.add(daemon.name)


@contextlib.asynccontextmanager
async def run_drill(folder):
    """Yield a drill once its first windows were reported and copies are old enough."""
    drill = Drill(folder)
    server = web.AppRunner(
        drill.store.make_app(), access_log=None, shutdown_timeout=0.1
    )
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", 0).start()
    drill.address = "{}:{}".format(*server.addresses[0][:2])
    drill.store.put("config", "main", CONFIGURATION)
    await drill.runner.start()
    drill.register()
    client = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True),
        timeout=aiohttp.ClientTimeout(total=2.0),
    )
    tasks = [
        asyncio.create_task(drill.copy_store()),
        asyncio.create_task(drill.write_heartbeats()),
    ]
    async with serve_operations(drill.operations) as operations_address:
        for daemon in drill.daemons.values():
            daemon.operations = operations_address
        await drill.start(*drill.daemons.values())
        tasks += [
            asyncio.create_task(drill.send_requests(daemon, key, client))
            for daemon in drill.daemons.values()
            for key in ("key-a", "key-b")
        ]
        try:
            await wait_for(
                lambda: len(drill.operations.windows) >= WARM_UP_WINDOWS,
                TAKEOVER_SECONDS,
            )
            yield drill
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for daemon in drill.daemons.values():
                daemon.send(signal.SIGCONT)
            await asyncio.gather(*(d.terminate() for d in drill.daemons.values()))
            await client.close()
            await drill.runner.stop()
            await server.cleanup()


def play(disrupt):
    """Play a drill, check the reports, and return the windows that were left out."""

    async def main(folder):
        async with run_drill(folder) as drill:
            operations = drill.operations
            await drill.wait_for_report()
            await disrupt(drill)
            # A host that serves has reached the store.
            drill.serving.clear()
            await wait_for(
                lambda: len(drill.serving) == len(drill.daemons), TAKEOVER_SECONDS
            )
            ended = int(time.time()) // WINDOW_SECONDS
            await wait_for(
                lambda: max(operations.windows) >= ended + WINDOWS_AFTER,
                TAKEOVER_SECONDS,
            )
        assert operations.violations == []
        last = max(operations.windows)
        assert operations.windows[last]
        missing = set(range(min(operations.windows), last)) - set(operations.windows)
        assert max(missing, default=0) <= ended
        return missing

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(main(Path(folder)))


async def kill_all_as_store_fails(drill):
    drill.fail_store()
    await drill.kill(*drill.daemons.values())
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore()
    await drill.start(*drill.daemons.values())


async def kill_all_but_one_as_store_fails(drill):
    drill.fail_store()
    killed = [drill.holder, drill.others[0]]
    await drill.kill(*killed)
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore()
    await drill.start(*killed)


async def kill_in_turn_after_restore(drill):
    drill.fail_store()
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore()
    await drill.restart_in_turn(signal.SIGKILL)


async def stop_in_turn_after_restore(drill):
    drill.fail_store()
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore()
    await drill.restart_in_turn(signal.SIGTERM)


async def kill_all_before_store_fails(drill):
    await drill.kill(*drill.daemons.values())
    await drill.start(*drill.daemons.values())
    await asyncio.sleep(1.0)
    drill.fail_store()
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore(2 * COPY_AGE_SECONDS)


async def freeze_others_and_kill_holder(drill):
    for daemon in drill.others:
        daemon.pause()
    frozen = drill.others
    await drill.wait_for_report()
    holder = drill.holder
    drill.fail_store()
    await drill.kill(holder)
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore()
    for daemon in frozen:
        daemon.send(signal.SIGCONT)
    await drill.start(holder)


@pytest.mark.parametrize(
    "disrupt",
    [
        kill_all_as_store_fails,
        kill_all_but_one_as_store_fails,
        kill_in_turn_after_restore,
        stop_in_turn_after_restore,
        kill_all_before_store_fails,
        freeze_others_and_kill_holder,
    ],
)
def test_window_is_not_counted_anew_after_a_restore_and_ends_of_processes(disrupt):
    """A window whose report the store and all processes have lost was counted anew."""
    play(disrupt)


async def restore_alone(drill):
    drill.fail_store()
    await asyncio.sleep(AWAY_SECONDS)
    drill.restore()


async def stop_in_turn(drill):
    await drill.restart_in_turn(signal.SIGTERM)


@pytest.mark.parametrize("disrupt", [restore_alone, stop_in_turn])
def test_restore_alone_and_planned_stops_alone_leave_out_no_window(disrupt):
    assert play(disrupt) == set()
