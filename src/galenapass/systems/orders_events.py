"""Define the events that step the planner's orders and the calls that result."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from result import Result

from galenapass.platform.messages import Failure, StoredObject
from galenapass.systems.role_planning import RequiredChange
from galenapass.tables.peer_messages import DrainAck
from galenapass.targets.engines import EngineState, Order, OrderAnswer
from galenapass.verdicts import Verdict

__all__ = [
    "FetchState",
    "ObjectRead",
    "ObjectWritten",
    "OrderSent",
    "OrdersEffect",
    "OrdersEvent",
    "OrdersTick",
    "PlannerInputs",
    "ReadOrders",
    "SendOrder",
    "StateFetched",
    "WriteOrders",
]


@dataclass(slots=True, frozen=True)
class PlannerInputs:
    """Inputs of the planner besides its orders object.

    ``fence`` is None without a valid lease. ``wanted`` lists the required changes in
    the order in which they are considered. ``daemons`` maps the domain's hosts on the
    platform's list to their incarnations and is empty while the list is unknown.
    ``checks_fencing`` has an entry for each target of the operators' file: whether the
    target checks fencing numbers. A drain is cancelled unless its target is in
    ``still_required``; None keeps every drain. ``quarantine`` is how long an order
    whose outcome is unknown may still arrive.
    """

    fence: int | None
    wanted: tuple[RequiredChange, ...] = ()
    still_required: frozenset[str] | None = None
    daemons: Mapping[str, int] = field(default_factory=dict)
    acks: tuple[DrainAck, ...] = ()
    checks_fencing: Mapping[str, bool] = field(default_factory=dict)
    quarantine: timedelta = timedelta(seconds=30)


@dataclass(slots=True, frozen=True)
class OrdersTick:
    """Event: time has passed."""


@dataclass(slots=True, frozen=True)
class ObjectRead:
    """Event: the answer to a read."""

    answer: Result[StoredObject, Failure]


@dataclass(slots=True, frozen=True)
class ObjectWritten:
    """Event: the answer to a write."""

    answer: Result[int, Failure]


@dataclass(slots=True, frozen=True)
class StateFetched:
    """Event: the answer to a request for a target's state."""

    answer: Result[EngineState, Verdict]


@dataclass(slots=True, frozen=True)
class OrderSent:
    """Event: a target's answer to an order."""

    answer: Result[OrderAnswer, Verdict]


@dataclass(slots=True, frozen=True)
class ReadOrders:
    """Effect: read the orders object."""


@dataclass(slots=True, frozen=True)
class WriteOrders:
    """Effect: update the orders object conditionally."""

    body: str
    if_version: int | None


@dataclass(slots=True, frozen=True)
class FetchState:
    """Effect: fetch a target's state."""

    target: str


@dataclass(slots=True, frozen=True)
class SendOrder:
    """Effect: send an order, if ``may_send`` still returns True just before."""

    target: str
    order: Order
    lease_fence: int


OrdersEvent = OrdersTick | ObjectRead | ObjectWritten | StateFetched | OrderSent
OrdersEffect = ReadOrders | WriteOrders | FetchState | SendOrder
