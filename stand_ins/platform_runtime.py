"""Hold the platform's state: objects, hosts, faults, open watches and the account."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta

from galenapass.clocks import Clock
from stand_ins.platform_account import Account, Faults, Write
from stand_ins.platform_hosts import LaggedHosts
from stand_ins.platform_store import Change, Store

__all__ = ["TokenBucket", "Platform", "Watch"]

WEIGHTS_BURST = 2.0


@dataclass(slots=True, eq=False)
class Watch:
    """Hold one open watch."""

    domain: str
    transport: asyncio.Transport


class TokenBucket:
    """Limit a rate; a waiting caller is told the seconds to come back after."""

    __slots__ = ("_clock", "_refilled_at", "_tokens", "_rate")

    def __init__(self, clock: Clock, rate: float):
        self._clock = clock
        self._rate = rate
        self._tokens = WEIGHTS_BURST
        self._refilled_at = clock.monotonic()

    def take(self) -> float:
        """Take one and return 0, or return the seconds until there is one."""
        now = self._clock.monotonic()
        added = self._rate * (now - self._refilled_at).total_seconds()
        self._tokens = min(WEIGHTS_BURST, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return (1 - self._tokens) / self._rate
        self._tokens -= 1
        return 0.0


class Platform:
    """Hold the objects, the hosts, the faults and the account."""

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
        """Replace the faults in force and drop the watches that they reach."""
        self.faults = faults
        for watch in list(self.watches):
            if faults.outage or watch.domain in faults.cut_domains:
                watch.transport.abort()

    def record_write(self, change: Change, host: str) -> None:
        """Add a write that took effect to the account."""
        at = (self.clock.monotonic() - self._started).total_seconds()
        write = Write(
            change.version, change.kind, change.name, host, change.deleted, at
        )
        self.account.writes.append(write)
