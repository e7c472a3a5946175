"""Plan a stop: when a host stops to listen, to answer and to run.

Pure functions: all times are monotonic.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.forwarding.answer_times import ExpectedTime

__all__ = ["Certainty", "LatestStart", "StopTimes", "find_latest_start", "plan_stop"]

# A stream that is cut in a stop counts as lost if it was sent more than 3 s after the
# stop began.
EXCUSED_TIME = timedelta(seconds=2.8)
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


class Certainty(Enum):
    """How certain it must be that an answer that is begun ends in time.

    ``LIKELY`` compares with half of the answers before, ``USUAL`` with hardly any of
    them taking longer, ``BOUNDED`` with the largest answer that was asked for.
    """

    LIKELY = "likely"
    USUAL = "usual"
    BOUNDED = "bounded"


@dataclass(slots=True, frozen=True)
class StopTimes:
    """Ends of the phases of a stop, each after the one before.

    A request is early until ``early_until``, or until ``excused_until`` if it must not
    be cut off. ``listen_until`` ends new connections, ``idle_until`` idle ones; all
    requests are answered by ``answer_until`` and written by ``exit_by``.
    """

    excused_until: timedelta
    early_until: timedelta
    listen_until: timedelta
    idle_until: timedelta
    answer_until: timedelta
    exit_by: timedelta


@dataclass(slots=True, frozen=True)
class LatestStart:
    """Time by which a request must start, and the expected time it follows from.

    ``duration`` is None where nothing is known of the answer.
    """

    at: timedelta
    certainty: Certainty
    duration: timedelta | None = None


def plan_stop(now: timedelta, grace_period: timedelta) -> StopTimes:
    """Return the times of a stop that begins now."""
    return StopTimes(
        now + min(grace_period * EARLY_SHARE, EXCUSED_TIME),
        now + grace_period * EARLY_SHARE,
        now + grace_period * LISTEN_SHARE,
        now + grace_period * IDLE_SHARE,
        now + grace_period * ANSWER_SHARE,
        now + grace_period * EXIT_SHARE,
    )


def find_latest_start(
    times: StopTimes, expected: ExpectedTime | None, needed: Certainty
) -> LatestStart:
    """Return when a request must start at the latest.

    An early one has to be answered in time more likely than not, as a refusal may cost
    its client more; a later one with the certainty that is needed.
    """
    early_until = {
        Certainty.LIKELY: times.answer_until,
        Certainty.USUAL: times.early_until,
        Certainty.BOUNDED: times.excused_until,
    }[needed]
    if expected is None:
        return LatestStart(early_until, Certainty.LIKELY)
    likely = min(_start_before(times, expected.median), early_until)
    early = LatestStart(likely, Certainty.LIKELY, expected.median)
    duration = {
        Certainty.LIKELY: expected.median,
        Certainty.USUAL: expected.longest,
        Certainty.BOUNDED: expected.limit,
    }[needed]
    if duration is None:
        return early
    late = LatestStart(_start_before(times, duration), needed, duration)
    return max(early, late, key=lambda latest: latest.at)


def _start_before(times: StopTimes, duration: timedelta) -> timedelta:
    return times.answer_until - duration * DURATION_MARGIN
