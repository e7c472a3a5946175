"""Track from the outcomes of calls whether the store is available."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.logs import make_log

__all__ = ["FAILURES_UNTIL_UNAVAILABLE", "StoreAvailability", "run_probes"]

# Consecutive failures after which the store counts as unavailable; a single one may be
# a message lost in the network.
FAILURES_UNTIL_UNAVAILABLE = 2
# A stale read of a small object costs a tenth of a call. It is the first to detect that
# the store became unavailable or available.
PROBE_PERIOD = timedelta(seconds=1)
PROBE_RETRY_PERIOD = timedelta(seconds=0.4)

_log = make_log("store")


class StoreAvailability:
    """Availability of the store, from the outcomes of the last calls.

    ``on_failure`` is called at the first failure after an answer, ``on_recovery`` at
    the first answer after a failure and ``on_return`` when the store answers after
    being unavailable. Both get the time at which the answered call was sent, as a watch
    may have waited long at the store since.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_last_answered_sent_at",
        "_on_failure",
        "_on_recovery",
        "_on_return",
    )

    def __init__(
        self,
        clock: Clock,
        on_failure: Callable[[], None] = lambda: None,
        on_return: Callable[[timedelta], None] = lambda sent: None,
        on_recovery: Callable[[timedelta], None] = lambda sent: None,
    ):
        self._clock = clock
        self._on_failure = on_failure
        self._on_recovery = on_recovery
        self._on_return = on_return
        self._failures = 0
        self._last_answered_sent_at = timedelta(0)

    @property
    def is_available(self) -> bool:
        """Return whether no call has failed since the last answer."""
        return not self._failures

    @property
    def answered_at(self) -> timedelta:
        """Return when the last of the calls that were answered was sent, 0 if none."""
        return self._last_answered_sent_at

    def start(self) -> timedelta:
        """Return the time at which a call is sent, to be passed when it ends."""
        return self._clock.monotonic()

    def record_answer(self, sent: timedelta) -> None:
        """Record that the store answered a call that was sent at ``sent``."""
        failures, self._failures = self._failures, 0
        self._last_answered_sent_at = max(self._last_answered_sent_at, sent)
        if failures >= FAILURES_UNTIL_UNAVAILABLE:
            _log("store is available again", failures=failures)
            self._on_return(sent)
        if failures:
            self._on_recovery(sent)

    def record_failure(self, sent: timedelta) -> None:
        """Record that the store did not answer a call that was sent at ``sent``.

        Load pattern: watches that hang through an outage and fail long after it. Such a
        failure is ignored if a call that was sent later has been answered.
        """
        if sent < self._last_answered_sent_at:
            return
        self._failures += 1
        if self._failures == 1:
            self._on_failure()
        if self._failures == FAILURES_UNTIL_UNAVAILABLE:
            _log("store is unavailable")


async def run_probes(probe: Callable[[], Awaitable[bool]]) -> None:
    """Call ``probe``, which returns whether the store answers, until cancelled."""
    period = PROBE_PERIOD
    while True:
        await asyncio.sleep(period.total_seconds())
        period = PROBE_PERIOD if await probe() else PROBE_RETRY_PERIOD
