"""Record what was exchanged on the connections to targets.

A response that comes on a connection of its own belongs to the request sent there. On a
connection that was used before, it may be the second response to an earlier request, so
it has to name its own.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

from galenapass.clocks import Clock
from galenapass.logs import make_log

__all__ = [
    "Call",
    "ConnectionRecord",
    "ConnectionRecords",
    "bind_call",
    "current_call",
]

# A second response comes up to two seconds after the first.
STUTTER_TIME = timedelta(seconds=3)
# Requests on one connection while one of them may be sent again.
MAX_ATTEMPTS = 256
# Addresses whose targets are remembered; the fleets have a few hundred.
MAX_ADDRESSES = 4096

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")

_log = make_log("connections")


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """One connection to a target.

    ``via`` is the address of the host that it leads through, empty for none.
    ``exchanges`` counts the requests sent on it, ``attempts`` are those of the latest.
    ``is_open`` is cleared as it ends, ``ended_here`` tells whether this host ended it,
    ``was_reset`` whether it ended with an error. ``has_unnamed`` is set if a response
    named no attempt, ``is_garbled`` if one was followed by bytes that no request
    awaits, ``is_overdue`` if one had ended long before its head was read here.
    """

    address: str
    via: str = ""
    transport: asyncio.BaseTransport | None = None
    exchanges: int = 0
    attempts: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_ATTEMPTS))
    is_open: bool = True
    ended_here: bool = False
    was_reset: bool = False
    has_unnamed: bool = False
    is_garbled: bool = False
    is_overdue: bool = False


@dataclass(slots=True, eq=False)
class Call:
    """Request that is about to be sent to a target.

    ``attempt`` is the id that its response is to name, empty for none. With
    ``needs_new`` it is sent on a new connection. Once it has one, ``connection`` is its
    record and ``exchange`` the call's number on it, 1 for the first. ``may_send`` is
    called directly before it is sent, and returns whether it may be.
    """

    attempt: str = ""
    needs_new: bool = False
    may_send: Callable[[], bool] = lambda: True
    connection: ConnectionRecord | None = None
    exchange: int = 0

    def assign(self, connection: ConnectionRecord) -> None:
        """Send the request as the next one on a connection."""
        connection.exchanges += 1
        if self.attempt:
            connection.attempts.append(self.attempt)
        self.connection = connection
        self.exchange = connection.exchanges

    def is_answered_by(self, named: str | None) -> bool:
        """Return whether a response that names an attempt is proved to be its own.

        No connection carries two requests of one attempt.
        """
        return self.exchange == 1 if named is None else named == self.attempt


class ConnectionRecords:
    """Records of one host's connections to targets, by the targets' addresses.

    ``on_unrequested`` is called for each response that no request awaited.
    """

    def __init__(self, clock: Clock, on_unrequested: Callable[[], None] = lambda: None):
        self._clock = clock
        self._on_unrequested = on_unrequested
        self._stuttered_at: dict[str, timedelta] = {}
        self._naming: dict[tuple[str, str], bool] = {}

    def may_carry(self, connection: ConnectionRecord | None, call: Call) -> bool:
        """Return whether a call may be sent on a connection that was used before."""
        if call.needs_new:
            return False
        if connection is None:
            return True
        if call.attempt and call.attempt in connection.attempts:
            return False
        return not self._has_stuttered(connection.address)

    # Targets

    def record_unrequested(self, connection: ConnectionRecord, kind: str) -> None:
        """Record that a response came that no request awaited."""
        _keep_latest(self._stuttered_at, connection.address, self._clock.monotonic())
        self._on_unrequested()
        _log(
            "response without a request",
            address=connection.address,
            exchange=connection.exchanges,
            kind=kind,
        )

    def _has_stuttered(self, address: str) -> bool:
        """Return whether second responses may be on their way from a target."""
        at = self._stuttered_at.get(address)
        return at is not None and self._clock.monotonic() - at < STUTTER_TIME

    def record_naming(self, address: str, kind: str, is_named: bool) -> None:
        """Record whether a response to a kind of call named its attempt."""
        _keep_latest(self._naming, (address, kind), is_named)

    def names_attempts(self, address: str, kind: str) -> bool | None:
        """Return whether responses to a kind of call name attempts, None if unknown."""
        return self._naming.get((address, kind))


def _keep_latest(known: dict[KeyT, ValueT], key: KeyT, value: ValueT) -> None:
    """Set a value and drop the oldest one of too many."""
    known.pop(key, None)
    known[key] = value
    if len(known) > MAX_ADDRESSES:
        known.pop(next(iter(known)))


_call: ContextVar[Call | None] = ContextVar("call", default=None)


@contextmanager
def bind_call(call: Call) -> Iterator[None]:
    """Have the request that is sent in this context recorded as ``call``."""
    token = _call.set(call)
    try:
        yield
    finally:
        _call.reset(token)


def current_call() -> Call | None:
    """Return the call that is being sent, None if it is not recorded."""
    return _call.get()
