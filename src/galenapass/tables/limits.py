"""Define the token buckets of callers and of retries."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Limit", "LimitTable", "PeerLimitUse", "RetryBudget"]


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of retries, in requests; new requests and time refill it."""

    tokens: float = 50.0
    filled: timedelta = timedelta(0)


@dataclass(slots=True, frozen=True)
class PeerLimitUse:
    """Rates that a peer announced for one caller, in requests a second."""

    used: float
    held: float
    at: timedelta


@dataclass(slots=True)
class Limit:
    """This daemon's part of one caller's limit, in requests a second.

    ``held`` is the rate that this daemon may use; None until it is first set.
    ``claimed`` is a larger rate that it announced and may use once every peer has
    sent an update after ``claimed_at``.
    ``used`` is the smoothed rate requested, ``work`` the smoothed work served.
    """

    caller: str
    held: float | None = None
    claimed: float | None = None
    claimed_at: timedelta = timedelta(0)
    tokens: float = 0.0
    filled: timedelta = timedelta(0)
    used: float = 0.0
    used_at: timedelta = timedelta(0)
    work: float = 0.0
    work_at: timedelta = timedelta(0)
    peers: dict[str, PeerLimitUse] = field(default_factory=dict)


@dataclass(slots=True)
class LimitTable:
    """Limits by caller."""

    limits: dict[str, Limit] = field(default_factory=dict)
