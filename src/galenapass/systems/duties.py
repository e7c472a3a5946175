"""Find which daemons hold which duty: the rendezvous winners among the live ones.

Every daemon of a domain works this out by itself. Views may differ for seconds, so
a duty may be held by one too many or too few; nothing unsafe depends on it, since
leases and versioned objects in the platform's service fence what does.
"""

from collections.abc import Iterable
from enum import Enum
from functools import lru_cache

from xxhash import xxh64_intdigest

from galenapass.tables.hosts import Host, HostState

__all__ = ["Duty", "find_holders", "find_observed", "is_holder", "list_duties"]


class Duty(Enum):
    """Name the duties that move between the daemons of a domain."""

    SETTINGS_WATCHER = "settings watcher"
    PLANNER_CANDIDATE = "planner candidate"
    OBSERVER = "observer"
    SLICE_OWNER = "slice owner"


CACHED_CHOICES = 1024
HOLDERS = {
    Duty.SETTINGS_WATCHER: 2,
    Duty.PLANNER_CANDIDATE: 2,
    Duty.OBSERVER: 1,
    Duty.SLICE_OWNER: 1,
}


def find_holders(
    hosts: Iterable[Host], domain: str, duty: Duty, subject: str = ""
) -> list[str]:
    """Return the holders of a duty, first choice first; subject names a target."""
    return list(_choose(_list_live(hosts, domain), duty, subject))


def is_holder(hosts: Iterable[Host], own: Host, duty: Duty, subject: str = "") -> bool:
    """Tell whether a daemon holds a duty in its domain."""
    return own.id in find_holders(hosts, own.domain, duty, subject)


def find_observed(
    hosts: Iterable[Host], own: Host, targets: Iterable[str]
) -> list[str]:
    """Return the targets that a daemon observes."""
    live = _list_live(hosts, own.domain)
    return [name for name in targets if own.id in _choose(live, Duty.OBSERVER, name)]


def list_duties(hosts: Iterable[Host], own: Host, targets: Iterable[str]) -> list[str]:
    """Return the duties that a daemon holds, as the operators' status shows them."""
    rows = list(hosts)
    whole = [Duty.SETTINGS_WATCHER, Duty.PLANNER_CANDIDATE]
    duties = [duty.value for duty in whole if is_holder(rows, own, duty)]
    observed = find_observed(rows, own, targets)
    return duties + [f"{Duty.OBSERVER.value} {name}" for name in observed]


def _list_live(hosts: Iterable[Host], domain: str) -> tuple[str, ...]:
    live = (h for h in hosts if h.domain == domain and h.state is HostState.ALIVE)
    return tuple(sorted(host.id for host in live))


@lru_cache(maxsize=CACHED_CHOICES)
def _choose(live: tuple[str, ...], duty: Duty, subject: str) -> tuple[str, ...]:
    """Return the rendezvous winners; the live hosts change far less than asked for."""
    seed = f"{duty.value}\n{subject}\n".encode()

    def score(host: str) -> tuple[int, str]:
        return xxh64_intdigest(seed + host.encode()), host

    return tuple(sorted(live, key=score, reverse=True)[: HOLDERS[duty]])
