"""Judge which daemons are alive from their heartbeats and the platform's list.

Silence makes a host SUSPECT and never more: each daemon judges by itself and spreads
no suspicion, so the next heartbeat refutes it. Only the platform's list, a host's
own last word or a higher incarnation of it ends an incarnation for good.
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
    "is_current_incarnation",
    "apply_host_list",
    "choose_partners",
    "is_meshed",
    "apply_heartbeat",
    "sweep",
]

SUSPECT_AFTER = timedelta(seconds=5)
FAR_SUSPECT_AFTER = timedelta(seconds=40)
PAUSE = timedelta(seconds=2.5)
UNLISTED_GRACE = timedelta(seconds=60)
FORGET_AFTER = timedelta(hours=1)
SMALL_DOMAIN = 8
BRIDGES = 2


@dataclass(slots=True, frozen=True)
class ListedDaemon:
    """Hold one daemon as the platform's lagging list shows it."""

    id: str
    address: str
    domain: str
    incarnation: int
    leaving: bool = False


@dataclass(slots=True)
class Membership:
    """Hold what is known of every daemon; ``hosts`` is shared with the world.

    ``counters`` hold the last heartbeat of each host, ``listed`` the incarnations
    in the platform's last list, ``seen`` when a host was first known, ``ended``
    the incarnation that is gone for good and when that was learnt. ``resumed`` is
    when this daemon last came back from a pause, during which it heard nobody.
    """

    host: str
    domain: str
    hosts: dict[str, Host]
    counters: dict[str, int]
    listed: dict[str, int]
    seen: dict[str, timedelta]
    ended: dict[str, tuple[int, timedelta]]
    pooled: bool = False
    resumed: timedelta = timedelta(0)
    swept: timedelta | None = None

    @classmethod
    def make(
        cls, host: str, domain: str, hosts: dict[str, Host], pooled: bool = False
    ) -> "Membership":
        """Return an empty membership over a table of hosts."""
        return cls(host, domain, hosts, {}, {}, {}, {}, pooled)


def is_current_incarnation(members: Membership, news: Heartbeat) -> bool:
    """Tell whether news is of an incarnation that has not ended."""
    ended = members.ended.get(news.host)
    return ended is None or news.incarnation > ended[0]


def apply_heartbeat(
    members: Membership, news: Heartbeat, now: timedelta
) -> list[HostChange]:
    """Take in one heartbeat; an old one changes nothing."""
    host = members.hosts.get(news.host)
    if not is_current_incarnation(members, news):
        return []
    if host is not None and news.incarnation < host.incarnation:
        return []
    if host is None or news.incarnation > host.incarnation:
        return _begin_incarnation(members, host, news, now)
    host.settings_version = max(host.settings_version, news.settings_version)
    if news.counter <= members.counters.get(news.host, -1):
        return _change(members, host, _heed_word(host, news), now)
    members.counters[news.host] = news.counter
    host.last_heard_at = now
    return _change(members, host, _revive(host, news), now)


def sweep(members: Membership, now: timedelta) -> list[HostChange]:
    """Suspect the silent hosts and forget what ended long ago."""
    if members.swept is not None and now - members.swept > PAUSE:
        members.resumed = now
    members.swept = now
    changes: list[HostChange] = []
    for host in list(members.hosts.values()):
        if host.state is HostState.ALIVE and _is_silent(members, host, now):
            changes += _change(members, host, HostState.SUSPECT, now)
    old = [h for h, (_, at) in members.ended.items() if now - at > FORGET_AFTER]
    for name in old:
        del members.ended[name]
    return changes


def apply_host_list(
    members: Membership, hosts: Collection[ListedDaemon], now: timedelta
) -> list[HostChange]:
    """Take in the platform's list, which lags and never outweighs a heartbeat."""
    before = members.listed
    members.listed = {listed.id: listed.incarnation for listed in hosts}
    changes: list[HostChange] = []
    for listed in hosts:
        changes += _apply_listed(members, listed, now)
    for host in list(members.hosts.values()):
        if _has_ended(members, host, before, now):
            changes += _change(members, host, HostState.GONE, now)
    return changes


def choose_partners(members: Membership, now: timedelta, random: Random) -> set[str]:
    """Choose which hosts this daemon opens links to.

    A small domain is meshed, the lower identifier dials. In a larger one each dials
    its successor on a ring and one rendezvous choice. Everyone dials one live host
    in another domain and one silent host, which heals a cut.
    """
    known = [h for h in members.hosts.values() if h.id != members.host]
    silent = sorted(h.id for h in known if _is_silent(members, h, now))
    live = [h for h in known if not _is_silent(members, h, now)]
    near = sorted(h.id for h in live if _is_near(members, h))
    partners = _choose_near(members.host, near)
    partners |= _choose_far(members, near, live)
    if silent:
        partners.add(random.choice(silent))
    return partners


def is_meshed(members: Membership, linked: Collection[str], now: timedelta) -> bool:
    """Tell whether a daemon has a link to every live host of its domain."""
    others = (h for h in members.hosts.values() if h.id != members.host)
    near = (h for h in others if _is_near(members, h))
    return all(h.id in linked or _is_silent(members, h, now) for h in near)


def _is_near(members: Membership, host: Host) -> bool:
    return members.pooled or host.domain == members.domain


def _choose_far(members: Membership, near: list[str], live: list[Host]) -> set[str]:
    """Choose a host of another domain; the bridges close a ring of domains."""
    domains = {h.domain for h in live} - {members.domain}
    if not domains:
        return set()
    if members.host in sorted([*near, members.host])[:BRIDGES]:
        later = [domain for domain in domains if domain > members.domain]
        domain = min(later or domains)
    else:
        domain = _pick(members.host, domains)
    return {_pick(members.host, {h.id for h in live if h.domain == domain})}


def _begin_incarnation(
    members: Membership, host: Host | None, news: Heartbeat, now: timedelta
) -> list[HostChange]:
    """Put a new incarnation in the place of the earlier one, which is gone."""
    changes: list[HostChange] = []
    if host is not None and host.state is not HostState.GONE:
        changes += _change(members, host, HostState.GONE, now)
    members.counters[news.host] = news.counter
    members.seen[news.host] = now
    fresh = Host(news.host, news.address, news.domain, news.incarnation, news.state)
    fresh.last_heard_at = now
    fresh.settings_version = news.settings_version
    members.hosts[news.host] = fresh
    changes.append(HostChange(news.host, news.incarnation, None, news.state))
    if news.state is HostState.GONE:
        members.ended[news.host] = (news.incarnation, now)
        _forget(members, news.host)
    return changes


def _heed_word(host: Host, news: Heartbeat) -> HostState:
    """Return the state after old news: only a host's word on its end counts."""
    if news.state is HostState.ALIVE:
        return host.state
    return news.state


def _revive(host: Host, news: Heartbeat) -> HostState:
    """Return the state after fresh news; leaving is never taken back."""
    if host.state is HostState.LEAVING and news.state is HostState.ALIVE:
        return HostState.LEAVING
    return news.state


def _change(
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
    for table in (members.hosts, members.counters, members.seen):
        table.pop(name, None)


def _is_silent(members: Membership, host: Host, now: timedelta) -> bool:
    if host.id == members.host:
        return False
    bound = SUSPECT_AFTER if _is_near(members, host) else FAR_SUSPECT_AFTER
    return now - _find_last_heard(members, host) > bound


def _find_last_heard(members: Membership, host: Host) -> timedelta:
    last_heard_at = (
        host.last_heard_at if host.last_heard_at is not None else members.seen[host.id]
    )
    return max(last_heard_at, members.resumed)


def _apply_listed(
    members: Membership, listed: ListedDaemon, now: timedelta
) -> list[HostChange]:
    ended = members.ended.get(listed.id)
    if ended is not None and listed.incarnation <= ended[0]:
        return []
    host = members.hosts.get(listed.id)
    if host is None or listed.incarnation > host.incarnation:
        state = HostState.LEAVING if listed.leaving else HostState.ALIVE
        news = Heartbeat(
            listed.id, listed.address, listed.domain, listed.incarnation, -1, state
        )
        changes = _begin_incarnation(members, host, news, now)
        members.hosts[listed.id].last_heard_at = None
        return changes
    if listed.leaving and listed.incarnation == host.incarnation:
        return _change(members, host, HostState.LEAVING, now)
    return []


def _has_ended(
    members: Membership, host: Host, before: dict[str, int], now: timedelta
) -> bool:
    """Tell whether the list shows that a silent host is gone.

    A host that was listed and is no more has ended; one that never was listed may
    be newer than the list, so it gets a grace.
    """
    if host.id == members.host or members.listed.get(host.id) == host.incarnation:
        return False
    if not _is_silent(members, host, now):
        return False
    if before.get(host.id) == host.incarnation:
        return True
    return now - _find_last_heard(members, host) > UNLISTED_GRACE


def _choose_near(own: str, near: list[str]) -> set[str]:
    if len(near) < SMALL_DOMAIN:
        return {name for name in near if own < name}
    later = [name for name in near if name > own]
    successor = (later or near)[0]
    return {successor, _pick(own, set(near) - {successor})}


def _pick(own: str, names: set[str]) -> str:
    """Return the rendezvous winner, which moves only when it leaves the set."""
    return max(
        names, key=lambda name: (xxh64_intdigest(f"{own}\n{name}".encode()), name)
    )
