"""Record what was exchanged on the connections to targets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass

from galenapass.logs import make_log

__all__ = ["Call", "ConnectionRecord", "ConnectionRecords", "bind_call", "current_call"]

_log = make_log("connections")


@dataclass(slots=True, eq=False)
class ConnectionRecord:
    """One connection to a target; ``exchanges`` counts the requests sent on it."""

    address: str
    exchanges: int = 0


@dataclass(slots=True, eq=False)
class Call:
    """Request that is about to be sent to a target.

    Once it has a connection, ``connection`` is the record of that and ``exchange`` its
    number on it, 1 for the first.
    """

    connection: ConnectionRecord | None = None
    exchange: int = 0

    def assign(self, connection: ConnectionRecord) -> None:
        """Send the request as the next one on a connection."""
        connection.exchanges += 1
        self.connection = connection
        self.exchange = connection.exchanges


class ConnectionRecords:
    """Records of one host's connections to targets, by the targets' addresses.

    ``on_unrequested`` is called for each response that no request awaited.
    """

    def __init__(self, on_unrequested: Callable[[], None] = lambda: None):
        self._on_unrequested = on_unrequested

    def record_unrequested(self, connection: ConnectionRecord, kind: str) -> None:
        """Record that bytes came on a connection that no request awaited."""
        self._on_unrequested()
        _log(
            "response without a request",
            address=connection.address,
            exchange=connection.exchanges,
            kind=kind,
        )


_call: ContextVar[Call | None] = ContextVar("call", default=None)


@contextmanager
def bind_call(call: Call) -> Iterator[None]:
    """Have requests that are sent in this context recorded as ``call``."""
    token = _call.set(call)
    try:
        yield
    finally:
        _call.reset(token)


def current_call() -> Call | None:
    """Return the call that is being sent, None if it is not recorded."""
    return _call.get()
