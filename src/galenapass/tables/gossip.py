"""Hold the rows that are being spread and what each link still has to carry."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum

from galenapass.tables.peer_messages import GossipItem

__all__ = ["GossipTable", "RowKey", "LinkQueue", "RowPriority", "GossipRow"]

RowKey = tuple[type, str, str]


class RowPriority(IntEnum):
    """Order the kinds of rows; a lower rank goes first."""

    URGENT = 0
    HEARTBEAT = 1
    ORDERS = 2
    LOAD = 3
    LIMITS = 4


@dataclass(slots=True)
class GossipRow:
    """Hold one item with the monotonic time when it is forgotten."""

    item: GossipItem
    expires: timedelta


@dataclass(slots=True)
class LinkQueue:
    """Hold the keys that one link has yet to carry, oldest first in each rank.

    ``credit`` is in bytes and refilled since ``refilled``; ``heartbeats`` hold the
    last one of each host that the partner has. A ``meshed`` partner has links to its
    whole domain and hears load at first hand.
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
    """Hold the rows of one daemon by kind, and a queue for each open link.

    ``pooled`` carries to every domain what otherwise stays in one. ``spare`` are
    bytes that some links left unused and others may take.
    """

    host: str
    domain: str
    pooled: bool = False
    spare: float = 0.0
    rows: dict[type, dict[RowKey, GossipRow]] = field(default_factory=dict)
    queues: dict[str, LinkQueue] = field(default_factory=dict)
