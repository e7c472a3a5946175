"""Order roles of engines while this daemon holds the lease."""

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
from galenapass.forwarding.fleet import MAX_JOIN_TIME, Fleet
from galenapass.forwarding.roles import EngineCount, RoleChange
from galenapass.forwarding.routes import Service
from galenapass.forwarding.silent_targets import is_silent
from galenapass.forwarding.target_messages import OrderOutcome
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target, TargetState

__all__ = ["OrderClient", "RolePlanner"]

STEP_PERIOD = timedelta(milliseconds=250)
# An order without an answer may be carried out within this time (12 s on the
# deployments' engines).
LATE_ORDER_TIME = timedelta(seconds=13)
# Delay before an engine that could not be ordered is tried again.
RETRY_DELAY = timedelta(seconds=1)
# After a change the target's entry in the store takes a heartbeat to show it.
ENTRY_LAG = timedelta(seconds=3)
# Targets that start together register within a heartbeat, 1.2 s on the deployments.
JOIN_SETTLE_TIME = timedelta(seconds=1.3)
# An engine that joined counts as new for this long: it has cached little by then.
NEW_TIME = timedelta(seconds=5)
# A sound engine may be silent for a second and then go on.
MIN_SILENCE = timedelta(seconds=1.5)
# Engines answer a new holder's state queries within a few milliseconds.
STATE_QUERY_TIME = timedelta(milliseconds=300)

_log = make_log("planner")


class OrderClient(EngineStateClient, Protocol):
    """Client that queries engines and sends them orders."""

    async def order_role(
        self, target: Target, role: Role, holder: str, fence: int, orders: int
    ) -> OrderOutcome:
        """Order a role if the engine has accepted ``orders`` orders since its start."""


class RolePlanner:
    """Planner of engine roles, and its orders that are not settled yet.

    ``prefill_share`` returns the share of a service's engines that is to prefill, or
    None while its demand is unknown; ``refresh_state`` queries an engine and updates
    the table of targets; ``on_order`` is called with each order that an engine
    accepted. ``has_crashed`` returns whether the hosts agree that an engine crashed,
    which the first of them has not reached for the given time; ``is_cut_off`` whether
    this host reaches no engine or has never listed them all, and ``is_resizing``
    whether an order changes a service's number of engines now.
    """

    def __init__(
        self,
        fleet: Fleet,
        keeper: LeaseKeeper,
        client: OrderClient,
        clock: Clock,
        prefill_share: Callable[[str], float | None],
        refresh_state: Callable[[Target], Coroutine[Any, Any, None]],
        on_order: Callable[[Target, Role], None] = lambda target, role: None,
        has_crashed: Callable[[Target, timedelta], bool] = (
            lambda target, min_silence: False
        ),
        is_cut_off: Callable[[], bool] = lambda: False,
        is_resizing: Callable[[str], bool] = lambda service: False,
    ):
        self._fleet = fleet
        self._keeper = keeper
        self._client = client
        self._clock = clock
        self._prefill_share = prefill_share
        self._refresh_state = refresh_state
        self._on_order = on_order
        self._has_crashed = has_crashed
        self._is_cut_off = is_cut_off
        self._is_resizing = is_resizing
        # Engines that joined while sizes change, and when.
        self._added_at: dict[str, timedelta] = {}
        # Crashed engines, their incarnation and the time, until they are reached again.
        self._lost: dict[str, tuple[str, timedelta]] = {}
        # Versions whose decode engines crashed, by service.
        self._lost_versions: dict[str, set[str]] = {}
        # Decode engines that most hosts cannot reach, whose entries have not lapsed.
        self._silent: dict[str, Target] = {}
        self._background = BackgroundTasks("planner")
        self._lease_held_since: timedelta | None = None
        self._engine_counts: dict[str, EngineCount] = {}
        self._engines_by_service: dict[str, set[str]] = {}
        self._leaving: set[str] = set()
        self._pending_orders: dict[str, tuple[Role, timedelta]] = {}

    @property
    def is_holder(self) -> bool:
        """Return whether this daemon holds the lease now."""
        return self._keeper.is_holder

    def give_up_lease(self) -> None:
        """Stop ordering roles, as the store was restored and may lack the lease."""
        self._keeper.apply_epoch()

    async def run(self, pause: Callable[[], timedelta]) -> None:
        """Acquire the lease and order roles; ``pause`` returns the delay of a retry."""
        try:
            while True:
                await self.step()
                wait = STEP_PERIOD if self._keeper.is_holder else pause()
                await asyncio.sleep(wait.total_seconds())
        finally:
            await self._keeper.release()

    async def step(self) -> None:
        """Acquire or renew the lease, count engines and send the due orders.

        A host whose orders would reach no engine leaves the lease to others.
        """
        is_cut_off = self._is_cut_off()
        if not is_cut_off:
            await self._keeper.step()
        elif self._keeper.is_holder:
            _log("lease is released, as no engine is reached")
            await self._keeper.release()
        self._update_engine_counts()
        if is_cut_off or not self._keeper.is_holder:
            self._lease_held_since = None
            return
        now = self._clock.monotonic()
        if self._lease_held_since is None:
            self._lease_held_since = now
            self._refresh_engines()
        if now - self._lease_held_since < STATE_QUERY_TIME:
            return
        while self._keeper.is_holder and await self._order_next():
            pass

    def _refresh_engines(self) -> None:
        """Query the role of every engine, as the last holder's orders are unknown."""
        for service in self._fleet.routes.services.values():
            targets = self._fleet.targets.values()
            for target in roles.list_engines(targets, service.name):
                self._background.spawn(self._refresh_state(target))

    def _update_engine_counts(self) -> None:
        """Update the number of engines of each service, also without the lease."""
        now = self._clock.monotonic()
        targets = self._fleet.targets
        self._update_lost()
        self._leaving |= {
            n for n, t in targets.items() if t.state is TargetState.LEAVING
        }
        for service in self._fleet.routes.services.values():
            engines = roles.list_engines(self._list_present(), service.name)
            names = {target.id for target in engines}
            known = self._engines_by_service.get(service.name, names)
            is_permanent = self._is_permanent(service, known, names, now)
            count = self._engine_counts.setdefault(service.name, EngineCount())
            roles.update_engine_count(
                count, len(engines), now, is_permanent=is_permanent
            )
            self._engines_by_service[service.name] = names

    def _is_permanent(
        self, service: Service, known: set[str], names: set[str], now: timedelta
    ) -> bool:
        """Return whether a change of a service's engines is there to stay.

        Load pattern: sizes that are ordered. Engines that start, and those released,
        must not hold the roles up until their number is settled.
        """
        lost, added = known - names, names - known
        if service.scaling is None or not self._is_resizing(service.name):
            return names < known and lost <= self._leaving
        self._added_at |= dict.fromkeys(added, now)
        return bool(lost or added)

    def _list_new(self, now: timedelta) -> list[str]:
        """Return the engines that have just started by an order of a size."""
        self._added_at = {
            name: at for name, at in self._added_at.items() if now - at < NEW_TIME
        }
        return list(self._added_at)

    def _update_lost(self) -> None:
        """Update which engines are lost: all of a role and version that crashed.

        The loss of some of them is left to their entries, as a change of roles costs
        more than engines that are missing for a few seconds.
        """
        targets = self._fleet.targets
        self._lost = {
            name: (incarnation, at)
            for name, (incarnation, at) in self._lost.items()
            if name in targets
            and targets[name].incarnation == incarnation
            and self._fleet.load_by_id(name).reached_at < at
        }
        former, self._silent = self._silent, {}
        for service in self._fleet.routes.services.values():
            engines = roles.list_engines(self._list_present(), service.name)
            decode = [t for t in engines if t.role is Role.DECODE]
            lost_versions = self._lost_versions.setdefault(service.name, set())
            # The lapse of its entry confirms that a silent engine has crashed.
            lost_versions |= {
                target.version
                for target in former.values()
                if target.service == service.name and target.id not in targets
            }
            silent = {t.id: t for t in decode if self._has_crashed(t, timedelta(0))}
            lost_versions -= {t.version for t in decode if t.id not in silent}
            self._silent |= silent
            for version in {t.version for t in decode}:
                group = [t for t in decode if t.version == version]
                if self._record_lost(group):
                    lost_versions.add(version)
            self._record_lost([t for t in engines if t.role is Role.PREFILL])

    def _record_lost(self, group: list[Target]) -> bool:
        """Record that engines of one role are lost if all of them have crashed."""
        if not group or not all(
            self._has_crashed(target, MIN_SILENCE) for target in group
        ):
            return False
        now = self._clock.monotonic()
        self._lost |= {target.id: (target.incarnation, now) for target in group}
        names = sorted(target.id for target in group)
        _log("engines are lost", role=group[0].role.value, targets=names)
        return True

    def _list_present(self) -> list[Target]:
        """Return the targets that are not lost."""
        return [t for t in self._fleet.targets.values() if t.id not in self._lost]

    async def _order_next(self) -> bool:
        """Send one order; return whether another one may follow at once."""
        await self._expire_orders()
        change = self._find_change()
        if change is None:
            return False
        target = change.target
        # A configuration without the service may come while the order is on its way.
        service = self._fleet.routes.services[target.service]
        state = await self._client.fetch_state(target)
        now = self._clock.monotonic()
        if isinstance(state, Err) or state.ok_value.changing:
            self._pending_orders[target.id] = (target.role, now + RETRY_DELAY)
            return True
        fence = self._keeper.fence
        if fence is None:
            return False
        outcome = await self._client.order_role(
            target, change.role, self._fleet.host, fence, state.ok_value.orders
        )
        _log(
            "role is ordered",
            target=target.id,
            role=change.role.value,
            why=change.why,
            fence=fence,
            orders=state.ok_value.orders,
            outcome=outcome.value,
        )
        self._record_outcome(change, service, outcome, self._clock.monotonic())
        if outcome is OrderOutcome.ACCEPTED:
            self._on_order(target, change.role)
        return True

    async def _expire_orders(self) -> None:
        """Remove the orders that are settled.

        An engine ends its running work before it changes, so a change may take longer
        than expected; ordering another engine instead would be one order too many.
        """
        now = self._clock.monotonic()
        overdue = [
            name for name, (_, until) in self._pending_orders.items() if until <= now
        ]
        for name in overdue:
            role, _ = self._pending_orders[name]
            target = self._fleet.targets.get(name)
            if target is not None and target.role is not role:
                state = await self._client.fetch_state(target)
                if isinstance(state, Ok) and state.ok_value.changing:
                    self._pending_orders[name] = (
                        role,
                        self._clock.monotonic() + RETRY_DELAY,
                    )
                    continue
            del self._pending_orders[name]

    def _has_initial_targets(self, now: timedelta) -> bool:
        """Return whether all targets that started together have registered."""
        first = self._fleet.first_joined
        if first is None:
            return False
        is_settled = now >= self._fleet.last_joined + JOIN_SETTLE_TIME
        return is_settled or now >= first + MAX_JOIN_TIME

    def _record_outcome(
        self,
        change: RoleChange,
        service: Service,
        outcome: OrderOutcome,
        now: timedelta,
    ) -> None:
        change_time = service.reconfiguration + ENTRY_LAG
        delays = {
            OrderOutcome.ACCEPTED: (change.role, change_time),
            OrderOutcome.ALREADY_HELD: (change.role, ENTRY_LAG),
            OrderOutcome.UNKNOWN: (change.role, LATE_ORDER_TIME + change_time),
        }
        role, wait = delays.get(outcome, (change.target.role, RETRY_DELAY))
        self._pending_orders[change.target.id] = (role, now + wait)

    def _find_change(self) -> RoleChange | None:
        now = self._clock.monotonic()
        if not self._has_initial_targets(now):
            return None
        # An engine that does not answer gets no order, whether it crashed or not.
        pending_roles = {
            target.id: target.role
            for target in self._list_present()
            if is_silent(self._fleet.load_of(target), now)
        }
        pending_roles |= {n: role for n, (role, _) in self._pending_orders.items()}
        for service in self._fleet.routes.services.values():
            if not service.is_model:
                continue
            change = roles.plan_change(
                self._list_present(),
                service.name,
                self._prefill_share(service.name),
                pending_roles,
                self._lost_versions.get(service.name, ()),
                self._list_new(now),
            )
            count = self._engine_counts.setdefault(service.name, EngineCount())
            if change is not None and roles.is_due(change, count):
                return change
        return None
