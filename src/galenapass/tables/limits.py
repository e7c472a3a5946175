"""Hold the token buckets of callers and of retries."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Limit", "LimitTable", "PeerLimitUse", "RetryBudget"]


@dataclass(slots=True)
class RetryBudget:
    """Hold the retries that fresh work has paid for, in requests."""

    tokens: float = 50.0
    filled: timedelta = timedelta(0)


@dataclass(slots=True, frozen=True)
class PeerLimitUse:
    """Hold what a peer announced of one caller, in requests a second."""

    used: float
    held: float
    at: timedelta


@dataclass(slots=True)
class Limit:
    """Hold this daemon's part of one caller's limit, in requests a second.

    ``held`` is the rate that this daemon may spend; None until it is first set.
    ``claimed`` is the larger rate that it announced and may spend once all peers
    were heard after ``claimed_at``.
    ``used`` is the smoothed rate asked for, ``work`` the smoothed work served.
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
    """Hold the limits by caller."""

    limits: dict[str, Limit] = field(default_factory=dict)
