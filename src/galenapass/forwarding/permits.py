"""Share the rate limits of targets between the schedulers of all hosts.

A permit allows one request to a target that limits its rate, and a scheduler grants no
slot there without one. For each target one scheduler is the issuer: it issues permits
at the target's rate to the schedulers that request them, in turn, so that a rate below
one request a second still serves all of them. An issuer issues only the share of the
rate that belongs to the schedulers which it hears, so those that are cut off from each
other do not exceed the limit together.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

import xxhash

from galenapass.clocks import Clock
from galenapass.forwarding.rate_limits import (
    Incarnation,
    RateLimits,
    find_rate,
    find_rate_limit,
)
from galenapass.logs import make_log
from galenapass.tables.targets import Target

__all__ = ["Issuers", "Permit", "PermitIssuer", "PermitRequest", "Permits"]

# An unused permit expires, as the rate is measured over seconds.
PERMIT_LIFETIME = timedelta(milliseconds=500)
# A request is sent again this often while permits are missing.
REQUEST_PERIOD = timedelta(milliseconds=100)
# An issuer drops a request that is not sent again within this time.
REQUEST_TIMEOUT = timedelta(milliseconds=300)
MAX_REQUESTED = 4
# Permits that accumulate while none is requested, as time at the target's rate.
BURST_TIME = timedelta(milliseconds=250)

_log = make_log("limits")


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """Request for a number of permits."""

    incarnation: Incarnation
    count: int


@dataclass(slots=True, frozen=True)
class Permit:
    """Permission to send one request to a target."""

    incarnation: Incarnation


class Issuers(Protocol):
    """Hosts that may issue permits, as one host sees them."""

    def list_issuers(self) -> list[str]:
        """Return the schedulers that this host hears, itself included."""

    def find_issued_share(self) -> float:
        """Return the share of each limit that belongs to these schedulers."""


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one limit, and the requested permits by host, in turn."""

    filled_at: timedelta
    tokens: float = 0.0
    requested: dict[str, tuple[int, timedelta]] = field(default_factory=dict)

    def refill(self, rate: float, now: timedelta) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed = (now - self.filled_at).total_seconds()
        capacity = max(1.0, rate * BURST_TIME.total_seconds())
        self.tokens = min(self.tokens + elapsed * rate, capacity)
        self.filled_at = now


@dataclass(slots=True)
class _Held:
    """Expiry times of unused permits, and when more were last requested."""

    expiries: list[timedelta] = field(default_factory=list)
    requested_at: timedelta | None = None


class PermitIssuer:
    """Issuer of permits at the rates that targets name.

    ``find_share`` returns the share of each limit to issue, ``issue`` passes a permit
    to a host.
    """

    __slots__ = ("_buckets", "_clock", "_find_share", "_issue", "_limits", "_timer")

    def __init__(
        self,
        limits: RateLimits,
        clock: Clock,
        find_share: Callable[[], float],
        issue: Callable[[str, Permit], None],
    ):
        self._limits = limits
        self._clock = clock
        self._find_share = find_share
        self._issue = issue
        self._buckets: dict[Incarnation, _Bucket] = {}
        self._timer: asyncio.TimerHandle | None = None

    def request(self, host: str, request: PermitRequest) -> None:
        """Issue permits to a host, now or as soon as the limit allows them."""
        now = self._clock.monotonic()
        bucket = self._buckets.setdefault(request.incarnation, _Bucket(now))
        bucket.requested[host] = (min(request.count, MAX_REQUESTED), now)
        self.step()

    def step(self) -> None:
        """Issue the permits that are due."""
        now = self._clock.monotonic()
        waits = [
            self._step_bucket(incarnation, now) for incarnation in list(self._buckets)
        ]
        self._set_timer(min((wait for wait in waits if wait is not None), default=None))

    def _step_bucket(self, incarnation: Incarnation, now: timedelta) -> float | None:
        """Issue permits of one target; return the seconds until the next is due."""
        bucket = self._buckets[incarnation]
        limit = find_rate(self._limits, incarnation)
        if limit is None:
            del self._buckets[incarnation]
            return None
        rate = limit * self._find_share()
        bucket.refill(rate, now)
        bucket.requested = {
            host: (count, at)
            for host, (count, at) in bucket.requested.items()
            if now - at < REQUEST_TIMEOUT
        }
        while bucket.requested and bucket.tokens >= 1.0:
            host = next(iter(bucket.requested))
            count, at = bucket.requested.pop(host)
            if count > 1:
                bucket.requested[host] = (count - 1, at)
            bucket.tokens -= 1.0
            self._issue(host, Permit(incarnation))
        return (1.0 - bucket.tokens) / rate if bucket.requested else None

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self.step)


class Permits:
    """Permits of one scheduler, and those that it issues to others.

    Until it is connected to other hosts, it is the only issuer.
    """

    def __init__(self, host: str, limits: RateLimits, clock: Clock):
        self._host = host
        self._limits = limits
        self._clock = clock
        self._issuers: Issuers = _OnlyIssuer(host)
        self._send: Callable[[str, PermitRequest | Permit], None] = _drop_message
        self._on_permit: Callable[[], None] = lambda: None
        self._issuer = PermitIssuer(
            limits, clock, lambda: self._issuers.find_issued_share(), self._pass_on
        )
        self._held: dict[Incarnation, _Held] = {}

    def connect(
        self,
        issuers: Issuers,
        send: Callable[[str, PermitRequest | Permit], None],
        on_permit: Callable[[], None],
    ) -> None:
        """Share limits with other hosts; ``send`` sends a message to one of them.

        ``on_permit`` is called when a permit has arrived.
        """
        self._issuers, self._send, self._on_permit = issuers, send, on_permit

    def is_available(self, target: Target) -> bool:
        """Return whether a request may be sent to a target now."""
        if find_rate_limit(self._limits, target) is None:
            return True
        return bool(self._list_unexpired((target.id, target.incarnation)))

    def spend(self, target: Target) -> None:
        """Use up a permit for a request to a target, if it limits its rate."""
        if find_rate_limit(self._limits, target) is None:
            return
        unexpired = self._list_unexpired((target.id, target.incarnation))
        if not unexpired:
            _log("permit is missing", target=target.id)
            return
        unexpired.pop(0)

    def request(self, targets: Iterable[Target], count: int) -> None:
        """Request up to ``count`` permits for each target that limits its rate."""
        if not self._limits:
            self._held.clear()
            return
        now = self._clock.monotonic()
        for target in targets:
            if find_rate_limit(self._limits, target) is not None:
                self._request(target, count, now)

    def apply_request(self, host: str, request: PermitRequest) -> None:
        """Issue permits to another scheduler if this one is the target's issuer."""
        target, _ = request.incarnation
        issuers = self._issuers.list_issuers()
        if host in issuers and _find_issuer(target, issuers) == self._host:
            self._issuer.request(host, request)

    def apply_permit(self, permit: Permit) -> None:
        """Add a permit that was issued to this scheduler."""
        expiry = self._clock.monotonic() + PERMIT_LIFETIME
        held = self._held.setdefault(permit.incarnation, _Held())
        held.expiries.append(expiry)
        held.requested_at = None
        self._on_permit()

    def _request(self, target: Target, count: int, now: timedelta) -> None:
        incarnation = (target.id, target.incarnation)
        held = self._held.setdefault(incarnation, _Held())
        missing = min(count, MAX_REQUESTED) - len(self._list_unexpired(incarnation))
        is_requested = (
            held.requested_at is not None and now - held.requested_at < REQUEST_PERIOD
        )
        if missing <= 0 or is_requested:
            return
        held.requested_at = now
        request = PermitRequest(incarnation, missing)
        issuer = _find_issuer(target.id, self._issuers.list_issuers())
        if issuer == self._host:
            self._issuer.request(self._host, request)
        else:
            self._send(issuer, request)

    def _pass_on(self, host: str, permit: Permit) -> None:
        if host == self._host:
            self.apply_permit(permit)
        else:
            self._send(host, permit)

    def _list_unexpired(self, incarnation: Incarnation) -> list[timedelta]:
        """Return the expiry times of the permits for a target, the earliest first."""
        held = self._held.get(incarnation)
        if held is None:
            return []
        now = self._clock.monotonic()
        held.expiries = [at for at in held.expiries if at > now]
        return held.expiries


class _OnlyIssuer:
    """The only scheduler."""

    def __init__(self, host: str):
        self._host = host

    def list_issuers(self) -> list[str]:
        """Return this host."""
        return [self._host]

    def find_issued_share(self) -> float:
        """Return the whole of each limit."""
        return 1.0


def _drop_message(host: str, message: PermitRequest | Permit) -> None:
    """Drop a message, as no other host is known."""


def _find_issuer(target: str, issuers: list[str]) -> str:
    """Return the issuer of a target, by rendezvous hashing."""
    return max(
        issuers, key=lambda host: xxhash.xxh64_intdigest(f"{host} {target}".encode())
    )
