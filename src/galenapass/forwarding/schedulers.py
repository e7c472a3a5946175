"""Choose the hosts that schedule for a failure domain, and track which ones answer.

Pure functions over tables: every host makes the same choice from the same list of
hosts, and skips those that do not answer it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

__all__ = [
    "Address",
    "Contact",
    "Contacts",
    "HostEntry",
    "Hosts",
    "list_candidates",
    "list_schedulers",
    "order_contacts",
    "rank_hosts",
    "record_contact",
    "record_unanswered",
]

Address = tuple[str, int]
Hosts = dict[str, "HostEntry"]

# Each scheduler announces its grants to every other one; half a core and a link of
# 5 Mbit/s suffice for this many, whatever the number of hosts.
MAX_SCHEDULERS = 12
# A domain that loses one scheduler still has another.
MIN_SCHEDULERS_PER_DOMAIN = 2
# Consecutive pings and slot requests without an answer after which a host counts as
# unresponsive: datagrams get lost, and a processor quota stops a host for a part of
# each tenth of a second.
MAX_UNANSWERED = 3


@dataclass(slots=True, frozen=True)
class HostEntry:
    """Domain of a host, its address for other hosts, and its ``power`` in cores."""

    domain: str
    address: Address
    power: float = 1.0


@dataclass(slots=True)
class Contact:
    """Local view of one scheduler.

    ``is_fresh`` is set if it receives updates from the store; ``unanswered`` counts
    the messages without an answer since its last one.
    """

    last_heard_at: timedelta | None = None
    is_fresh: bool = False
    unanswered: int = 0

    @property
    def is_unresponsive(self) -> bool:
        """Return whether the host is skipped because it does not answer."""
        return self.unanswered >= MAX_UNANSWERED


@dataclass(slots=True)
class Contacts:
    """Candidates to schedule for one host, best first, and the local view of each."""

    candidates: list[str] = field(default_factory=list)
    known: dict[str, Contact] = field(default_factory=dict)

    def get(self, name: str) -> Contact:
        """Return the view of a host, a new one on first use."""
        return self.known.setdefault(name, Contact())


def rank_hosts(hosts: Hosts, names: Iterable[str]) -> list[str]:
    """Return hosts in the order in which they become schedulers, most cores first.

    Load pattern: hosts of very different size. A scheduler of half a core that
    answers late makes the requests of its whole domain late.
    """

    def score(name: str) -> tuple[float, int]:
        return -round(hosts[name].power, 1), xxhash.xxh64_intdigest(name.encode())

    return sorted(names, key=score)


def list_schedulers(hosts: Hosts) -> dict[str, list[str]]:
    """Return the designated schedulers by failure domain.

    Load pattern: hundreds of hosts with one or two requests a second each. A host's
    own requests show nothing of the targets' load, and announcing them to all hosts
    costs more than the requests; a few schedulers each see the requests of many.
    """
    domains: dict[str, list[str]] = {}
    for name, entry in hosts.items():
        domains.setdefault(entry.domain, []).append(name)
    count = len(hosts)
    if count > MAX_SCHEDULERS:
        count = max(MAX_SCHEDULERS // len(domains), MIN_SCHEDULERS_PER_DOMAIN)
    return {d: rank_hosts(hosts, names)[:count] for d, names in domains.items()}


def list_candidates(hosts: Hosts, host: str, domain: str) -> list[str]:
    """Return the other hosts of a domain in the order in which a host uses them.

    The hosts of a domain are distributed over its designated schedulers.
    """
    others = [n for n, entry in hosts.items() if entry.domain == domain and n != host]
    ranked = rank_hosts(hosts, others)
    first = [n for n in list_schedulers(hosts).get(domain, []) if n != host]
    if first:
        offset = xxhash.xxh64_intdigest(host.encode()) % len(first)
        first = first[offset:] + first[:offset]
    return first + [name for name in ranked if name not in first]


def order_contacts(contacts: Contacts) -> list[str]:
    """Return the candidates that answer, those with updates from the store first."""

    def score(name: str) -> bool:
        contact = contacts.known.get(name)
        return (
            contact is not None
            and contact.last_heard_at is not None
            and (not contact.is_fresh)
        )

    answering = [
        name
        for name in contacts.candidates
        if name not in contacts.known or not contacts.known[name].is_unresponsive
    ]
    return sorted(answering, key=score)


def record_contact(contact: Contact, now: timedelta) -> None:
    """Record a message from a host."""
    contact.last_heard_at, contact.unanswered = now, 0


def record_unanswered(contact: Contact) -> None:
    """Record that a host did not answer a message."""
    contact.unanswered += 1
