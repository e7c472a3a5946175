"""Spread small rows over links within a budget of bytes, the most urgent first.

A row that is newer than the stored one replaces it and is queued for every other
link, so that it crosses each link about once. A queue holds keys instead of copies:
rows that change faster than a link can send them are merged, and a queue never grows
larger than the table.
"""

from dataclasses import replace
from datetime import timedelta
from typing import Any

from galenapass.systems.row_kinds import ROW_KINDS, RowKind, Scope, order_heartbeat
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
    "dequeue",
    "expire",
    "forget_host",
    "open_link",
    "put",
]

BURST_SECONDS = 4.0
REMOTE_HEARTBEAT_STEP = 10  # heartbeats between two that leave the domain
TYPICAL_ROW_BYTES = 10
# Fractions of a burst by which rows of a priority may exceed the credit.
OVERDRAFT_SHARES = {RowPriority.URGENT: 1.0, RowPriority.HEARTBEAT: 1.0}
MAX_CHARGED_SHARE = 0.5  # of a burst


def put(
    table: GossipTable, item: GossipItem, now: timedelta, source: str | None = None
) -> GossipItem | None:
    """Merge an item and queue it; return the merged item if it changed, else None."""
    kind = ROW_KINDS[type(item)]
    if source is not None and kind.scope is Scope.LINK:
        return item
    rows = table.rows.setdefault(type(item), {})
    key: RowKey = (type(item), *kind.key(item))
    row = rows.get(key)
    if source is None and isinstance(item, TargetReport) and row is not None:
        item = _assign_generation(row.item, item)
    merged = item if row is None else kind.merge(row.item, item)
    if source in table.queues:
        _record_partner_row(table.queues[source], key, kind, item, merged)
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
    """Add a link and queue every row that its partner should receive."""
    queue = table.queues[link] = LinkQueue(host, domain, now)
    for rows in table.rows.values():
        for key, row in rows.items():
            if _is_in_scope(table, queue, row.item):
                queue.pending[ROW_KINDS[key[0]].priority][key] = None


def close_link(table: GossipTable, link: str) -> None:
    """Remove a link and its queue."""
    table.queues.pop(link, None)


def dequeue(
    table: GossipTable, link: str, now: timedelta, rate: float
) -> list[GossipItem]:
    """Remove and return the most urgent rows that the link's rate allows now.

    ``rate`` is the link's share of the budget in bytes per second. In any t seconds
    all links together dequeue fewer bytes than the sum of their rates times
    (t + 3 * BURST_SECONDS), plus one row for each link.
    """
    queue = table.queues[link]
    _refill(table, queue, now, rate)
    dequeued: list[GossipItem] = []
    for priority, pending in zip(RowPriority, queue.pending, strict=True):
        floor = -OVERDRAFT_SHARES.get(priority, 0.0) * BURST_SECONDS * rate
        while pending and queue.credit > floor:
            item = _dequeue_first(table, queue, priority)
            queue.credit -= ROW_KINDS[type(item)].size(item)
            dequeued.append(item)
    return dequeued


def charge(table: GossipTable, link: str, size: int, rate: float) -> None:
    """Charge bytes sent besides the rows, leaving some credit for urgent rows.

    A negative size refunds the difference between the size bounds of rows and their
    encoded size.
    """
    queue = table.queues[link]
    burst = BURST_SECONDS * rate
    floor = min(queue.credit, -MAX_CHARGED_SHARE * burst)
    queue.credit = min(burst, max(queue.credit - size, floor))


def forget_host(table: GossipTable, host: str, incarnation: int) -> None:
    """Drop the heartbeat of an ended incarnation, unless it announces its own end."""
    rows = table.rows.get(Heartbeat, {})
    key: RowKey = (Heartbeat, host, "")
    row: Any = rows.get(key)
    if row is None or row.item.state is HostState.GONE:
        return
    if row.item.incarnation <= incarnation:
        _drop(table, key)


def expire(table: GossipTable, now: timedelta) -> None:
    """Drop the rows whose lifetime has passed."""
    for rows in table.rows.values():
        for key in [key for key, row in rows.items() if row.expires <= now]:
            _drop(table, key)


def _refill(table: GossipTable, queue: LinkQueue, now: timedelta, rate: float) -> None:
    """Add the credit for the time passed; excess of a full link goes to a shared pool.

    A link whose queued load rows exceed its credit borrows from the pool.
    """
    burst = BURST_SECONDS * rate
    credit = queue.credit + (now - queue.refilled).total_seconds() * rate
    queue.credit = min(credit, burst)
    queue.refilled = now
    table.spare = min(table.spare + credit - queue.credit, burst)
    if len(queue.pending[RowPriority.LOAD]) * TYPICAL_ROW_BYTES > queue.credit:
        loan = min(table.spare, rate)
        table.spare -= loan
        queue.credit += loan


def _dequeue_first(table: GossipTable, queue: LinkQueue, priority: RowPriority) -> Any:
    pending = queue.pending[priority]
    key = next(iter(pending))
    del pending[key]
    item = table.rows[key[0]][key].item
    _record_partner_heartbeat(queue, item)
    return item


def _queue_row(
    table: GossipTable, key: RowKey, item: GossipItem, source: str | None
) -> None:
    priority = ROW_KINDS[key[0]].priority
    is_relayed = source is not None and priority >= RowPriority.LOAD
    for link, queue in table.queues.items():
        if link == source or (is_relayed and queue.meshed):
            continue
        if _is_in_scope(table, queue, item):
            queue.pending[priority][key] = None


def _drop(table: GossipTable, key: RowKey) -> None:
    del table.rows[key[0]][key]
    for queue in table.queues.values():
        queue.pending[ROW_KINDS[key[0]].priority].pop(key, None)
        if key[0] is Heartbeat:
            queue.heartbeats.pop(key[1], None)


def _record_partner_row(
    queue: LinkQueue, key: RowKey, kind: RowKind, item: GossipItem, merged: GossipItem
) -> None:
    """Remove from the queue a row that the partner has just sent."""
    if merged == item:
        queue.pending[kind.priority].pop(key, None)
    _record_partner_heartbeat(queue, item)


def _record_partner_heartbeat(queue: LinkQueue, item: GossipItem) -> None:
    if isinstance(item, Heartbeat):
        queue.heartbeats[item.host] = order_heartbeat(item)


def _assign_generation(known: Any, item: TargetReport) -> TargetReport:
    """Set a generation that orders the report after earlier incarnations."""
    is_same = known.incarnation == item.incarnation
    return replace(item, generation=known.generation + (0 if is_same else 1))


def _is_in_scope(table: GossipTable, queue: LinkQueue, item: Any) -> bool:
    scope = ROW_KINDS[type(item)].scope
    if scope is Scope.HEARTBEAT:
        return _is_heartbeat_due(table, queue, item)
    return scope is Scope.FLEET or table.pooled or queue.domain == table.domain


def _is_heartbeat_due(table: GossipTable, queue: LinkQueue, item: Heartbeat) -> bool:
    """Return whether to send a heartbeat: always in its domain, less often beyond."""
    is_local = table.pooled or item.domain == table.domain == queue.domain
    known = queue.heartbeats.get(item.host)
    order = order_heartbeat(item)
    if is_local or known is None or known[:2] != order[:2]:
        return True
    return order[2] >= known[2] + REMOTE_HEARTBEAT_STEP
