"""Accept or refuse the orders to an engine and record each of them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = ["Action", "Conflict", "Order", "OrderRecord", "Orders", "Outcome"]


class Action(Enum):
    """Feature of an engine that an order changes."""

    ROLE = "role"
    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"


class Outcome(Enum):
    """Result of an order."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    STALE = "stale fence"
    BUSY = "busy"


@dataclass(slots=True, frozen=True)
class Order:
    """Order to an engine; ``fence`` grows with each new authorized sender."""

    id: str
    fence: int
    action: Action
    value: str


@dataclass(slots=True, frozen=True)
class OrderRecord:
    """Order with its outcome."""

    order: Order
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Conflict:
    """Order accepted while a different one was in progress."""

    under_way: Order
    accepted: Order


class Orders:
    """Highest fence, order in progress and records of all orders."""

    __slots__ = (
        "_accepted_ids",
        "_ends_at",
        "checks_fencing",
        "conflicts",
        "fence",
        "last",
        "records",
    )

    def __init__(self, checks_fencing: bool):
        self.checks_fencing = checks_fencing
        self.fence = 0
        self.last: Order | None = None
        self.records: list[OrderRecord] = []
        self.conflicts: list[Conflict] = []
        self._ends_at: timedelta | None = None
        self._accepted_ids: set[str] = set()

    @property
    def ends_at(self) -> timedelta | None:
        """Return the end time of the order in progress, or None."""
        return self._ends_at

    def submit(self, order: Order, now: timedelta, duration: timedelta) -> Outcome:
        """Accept or refuse an order; an accepted one lasts for ``duration``."""
        outcome = self._classify(order)
        self.records.append(OrderRecord(order, outcome))
        if outcome is Outcome.ACCEPTED:
            self._accept(order, now + duration)
        if outcome in (Outcome.ACCEPTED, Outcome.REPEATED):
            self.fence = max(self.fence, order.fence)
        return outcome

    def _classify(self, order: Order) -> Outcome:
        if order.id in self._accepted_ids:
            return Outcome.REPEATED
        if self.checks_fencing and order.fence < self.fence:
            return Outcome.STALE
        if self.checks_fencing and self._ends_at is not None:
            return Outcome.BUSY
        return Outcome.ACCEPTED

    def _accept(self, order: Order, ends_at: timedelta) -> None:
        if self._ends_at is not None and self.last is not None:
            self.conflicts.append(Conflict(self.last, order))
        self._accepted_ids.add(order.id)
        self.last = order
        self._ends_at = ends_at

    def take_completed(self, now: timedelta) -> Order | None:
        """Return the order that has completed, once, or None."""
        if self._ends_at is None or now < self._ends_at:
            return None
        self._ends_at = None
        return self.last

    def reset(self) -> None:
        """Forget the orders as a restart does; the fence and the records stay."""
        self.last = None
        self._ends_at = None
        self._accepted_ids.clear()
