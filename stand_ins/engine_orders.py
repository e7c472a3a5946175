"""Judge the orders that an engine gets and record each of them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = ["Action", "Conflict", "Order", "OrderRecord", "Orders", "Outcome"]


class Action(Enum):
    """Name what an order changes."""

    ROLE = "role"
    MODEL = "model"
    ADAPTER = "adapter"
    VERSION = "version"


class Outcome(Enum):
    """Name the answer to an order."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    STALE = "stale fence"
    BUSY = "busy"


@dataclass(slots=True, frozen=True)
class Order:
    """Hold one order; ``fence`` grows with each holder of the authority."""

    id: str
    fence: int
    action: Action
    value: str


@dataclass(slots=True, frozen=True)
class OrderRecord:
    """Hold an order and how it was answered."""

    order: Order
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class Conflict:
    """Hold a different order that was accepted while one was under way."""

    under_way: Order
    accepted: Order


class Orders:
    """Keep the highest fence, the order under way and the account of all."""

    __slots__ = ("_ends", "_ids", "checks", "conflicts", "fence", "last", "records")

    def __init__(self, checks_fencing: bool):
        self.checks = checks_fencing
        self.fence = 0
        self.last: Order | None = None
        self.records: list[OrderRecord] = []
        self.conflicts: list[Conflict] = []
        self._ends: timedelta | None = None
        self._ids: set[str] = set()

    @property
    def ends(self) -> timedelta | None:
        """Return when the order under way ends, or None when there is none."""
        return self._ends

    def offer(self, order: Order, now: timedelta, away: timedelta) -> Outcome:
        """Accept or refuse an order; an accepted one is under way for ``away``."""
        outcome = self._judge(order)
        self.records.append(OrderRecord(order, outcome))
        if outcome is Outcome.ACCEPTED:
            self._accept(order, now + away)
        if outcome in (Outcome.ACCEPTED, Outcome.REPEATED):
            self.fence = max(self.fence, order.fence)
        return outcome

    def _judge(self, order: Order) -> Outcome:
        if order.id in self._ids:
            return Outcome.REPEATED
        if self.checks and order.fence < self.fence:
            return Outcome.STALE
        if self.checks and self._ends is not None:
            return Outcome.BUSY
        return Outcome.ACCEPTED

    def _accept(self, order: Order, ends: timedelta) -> None:
        if self._ends is not None and self.last is not None:
            self.conflicts.append(Conflict(self.last, order))
        self._ids.add(order.id)
        self.last = order
        self._ends = ends

    def take_ended(self, now: timedelta) -> Order | None:
        """Return the order whose time is over, once."""
        if self._ends is None or now < self._ends:
            return None
        self._ends = None
        return self.last

    def forget(self) -> None:
        """Lose the orders as a restart does; the fence and the account stay."""
        self.last = None
        self._ends = None
        self._ids.clear()
