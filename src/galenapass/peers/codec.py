"""Turn items into batches and back; each link has its own names and heartbeats."""

import zlib
from collections.abc import Callable, Iterable
from typing import Any

from galenapass.peers import peers_pb2 as wire
from galenapass.systems.levels import LEVELS, find_level
from galenapass.systems.spreading import Patch
from galenapass.tables.crashes import Crash
from galenapass.tables.hosts import HostState
from galenapass.tables.peers import (
    CrashSuspect,
    DemandUse,
    Drain,
    DrainAck,
    HostNews,
    Item,
    LimitUse,
    Orders,
    Settings,
    TargetReport,
    TargetUse,
)

__all__ = ["Decoder", "Encoder"]

MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_NAMES = 20_000
USE_LEVELS = 3
REPORT_LEVELS = 4
THOUSANDTHS = 1000
STATES = {
    HostState.ALIVE: wire.ALIVE,
    HostState.LEAVING: wire.LEAVING,
    HostState.GONE: wire.GONE,
}
STATE_NAMES = {number: state for state, number in STATES.items()}


class Encoder:
    """Write items into batches for one link."""

    __slots__ = ("_engines", "_hosts", "_names")

    def __init__(self) -> None:
        self._names: dict[str, int] = {}
        self._engines: dict[tuple[Any, ...], int] = {}
        self._hosts: dict[str, tuple[Any, ...]] = {}

    def encode(self, items: Iterable[Item], settings_version: int) -> wire.Batch:
        """Return one batch with all the items."""
        batch = wire.Batch(settings_version=settings_version)
        for item in items:
            _ENCODERS[type(item)](self, batch, item)
        return batch

    def put_settings(self, batch: wire.Batch, answer: Settings | Patch) -> None:
        """Add a whole text or a patch of it to a batch."""
        batch.settings.version = answer.version
        batch.settings.text = zlib.compress(answer.text.encode())
        if isinstance(answer, Patch):
            batch.settings.base = answer.base
            batch.settings.head = answer.head
            batch.settings.tail = answer.tail
            batch.settings.checksum = answer.checksum

    def _name(self, batch: wire.Batch, text: str) -> int:
        index = self._names.get(text)
        if index is None:
            index = self._names[text] = len(self._names)
            _check_names(index)
            batch.names.add(index=index, text=text)
        return index

    def _engine(self, batch: wire.Batch, report: TargetReport) -> int:
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
            _check_names(index)
            batch.engines.add(
                index=index,
                target=self._name(batch, report.target),
                incarnation=report.incarnation,
                pieces_total=report.pieces_total,
                piece_tokens=report.piece_tokens,
                generation=report.generation,
            )
        return index

    def _encode_host(self, batch: wire.Batch, item: HostNews) -> None:
        """Send a whole entry when it changed, else only the heartbeat."""
        whole = (item.incarnation, item.state, item.address, item.domain)
        if self._hosts.get(item.host) == whole:
            batch.beats.hosts.append(self._name(batch, item.host))
            batch.beats.counters.append(item.counter)
            batch.beats.lags.append(batch.settings_version - item.settings_version)
            return
        self._hosts[item.host] = whole
        batch.hosts.add(
            host=self._name(batch, item.host),
            domain=self._name(batch, item.domain),
            address=item.address,
            incarnation=item.incarnation,
            counter=item.counter,
            state=STATES[item.state],
            settings_version=item.settings_version,
        )

    def _encode_use(self, batch: wire.Batch, item: TargetUse) -> None:
        batch.uses.targets.append(self._name(batch, item.target))
        amounts = (item.requests, item.prefill, item.pieces)
        batch.uses.levels += bytes(find_level(amount) for amount in amounts)

    def _encode_report(self, batch: wire.Batch, item: TargetReport) -> None:
        batch.reports.engines.append(self._engine(batch, item))
        batch.reports.sequences.append(item.sequence)
        amounts = (item.running, item.waiting, item.prefill_queued, item.pieces_used)
        batch.reports.levels += bytes(find_level(amount) for amount in amounts)

    def _encode_drain(self, batch: wire.Batch, item: Drain) -> None:
        batch.drains.add(
            target=self._name(batch, item.target), epoch=item.epoch, ended=item.ended
        )

    def _encode_ack(self, batch: wire.Batch, item: DrainAck) -> None:
        batch.drain_acks.add(
            host=self._name(batch, item.host),
            incarnation=item.incarnation,
            target=self._name(batch, item.target),
            epoch=item.epoch,
            in_flight=item.in_flight,
        )

    def _encode_suspect(self, batch: wire.Batch, item: CrashSuspect) -> None:
        batch.crash_suspects.add(
            fingerprint=item.fingerprint,
            crashes=self._list_crashes(batch, item.crashes),
            cleared=self._list_crashes(batch, item.cleared),
        )

    def _list_crashes(
        self, batch: wire.Batch, crashes: frozenset[Crash]
    ) -> list[wire.Crash]:
        return [
            wire.Crash(
                target=self._name(batch, crash.target), incarnation=crash.incarnation
            )
            for crash in sorted(crashes)
        ]

    def _encode_limit(self, batch: wire.Batch, item: LimitUse) -> None:
        batch.limit_uses.add(
            host=self._name(batch, item.host),
            caller=self._name(batch, item.caller),
            sequence=item.sequence,
            used=round(item.used * THOUSANDTHS),
            held=round(item.held * THOUSANDTHS),
        )

    def _encode_demand(self, batch: wire.Batch, item: DemandUse) -> None:
        batch.demand_uses.add(
            host=self._name(batch, item.host),
            service=self._name(batch, item.service),
            sequence=item.sequence,
            prefill=round(item.prefill * THOUSANDTHS),
            decode=round(item.decode * THOUSANDTHS),
        )

    def _encode_orders(self, batch: wire.Batch, item: Orders) -> None:
        batch.orders.add(
            domain=self._name(batch, item.domain),
            version=item.version,
            text=zlib.compress(item.text.encode()),
        )


_ENCODERS: dict[type, Callable[[Encoder, wire.Batch, Any], None]] = {
    HostNews: Encoder._encode_host,
    TargetUse: Encoder._encode_use,
    TargetReport: Encoder._encode_report,
    Drain: Encoder._encode_drain,
    DrainAck: Encoder._encode_ack,
    CrashSuspect: Encoder._encode_suspect,
    LimitUse: Encoder._encode_limit,
    DemandUse: Encoder._encode_demand,
    Orders: Encoder._encode_orders,
}


class Decoder:
    """Read items from the batches of one link."""

    __slots__ = ("_engines", "_hosts", "_names", "_partner")

    def __init__(self, partner: str) -> None:
        self._partner = partner
        self._names: dict[int, str] = {}
        self._engines: dict[int, wire.Engine] = {}
        self._hosts: dict[int, HostNews] = {}

    def decode(self, batch: wire.Batch) -> list[Item]:
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
        _check_names(max(len(self._names), len(self._engines)))

    def _decode_hosts(self, batch: wire.Batch) -> Iterable[HostNews]:
        for part in batch.hosts:
            news = HostNews(
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
            yield HostNews(
                known.host,
                known.address,
                known.domain,
                known.incarnation,
                counter,
                known.state,
                batch.settings_version - lag,
            )

    def _decode_loads(self, batch: wire.Batch) -> Iterable[Item]:
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

    def _decode_rows(self, batch: wire.Batch) -> Iterable[Item]:
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


def _check_names(count: int) -> None:
    """Refuse to grow without bound; a new link starts with none."""
    if count > MAX_NAMES:
        raise ValueError(f"more than {MAX_NAMES} names on a link: {count}")


def _decompress(data: bytes) -> str:
    reader = zlib.decompressobj()
    text = reader.decompress(data, MAX_TEXT_BYTES)
    if reader.unconsumed_tail:
        raise ValueError(f"a text of more than {MAX_TEXT_BYTES} bytes")
    return text.decode()
