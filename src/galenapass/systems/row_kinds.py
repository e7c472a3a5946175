"""Define the priority, scope, lifetime, merge and size of each kind of gossiped row."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from galenapass.systems.levels import find_level
from galenapass.tables.crashes import Crash
from galenapass.tables.gossip import RowPriority
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import (
    CrashSuspect,
    DemandUse,
    Drain,
    DrainAck,
    GossipItem,
    Heartbeat,
    LimitUse,
    Orders,
    TargetReport,
    TargetUse,
)

__all__ = ["ROW_KINDS", "RowKind", "Scope", "order_heartbeat"]

MAX_SUSPECT_CRASHES = 8
STATE_RANKS = {HostState.ALIVE: 0, HostState.LEAVING: 1, HostState.GONE: 2}


class Scope(Enum):
    """How far a kind of row is spread."""

    LINK = "link"
    DOMAIN = "domain"
    FLEET = "fleet"
    HEARTBEAT = "heartbeat"


@dataclass(slots=True, frozen=True)
class RowKind:
    """Properties of one kind of row.

    ``merge`` returns the old item itself when the new one adds nothing. ``size``
    returns an upper bound in bytes, without names. ``limit`` is the maximum number of
    rows.
    """

    priority: RowPriority
    scope: Scope
    lifetime: timedelta
    limit: int
    key: Callable[[Any], tuple[str, str]]
    merge: Callable[[Any, Any], GossipItem]
    size: Callable[[Any], int]


def order_heartbeat(item: Heartbeat) -> tuple[int, int, int]:
    """Return a key that orders the heartbeats of one host from old to new."""
    return item.incarnation, STATE_RANKS[item.state], item.counter


def _merge_latest(order: Callable[[Any], Any]) -> Callable[[Any, Any], GossipItem]:
    def merge(old: Any, new: Any) -> GossipItem:
        return new if order(new) > order(old) else old

    return merge


def _find_use_levels(item: TargetUse) -> tuple[int, int, int]:
    return find_level(item.requests), find_level(item.prefill), find_level(item.pieces)


def _merge_use(old: TargetUse, new: TargetUse) -> GossipItem:
    """Keep the old item while its levels are unchanged, so that nothing is sent."""
    return old if _find_use_levels(old) == _find_use_levels(new) else new


def _merge_suspect(old: CrashSuspect, new: CrashSuspect) -> GossipItem:
    crashes = _limit_crashes(old.crashes | new.crashes)
    cleared = _limit_crashes(old.cleared | new.cleared)
    merged = CrashSuspect(old.fingerprint, crashes, cleared)
    return old if merged == old else merged


def _limit_crashes(crashes: frozenset[Crash]) -> frozenset[Crash]:
    return frozenset(sorted(crashes)[:MAX_SUSPECT_CRASHES])


def _size_suspect(item: CrashSuspect) -> int:
    crashes = [*item.crashes, *item.cleared]
    names = sum(len(crash.incarnation.encode()) for crash in crashes)
    return 20 + len(item.fingerprint.encode()) + 12 * len(crashes) + names


ROW_KINDS: dict[type, RowKind] = {
    Heartbeat: RowKind(
        priority=RowPriority.HEARTBEAT,
        scope=Scope.HEARTBEAT,
        lifetime=timedelta(hours=1),
        limit=4_000,
        key=lambda item: (item.host, ""),
        merge=_merge_latest(order_heartbeat),
        size=lambda item: 12,
    ),
    Drain: RowKind(
        priority=RowPriority.URGENT,
        scope=Scope.DOMAIN,
        lifetime=timedelta(minutes=10),
        limit=4_000,
        key=lambda item: (item.target, ""),
        merge=_merge_latest(lambda item: (item.epoch, item.ended)),
        size=lambda item: 18,
    ),
    DrainAck: RowKind(
        priority=RowPriority.URGENT,
        scope=Scope.DOMAIN,
        lifetime=timedelta(minutes=10),
        limit=4_000,
        key=lambda item: (item.host, item.target),
        merge=_merge_latest(
            lambda item: (item.incarnation, item.epoch, -item.in_flight)
        ),
        size=lambda item: 38,
    ),
    CrashSuspect: RowKind(
        priority=RowPriority.URGENT,
        scope=Scope.FLEET,
        lifetime=timedelta(days=1),
        limit=2_000,
        key=lambda item: (item.fingerprint, ""),
        merge=_merge_suspect,
        size=_size_suspect,
    ),
    Orders: RowKind(
        priority=RowPriority.ORDERS,
        scope=Scope.DOMAIN,
        lifetime=timedelta(days=1),
        limit=100,
        key=lambda item: (item.domain, ""),
        merge=_merge_latest(lambda item: item.version),
        size=lambda item: 40 + len(item.text.encode()),
    ),
    TargetReport: RowKind(
        priority=RowPriority.LOAD,
        scope=Scope.DOMAIN,
        lifetime=timedelta(minutes=1),
        limit=4_000,
        key=lambda item: (item.target, ""),
        merge=_merge_latest(lambda item: (item.generation, item.sequence)),
        size=lambda item: 13,
    ),
    TargetUse: RowKind(
        priority=RowPriority.LOAD,
        scope=Scope.LINK,
        lifetime=timedelta(days=1),
        limit=4_000,
        key=lambda item: (item.target, ""),
        merge=_merge_use,
        size=lambda item: 6,
    ),
    LimitUse: RowKind(
        priority=RowPriority.LIMITS,
        scope=Scope.FLEET,
        lifetime=timedelta(minutes=2),
        limit=10_000,
        key=lambda item: (item.host, item.caller),
        merge=_merge_latest(lambda item: item.sequence),
        size=lambda item: 28,
    ),
    DemandUse: RowKind(
        priority=RowPriority.LIMITS,
        scope=Scope.DOMAIN,
        lifetime=timedelta(minutes=2),
        limit=2_000,
        key=lambda item: (item.host, item.service),
        merge=_merge_latest(lambda item: item.sequence),
        size=lambda item: 28,
    ),
}
