"""Define the requests that this daemon has accepted and not yet ended."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, IntEnum

__all__ = ["Request", "RequestState", "Reservation", "Urgency"]


class Urgency(IntEnum):
    """Priority class of a request; a lower number goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class RequestState(Enum):
    """Stage in the life of a request."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    STREAMING = "streaming"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Reservation:
    """Capacity that a request occupies at one target until it is released.

    ``prefill`` is in tokens; with ``until_first_token`` the whole reservation is
    released at the first token.
    """

    target: str
    prefill: int
    pieces: int
    until_first_token: bool = False


@dataclass(slots=True)
class Request:
    """Accepted request; times are monotonic, sizes are in tokens.

    ``queued_ahead`` counts the prefill tokens queued ahead of it at dispatch;
    ``work`` is the estimate at admission of the target-seconds that it takes;
    ``may_have_run`` is set once an attempt ended without proof that it did not run.
    """

    id: str
    caller: str
    service: str
    arrived: timedelta
    deadline: timedelta
    urgency: Urgency = Urgency.NORMAL
    key: str | None = None
    fingerprint: str = ""
    idempotent: bool = True
    prompt_tokens: int = 0
    output_tokens: int = 0
    blocks: tuple[int, ...] = ()
    state: RequestState = RequestState.WAITING
    target: str | None = None
    prefill_target: str | None = None
    delivered: int = 0
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    first_token: timedelta | None = None
    dispatched: timedelta | None = None
    queued_ahead: int = 0
    reservations: list[Reservation] = field(default_factory=list)
    may_have_run: bool = False
    preempted: bool = False
    preemptions: int = 0
    work: float = 0.0
