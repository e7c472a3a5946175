"""Tell from the calls to the store whether it answers this daemon."""

from collections.abc import Callable
from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.logs import make_log

__all__ = ["FAILURES_AWAY", "StoreAvailability"]

# Failures in a row after which the store counts as away; a single one may be a loss
# on the way.
FAILURES_AWAY = 2

_log = make_log("store")


class StoreAvailability:
    """Hold how the last calls to the store ended.

    ``on_failure`` hears of the first failure after an answer, ``on_return`` that the
    store was away and answers again, with the time at which the answered call was
    sent: it may have waited long since.
    """

    __slots__ = ("_answered", "_clock", "_failures", "_on_failure", "_on_return")

    def __init__(
        self,
        clock: Clock,
        on_failure: Callable[[], None] = lambda: None,
        on_return: Callable[[timedelta], None] = lambda sent: None,
    ):
        self._clock = clock
        self._on_failure = on_failure
        self._on_return = on_return
        self._failures = 0
        self._answered = timedelta(0)

    @property
    def is_available(self) -> bool:
        """Tell whether the last call that says so was answered."""
        return not self._failures

    def start(self) -> timedelta:
        """Return when a call is sent, to be told with its end."""
        return self._clock.monotonic()

    def record_answer(self, sent: timedelta) -> None:
        """Take in that the store answered a call."""
        failures, self._failures = self._failures, 0
        self._answered = max(self._answered, sent)
        if failures >= FAILURES_AWAY:
            _log("store answers again", failures=failures)
            self._on_return(sent)

    def record_failure(self, sent: timedelta) -> None:
        """Take in that the store left a call unanswered.

        Load pattern: watches that hang through an outage and fail long after it. A
        call that was sent later and answered says more.
        """
        if sent < self._answered:
            return
        self._failures += 1
        if self._failures == 1:
            self._on_failure()
        if self._failures == FAILURES_AWAY:
            _log("store is away")
