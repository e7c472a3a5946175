"""Decode items from batches, using the indexes received earlier on the link."""

import zlib
from collections.abc import Iterable

from galenapass.peers import peers_pb2 as wire
from galenapass.peers.link_limits import THOUSANDTHS, check_name_count
from galenapass.systems.levels import LEVELS
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

__all__ = ["Decoder"]

MAX_TEXT_BYTES = 4 * 1024 * 1024  # after decompression
LEVELS_PER_USE = 3
LEVELS_PER_REPORT = 4
HOST_STATES = {
    wire.ALIVE: HostState.ALIVE,
    wire.LEAVING: HostState.LEAVING,
    wire.GONE: HostState.GONE,
}


class Decoder:
    """Decoder of one link's batches, with the entries received so far by index."""

    __slots__ = ("_engines", "_hosts", "_names", "_partner")

    def __init__(self, partner: str) -> None:
        self._partner = partner
        self._names: dict[int, str] = {}
        self._engines: dict[int, wire.Engine] = {}
        self._hosts: dict[int, Heartbeat] = {}

    def decode(self, batch: wire.Batch) -> list[GossipItem]:
        """Return the items of a batch; raise ValueError if it is malformed."""
        self._record_indexes(batch)
        try:
            return [
                *self._decode_hosts(batch),
                *self._decode_load(batch),
                *self._decode_rows(batch),
            ]
        except (KeyError, IndexError, zlib.error, UnicodeDecodeError) as error:
            raise ValueError(
                f"malformed batch from {self._partner}: {error!r}"
            ) from None

    def decode_settings(self, batch: wire.Batch) -> Settings | Patch | None:
        """Return the settings in a batch, whole or as a patch; None if it has none."""
        if not batch.HasField("settings"):
            return None
        message = batch.settings
        text = _decompress(message.text)
        if not message.base:
            return Settings(message.version, text)
        return Patch(
            message.version,
            message.base,
            message.head,
            message.tail,
            text,
            message.checksum,
        )

    def _record_indexes(self, batch: wire.Batch) -> None:
        for name in batch.names:
            self._names[name.index] = name.text
        for engine in batch.engines:
            self._engines[engine.index] = engine
        check_name_count(max(len(self._names), len(self._engines)))

    def _decode_hosts(self, batch: wire.Batch) -> Iterable[Heartbeat]:
        for message in batch.hosts:
            heartbeat = Heartbeat(
                self._names[message.host],
                message.address,
                self._names[message.domain],
                message.incarnation,
                message.counter,
                HOST_STATES[message.state],
                message.settings_version,
            )
            self._hosts[message.host] = heartbeat
            yield heartbeat
        beats = batch.beats
        rows = zip(beats.hosts, beats.counters, beats.lags, strict=True)
        for index, counter, lag in rows:
            last = self._hosts[index]
            yield Heartbeat(
                last.host,
                last.address,
                last.domain,
                last.incarnation,
                counter,
                last.state,
                batch.settings_version - lag,
            )

    def _decode_load(self, batch: wire.Batch) -> Iterable[GossipItem]:
        levels = batch.uses.levels
        for position, target in enumerate(batch.uses.targets):
            start = position * LEVELS_PER_USE
            amounts = [LEVELS[levels[start + i]] for i in range(LEVELS_PER_USE)]
            yield TargetUse(self._partner, self._names[target], *amounts)
        levels = batch.reports.levels
        rows = zip(batch.reports.engines, batch.reports.sequences, strict=True)
        for position, (index, sequence) in enumerate(rows):
            start = position * LEVELS_PER_REPORT
            running, waiting, prefill, pieces = (
                LEVELS[levels[start + i]] for i in range(LEVELS_PER_REPORT)
            )
            engine = self._engines[index]
            yield TargetReport(
                self._names[engine.target],
                engine.incarnation,
                sequence,
                running,
                waiting,
                prefill,
                pieces,
                engine.pieces_total,
                engine.piece_tokens,
                engine.generation,
            )

    def _decode_rows(self, batch: wire.Batch) -> Iterable[GossipItem]:
        names = self._names
        for drain in batch.drains:
            yield Drain(names[drain.target], drain.epoch, drain.ended)
        for ack in batch.drain_acks:
            yield DrainAck(
                names[ack.host],
                ack.incarnation,
                names[ack.target],
                ack.epoch,
                ack.in_flight,
            )
        for suspect in batch.crash_suspects:
            yield CrashSuspect(
                suspect.fingerprint,
                self._decode_crashes(suspect.crashes),
                self._decode_crashes(suspect.cleared),
            )
        for use in batch.limit_uses:
            yield LimitUse(
                names[use.host],
                names[use.caller],
                use.sequence,
                use.used / THOUSANDTHS,
                use.held / THOUSANDTHS,
            )
        for demand in batch.demand_uses:
            yield DemandUse(
                names[demand.host],
                names[demand.service],
                demand.sequence,
                demand.prefill / THOUSANDTHS,
                demand.decode / THOUSANDTHS,
            )
        for orders in batch.orders:
            text = _decompress(orders.text)
            yield Orders(names[orders.domain], orders.version, text)

    def _decode_crashes(self, messages: Iterable[wire.Crash]) -> frozenset[Crash]:
        return frozenset(
            Crash(self._names[message.target], message.incarnation)
            for message in messages
        )


def _decompress(data: bytes) -> str:
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_TEXT_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"decompressed text exceeds {MAX_TEXT_BYTES} bytes")
    return text.decode()
