"""Read items from batches, with the names and entries that the link has had."""

import zlib
from collections.abc import Iterable

from galenapass.peers import peers_pb2 as wire
from galenapass.peers.link_limits import THOUSANDTHS, check_names
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

MAX_TEXT_BYTES = 4 * 1024 * 1024
USE_LEVELS = 3
REPORT_LEVELS = 4
STATE_NAMES = {
    wire.ALIVE: HostState.ALIVE,
    wire.LEAVING: HostState.LEAVING,
    wire.GONE: HostState.GONE,
}


class Decoder:
    """Read items from the batches of one link."""

    __slots__ = ("_engines", "_hosts", "_names", "_partner")

    def __init__(self, partner: str) -> None:
        self._partner = partner
        self._names: dict[int, str] = {}
        self._engines: dict[int, wire.Engine] = {}
        self._hosts: dict[int, Heartbeat] = {}

    def decode(self, batch: wire.Batch) -> list[GossipItem]:
        """Return the items of a batch; raise ValueError when it is malformed."""
        self._learn(batch)
        try:
            return [
                *self._decode_hosts(batch),
                *self._decode_loads(batch),
                *self._decode_rows(batch),
            ]
        except (KeyError, IndexError, zlib.error, UnicodeDecodeError) as error:
            raise ValueError(f"malformed batch of {self._partner}: {error!r}") from None

    def decode_settings(self, batch: wire.Batch) -> Settings | Patch | None:
        """Return the settings of a batch, if it has any."""
        if not batch.HasField("settings"):
            return None
        part = batch.settings
        text = _decompress(part.text)
        if not part.base:
            return Settings(part.version, text)
        return Patch(part.version, part.base, part.head, part.tail, text, part.checksum)

    def _learn(self, batch: wire.Batch) -> None:
        for name in batch.names:
            self._names[name.index] = name.text
        for engine in batch.engines:
            self._engines[engine.index] = engine
        check_names(max(len(self._names), len(self._engines)))

    def _decode_hosts(self, batch: wire.Batch) -> Iterable[Heartbeat]:
        for part in batch.hosts:
            news = Heartbeat(
                self._names[part.host],
                part.address,
                self._names[part.domain],
                part.incarnation,
                part.counter,
                STATE_NAMES[part.state],
                part.settings_version,
            )
            self._hosts[part.host] = news
            yield news
        beats = batch.beats
        rows = zip(beats.hosts, beats.counters, beats.lags, strict=True)
        for index, counter, lag in rows:
            known = self._hosts[index]
            yield Heartbeat(
                known.host,
                known.address,
                known.domain,
                known.incarnation,
                counter,
                known.state,
                batch.settings_version - lag,
            )

    def _decode_loads(self, batch: wire.Batch) -> Iterable[GossipItem]:
        levels = batch.uses.levels
        for place, target in enumerate(batch.uses.targets):
            start = place * USE_LEVELS
            amounts = [LEVELS[levels[start + i]] for i in range(USE_LEVELS)]
            yield TargetUse(self._partner, self._names[target], *amounts)
        levels = batch.reports.levels
        rows = zip(batch.reports.engines, batch.reports.sequences, strict=True)
        for place, (index, sequence) in enumerate(rows):
            start = place * REPORT_LEVELS
            running, waiting, prefill, pieces = (
                LEVELS[levels[start + i]] for i in range(REPORT_LEVELS)
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
                self._read_crashes(suspect.crashes),
                self._read_crashes(suspect.cleared),
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

    def _read_crashes(self, parts: Iterable[wire.Crash]) -> frozenset[Crash]:
        return frozenset(
            Crash(self._names[part.target], part.incarnation) for part in parts
        )


def _decompress(data: bytes) -> str:
    reader = zlib.decompressobj()
    text = reader.decompress(data, MAX_TEXT_BYTES)
    if reader.unconsumed_tail:
        raise ValueError(f"a text of more than {MAX_TEXT_BYTES} bytes")
    return text.decode()
