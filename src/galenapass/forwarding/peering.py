"""Handle messages between daemons: slot requests, grants, pings, announcements."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace
from datetime import timedelta
from typing import Any

from result import Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import announcements, fleet, silent_targets, workload
from galenapass.forwarding.announcements import Announcement, Peers
from galenapass.forwarding.background import BackgroundTasks
from galenapass.forwarding.crash_evidence import CrashReport
from galenapass.forwarding.crash_sharing import (
    CrashMessage,
    PartBlocks,
    SoundParts,
    summarize,
)
from galenapass.forwarding.datagram_endpoint import DatagramEndpoint
from galenapass.forwarding.datagrams import (
    PeerMessage,
    Ping,
    Pong,
    SlotPending,
    SlotRefusal,
    TargetBackOff,
    TargetLeaving,
    TargetRemoved,
    TargetsUnknown,
)
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.known_targets import KnownTargets
from galenapass.forwarding.limit_sharing import LimitNotice, LimitSharing
from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.origin_messages import (
    OriginQuery,
    OriginReply,
    StreamNotice,
)
from galenapass.forwarding.origin_sharing import OriginSharing
from galenapass.forwarding.permits import Permit, PermitRequest, Permits
from galenapass.forwarding.scheduler_selection import SchedulerSelection
from galenapass.forwarding.schedulers import Address
from galenapass.forwarding.scheduling import Scheduler
from galenapass.forwarding.service_versions import UNNAMED_VERSION
from galenapass.forwarding.share_messages import OrganisationWork
from galenapass.forwarding.silent_targets import (
    SilenceReport,
    SilentTargets,
    is_silent,
    list_silent,
    make_report,
)
from galenapass.forwarding.slot_client import SlotClient, SlotHooks
from galenapass.forwarding.slot_requests import Grant, SlotRelease, SlotRequest
from galenapass.forwarding.store_epochs import StoreEpochs
from galenapass.forwarding.suspects import CrashSuspects
from galenapass.forwarding.target_messages import TargetNotice
from galenapass.forwarding.usage_messages import UsageNotice, UsageReply
from galenapass.forwarding.usage_sharing import UsageSharing
from galenapass.forwarding.workload import MeasuredDemand
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target
from galenapass.verdicts import Reason, Verdict

__all__ = ["Peering"]

# A prefill takes 50 to 300 ms, so older announcements would mislead.
BASE_PERIOD = timedelta(milliseconds=100)
# Each further peer costs one datagram a period; a host of 5 Mbit/s and half a core
# can handle about 170 of them a second.
PERIOD_PER_PEER = timedelta(milliseconds=6)
# Announced at least this often, so that silence shows a failure.
HEARTBEAT_PERIOD = timedelta(milliseconds=500)
# Parts that fit into one datagram of usual size beside the work in flight.
MAX_ANNOUNCED_PARTS = 40
# Announced repeatedly for this long, as a datagram may be lost.
LEAVING_REPEAT_TIME = timedelta(seconds=2)
VERSION_REPEAT_TIME = timedelta(milliseconds=500)
ORDER_REPEAT_TIME = timedelta(milliseconds=600)
# Schedulers are told the blocked parts again this often: one that starts knows none.
BLOCKS_PERIOD = timedelta(seconds=1)
# Schedulers are told the targets that do not answer this often, while there are any.
SILENCE_PERIOD = timedelta(milliseconds=200)
# A slot request that is not decided by then is answered as pending.
PENDING_DELAY = timedelta(milliseconds=20)
# Schedulers that are told and asked where streams began: one may be lost.
ORIGIN_SCHEDULERS = 2

# Schedulers that a host which schedules for itself tells of removed targets: those that
# it may use again.
TOLD_SCHEDULERS = 2

_log = make_log("peers")


class Peering:
    """Message exchange of one daemon with the other daemons.

    ``sequence`` is the number before that of the first announcement, higher than any
    number of earlier starts. ``on_version`` is called with the version of the
    configuration that a peer has and that peer, ``on_announcement`` with each
    announcement that is newer than the last of its host. ``list_split_goals`` returns
    the prefill shares to announce, ``on_silent`` is called with targets that a peer
    cannot reach and that this daemon has not been in contact with lately. ``learn``
    finds out the targets of a service that other hosts know.
    """

    def __init__(
        self,
        tables: Fleet,
        clock: Clock,
        sequence: int,
        scheduler: Scheduler,
        scheduler_selection: SchedulerSelection,
        on_version: Callable[[int, str], None],
        list_split_goals: Callable[[], Iterable[tuple[str, float]]],
        on_announcement: Callable[[Announcement], None],
        permits: Permits,
        epochs: StoreEpochs,
        suspects: CrashSuspects,
        origins: OriginSharing,
        on_silent: Callable[[list[Target]], None] = lambda targets: None,
        known_targets: KnownTargets | None = None,
        learn: Callable[[str], Coroutine[Any, Any, None]] | None = None,
    ):
        self.endpoint = DatagramEndpoint(tables.host, clock, self._receive)
        self._known_targets = known_targets or KnownTargets(tables, clock)
        self.slot_client = SlotClient(
            scheduler,
            scheduler_selection,
            self._send,
            clock,
            SlotHooks(
                tables.knows_service,
                learn or self._seed_targets,
                lambda host: self._send(host, self._make_ping()),
            ),
        )
        self._fleet = tables
        self._clock = clock
        self._sequence = sequence
        self._scheduler = scheduler
        self._scheduler_selection = scheduler_selection
        self._on_version = on_version
        self._list_split_goals = list_split_goals
        self._on_announcement = on_announcement
        self._peers: Peers = {}
        self._limit_sharing = LimitSharing(tables.rate_limits, clock)
        self._permits = permits
        self._epochs = epochs
        self._suspects = suspects
        self._origins = origins
        self._on_silent = on_silent
        self._background = BackgroundTasks("peers")
        # Hosts whose builds know software versions.
        self._version_aware: set[str] = set()
        self._blocks_sent_at = timedelta(0)
        permits.connect(self, self._send, scheduler.wake)
        # None if the settings ask for no reports of usage.
        self.usage: UsageSharing | None = None
        self._unannounced_parts: deque[tuple[str, PartDigest]] = deque(maxlen=4000)
        self._leaving: dict[tuple[str, str], timedelta] = {}
        self._orders: dict[str, tuple[Role, timedelta]] = {}
        self._silence_reports: dict[str, SilenceReport] = {}
        self._silence_sent_at = timedelta(0)
        self._told_silence = False
        self._announced_state: object = None
        self._announced_at = timedelta(0)
        self._newest_version = 0
        self._version_announced_at = -VERSION_REPEAT_TIME
        self._handlers: dict[type, Callable[[str, Address, Any], None]] = {
            SlotRequest: self._submit_slot_request,
            SlotRelease: lambda host, address, release: self._scheduler.end(release),
            Grant: self._apply_reply,
            SlotRefusal: self._apply_reply,
            SlotPending: self._apply_reply,
            TargetsUnknown: self._apply_reply,
            Ping: self._apply_ping,
            Pong: self._apply_pong,
            TargetLeaving: self._apply_leaving,
            TargetRemoved: self._apply_removed,
            TargetBackOff: self._apply_back_off,
            Announcement: self._apply_announcement,
            PermitRequest: lambda host, address, request: self._permits.apply_request(
                host, request
            ),
            Permit: lambda host, address, permit: self._permits.apply_permit(permit),
            CrashReport: self._apply_crash_message,
            SoundParts: self._apply_crash_message,
            PartBlocks: self._apply_crash_message,
            StreamNotice: self._apply_stream_notice,
            OriginQuery: self._answer_origin_query,
            SilentTargets: self._apply_silent,
            UsageNotice: lambda host, address, notice: self._apply_usage(host, notice),
            UsageReply: lambda host, address, reply: self._apply_usage(host, reply),
            OrganisationWork: self._apply_organisation_work,
            OriginReply: lambda host, address, reply: self._origins.queries.apply_reply(
                reply
            ),
        }

    def send_usage(self, host: str, message: UsageNotice | UsageReply) -> None:
        """Tell another host of the usage of organisations."""
        self._send(host, message)

    def announce_parts(self, target: Target, parts: tuple[PartDigest, ...]) -> None:
        """Announce prompt parts whose prefill a target begins."""
        self._unannounced_parts.extend((target.id, part) for part in parts)

    def announce_leaving(self, target: Target) -> None:
        """Announce that a target reported that it leaves."""
        leaving = TargetLeaving(target.id, target.incarnation)
        self._leaving[leaving.target, leaving.incarnation] = self._clock.monotonic()
        if not self._scheduler_selection.is_scheduler:
            for host in self._scheduler_selection.list_schedulers()[:1]:
                self._send(host, leaving)
            return
        self._tell_clients(leaving)

    def announce_removed(self, target: Target, revision: int) -> None:
        """Announce that the store removed the entry of a target.

        The ``revision`` is that of the last change of it that this host knows.

        Load pattern: a store that rejects individual schedulers, which go on with the
        targets that they know.
        """
        removed = TargetRemoved(target.id, target.incarnation, revision)
        if not self._scheduler_selection.serves_other_hosts:
            for host in self._scheduler_selection.list_schedulers()[:TOLD_SCHEDULERS]:
                self._send(host, removed)
            return
        for address in self._scheduler_selection.list_peers(self._peers):
            self.endpoint.send(address, removed)

    def _tell_clients(self, leaving: TargetLeaving) -> None:
        for address in self._scheduler_selection.list_clients():
            self.endpoint.send(address, leaving)

    def share_notice(self, host: str, target: Target, notice: TargetNotice) -> None:
        """Tell a host that connects to a target for this one what the target wants."""
        if notice.leaving:
            self._send(host, TargetLeaving(target.id, target.incarnation))
        if notice.back_off is not None:
            self._send(host, TargetBackOff(target.id, notice.back_off))

    def announce_order(self, target: Target, role: Role) -> None:
        """Announce that an engine accepted an order of a role."""
        self._orders[target.id] = (role, self._clock.monotonic())

    def announce_state(self) -> None:
        """Tell the schedulers the rate limits of targets and the store's epoch."""
        if self._scheduler_selection.is_scheduler:
            self._send_state(self._scheduler_selection.list_peers(self._peers))
            return
        for host in self._scheduler_selection.list_schedulers()[:1]:
            self._send(host, self._make_ping())

    def share_crash_message(self, message: CrashMessage) -> None:
        """Tell the schedulers what is known of crashes, and clients a summary."""
        if not self._scheduler_selection.is_scheduler:
            for host in self._scheduler_selection.list_schedulers()[:2]:
                self._send(host, message)
            return
        for address in self._scheduler_selection.list_peers(self._peers):
            self.endpoint.send(address, message)
        self._summarize_for_clients(message)

    def _summarize_for_clients(self, message: CrashMessage) -> None:
        summary = summarize(message)
        if summary is None:
            return
        for client in self._scheduler_selection.list_clients():
            self.endpoint.send(client, summary)

    def share_streams(self, notice: StreamNotice) -> None:
        """Tell the schedulers where streams began."""
        if not self._scheduler_selection.is_scheduler:
            hosts = self._scheduler_selection.list_schedulers()
            for host in hosts[:ORIGIN_SCHEDULERS]:
                self._send(host, notice)
            return
        for address in self._scheduler_selection.list_peers(self._peers):
            self.endpoint.send(address, notice)

    def ask_origin(self, query: OriginQuery) -> int:
        """Ask schedulers where a stream began; return how many."""
        hosts = self._scheduler_selection.list_schedulers()[:ORIGIN_SCHEDULERS]
        for host in hosts:
            self._send(host, query)
        return len(hosts)

    def list_issuers(self) -> list[str]:
        """Return the schedulers that may issue permits, this host included.

        A host that schedules for itself only hears no other scheduler.
        """
        if not self._scheduler_selection.serves_other_hosts:
            return [self._fleet.host]
        return [self._fleet.host, *(self._limit_sharing.aware & set(self._peers))]

    def find_issued_share(self) -> float:
        """Return the share of a limit that belongs to the schedulers heard."""
        issuers = len(self.list_issuers())
        known = self._scheduler_selection.count_schedulers(self._peers)
        return issuers / max(issuers, known)

    def measure_demand(self, service: str) -> MeasuredDemand:
        """Return the demand for a service over all schedulers."""
        own = self._measure_own(service)
        return workload.sum_demand(
            service, [*own, *announcements.list_demand(self._peers, service)]
        )

    def has_crashed(self, target: Target, min_silence: timedelta) -> bool:
        """Return whether the schedulers agree that a target crashed."""
        if not self._silence_reports:
            return False
        now = self._clock.monotonic()
        reports = [
            report
            for host, report in self._silence_reports.items()
            if host in self._peers
        ]
        reports.append(self._report_own(target, now))
        hosts = 1 + len(self._peers)
        return silent_targets.has_crashed(target, reports, hosts, min_silence, now)

    def _report_own(self, target: Target, now: timedelta) -> SilenceReport:
        load = self._fleet.loads.get(target.id)
        at = load.silent_since if load is not None and is_silent(load, now) else None
        since = {(target.id, target.incarnation): at} if at is not None else {}
        return SilenceReport(self._fleet.domain, since, now)

    async def run_pings(self) -> None:
        """Ping the schedulers of this daemon until cancelled."""
        while True:
            for host in self._scheduler_selection.list_due_pings():
                self._send(host, self._make_ping())
            for host in self._scheduler_selection.list_due_probes():
                self._send(host, replace(self._make_ping(), is_probe=True))
            await asyncio.sleep(self._scheduler_selection.ping_interval.total_seconds())

    def request_versions(self) -> None:
        """Ask schedulers for the newest version now, without becoming their client."""
        for host in self._scheduler_selection.list_extra_pings():
            self._send(host, replace(self._make_ping(), is_probe=True))

    async def run_announcements(self) -> None:
        """Send announcements until cancelled, while scheduling for other hosts."""
        while True:
            addresses = self._scheduler_selection.list_peers(self._peers)
            period = BASE_PERIOD + PERIOD_PER_PEER * len(addresses)
            await asyncio.sleep(period.total_seconds())
            now = self._clock.monotonic()
            if self._scheduler_selection.serves_other_hosts:
                self._announce(addresses, now)
                if self._limit_sharing.is_due() or self._epochs.is_new:
                    self._send_state(addresses)
                self._send_blocks(addresses, now)
                self._send_silent(addresses, now)
                self._send_organisation_work(addresses)
            if now - self._version_announced_at < VERSION_REPEAT_TIME:
                self._send_state(self._scheduler_selection.list_clients())
            for name in announcements.forget_silent(self._peers, now):
                self._silence_reports.pop(name, None)
                self._scheduler.shares.forget_peer(name)
                _log("peer is silent", peer=name)
            self._scheduler.set_peer_count(len(self._peers))
            self._scheduler.expire()

    def announce_version(self) -> None:
        """Send the configuration version and store state to this daemon's clients."""
        self._version_announced_at = self._clock.monotonic()
        self.announce_view()

    def announce_view(self) -> None:
        """Tell this daemon's clients once whether it knows targets."""
        for address in self._scheduler_selection.list_clients():
            self.endpoint.send(address, self._make_pong())

    def _announce(self, addresses: list[Address], now: timedelta) -> None:
        work = announcements.describe_work(self._fleet)
        self._leaving = {
            p: at for p, at in self._leaving.items() if now - at < LEAVING_REPEAT_TIME
        }
        self._orders = {
            name: order
            for name, order in self._orders.items()
            if now - order[1] < ORDER_REPEAT_TIME
        }
        orders = tuple((name, role) for name, (role, _) in self._orders.items())
        state = (work, self._find_newest_version(), tuple(self._leaving), orders)
        has_changed = state != self._announced_state or bool(self._unannounced_parts)
        if not addresses or (
            not has_changed and now - self._announced_at < HEARTBEAT_PERIOD
        ):
            return
        self._announced_state, self._announced_at = state, now
        services = self._scheduler.demand
        demand = [item for name in services for item in self._measure_own(name)]
        self._sequence += 1
        announcement = Announcement(
            self._fleet.host,
            self._sequence,
            self._find_newest_version(),
            work,
            tuple(self._pop_parts()),
            tuple(demand),
            tuple(self._leaving),
            orders,
            tuple(self._list_split_goals()),
        )
        for address in addresses:
            self.endpoint.send(address, announcement)

    def _send_state(self, addresses: list[Address]) -> None:
        self._limit_sharing.record_share()
        pong = self._make_pong()
        for address in addresses:
            self.endpoint.send(address, pong)

    def _send_blocks(self, addresses: list[Address], now: timedelta) -> None:
        if now - self._blocks_sent_at < BLOCKS_PERIOD:
            return
        self._blocks_sent_at = now
        for blocks in self._suspects.list_blocks():
            for address in addresses:
                self.endpoint.send(address, blocks)

    def _send_silent(self, addresses: list[Address], now: timedelta) -> None:
        """Tell the schedulers which targets do not answer, and once that all do."""
        if now - self._silence_sent_at < SILENCE_PERIOD:
            return
        silent = list_silent(self._fleet, now)
        if not silent.targets and not self._told_silence:
            return
        self._silence_sent_at, self._told_silence = now, bool(silent.targets)
        for address in addresses:
            self.endpoint.send(address, silent)

    def _send_organisation_work(self, addresses: list[Address]) -> None:
        """Tell the schedulers the work of organisations while capacity is short.

        It is a message of its own, as earlier builds read no longer announcements.
        """
        message = self._scheduler.shares.make_message(
            self._sequence, self._scheduler.list_waiting()
        )
        if message is None:
            return
        self._sequence += 1
        message = replace(message, sequence=self._sequence)
        for address in addresses:
            self.endpoint.send(address, message)

    def _measure_own(self, service: str) -> list[MeasuredDemand]:
        measured = self._scheduler.demand.get(service)
        if measured is None:
            return []
        return [workload.measure_demand(service, measured, self._clock.monotonic())]

    def _pop_parts(self) -> list[tuple[str, PartDigest]]:
        count = min(len(self._unannounced_parts), MAX_ANNOUNCED_PARTS)
        return [self._unannounced_parts.popleft() for _ in range(count)]

    def _send(self, host: str, message: PeerMessage) -> None:
        address = self._scheduler_selection.find_address(host)
        if isinstance(message, SlotRequest) and host not in self._version_aware:
            message = replace(message, version=None, knows_versions=False)
        if address is not None:
            self.endpoint.send(address, message)

    async def _seed_targets(self, service: str) -> None:
        self._known_targets.seed(anew=not self._scheduler_selection.is_scheduler)

    # Messages

    def _receive(self, host: str, address: Address, message: PeerMessage) -> None:
        self._scheduler_selection.record_contact(host, address)
        self._handlers[type(message)](host, address, message)

    def _submit_slot_request(
        self, host: str, address: Address, slot_request: SlotRequest
    ) -> None:
        self._scheduler_selection.record_client(host, address)
        if slot_request.knows_versions:
            self._record_awareness(host, True)

        def answer(result: Result[Grant, Verdict]) -> None:
            if isinstance(result, Ok):
                grant = result.ok_value
                if host not in self._version_aware:
                    grant = _replace_version(grant, "")
                self.endpoint.send(address, grant)
            elif result.err_value.reason is Reason.TARGETS_UNKNOWN:
                self.endpoint.send(address, TargetsUnknown(slot_request.ticket))
            else:
                self.endpoint.send(
                    address, SlotRefusal(slot_request.ticket, result.err_value)
                )

        def report_pending() -> None:
            if self._scheduler.is_waiting(slot_request.ticket):
                self.endpoint.send(address, SlotPending(slot_request.ticket))

        self._scheduler.submit(slot_request, answer)
        loop = asyncio.get_running_loop()
        loop.call_later(PENDING_DELAY.total_seconds(), report_pending)

    def _apply_reply(
        self,
        host: str,
        address: Address,
        message: Grant | SlotRefusal | SlotPending | TargetsUnknown,
    ) -> None:
        self._scheduler_selection.record_answer(host)
        if isinstance(message, Grant):
            if not self._names_version(host, message):
                message = _replace_version(message, UNNAMED_VERSION)
            viewed_at = self._scheduler_selection.find_view_time(host)
            self._known_targets.record_grant(message.target, viewed_at)
        self.slot_client.apply_reply(host, message)

    def _names_version(self, host: str, grant: Grant) -> bool:
        """Return whether a grant tells its target's version, which may be empty."""
        return host in self._version_aware or grant.target.version != ""

    def _apply_stream_notice(
        self, host: str, address: Address, notice: StreamNotice
    ) -> None:
        self._origins.apply_notice(notice, from_client=host not in self._peers)

    def _answer_origin_query(
        self, host: str, address: Address, query: OriginQuery
    ) -> None:
        async def answer() -> None:
            self.endpoint.send(address, await self._origins.answer_query(query))

        self._background.spawn(answer())

    def _record_awareness(self, host: str, knows_versions: bool) -> None:
        if knows_versions:
            self._version_aware.add(host)
        else:
            self._version_aware.discard(host)

    def _apply_ping(self, host: str, address: Address, ping: Ping) -> None:
        self._record_awareness(host, ping.knows_versions)
        if not ping.is_probe:
            self._scheduler_selection.record_client(host, address)
        self._apply_limits(host, ping.limits)
        self._epochs.observe(ping.epoch, host)
        self._apply_version(ping.version, host)
        self.endpoint.send(address, self._make_pong())
        for blocks in self._suspects.list_blocks():
            self.endpoint.send(address, blocks)

    def _apply_crash_message(
        self, host: str, address: Address, message: CrashMessage
    ) -> None:
        """Apply a message, and pass on what is new to those who may not have it."""
        if not self._suspects.apply(message):
            return
        if host not in self._peers and self._scheduler_selection.is_scheduler:
            self.share_crash_message(message)
        else:
            self._summarize_for_clients(message)

    def _apply_pong(self, host: str, address: Address, pong: Pong) -> None:
        self._scheduler_selection.record_pong(
            host, pong.is_fresh, pong.knows_targets, pong.view_age
        )
        self._record_awareness(host, pong.knows_versions)
        if host in self._scheduler_selection.list_schedulers()[:1]:
            self._origins.set_need(pong.needs_records)
        self._apply_limits(host, pong.limits)
        self._epochs.observe(pong.epoch, host)
        self._apply_version(pong.version, host)

    def _apply_usage(self, host: str, message: UsageNotice | UsageReply) -> None:
        if self.usage is None:
            return
        if isinstance(message, UsageNotice):
            self.usage.apply_notice(host, message)
        else:
            self.usage.apply_reply(host, message)

    def _apply_silent(self, host: str, address: Address, silent: SilentTargets) -> None:
        now = self._clock.monotonic()
        self._silence_reports.pop(host, None)
        if silent.targets:
            self._silence_reports[host] = make_report(silent, now)
        names = [name for name, _, _ in silent.targets]
        unconfirmed = silent_targets.list_unconfirmed(self._fleet, names, now)
        if unconfirmed:
            self._on_silent(unconfirmed)

    def _apply_leaving(
        self, host: str, address: Address, leaving: TargetLeaving
    ) -> None:
        if not fleet.record_leaving(self._fleet, leaving.target, leaving.incarnation):
            return
        self._leaving[leaving.target, leaving.incarnation] = self._clock.monotonic()
        self._scheduler.wake()
        if self._scheduler_selection.is_scheduler:
            self._tell_clients(leaving)

    def _apply_removed(
        self, host: str, address: Address, removed: TargetRemoved
    ) -> None:
        """Apply a removal, unless this host knows better.

        It follows the store, has seen a later entry, or is in the target's domain and
        the sender is not: the entries of a domain that is cut off expire.
        """
        known_revision = self._fleet.entry_revisions.get(removed.target, 0)
        if self._scheduler_selection.is_fresh or known_revision > removed.revision:
            return
        known, domain = self._fleet.targets.get(removed.target), self._fleet.domain
        if known is None:
            return
        is_near = self._scheduler_selection.find_domain(host) == domain
        if known.domain == domain and not is_near:
            return
        now = self._clock.monotonic()
        if fleet.record_removal(self._fleet, removed.target, removed.incarnation, now):
            _log("target is removed", target=removed.target, peer=host)

    def _apply_back_off(
        self, host: str, address: Address, back_off: TargetBackOff
    ) -> None:
        until = self._clock.monotonic() + back_off.duration
        fleet.record_back_off(self._fleet, back_off.target, until)

    def _apply_announcement(
        self, host: str, address: Address, announcement: Announcement
    ) -> None:
        now = self._clock.monotonic()
        if announcements.apply_announcement(
            self._fleet, self._peers, announcement, now
        ):
            self._apply_version(announcement.version, host)
            self._on_announcement(announcement)
            self._scheduler.wake()

    def _apply_organisation_work(
        self, host: str, address: Address, message: OrganisationWork
    ) -> None:
        if self._scheduler.shares.apply_message(host, message):
            self._scheduler.wake()

    def _apply_limits(self, host: str, limits: tuple[LimitNotice, ...] | None) -> None:
        if self._limit_sharing.apply(host, limits):
            self._scheduler.wake()

    def _apply_version(self, version: int, host: str) -> None:
        """Report a newer configuration to clients, even if it cannot be read here.

        Load pattern: a store that rejects the schedulers of a host but not the host.
        """
        self._on_version(version, host)
        if version > self._find_newest_version():
            self._newest_version = version
            self.announce_version()

    def _find_newest_version(self) -> int:
        return max(self._newest_version, self._fleet.routes.version)

    def _make_pong(self) -> Pong:
        notices = self._limit_sharing.next_notices()
        is_fresh = self._scheduler_selection.is_fresh
        viewed_at = self._known_targets.find_view_time()
        age = timedelta(0)
        if viewed_at is not None:
            age = self._clock.monotonic() - viewed_at
        return Pong(
            self._find_newest_version(),
            is_fresh,
            notices,
            self._epochs.current,
            needs_records=self._origins.needs_records,
            knows_targets=viewed_at is not None,
            view_age=age,
        )

    def _make_ping(self) -> Ping:
        notices = self._limit_sharing.next_notices()
        return Ping(self._find_newest_version(), notices, self._epochs.current)


def _replace_version(grant: Grant, version: str) -> Grant:
    return replace(grant, target=replace(grant.target, version=version))
