"""Define the rows that gossip spreads and the queue of each link."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum

from galenapass.tables.peer_messages import GossipItem

__all__ = ["GossipRow", "GossipTable", "LinkQueue", "RowKey", "RowPriority"]

RowKey = tuple[type, str, str]


class RowPriority(IntEnum):
    """Send priority of a kind of row; a lower value is sent first."""

    URGENT = 0
    HEARTBEAT = 1
    ORDERS = 2
    LOAD = 3
    LIMITS = 4


@dataclass(slots=True)
class GossipRow:
    """Gossip item with the monotonic time at which it expires."""

    item: GossipItem
    expires: timedelta


@dataclass(slots=True)
class LinkQueue:
    """Keys of the rows still to be sent on one link, oldest first in each priority.

    ``credit`` is in bytes and was last refilled at ``refilled``; ``heartbeats`` hold
    the order of the last heartbeat of each host that the partner has. A ``meshed``
    partner has links to its whole domain and receives load rows directly from
    their sources.
    """

    host: str
    domain: str
    refilled: timedelta
    credit: float = 0.0
    meshed: bool = False
    pending: tuple[dict[RowKey, None], ...] = field(
        default_factory=lambda: tuple({} for _ in RowPriority)
    )
    heartbeats: dict[str, tuple[int, int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class GossipTable:
    """Rows of one daemon by kind, and a queue for each open link.

    With ``pooled``, rows that otherwise stay in their domain are sent to every
    domain. ``spare`` counts bytes of credit that idle links left unused and busy
    links may take.
    """

    host: str
    domain: str
    pooled: bool = False
    spare: float = 0.0
    rows: dict[type, dict[RowKey, GossipRow]] = field(default_factory=dict)
    queues: dict[str, LinkQueue] = field(default_factory=dict)
