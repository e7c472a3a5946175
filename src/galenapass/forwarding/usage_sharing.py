"""Record the usage of organisations and share it with schedulers of two domains.

A host tells its counts by datagram to a scheduler of its own domain and to one of
another, so that they survive it and either domain. The holder of the duty collects
them from all schedulers over TCP.
"""

import asyncio
import zlib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Protocol

import orjson
import xxhash
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import usage_counts
from galenapass.forwarding.peer_calls import PeerConnection, open_call
from galenapass.forwarding.requests import ForwardedRequest
from galenapass.forwarding.schedulers import Address
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.true_time import TrueTime
from galenapass.forwarding.usage_counts import Source, SourceCounts, UsageTable
from galenapass.forwarding.usage_evidence import Evidence, Restore, merge_evidence
from galenapass.forwarding.usage_messages import (
    UsageNotice,
    UsageReply,
    UsageRow,
    decode_counts,
    decode_evidence,
    encode_counts,
    encode_evidence,
)
from galenapass.json_values import DECODE_ERRORS, describe_error, read_integer
from galenapass.logs import make_log
from galenapass.timeouts import limit_silence

__all__ = [
    "USAGE_CALL",
    "BeginRecorder",
    "SchedulerHosts",
    "UsageSharing",
    "choose_receivers",
]

USAGE_CALL = "usage"
STEP_PERIOD = timedelta(milliseconds=500)
# A scheduler of half a core handles some 35 notices a second beside its other work.
PERIOD_PER_HOST = timedelta(milliseconds=5)
# A target that does not refuse a call by then works on it.
REFUSAL_TIME = timedelta(seconds=1.5)
# Windows that ended longer ago are forgotten: far longer than the store is away.
KEEP_TIME = timedelta(seconds=120)
# Rows that fit into one datagram of usual size, and datagrams to a receiver in a step.
MAX_ROWS = 32
MAX_NOTICES = 40
# Notices without a reply after which another scheduler is told, and for how long.
MAX_UNANSWERED = 3
FAILED_TIME = timedelta(seconds=5)
# Without any byte of the answer to a call.
ANSWER_TIMEOUT = timedelta(milliseconds=600)
# Counts of 1,000 organisations at 410 hosts in twelve windows, decompressed.
MAX_BODY_BYTES = 64 * 2**20

_log = make_log("usage")


class BeginRecorder(Protocol):
    """Recorder of the requests that begin to run."""

    def watch_call(
        self, request: ForwardedRequest, find_sent_at: Callable[[], timedelta | None]
    ) -> None:
        """Expect that a call may turn out to have begun as it was sent."""

    def record_begin(self, request: ForwardedRequest, at: timedelta) -> None:
        """Count a request that began at a monotonic time, once."""

    def end_call(self, request: ForwardedRequest) -> None:
        """Stop expecting the begin of a call."""


class SchedulerHosts(Protocol):
    """Schedulers of all domains, and where hosts listen."""

    def list_designated(self) -> Mapping[str, list[str]]:
        """Return the designated schedulers by failure domain."""

    def list_hosts(self) -> Collection[str]:
        """Return the names of all known hosts."""

    def find_address(self, host: str) -> Address | None:
        """Return the address on which a host listens, None if unknown."""


@dataclass(slots=True)
class _Receiver:
    """What another host is known to have of this process's counts.

    ``through`` is the time that it knows the counts to be complete up to. Once the
    ``pending`` notices are confirmed they are up to ``pending_through``, which becomes
    ``confirmed_through``, for a later notice to tell. ``settled`` holds the number of
    requests of the windows that it knows as they are.
    """

    start: int | None = None
    acknowledged: dict[int, dict[str, int]] = field(default_factory=dict)
    settled: dict[int, int] = field(default_factory=dict)
    through: timedelta = timedelta(0)
    pending: dict[int, UsageNotice] = field(default_factory=dict)
    pending_through: timedelta = timedelta(0)
    confirmed_through: timedelta = timedelta(0)
    unanswered: int = 0
    failed_until: timedelta | None = None


def choose_receivers(
    designated: Mapping[str, list[str]],
    host: str,
    domain: str,
    is_failed: Callable[[str], bool],
) -> list[str]:
    """Return a scheduler of the own domain and one of another, by chance of the name.

    Load pattern: hundreds of hosts. Each scheduler is told by its share of them. With
    one domain, or all others failed, both are of the own one.
    """

    def rotate(names: list[str]) -> list[str]:
        usable = [name for name in names if name != host and not is_failed(name)]
        offset = xxhash.xxh64_intdigest(host.encode()) % max(len(usable), 1)
        return usable[offset:] + usable[:offset]

    own = rotate(designated.get(domain, []))
    others = rotate(
        [
            name
            for other, names in sorted(designated.items())
            if other != domain
            for name in names
        ]
    )
    return [*own[:1], *others[:1], *own[1:], *others[1:]][:2]


class UsageSharing:
    """Usage of the organisations at this host, and what other hosts told of theirs.

    ``start`` is the start of this process in milliseconds since 1970, ``send`` sends a
    datagram to a host. ``on_request`` is called with the organisation of each request
    that is counted.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        start: int,
        window: timedelta,
        clock: Clock,
        hosts: SchedulerHosts,
        send: Callable[[str, UsageNotice | UsageReply], None],
        epochs: StoreEpochs,
        on_request: Callable[[str], None] = lambda organisation: None,
    ):
        self.table = UsageTable()
        self.time = TrueTime(clock)
        self.window = window
        self.source: Source = (host, start)
        self.silent_schedulers: list[str] = []
        self._domain = domain
        self._clock = clock
        self._hosts = hosts
        self._send = send
        self._epochs = epochs
        # What other processes told; what this one knows by itself is added to it.
        self._told = Evidence()
        self._complete_until: timedelta | None = None
        self._on_request = on_request
        self._receivers: dict[str, _Receiver] = {}
        self._sequence = 0
        # Requests that began before the true time was known.
        self._unassigned: list[tuple[timedelta, str]] = []
        self._open_calls: dict[
            ForwardedRequest, tuple[timedelta, Callable[[], timedelta | None]]
        ] = {}

    # Requests

    def watch_call(
        self, request: ForwardedRequest, find_sent_at: Callable[[], timedelta | None]
    ) -> None:
        """Expect that a call may turn out to have begun as it was sent."""
        if request.organisation and not request.has_begun:
            self._open_calls[request] = (self._clock.monotonic(), find_sent_at)

    def record_begin(self, request: ForwardedRequest, at: timedelta) -> None:
        """Count a request that began at a monotonic time, once.

        A stream that its client takes up began before.
        """
        self.end_call(request)
        if request.has_begun or request.is_resumed or not request.organisation:
            return
        request.has_begun = True
        self._on_request(request.organisation)
        self._unassigned.append((at, request.organisation))
        if self.time.is_settled:
            self._assign()

    def end_call(self, request: ForwardedRequest) -> None:
        """Stop expecting the begin of a call."""
        self._open_calls.pop(request, None)

    def _assign(self) -> None:
        """Assign the requests that began to their windows of true time."""
        for at, organisation in self._unassigned:
            window = usage_counts.find_window(at + self.time.offset, self.window)
            if not usage_counts.add_request(
                self.table, self.source, window, organisation
            ):
                _log("request began in a closed window", window=window)
        self._unassigned.clear()

    def _find_through(self) -> timedelta:
        """Return the true time up to which the own counts are complete."""
        if self._unassigned:
            return min(at for at, _ in self._unassigned) + self.time.offset
        begins = (at for at, _ in self._open_calls.values())
        return min(begins, default=self._clock.monotonic()) + self.time.offset

    def _record_own_through(self) -> timedelta:
        """Record up to when the own counts are complete, and return what to tell.

        That is 0 until the time is settled: others could not take back that future time
        is complete, which a clock that is ahead declares.
        """
        through = self._find_through()
        # May be earlier than before, as the time is settled.
        self.table.through[self.source] = through
        return through if self.time.is_settled else timedelta(0)

    def _count_long_calls(self, now: timedelta) -> None:
        """Count the calls that no target has refused for long.

        Load pattern: calls of several seconds, whose windows would be closed before
        their answers come.
        """
        for request, (_, find_sent_at) in list(self._open_calls.items()):
            sent_at = find_sent_at()
            if sent_at is not None and now - sent_at >= REFUSAL_TIME:
                self.record_begin(request, sent_at)

    # Datagrams

    async def run(self) -> None:
        """Share the counts until cancelled."""
        while True:
            await asyncio.sleep(self._find_period().total_seconds())
            self.step()

    def _find_period(self) -> timedelta:
        return max(STEP_PERIOD, PERIOD_PER_HOST * len(self._hosts.list_hosts()))

    def step(self) -> None:
        """Update the true time, and tell two schedulers what they do not have."""
        self.time.update()
        if self.time.is_settled:
            self._assign()
            old = usage_counts.find_window(self.time.now() - KEEP_TIME, self.window)
            usage_counts.forget_windows(self.table, old, self.time.now())
        now = self._clock.monotonic()
        self._count_long_calls(now)
        through = self._record_own_through()
        for name in self._choose_receivers(now):
            self._tell(name, through, now)

    def _choose_receivers(self, now: timedelta) -> list[str]:
        def is_failed(name: str) -> bool:
            receiver = self._receivers.get(name)
            until = None if receiver is None else receiver.failed_until
            return until is not None and now < until

        designated = self._hosts.list_designated()
        return choose_receivers(designated, self.source[0], self._domain, is_failed)

    def _tell(self, name: str, through: timedelta, now: timedelta) -> None:
        receiver = self._receivers.setdefault(name, _Receiver())
        if receiver.unanswered >= MAX_UNANSWERED:
            _log("scheduler does not confirm usage", peer=name)
            receiver.failed_until = now + FAILED_TIME
            receiver.unanswered = 0
            receiver.pending.clear()
            return
        rows = self._list_unacknowledged(receiver)
        is_window_told = receiver.through // self.window >= through // self.window
        # Replies to notices settle the time.
        if not rows and is_window_told and self.time.is_settled:
            return
        receiver.unanswered += 1
        chunks = [rows[n : n + MAX_ROWS] for n in range(0, len(rows), MAX_ROWS)]
        is_whole = len(chunks) <= MAX_NOTICES
        # One of several datagrams may be lost.
        told = through if len(chunks) <= 1 else receiver.confirmed_through
        receiver.pending.clear()
        receiver.pending_through = through if is_whole else receiver.confirmed_through
        for chunk in chunks[:MAX_NOTICES] or [[]]:
            self._sequence += 1
            notice = UsageNotice(
                self.source[1],
                self._sequence,
                now,
                self.time.read_own_clock(),
                told,
                tuple(chunk),
            )
            receiver.pending[notice.sequence] = notice
            self._send(name, notice)

    def _list_unacknowledged(self, receiver: _Receiver) -> list[UsageRow]:
        rows: list[UsageRow] = []
        for window, sources in sorted(self.table.counts.items()):
            counts = sources.get(self.source)
            if counts is None:
                continue
            # Most windows of the last two minutes do not change any more.
            total = sum(counts.values())
            if receiver.settled.get(window) == total:
                continue
            known = receiver.acknowledged.get(window, {})
            new = [(window, n, c) for n, c in counts.items() if known.get(n) != c]
            if not new:
                receiver.settled[window] = total
            rows += new
        for known_windows in (receiver.acknowledged, receiver.settled):
            for window in [w for w in known_windows if w not in self.table.counts]:
                del known_windows[window]
        return rows

    def apply_notice(self, host: str, notice: UsageNotice) -> None:
        """Apply the counts of another host, and reply."""
        source = (host, notice.start)
        for window, organisation, count in notice.rows:
            usage_counts.merge_counts(self.table, source, window, {organisation: count})
        usage_counts.record_through(self.table, source, notice.through)
        self.time.apply_clock(host, notice.own_clock)
        reply = UsageReply(
            self.source[1],
            notice.sequence,
            notice.sent_at,
            self.time.now(),
            self.time.weight,
        )
        self._send(host, reply)

    def apply_reply(self, host: str, reply: UsageReply) -> None:
        """Record what a receiver has, and its time."""
        receiver = self._receivers.setdefault(host, _Receiver())
        if receiver.start != reply.start:
            # Another process, which knows nothing of the former one's table.
            receiver.start = reply.start
            receiver.acknowledged.clear()
            receiver.settled.clear()
            receiver.through = receiver.confirmed_through = timedelta(0)
            receiver.pending_through = timedelta(0)
        notice = receiver.pending.pop(reply.sequence, None)
        if notice is None:
            return
        receiver.unanswered = 0
        receiver.through = max(receiver.through, notice.through)
        for window, organisation, count in notice.rows:
            receiver.acknowledged.setdefault(window, {})[organisation] = count
        if not receiver.pending:
            receiver.confirmed_through = receiver.pending_through
        self.time.apply_reply(host, reply.time, reply.weight, notice.sent_at)

    # Calls

    async def answer(self, fields: dict[str, Any], connection: PeerConnection) -> None:
        """Send the counts of the windows after the last one that is closed."""
        after = read_integer(fields["after"])
        rows = encode_counts(self.list_counts(after))
        payload = zlib.compress(orjson.dumps(rows), 1)
        head = {"length": len(payload), **encode_evidence(self.find_evidence())}
        await connection.send(head, payload)

    def list_counts(self, after: int) -> list[SourceCounts]:
        """Return what to tell of the windows after the last one that is closed."""
        self.prepare_table(after)
        counts = usage_counts.list_counts(self.table, after)
        if self.time.is_settled:
            return counts
        return [item for item in counts if item.source != self.source]

    def prepare_table(self, closed: int) -> None:
        """Complete the own counts; forget the windows whose reports were written."""
        self._told = merge_evidence(self._told, Evidence(closed))
        usage_counts.forget_windows(self.table, closed, self.time.now())
        self._record_own_through()

    def find_evidence(self) -> Evidence:
        """Return what is known here of the reports that were sent."""
        return merge_evidence(self._told, self.find_own_evidence())

    def find_own_evidence(self) -> Evidence:
        """Return what this process knows by its own terms and answers of the store."""
        if not self.time.is_settled:
            return Evidence(self._told.written)
        now = self._clock.monotonic()
        until, seen_at = self._complete_until, self._epochs.seen_at
        epoch, offset = self._epochs.current, self.time.offset
        return Evidence(
            self._told.written,
            timedelta(0) if until is None else min(until, now) + offset,
            None
            if epoch is None or seen_at is None
            else Restore(epoch, seen_at + offset),
        )

    def record_term(self, until: timedelta) -> None:
        """Record that only this process can report until a monotonic time.

        It knows all windows that were reported before.
        """
        self._complete_until = until

    def end_term(self) -> None:
        """Record that another process may report from now on."""
        if self._complete_until is not None:
            self._complete_until = min(self._complete_until, self._clock.monotonic())

    def list_missing(self, end: timedelta) -> list[str]:
        """Return the hosts whose counts up to a true time may be incomplete here."""
        table = self.table
        missing = usage_counts.list_missing(table, end, self.time.now())
        hidden = usage_counts.list_hidden(
            table, self._hosts.list_hosts(), self.silent_schedulers
        )
        return [*missing, *hidden]

    async def collect(self, after: int) -> None:
        """Merge what all schedulers know, and record those that did not answer."""
        self.prepare_table(after)
        names = {n for names in self._hosts.list_designated().values() for n in names}
        names.discard(self.source[0])
        fetched = await asyncio.gather(*(self._fetch(n, after) for n in sorted(names)))
        self.silent_schedulers = [name for name in fetched if name is not None]
        if self.silent_schedulers:
            _log("schedulers do not tell usage", peers=self.silent_schedulers)

    async def _fetch(self, host: str, after: int) -> str | None:
        """Merge what a scheduler knows; return its name if it did not answer."""
        address = self._hosts.find_address(host)
        if address is None:
            return host
        opened = await open_call(address, self.source[0], USAGE_CALL, {"after": after})
        if isinstance(opened, Err):
            return host
        connection = opened.ok_value
        try:
            read = await _read_answer(connection)
        finally:
            connection.abort()
        if isinstance(read, Err):
            _log("usage of a scheduler is unknown", peer=host, error=read.err_value)
            return host
        self._merge_answer(*read.ok_value)
        return None

    def _merge_answer(self, evidence: Evidence, items: list[SourceCounts]) -> None:
        self._told = merge_evidence(self._told, evidence)
        for item in items:
            for window, counts in item.counts.items():
                usage_counts.merge_counts(self.table, item.source, window, counts)
            usage_counts.record_through(self.table, item.source, item.through)


async def _read_answer(
    connection: PeerConnection,
) -> Result[tuple[Evidence, list[SourceCounts]], str]:
    """Return what a scheduler knows of the reports that were sent, and its counts."""
    try:
        head = await connection.receive(ANSWER_TIMEOUT)
        evidence = decode_evidence(head)
        payload = bytearray()
        while len(payload) < read_integer(head["length"]):
            async with limit_silence(ANSWER_TIMEOUT):
                chunk = await connection.reader.read(65_536)
            if not chunk:
                return Err("the answer was cut off")
            payload += chunk
        inflater = zlib.decompressobj()
        body = inflater.decompress(payload, MAX_BODY_BYTES)
        if not inflater.eof:
            return Err("the answer is too large")
        return Ok((evidence, decode_counts(orjson.loads(body))))
    except (OSError, TimeoutError, zlib.error, *DECODE_ERRORS) as error:
        return Err(describe_error(error))
