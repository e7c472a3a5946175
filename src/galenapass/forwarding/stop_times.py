"""Plan a stop: when a host stops to listen, to answer and to run.

Pure functions: all times are monotonic.
"""

from dataclasses import dataclass
from datetime import timedelta

from galenapass.forwarding.answer_times import ExpectedTime

__all__ = ["StopTimes", "find_latest_start", "plan_stop"]

# Shares of the grace period. Until then the load balancer may send a refused client to
# this host again.
EARLY_SHARE = 0.35
LISTEN_SHARE = 0.45
# Connections without a request until then are closed; the others are told to close by
# an answer.
IDLE_SHARE = 0.6
ANSWER_SHARE = 0.9
# The rest is for the process to end before it is killed.
EXIT_SHARE = 0.95
# Answers take longer than expected where targets take over the work of a host.
DURATION_MARGIN = 1.25


@dataclass(slots=True, frozen=True)
class StopTimes:
    """Ends of the phases of a stop, each after the one before.

    A request is early until ``early_until``. ``listen_until`` ends new connections,
    ``idle_until`` idle ones; all requests are answered by ``answer_until`` and written
    by ``exit_by``.
    """

    early_until: timedelta
    listen_until: timedelta
    idle_until: timedelta
    answer_until: timedelta
    exit_by: timedelta


def plan_stop(now: timedelta, grace_period: timedelta) -> StopTimes:
    """Return the times of a stop that begins now."""
    return StopTimes(
        now + grace_period * EARLY_SHARE,
        now + grace_period * LISTEN_SHARE,
        now + grace_period * IDLE_SHARE,
        now + grace_period * ANSWER_SHARE,
        now + grace_period * EXIT_SHARE,
    )


def find_latest_start(times: StopTimes, expected: ExpectedTime | None) -> timedelta:
    """Return when a request must start at the latest.

    An early one has to be answered in time more likely than not, as a refusal may cost
    its client more; a later one in nearly all cases.
    """
    if expected is None:
        return times.early_until
    median, longest = (
        times.answer_until - duration * DURATION_MARGIN
        for duration in (expected.median, expected.longest)
    )
    return max(min(median, times.early_until), longest)
