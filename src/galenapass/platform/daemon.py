"""Run one daemon on the platform until SIGTERM and reload its settings file."""

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
from galenapass.process_signals import ProcessSignals

__all__ = ["follow_settings", "main"]

SETTINGS_VARIABLE = "GALENAPASS_CONFIG"
# Also set in deploy/system.toml.
DEFAULT_METRICS_PORT = 9464
EXIT_CANNOT_START = 1
EXIT_INVALID_SETTINGS = 2
# The file may change without a SIGHUP.
FILE_CHECK_PERIOD = timedelta(seconds=2)

_log = make_log("daemon")


@click.command(name="galenapass-platform")
@click.option(
    "--metrics-port",
    type=click.IntRange(0, 65535),
    default=DEFAULT_METRICS_PORT,
    show_default=True,
    help="Port that serves the metrics on this host's address.",
)
@click.pass_obj
def main(signals: ProcessSignals, metrics_port: int) -> None:
    """Serve with the settings in the file that GALENAPASS_CONFIG names.

    Exit status: 0 after a graceful stop, 1 when a port cannot be opened,
    2 when the settings are invalid.
    """
    BoundedLog(sys.stdout.fileno(), SystemClock()).open()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    sys.exit(asyncio.run(_run(path, metrics_port, signals)))


async def _run(path: Path, metrics_port: int, signals: ProcessSignals) -> int:
    try:
        return await _serve(path, metrics_port, signals)
    finally:
        # Before the event loop is closed, which the signals would wake.
        signals.ignore()


async def _serve(path: Path, metrics_port: int, signals: ProcessSignals) -> int:
    stopping = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.subscribe(number, lambda: loop.call_soon_threadsafe(stopping.set))
    signals.subscribe(signal.SIGHUP, lambda: loop.call_soon_threadsafe(changed.set))
    if signals.has_received(signal.SIGTERM) or signals.has_received(signal.SIGINT):
        _log("daemon is stopped before its start")
        return 0
    settings = read_host_settings(path)
    if settings.is_err():
        _log("settings are invalid", fault=str(settings.unwrap_err()))
        return EXIT_INVALID_SETTINGS
    daemon = PlatformDaemon(settings.unwrap(), metrics_port)
    settings_task = asyncio.create_task(
        follow_settings(path, daemon.apply_settings, changed)
    )
    try:
        await daemon.start()
        await stopping.wait()
    except OSError as error:
        _log("daemon cannot start", error=str(error))
        return EXIT_CANNOT_START
    finally:
        settings_task.cancel()
        await daemon.stop()
        await daemon.close_sessions()
    return 0


async def follow_settings(
    path: Path,
    apply: Callable[[HostSettings], None],
    changed: asyncio.Event,
    period: timedelta = FILE_CHECK_PERIOD,
) -> None:
    """Apply the settings whenever their file changes, ignoring invalid ones.

    Setting ``changed`` forces a reload; otherwise the file is checked every ``period``.
    """
    last_change_time = _read_change_time(path)
    while True:
        try:
            async with asyncio.timeout(period.total_seconds()):
                await changed.wait()
        except TimeoutError:
            pass
        change_time = _read_change_time(path)
        if not changed.is_set() and change_time == last_change_time:
            continue
        changed.clear()
        last_change_time = change_time
        settings = read_host_settings(path)
        if settings.is_err():
            _log("invalid settings are ignored", fault=str(settings.unwrap_err()))
            continue
        apply(settings.unwrap())


def _read_change_time(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file is being replaced; the next check finds it.
        return 0
