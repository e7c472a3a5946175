"""Assign duties to the live daemons of a domain by rendezvous hashing.

Every daemon of a domain computes the assignment from its own view of the hosts. Views
may differ for a few seconds, so a duty may briefly have one holder too many or too
few. Safety does not depend on the assignment: operations that need a single holder
are fenced by leases and versioned objects in the platform's service.
"""

from collections.abc import Iterable
from enum import Enum
from functools import lru_cache

from xxhash import xxh64_intdigest

from galenapass.tables.hosts import Host, HostState

__all__ = ["Duty", "find_holders", "find_observed", "is_holder", "list_duties"]


class Duty(Enum):
    """Duty that can move between the daemons of a domain."""

    SETTINGS_WATCHER = "settings watcher"
    PLANNER_CANDIDATE = "planner candidate"
    OBSERVER = "observer"
    SLICE_OWNER = "slice owner"


CHOICE_CACHE_SIZE = 1024
HOLDERS_PER_DUTY = {
    Duty.SETTINGS_WATCHER: 2,
    Duty.PLANNER_CANDIDATE: 2,
    Duty.OBSERVER: 1,
    Duty.SLICE_OWNER: 1,
}


def find_holders(
    hosts: Iterable[Host], domain: str, duty: Duty, subject: str = ""
) -> list[str]:
    """Return the holders of a duty, best score first; ``subject`` names a target."""
    return list(_choose_holders(_list_live(hosts, domain), duty, subject))


def is_holder(hosts: Iterable[Host], own: Host, duty: Duty, subject: str = "") -> bool:
    """Return whether a daemon holds a duty in its domain."""
    return own.id in find_holders(hosts, own.domain, duty, subject)


def find_observed(
    hosts: Iterable[Host], own: Host, targets: Iterable[str]
) -> list[str]:
    """Return the targets that a daemon observes."""
    live = _list_live(hosts, own.domain)
    return [
        name for name in targets if own.id in _choose_holders(live, Duty.OBSERVER, name)
    ]


def list_duties(hosts: Iterable[Host], own: Host, targets: Iterable[str]) -> list[str]:
    """Return the duties that a daemon holds, worded as in the operators' status."""
    rows = list(hosts)
    domain_duties = [Duty.SETTINGS_WATCHER, Duty.PLANNER_CANDIDATE]
    duties = [duty.value for duty in domain_duties if is_holder(rows, own, duty)]
    observed = find_observed(rows, own, targets)
    return duties + [f"{Duty.OBSERVER.value} {name}" for name in observed]


def _list_live(hosts: Iterable[Host], domain: str) -> tuple[str, ...]:
    live = (h for h in hosts if h.domain == domain and h.state is HostState.ALIVE)
    return tuple(sorted(host.id for host in live))


@lru_cache(maxsize=CHOICE_CACHE_SIZE)
def _choose_holders(live: tuple[str, ...], duty: Duty, subject: str) -> tuple[str, ...]:
    """Return the rendezvous winners, cached since the live hosts seldom change."""
    seed = f"{duty.value}\n{subject}\n".encode()

    def score(host: str) -> tuple[int, str]:
        return xxh64_intdigest(seed + host.encode()), host

    return tuple(sorted(live, key=score, reverse=True)[: HOLDERS_PER_DUTY[duty]])
