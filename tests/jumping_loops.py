"""Run coroutines in an event loop that jumps over the time in which nothing happens."""

import asyncio
import selectors

__all__ = ["run_jumping"]


class _Selector(selectors.DefaultSelector):
    """Selector that never waits and adds up the seconds that it was to wait."""

    elapsed = 0.0

    def select(self, timeout=None):
        self.elapsed += timeout or 0.0
        return super().select(0)


class JumpingLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances to the next timer at once."""

    def __init__(self):
        self._waits = _Selector()
        super().__init__(self._waits)

    def time(self):
        return self._waits.elapsed


def run_jumping(coroutine):
    """Run a coroutine in a jumping loop and return its result."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        return runner.run(coroutine)
