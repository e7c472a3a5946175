"""Run coroutines in an event loop whose time leaves out stops of the process."""

import asyncio
import gc
import selectors
import time
from datetime import timedelta

from galenapass.clocks import SystemClock

__all__ = ["LoopClock", "PatientLoop", "run_patiently"]


class _Selector(selectors.DefaultSelector):
    """Selector that adds up the seconds for which it waited."""

    waited = 0.0

    def select(self, timeout=None):
        began = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.waited += time.monotonic() - began


class PatientLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is what it waited and what its thread worked.

    Garbage collections, which take longer the more objects other tests left, and time
    without a processor do not count. A wake-up that is lost and a loop that does not
    come to an end do.
    """

    def __init__(self):
        self._waits = _Selector()
        self._collected, self._collection_began = 0.0, 0.0
        super().__init__(self._waits)
        gc.callbacks.append(self._record_collection)

    def time(self):
        return self._waits.waited + time.thread_time() - self._collected

    def close(self):
        if self._record_collection in gc.callbacks:
            gc.callbacks.remove(self._record_collection)
        super().close()

    def _record_collection(self, phase, info):
        if phase == "start":
            self._collection_began = time.thread_time()
        else:
            self._collected += time.thread_time() - self._collection_began


class LoopClock(SystemClock):
    """Clock that shows the monotonic time of the running event loop."""

    def monotonic(self):
        return timedelta(seconds=asyncio.get_running_loop().time())


def run_patiently(coroutine):
    """Run a coroutine in a patient loop and return its result."""
    with asyncio.Runner(loop_factory=PatientLoop) as runner:
        return runner.run(coroutine)
