"""Tell the peers which targets leave, so that few daemons need to read the list.

News of a target is ordered by its epoch. Any reading that lists a target as leaving
outweighs news that it stays. The other way round it takes a change between two of a
daemon's own readings, since a reading may lag behind what was heard.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from galenapass.systems.targets import apply_presence
from galenapass.tables.peer_messages import Drain
from galenapass.tables.world import World

__all__ = ["Presence", "apply_target_list", "apply_drain"]


@dataclass(slots=True)
class Presence:
    """Hold the newest news of each target and the targets last listed as leaving."""

    newest: dict[str, Drain] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()


def apply_target_list(
    presence: Presence, world: World, listed: Mapping[str, bool]
) -> list[Drain]:
    """Take in which listed targets leave; return what is news to the peers."""
    leaving = frozenset(name for name, leaves in listed.items() if leaves)
    back = presence.leaving & (listed.keys() - leaving)
    apply_presence(world, leaving, listed.keys() - leaving)
    begun = [_begin(presence, name) for name in sorted(leaving)]
    ended = [_end(presence, name) for name in sorted(back)]
    presence.leaving = leaving
    news = [drain for drain in begun + ended if drain is not None]
    for drain in news:
        presence.newest[drain.target] = drain
    return news


def apply_drain(presence: Presence, world: World, drain: Drain) -> bool:
    """Take in news from a peer; return whether it was newer."""
    known = presence.newest.get(drain.target)
    if known is not None and _order(drain) <= _order(known):
        return False
    presence.newest[drain.target] = drain
    leaving, live = ([], [drain.target]) if drain.ended else ([drain.target], [])
    apply_presence(world, leaving, live)
    return True


def _begin(presence: Presence, name: str) -> Drain | None:
    known = presence.newest.get(name)
    if known is None:
        return Drain(name, 1)
    return Drain(name, known.epoch + 1) if known.ended else None


def _end(presence: Presence, name: str) -> Drain | None:
    known = presence.newest.get(name)
    if known is None or known.ended:
        return None
    return Drain(name, known.epoch, True)


def _order(drain: Drain) -> tuple[int, bool]:
    return drain.epoch, drain.ended
