"""Find which daemons hold which duty: the rendezvous winners among the live ones.

Every daemon of a domain works this out by itself. Views may differ for seconds, so
a duty may be held by one too many or too few; nothing unsafe depends on it, since
leases and versioned objects in the platform's service fence what does.
"""

from collections.abc import Iterable
from enum import Enum

from xxhash import xxh64_intdigest

from galenapass.tables.hosts import Host, HostState

__all__ = ["Duty", "find_holders", "holds", "list_duties"]


class Duty(Enum):
    """Name the duties that move between the daemons of a domain."""

    SETTINGS_WATCHER = "settings watcher"
    PLANNER_CANDIDATE = "planner candidate"
    OBSERVER = "observer"
    SLICE_OWNER = "slice owner"


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
    live = [h for h in hosts if h.domain == domain and h.state is HostState.ALIVE]
    seed = f"{duty.value}\n{subject}\n".encode()
    live.sort(key=lambda h: (xxh64_intdigest(seed + h.id.encode()), h.id), reverse=True)
    return [h.id for h in live[: HOLDERS[duty]]]


def holds(hosts: Iterable[Host], own: Host, duty: Duty, subject: str = "") -> bool:
    """Tell whether a daemon holds a duty in its domain."""
    return own.id in find_holders(hosts, own.domain, duty, subject)


def list_duties(hosts: Iterable[Host], own: Host, targets: Iterable[str]) -> list[str]:
    """Return the duties that a daemon holds, as the operators' status shows them."""
    rows = list(hosts)
    whole = [Duty.SETTINGS_WATCHER, Duty.PLANNER_CANDIDATE]
    duties = [duty.value for duty in whole if holds(rows, own, duty)]
    watched = [name for name in targets if holds(rows, own, Duty.OBSERVER, name)]
    return duties + [f"{Duty.OBSERVER.value} {name}" for name in watched]
