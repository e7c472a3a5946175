"""Hold a failure domain's orders object and the planner's work on it."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

__all__ = [
    "Intent",
    "IntentPhase",
    "PlannerState",
    "OrdersObject",
    "LatestOrders",
    "PlannerCall",
    "OrderSender",
]


class IntentPhase(Enum):
    """Name the step that an intent has reached; no order precedes ORDERED."""

    DRAINING = "draining"
    ORDERED = "ordered"
    CLOSED = "closed"


class PlannerCall(Enum):
    """Name the call that the planner has under way."""

    NONE = "none"
    READ = "read"
    WRITE = "write"
    STATE = "state"
    ORDER = "order"


@dataclass(slots=True, frozen=True)
class Intent:
    """Hold one change of one target; ``fence`` is the lease's that ordered it."""

    id: str
    target: str
    action: str
    value: str
    fence: int
    phase: IntentPhase
    epoch: int


@dataclass(slots=True, frozen=True)
class OrderSender:
    """Name a process whose order may still arrive at a target without fencing."""

    target: str
    host: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class OrdersObject:
    """Hold the object ``orders/DOMAIN``.

    ``fence`` is that of the lease it was last written under, ``epoch`` counts the
    drains since ever. At most one intent is open; the closed one of each target
    stays to tell its outcome.
    """

    fence: int = 0
    epoch: int = 0
    intents: tuple[Intent, ...] = ()
    senders: tuple[OrderSender, ...] = ()


@dataclass(slots=True)
class PlannerState:
    """Hold the planner's knowledge; times are monotonic.

    ``known`` is false until the object was read under the lease's present fence.
    ``sends`` counts the orders sent; ``accepted`` tells that the target took the
    open one from this process; ``unsure`` holds when an order was sent to a target
    whose answer was lost, ``noticed`` when another's entry as sender was first seen,
    ``opened_at`` when the open intent was; none is opened before ``rest_until``.
    """

    domain: str
    host: str
    incarnation: int
    call: PlannerCall = PlannerCall.NONE
    known: bool = False
    fence: int | None = None
    version: int | None = None
    object: OrdersObject = field(default_factory=OrdersObject)
    written: OrdersObject | None = None
    next_at: timedelta | None = None
    sends: int = 0
    accepted: bool = False
    done: bool = False
    unsure: dict[str, timedelta] = field(default_factory=dict)
    noticed: dict[OrderSender, timedelta] = field(default_factory=dict)
    noticed_under: int | None = None
    opened_at: timedelta | None = None
    rest_until: timedelta | None = None


@dataclass(slots=True)
class LatestOrders:
    """Hold the newest orders object that a daemon has heard of, by domain."""

    versions: dict[str, int] = field(default_factory=dict)
    objects: dict[str, OrdersObject] = field(default_factory=dict)
