"""Share the capacity of a service between organisations while it is short.

Each organisation has a tag for each service: the work that it was granted, by all
schedulers, decayed over ``WINDOW``. The waiting request of the lowest tag goes first.
The level is the tag of the organisation that was granted work last, which is the share
of each. One that has asked for little is lifted to just below the level as it returns,
so that it goes first, but does not keep all others waiting until it has caught up.

Pure functions over the tables of ``share_tables``; work is in milliseconds unless it is
called scaled, times are monotonic.
"""

import math
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol, TypeVar

from galenapass.forwarding.share_tables import (
    CLAIM_MARGIN,
    WINDOW,
    Claim,
    OrganisationShare,
    PeerWork,
    ServiceShares,
    ServiceWork,
    ShareTable,
    count_organisations,
    extend_shortage,
    find_level,
    find_scale,
    is_at_level,
    reduce_level,
    remove_peer,
    was_short,
)

__all__ = [
    "ShareRequest",
    "apply_peer_work",
    "count_claims",
    "find_excess",
    "find_rank",
    "find_share",
    "find_share_rate",
    "find_tag",
    "forget_peer",
    "has_share",
    "is_short",
    "list_claims",
    "list_own",
    "list_work",
    "order_by_share",
    "record_arrival",
    "record_level",
    "record_shortage",
    "record_work",
]

# An organisation that returns goes first for one second's worth of its share: its
# requests have come in a burst, or wait at a scheduler that holds few slots.
CREDIT_SHARE = 0.2
# Part of the mean work below which an organisation goes before more urgent ranks: above
# the quarter that each is to receive, as 0.25 gave 0.24 to 0.30 in replays.
STARVED_SHARE = 0.3
# Rank of the requests of an organisation that has received less than that.
STARVED_RANK = -1
# A younger rate is too noisy to refuse requests by it.
MIN_RATE_AGE = timedelta(seconds=1)
# Claims that were not repeated within this time lapse; they are sent each 0.2 s.
CLAIM_TIMEOUT = timedelta(milliseconds=500)
# Claims of a scheduler that uses none of the slots left to it, as it does not reach the
# targets or waits for something else, lapse after this time.
UNUSED_CLAIM_TIMEOUT = timedelta(seconds=1)
# Growth of scaled work that is more than the rounding of messages.
MIN_PROGRESS = 1.001


class ShareRequest(Protocol):
    """Waiting request of an organisation; its name is empty if unknown."""

    @property
    def service(self) -> str:
        """Return the service."""

    @property
    def organisation(self) -> str:
        """Return the name of the organisation."""

    @property
    def rank(self) -> int:
        """Return the rank, 0 for the most urgent."""

    @property
    def version(self) -> str | None:
        """Return the version that began its stream, None before its first event."""


R = TypeVar("R", bound=ShareRequest)


def record_arrival(
    table: ShareTable, service: str, organisation: str, now: timedelta
) -> None:
    """Record that an organisation asks for a service and did not wait for it before.

    A service has shares from the first request on that names an organisation. Load
    pattern: one that asked for little for seconds and returns with a burst. Without
    the lift it would keep the others waiting until it has received as much as they.
    """
    shares = table.services.get(service)
    if shares is None:
        if not organisation:
            return
        shares = table.services[service] = ServiceShares(now)
    share = shares.organisations.get(organisation)
    if share is None:
        share = shares.organisations[organisation] = OrganisationShare()
    floor = find_level(shares) * (1.0 - CREDIT_SHARE)
    share.lift = max(share.lift, floor - share.work)


def record_work(
    table: ShareTable, service: str, organisation: str, work_ms: float, now: timedelta
) -> None:
    """Record work granted to an organisation; a correction may be negative."""
    shares = table.services.get(service)
    if shares is None:
        return
    amount = work_ms * find_scale(table, now)
    share = shares.organisations.setdefault(organisation, OrganisationShare())
    amount = max(amount, -share.own)
    share.own += amount
    shares.total += amount


def record_level(
    table: ShareTable, service: str, organisation: str, now: timedelta
) -> None:
    """Record that an organisation's request is granted next while capacity is short.

    The level falls slowly, as requests of other ranks are granted between.
    """
    shares = table.services.get(service)
    if shares is None or not was_short(shares, now):
        return
    share = shares.organisations.get(organisation)
    tag = share.tag if share is not None else 0.0
    fall = CREDIT_SHARE * (tag - shares.level)
    shares.level = tag if tag >= shares.level else shares.level + fall


def record_shortage(table: ShareTable, service: str, now: timedelta) -> None:
    """Record that a request waits as no target has room for it."""
    shares = table.services.get(service)
    if shares is not None:
        shares.own_short_at = now
        extend_shortage(shares, now)


def is_short(table: ShareTable, service: str, now: timedelta) -> bool:
    """Return whether the capacity of a service with organisations is short."""
    shares = table.services.get(service)
    return shares is not None and was_short(shares, now)


def find_tag(table: ShareTable, service: str, organisation: str) -> float:
    """Return the scaled work by which an organisation is ordered."""
    shares = table.services.get(service)
    share = shares.organisations.get(organisation) if shares is not None else None
    return share.tag if share is not None else 0.0


def has_share(table: ShareTable, service: str, organisation: str) -> bool:
    """Return whether an organisation was granted its share, whatever its tag."""
    shares = table.services.get(service)
    share = shares.organisations.get(organisation) if shares is not None else None
    if shares is None or share is None:
        return False
    return is_at_level(shares, share.work)


def find_share(table: ShareTable, service: str, now: timedelta) -> float:
    """Return the milliseconds of work that are the share of each in the window."""
    shares = table.services.get(service)
    if shares is None:
        return 0.0
    scale = find_scale(table, now)
    return find_level(shares) / scale


def find_excess(
    table: ShareTable, service: str, organisation: str, now: timedelta
) -> float:
    """Return the work above the share in ms, 0 while capacity is not short."""
    shares = table.services.get(service)
    if shares is None or not was_short(shares, now):
        return 0.0
    scale = find_scale(table, now)
    above = find_tag(table, service, organisation) - find_level(shares)
    return max(above, 0.0) / scale


def find_share_rate(
    table: ShareTable, service: str, organisation: str, now: timedelta
) -> float | None:
    """Return the work that an organisation's share allows here, in ms a millisecond.

    Its other schedulers grant the rest. None while that is not known well enough.
    """
    shares = table.services.get(service)
    if shares is None or shares.short_since is None or not was_short(shares, now):
        return None
    if now - shares.short_since < MIN_RATE_AGE:
        return None
    scale = find_scale(table, now)
    share = shares.organisations.get(organisation, OrganisationShare())
    part = share.own / share.work if share.work > 0 else 1.0
    window_ms = WINDOW / timedelta(milliseconds=1)
    # A window that has just begun holds less work.
    window_ms *= 1.0 - math.exp((shares.since - now) / WINDOW)
    level_ms = find_level(shares) / scale
    least = 1.0 / (len(shares.peers) + 1)
    return level_ms * max(part, least) / window_ms or None


def find_rank(table: ShareTable, request: ShareRequest) -> int:
    """Return the rank of a request, ``STARVED_RANK`` if its organisation starves.

    Load pattern: organisations of an urgent rank that ask for all the capacity.
    """
    shares = table.services[request.service]
    return _find_rank(shares, request, _find_starved_work(shares))


def order_by_share(
    table: ShareTable,
    service: str,
    ordered: Iterable[R],
    find_cost: Callable[[R], float],
    now: timedelta,
) -> list[R]:
    """Order the requests of a service by the shares of their organisations.

    ``ordered`` is the order without shares, which holds within each organisation.
    ``find_cost`` returns the milliseconds of work of a request. Streams that have begun
    come first, then the rank decides, then the work of the organisation, counting that
    of its requests before.
    """
    scale = find_scale(table, now)
    shares = table.services[service]
    starved = _find_starved_work(shares)
    ranked = [
        (request.version is None, _find_rank(shares, request, starved), request)
        for request in ordered
    ]
    ranked.sort(key=lambda entry: entry[:2])
    tags: dict[str, float] = {}
    keyed = []
    for is_new, rank, request in ranked:
        name = request.organisation
        tag = tags.get(name)
        if tag is None:
            tag = find_tag(table, service, name)
        tags[name] = tag + find_cost(request) * scale
        keyed.append((is_new, rank, tag, request))
    keyed.sort(key=lambda entry: entry[:3])
    return [request for *_, request in keyed]


# Other schedulers


def list_own(table: ShareTable, service: str, now: timedelta) -> dict[str, float]:
    """Return the milliseconds of work granted by this scheduler, by organisation."""
    shares = table.services.get(service)
    scale = find_scale(table, now)
    if shares is None:
        return {}
    return {name: share.own / scale for name, share in shares.organisations.items()}


def list_work(
    table: ShareTable,
    service: str,
    waiting: Iterable[ShareRequest],
    max_bytes: int,
    now: timedelta,
) -> ServiceWork | None:
    """Return the work to announce, None where capacity is not short anywhere.

    The organisations with most work are named, as far as ``max_bytes`` allow.
    """
    shares = table.services.get(service)
    if shares is None or not was_short(shares, now):
        return None
    scale = find_scale(table, now)
    own = [(ms, name) for name, ms in list_own(table, service, now).items() if ms > 0]
    own.sort(reverse=True)
    named: list[tuple[str, float]] = []
    for work_ms, name in own:
        max_bytes -= len(name.encode()) + len(f'["",{work_ms:.0f}],')
        if max_bytes < 0:
            break
        named.append((name, round(work_ms)))
    rest = own[len(named) :]
    return ServiceWork(
        service,
        tuple(named),
        round(sum(work_ms for work_ms, _ in rest)),
        len(rest),
        round(shares.level / scale),
        list_claims(table, service, waiting),
        shares.own_short_at is not None and now - shares.own_short_at < WINDOW,
    )


def list_claims(
    table: ShareTable, service: str, waiting: Iterable[ShareRequest]
) -> tuple[Claim, ...]:
    """Return the waiting requests whose organisations are below their share."""
    shares = table.services[service]
    limit = (1.0 - CLAIM_MARGIN) * find_level(shares)
    starved = _find_starved_work(shares)
    counts: dict[int, int] = {}
    for request in waiting:
        if find_tag(table, service, request.organisation) < limit:
            rank = _find_rank(shares, request, starved)
            counts[rank] = counts.get(rank, 0) + 1
    return tuple(Claim(rank, count) for rank, count in sorted(counts.items()))


def apply_peer_work(
    table: ShareTable, host: str, told: ServiceWork, now: timedelta
) -> None:
    """Replace what another scheduler granted for a service."""
    shares = table.services.get(told.service)
    if shares is None:
        shares = table.services[told.service] = ServiceShares(now)
    scale = find_scale(table, now)
    before = shares.total
    last = remove_peer(shares, host)
    work = {name: work_ms * scale for name, work_ms in told.work}
    peer = shares.peers[host] = PeerWork(
        now,
        work,
        told.rest_ms * scale,
        told.rest_count,
        told.level_ms * scale,
        told.claims,
        now,
    )
    if last is not None and told.claims and peer.total <= last.total * MIN_PROGRESS:
        peer.progress_at = last.progress_at
    for name, amount in work.items():
        shares.organisations.setdefault(name, OrganisationShare()).peers += amount
    shares.total += peer.total
    reduce_level(shares, before)
    shares.peer_level = max(each.level for each in shares.peers.values())
    shares.has_claims = any(each.claims for each in shares.peers.values())
    if told.is_short:
        extend_shortage(shares, now)


def forget_peer(table: ShareTable, host: str) -> None:
    """Remove the work of a scheduler that is silent.

    Each side of a partition then divides the capacity that it has.
    """
    for shares in table.services.values():
        before = shares.total
        remove_peer(shares, host)
        reduce_level(shares, before)


def count_claims(
    table: ShareTable, request: ShareRequest, now: timedelta
) -> dict[str, int]:
    """Return how many slots other schedulers claim before a request, by scheduler.

    Load pattern: an organisation that sends far more than its share to one scheduler,
    which holds all slots and grants each again as it is released. Requests of others
    at other schedulers would never find a free one.
    """
    shares = table.services.get(request.service)
    if shares is None or not shares.has_claims or request.version is not None:
        return {}
    claiming = {
        host: peer.claims
        for host, peer in shares.peers.items()
        if peer.claims
        and now - peer.received_at < CLAIM_TIMEOUT
        and now - peer.progress_at < UNUSED_CLAIM_TIMEOUT
    }
    tag = find_tag(table, request.service, request.organisation)
    is_due = claiming and was_short(shares, now)
    if not is_due or not is_at_level(shares, tag):
        return {}
    rank = find_rank(table, request)
    counts = {
        host: sum(claim.count for claim in claims if claim.rank <= rank)
        for host, claims in claiming.items()
    }
    return {host: count for host, count in counts.items() if count}


def _find_starved_work(shares: ServiceShares) -> float:
    """Return the scaled work below which an organisation starves."""
    return STARVED_SHARE * shares.total / max(count_organisations(shares), 1)


def _find_rank(shares: ServiceShares, request: ShareRequest, starved: float) -> int:
    share = shares.organisations.get(request.organisation)
    work = share.work if share is not None else 0.0
    return STARVED_RANK if work < starved else request.rank
