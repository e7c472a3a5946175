"""Decide whether this host schedules, and track the hosts that schedule for it."""

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
from galenapass.timeouts import limit_silence

__all__ = [
    "SchedulerSelection",
    "SchedulingReason",
    "SelectionState",
    "find_scheduling_reason",
]

PING_PERIOD = timedelta(seconds=1)
# Used until a scheduler has answered.
INITIAL_PING_PERIOD = timedelta(milliseconds=250)
# Best candidates that are pinged.
PINGED_CANDIDATES = 2
# Hosts chosen by chance that are pinged besides the next candidates while no scheduler
# has updates from the store: any host of the domain may reach it.
RANDOM_PROBES = 2
# Hosts whose last answer is older are probed again, and then count as never heard.
PROBE_AGE = timedelta(seconds=1.5)
MAX_ANSWER_AGE = timedelta(seconds=3)
# A host goes on scheduling for this long after the last message of a client.
CLIENT_TIMEOUT = timedelta(seconds=3)
# A host whose schedulers receive no updates from the store waits this long before it
# reads the store itself, and then does so for FALLBACK_TIME.
STALE_TIMEOUT = timedelta(seconds=1.5)
FALLBACK_TIME = timedelta(seconds=5)
PROBE_PERIOD = timedelta(seconds=2)
STEP_PERIOD = timedelta(milliseconds=250)
# Longest wait for the first listing of targets; an available store is faster.
LISTING_TIMEOUT = timedelta(milliseconds=300)

_log = make_log("duty")


class SchedulingReason(Enum):
    """Reason why a host schedules."""

    ONLY_HOST = "no other host of the domain is known"
    DESIGNATED = "it is a designated scheduler of its domain"
    HAS_CLIENTS = "other hosts use it as their scheduler"
    FALLBACK = "no scheduler is reachable and up to date"


@dataclass(slots=True)
class SelectionState:
    """State that decides whether a host schedules; times are monotonic.

    ``designated`` names the designated schedulers by domain. ``client_seen_at`` is when
    another host last used this one as its scheduler, ``pong_at`` when a scheduler last
    answered a ping, ``fresh_at`` when one last reported that it receives updates from
    the store, ``fallback_until`` the end of the time in which this host schedules only
    for itself. ``confirmed_at`` is when the last ping was sent that such a report
    answered.
    """

    hosts: Hosts | None = None
    client_seen_at: timedelta | None = None
    pong_at: timedelta = timedelta(0)
    fresh_at: timedelta | None = None
    fallback_until: timedelta | None = None
    confirmed_at: timedelta = timedelta(0)
    designated: dict[str, list[str]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        if self.hosts is not None:
            self.update_hosts(self.hosts)

    def update_hosts(self, hosts: Hosts) -> None:
        """Replace the hosts and cache their ranking, which is slow for hundreds."""
        self.hosts, self.designated = hosts, schedulers.list_schedulers(hosts)


def find_scheduling_reason(
    state: SelectionState, host: str, domain: str, now: timedelta
) -> SchedulingReason | None:
    """Return why a host schedules, or None if other hosts schedule for it."""
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
    """Scheduler role of one host, and the schedulers that it uses otherwise.

    ``on_start`` and ``on_stop`` are called when the host begins and ends to schedule;
    ``has_store_updates`` returns whether it receives updates from the store meanwhile.
    ``targets_listed`` is set once the store's targets were read, ``knows_targets``
    returns whether it knows any targets. ``granting_changed`` is set when a host may
    be asked for slots that could not be asked before.
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
        knows_targets: Callable[[], bool] = lambda: False,
    ):
        self.reason: SchedulingReason | None = None
        self.targets_listed = asyncio.Event()
        self.granting_changed = asyncio.Event()
        self._host = host
        self._domain = domain
        self._clock = clock
        self._random = random
        self._on_start = on_start
        self._on_stop = on_stop
        self._has_store_updates = has_store_updates
        self._knows_targets = knows_targets
        self._state = SelectionState()
        self._contacts = Contacts()
        self._addresses: dict[str, Address] = {}
        self._pinged_at: dict[str, timedelta] = {}
        self._asked_at: dict[str, timedelta] = {}
        self._clients: dict[str, tuple[Address, timedelta]] = {}
        self._stale_since: timedelta | None = None
        self._is_stopping = False

    @property
    def is_scheduler(self) -> bool:
        """Return whether this host schedules."""
        return self.reason is not None

    @property
    def serves_other_hosts(self) -> bool:
        """Return whether this host schedules for others, and so sends announcements.

        Load pattern: schedulers that answer late under load. Hosts that begin to
        schedule for themselves must not add to the announcements these receive.
        """
        return self.reason not in (None, SchedulingReason.FALLBACK)

    @property
    def is_fresh(self) -> bool:
        """Return whether this host keeps scheduling and has updates from the store."""
        return self.is_scheduler and not self._is_stopping and self._has_store_updates()

    @property
    def has_fresh_view(self) -> bool:
        """Return whether this host or a scheduler of it has updates from the store."""
        if self.is_scheduler:
            return self._has_store_updates()
        return schedulers.has_fresh(self._contacts)

    @property
    def has_scheduler(self) -> bool:
        """Return whether this host schedules or has had an up-to-date scheduler."""
        return self.is_scheduler or self._state.fresh_at is not None

    @property
    def hears_scheduler(self) -> bool:
        """Return whether this host schedules or a scheduler has answered it."""
        return self.is_scheduler or self._state.pong_at > timedelta(0)

    @property
    def pong_at(self) -> timedelta:
        """Return when a scheduler last answered a ping, 0 if never."""
        return self._state.pong_at

    @property
    def confirmed_at(self) -> timedelta:
        """Return since when no change of the store can be unknown, 0 if never.

        It is the time of a ping, as a pong may have waited while the host was frozen.
        """
        return self._state.confirmed_at

    @property
    def ping_interval(self) -> timedelta:
        """Return the time until the next pings, with jitter."""
        is_known = self.has_scheduler or self._state.hosts is None
        period = PING_PERIOD if is_known else INITIAL_PING_PERIOD
        return period * self._random.uniform(0.8, 1.2)

    def update_hosts(self, hosts: Hosts) -> None:
        """Replace the known hosts, and begin or end to schedule accordingly."""
        self._state.update_hosts(hosts)
        self._addresses |= {name: entry.address for name, entry in hosts.items()}
        self._contacts.candidates = schedulers.list_candidates(
            hosts, self._host, self._domain
        )
        self.step()

    def step(self) -> None:
        """Begin or end to schedule if the reason for it has changed."""
        now = self._clock.monotonic()
        why = find_scheduling_reason(self._state, self._host, self._domain, now)
        was_scheduler, self.reason = self.is_scheduler, why
        if self.is_scheduler is was_scheduler:
            return
        if why is not None:
            _log("scheduling started", why=why.value)
            self._on_start()
            return
        _log(
            "scheduling stopped",
            schedulers=self.list_schedulers()[:PINGED_CANDIDATES],
        )
        self.targets_listed.clear()
        self._on_stop()

    async def run(self, probe: Callable[[], Awaitable[bool]]) -> None:
        """Update the reason to schedule until cancelled; ``probe`` tries the store."""
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
                    "the store answers, but no scheduler receives its updates"
                )

    def step_down(self) -> None:
        """Make clients use other schedulers, as this host stops."""
        self._is_stopping = True

    async def take_over(self) -> None:
        """Schedule for this host itself, as no scheduler answers."""
        self._start_fallback("no scheduler answers")
        if self._knows_targets():
            return
        try:
            async with limit_silence(LISTING_TIMEOUT):
                await self.targets_listed.wait()
        except TimeoutError:
            # Scheduling goes on with the targets known before.
            _log("targets are not listed yet")

    # Hosts

    def list_schedulers(self) -> list[str]:
        """Return the hosts to send slot requests to, best first."""
        return schedulers.order_contacts(self._contacts)

    def list_granting(self) -> list[str]:
        """Return the hosts that may be sent slot requests, best first.

        A host that was never heard from is pinged first, unless it is a designated
        scheduler; one that knows no targets is left out.
        """
        designated = self._state.designated.get(self._domain, [])
        return schedulers.list_granting(self._contacts, designated)

    def list_target_hosts(self) -> list[str]:
        """Return the hosts to ask for their targets, the best schedulers first.

        Without any list of hosts these are the hosts that sent messages.
        """
        names = self.list_granting()
        others = [
            name
            for name in {*self._contacts.candidates, *self._addresses}
            if name not in names and name != self._host
        ]
        heard = [n for n in sorted(others) if self._is_heard(n)]
        return [*names, *self._random.sample(heard, len(heard))]

    def list_configuration_hosts(self) -> list[str]:
        """Return the hosts of the domain that have new configurations first.

        The strongest come first, as all hosts of the domain ask them at once.
        """
        hosts = self._state.hosts or {}
        designated = self._state.designated.get(self._domain, [])
        names = [n for n in self.list_schedulers() if n in designated]
        return sorted(names, key=lambda name: -round(hosts[name].power, 1))

    def list_designated(self) -> dict[str, list[str]]:
        """Return the designated schedulers by failure domain."""
        return self._state.designated

    def list_hosts(self) -> list[str]:
        """Return the names of all known hosts."""
        return list(self._state.hosts or {})

    def knows_ip(self, ip: str) -> bool:
        """Return whether an IP address is that of a known host."""
        return any(address[0] == ip for address in self._addresses.values())

    def list_peers(self, active: Iterable[str]) -> list[Address]:
        """Return the addresses of the ``active`` and all designated schedulers."""
        names = set(active).union(*self._state.designated.values())
        names.discard(self._host)
        return [self._addresses[name] for name in sorted(names & set(self._addresses))]

    def count_schedulers(self, active: Iterable[str]) -> int:
        """Return how many hosts may schedule at the same time as this one.

        A host that schedules for itself only does so when it reaches no scheduler, so
        each of the other hosts may do the same.
        """
        if not self.serves_other_hosts:
            return len(self._state.hosts or {})
        return len({self._host, *active}.union(*self._state.designated.values()))

    def list_clients(self) -> list[Address]:
        """Return the addresses of the hosts that use this one as their scheduler."""
        now = self._clock.monotonic()
        return [
            address
            for address, at in self._clients.values()
            if now - at < CLIENT_TIMEOUT
        ]

    def list_due_pings(self) -> list[str]:
        """Return the hosts to ping now, and count the pings that were not answered."""
        designated = self._state.designated.get(self._domain, [])
        if self._host in designated:
            return []
        for host, at in self._pinged_at.items():
            contact = self._contacts.get(host)
            if contact.answered_at is None or contact.answered_at < at:
                schedulers.record_unanswered(contact)
        now = self._clock.monotonic()
        schedulers.expire_answers(self._contacts, now, MAX_ANSWER_AGE)
        unresponsive = [
            n
            for n in designated
            if n != self._host and self._contacts.get(n).is_unresponsive
        ]
        due = [*self.list_schedulers()[:PINGED_CANDIDATES], *unresponsive]
        self._pinged_at = dict.fromkeys(due, now)
        self._asked_at = self._pinged_at.copy()
        return due

    def list_extra_pings(self) -> list[str]:
        """Return the hosts to ping beside the due pings, as their view is needed now.

        These pings do not count as unanswered. Load pattern: a store that rejects the
        schedulers of one domain; one of another domain is asked too.
        """
        designated = self._state.designated
        own = self.list_schedulers()[:PINGED_CANDIDATES]
        if self.is_scheduler:
            # A host that does not schedule would begin to.
            own = [name for name in own if name in designated.get(self._domain, [])]
        others = [
            n for d, names in designated.items() if d != self._domain for n in names
        ]
        hosts = own + ([self._random.choice(others)] if others else [])
        self._asked_at |= dict.fromkeys(hosts, self._clock.monotonic())
        return hosts

    def list_due_probes(self) -> list[str]:
        """Return other hosts to ask for their view of the store, none if not needed.

        Load pattern: a store that rejects individual hosts. Another host of the domain
        may reach it while all known schedulers do not.
        """
        if self.is_scheduler or self.has_fresh_view or not self.has_scheduler:
            return []
        now = self._clock.monotonic()
        unheard = [
            name
            for name in schedulers.list_unheard(self._contacts, now, PROBE_AGE)
            if name not in self._pinged_at
        ]
        designated = self._state.designated.get(self._domain, [])
        first = [name for name in unheard if name in designated]
        others = [name for name in unheard if name not in designated]
        # All hosts have the same order, so they agree on the next schedulers.
        following, rest = others[:PINGED_CANDIDATES], others[PINGED_CANDIDATES:]
        count = min(RANDOM_PROBES, len(rest))
        return [
            *first[:PINGED_CANDIDATES],
            *following,
            *self._random.sample(rest, count),
        ]

    def find_view_time(self, host: str) -> timedelta:
        """Return the time as of which a host knows the targets, now if unknown."""
        contact = self._contacts.get(host)
        if contact.is_fresh or contact.knows_targets is None:
            return self._clock.monotonic()
        return contact.viewed_at

    def find_domain(self, host: str) -> str | None:
        """Return the failure domain of a host, None if unknown."""
        entry = (self._state.hosts or {}).get(host)
        return entry.domain if entry is not None else None

    def find_address(self, host: str) -> Address | None:
        """Return the address on which a host listens, None if unknown."""
        return self._addresses.get(host)

    # Incoming messages

    def record_contact(self, host: str, address: Address) -> None:
        """Record that a message of a host came from an address."""
        self._addresses[host] = address
        schedulers.record_contact(self._contacts.get(host), self._clock.monotonic())

    def record_answer(self, host: str) -> None:
        """Record that a host answered a message."""
        schedulers.record_answer(self._contacts.get(host), self._clock.monotonic())

    def record_pong(
        self,
        host: str,
        is_fresh: bool,
        knows_targets: bool | None = None,
        view_age: timedelta = timedelta(0),
    ) -> None:
        """Record whether a host receives updates from the store and knows targets.

        ``view_age`` is the age of what it knows of them.
        """
        now = self._clock.monotonic()
        contact = self._contacts.get(host)
        schedulers.record_answer(contact, now)
        schedulers.record_view(contact, is_fresh, knows_targets, now - view_age)
        self._state.pong_at = now
        if is_fresh:
            self._state.fresh_at = now
            asked_at = self._asked_at.get(host, timedelta(0))
            self._state.confirmed_at = max(self._state.confirmed_at, asked_at)
        if contact.knows_targets:
            self.granting_changed.set()

    def record_client(self, host: str, address: Address) -> None:
        """Record that another host uses this one as its scheduler."""
        now = self._clock.monotonic()
        self._clients[host] = (address, now)
        self._state.client_seen_at = now
        if not self.is_scheduler:
            self.step()

    def record_unanswered(self, host: str) -> None:
        """Record that a host did not answer a slot request."""
        schedulers.record_unanswered(self._contacts.get(host))

    def _is_heard(self, host: str) -> bool:
        contact = self._contacts.known.get(host)
        return (
            contact is not None
            and contact.last_heard_at is not None
            and not contact.is_unresponsive
        )

    def _is_stale(self, now: timedelta) -> bool:
        """Return whether no scheduler has had updates for ``STALE_TIMEOUT``."""
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
        _log("scheduling for this host only", why=why)
        self._state.fallback_until = self._clock.monotonic() + FALLBACK_TIME
        self.step()
