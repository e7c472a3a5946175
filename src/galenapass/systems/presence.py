"""Announce leaving targets to peers, so that few daemons need to read the list.

Announcements for a target are ordered by epoch. A read of the list that shows a target
as leaving overrides an announcement that it stays. A target is announced as staying
only if two of a daemon's own reads show the change, since a single read may lag behind
the announcements already received.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from galenapass.systems.targets import apply_presence
from galenapass.tables.peer_messages import Drain
from galenapass.tables.world import World

__all__ = ["Presence", "apply_drain", "apply_target_list"]


@dataclass(slots=True)
class Presence:
    """Latest announcement for each target and the targets last listed as leaving."""

    latest: dict[str, Drain] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()


def apply_target_list(
    presence: Presence, world: World, listed: Mapping[str, bool]
) -> list[Drain]:
    """Apply which listed targets leave and return the announcements for peers."""
    leaving = frozenset(name for name, leaves in listed.items() if leaves)
    returned = presence.leaving & (listed.keys() - leaving)
    apply_presence(world, leaving, listed.keys() - leaving)
    started = [_start_drain(presence, name) for name in sorted(leaving)]
    ended = [_end_drain(presence, name) for name in sorted(returned)]
    presence.leaving = leaving
    updates = [drain for drain in started + ended if drain is not None]
    for drain in updates:
        presence.latest[drain.target] = drain
    return updates


def apply_drain(presence: Presence, world: World, drain: Drain) -> bool:
    """Apply an announcement from a peer; return whether it was newer."""
    known = presence.latest.get(drain.target)
    if known is not None and _order_drain(drain) <= _order_drain(known):
        return False
    presence.latest[drain.target] = drain
    leaving, live = ([], [drain.target]) if drain.ended else ([drain.target], [])
    apply_presence(world, leaving, live)
    return True


def _start_drain(presence: Presence, name: str) -> Drain | None:
    known = presence.latest.get(name)
    if known is None:
        return Drain(name, 1)
    return Drain(name, known.epoch + 1) if known.ended else None


def _end_drain(presence: Presence, name: str) -> Drain | None:
    known = presence.latest.get(name)
    if known is None or known.ended:
        return None
    return Drain(name, known.epoch, True)


def _order_drain(drain: Drain) -> tuple[int, bool]:
    return drain.epoch, drain.ended
