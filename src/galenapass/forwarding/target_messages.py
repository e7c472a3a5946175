"""Messages exchanged with targets, independent of the wire protocol."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.tables.targets import Role

__all__ = [
    "ClientRequest",
    "EngineState",
    "Framing",
    "OrderOutcome",
    "ResponseIdentity",
    "TargetNotice",
    "TargetResponse",
]


class OrderOutcome(Enum):
    """Result of a role order; after UNKNOWN it may still be carried out."""

    ACCEPTED = "accepted"
    ALREADY_HELD = "holds already"
    CONFLICT = "another order came first"
    FENCED = "the fence is too low"
    MISDIRECTED = "another target has the address"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """Client request, which is sent to targets unchanged.

    ``target`` is the path and query as received, ``headers`` holds all headers.
    ``organisation`` takes the place of what the headers say of the caller, empty if it
    is unknown; None leaves them as they are.
    """

    attempt: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    organisation: str | None = None


@dataclass(slots=True, frozen=True)
class TargetNotice:
    """State of a target that one of its responses carries.

    ``leaving`` is set if the target accepts no new work; ``back_off`` is how long this
    daemon is to send it none. ``rate_limit`` is the number of requests a second that
    the target takes from all hosts, None if it names no limit; ``lifts_limit`` is set
    if a limit that is not named has ended. ``sent_at`` is the monotonic time at which
    the request was sent.
    """

    sent_at: timedelta
    leaving: bool = False
    back_off: timedelta | None = None
    rate_limit: float | None = None
    lifts_limit: bool = False


class Framing(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(slots=True, frozen=True)
class ResponseIdentity:
    """What tells whose a response is and whether it is whole.

    ``attempt`` is the one that it names, None if it names none; ``exchange`` its number
    on its connection, 1 for the first.
    """

    attempt: str | None
    exchange: int
    framing: Framing


@dataclass(slots=True, frozen=True)
class TargetResponse:
    """Response of a target; ``chunks`` raises if the body is truncated.

    ``signed`` is set if the response proves its origin; ``length`` is the number of
    bytes that it announces, None if it announces none.
    """

    status: int
    headers: list[tuple[str, str]]
    signed: bool
    chunks: AsyncIterator[bytes]
    length: int | None = None
    identity: ResponseIdentity | None = None


@dataclass(slots=True, frozen=True)
class EngineState:
    """State that an engine reports, some hundred milliseconds old.

    ``orders`` counts the orders accepted since the engine started, ``changing`` is set
    during a role change.
    """

    orders: int
    changing: bool
    role: Role
    incarnation: str
    waiting: int
    running: int
