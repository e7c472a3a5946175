"""Track which daemons are alive from their heartbeats and the platform's list.

A host without recent heartbeats becomes SUSPECT and no worse. Each daemon decides this
on its own and does not spread it, so the next heartbeat clears the suspicion. Only the
platform's list, the host's own final heartbeat or a higher incarnation of the host
ends an incarnation permanently.
"""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from xxhash import xxh64_intdigest

from galenapass.tables.hosts import Host, HostState
from galenapass.tables.peer_messages import Heartbeat, HostChange

__all__ = [
    "ListedDaemon",
    "Membership",
    "apply_heartbeat",
    "apply_host_list",
    "choose_partners",
    "is_current_incarnation",
    "is_meshed",
    "sweep",
]

SUSPECT_AFTER = timedelta(seconds=5)
REMOTE_SUSPECT_AFTER = timedelta(seconds=40)
PAUSE_THRESHOLD = timedelta(seconds=2.5)
UNLISTED_GRACE = timedelta(seconds=60)
FORGET_AFTER = timedelta(hours=1)
FULL_MESH_LIMIT = 8  # hosts of a domain that are all linked to each other
BRIDGES_PER_DOMAIN = 2


@dataclass(slots=True, frozen=True)
class ListedDaemon:
    """Daemon as shown in the platform's list, which may lag behind."""

    id: str
    address: str
    domain: str
    incarnation: int
    leaving: bool = False


@dataclass(slots=True)
class Membership:
    """This daemon's state of every daemon; ``hosts`` is shared with the world.

    ``counters`` has the last heartbeat counter of each host, ``listed`` the
    incarnations in the platform's last list, ``first_seen`` the time when an
    incarnation was first seen, and ``ended`` the incarnation that has ended
    permanently with the time when this was recorded. ``swept_at`` is the time of the
    last sweep, ``resumed_at`` the time when this daemon last resumed from a pause,
    during which it received no heartbeats. Times are monotonic.
    """

    host: str
    domain: str
    hosts: dict[str, Host]
    counters: dict[str, int]
    listed: dict[str, int]
    first_seen: dict[str, timedelta]
    ended: dict[str, tuple[int, timedelta]]
    pooled: bool = False
    resumed_at: timedelta = timedelta(0)
    swept_at: timedelta | None = None

    @classmethod
    def make(
        cls, host: str, domain: str, hosts: dict[str, Host], pooled: bool = False
    ) -> "Membership":
        """Return an empty membership over a table of hosts."""
        return cls(host, domain, hosts, {}, {}, {}, {}, pooled)


def is_current_incarnation(members: Membership, heartbeat: Heartbeat) -> bool:
    """Return whether a heartbeat is of an incarnation that has not ended."""
    ended = members.ended.get(heartbeat.host)
    return ended is None or heartbeat.incarnation > ended[0]


def apply_heartbeat(
    members: Membership, heartbeat: Heartbeat, now: timedelta
) -> list[HostChange]:
    """Apply one heartbeat and return the changes; an outdated one is ignored."""
    host = members.hosts.get(heartbeat.host)
    if not is_current_incarnation(members, heartbeat):
        return []
    if host is not None and heartbeat.incarnation < host.incarnation:
        return []
    if host is None or heartbeat.incarnation > host.incarnation:
        return _start_incarnation(members, host, heartbeat, now)
    host.settings_version = max(host.settings_version, heartbeat.settings_version)
    if heartbeat.counter <= members.counters.get(heartbeat.host, -1):
        return _set_state(members, host, _find_state_after_stale(host, heartbeat), now)
    members.counters[heartbeat.host] = heartbeat.counter
    host.last_heard_at = now
    return _set_state(members, host, _find_state_after_fresh(host, heartbeat), now)


def sweep(members: Membership, now: timedelta) -> list[HostChange]:
    """Mark silent hosts as SUSPECT and forget old ended incarnations."""
    if members.swept_at is not None and now - members.swept_at > PAUSE_THRESHOLD:
        members.resumed_at = now
    members.swept_at = now
    changes: list[HostChange] = []
    for host in list(members.hosts.values()):
        if host.state is HostState.ALIVE and _is_silent(members, host, now):
            changes += _set_state(members, host, HostState.SUSPECT, now)
    old = [h for h, (_, at) in members.ended.items() if now - at > FORGET_AFTER]
    for name in old:
        del members.ended[name]
    return changes


def apply_host_list(
    members: Membership, hosts: Collection[ListedDaemon], now: timedelta
) -> list[HostChange]:
    """Apply the platform's list, which lags and never overrides a heartbeat."""
    before = members.listed
    members.listed = {listed.id: listed.incarnation for listed in hosts}
    changes: list[HostChange] = []
    for listed in hosts:
        changes += _apply_listed(members, listed, now)
    for host in list(members.hosts.values()):
        if _has_ended(members, host, before, now):
            changes += _set_state(members, host, HostState.GONE, now)
    return changes


def choose_partners(members: Membership, now: timedelta, random: Random) -> set[str]:
    """Choose which hosts this daemon opens links to.

    In a small domain, all hosts are linked and the lower identifier of each pair
    dials. In a larger one, each host dials its successor on a ring and one host
    chosen by rendezvous hashing. Each host also dials one live host in another
    domain, and one silent host, which restores links after a partition.
    """
    known = [h for h in members.hosts.values() if h.id != members.host]
    silent = sorted(h.id for h in known if _is_silent(members, h, now))
    live = [h for h in known if not _is_silent(members, h, now)]
    local = sorted(h.id for h in live if _is_local(members, h))
    partners = _choose_local(members.host, local)
    partners |= _choose_remote(members, local, live)
    if silent:
        partners.add(random.choice(silent))
    return partners


def is_meshed(members: Membership, linked: Collection[str], now: timedelta) -> bool:
    """Return whether a daemon has a link to every live host of its domain."""
    others = (h for h in members.hosts.values() if h.id != members.host)
    local = (h for h in others if _is_local(members, h))
    return all(h.id in linked or _is_silent(members, h, now) for h in local)


def _is_local(members: Membership, host: Host) -> bool:
    return members.pooled or host.domain == members.domain


def _choose_remote(members: Membership, local: list[str], live: list[Host]) -> set[str]:
    """Choose a host of another domain.

    The first hosts of each domain link the domains to a ring; the others choose a
    domain by rendezvous hashing.
    """
    domains = {h.domain for h in live} - {members.domain}
    if not domains:
        return set()
    if members.host in sorted([*local, members.host])[:BRIDGES_PER_DOMAIN]:
        later = [domain for domain in domains if domain > members.domain]
        domain = min(later or domains)
    else:
        domain = _choose_by_rendezvous(members.host, domains)
    return {
        _choose_by_rendezvous(members.host, {h.id for h in live if h.domain == domain})
    }


def _start_incarnation(
    members: Membership, host: Host | None, heartbeat: Heartbeat, now: timedelta
) -> list[HostChange]:
    """Replace an earlier incarnation, which is now GONE, with a new one."""
    changes: list[HostChange] = []
    if host is not None and host.state is not HostState.GONE:
        changes += _set_state(members, host, HostState.GONE, now)
    members.counters[heartbeat.host] = heartbeat.counter
    members.first_seen[heartbeat.host] = now
    fresh = Host(
        heartbeat.host,
        heartbeat.address,
        heartbeat.domain,
        heartbeat.incarnation,
        heartbeat.state,
    )
    fresh.last_heard_at = now
    fresh.settings_version = heartbeat.settings_version
    members.hosts[heartbeat.host] = fresh
    changes.append(
        HostChange(heartbeat.host, heartbeat.incarnation, None, heartbeat.state)
    )
    if heartbeat.state is HostState.GONE:
        members.ended[heartbeat.host] = (heartbeat.incarnation, now)
        _forget(members, heartbeat.host)
    return changes


def _find_state_after_stale(host: Host, heartbeat: Heartbeat) -> HostState:
    """Return the state after an old heartbeat, which can only announce the end."""
    if heartbeat.state is HostState.ALIVE:
        return host.state
    return heartbeat.state


def _find_state_after_fresh(host: Host, heartbeat: Heartbeat) -> HostState:
    """Return the state after a new heartbeat, which cannot revoke LEAVING."""
    if host.state is HostState.LEAVING and heartbeat.state is HostState.ALIVE:
        return HostState.LEAVING
    return heartbeat.state


def _set_state(
    members: Membership, host: Host, after: HostState, now: timedelta
) -> list[HostChange]:
    before = host.state
    if before is after:
        return []
    host.state = after
    if after is HostState.GONE:
        members.ended[host.id] = (host.incarnation, now)
        _forget(members, host.id)
    return [HostChange(host.id, host.incarnation, before, after)]


def _forget(members: Membership, name: str) -> None:
    for table in (members.hosts, members.counters, members.first_seen):
        table.pop(name, None)


def _is_silent(members: Membership, host: Host, now: timedelta) -> bool:
    if host.id == members.host:
        return False
    bound = SUSPECT_AFTER if _is_local(members, host) else REMOTE_SUSPECT_AFTER
    return now - _find_last_heard_at(members, host) > bound


def _find_last_heard_at(members: Membership, host: Host) -> timedelta:
    last_heard_at = (
        host.last_heard_at
        if host.last_heard_at is not None
        else members.first_seen[host.id]
    )
    return max(last_heard_at, members.resumed_at)


def _apply_listed(
    members: Membership, listed: ListedDaemon, now: timedelta
) -> list[HostChange]:
    ended = members.ended.get(listed.id)
    if ended is not None and listed.incarnation <= ended[0]:
        return []
    host = members.hosts.get(listed.id)
    if host is None or listed.incarnation > host.incarnation:
        state = HostState.LEAVING if listed.leaving else HostState.ALIVE
        heartbeat = Heartbeat(
            listed.id, listed.address, listed.domain, listed.incarnation, -1, state
        )
        changes = _start_incarnation(members, host, heartbeat, now)
        members.hosts[listed.id].last_heard_at = None
        return changes
    if listed.leaving and listed.incarnation == host.incarnation:
        return _set_state(members, host, HostState.LEAVING, now)
    return []


def _has_ended(
    members: Membership, host: Host, before: dict[str, int], now: timedelta
) -> bool:
    """Return whether the list shows that a silent host is gone.

    A host that was on the previous list and is not on this one has ended. A host that
    was never listed may be newer than the list, so it gets a grace period.
    """
    if host.id == members.host or members.listed.get(host.id) == host.incarnation:
        return False
    if not _is_silent(members, host, now):
        return False
    if before.get(host.id) == host.incarnation:
        return True
    return now - _find_last_heard_at(members, host) > UNLISTED_GRACE


def _choose_local(own: str, local: list[str]) -> set[str]:
    if len(local) < FULL_MESH_LIMIT:
        return {name for name in local if own < name}
    later = [name for name in local if name > own]
    successor = (later or local)[0]
    return {successor, _choose_by_rendezvous(own, set(local) - {successor})}


def _choose_by_rendezvous(own: str, names: set[str]) -> str:
    """Return the name with the highest rendezvous score for this host."""
    return max(
        names, key=lambda name: (xxh64_intdigest(f"{own}\n{name}".encode()), name)
    )
