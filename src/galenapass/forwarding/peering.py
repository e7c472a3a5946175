"""Act on what other daemons say: asks, grants, pings and announcements."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from result import Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import announcements, fleet, workload
from galenapass.forwarding.announcements import Announcement, Peers
from galenapass.forwarding.datagram_endpoint import Port
from galenapass.forwarding.datagrams import (
    PeerMessage,
    Ping,
    Pong,
    SlotPending,
    SlotRefusal,
    TargetLeaving,
)
from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.scheduler_selection import SchedulerSelection
from galenapass.forwarding.schedulers import Address
from galenapass.forwarding.scheduling import Scheduler
from galenapass.forwarding.slot_client import SlotClient
from galenapass.forwarding.slot_requests import Grant, SlotRelease, SlotRequest
from galenapass.forwarding.workload import MeasuredDemand
from galenapass.logs import make_log
from galenapass.tables.targets import Role, Target
from galenapass.verdicts import Verdict

__all__ = ["Peering"]

# Prompts are read in 50 to 300 ms; older announcements would mislead.
PERIOD = timedelta(milliseconds=100)
# Each further peer costs a datagram a period; a host of 5 Mbit/s and half a core
# bears about 170 of them a second.
PERIOD_PER_PEER = timedelta(milliseconds=6)
# Told when nothing changed, so that silence means something.
HEARTBEAT = timedelta(milliseconds=500)
# What fits into one datagram of a network's usual size beside the work in flight.
MOST_READS = 40
# Told again this long, as a datagram may be lost.
LEFT_TIME = timedelta(seconds=2)
ORDER_TIME = timedelta(milliseconds=600)
# An ask that is not answered by then is told to wait.
WAITS_DELAY = timedelta(milliseconds=20)

_log = make_log("peers")


class Peering:
    """Hold one daemon's part in what daemons tell each other.

    ``on_version`` is called with a version of the configuration that a peer has,
    ``on_announcement`` with each announcement that is newer than the last of its host.
    ``list_split_goals`` gives the shares of engines to tell the others.
    """

    def __init__(
        self,
        tables: Fleet,
        clock: Clock,
        number: int,
        scheduler: Scheduler,
        scheduler_selection: SchedulerSelection,
        on_version: Callable[[int], None],
        list_split_goals: Callable[[], Iterable[tuple[str, float]]],
        on_announcement: Callable[[Announcement], None],
    ):
        self.port = Port(tables.host, clock, self._receive)
        self.slot_client = SlotClient(scheduler, scheduler_selection, self._send, clock)
        self._fleet = tables
        self._clock = clock
        self._number = number
        self._scheduler = scheduler
        self._scheduler_selection = scheduler_selection
        self._on_version = on_version
        self._list_split_goals = list_split_goals
        self._on_announcement = on_announcement
        self._peers: Peers = {}
        self._parts: deque[tuple[str, PartDigest]] = deque(maxlen=4000)
        self._left: dict[tuple[str, str], timedelta] = {}
        self._orders: dict[str, tuple[Role, timedelta]] = {}
        self._told: object = None
        self._told_at = timedelta(0)
        self._newest = 0
        self._actions: dict[type, Callable[[str, Address, Any], None]] = {
            SlotRequest: self._submit_slot_request,
            SlotRelease: lambda host, address, end: self._scheduler.end(end),
            Grant: self._apply_reply,
            SlotRefusal: self._apply_reply,
            SlotPending: self._apply_reply,
            Ping: self._take_ping,
            Pong: self._take_pong,
            TargetLeaving: self._apply_leaving,
            Announcement: self._apply_announcement,
        }

    def announce_parts(self, target: Target, parts: tuple[PartDigest, ...]) -> None:
        """Keep parts that a target begins to read for the next announcement."""
        self._parts.extend((target.id, read) for read in parts)

    def announce_leaving(self, target: Target) -> None:
        """Tell the others that a target said that it leaves."""
        left = TargetLeaving(target.id, target.incarnation)
        self._left[left.target, left.incarnation] = self._clock.monotonic()
        if not self._scheduler_selection.is_scheduler:
            for host in self._scheduler_selection.list_schedulers()[:1]:
                self._send(host, left)

    def announce_order(self, target: Target, role: Role) -> None:
        """Tell the others that an engine accepted an order."""
        self._orders[target.id] = (role, self._clock.monotonic())

    def measure_demand(self, service: str) -> MeasuredDemand:
        """Return the demand for a service that all schedulers see together."""
        own = self._measure_own(service)
        return workload.sum_demand(
            service, [*own, *announcements.list_demand(self._peers, service)]
        )

    async def run_pings(self) -> None:
        """Ask the schedulers of this daemon for ever whether they are there."""
        while True:
            for host in self._scheduler_selection.list_due_pings():
                self._send(host, Ping(self._find_newest()))
            await asyncio.sleep(self._scheduler_selection.ping_pause.total_seconds())

    async def run_announcements(self) -> None:
        """Announce for ever, while this daemon schedules."""
        while True:
            addresses = self._scheduler_selection.list_peers(self._peers)
            period = PERIOD + PERIOD_PER_PEER * len(addresses)
            await asyncio.sleep(period.total_seconds())
            now = self._clock.monotonic()
            if self._scheduler_selection.is_shared:
                self._announce(addresses, now)
            for name in announcements.forget_silent(self._peers, now):
                _log("peer is silent", peer=name)
            self._scheduler.set_peer_count(len(self._peers))
            self._scheduler.expire()

    def announce_version(self) -> None:
        """Tell the hosts that this daemon schedules for what it knows of the store."""
        for address in self._scheduler_selection.list_clients():
            self.port.send(address, self._make_pong())

    def _announce(self, addresses: list[Address], now: timedelta) -> None:
        work = announcements.describe_work(self._fleet)
        self._left = {p: at for p, at in self._left.items() if now - at < LEFT_TIME}
        self._orders = {
            name: order
            for name, order in self._orders.items()
            if now - order[1] < ORDER_TIME
        }
        orders = tuple((name, role) for name, (role, _) in self._orders.items())
        state = (work, self._find_newest(), tuple(self._left), orders)
        is_news = state != self._told or bool(self._parts)
        if not addresses or (not is_news and now - self._told_at < HEARTBEAT):
            return
        self._told, self._told_at = state, now
        services = self._scheduler.demand
        known = [item for name in services for item in self._measure_own(name)]
        self._number += 1
        announcement = Announcement(
            self._fleet.host,
            self._number,
            self._find_newest(),
            work,
            tuple(self._take_parts()),
            tuple(known),
            tuple(self._left),
            orders,
            tuple(self._list_split_goals()),
        )
        for address in addresses:
            self.port.send(address, announcement)

    def _measure_own(self, service: str) -> list[MeasuredDemand]:
        measured = self._scheduler.demand.get(service)
        if measured is None:
            return []
        return [workload.measure_demand(service, measured, self._clock.monotonic())]

    def _take_parts(self) -> list[tuple[str, PartDigest]]:
        count = min(len(self._parts), MOST_READS)
        return [self._parts.popleft() for _ in range(count)]

    def _send(self, host: str, message: PeerMessage) -> None:
        address = self._scheduler_selection.find_address(host)
        if address is not None:
            self.port.send(address, message)

    # Messages

    def _receive(self, host: str, address: Address, message: PeerMessage) -> None:
        self._scheduler_selection.record_contact(host, address)
        self._actions[type(message)](host, address, message)

    def _submit_slot_request(
        self, host: str, address: Address, slot_request: SlotRequest
    ) -> None:
        self._scheduler_selection.note_client(host, address)

        def answer(result: Result[Grant, Verdict]) -> None:
            if isinstance(result, Ok):
                self.port.send(address, result.ok_value)
            else:
                self.port.send(
                    address, SlotRefusal(slot_request.ticket, result.err_value)
                )

        def tell_waiting() -> None:
            if self._scheduler.is_waiting(slot_request.ticket):
                self.port.send(address, SlotPending(slot_request.ticket))

        self._scheduler.submit(slot_request, answer)
        loop = asyncio.get_running_loop()
        loop.call_later(WAITS_DELAY.total_seconds(), tell_waiting)

    def _apply_reply(
        self, host: str, address: Address, message: Grant | SlotRefusal | SlotPending
    ) -> None:
        self.slot_client.apply_reply(host, message)

    def _take_ping(self, host: str, address: Address, ping: Ping) -> None:
        self._scheduler_selection.note_client(host, address)
        self._note_version(ping.version)
        self.port.send(address, self._make_pong())

    def _take_pong(self, host: str, address: Address, pong: Pong) -> None:
        self._scheduler_selection.note_pong(host, pong.is_fresh)
        self._note_version(pong.version)

    def _apply_leaving(self, host: str, address: Address, left: TargetLeaving) -> None:
        if fleet.record_leaving(self._fleet, left.target, left.incarnation):
            self._left[left.target, left.incarnation] = self._clock.monotonic()
            self._scheduler.wake()

    def _apply_announcement(
        self, host: str, address: Address, announcement: Announcement
    ) -> None:
        now = self._clock.monotonic()
        if announcements.apply_announcement(
            self._fleet, self._peers, announcement, now
        ):
            self._note_version(announcement.version)
            self._on_announcement(announcement)
            self._scheduler.wake()

    def _note_version(self, version: int) -> None:
        """Pass on that there is a newer configuration, even if it cannot be read here.

        Load pattern: a store that turns away the schedulers of a host but not the host.
        """
        self._on_version(version)
        if version > self._find_newest():
            self._newest = version
            self.announce_version()

    def _find_newest(self) -> int:
        return max(self._newest, self._fleet.routes.version)

    def _make_pong(self) -> Pong:
        return Pong(self._find_newest(), self._scheduler_selection.is_fresh)
