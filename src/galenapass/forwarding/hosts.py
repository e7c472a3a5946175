"""Register this host in the store and list the other hosts."""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta
from random import Random
from typing import Protocol

import orjson
from result import Err, Ok, Result

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

__all__ = ["HostObjects", "HostRegistry"]

HOSTS_KIND = "hosts"
# Longest random delay, so that daemons that start together do not write at once.
MAX_START_DELAY_SECONDS = 0.5
# All daemons start within a third of a second, so the list is complete after this.
INITIAL_LIST_DELAY = timedelta(seconds=3)
LIST_PERIOD = timedelta(seconds=60)
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
    """

    def __init__(
        self,
        host: str,
        entry: HostEntry,
        objects: HostObjects,
        random: Random,
        on_hosts: Callable[[Hosts], None],
    ):
        self.rank = 0
        self.is_known = False
        self._host = host
        self._entry = entry
        self._objects = objects
        self._random = random
        self._on_hosts = on_hosts

    async def run(self, *, first_start: bool) -> None:
        """Register this host, then list all hosts until cancelled.

        At the first start of all hosts the list is incomplete for a while; later it
        exists from an earlier start.
        """
        if not first_start:
            await self._list(stale=True)
        await asyncio.sleep(self._random.uniform(0, MAX_START_DELAY_SECONDS))
        await self._register()
        pause = INITIAL_LIST_DELAY
        while True:
            await asyncio.sleep(pause.total_seconds())
            is_listed = await self._list(stale=pause == LIST_PERIOD)
            pause = LIST_PERIOD if is_listed else INITIAL_LIST_DELAY

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
        }
        body = orjson.dumps(own).decode()
        written = await self._objects.write(HOSTS_KIND, self._host, body)
        if isinstance(written, Err):
            # An entry of an earlier start remains, or peers detect this host by its
            # datagrams.
            _log("host is not registered", cause=written.err_value.cause.value)

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
