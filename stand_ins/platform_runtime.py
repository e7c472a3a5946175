"""Keep the platform's objects, hosts, faults, open watches and account."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock
from stand_ins.platform_account import Account, Faults, Write
from stand_ins.platform_hosts import LaggedHosts
from stand_ins.platform_store import Change, Store

__all__ = ["Platform", "TokenBucket", "Watch"]

WEIGHTS_BURST = 2.0


@dataclass(slots=True, eq=False)
class Watch:
    """Open watch of a caller in a failure domain."""

    domain: str
    transport: asyncio.Transport


class TokenBucket:
    """Token bucket that limits a rate per second."""

    __slots__ = ("_clock", "_rate", "_refilled_at", "_tokens")

    def __init__(self, clock: Clock, rate: float):
        self._clock = clock
        self._rate = rate
        self._tokens = WEIGHTS_BURST
        self._refilled_at = clock.monotonic()

    def take(self) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        now = self._clock.monotonic()
        added = self._rate * (now - self._refilled_at).total_seconds()
        self._tokens = min(WEIGHTS_BURST, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0.0


class Platform:
    """State of the platform; lags are in seconds, rates per second."""

    def __init__(self, clock: Clock, host_list_lag: float, weights_rate: float):
        self.clock = clock
        self.store = Store()
        self.hosts = LaggedHosts()
        self.account = Account()
        self.faults = Faults()
        self.weights = TokenBucket(clock, weights_rate)
        self.watches: set[Watch] = set()
        self._host_list_lag = host_list_lag
        self._started = clock.monotonic()

    @property
    def host_list_lag(self) -> timedelta:
        """Return the lag of the host list."""
        fault = self.faults.host_list_lag
        return timedelta(seconds=self._host_list_lag if fault is None else fault)

    def put_faults(self, faults: Faults) -> None:
        """Replace the active faults and drop the watches that they affect."""
        self.faults = faults
        for watch in list(self.watches):
            if faults.outage or watch.domain in faults.cut_domains:
                watch.transport.abort()

    def record_write(self, change: Change, host: str) -> None:
        """Record a write that took effect."""
        at = (self.clock.monotonic() - self._started).total_seconds()
        write = Write(
            change.version, change.kind, change.name, host, change.deleted, at
        )
        self.account.writes.append(write)
