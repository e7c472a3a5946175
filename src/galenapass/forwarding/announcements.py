"""Apply announcements of other schedulers: granted work, cached parts and demand.

An announcement replaces the one before it, so a lost one does no harm; a late one is
dropped by its sequence number.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.forwarding.fleet import Fleet, record_leaving, record_target_parts
from galenapass.forwarding.loads import Load, PartDigest
from galenapass.forwarding.workload import MeasuredDemand
from galenapass.tables.targets import Role

__all__ = [
    "Announcement",
    "Peer",
    "Peers",
    "TargetWork",
    "apply_announcement",
    "describe_work",
    "forget_silent",
    "list_demand",
]

# The work in flight of a scheduler that is silent for this long is ignored.
SILENCE_TIMEOUT = timedelta(seconds=1.5)


@dataclass(slots=True, frozen=True)
class TargetWork:
    """Work that one scheduler has in flight at a target; ``work_ms`` is of prefill."""

    target: str
    requests: int
    tokens: int
    prompts: int
    work_ms: float


@dataclass(slots=True, frozen=True)
class Announcement:
    """State of one scheduler; ``sequence`` grows, also over its restarts.

    ``version`` is that of the configuration. ``cached_parts`` holds a target and a
    prompt part whose prefill it has begun, ``demand`` the demand measured for each
    service, ``leaving`` the id and incarnation of targets that reported that they
    leave. ``orders`` holds engines that just accepted an order and their new role,
    ``split_goals`` services and their share of prefill engines; only the host that
    plans roles sends these.
    """

    host: str
    sequence: int
    version: int
    work: tuple[TargetWork, ...] = ()
    cached_parts: tuple[tuple[str, PartDigest], ...] = ()
    demand: tuple[MeasuredDemand, ...] = ()
    leaving: tuple[tuple[str, str], ...] = ()
    orders: tuple[tuple[str, Role], ...] = ()
    split_goals: tuple[tuple[str, float], ...] = ()


@dataclass(slots=True)
class Peer:
    """Last announcement of one scheduler, and its monotonic time of arrival.

    ``counted_work`` holds its work with the loads to which that was added.
    """

    sequence: int
    received_at: timedelta
    counted_work: list[tuple[Load, TargetWork]] = field(default_factory=list)
    demand: tuple[MeasuredDemand, ...] = ()


Peers = dict[str, Peer]


def describe_work(fleet: Fleet) -> tuple[TargetWork, ...]:
    """Return the work in flight that this scheduler granted."""
    return tuple(
        TargetWork(name, load.requests, load.tokens, load.prompts, round(load.work_ms))
        for name, load in fleet.loads.items()
        if load.requests or load.prompts
    )


def apply_announcement(
    fleet: Fleet, peers: Peers, announcement: Announcement, now: timedelta
) -> bool:
    """Apply an announcement; return False if it is not newer than the last."""
    peer = peers.get(announcement.host)
    if peer is not None and announcement.sequence <= peer.sequence:
        return False
    if peer is not None:
        _add_work(peer, -1)
    counted_work = [(fleet.load_by_id(work.target), work) for work in announcement.work]
    peers[announcement.host] = Peer(
        announcement.sequence, now, counted_work, announcement.demand
    )
    _add_work(peers[announcement.host], 1)
    for name, part in announcement.cached_parts:
        target = fleet.targets.get(name)
        if target is not None:
            record_target_parts(fleet, target, (part,), now)
    for name, incarnation in announcement.leaving:
        record_leaving(fleet, name, incarnation)
    return True


def list_demand(peers: Peers, service: str) -> list[MeasuredDemand]:
    """Return the demand for a service that each other scheduler measured."""
    return [
        demand
        for peer in peers.values()
        for demand in peer.demand
        if demand.service == service
    ]


def forget_silent(peers: Peers, now: timedelta) -> list[str]:
    """Remove the work of schedulers that are silent; return their names."""
    silent = [
        name for name, peer in peers.items() if now - peer.received_at > SILENCE_TIMEOUT
    ]
    for name in silent:
        _add_work(peers.pop(name), -1)
    return silent


def _add_work(peer: Peer, sign: int) -> None:
    for load, work in peer.counted_work:
        load.peer_requests += sign * work.requests
        load.peer_tokens += sign * work.tokens
        load.peer_prompts += sign * work.prompts
        load.peer_work_ms += sign * work.work_ms
