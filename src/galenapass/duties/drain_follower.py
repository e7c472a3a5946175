"""Apply the drains that planners order, acknowledge them and migrate streams."""

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

# How long a drain waits for the streams of each class before it migrates them.
STREAM_GRACE = {
    Urgency.URGENT: timedelta(seconds=5),
    Urgency.NORMAL: timedelta(seconds=5),
    Urgency.BULK: timedelta(seconds=1),
}
TARGET_DRAINING = Verdict(
    Run.MAY_HAVE_RUN, Reason.PREEMPTED, "the target is being drained"
)

_log = make_log("drains")


class DrainFollower:
    """Follower of drains, with the latest orders and the acknowledgements."""

    __slots__ = (
        "_abort_attempt",
        "_acks",
        "_clock",
        "_draining_since",
        "_incarnation",
        "_latest_orders",
        "_publish",
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
        self._latest_orders = LatestOrders()
        self._acks: dict[tuple[str, str], DrainAck] = {}
        self._draining_since: dict[str, tuple[int, timedelta]] = {}

    async def read_orders(self, objects: ObjectClient) -> None:
        """Read the orders of every domain once, before the first request is sent."""
        found = await objects.list(ORDERS_KIND)
        if isinstance(found, Ok):
            for stored in found.ok_value.items:
                self.receive_orders(Orders(stored.name, stored.version, stored.body))

    def receive_orders(self, orders: Orders) -> None:
        """Apply an orders object that a planner, a peer or the platform sent."""
        now = self._clock.monotonic()
        try:
            newer = drains.apply_orders(self._world, self._latest_orders, orders, now)
        except ValueError as error:
            _log("failed to decode orders", domain=orders.domain, why=str(error))
            return
        if newer:
            _log("applied newer orders", domain=orders.domain, version=orders.version)
            self._publish(orders)
            self.acknowledge()

    def record_ack(self, ack: DrainAck) -> None:
        """Record another daemon's acknowledgement unless a later one is known."""
        latest = self._acks.get((ack.host, ack.target))
        ack_order = (ack.incarnation, ack.epoch)
        if latest is None or ack_order >= (latest.incarnation, latest.epoch):
            self._acks[ack.host, ack.target] = ack

    def forget_host(self, host: str) -> None:
        """Remove the acknowledgements of a daemon that is gone."""
        for key in [key for key in self._acks if key[0] == host]:
            del self._acks[key]

    def list_acks(self) -> Iterable[DrainAck]:
        """Return the acknowledgements of every daemon, including this one."""
        return [*self._acks.values(), *self._list_own_acks()]

    def acknowledge(self) -> None:
        """Publish how many requests are still in flight on each draining target."""
        drains.reapply_orders(self._world, self._latest_orders, self._clock.monotonic())
        for ack in self._list_own_acks():
            self._publish(ack)

    def migrate_streams(self) -> None:
        """Abort streams whose grace period is over; they resume at other targets."""
        now = self._clock.monotonic()
        for target in self._world.targets.values():
            if target.state is not TargetState.DRAINING:
                self._draining_since.pop(target.id, None)
                continue
            epoch, since = self._draining_since.get(target.id, (0, now))
            if epoch != target.drain_epoch:
                since = now
            self._draining_since[target.id] = (target.drain_epoch, since)
            self._abort_streams(target.id, now - since)

    def _abort_streams(self, target: str, drained_for: timedelta) -> None:
        for request in list(self._world.requests.values()):
            if target not in (request.target, request.prefill_target):
                continue
            if drained_for < STREAM_GRACE[request.urgency]:
                continue
            if self._abort_attempt(request.id, TARGET_DRAINING):
                _log(
                    "stream is migrated off a draining target",
                    request=request.id,
                    target=target,
                )

    def _list_own_acks(self) -> list[DrainAck]:
        return drains.list_acks(self._world, self._latest_orders, self._incarnation())
