"""Hold what the planner's orders are stepped by and the calls they ask for."""

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
    "ReadOrders",
    "SendOrder",
    "PlannerInputs",
    "StateFetched",
    "WriteOrders",
]


@dataclass(slots=True, frozen=True)
class PlannerInputs:
    """Hold what the planner knows besides its object.

    ``fence`` is None without a valid lease; ``daemons`` maps the domain's hosts on
    the platform's list to their incarnations, empty while the list is unknown;
    ``checks_fencing`` names each target of the operators' file. A drain is taken
    back unless its target is in ``still_required``; None keeps every drain.
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
    """Tell that time has passed."""


@dataclass(slots=True, frozen=True)
class ObjectRead:
    """Bring the answer to a read."""

    answer: Result[StoredObject, Failure]


@dataclass(slots=True, frozen=True)
class ObjectWritten:
    """Bring the answer to a write."""

    answer: Result[int, Failure]


@dataclass(slots=True, frozen=True)
class StateFetched:
    """Bring a target's state."""

    answer: Result[EngineState, Verdict]


@dataclass(slots=True, frozen=True)
class OrderSent:
    """Bring a target's answer to an order."""

    answer: Result[OrderAnswer, Verdict]


@dataclass(slots=True, frozen=True)
class ReadOrders:
    """Ask for a read of the orders object."""


@dataclass(slots=True, frozen=True)
class WriteOrders:
    """Ask for a conditional update of the orders object."""

    body: str
    if_version: int | None


@dataclass(slots=True, frozen=True)
class FetchState:
    """Ask for a target's state."""

    target: str


@dataclass(slots=True, frozen=True)
class SendOrder:
    """Ask to send an order, if ``may_send`` still holds just before."""

    target: str
    order: Order
    lease_fence: int


OrdersEvent = OrdersTick | ObjectRead | ObjectWritten | StateFetched | OrderSent
OrdersEffect = ReadOrders | WriteOrders | FetchState | SendOrder
