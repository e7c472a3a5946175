"""Track the rate limits that targets name in their responses.

A limit applies to all hosts together, and holds until a later response names another
one or none.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from galenapass.tables.targets import Target

__all__ = [
    "MIN_RATE",
    "Incarnation",
    "RateLimit",
    "RateLimits",
    "find_rate",
    "find_rate_limit",
    "forget_rate_limits",
    "list_limited",
    "merge_rate_limit",
    "record_rate_limit",
]

# Incarnations that are remembered; far more than a deployment has targets.
MAX_RATE_LIMITS = 4096
# Requests a second that a target gets even if it names a lower limit: only a response
# shows that the limit has ended.
MIN_RATE = 0.2
# Messages of other hosts may be this old.
FORGET_DELAY = timedelta(seconds=30)

# A target's id and incarnation.
Incarnation = tuple[str, str]


@dataclass(slots=True, frozen=True)
class RateLimit:
    """Requests a second that a target takes from all hosts, None if unlimited.

    ``named_at`` is the monotonic time up to which this is known to hold.
    """

    rate: float | None
    named_at: timedelta


RateLimits = dict[Incarnation, RateLimit]


def find_rate_limit(limits: RateLimits, target: Target) -> float | None:
    """Return the requests a second to send to a target, None if it has no limit.

    These are ``MIN_RATE`` at least.
    """
    return find_rate(limits, (target.id, target.incarnation))


def find_rate(limits: RateLimits, incarnation: Incarnation) -> float | None:
    """Return what ``find_rate_limit`` returns for a target of this incarnation."""
    limit = limits.get(incarnation)
    if limit is None or limit.rate is None:
        return None
    return max(limit.rate, MIN_RATE)


def record_rate_limit(
    limits: RateLimits,
    incarnation: Incarnation,
    rate: float | None,
    sent_at: timedelta,
    received_at: timedelta,
) -> bool:
    """Record what a response names; return whether the limit changed.

    ``sent_at`` is when its request was sent. A response may be read long after it was
    written, so it lifts or raises a limit only if its request was sent after the limit
    was last named.
    """
    known = limits.get(incarnation)
    current = known.rate if known is not None else None
    if rate is None and current is None:
        return False
    is_raised = rate is None or (current is not None and rate > current)
    named_at = sent_at if is_raised else received_at
    return merge_rate_limit(limits, incarnation, RateLimit(rate, named_at))


def merge_rate_limit(
    limits: RateLimits, incarnation: Incarnation, limit: RateLimit
) -> bool:
    """Apply a limit unless a later one is known; return whether the rate changed."""
    known = limits.pop(incarnation, None)
    if known is not None and known.named_at >= limit.named_at:
        limits[incarnation] = known
        return False
    limits[incarnation] = limit
    while len(limits) > MAX_RATE_LIMITS:
        del limits[next(iter(limits))]
    return (known.rate if known is not None else None) != limit.rate


def list_limited(
    limits: RateLimits, targets: Iterable[Target]
) -> list[tuple[Target, float]]:
    """Return the targets that limit their rate, each with its limit."""
    if not limits:
        return []
    found = ((target, find_rate_limit(limits, target)) for target in targets)
    return [(target, rate) for target, rate in found if rate is not None]


def forget_rate_limits(
    limits: RateLimits, targets: dict[str, Target], now: timedelta
) -> None:
    """Drop the limits that have ended, and those of targets that are gone."""
    for incarnation, limit in list(limits.items()):
        name, start = incarnation
        is_current = name in targets and targets[name].incarnation == start
        if limit.rate is not None and is_current:
            continue
        if now - limit.named_at > FORGET_DELAY:
            del limits[incarnation]
