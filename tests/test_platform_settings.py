"""Test that a daemon on the platform reloads its settings file while it runs."""

import asyncio
import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
from datetime import timedelta

from eliot.testing import MemoryLogger, swap_logger
from testtools import TestCase

from experiments.processes import start_process, stop_all
from galenapass.platform.daemon import EXIT_CANNOT_START, follow_settings
from tests.platform_fleet import wait_for
from tests.test_platform_decoders import SETTINGS

PERIOD = timedelta(milliseconds=20)
QUICK_IMPORTS = {
    "collections",
    "collections.abc",
    "enum",
    "gc",
    "os",
    "signal",
    "types",
}
# Start a daemon; list the modules that it imports before it handles SIGHUP.
LIST_EARLY_IMPORTS = """
import os, runpy, signal, sys

# The tests may run where it is ignored, which processes inherit.
signal.signal(signal.SIGHUP, signal.SIG_DFL)

class Finder:
    def find_spec(self, name, path=None, target=None):
        if signal.getsignal(signal.SIGHUP) != signal.SIG_DFL:
            sys.stdout.flush()
            os._exit(0)
        print(name)

sys.meta_path.insert(0, Finder())
runpy.run_module("galenapass.platform", run_name="__main__")
"""


class TestFollowing(TestCase):
    def follow(self, scenario, period=PERIOD):
        """Return the applied settings and the log lines of a scenario."""
        applied, changed = [], asyncio.Event()

        async def main(path):
            path.write_text(SETTINGS)
            task = asyncio.create_task(
                follow_settings(path, applied.append, changed, period)
            )
            await asyncio.sleep(0)
            await scenario(path, applied, changed)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

        logger = MemoryLogger()
        previous = swap_logger(logger)
        try:
            with tempfile.TemporaryDirectory() as folder:
                asyncio.run(main(pathlib.Path(folder) / "local.toml"))
        finally:
            swap_logger(previous)
        return applied, [m for m in logger.messages if "text" in m]

    def test_a_file_that_breaks_changes_nothing_until_it_is_whole(self):
        broken = (
            SETTINGS.replace("retry_slack = 56", 'retry_slack = "many"'),
            SETTINGS.replace("grace_s = 8", "grace_s = -1"),
            "node_name = [",
            "",
        )

        async def scenario(path, applied, changed):
            for text in broken:
                path.write_text(text)
                changed.set()
                await wait_for(lambda: not changed.is_set())
            path.unlink()
            changed.set()
            await wait_for(lambda: not changed.is_set())
            path.write_text(SETTINGS.replace("retry_slack = 56", "retry_slack = 57"))
            await wait_for(lambda: applied)

        applied, lines = self.follow(scenario)
        self.assertEqual([57.0], [settings.budget.fixed for settings in applied])
        faults = [
            m["fault"]
            for m in lines
            if m["text"].endswith("invalid settings are ignored")
        ]
        self.assertEqual(len(broken) + 1, len(faults))
        self.assertIn("bounds.retry_slack", faults[0])
        self.assertIn("many", faults[0])
        self.assertIn("-1", faults[1])

    def test_a_file_that_changes_without_a_signal_is_read(self):
        async def scenario(path, applied, changed):
            await asyncio.sleep(PERIOD.total_seconds() * 2)
            path.write_text(SETTINGS.replace("retry_slack = 56", "retry_slack = 60"))
            await wait_for(lambda: applied)

        applied, _ = self.follow(scenario)
        self.assertEqual(60.0, applied[0].budget.fixed)

    def test_a_file_that_stays_the_same_is_not_read_again(self):
        async def scenario(path, applied, changed):
            await asyncio.sleep(PERIOD.total_seconds() * 5)

        self.assertEqual(([], []), self.follow(scenario))


class TestSignals(TestCase):
    def test_a_hangup_signal_during_startup_does_not_end_the_daemon(self):
        # A soak (seed 25) changed the settings of a daemon that had just been
        # restarted, and SIGHUP ended it.
        async def scenario(folder):
            path = folder / "local.toml"
            path.write_text(SETTINGS)
            process = await start_process(
                "front-1",
                "galenapass.platform",
                ["--metrics-port", "0"],
                folder / "log",
                ready=False,
                variables={"GALENAPASS_CONFIG": str(path)},
            )
            try:
                await wait_for(lambda: process.handles(signal.SIGHUP))
                process.send(signal.SIGHUP)
                # The daemon exits, as it cannot bind the address of these settings.
                return await process.wait(20.0)
            finally:
                await stop_all([process])

        with tempfile.TemporaryDirectory() as folder:
            status = asyncio.run(scenario(pathlib.Path(folder)))
        self.assertEqual(EXIT_CANNOT_START, status)

    def test_signals_are_handled_before_anything_else_is_imported(self):
        found = subprocess.run(
            [sys.executable, "-c", LIST_EARLY_IMPORTS],
            capture_output=True,
            check=True,
            text=True,
        ).stdout.split()
        self.assertIn("galenapass.process_signals", found)
        others = {name for name in found if name.partition(".")[0] != "galenapass"}
        self.assertLessEqual(others, QUICK_IMPORTS)
