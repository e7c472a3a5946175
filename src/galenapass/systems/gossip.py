"""Spread small rows over links within a budget of bytes, the most urgent first.

A row that is newer than the known one is kept and queued for every other link, so
it crosses each link about once. A queue holds keys, not copies: rows that change
faster than a link carries them are merged, and a queue never outgrows the table.
"""

from dataclasses import replace
from datetime import timedelta
from typing import Any

from galenapass.systems.row_kinds import ROW_KINDS, Reach, RowKind, order_heartbeat
from galenapass.tables.gossip import (
    GossipRow,
    GossipTable,
    LinkQueue,
    RowKey,
    RowPriority,
)
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import GossipItem, Heartbeat, TargetReport

__all__ = [
    "charge",
    "close_link",
    "expire",
    "forget_host",
    "open_link",
    "put",
    "dequeue",
]

BURST_SECONDS = 4.0
FAR_HEARTBEATS = 10
TYPICAL_ROW_BYTES = 10
DEBT_SHARES = {RowPriority.URGENT: 1.0, RowPriority.HEARTBEAT: 1.0}
MAX_CHARGED_SHARE = 0.5


def put(
    table: GossipTable, item: GossipItem, now: timedelta, source: str | None = None
) -> GossipItem | None:
    """Merge an item and queue it; return the row when it changed, else None."""
    kind = ROW_KINDS[type(item)]
    if source is not None and kind.reach is Reach.LINK:
        return item
    rows = table.rows.setdefault(type(item), {})
    key: RowKey = (type(item), *kind.key(item))
    row = rows.get(key)
    if source is None and isinstance(item, TargetReport) and row is not None:
        item = _order_report(row.item, item)
    merged = item if row is None else kind.merge(row.item, item)
    if source in table.queues:
        _note_known(table.queues[source], key, kind, item, merged)
    if row is not None and merged is row.item:
        return None
    rows.pop(key, None)
    rows[key] = GossipRow(merged, now + kind.lifetime)
    if len(rows) > kind.limit:
        _drop(table, next(iter(rows)))
    _queue_row(table, key, merged, source)
    return merged


def open_link(
    table: GossipTable, link: str, host: str, domain: str, now: timedelta
) -> None:
    """Queue every row that a new partner should hear."""
    queue = table.queues[link] = LinkQueue(host, domain, now)
    for rows in table.rows.values():
        for key, row in rows.items():
            if _reaches(table, queue, row.item):
                queue.pending[ROW_KINDS[key[0]].rank][key] = None


def close_link(table: GossipTable, link: str) -> None:
    """Forget what a link had yet to carry."""
    table.queues.pop(link, None)


def dequeue(
    table: GossipTable, link: str, now: timedelta, rate: float
) -> list[GossipItem]:
    """Take the most urgent rows that a rate in bytes a second allows by now.

    The rate is this link's share. The bytes that all links take in any t seconds
    stay below the sum of their rates times t + 3 * BURST_SECONDS, and a row each.
    """
    queue = table.queues[link]
    _refill(table, queue, now, rate)
    taken: list[GossipItem] = []
    for rank, pending in zip(RowPriority, queue.pending, strict=True):
        floor = -DEBT_SHARES.get(rank, 0.0) * BURST_SECONDS * rate
        while pending and queue.credit > floor:
            item = _dequeue_first(table, queue, rank)
            queue.credit -= ROW_KINDS[type(item)].size(item)
            taken.append(item)
    return taken


def charge(table: GossipTable, link: str, size: int, rate: float) -> None:
    """Count bytes sent beside the rows; urgent rows keep some room.

    A negative size gives back what the rows took less than their bounds.
    """
    queue = table.queues[link]
    burst = BURST_SECONDS * rate
    floor = min(queue.credit, -MAX_CHARGED_SHARE * burst)
    queue.credit = min(burst, max(queue.credit - size, floor))


def forget_host(table: GossipTable, host: str, incarnation: int) -> None:
    """Stop spreading an ended incarnation, but for its own last word."""
    rows = table.rows.get(Heartbeat, {})
    key: RowKey = (Heartbeat, host, "")
    row: Any = rows.get(key)
    if row is None or row.item.state is HostState.GONE:
        return
    if row.item.incarnation <= incarnation:
        _drop(table, key)


def expire(table: GossipTable, now: timedelta) -> None:
    """Forget the rows whose lifetime has passed."""
    for rows in table.rows.values():
        for key in [key for key, row in rows.items() if row.expires <= now]:
            _drop(table, key)


def _refill(table: GossipTable, queue: LinkQueue, now: timedelta, rate: float) -> None:
    """Add what the time allows; what an idle link cannot hold goes to the others."""
    burst = BURST_SECONDS * rate
    credit = queue.credit + (now - queue.refilled).total_seconds() * rate
    queue.credit = min(credit, burst)
    queue.refilled = now
    table.spare = min(table.spare + credit - queue.credit, burst)
    if len(queue.pending[RowPriority.LOAD]) * TYPICAL_ROW_BYTES > queue.credit:
        loan = min(table.spare, rate)
        table.spare -= loan
        queue.credit += loan


def _dequeue_first(table: GossipTable, queue: LinkQueue, rank: RowPriority) -> Any:
    pending = queue.pending[rank]
    key = next(iter(pending))
    del pending[key]
    item = table.rows[key[0]][key].item
    _note_heartbeat(queue, item)
    return item


def _queue_row(
    table: GossipTable, key: RowKey, item: GossipItem, source: str | None
) -> None:
    rank = ROW_KINDS[key[0]].rank
    relayed = source is not None and rank >= RowPriority.LOAD
    for link, queue in table.queues.items():
        if link == source or (relayed and queue.meshed):
            continue
        if _reaches(table, queue, item):
            queue.pending[rank][key] = None


def _drop(table: GossipTable, key: RowKey) -> None:
    del table.rows[key[0]][key]
    for queue in table.queues.values():
        queue.pending[ROW_KINDS[key[0]].rank].pop(key, None)
        if key[0] is Heartbeat:
            queue.heartbeats.pop(key[1], None)


def _note_known(
    queue: LinkQueue, key: RowKey, kind: RowKind, item: GossipItem, merged: GossipItem
) -> None:
    """Take back what the partner just showed that it has."""
    if merged == item:
        queue.pending[kind.rank].pop(key, None)
    _note_heartbeat(queue, item)


def _note_heartbeat(queue: LinkQueue, item: GossipItem) -> None:
    if isinstance(item, Heartbeat):
        queue.heartbeats[item.host] = order_heartbeat(item)


def _order_report(known: Any, item: TargetReport) -> TargetReport:
    """Place a report after those of the engine's earlier incarnations."""
    same = known.incarnation == item.incarnation
    return replace(item, generation=known.generation + (0 if same else 1))


def _reaches(table: GossipTable, queue: LinkQueue, item: Any) -> bool:
    reach = ROW_KINDS[type(item)].reach
    if reach is Reach.HEARTBEAT:
        return _reaches_heartbeat(table, queue, item)
    return reach is Reach.FLEET or table.pooled or queue.domain == table.domain


def _reaches_heartbeat(table: GossipTable, queue: LinkQueue, item: Heartbeat) -> bool:
    """Carry a heartbeat on at once within its domain, more seldom beyond."""
    near = table.pooled or item.domain == table.domain == queue.domain
    known = queue.heartbeats.get(item.host)
    order = order_heartbeat(item)
    if near or known is None or known[:2] != order[:2]:
        return True
    return order[2] >= known[2] + FAR_HEARTBEATS
