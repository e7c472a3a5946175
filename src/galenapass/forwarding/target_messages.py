"""Hold what is exchanged with targets, free of any protocol's names."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.tables.targets import Role

__all__ = [
    "TargetResponse",
    "EngineState",
    "ClientRequest",
    "TargetNotice",
    "OrderOutcome",
]


class OrderOutcome(Enum):
    """Tell what became of an order; only UNKNOWN may still be carried out."""

    ACCEPTED = "accepted"
    ALREADY_HELD = "holds already"
    CONFLICT = "another order came first"
    FENCED = "the fence is too low"
    MISDIRECTED = "another target has the address"
    REFUSED = "refused"
    UNKNOWN = "no answer"


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """Hold a client's request as it goes to targets, unchanged.

    ``target`` is the path and query as they came, ``headers`` every header.
    """

    attempt: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class TargetNotice:
    """Hold what an answer says beside the request that it answers.

    ``leaving`` tells that the target takes no new work, ``back_off`` how long it wants
    none from this daemon.
    """

    leaving: bool = False
    back_off: timedelta | None = None


@dataclass(slots=True, frozen=True)
class TargetResponse:
    """Hold a target's answer; ``chunks`` raises if the body is cut short.

    ``signed`` tells that the answer proves its origin.
    """

    status: int
    headers: list[tuple[str, str]]
    signed: bool
    chunks: AsyncIterator[bytes]


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold what an engine reports; it lags by some hundred milliseconds.

    ``orders`` counts the orders accepted since its start.
    """

    orders: int
    changing: bool
    role: Role
    incarnation: str
    waiting: int
    running: int
