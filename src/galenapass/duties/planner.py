"""Run a failure domain's lease and orders against the platform and the engines."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import Any

from result import Err

from galenapass.clocks import Clock
from galenapass.duties.lease_keeper import LeaseKeeper
from galenapass.logs import make_log
from galenapass.metrics import Metrics
from galenapass.platform.object_client import ObjectClient
from galenapass.systems import leases, orders_rules
from galenapass.systems.orders import step_orders
from galenapass.systems.orders_events import (
    FetchState,
    ObjectRead,
    ObjectWritten,
    OrdersEffect,
    OrderSent,
    OrdersEvent,
    OrdersTick,
    PlannerInputs,
    ReadOrders,
    SendOrder,
    StateFetched,
    WriteOrders,
)
from galenapass.systems.required_changes import list_required_changes
from galenapass.systems.role_planning import RequiredChange
from galenapass.tables.hosts import HostState
from galenapass.tables.leases import Lease
from galenapass.tables.orders import PlannerState
from galenapass.tables.peer_messages import DrainAck, Orders
from galenapass.tables.targets import TargetKind, TargetState
from galenapass.tables.world import World
from galenapass.targets.engines import EngineClient
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["ORDERS_KIND", "Planner"]

ORDERS_KIND = "orders"
TERM = timedelta(seconds=10)
PERIOD = timedelta(milliseconds=200)
ACKNOWLEDGING_STATES = frozenset({HostState.ALIVE, HostState.LEAVING})

_log = make_log("planner")

NOT_SENT = Verdict(Run.NOT_RUN, Reason.STOPPING, "the lease is no longer valid")


class Planner:
    """One daemon's planner for its failure domain.

    ``list_acks`` returns the drain acknowledgements of every daemon, including this
    one; ``publish`` receives each orders object that was written or read.
    """

    __slots__ = (
        "_clock",
        "_engines",
        "_keeper",
        "_list_acks",
        "_listed_incarnations",
        "_logged_reasons",
        "_metrics",
        "_objects",
        "_publish",
        "_state",
        "_world",
    )

    def __init__(
        self,
        world: World,
        incarnation: int,
        clock: Clock,
        objects: ObjectClient,
        engines: EngineClient,
        metrics: Metrics,
        list_acks: Callable[[], Iterable[DrainAck]],
        publish: Callable[[Orders], None],
        term: timedelta = TERM,
    ):
        self._world = world
        self._clock = clock
        self._objects = objects
        self._engines = engines
        self._metrics = metrics
        self._list_acks = list_acks
        self._publish = publish
        lease = Lease(world.domain, world.host, incarnation, term)
        self._keeper = LeaseKeeper(lease, clock, objects)
        self._state = PlannerState(world.domain, world.host, incarnation)
        self._listed_incarnations: dict[str, int] = {}
        self._logged_reasons: tuple[str, ...] = ()

    def record_listed_daemons(self, daemons: dict[str, int]) -> None:
        """Record the daemons that the platform lists, with their incarnations."""
        self._listed_incarnations = daemons

    def is_holder(self) -> bool:
        """Return whether this daemon holds a valid lease now."""
        return self._keeper.is_holder

    @property
    def _lease(self) -> Lease:
        return self._keeper.lease

    async def run(self) -> None:
        """Plan until cancelled, then release the lease."""
        lease_task = asyncio.create_task(self._repeat(self.step_lease))
        orders_task = asyncio.create_task(self._repeat(self.step_orders))
        try:
            await asyncio.gather(lease_task, orders_task)
        finally:
            for task in (orders_task, lease_task):
                task.cancel()
            await asyncio.gather(lease_task, orders_task, return_exceptions=True)
            await self._keeper.release()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            await _finish_step(step())
            await asyncio.sleep(PERIOD.total_seconds())

    # The lease

    async def step_lease(self) -> None:
        """Try to acquire the lease, or renew it when that is due."""
        # A successor would treat a host that the platform does not list yet as gone.
        if (
            not leases.is_own_lease(self._lease)
            and self._world.host not in self._listed_incarnations
        ):
            return
        await self._keeper.step()

    # Orders

    async def step_orders(self) -> None:
        """Advance the open change, or open one, until no effect is due."""
        event: OrdersEvent = OrdersTick()
        while True:
            now = self._clock.monotonic()
            inputs = self._make_inputs(now)
            effect = step_orders(self._state, event, inputs, now)
            if effect is None:
                return
            event = await _EFFECT_HANDLERS[type(effect)](self, effect)

    def _make_inputs(self, now: timedelta) -> PlannerInputs:
        configuration = self._world.configuration
        valid = leases.is_valid(self._lease, now)
        value = self._lease.value
        return PlannerInputs(
            fence=value.fence if valid and value is not None else None,
            wanted=self._list_required_changes(now)
            if valid and self._can_all_acknowledge()
            else (),
            still_required=frozenset(
                target.id
                for target in self._world.targets.values()
                if target.state is not TargetState.LEAVING
            ),
            daemons=self._list_daemons(),
            acks=tuple(self._list_acks()),
            checks_fencing={
                entry.name: entry.checks_fencing
                for entry in configuration.targets.values()
                if entry.domain == self._world.domain
                and configuration.services[entry.service].kind is TargetKind.ENGINE
            },
            quarantine=configuration.quarantine,
        )

    def _list_required_changes(self, now: timedelta) -> tuple[RequiredChange, ...]:
        required_changes = list_required_changes(self._world, now)
        reasons = tuple(change.why for change in required_changes)
        if reasons != self._logged_reasons:
            self._logged_reasons = reasons
            for change in required_changes:
                _log(
                    f"{change.action} {change.value} is required for {change.target}",
                    gain=change.gain,
                    cost=change.cost,
                    why=change.why,
                )
        return required_changes

    def _can_all_acknowledge(self) -> bool:
        """Return whether every other daemon is reachable to acknowledge a drain."""
        hosts = self._world.hosts
        others = self._list_daemons().keys() - {self._world.host}
        return all(
            n in hosts and hosts[n].state in ACKNOWLEDGING_STATES for n in others
        )

    def _list_daemons(self) -> dict[str, int]:
        """Return the daemons that must acknowledge a drain, with their incarnations.

        They include known peers that are too new for the list: such a daemon may
        already send requests.
        """
        if not self._listed_incarnations:
            return {}
        known = {
            host.id: host.incarnation
            for host in self._world.hosts.values()
            if host.state is not HostState.GONE and self._world.routes_to(host.domain)
        }
        names = self._listed_incarnations.keys() | known.keys()
        return {
            n: max(self._listed_incarnations.get(n, 0), known.get(n, 0)) for n in names
        }

    async def _read_orders(self, effect: ReadOrders) -> OrdersEvent:
        found = await self._objects.read(ORDERS_KIND, self._world.domain)
        if not isinstance(found, Err):
            stored = found.ok_value
            self._publish(Orders(self._world.domain, stored.version, stored.body))
        return ObjectRead(found)

    async def _write_orders(self, effect: WriteOrders) -> OrdersEvent:
        name = self._world.domain
        written = await self._objects.write(
            ORDERS_KIND, name, effect.body, effect.if_version
        )
        if not isinstance(written, Err):
            self._publish(Orders(name, written.ok_value, effect.body))
        return ObjectWritten(written)

    async def _fetch_state(self, effect: FetchState) -> OrdersEvent:
        target = self._world.targets.get(effect.target)
        if target is None:
            detail = f"{effect.target} is not in the operators' file"
            return StateFetched(Err(Verdict(Run.NOT_RUN, Reason.NO_TARGET, detail)))
        return StateFetched(await self._engines.fetch_state(target.address))

    async def _send_order(self, effect: SendOrder) -> OrdersEvent:
        target = self._world.targets.get(effect.target)
        if target is None:
            return OrderSent(Err(NOT_SENT))
        order = effect.order
        _log(
            f"{order.action} {order.value} is ordered from {target.id}",
            order=order.id,
            fence=order.fence,
        )
        self._metrics.orders.add(1, {"action": order.action})
        now = self._clock.monotonic()
        if not orders_rules.may_send(self._lease, effect.lease_fence, now):
            return OrderSent(Err(NOT_SENT))
        return OrderSent(await self._engines.send_order(target.address, order))


async def _finish_step(work: Awaitable[None]) -> None:
    """Await a step to its end even when cancelled, so that no call is left open."""
    task = asyncio.ensure_future(work)
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        await asyncio.wait({task})
        raise


_EFFECT_HANDLERS: dict[type[OrdersEffect], Callable[[Planner, Any], Any]] = {
    ReadOrders: Planner._read_orders,
    WriteOrders: Planner._write_orders,
    FetchState: Planner._fetch_state,
    SendOrder: Planner._send_order,
}
