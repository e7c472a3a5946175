"""Follow the drains that planners order: send nothing new, acknowledge, move on."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from result import Ok

from galenapass.clocks import Clock
from galenapass.duties.planner import ORDERS_KIND
from galenapass.logs import make_log
from galenapass.platform.object_client import ObjectClient
from galenapass.systems import drains
from galenapass.tables.orders import LatestOrders
from galenapass.tables.peer_messages import DrainAck, GossipItem, Orders
from galenapass.tables.requests import Urgency
from galenapass.tables.targets import TargetState
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["DrainFollower"]

# How long a drain waits for the streams of each class before it moves them.
MOVE_AFTER = {
    Urgency.URGENT: timedelta(seconds=5),
    Urgency.NORMAL: timedelta(seconds=5),
    Urgency.BULK: timedelta(seconds=1),
}
MOVED = Verdict(Run.MAY_HAVE_RUN, Reason.PREEMPTED, "the target is being drained")

_log = make_log("drains")


class DrainFollower:
    """Hold the orders objects heard of and every daemon's acknowledgements."""

    __slots__ = (
        "_acks",
        "_abort_attempt",
        "_clock",
        "_incarnation",
        "_since",
        "_publish",
        "_view",
        "_world",
    )

    def __init__(
        self,
        world: World,
        clock: Clock,
        incarnation: Callable[[], int],
        publish: Callable[[GossipItem], None],
        abort_attempt: Callable[[str, Verdict], bool],
    ):
        self._world = world
        self._clock = clock
        self._incarnation = incarnation
        self._publish = publish
        self._abort_attempt = abort_attempt
        self._view = LatestOrders()
        self._acks: dict[tuple[str, str], DrainAck] = {}
        self._since: dict[str, tuple[int, timedelta]] = {}

    async def read_orders(self, objects: ObjectClient) -> None:
        """Read every domain's orders once, before the first request is sent."""
        found = await objects.list(ORDERS_KIND)
        if isinstance(found, Ok):
            for stored in found.ok_value.items:
                self.receive_orders(Orders(stored.name, stored.version, stored.body))

    def receive_orders(self, orders: Orders) -> None:
        """Take in an orders object from a planner, a peer or the platform."""
        now = self._clock.monotonic()
        try:
            newer = drains.apply_orders(self._world, self._view, orders, now)
        except ValueError as error:
            _log("orders cannot be read", domain=orders.domain, why=str(error))
            return
        if newer:
            _log("orders are followed", domain=orders.domain, version=orders.version)
            self._publish(orders)
            self.acknowledge()

    def record_ack(self, ack: DrainAck) -> None:
        """Take in what another daemon has in flight on a draining target."""
        known = self._acks.get((ack.host, ack.target))
        order = (ack.incarnation, ack.epoch)
        if known is None or order >= (known.incarnation, known.epoch):
            self._acks[ack.host, ack.target] = ack

    def forget_host(self, host: str) -> None:
        """Drop the acknowledgements of a daemon that is gone."""
        for key in [key for key in self._acks if key[0] == host]:
            del self._acks[key]

    def list_acks(self) -> Iterable[DrainAck]:
        """Return the acknowledgements of every daemon, this one's made anew."""
        return [*self._acks.values(), *self._list_own()]

    def acknowledge(self) -> None:
        """Tell the planners what is still in flight on each draining target."""
        drains.reapply_orders(self._world, self._view, self._clock.monotonic())
        for ack in self._list_own():
            self._publish(ack)

    def move_streams(self) -> None:
        """Move what a drain has waited for long, to be resumed elsewhere."""
        now = self._clock.monotonic()
        for target in self._world.targets.values():
            if target.state is not TargetState.DRAINING:
                self._since.pop(target.id, None)
                continue
            epoch, since = self._since.get(target.id, (0, now))
            if epoch != target.drain_epoch:
                since = now
            self._since[target.id] = (target.drain_epoch, since)
            self._move_from(target.id, now - since)

    def _move_from(self, target: str, waited: timedelta) -> None:
        for request in list(self._world.requests.values()):
            if target not in (request.target, request.prefill_target):
                continue
            if waited < MOVE_AFTER[request.urgency]:
                continue
            if self._abort_attempt(request.id, MOVED):
                _log("stream is moved", request=request.id, target=target)

    def _list_own(self) -> list[DrainAck]:
        return drains.list_acks(self._world, self._view, self._incarnation())
