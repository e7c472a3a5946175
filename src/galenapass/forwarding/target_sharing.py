"""Exchange the known targets of a failure domain between its daemons."""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any, Protocol

import orjson
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding.datagrams import decode_target, encode_target
from galenapass.forwarding.known_targets import (
    KnownTargets,
    Sighting,
    TargetList,
    TargetReport,
)
from galenapass.forwarding.peer_calls import PeerConnection, open_call
from galenapass.forwarding.schedulers import Address
from galenapass.json_values import (
    DECODE_ERRORS,
    describe_error,
    read_integer,
    read_name,
)
from galenapass.logs import make_log
from galenapass.tables.targets import Target, TargetState
from galenapass.timeouts import limit_silence

__all__ = [
    "TARGETS_CALL",
    "TargetSharing",
    "TargetSources",
    "decode_targets",
    "encode_targets",
]

TARGETS_CALL = "targets"
# Without any byte of the answer.
ANSWER_TIMEOUT = timedelta(milliseconds=500)
MAX_BODY_BYTES = 2**20
# Above the targets of a domain of any deployment.
MAX_ROWS = 2048
COMPRESSION_LEVEL = 1
# Hosts that are asked one after the other, as some may be lost as well.
MAX_ASKED = 3
CHECK_PERIOD = timedelta(milliseconds=250)
# A scheduler whose call fails once has updates again within this time.
MIN_OUTAGE = timedelta(milliseconds=500)
# Spreads the calls of all hosts of a domain after the loss of the store.
CALL_SPREAD = timedelta(seconds=1.5)
# Time between two calls while the store stays lost, and while no target is known.
CALL_PERIOD = timedelta(seconds=5)
URGENT_CALL_PERIOD = timedelta(milliseconds=500)

# A request waits this long for an answer, if nothing is known.
MAX_WAIT = timedelta(milliseconds=400)

MILLISECOND = timedelta(milliseconds=1)

_log = make_log("targets")


class TargetSources(Protocol):
    """Hosts that may know targets, and what this host needs to know itself."""

    @property
    def has_fresh_view(self) -> bool:
        """Return whether this host or a scheduler of it has updates of the store."""

    @property
    def is_scheduler(self) -> bool:
        """Return whether this host schedules."""

    @property
    def hears_scheduler(self) -> bool:
        """Return whether this host schedules or a scheduler has answered it."""

    def list_target_hosts(self) -> list[str]:
        """Return the hosts to ask for their targets, best first."""

    def find_address(self, host: str) -> Address | None:
        """Return the address on which a host listens, None if unknown."""


class TargetSharing:
    """Exchange of known targets with the other daemons.

    Load pattern: a failure domain that is partitioned, whose schedulers may then be
    lost as well. Each host asks one of them for the targets of the domain as soon as
    none has updates of the store. Nothing is asked while one has. ``on_targets`` is
    called when a list was read.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        known: KnownTargets,
        sources: TargetSources,
        clock: Clock,
        random: Random,
        on_targets: Callable[[], None],
    ):
        self._host = host
        self._domain = domain
        self._known = known
        self._sources = sources
        self._clock = clock
        self._random = random
        self._on_targets = on_targets
        self._lost_at: timedelta | None = None
        self._call_at = timedelta(0)
        self._learning: asyncio.Task[None] | None = None

    async def answer(self, fields: dict[str, Any], connection: PeerConnection) -> None:
        """Send the targets of the caller's domain that this host knows."""
        after = fields.get("age")
        now = self._clock.monotonic()
        since = None if after is None else now - read_integer(after) * MILLISECOND
        report = self._known.make_report(read_name(fields["domain"]))
        listed = report.listed
        if listed is not None and since is not None and listed.viewed_at <= since:
            report = replace(report, listed=None)
        if not fields.get("departures"):
            # The caller is of an earlier build, which does not read them.
            report = replace(report, leaving=(), removed=())
        head, payload = encode_targets(report, now)
        await connection.send(head, payload)

    async def run(self) -> None:
        """Ask for the targets while the store is lost, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD.total_seconds())
            if self.is_due():
                await self.learn()

    def is_due(self) -> bool:
        """Return whether to ask now, as no scheduler has updates of the store."""
        now = self._clock.monotonic()
        self._known.refresh()
        if self._sources.has_fresh_view:
            self._known.forget_list()
        if self._sources.has_fresh_view or not self._sources.hears_scheduler:
            self._lost_at = None
            return False
        if self._lost_at is None:
            self._lost_at = now
            spread = CALL_SPREAD * self._random.random()
            is_known = self._known.find_view_time() is not None
            waits = is_known or not self._sources.is_scheduler
            self._call_at = now + (MIN_OUTAGE + spread if waits else timedelta(0))
        return now >= self._call_at

    async def learn_soon(self, service: str) -> None:
        """Use what is known, and ask hosts if no target of a service is; within 0.4 s.

        Load pattern: many requests at a host that knows no targets. They share one
        call.
        """
        self._known.seed(anew=not self._sources.is_scheduler)
        if self._known.knows_service(service):
            return
        if self._learning is None or self._learning.done():
            self._learning = asyncio.create_task(self.learn())
        await asyncio.wait((self._learning,), timeout=MAX_WAIT.total_seconds())
        self._known.seed()

    async def learn(self) -> None:
        """Ask hosts until one sends a list."""
        for host in self._sources.list_target_hosts()[:MAX_ASKED]:
            fetched = await self._fetch(host)
            if isinstance(fetched, Err):
                _log("targets are not read", peer=host, detail=fetched.err_value)
                continue
            report = fetched.ok_value
            self._known.apply_report(report)
            _log(
                "targets are read",
                peer=host,
                listed=len(report.listed.targets) if report.listed is not None else 0,
                granted=len(report.sightings),
            )
            self._on_targets()
            if self._known.listed_at is not None:
                break
        is_known = self._known.find_view_time() is not None
        period = CALL_PERIOD if is_known else URGENT_CALL_PERIOD
        self._call_at = self._clock.monotonic() + period * self._random.uniform(0.8, 1)

    async def _fetch(self, host: str) -> Result[TargetReport, str]:
        address = self._sources.find_address(host)
        if address is None:
            return Err("its address is unknown")
        age = _encode_age(self._known.listed_at, self._clock.monotonic())
        fields = {"domain": self._domain, "age": age, "departures": True}
        opened = await open_call(address, self._host, TARGETS_CALL, fields)
        if isinstance(opened, Err):
            return opened
        connection = opened.ok_value
        try:
            head = await connection.receive(ANSWER_TIMEOUT)
            length = read_integer(head["length"])
            if not 0 <= length <= MAX_BODY_BYTES:
                return Err(f"the length is {length}")
            async with limit_silence(ANSWER_TIMEOUT):
                payload = await connection.reader.readexactly(length)
            now = self._clock.monotonic()
            return Ok(decode_targets(self._domain, head, payload, now))
        except (OSError, TimeoutError, EOFError, zlib.error, *DECODE_ERRORS) as error:
            return Err(describe_error(error))
        finally:
            connection.abort()


def encode_targets(
    report: TargetReport, now: timedelta
) -> tuple[dict[str, Any], bytes]:
    """Return the head and the payload that tell known targets with their age."""
    listed = report.listed
    rows = [
        [encode_target(target), target.state.value]
        for target in (listed.targets if listed is not None else ())
    ]
    seen = [
        [encode_target(sighting.target), (now - sighting.seen_at) // MILLISECOND]
        for sighting in report.sightings
    ]
    parts: list[Any] = [rows[:MAX_ROWS], seen[:MAX_ROWS]]
    removed = [
        [name, incarnation, (now - removed_at) // MILLISECOND]
        for name, incarnation, removed_at in report.removed
    ]
    if report.leaving or removed:
        parts += [report.leaving[-MAX_ROWS:], removed[-MAX_ROWS:]]
    payload = zlib.compress(orjson.dumps(parts), COMPRESSION_LEVEL)
    head = {
        "age": _encode_age(listed.viewed_at if listed is not None else None, now),
        "granted_age": _encode_age(report.granted_view_at, now),
        "length": len(payload),
    }
    return head, payload


def decode_targets(
    domain: str, head: dict[str, Any], payload: bytes, now: timedelta
) -> TargetReport:
    """Return what ``encode_targets`` told; raise ValueError or another decode error."""
    inflater = zlib.decompressobj()
    body = inflater.decompress(payload, MAX_BODY_BYTES)
    if not inflater.eof:
        raise ValueError("the targets are cut off or too long")
    rows, seen, *more = orjson.loads(body)
    leaving, removed = more or ((), ())
    sightings = tuple(
        Sighting(decode_target(row), now - max(read_integer(age), 0) * MILLISECOND)
        for row, age in seen
    )
    viewed_at = _decode_age(head.get("age"), now)
    listed = None
    if viewed_at is not None:
        targets = tuple(_decode_listed(row, state) for row, state in rows)
        listed = TargetList(domain, targets, viewed_at)
    granted_at = _decode_age(head.get("granted_age"), now)
    return TargetReport(
        listed,
        sightings,
        granted_at,
        tuple((str(name), str(incarnation)) for name, incarnation in leaving),
        tuple(
            (str(name), str(incarnation), now - max(read_integer(age), 0) * MILLISECOND)
            for name, incarnation, age in removed
        ),
    )


def _encode_age(at: timedelta | None, now: timedelta) -> int | None:
    return None if at is None else (now - at) // MILLISECOND


def _decode_age(age: Any, now: timedelta) -> timedelta | None:
    return None if age is None else now - max(read_integer(age), 0) * MILLISECOND


def _decode_listed(row: list[Any], state: str) -> Target:
    return replace(decode_target(row), state=TargetState(state))
