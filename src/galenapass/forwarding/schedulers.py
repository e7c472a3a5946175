"""Choose the hosts that schedule for a failure domain, and track which ones answer.

Pure functions over tables: every host makes the same choice from the same list of
hosts, and skips those that do not answer it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum

import xxhash

__all__ = [
    "Address",
    "Contact",
    "ContactRank",
    "Contacts",
    "HostEntry",
    "Hosts",
    "expire_answers",
    "has_fresh",
    "list_candidates",
    "list_granting",
    "list_unheard",
    "list_schedulers",
    "order_contacts",
    "rank_hosts",
    "record_answer",
    "record_contact",
    "record_unanswered",
    "record_view",
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
# Views of the store that differ by less in age count as equal: hosts that lose the
# store at the same time notice it up to this much apart.
MAX_VIEW_LAG = timedelta(seconds=5)


class ContactRank(IntEnum):
    """Order in which hosts are used as schedulers."""

    FRESH = 0
    KNOWING = 1
    OUTDATED = 2
    UNHEARD = 3
    # A host whose build does not tell whether it knows targets.
    NOT_REPORTED = 4
    WITHOUT_TARGETS = 5


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
    the messages without an answer since ``answered_at``. ``knows_targets`` is None
    until it has told; ``viewed_at`` is the time as of which it knows them.
    """

    last_heard_at: timedelta | None = None
    answered_at: timedelta | None = None
    is_fresh: bool = False
    unanswered: int = 0
    knows_targets: bool | None = None
    viewed_at: timedelta = timedelta(0)

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
    """Return the candidates that answer, best first, in the order of ``ContactRank``.

    Load pattern: a failure domain that is partitioned from the store. Its schedulers
    keep their targets, and the hosts that were never heard know none.
    """
    ranks = _rank_known(contacts)
    return _order(contacts, ranks, contacts.candidates)


def list_granting(contacts: Contacts, designated: Iterable[str]) -> list[str]:
    """Return the candidates that may be asked for slots, best first.

    Of those never heard only the ``designated`` schedulers; the others are pinged
    first.
    """
    ranks = _rank_known(contacts)
    usable = {
        name
        for name, rank in ranks.items()
        if rank not in (ContactRank.UNHEARD, ContactRank.WITHOUT_TARGETS)
    }
    usable.update(
        name
        for name in designated
        if ranks.get(name, ContactRank.UNHEARD) is ContactRank.UNHEARD
    )
    return _order(contacts, ranks, [n for n in contacts.candidates if n in usable])


def has_fresh(contacts: Contacts) -> bool:
    """Return whether a candidate that answers has updates from the store."""
    ranks = _rank_known(contacts)
    return any(
        ranks.get(name) is ContactRank.FRESH
        and not contacts.known[name].is_unresponsive
        for name in contacts.candidates
    )


def list_unheard(contacts: Contacts, now: timedelta, max_age: timedelta) -> list[str]:
    """Return the candidates that were not asked or not heard within ``max_age``.

    Those that do not answer are left out.
    """

    def is_due(contact: Contact) -> bool:
        at = contact.answered_at
        return not contact.is_unresponsive and (at is None or now - at > max_age)

    known = contacts.known
    return [n for n in contacts.candidates if n not in known or is_due(known[n])]


def expire_answers(contacts: Contacts, now: timedelta, max_age: timedelta) -> None:
    """Make hosts count as never heard whose last answer is older than ``max_age``.

    What they told then of their view of the store may not hold any more.
    """
    for contact in contacts.known.values():
        if contact.answered_at is not None and now - contact.answered_at > max_age:
            contact.answered_at, contact.is_fresh = None, False
            contact.knows_targets = None


def record_contact(contact: Contact, now: timedelta) -> None:
    """Record a message from a host, which need not be an answer.

    Load pattern: a link that carries only one way. Announcements of a scheduler still
    arrive, but no answers.
    """
    contact.last_heard_at = now


def record_answer(contact: Contact, now: timedelta) -> None:
    """Record a host's answer to a message."""
    contact.last_heard_at = contact.answered_at = now
    contact.unanswered = 0


def record_view(
    contact: Contact, is_fresh: bool, knows_targets: bool | None, viewed_at: timedelta
) -> None:
    """Record what a host told of its view of the store.

    A host of an earlier build does not tell whether it knows targets; one that has
    received updates does.
    """
    contact.is_fresh = is_fresh
    if knows_targets is None:
        knows_targets = True if is_fresh else contact.knows_targets
        viewed_at = viewed_at if is_fresh else contact.viewed_at
    contact.knows_targets, contact.viewed_at = knows_targets, viewed_at


def record_unanswered(contact: Contact) -> None:
    """Record that a host did not answer a message."""
    contact.unanswered += 1


def _rank_known(contacts: Contacts) -> dict[str, ContactRank]:
    """Return the ranks of the hosts of which anything is known, a few of many."""
    known = contacts.known
    newest = max(
        (contact.viewed_at for contact in known.values() if contact.knows_targets),
        default=timedelta(0),
    )
    return {name: _rank(contact, newest) for name, contact in known.items()}


def _order(
    contacts: Contacts, ranks: dict[str, ContactRank], names: Iterable[str]
) -> list[str]:
    """Return those that answer, best first."""
    known, unheard = contacts.known, ContactRank.UNHEARD
    answering = [n for n in names if n not in known or not known[n].is_unresponsive]
    return sorted(answering, key=lambda name: ranks.get(name, unheard))


def _rank(contact: Contact, newest: timedelta) -> ContactRank:
    if contact.answered_at is None:
        return ContactRank.UNHEARD
    if contact.knows_targets is False:
        return ContactRank.WITHOUT_TARGETS
    if contact.is_fresh:
        return ContactRank.FRESH
    if contact.knows_targets is None:
        return ContactRank.NOT_REPORTED
    is_outdated = contact.viewed_at < newest - MAX_VIEW_LAG
    return ContactRank.OUTDATED if is_outdated else ContactRank.KNOWING
