"""Decide whether this daemon schedules, and follow the hosts that do it otherwise."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from random import Random

from galenapass.clocks import Clock
from galenapass.forwarding import schedulers
from galenapass.forwarding.schedulers import Address, Contacts, Hosts
from galenapass.logs import make_log

__all__ = [
    "SchedulerSelection",
    "SchedulingReason",
    "SelectionState",
    "find_scheduling_reason",
]

PING_PERIOD = timedelta(seconds=1)
# Until a scheduler was heard.
INITIAL_PING_PERIOD = timedelta(milliseconds=250)
PINGED_CANDIDATES = 2
# A host that was asked goes on for this long after the last question.
CLIENT_TIMEOUT = timedelta(seconds=3)
# A host whose schedulers do not hear from the store waits this long before it reads
# the store itself, for as long as stands below it.
STALE_TIMEOUT = timedelta(seconds=1.5)
FALLBACK_TIME = timedelta(seconds=5)
PROBE_PERIOD = timedelta(seconds=2)
STEP_PERIOD = timedelta(milliseconds=250)
# Until the first listing of targets, from a store that is well.
LISTING_TIMEOUT = timedelta(milliseconds=300)

_log = make_log("duty")


class SchedulingReason(Enum):
    """Say why a host schedules."""

    ONLY_HOST = "no other host of the domain is known"
    DESIGNATED = "it is among the first of its domain"
    HAS_CLIENTS = "others ask it"
    FALLBACK = "no scheduler is of use"


@dataclass(slots=True)
class SelectionState:
    """Hold what decides whether a host schedules; times are monotonic.

    ``designated`` names the hosts that are to schedule, by domain. ``client_seen_at`` is when
    another host last asked it, ``fresh_at`` when a scheduler was last known to hear
    from the store, ``fallback_until`` ends the time in which it schedules for itself.
    """

    hosts: Hosts | None = None
    client_seen_at: timedelta | None = None
    fresh_at: timedelta | None = None
    fallback_until: timedelta | None = None
    designated: dict[str, list[str]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        if self.hosts is not None:
            self.update_hosts(self.hosts)

    def update_hosts(self, hosts: Hosts) -> None:
        """Take in which hosts there are; to rank hundreds takes too long each time."""
        self.hosts, self.designated = hosts, schedulers.list_schedulers(hosts)


def find_scheduling_reason(
    state: SelectionState, host: str, domain: str, now: timedelta
) -> SchedulingReason | None:
    """Return why a host schedules, or None when it leaves that to others."""
    if state.hosts is None:
        return None
    has_peers = any(
        name != host and entry.domain == domain for name, entry in state.hosts.items()
    )
    client_seen_at, fallback_until = state.client_seen_at, state.fallback_until
    has_clients = client_seen_at is not None and now - client_seen_at < CLIENT_TIMEOUT
    reasons = (
        (not has_peers, SchedulingReason.ONLY_HOST),
        (host in state.designated.get(domain, []), SchedulingReason.DESIGNATED),
        (has_clients, SchedulingReason.HAS_CLIENTS),
        (
            fallback_until is not None and now < fallback_until,
            SchedulingReason.FALLBACK,
        ),
    )
    return next((why for holds, why in reasons if holds), None)


class SchedulerSelection:
    """Hold one host's part in scheduling.

    ``on_start`` and ``on_stop`` are called as it begins and ends; ``has_store_updates`` tells
    whether this host hears from the store while it schedules.
    """

    def __init__(
        self,
        host: str,
        domain: str,
        clock: Clock,
        random: Random,
        on_start: Callable[[], None],
        on_stop: Callable[[], None],
        has_store_updates: Callable[[], bool],
    ):
        self.reason: SchedulingReason | None = None
        self.targets_listed = asyncio.Event()
        self._host = host
        self._domain = domain
        self._clock = clock
        self._random = random
        self._on_start = on_start
        self._on_stop = on_stop
        self._has_store_updates = has_store_updates
        self._state = SelectionState()
        self._contacts = Contacts()
        self._addresses: dict[str, Address] = {}
        self._pinged_at: dict[str, timedelta] = {}
        self._clients: dict[str, tuple[Address, timedelta]] = {}
        self._stale_since: timedelta | None = None
        self._is_stopping = False

    @property
    def is_scheduler(self) -> bool:
        """Tell whether this host schedules."""
        return self.reason is not None

    @property
    def serves_other_hosts(self) -> bool:
        """Tell whether it schedules for others, which the other schedulers hear of.

        Load pattern: schedulers that answer late under load. Hosts that begin to
        schedule for themselves must not add to what these have to hear.
        """
        return self.reason not in (None, SchedulingReason.FALLBACK)

    @property
    def is_fresh(self) -> bool:
        """Tell whether this host goes on scheduling and hears from the store."""
        return self.is_scheduler and not self._is_stopping and self._has_store_updates()

    @property
    def has_scheduler(self) -> bool:
        """Tell whether this host schedules, or knows a host that does for it."""
        return self.is_scheduler or self._state.fresh_at is not None

    @property
    def ping_interval(self) -> timedelta:
        """Return the pause until the next pings."""
        is_known = self.has_scheduler or self._state.hosts is None
        period = PING_PERIOD if is_known else INITIAL_PING_PERIOD
        return period * self._random.uniform(0.8, 1.2)

    def update_hosts(self, hosts: Hosts) -> None:
        """Take in which hosts there are."""
        self._state.update_hosts(hosts)
        self._addresses |= {name: entry.address for name, entry in hosts.items()}
        self._contacts.candidates = schedulers.list_candidates(
            hosts, self._host, self._domain
        )
        self.step()

    def step(self) -> None:
        """Begin or end the duty if its reason came or went."""
        now = self._clock.monotonic()
        why = find_scheduling_reason(self._state, self._host, self._domain, now)
        was_scheduler, self.reason = self.is_scheduler, why
        if self.is_scheduler is was_scheduler:
            return
        if why is not None:
            _log("begins to schedule", why=why.value)
            self._on_start()
            return
        _log(
            "leaves scheduling to others",
            schedulers=self.list_schedulers()[:PINGED_CANDIDATES],
        )
        self.targets_listed.clear()
        self._on_stop()

    async def run(self, probe: Callable[[], Awaitable[bool]]) -> None:
        """Follow the duty for ever; ``probe`` tells whether the store answers."""
        probed_at: timedelta | None = None
        while True:
            await asyncio.sleep(STEP_PERIOD.total_seconds())
            self.step()
            now = self._clock.monotonic()
            if not self._is_stale(now):
                continue
            if probed_at is not None and now - probed_at < PROBE_PERIOD:
                continue
            probed_at = now
            if await probe():
                self._start_fallback(
                    "the store answers, but no scheduler hears from it"
                )

    def step_down(self) -> None:
        """Have the others ask other hosts, as this one stops."""
        self._is_stopping = True

    async def take_over(self) -> None:
        """Schedule for this daemon itself, as nobody else answers."""
        self._start_fallback("no scheduler answers")
        try:
            async with asyncio.timeout(LISTING_TIMEOUT.total_seconds()):
                await self.targets_listed.wait()
        except TimeoutError:
            # What was known before has to do.
            _log("targets are not listed yet")

    # Hosts

    def list_schedulers(self) -> list[str]:
        """Return the hosts to ask, best first."""
        return schedulers.order_contacts(self._contacts)

    def list_peers(self, active: Iterable[str]) -> list[Address]:
        """Return where the schedulers of all domains are, and those just heard."""
        names = set(active).union(*self._state.designated.values())
        names.discard(self._host)
        return [self._addresses[name] for name in sorted(names & set(self._addresses))]

    def list_clients(self) -> list[Address]:
        """Return where the hosts are that this one was asked by lately."""
        now = self._clock.monotonic()
        return [
            address
            for address, at in self._clients.values()
            if now - at < CLIENT_TIMEOUT
        ]

    def list_due_pings(self) -> list[str]:
        """Return the hosts to ping now, and count those that left one unanswered."""
        first = self._state.designated.get(self._domain, [])
        if self._host in first:
            return []
        for host, at in self._pinged_at.items():
            contact = self._contacts.get(host)
            if contact.last_heard_at is None or contact.last_heard_at < at:
                schedulers.record_unanswered(contact)
        lost = [
            n
            for n in first
            if n != self._host and self._contacts.get(n).is_unresponsive
        ]
        due = [*self.list_schedulers()[:PINGED_CANDIDATES], *lost]
        now = self._clock.monotonic()
        self._pinged_at = dict.fromkeys(due, now)
        return due

    def find_address(self, host: str) -> Address | None:
        """Return where a host listens, if that is known."""
        return self._addresses.get(host)

    # News

    def record_contact(self, host: str, address: Address) -> None:
        """Take in that a host was heard from an address."""
        self._addresses[host] = address
        schedulers.record_contact(self._contacts.get(host), self._clock.monotonic())

    def record_pong(self, host: str, is_fresh: bool) -> None:
        """Take in whether a scheduler hears from the store."""
        self._contacts.get(host).is_fresh = is_fresh
        if is_fresh:
            self._state.fresh_at = self._clock.monotonic()

    def record_client(self, host: str, address: Address) -> None:
        """Take in that another host asked this one."""
        now = self._clock.monotonic()
        self._clients[host] = (address, now)
        self._state.client_seen_at = now
        if not self.is_scheduler:
            self.step()

    def record_unanswered(self, host: str) -> None:
        """Take in that a host did not answer an ask."""
        schedulers.record_unanswered(self._contacts.get(host))

    def _is_stale(self, now: timedelta) -> bool:
        """Tell whether no scheduler of this host hears from the store for a while."""
        if self.is_scheduler or self._state.hosts is None:
            self._stale_since = None
            return False
        contacts = [
            self._contacts.get(name)
            for name in self.list_schedulers()[:PINGED_CANDIDATES]
        ]
        if any(contact.is_fresh for contact in contacts):
            self._stale_since = None
            return False
        if self._stale_since is None:
            self._stale_since = now
        return now - self._stale_since >= STALE_TIMEOUT

    def _start_fallback(self, why: str) -> None:
        _log("schedules for itself", why=why)
        self._state.fallback_until = self._clock.monotonic() + FALLBACK_TIME
        self.step()
