"""Register this host in the store and list the other hosts."""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta
from random import Random
from typing import Protocol

import orjson
from result import Err, Ok, Result

from galenapass.clocks import Clock
from galenapass.forwarding import schedulers
from galenapass.forwarding.schedulers import HostEntry, Hosts
from galenapass.json_values import (
    DECODE_ERRORS,
    decode_json,
    describe_error,
    describe_value,
    is_name,
    read_number,
)
from galenapass.logs import make_log
from galenapass.platform.messages import Failure, ObjectListing, StoredObject
from galenapass.settings.addresses import parse_ipv4_address

__all__ = ["HOSTS_KIND", "HostObjects", "HostRegistry"]

HOSTS_KIND = "hosts"
# Longest random delay, so that daemons that start together do not write at once.
MAX_START_DELAY_SECONDS = 0.5
# All daemons start within a third of a second, so the list is complete after this.
INITIAL_LIST_DELAY = timedelta(seconds=3)
LIST_PERIOD = timedelta(seconds=60)
# A list of this age may lack hosts that have joined; a stale read may be older than it
# seems by LIST_STALENESS.
MAX_LIST_AGE = timedelta(seconds=90)
LIST_STALENESS = timedelta(seconds=10)
# At the first start of all hosts, an entry that is written within this time is in the
# first list of every host.
FIRST_REGISTRATION_TIME = timedelta(seconds=2)
# Field of an entry that tells whether its host is joining.
_JOINING = "joining"
# Hosts that try to acquire the lease often; the other hosts do so rarely.
FREQUENT_CANDIDATES = 2
CANDIDATE_INTERVAL = timedelta(milliseconds=250)
# Above the power of any host.
MAX_POWER = 1_000_000.0
# Beyond this rank a longer delay saves hardly any calls.
MAX_RANK = 20

_log = make_log("hosts")


class HostObjects(Protocol):
    """Store client that writes, deletes and lists objects."""

    async def write(
        self, kind: str, name: str, body: str, if_version: int | None = None
    ) -> Result[int, Failure]:
        """Replace the version ``if_version`` of an object, or create it when None."""

    async def delete(
        self, kind: str, name: str, if_version: int
    ) -> Result[None, Failure]:
        """Delete the version ``if_version`` of an object."""

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> Result[ObjectListing, Failure]:
        """Return every object of a kind."""


class HostRegistry:
    """Registration of this host and the list of all hosts.

    ``rank`` is this host's position in the order of lease candidates, which is the
    same on every host. ``is_known`` is set once a list was read. ``on_hosts`` is
    called with the known hosts.

    A host is joining until the lists of all others name it. Its entry tells so, as the
    next process on this host has to wait as well.
    """

    def __init__(
        self,
        host: str,
        entry: HostEntry,
        objects: HostObjects,
        clock: Clock,
        random: Random,
        on_hosts: Callable[[Hosts], None],
    ):
        self.rank = 0
        self.is_known = False
        self._host = host
        self._entry = entry
        self._objects = objects
        self._clock = clock
        self._random = random
        self._on_hosts = on_hosts
        self._is_joining = True
        self._registered_at: timedelta | None = None
        self._listed_at: timedelta | None = None
        self._host_count = 0

    def count_sharing_hosts(self) -> int | None:
        """Return among how many hosts to divide what is limited for all of them.

        None if this host has no part in it: others may not count it, or it may not
        count others.
        """
        if self._is_joining or self._listed_at is None:
            return None
        age = self._clock.monotonic() - self._listed_at
        return self._host_count if age <= MAX_LIST_AGE else None

    async def run(self, *, first_start: bool) -> None:
        """Register this host, then list all hosts until cancelled.

        At the first start of all hosts the list is incomplete for a while; later it
        exists from an earlier start.
        """
        started = self._clock.monotonic()
        self._is_joining = not first_start
        while not first_start and not await self._list(stale=True):
            # The entry of an earlier process must be read before it is replaced.
            await asyncio.sleep(INITIAL_LIST_DELAY.total_seconds())
        await asyncio.sleep(self._random.uniform(0, MAX_START_DELAY_SECONDS))
        await self._register()
        if first_start and not self._has_registered_by(
            started + FIRST_REGISTRATION_TIME
        ):
            self._is_joining = True
            await self._register()
        pause = INITIAL_LIST_DELAY
        while True:
            await asyncio.sleep(pause.total_seconds())
            is_listed = await self._list(stale=pause == LIST_PERIOD)
            pause = LIST_PERIOD if is_listed else INITIAL_LIST_DELAY
            await self._finish_joining()

    async def register_again(self) -> None:
        """Write this host's entry, which a restored store may lack."""
        await asyncio.sleep(self._random.uniform(0, MAX_START_DELAY_SECONDS))
        await self._register()

    def find_candidate_pause(self, term: timedelta) -> timedelta:
        """Return the time until this host tries to acquire a lease again."""
        if self.rank < FREQUENT_CANDIDATES:
            return CANDIDATE_INTERVAL
        return term * min(self.rank, MAX_RANK) * self._random.uniform(0.8, 1.2)

    async def _register(self) -> None:
        ip, port = self._entry.address
        own = {
            "domain": self._entry.domain,
            "peers": f"{ip}:{port}",
            "power": self._entry.power,
            _JOINING: self._is_joining,
        }
        body = orjson.dumps(own).decode()
        written = await self._objects.write(HOSTS_KIND, self._host, body)
        if isinstance(written, Err):
            # An entry of an earlier start remains, or peers detect this host by its
            # datagrams.
            _log("host is not registered", cause=written.err_value.cause.value)
        elif self._registered_at is None:
            self._registered_at = self._clock.monotonic()

    def _has_registered_by(self, time: timedelta) -> bool:
        return self._registered_at is not None and self._registered_at <= time

    async def _finish_joining(self) -> None:
        """Register a host that is not registered, or that all others list by now."""
        if self._registered_at is None:
            await self._register()
            return
        waited = self._clock.monotonic() - self._registered_at
        if self._is_joining and waited > MAX_LIST_AGE + LIST_STALENESS:
            self._is_joining = False
            await self._register()

    async def _list(self, *, stale: bool) -> bool:
        listing = await self._objects.list(HOSTS_KIND, stale=stale)
        if isinstance(listing, Ok):
            self._apply_listing(listing.ok_value)
        elif not self.is_known:
            # Without any list this host schedules for itself.
            self._on_hosts({self._host: self._entry})
        return isinstance(listing, Ok)

    def _apply_listing(self, listing: ObjectListing) -> None:
        hosts = dict(_decode_entries(listing)) | {self._host: self._entry}
        self.is_known = True
        self._listed_at = self._clock.monotonic()
        self._host_count = len(hosts)
        if self._registered_at is None:
            self._is_joining = not _is_counted(listing, self._host)
        self.rank = _rank_lease_candidates(hosts).index(self._host)
        self._on_hosts(hosts)
        _log("hosts are listed", count=len(hosts), rank=self.rank)


def _rank_lease_candidates(hosts: Hosts) -> list[str]:
    """Return the hosts in the order of their preference for the lease.

    The first of each domain come before the second of each: they schedule and so
    know the load.
    """
    ranked = schedulers.rank_hosts(hosts, hosts)
    domain_counts: dict[str, int] = {}
    positions: dict[str, int] = {}
    for name in ranked:
        domain = hosts[name].domain
        positions[name] = domain_counts.get(domain, 0)
        domain_counts[domain] = positions[name] + 1
    return sorted(ranked, key=lambda name: positions[name])


def _is_counted(listing: ObjectListing, host: str) -> bool:
    """Return whether an earlier process has left an entry and was not joining."""
    for stored in listing.items:
        if stored.name == host:
            entry = decode_json(stored.body)
            return isinstance(entry, Ok) and _has_joined(entry.ok_value)
    return False


def _has_joined(entry: object) -> bool:
    return isinstance(entry, dict) and entry.get(_JOINING) is not True


def _decode_entries(listing: ObjectListing) -> Iterator[tuple[str, HostEntry]]:
    for stored in listing.items:
        entry = _decode_entry(stored)
        if isinstance(entry, Ok):
            yield stored.name, entry.ok_value
        else:
            _log("host entry is unreadable", host=stored.name, error=entry.err_value)


def _decode_entry(stored: StoredObject) -> Result[HostEntry, str]:
    try:
        data = decode_json(stored.body).unwrap_or_raise(ValueError)
        domain, peers = data["domain"], data["peers"]
        for value in (stored.name, domain, peers):
            if not is_name(value):
                return Err(f"{describe_value(value)} is no name")
        power = read_number(data.get("power", 1.0))
        if not 0 <= power <= MAX_POWER:
            return Err(f"power is {power}")
        address = parse_ipv4_address(peers)
    except DECODE_ERRORS as error:
        return Err(describe_error(error))
    if isinstance(address, Err):
        return Err(f"the address is {describe_value(peers)}")
    ip, port = address.ok_value.ip, address.ok_value.port
    return Ok(HostEntry(domain, (ip, port), power))
