"""Hold a domain's lease, and carry its role changes from intent to outcome.

Every daemon may run a planner; the lease lets one of them act. Whatever it writes
to the orders object is put in force here at once and told to the peers.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from datetime import timedelta

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.platform.objects import Objects
from galenapass.systems import orders_rules as rules
from galenapass.systems.drains import apply_orders, open_intent
from galenapass.systems.leases import (
    LeaseEffect,
    LeaseEvent,
    LeaseRead,
    LeaseWritten,
    ReadLease,
    StopLease,
    Tick,
    is_own,
    is_valid,
    step_lease,
)
from galenapass.systems.orders import step_orders
from galenapass.systems.orders_codec import encode_orders
from galenapass.systems.orders_events import (
    FetchState,
    ObjectRead,
    ObjectWritten,
    OrdersEffect,
    OrderSent,
    OrdersEvent,
    OrdersTick,
    ReadOrders,
    SendOrder,
    Situation,
    StateFetched,
    WriteOrders,
)
from galenapass.systems.placement import propose_changes
from galenapass.tables.leases import Lease
from galenapass.tables.orders import IntentPhase, OrdersBook, OrdersView
from galenapass.tables.peers import DrainAck, Orders
from galenapass.tables.targets import TargetState
from galenapass.tables.world import World
from galenapass.targets.engines import Engines, EngineState, OrderAnswer
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["Planner", "fetch_orders"]

LEASES = "leases"
ORDERS = "orders"
TERM = timedelta(seconds=10)
PERIOD = timedelta(milliseconds=250)
# A drain that lasts longer is taken back: its target serves again.
DRAIN_TIMEOUT = timedelta(seconds=60)
REST_AFTER_DRAIN = timedelta(seconds=60)

_log = make_log("planner")

_UNSENT = Verdict(Run.NOT_RUN, Reason.CANCELLED, "the lease does not last for a send")
_NO_TARGET = Verdict(Run.NOT_RUN, Reason.NO_TARGET, "the target is not known here")


class Planner:
    """Hold the lease and the orders of one domain as this daemon knows them.

    ``list_daemons`` gives the incarnation of each daemon of the domain on the
    platform's list, nothing while the list is unknown; ``list_acks`` what they, and
    this daemon itself, acknowledged; ``tell`` spreads the orders object.
    """

    __slots__ = (
        "_clock",
        "_drain",
        "_engines",
        "_list_acks",
        "_list_daemons",
        "_objects",
        "_rest_until",
        "_tell",
        "_view",
        "_world",
        "book",
        "lease",
    )

    def __init__(
        self,
        world: World,
        view: OrdersView,
        incarnation: int,
        objects: Objects,
        engines: Engines,
        clock: Clock,
        list_daemons: Callable[[], Mapping[str, int]],
        list_acks: Callable[[], Iterable[DrainAck]],
        tell: Callable[[Orders], None],
        term: timedelta = TERM,
    ):
        self._world = world
        self._view = view
        self._objects = objects
        self._engines = engines
        self._clock = clock
        self._list_daemons = list_daemons
        self._list_acks = list_acks
        self._tell = tell
        self._drain: tuple[str, timedelta] | None = None
        self._rest_until = timedelta(0)
        self.lease = Lease(world.domain, world.host, incarnation, term)
        self.book = OrdersBook(world.domain, world.host, incarnation)

    async def run(self) -> None:
        """Seek and keep the lease, and act while it is held, for ever."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._repeat(self.advance_lease))
            tasks.create_task(self._repeat(self.advance_orders))

    async def stop(self, within: timedelta) -> None:
        """Give the lease back, once ``run`` has ended and with it every send."""
        try:
            async with asyncio.timeout(within.total_seconds()):
                await self._pursue_lease(StopLease())
                while is_own(self.lease):
                    await self._pursue_lease(Tick())
                    await asyncio.sleep(PERIOD.total_seconds())
        except TimeoutError:
            _log("lease is left to run out", domain=self.lease.domain)

    def holds_lease(self) -> bool:
        """Tell whether this daemon has authority over its domain's targets now."""
        return is_valid(self.lease, self._clock.monotonic())

    async def _repeat(self, advance: Callable[[], Awaitable[None]]) -> None:
        while True:
            await _complete(advance())
            await asyncio.sleep(PERIOD.total_seconds())

    # The lease

    async def advance_lease(self) -> None:
        """Seek the lease, or renew it when that is due."""
        # A host that is not on the list yet would look gone to its successor.
        if is_own(self.lease) or self._world.host in self._list_daemons():
            await self._pursue_lease(Tick())

    async def _pursue_lease(self, event: LeaseEvent) -> None:
        before = self.holds_lease()
        effect = step_lease(self.lease, event, self._clock.monotonic())
        while effect is not None:
            answer = await self._call_lease(effect)
            effect = step_lease(self.lease, answer, self._clock.monotonic())
        if self.holds_lease() is not before:
            change = "lost" if before else "held"
            fence = self.lease.value.fence if self.lease.value else None
            _log(f"lease is {change}", domain=self.lease.domain, fence=fence)

    async def _call_lease(self, effect: LeaseEffect) -> LeaseEvent:
        name = self.lease.domain
        if isinstance(effect, ReadLease):
            return LeaseRead(await self._objects.read(LEASES, name))
        return LeaseWritten(
            await self._objects.write(LEASES, name, effect.body, effect.if_version)
        )

    # The orders

    async def advance_orders(self) -> None:
        """Take the next steps of the open change, or open one."""
        event: OrdersEvent = OrdersTick()
        effect = self._step(event)
        while effect is not None:
            event = await _CALLS[type(effect)](self, effect)
            effect = self._step(event)

    def _step(self, event: OrdersEvent) -> OrdersEffect | None:
        now = self._clock.monotonic()
        effect = step_orders(self.book, event, self._describe(now), now)
        self._spread(now)
        return effect

    def _describe(self, now: timedelta) -> Situation:
        lease = self.lease
        held = is_valid(lease, now) and lease.value is not None
        wants_more = held and now >= self._rest_until
        wanted = propose_changes(self._world, now) if wants_more else []
        entries = self._world.configuration.targets.values()
        own = [entry for entry in entries if entry.domain == self._world.domain]
        return Situation(
            fence=lease.value.fence if held and lease.value else None,
            wanted=tuple(wanted),
            still_wanted=self._list_wanted(now),
            daemons=self._list_daemons(),
            acks=tuple(self._list_acks()),
            checks_fencing={entry.name: entry.checks_fencing for entry in own},
            quarantine=self._world.configuration.quarantine,
        )

    def _list_wanted(self, now: timedelta) -> frozenset[str]:
        """Return the targets that stay and whose drain does not last too long."""
        late = self._find_late_drain(now)
        return frozenset(
            target.id
            for target in self._world.targets.values()
            if target.state is not TargetState.LEAVING and target.id != late
        )

    def _find_late_drain(self, now: timedelta) -> str | None:
        intent = open_intent(self.book.object)
        if intent is None or intent.phase is not IntentPhase.DRAINING:
            self._drain = None
            return None
        if self._drain is None or self._drain[0] != intent.id:
            self._drain = (intent.id, now)
        if now < self._drain[1] + DRAIN_TIMEOUT:
            return None
        if now >= self._rest_until:
            _log("drain is taken back", target=intent.target, id=intent.id)
        self._rest_until = now + REST_AFTER_DRAIN
        return intent.target

    def _spread(self, now: timedelta) -> None:
        """Put what was read or written in force and tell the peers."""
        book = self.book
        if not book.known or book.version is None:
            return
        orders = Orders(book.domain, book.version, encode_orders(book.object))
        if apply_orders(self._world, self._view, orders, now):
            self._tell(orders)
            _log(
                "orders are in force", version=book.version, intents=book.object.intents
            )

    async def _read_object(self, effect: ReadOrders) -> OrdersEvent:
        return ObjectRead(await self._objects.read(ORDERS, self.book.domain))

    async def _write_object(self, effect: WriteOrders) -> OrdersEvent:
        return ObjectWritten(
            await self._objects.write(
                ORDERS, self.book.domain, effect.body, effect.if_version
            )
        )

    async def _fetch_state(self, effect: FetchState) -> OrdersEvent:
        target = self._world.targets.get(effect.target)
        if target is None:
            return StateFetched(Err(_NO_TARGET))
        answer: Result[EngineState, Verdict]
        answer = await self._engines.fetch_state(target.address)
        return StateFetched(answer)

    async def _send_order(self, effect: SendOrder) -> OrdersEvent:
        target = self._world.targets.get(effect.target)
        if target is None:
            return OrderSent(Err(_NO_TARGET))
        answer: Result[OrderAnswer, Verdict] = Err(_UNSENT)
        if rules.may_send(self.lease, effect.lease_fence, self._clock.monotonic()):
            answer = await self._engines.send_order(target.address, effect.order)
        _log(
            f"order is sent to {target.id}",
            id=effect.order.id,
            fence=effect.order.fence,
            action=effect.order.action,
            value=effect.order.value,
            answer=str(answer),
        )
        return OrderSent(answer)


async def fetch_orders(objects: Objects, domain: str) -> Orders | None:
    """Return a domain's orders object as the platform holds it, if it answers."""
    found = await objects.read(ORDERS, domain)
    if not isinstance(found, Ok):
        return None
    return Orders(domain, found.ok_value.version, found.ok_value.body)


async def _complete(work: Awaitable[None]) -> None:
    """Await work to its end even when cancelled, so that no send is left behind."""
    task = asyncio.ensure_future(work)
    try:
        await asyncio.shield(task)
    except asyncio.CancelledError:
        await asyncio.wait({task})
        raise


_Call = Callable[[Planner, OrdersEffect], Awaitable[OrdersEvent]]

_CALLS: dict[type, _Call] = {
    ReadOrders: Planner._read_object,  # type: ignore[dict-item]
    WriteOrders: Planner._write_object,  # type: ignore[dict-item]
    FetchState: Planner._fetch_state,  # type: ignore[dict-item]
    SendOrder: Planner._send_order,  # type: ignore[dict-item]
}
