"""Test that daemons as processes keep the rules of holders over kills and freezes."""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

from aiohttp import web

from experiments.soak.environment import Daemon
from stand_ins.metadata_store import MetadataStore
from stand_ins.operations import Operations, OperationsFaults
from stand_ins.platform_routes import CONFIGURATION
from tests.platform_fleet import wait_for
from tests.test_usage_client import serve_operations

ZONES = ("zone-a", "zone-b", "zone-c")
WINDOW_SECONDS = 2
LATE_SECONDS = 10
# Of a takeover, with some time for a busy machine.
TAKEOVER_SECONDS = 15.0
FREEZE_SECONDS = 6.0
SETTINGS = """
[cloud]
address = "{address}"
duties = ["usage_report"]
duty_per_s = 4
"""
BOUNDS = f"""[bounds]
report_window_s = {WINDOW_SECONDS}
usage_late_s = {LATE_SECONDS}
"""


class ReportingDaemon(Daemon):
    """Daemon whose settings name the duty."""

    operations = ""

    def write_settings(self, store):
        path = super().write_settings(store)
        text = path.read_text().replace("[bounds]\n", BOUNDS)
        path.write_text(text + SETTINGS.format(address=self.operations))
        return path


def find_holder(operations, daemons):
    return daemons[operations.calls[-1].holder]


async def wait_for_next_holder(operations, former):
    """Wait until another holder has reported a window that was not reported."""
    last = max(operations.windows)
    await wait_for(
        lambda: (
            operations.calls[-1].holder != former.name
            and max(operations.windows) > last
        ),
        TAKEOVER_SECONDS,
    )


async def play(operations, daemons, store):
    """Kill a holder, freeze the next one, and let the platform lose answers."""
    await wait_for(lambda: operations.calls, TAKEOVER_SECONDS)
    killed = find_holder(operations, daemons)
    killed.send(signal.SIGKILL)
    await killed.process.wait()
    await wait_for_next_holder(operations, killed)
    await killed.start(store)
    # The next holder has caught up.
    last = max(operations.windows)
    await wait_for(lambda: max(operations.windows) >= last + 2, TAKEOVER_SECONDS)
    operations.faults = OperationsFaults(lose_answers=2)
    frozen = find_holder(operations, daemons)
    frozen.pause()
    began = time.monotonic()
    await wait_for_next_holder(operations, frozen)
    await asyncio.sleep(max(began + FREEZE_SECONDS - time.monotonic(), 0))
    frozen.send(signal.SIGCONT)
    last = max(operations.windows)
    await wait_for(lambda: max(operations.windows) >= last + 3, 30)


def test_kills_and_freezes_of_holders_break_no_rule():
    async def main(folder):
        operations = Operations(lease_seconds=2.0)
        store = MetadataStore()
        store.put("config", "main", CONFIGURATION)
        server = web.AppRunner(store.make_app(), access_log=None, shutdown_timeout=0.1)
        await server.setup()
        await web.TCPSite(server, "127.0.0.1", 0).start()
        address = "{}:{}".format(*server.addresses[0][:2])
        daemons = {
            # Hosts know each other's calls by their addresses.
            f"h{n}": ReportingDaemon(f"h{n}", z, folder, ip="127.0.0.1")
            for n, z in enumerate(ZONES)
        }
        async with serve_operations(operations) as operations_address:
            for daemon in daemons.values():
                daemon.operations = operations_address
                await daemon.start(address)
            try:
                await play(operations, daemons, address)
                # The removal goes on after the reports that were caught up.
                names = store.objects["usage"]
                await wait_for(lambda: len(names) <= 4, TAKEOVER_SECONDS)
            finally:
                for daemon in daemons.values():
                    daemon.send(signal.SIGCONT)
                await asyncio.gather(*(d.terminate() for d in daemons.values()))
                await server.cleanup()
        assert operations.violations == []
        windows = sorted(operations.windows)
        assert windows == list(range(windows[0], windows[0] + len(windows)))
        wall_offset = time.time() - time.monotonic()
        late = {}
        for call in operations.calls:
            end = (call.body["window"] + 1) * WINDOW_SECONDS
            late.setdefault(call.body["window"], wall_offset + call.at - end)
        assert max(late.values()) < LATE_SECONDS, late
        return len({call.holder for call in operations.calls})

    with tempfile.TemporaryDirectory() as folder:
        assert asyncio.run(main(Path(folder))) >= 2
