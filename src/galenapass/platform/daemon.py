"""Run one daemon on the platform: serve until SIGTERM, follow its settings file."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import click

from galenapass.clocks import SystemClock
from galenapass.logs import BoundedLog, make_log
from galenapass.platform.assembly import PlatformDaemon
from galenapass.platform.settings import HostSettings, read_host_settings

__all__ = ["follow_settings", "main"]

SETTINGS_VARIABLE = "GALENAPASS_CONFIG"
# Named in deploy/system.toml too.
METRICS_PORT = 9464
EXIT_CANNOT_START = 1
EXIT_FAULTS = 2
# The file may change without a signal.
FILE_PERIOD = timedelta(seconds=2)

_log = make_log("daemon")


@click.command(name="galenapass-platform")
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65535),
    default=METRICS_PORT,
    show_default=True,
    help="Port of the metrics on this host's address.",
)
def main(metrics_port: int) -> None:
    """Serve with the settings in the file that GALENAPASS_CONFIG names.

    Exit status: 0 after a graceful stop, 2 when the settings have a fault,
    1 when a port cannot be opened.
    """
    BoundedLog(sys.stdout.fileno(), SystemClock()).open()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    sys.exit(asyncio.run(_serve(path, metrics_port)))


async def _serve(path: Path, metrics_port: int) -> int:
    stopping = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    settings = read_host_settings(path)
    if settings.is_err():
        _log("settings are unusable", fault=str(settings.unwrap_err()))
        return EXIT_FAULTS
    daemon = PlatformDaemon(settings.unwrap(), metrics_port)
    following = asyncio.create_task(
        follow_settings(path, daemon.apply_settings, changed)
    )
    try:
        await daemon.start()
        await stopping.wait()
    except OSError as error:
        _log("daemon cannot start", error=str(error))
        return EXIT_CANNOT_START
    finally:
        following.cancel()
        await daemon.stop()
    return 0


async def follow_settings(
    path: Path,
    apply: Callable[[HostSettings], None],
    changed: asyncio.Event,
    period: timedelta = FILE_PERIOD,
) -> None:
    """Apply the settings whenever their file changes, but none with a fault.

    ``changed`` asks for a look at once; ``period`` spaces the looks without it.
    """
    last = _find_change_time(path)
    while True:
        try:
            async with asyncio.timeout(period.total_seconds()):
                await changed.wait()
        except TimeoutError:
            pass
        found = _find_change_time(path)
        if not changed.is_set() and found == last:
            continue
        changed.clear()
        last = found
        settings = read_host_settings(path)
        if settings.is_err():
            _log("settings stay as they are", fault=str(settings.unwrap_err()))
            continue
        apply(settings.unwrap())


def _find_change_time(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # It is being replaced; the next look finds it.
        return 0
