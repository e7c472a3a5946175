"""Give engines their roles, from whichever daemon holds the lease."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, Protocol

from result import Err, Ok

from galenapass.clocks import Clock
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.forwarding import roles
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.engine_states import EngineStateClient
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.roles import EngineCount, RoleChange
from galenapass.forwarding.target_messages import OrderOutcome
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target, TargetState

__all__ = ["Orders", "RolePlanner"]

PERIOD = timedelta(milliseconds=250)
# An order without an answer may be carried out this much later (12 s on the
# deployments' sheets).
LATE_ORDER = timedelta(seconds=13)
# A target that could not be ordered now is asked again after this.
RETRY = timedelta(seconds=1)
# After a change the runner's entry in the store takes a heartbeat to show it.
ENTRY_LAG = timedelta(seconds=3)
# Targets that start together register within a heartbeat, 1.2 s on the sheets.
JOIN_TIME = timedelta(seconds=1.3)
LONGEST_JOIN_TIME = timedelta(seconds=4)

# Engines tell a new holder of the lease within a few milliseconds what they change to.
LEARN_TIME = timedelta(milliseconds=300)

_log = make_log("planner")


class Orders(EngineStateClient, Protocol):
    """Send orders to engines."""

    async def order_role(
        self, target: Target, role: Role, holder: str, fence: int, orders: int
    ) -> OrderOutcome:
        """Order a change of role on condition of the orders accepted so far."""


class RolePlanner:
    """Hold the orders of this daemon that are not settled yet.

    ``share`` gives the part of a service's engines that is to prefill, or None while
    nothing is known of its work; ``check``
    asks an engine for its state and puts that into the table of targets;
    ``on_order`` hears of each order that an engine accepted.
    """

    def __init__(
        self,
        fleet: Fleet,
        keeper: LeaseKeeper,
        orders: Orders,
        clock: Clock,
        share: Callable[[str], float | None],
        check: Callable[[Target], Coroutine[Any, Any, None]],
        on_order: Callable[[Target, Role], None] = lambda target, role: None,
    ):
        self._fleet = fleet
        self._keeper = keeper
        self._orders = orders
        self._clock = clock
        self._share = share
        self._check = check
        self._on_order = on_order
        self._checks = BackgroundTasks("planner")
        self._held_since: timedelta | None = None
        self._counts: dict[str, EngineCount] = {}
        self._known: dict[str, set[str]] = {}
        self._left: set[str] = set()
        self._open: dict[str, tuple[Role, timedelta]] = {}

    @property
    def is_holder(self) -> bool:
        """Tell whether this daemon holds the lease now."""
        return self._keeper.is_holder

    async def run(self, pause: Callable[[], timedelta]) -> None:
        """Seek the lease and order roles; ``pause`` spaces the tries of candidates."""
        try:
            while True:
                await self.step()
                wait = PERIOD if self._keeper.is_holder else pause()
                await asyncio.sleep(wait.total_seconds())
        finally:
            await self._keeper.release()

    async def step(self) -> None:
        """Seek the lease, follow the load and give the orders that are due."""
        await self._keeper.step()
        self._follow_counts()
        if not self._keeper.is_holder:
            self._held_since = None
            return
        now = self._clock.monotonic()
        if self._held_since is None:
            self._held_since = now
            self._check_engines()
        if now - self._held_since < LEARN_TIME:
            return
        while self._keeper.is_holder and await self._order_next():
            pass

    def _check_engines(self) -> None:
        """Ask every engine for its role, as the last holder's orders are unknown."""
        for service in self._fleet.routes.services.values():
            targets = self._fleet.targets.values()
            for target in roles.list_engines(targets, service.name):
                self._checks.spawn(self._check(target))

    def _follow_counts(self) -> None:
        """Follow how many engines each service has, also without the lease."""
        now = self._clock.monotonic()
        targets = self._fleet.targets
        self._left |= {n for n, t in targets.items() if t.state is TargetState.LEAVING}
        for service in self._fleet.routes.services.values():
            engines = roles.list_engines(targets.values(), service.name)
            names = {target.id for target in engines}
            known = self._known.get(service.name, names)
            is_planned = names < known and known - names <= self._left
            count = self._counts.setdefault(service.name, EngineCount())
            roles.note_engines(count, len(engines), now, is_planned=is_planned)
            self._known[service.name] = names

    async def _order_next(self) -> bool:
        """Give one order; return whether another one may follow at once."""
        await self._follow_orders()
        change = self._find_change()
        if change is None:
            return False
        target = change.target
        state = await self._orders.fetch_state(target)
        now = self._clock.monotonic()
        if isinstance(state, Err) or state.ok_value.changing:
            self._open[target.id] = (target.role, now + RETRY)
            return True
        fence = self._keeper.fence
        if fence is None:
            return False
        outcome = await self._orders.order_role(
            target, change.role, self._fleet.host, fence, state.ok_value.orders
        )
        _log(
            "orders a role",
            target=target.id,
            role=change.role.value,
            why=change.why,
            fence=fence,
            orders=state.ok_value.orders,
            outcome=outcome.value,
        )
        self._note_outcome(change, outcome, self._clock.monotonic())
        if outcome is OrderOutcome.ACCEPTED:
            self._on_order(target, change.role)
        return True

    async def _follow_orders(self) -> None:
        """Forget the orders that are settled.

        An engine ends its running work before it changes, so a change may take
        longer than expected; a second order in its place would be one too many.
        """
        now = self._clock.monotonic()
        overdue = [name for name, (_, until) in self._open.items() if until <= now]
        for name in overdue:
            role, _ = self._open[name]
            target = self._fleet.targets.get(name)
            if target is not None and target.role is not role:
                state = await self._orders.fetch_state(target)
                if isinstance(state, Ok) and state.ok_value.changing:
                    self._open[name] = (role, self._clock.monotonic() + RETRY)
                    continue
            del self._open[name]

    def _is_listed(self, now: timedelta) -> bool:
        """Tell whether the targets that started together are all known."""
        first = self._fleet.first_joined
        if first is None:
            return False
        is_settled = now >= self._fleet.last_joined + JOIN_TIME
        return is_settled or now >= first + LONGEST_JOIN_TIME

    def _note_outcome(
        self, change: RoleChange, outcome: OrderOutcome, now: timedelta
    ) -> None:
        service = self._fleet.routes.services[change.target.service]
        taken = service.reconfiguration + ENTRY_LAG
        waits = {
            OrderOutcome.ACCEPTED: (change.role, taken),
            OrderOutcome.ALREADY_HELD: (change.role, ENTRY_LAG),
            OrderOutcome.UNKNOWN: (change.role, LATE_ORDER + taken),
        }
        role, wait = waits.get(outcome, (change.target.role, RETRY))
        self._open[change.target.id] = (role, now + wait)

    def _find_change(self) -> RoleChange | None:
        now = self._clock.monotonic()
        if not self._is_listed(now):
            return None
        ordered = {name: role for name, (role, _) in self._open.items()}
        for service in self._fleet.routes.services.values():
            if not service.is_model:
                continue
            change = roles.plan_change(
                self._fleet.targets.values(),
                service.name,
                self._share(service.name),
                ordered,
            )
            count = self._counts.setdefault(service.name, EngineCount())
            if change is not None and roles.is_due(change, count):
                return change
        return None
