"""Synchronise the tables with peers in both directions."""

from collections.abc import Callable
from typing import Any

from galenapass.clocks import Clock
from galenapass.systems import crashes, demand, estimates, limits
from galenapass.systems.crashes import SuspectUpdate
from galenapass.tables.demand import PeerDemand
from galenapass.tables.limits import PeerLimitUse
from galenapass.tables.peer_messages import (
    CrashSuspect,
    DemandUse,
    GossipItem,
    LimitUse,
    TargetReport,
    TargetUse,
)
from galenapass.tables.targets import LoadChange, LoadReport, Target
from galenapass.tables.world import World

__all__ = ["TableSync"]

Publish = Callable[[GossipItem], None]


class TableSync:
    """Exchange of table updates with peers; peers report their use as totals."""

    __slots__ = ("_clock", "_sequence", "_target_uses", "world")

    def __init__(self, world: World, clock: Clock):
        self.world = world
        self._clock = clock
        self._sequence = 0
        self._target_uses: dict[tuple[str, str], TargetUse] = {}

    def apply_item(self, item: Any) -> bool:
        """Apply an item to the tables; return whether its type is handled."""
        handler = _HANDLERS.get(type(item))
        if handler is None:
            return False
        handler(self, item)
        return True

    def forget_host(self, host: str) -> None:
        """Remove the use that a host announced."""
        for key in [key for key in self._target_uses if key[0] == host]:
            self._apply_target_use(TargetUse(host, key[1], 0, 0, 0))
            del self._target_uses[key]

    def publish_loads(self, publish: Publish) -> None:
        """Publish this daemon's requests in flight; unchanged totals are not sent."""
        for target in self.world.targets.values():
            publish(
                TargetUse(
                    self.world.host,
                    target.id,
                    target.own_requests,
                    target.own_prefill,
                    target.own_pieces,
                )
            )

    def publish_report(self, target: Target, publish: Publish) -> None:
        """Publish the newest report of a target."""
        load = target.load
        if load is None:
            return
        publish(
            TargetReport(
                target.id,
                load.incarnation,
                load.sequence,
                load.running,
                load.waiting,
                load.prefill_queued,
                load.pieces_used,
                load.pieces_total,
                load.piece_tokens,
            )
        )

    def publish_suspects(self, publish: Publish) -> None:
        """Publish which requests are suspected of crashing targets."""
        now = self._clock.monotonic()
        for update in crashes.list_suspect_updates(self.world, now):
            publish(CrashSuspect(update.fingerprint, update.crashes, update.cleared))

    def publish_usage(self, publish: Publish) -> None:
        """Publish this daemon's use of callers' limits and its demand."""
        now = self._clock.monotonic()
        self._sequence += 1
        host = self.world.host
        for caller, use in limits.list_own_use(self.world, now).items():
            publish(LimitUse(host, caller, self._sequence, use.used, use.held))
        for service, work in demand.list_own_demand(self.world, now).items():
            publish(DemandUse(host, service, self._sequence, work.prefill, work.decode))

    def _apply_target_use(self, item: TargetUse) -> None:
        target = self.world.targets.get(item.target)
        key = (item.host, item.target)
        previous = self._target_uses.get(
            key, TargetUse(item.host, item.target, 0, 0, 0)
        )
        self._target_uses[key] = item
        if target is None:
            return
        change = LoadChange(
            self._clock.monotonic(),
            item.requests - previous.requests,
            item.prefill - previous.prefill,
            item.pieces - previous.pieces,
        )
        estimates.record_peer_change(target, change)

    def _apply_target_report(self, item: TargetReport) -> None:
        target = self.world.targets.get(item.target)
        if target is None:
            return
        report = LoadReport(
            item.incarnation,
            item.sequence,
            item.running,
            item.waiting,
            item.prefill_queued,
            item.pieces_used,
            item.pieces_total,
            item.piece_tokens,
        )
        if estimates.is_newer(target, report):
            estimates.apply_load_report(target, report, self._clock.monotonic())

    def _apply_suspect(self, item: CrashSuspect) -> None:
        now = self._clock.monotonic()
        age = now - now
        update = SuspectUpdate(item.fingerprint, item.crashes, item.cleared, age)
        crashes.apply_suspect_updates(self.world, [update], now)

    def _apply_limit_use(self, item: LimitUse) -> None:
        now = self._clock.monotonic()
        used = {item.caller: PeerLimitUse(item.used, item.held, now)}
        limits.apply_peer_use(self.world, item.host, used, now)

    def _apply_demand_use(self, item: DemandUse) -> None:
        now = self._clock.monotonic()
        demands = {item.service: PeerDemand(item.prefill, item.decode, now)}
        demand.apply_peer_demand(self.world, item.host, demands, now)


_HANDLERS: dict[type, Callable[[TableSync, Any], None]] = {
    TargetUse: TableSync._apply_target_use,
    TargetReport: TableSync._apply_target_report,
    CrashSuspect: TableSync._apply_suspect,
    LimitUse: TableSync._apply_limit_use,
    DemandUse: TableSync._apply_demand_use,
}
