"""Find at which version a stream began, and keep that through the loss of hosts.

While one version alone serves, nothing is told or written: every stream began at it.
Otherwise hosts tell their schedulers the origins of streams in datagrams, and each
scheduler publishes those of its hosts in the store, many at a time.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.host_objects import HostObject
from galenapass.forwarding.hosts import HostObjects
from galenapass.forwarding.origin_messages import (
    OriginQuery,
    OriginReply,
    PublishedOrigins,
    StreamNotice,
    decode_published,
    encode_published,
    split_notice,
)
from galenapass.forwarding.origin_queries import OriginQueries
from galenapass.forwarding.routes import map_resumable
from galenapass.forwarding.service_versions import (
    ANOTHER_SERVICE,
    STREAM_LIFETIME,
    ServiceVersion,
    VersionHistory,
    VersionRow,
)
from galenapass.forwarding.stream_origins import StreamOrigins, StreamRecord
from galenapass.logs import make_log
from galenapass.platform.messages import ObjectListing
from galenapass.tables.targets import Target
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["STREAMS_KIND", "OriginHooks", "OriginSharing"]

STREAMS_KIND = "streams"
# Least time from one notice to the next. What was not told when a host is lost is not
# known afterwards, so the first stream after a pause is told at once.
SHARE_INTERVAL = timedelta(milliseconds=10)
# The same from one write to the next, for the loss of all hosts; a stream lasts a few
# tenths of a second.
PUBLISH_INTERVAL = timedelta(milliseconds=100)
# An object of the store holds 1 MB, a record takes up to 30 bytes of it.
MAX_PUBLISHED = 16_384
# Pause after the store did not answer.
RETRY_DELAY = timedelta(milliseconds=500)
# The store is read this often for a stream that is not known: the host where it began
# may be about to publish it. Each wait for the store is bounded.
READS = 2
READ_INTERVAL = PUBLISH_INTERVAL + timedelta(milliseconds=50)
READ_TIMEOUT = timedelta(milliseconds=500)
# An object that was not written for this long holds no open stream.
REMOVAL_DELAY = STREAM_LIFETIME
# Pause between two looks for objects of hosts that are gone.
REMOVAL_PERIOD = timedelta(minutes=10)
OBSERVE_PERIOD = timedelta(milliseconds=100)
RETRY_AFTER = timedelta(milliseconds=500)

# How the origin of a stream was found, if it was not.
_UNKNOWN = "unknown"

_log = make_log("streams")


@dataclass(slots=True, frozen=True)
class OriginHooks:
    """Callbacks of the sharing of origins.

    ``share`` tells the schedulers a notice, ``ask`` sends a query to some of them and
    returns to how many. ``list_targets`` returns the targets that are in the store now,
    None if it does not answer. ``is_scheduler`` returns whether this host schedules,
    ``is_view_fresh`` whether it receives updates from the store, ``find_epoch`` the
    store's epoch, None if it names none. ``on_need`` is called when records become
    needed or needless, ``on_resumed`` with how the origin of a stream was found.
    """

    share: Callable[[StreamNotice], None]
    ask: Callable[[OriginQuery], int]
    list_targets: Callable[[], Awaitable[Iterable[Target] | None]]
    is_scheduler: Callable[[], bool]
    is_view_fresh: Callable[[], bool]
    find_epoch: Callable[[], int | None] = lambda: None
    on_need: Callable[[], None] = lambda: None
    on_resumed: Callable[[str], None] = lambda outcome: None


class OriginSharing:
    """Origins of streams as this host, its schedulers and the store know them.

    ``needs_records`` is whether more than one version may have begun a stream of some
    service: of a scheduler's own knowledge, or as its scheduler says. ``queries`` are
    those of a host that does not schedule.
    """

    def __init__(
        self,
        fleet: Fleet,
        objects: HostObjects,
        clock: Clock,
        hooks: OriginHooks,
        *,
        is_first_start: bool,
    ):
        self.needs_records = True
        self.queries = OriginQueries(hooks.ask)
        self._fleet = fleet
        self._objects = objects
        self._object = HostObject(STREAMS_KIND, fleet.host, objects)
        self._clock = clock
        self._hooks = hooks
        self._is_first_start = is_first_start
        self._history = VersionHistory()
        self._origins = StreamOrigins()
        # Streams that began here, or at hosts that this one schedules for.
        self._own: dict[int, None] = {}
        self._untold: dict[int, None] = {}
        self._is_flush_due = False
        self._flushed_at = timedelta(0)
        self._is_loaded = False
        self._was_complete = False
        # Versions of the hosts' objects that were read last; those of hosts that are
        # gone name versions that left long ago.
        self._read_versions: dict[str, int] = {}
        self._to_publish = asyncio.Event()
        self._to_remove = asyncio.Event()
        self._read_task: asyncio.Task[timedelta | None] | None = None
        self._read_at = timedelta(0)
        self._routes_version = 0
        self._services_by_route: dict[tuple[str, str], frozenset[str]] = {}
        self._services: frozenset[str] = frozenset()

    # Origins

    def record(
        self, stream: int, origin: ServiceVersion, abandoned_at: timedelta
    ) -> None:
        """Record where a stream began, whose client stops waiting at a time."""
        now = self._clock.monotonic()
        until = min(abandoned_at, now + STREAM_LIFETIME)
        changed = self._origins.record(StreamRecord(stream, origin, until), now)
        if changed is not None:
            self._history.record(origin, now)
            self._add_own([stream], must_tell=True)

    async def resolve(
        self, stream: int, services: Sequence[str]
    ) -> Result[ServiceVersion, Verdict]:
        """Return where a stream began that a client resumes, or why it can't go on.

        ``services`` are those to which the client's route leads.
        """
        asked_at = self._clock.monotonic()
        origin, outcome = self._find_recorded(stream)
        if outcome == _UNKNOWN and not self._hooks.is_scheduler():
            origin = await self.queries.ask(stream, services)
            outcome = _UNKNOWN if origin is None else "asked"
        for _ in range(READS):
            if outcome == _UNKNOWN and self._hooks.is_scheduler():
                read_at = await self._read_again()
                origin, outcome = self._find_recorded(stream)
                is_current = read_at is not None and read_at >= asked_at
                if outcome == _UNKNOWN and is_current and len(services) == 1:
                    origin, outcome = self._find_only_version(services[0])
        if origin is not None and origin.service not in services:
            origin, outcome = None, "the route leads elsewhere"
        self._hooks.on_resumed(outcome)
        return Err(_UNKNOWN_ORIGIN) if origin is None else Ok(origin)

    def _find_recorded(self, stream: int) -> tuple[ServiceVersion | None, str]:
        """Return the origin of a stream, None if unknown, and how it was found."""
        record = self._origins.find(stream, self._clock.monotonic())
        if record is None:
            return None, _UNKNOWN
        return record.origin, "two versions" if record.origin is None else "recorded"

    def _find_only_version(self, service: str) -> tuple[ServiceVersion | None, str]:
        """Return the only version of a service, right after the store was read.

        Without that, a host that was cut off or suspended for a moment would not know
        which versions have come since. A read that was sent before the stream was taken
        up may not show where it began.
        """
        origin = self._find_only(service, self._clock.monotonic())
        return origin, _UNKNOWN if origin is None else "only version"

    def _find_only(self, service: str, now: timedelta) -> ServiceVersion | None:
        """Return the version that began every open stream of a service, if certain."""
        if not (self._hooks.is_scheduler() and self._hooks.is_view_fresh()):
            return None
        return self._history.find_only(service, now)

    # Messages

    def apply_notice(self, notice: StreamNotice, *, from_client: bool) -> None:
        """Apply what another host tells; pass on what a client of this one tells."""
        now = self._clock.monotonic()
        changed = [r for r in notice.records if self._origins.record(r, now)]
        for record in changed:
            if record.origin is not None:
                self._history.record(record.origin, now)
        if from_client:
            self._add_own([r.stream for r in changed], must_tell=True)

    async def answer_query(self, query: OriginQuery) -> OriginReply:
        """Return the reply to another host's query."""
        resolved = await self.resolve(query.stream, query.services)
        return OriginReply(query.stream, resolved.ok())

    def set_need(self, needs_records: bool) -> None:
        """Record whether this host's scheduler needs records."""
        if not self._hooks.is_scheduler():
            self._set_need(needs_records)

    def _add_own(self, streams: Sequence[int], *, must_tell: bool) -> None:
        self._own.update(dict.fromkeys(streams))
        if must_tell and self.needs_records and streams:
            self._untold.update(dict.fromkeys(streams))
            self._to_publish.set()
            self._flush_soon()

    def _flush_soon(self) -> None:
        if self._is_flush_due:
            return
        pause = self._flushed_at + SHARE_INTERVAL - self._clock.monotonic()
        if pause <= timedelta(0):
            self._flush()
            return
        self._is_flush_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(pause.total_seconds(), self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        self._flushed_at = self._clock.monotonic()
        streams, self._untold = self._untold, {}
        for notice in split_notice(
            self._origins.select(streams, self._clock.monotonic())
        ):
            self._hooks.share(notice)

    # Versions

    async def run_observation(self) -> None:
        """Follow the versions of the targets until cancelled."""
        while True:
            self.observe()
            await asyncio.sleep(OBSERVE_PERIOD.total_seconds())

    def observe(self) -> None:
        """Record the versions in service, and whether records are needed now."""
        now = self._clock.monotonic()
        self._origins.forget_ended(now)
        self._own = {s: None for s in self._own if self._origins.find(s, now)}
        if not self._hooks.is_scheduler():
            return
        self._observe_routes(now)
        if self._history.observe(self._fleet.targets.values(), now):
            self._to_publish.set()
        if self._history.is_complete(now) != self._was_complete:
            self._was_complete = not self._was_complete
            self._to_publish.set()
        if self._history.forget_left(now):
            self._to_publish.set()
            self._to_remove.set()
        self._set_need(
            any(self._find_only(name, now) is None for name in self._services)
        )

    def _observe_routes(self, now: timedelta) -> None:
        """Record the services to which a route leads since its last configuration."""
        if self._fleet.routes.version == self._routes_version:
            return
        before, self._services_by_route = (
            self._services_by_route,
            map_resumable(self._fleet.routes),
        )
        self._services = frozenset().union(*set(self._services_by_route.values()))
        self._routes_version = self._fleet.routes.version
        for route, services in self._services_by_route.items():
            for service in services - before.get(route, services):
                self._history.record(ServiceVersion(service, ANOTHER_SERVICE), now)
                self._to_publish.set()

    def _set_need(self, needs_records: bool) -> None:
        if needs_records == self.needs_records:
            return
        self.needs_records = needs_records
        _log("versions of streams are told", needed=needs_records)
        self._hooks.on_need()
        self._add_own(list(self._own), must_tell=True)

    # Store

    async def run_publishing(self) -> None:
        """Load what was published, then publish until cancelled; for schedulers."""
        # What other hosts saw while this one did not schedule.
        self._is_loaded = False
        self._history.restart()
        while not await self._read():
            await asyncio.sleep(RETRY_DELAY.total_seconds())
        published_at = self._clock.monotonic()
        while True:
            await self._to_publish.wait()
            pause = published_at + PUBLISH_INTERVAL - self._clock.monotonic()
            await asyncio.sleep(max(pause.total_seconds(), 0))
            self._to_publish.clear()
            published_at = self._clock.monotonic()
            if not await self._publish():
                self._to_publish.set()
                await asyncio.sleep(RETRY_DELAY.total_seconds())

    async def run_removal(self) -> None:
        """Remove what hosts that are gone have published, until cancelled.

        The versions that they name would make each scheduler that starts uncertain.
        """
        while True:
            await self._to_remove.wait()
            self._to_remove.clear()
            before = await self._find_stale()
            if before:
                await asyncio.sleep(REMOVAL_DELAY.total_seconds())
                unchanged = before.items() & (await self._find_stale()).items()
                for host, version in unchanged:
                    removed = await self._objects.delete(STREAMS_KIND, host, version)
                    _log("object of a host is removed", host=host, done=removed.is_ok())
            await asyncio.sleep(REMOVAL_PERIOD.total_seconds())

    async def _find_stale(self) -> dict[str, int]:
        """Return the versions of objects that name versions which left long ago."""
        now = self._clock.monotonic()
        if not (self._hooks.is_view_fresh() and self._history.is_complete(now)):
            return {}
        listing = await self._objects.list(STREAMS_KIND)
        if isinstance(listing, Err):
            return {}
        recent = {row.origin for row in self._history.list_rows(now)}
        wall = self._clock.now()
        return {
            stored.name: stored.version
            for stored in listing.ok_value.items
            for row in decode_published(stored.body, wall, now).versions
            if stored.name != self._fleet.host and row.origin not in recent
        }

    def publish_again(self) -> None:
        """Publish what a restored store may lack."""
        self._object.version = None
        self._to_publish.set()

    async def _publish(self) -> bool:
        now = self._clock.monotonic()
        own = list(self._own)[-MAX_PUBLISHED:] if self.needs_records else []
        records = self._origins.select(own, now)
        epoch = self._hooks.find_epoch()
        if epoch is not None and not self._history.is_complete(now):
            epoch = -1
        published = PublishedOrigins(records, self._history.list_rows(now), epoch)
        body = encode_published(published, self._clock.now(), now)
        return await self._object.write(body)

    async def _read_again(self) -> timedelta | None:
        """Await the next read of the store, which all that wait share.

        Return when it began, None if the store did not answer in time.
        """
        if self._read_task is None:
            self._read_task = asyncio.create_task(self._read_next())
            self._read_task.add_done_callback(self._end_read)
        task = self._read_task
        await asyncio.wait((task,), timeout=READ_TIMEOUT.total_seconds())
        return task.result() if task.done() and not task.cancelled() else None

    async def _read_next(self) -> timedelta | None:
        now = self._clock.monotonic()
        pause = self._read_at + READ_INTERVAL - now
        await asyncio.sleep(max(pause.total_seconds(), 0))
        began = self._read_at = self._clock.monotonic()
        try:
            is_read = await self._read() and await self._read_targets()
        except Exception as error:
            _log("read failed", error=repr(error))
            return None
        return began if is_read else None

    def _end_read(self, task: asyncio.Task[timedelta | None]) -> None:
        self._read_task = None

    async def _read_targets(self) -> bool:
        """Record the versions in the store, of which no host may have told yet."""
        targets = await self._hooks.list_targets()
        if targets is None:
            return False
        now = self._clock.monotonic()
        for target in targets:
            self._history.record(ServiceVersion(target.service, target.version), now)
        return True

    async def _read(self) -> bool:
        listing = await self._objects.list(STREAMS_KIND)
        if isinstance(listing, Err):
            _log("streams are not read", cause=listing.err_value.cause.value)
            return False
        self._apply_listing(listing.ok_value)
        return True

    def _apply_listing(self, listing: ObjectListing) -> None:
        now, wall = self._clock.monotonic(), self._clock.now()
        published = {
            stored.name: decode_published(stored.body, wall, now)
            for stored in listing.items
        }
        for host, origins in published.items():
            for record in origins.records:
                self._origins.record(record, now)
            if host == self._fleet.host and not self._is_loaded:
                # The next write replaces what this host wrote before its start.
                self._add_own([r.stream for r in origins.records], must_tell=False)
        # A restored store lacks what was written since; a host that has just started
        # writes what it found there.
        marks = {o.complete_epoch for o in published.values() if o.versions}
        is_complete = listing.epoch is not None and listing.epoch in marks
        versions = {stored.name: stored.version for stored in listing.items}
        changed = versions.items() - self._read_versions.items()
        self._read_versions = versions
        if self._is_loaded:
            hosts = {name for name, _ in changed} - {self._fleet.host}
            self._history.hear(_gather_rows(published, hosts), now)
            if is_complete:
                self._history.complete(now)
        else:
            self._is_loaded = True
            rows = _gather_rows(published, published)
            self._history.load(
                rows,
                now,
                is_first_start=self._is_first_start,
                # Earlier builds, and stores that name no epoch, leave no mark.
                is_complete=is_complete or None in marks,
            )
            self._is_first_start = False
            for stored in listing.items:
                if stored.name == self._fleet.host:
                    self._object.version = stored.version
            _log(
                "streams are loaded",
                hosts=len(published),
                versions=len(rows),
                epoch=listing.epoch,
                complete=self._history.is_complete(now),
            )
        self.observe()


def _gather_rows(
    published: Mapping[str, PublishedOrigins], hosts: Iterable[str]
) -> list[VersionRow]:
    """Return the versions that some hosts saw."""
    return [row for host in hosts for row in published[host].versions]


_UNKNOWN_ORIGIN = Verdict(
    Run.NOT_RUN,
    Reason.NO_TARGET,
    "the version that began the stream is not known",
    RETRY_AFTER,
)
