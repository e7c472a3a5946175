"""Run galenapassd: read its settings, serve until SIGTERM or SIGINT, then stop."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from galenapass.process_signals import ProcessSignals

if TYPE_CHECKING:
    from galenapass.settings.daemon import DaemonSettings

__all__ = ["main"]

EXIT_CANNOT_START = 1
EXIT_FAULTS = 2
SIGNALS = (signal.SIGTERM, signal.SIGINT)


@click.command(name="galenapassd")
@click.argument("file", type=click.Path(path_type=Path))
def main(file: Path) -> None:
    """Serve as one daemon with the settings in FILE (INI).

    Exit status: 0 after a graceful stop, 2 when the settings have faults,
    1 when a port cannot be opened.
    """
    # The imports below are slow; a stop signal that arrives meanwhile must not be lost.
    signals = ProcessSignals(SIGNALS)
    from galenapass.settings.daemon import read_daemon_settings

    settings = read_daemon_settings(file)
    if settings.is_err():
        for fault in settings.unwrap_err():
            click.echo(str(fault), err=True)
        sys.exit(EXIT_FAULTS)
    sys.exit(asyncio.run(_serve(settings.unwrap(), signals)))


async def _serve(settings: "DaemonSettings", signals: ProcessSignals) -> int:
    from galenapass.assembly import Daemon

    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in SIGNALS:
        signals.subscribe(number, lambda: loop.call_soon_threadsafe(stopping.set))
    daemon = Daemon(settings)
    try:
        await _run_until(stopping, daemon.start())
    except OSError as error:
        click.echo(f"galenapassd: cannot start: {error}", err=True)
        return EXIT_CANNOT_START
    finally:
        await daemon.stop()
        signals.ignore()
    return 0


async def _run_until(stopping: asyncio.Event, start: Coroutine[Any, Any, None]) -> None:
    """Run a start and wait for the stop, which breaks off a start under way."""
    starting = asyncio.create_task(start)
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait({starting, stop}, return_when=asyncio.FIRST_COMPLETED)
    starting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await starting
    await stop


if __name__ == "__main__":
    main()
