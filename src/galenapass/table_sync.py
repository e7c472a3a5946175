"""Carry news between the tables and the peers, in both directions."""

from collections.abc import Callable
from typing import Any

from galenapass.clocks import Clock
from galenapass.systems import crashes, demand, estimates, limits
from galenapass.systems.crashes import SuspectNews
from galenapass.tables.demand import PeerWork
from galenapass.tables.limits import PeerUse
from galenapass.tables.peers import (
    CrashSuspect,
    DemandUse,
    Item,
    LimitUse,
    TargetReport,
    TargetUse,
)
from galenapass.tables.targets import LoadChange, LoadReport, Target
from galenapass.tables.world import World

__all__ = ["TableSync"]

Tell = Callable[[Item], None]


class TableSync:
    """Hold what was last heard of each peer's use, which comes as totals."""

    __slots__ = ("_clock", "_sequence", "_uses", "world")

    def __init__(self, world: World, clock: Clock):
        self.world = world
        self._clock = clock
        self._sequence = 0
        self._uses: dict[tuple[str, str], TargetUse] = {}

    def hear(self, item: Any) -> bool:
        """Take an item into the tables; return whether it changed a decision."""
        handler = _HANDLERS.get(type(item))
        if handler is None:
            return False
        handler(self, item)
        return True

    def forget_host(self, host: str) -> None:
        """Drop what a host announced, once it is gone."""
        for key in [key for key in self._uses if key[0] == host]:
            self._hear_use(TargetUse(host, key[1], 0, 0, 0))
            del self._uses[key]

    def tell_loads(self, tell: Tell) -> None:
        """Tell what this daemon has in flight; unchanged levels cost nothing."""
        for target in self.world.targets.values():
            tell(
                TargetUse(
                    self.world.host,
                    target.id,
                    target.own_requests,
                    target.own_prefill,
                    target.own_pieces,
                )
            )

    def tell_report(self, target: Target, tell: Tell) -> None:
        """Tell the newest report of a target."""
        load = target.load
        if load is None:
            return
        tell(
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

    def tell_suspects(self, tell: Tell) -> None:
        """Tell which requests are suspected of crashing targets."""
        now = self._clock.monotonic()
        for news in crashes.suspects_to_tell(self.world, now):
            tell(CrashSuspect(news.fingerprint, news.crashes, news.cleared))

    def tell_uses(self, tell: Tell) -> None:
        """Tell what is used of the callers' limits, and the demand seen."""
        now = self._clock.monotonic()
        self._sequence += 1
        host = self.world.host
        for caller, use in limits.announce_use(self.world, now).items():
            tell(LimitUse(host, caller, self._sequence, use.used, use.held))
        for service, work in demand.demand_to_tell(self.world, now).items():
            tell(DemandUse(host, service, self._sequence, work.prefill, work.decode))

    def _hear_use(self, item: TargetUse) -> None:
        target = self.world.targets.get(item.target)
        key = (item.host, item.target)
        before = self._uses.get(key, TargetUse(item.host, item.target, 0, 0, 0))
        self._uses[key] = item
        if target is None:
            return
        change = LoadChange(
            self._clock.monotonic(),
            item.requests - before.requests,
            item.prefill - before.prefill,
            item.pieces - before.pieces,
        )
        estimates.hear_peer(target, change)

    def _hear_report(self, item: TargetReport) -> None:
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
            estimates.hear_load(target, report, self._clock.monotonic())

    def _hear_suspect(self, item: CrashSuspect) -> None:
        now = self._clock.monotonic()
        age = now - now
        news = SuspectNews(item.fingerprint, item.crashes, item.cleared, age)
        crashes.hear_suspects(self.world, [news], now)

    def _hear_limit(self, item: LimitUse) -> None:
        now = self._clock.monotonic()
        used = {item.caller: PeerUse(item.used, item.held, now)}
        limits.hear_use(self.world, item.host, used, now)

    def _hear_demand(self, item: DemandUse) -> None:
        now = self._clock.monotonic()
        told = {item.service: PeerWork(item.prefill, item.decode, now)}
        demand.hear_demand(self.world, item.host, told, now)


_HANDLERS: dict[type, Callable[[TableSync, Any], None]] = {
    TargetUse: TableSync._hear_use,
    TargetReport: TableSync._hear_report,
    CrashSuspect: TableSync._hear_suspect,
    LimitUse: TableSync._hear_limit,
    DemandUse: TableSync._hear_demand,
}
