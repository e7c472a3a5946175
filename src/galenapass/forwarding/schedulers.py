"""Choose the hosts that schedule for a failure domain, and follow whether they do.

Pure functions over tables: every host comes to the same choice from the same list,
and leaves out those that do not answer it.
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
    "record_contact",
    "record_unanswered",
    "order_contacts",
    "rank_hosts",
]

Address = tuple[str, int]
Hosts = dict[str, "HostEntry"]

# Schedulers tell each other what they granted, each to each; so many bear that on
# half a core and a link of 5 Mbit/s, whatever the number of hosts.
MAX_SCHEDULERS = 12
# One that is lost leaves another in its domain.
MIN_SCHEDULERS_PER_DOMAIN = 2
# Pings and asks in a row that may stay without an answer, as datagrams get lost and
# processors stand still for a part of each tenth of a second.
MAX_UNANSWERED = 3


@dataclass(slots=True, frozen=True)
class HostEntry:
    """Hold where a host is and listens for other hosts, and its ``power`` in cores."""

    domain: str
    address: Address
    power: float = 1.0


@dataclass(slots=True)
class Contact:
    """Hold what is known of a host that schedules.

    ``is_fresh`` tells that it hears from the store; ``unanswered`` counts since it
    was last heard.
    """

    last_heard_at: timedelta | None = None
    is_fresh: bool = False
    unanswered: int = 0

    @property
    def is_unresponsive(self) -> bool:
        """Tell whether it is taken not to be there."""
        return self.unanswered >= MAX_UNANSWERED


@dataclass(slots=True)
class Contacts:
    """Hold the candidates to schedule for one host, best first, and their state."""

    candidates: list[str] = field(default_factory=list)
    known: dict[str, Contact] = field(default_factory=dict)

    def get(self, name: str) -> Contact:
        """Return what is known of a host, which begins as unknown."""
        return self.known.setdefault(name, Contact())


def rank_hosts(hosts: Hosts, names: Iterable[str]) -> list[str]:
    """Return hosts in the order in which they take duties, the strongest first.

    Load pattern: hosts of very different size. A scheduler of half a core that
    answers late makes the requests of its whole domain late.
    """

    def score(name: str) -> tuple[float, int]:
        return -round(hosts[name].power, 1), xxhash.xxh64_intdigest(name.encode())

    return sorted(names, key=score)


def list_schedulers(hosts: Hosts) -> dict[str, list[str]]:
    """Return the hosts that are to schedule, by failure domain.

    Load pattern: hundreds of hosts with one or two requests a second each. What a
    host sees itself says nothing of the targets' load, and to tell all others costs
    more than the requests; a few hosts each see the requests of many.
    """
    domains: dict[str, list[str]] = {}
    for name, entry in hosts.items():
        domains.setdefault(entry.domain, []).append(name)
    count = len(hosts)
    if count > MAX_SCHEDULERS:
        count = max(MAX_SCHEDULERS // len(domains), MIN_SCHEDULERS_PER_DOMAIN)
    return {d: rank_hosts(hosts, names)[:count] for d, names in domains.items()}


def list_candidates(hosts: Hosts, host: str, domain: str) -> list[str]:
    """Return the other hosts of a domain in the order in which a host asks them.

    The hosts of a domain spread over its schedulers.
    """
    others = [n for n, entry in hosts.items() if entry.domain == domain and n != host]
    ranked = rank_hosts(hosts, others)
    first = [n for n in list_schedulers(hosts).get(domain, []) if n != host]
    if first:
        offset = xxhash.xxh64_intdigest(host.encode()) % len(first)
        first = first[offset:] + first[:offset]
    return first + [name for name in ranked if name not in first]


def order_contacts(contacts: Contacts) -> list[str]:
    """Return the candidates that answer, those that hear from the store first."""

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
    """Take in that a host was heard."""
    contact.last_heard_at, contact.unanswered = now, 0


def record_unanswered(contact: Contact) -> None:
    """Take in that a host left something unanswered."""
    contact.unanswered += 1
