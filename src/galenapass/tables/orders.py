"""Define a failure domain's orders object and the planner's state."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

__all__ = [
    "Intent",
    "IntentPhase",
    "LatestOrders",
    "OrderSender",
    "OrdersObject",
    "PlannerCall",
    "PlannerState",
]


class IntentPhase(Enum):
    """Phase of an intent; no order is sent before ORDERED."""

    DRAINING = "draining"
    ORDERED = "ordered"
    CLOSED = "closed"


class PlannerCall(Enum):
    """Call that the planner has in progress."""

    NONE = "none"
    READ = "read"
    WRITE = "write"
    STATE = "state"
    ORDER = "order"


@dataclass(slots=True, frozen=True)
class Intent:
    """Planned change of one target; ``fence`` is of the lease that ordered it."""

    id: str
    target: str
    action: str
    value: str
    fence: int
    phase: IntentPhase
    epoch: int


@dataclass(slots=True, frozen=True)
class OrderSender:
    """Process whose order may still arrive at a target that ignores fencing."""

    target: str
    host: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class OrdersObject:
    """Stored object ``orders/DOMAIN``.

    ``fence`` is that of the lease it was last written under, ``epoch`` the total
    number of drains so far. At most one intent is open; the last closed intent of
    each target is retained to report its outcome.
    """

    fence: int = 0
    epoch: int = 0
    intents: tuple[Intent, ...] = ()
    senders: tuple[OrderSender, ...] = ()


@dataclass(slots=True)
class PlannerState:
    """State of the planner; times are monotonic.

    ``known`` is false until the object was read under the lease's current fence.
    ``sends`` counts the orders sent. ``accepted`` is set when the target accepted
    the open order from this process, ``done`` when it has completed it. ``unsure``
    maps a target to the time of an order whose outcome is uncertain, ``noticed`` a
    sender to the time when its entry was first seen under the fence
    ``noticed_under``. ``opened_at`` is when the open intent was first seen; none is
    opened before ``rest_until``.
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
    """Newest orders object that a daemon has received, by domain."""

    versions: dict[str, int] = field(default_factory=dict)
    objects: dict[str, OrdersObject] = field(default_factory=dict)
