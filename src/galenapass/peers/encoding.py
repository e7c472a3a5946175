"""Encode items into batches; names and whole entries are sent once on a link."""

import zlib
from collections.abc import Callable, Iterable
from typing import Any

from galenapass.peers import peers_pb2 as wire
from galenapass.peers.link_limits import THOUSANDTHS, check_name_count
from galenapass.systems.levels import find_level
from galenapass.systems.settings_sync import Patch
from galenapass.tables.crashes import Crash
from galenapass.tables.hosts import HostState
from galenapass.tables.peer_messages import (
    CrashSuspect,
    DemandUse,
    Drain,
    DrainAck,
    GossipItem,
    Heartbeat,
    LimitUse,
    Orders,
    Settings,
    TargetReport,
    TargetUse,
)

__all__ = ["Encoder"]

WIRE_STATES = {
    HostState.ALIVE: wire.ALIVE,
    HostState.LEAVING: wire.LEAVING,
    HostState.GONE: wire.GONE,
}


class Encoder:
    """Encoder of one link's batches, with the entries sent so far and their indexes."""

    __slots__ = ("_engines", "_hosts", "_names")

    def __init__(self) -> None:
        self._names: dict[str, int] = {}
        self._engines: dict[tuple[Any, ...], int] = {}
        self._hosts: dict[str, tuple[Any, ...]] = {}

    def encode(self, items: Iterable[GossipItem], settings_version: int) -> wire.Batch:
        """Return one batch with all items."""
        batch = wire.Batch(settings_version=settings_version)
        for item in items:
            _ENCODERS[type(item)](self, batch, item)
        return batch

    def put_settings(self, batch: wire.Batch, reply: Settings | Patch) -> None:
        """Add settings, as a whole text or a patch, to a batch."""
        batch.settings.version = reply.version
        batch.settings.text = zlib.compress(reply.text.encode())
        if isinstance(reply, Patch):
            batch.settings.base = reply.base
            batch.settings.head = reply.head
            batch.settings.tail = reply.tail
            batch.settings.checksum = reply.checksum

    def _index_name(self, batch: wire.Batch, text: str) -> int:
        index = self._names.get(text)
        if index is None:
            index = self._names[text] = len(self._names)
            check_name_count(index)
            batch.names.add(index=index, text=text)
        return index

    def _index_engine(self, batch: wire.Batch, report: TargetReport) -> int:
        key = (
            report.target,
            report.incarnation,
            report.pieces_total,
            report.piece_tokens,
            report.generation,
        )
        index = self._engines.get(key)
        if index is None:
            index = self._engines[key] = len(self._engines)
            check_name_count(index)
            batch.engines.add(
                index=index,
                target=self._index_name(batch, report.target),
                incarnation=report.incarnation,
                pieces_total=report.pieces_total,
                piece_tokens=report.piece_tokens,
                generation=report.generation,
            )
        return index

    def _encode_heartbeat(self, batch: wire.Batch, item: Heartbeat) -> None:
        """Add the whole entry if it changed, otherwise only counter and lag."""
        entry = (item.incarnation, item.state, item.address, item.domain)
        if self._hosts.get(item.host) == entry:
            batch.beats.hosts.append(self._index_name(batch, item.host))
            batch.beats.counters.append(item.counter)
            batch.beats.lags.append(batch.settings_version - item.settings_version)
            return
        self._expand_beats(batch, item.host)
        self._hosts[item.host] = entry
        self._add_host(batch, item)

    def _expand_beats(self, batch: wire.Batch, host: str) -> None:
        """Replace short heartbeats of a host in a batch by whole entries.

        A partner reads all whole entries before the short ones, with the last state.
        """
        beats = batch.beats
        index = self._names.get(host)
        positions = [n for n, other in enumerate(beats.hosts) if other == index]
        for position in positions:
            incarnation, state, address, domain = self._hosts[host]
            beat = Heartbeat(
                host,
                address,
                domain,
                incarnation,
                beats.counters[position],
                state,
                batch.settings_version - beats.lags[position],
            )
            self._add_host(batch, beat)
        for position in reversed(positions):
            for column in (beats.hosts, beats.counters, beats.lags):
                del column[position]

    def _add_host(self, batch: wire.Batch, item: Heartbeat) -> None:
        batch.hosts.add(
            host=self._index_name(batch, item.host),
            domain=self._index_name(batch, item.domain),
            address=item.address,
            incarnation=item.incarnation,
            counter=item.counter,
            state=WIRE_STATES[item.state],
            settings_version=item.settings_version,
        )

    def _encode_use(self, batch: wire.Batch, item: TargetUse) -> None:
        batch.uses.targets.append(self._index_name(batch, item.target))
        amounts = (item.requests, item.prefill, item.pieces)
        batch.uses.levels += bytes(find_level(amount) for amount in amounts)

    def _encode_report(self, batch: wire.Batch, item: TargetReport) -> None:
        batch.reports.engines.append(self._index_engine(batch, item))
        batch.reports.sequences.append(item.sequence)
        amounts = (item.running, item.waiting, item.prefill_queued, item.pieces_used)
        batch.reports.levels += bytes(find_level(amount) for amount in amounts)

    def _encode_drain(self, batch: wire.Batch, item: Drain) -> None:
        batch.drains.add(
            target=self._index_name(batch, item.target),
            epoch=item.epoch,
            ended=item.ended,
        )

    def _encode_ack(self, batch: wire.Batch, item: DrainAck) -> None:
        batch.drain_acks.add(
            host=self._index_name(batch, item.host),
            incarnation=item.incarnation,
            target=self._index_name(batch, item.target),
            epoch=item.epoch,
            in_flight=item.in_flight,
        )

    def _encode_suspect(self, batch: wire.Batch, item: CrashSuspect) -> None:
        batch.crash_suspects.add(
            fingerprint=item.fingerprint,
            crashes=self._encode_crashes(batch, item.crashes),
            cleared=self._encode_crashes(batch, item.cleared),
        )

    def _encode_crashes(
        self, batch: wire.Batch, crashes: frozenset[Crash]
    ) -> list[wire.Crash]:
        return [
            wire.Crash(
                target=self._index_name(batch, crash.target),
                incarnation=crash.incarnation,
            )
            for crash in sorted(crashes)
        ]

    def _encode_limit(self, batch: wire.Batch, item: LimitUse) -> None:
        batch.limit_uses.add(
            host=self._index_name(batch, item.host),
            caller=self._index_name(batch, item.caller),
            sequence=item.sequence,
            used=round(item.used * THOUSANDTHS),
            held=round(item.held * THOUSANDTHS),
        )

    def _encode_demand(self, batch: wire.Batch, item: DemandUse) -> None:
        batch.demand_uses.add(
            host=self._index_name(batch, item.host),
            service=self._index_name(batch, item.service),
            sequence=item.sequence,
            prefill=round(item.prefill * THOUSANDTHS),
            decode=round(item.decode * THOUSANDTHS),
        )

    def _encode_orders(self, batch: wire.Batch, item: Orders) -> None:
        batch.orders.add(
            domain=self._index_name(batch, item.domain),
            version=item.version,
            text=zlib.compress(item.text.encode()),
        )


_ENCODERS: dict[type, Callable[[Encoder, wire.Batch, Any], None]] = {
    Heartbeat: Encoder._encode_heartbeat,
    TargetUse: Encoder._encode_use,
    TargetReport: Encoder._encode_report,
    Drain: Encoder._encode_drain,
    DrainAck: Encoder._encode_ack,
    CrashSuspect: Encoder._encode_suspect,
    LimitUse: Encoder._encode_limit,
    DemandUse: Encoder._encode_demand,
    Orders: Encoder._encode_orders,
}
