"""Hold the work of organisations by service, and the level of their shares.

Amounts are multiplied by a scale that grows as fast as they decay, so they are compared
without computing their decay. Functions over tables; times are monotonic.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta

__all__ = [
    "CLAIM_MARGIN",
    "WINDOW",
    "Claim",
    "OrganisationShare",
    "PeerWork",
    "ServiceShares",
    "ServiceWork",
    "ShareTable",
    "count_organisations",
    "extend_shortage",
    "find_level",
    "find_scale",
    "is_at_level",
    "reduce_level",
    "remove_peer",
    "was_short",
]

# Time constant of the decay: the bounds on shares hold over five seconds.
WINDOW = timedelta(seconds=5)
# Part of the level by which a tag has to be below it to claim slots at other
# schedulers. Their work is known some 0.2 s late, which is 0.04 of the window.
CLAIM_MARGIN = 0.1
# Part of the total work below which a scheduler's work counts as gone.
MIN_KEPT_WORK = 0.95
# The scale is reset before it exceeds e to the power of this, after 100 s.
MAX_SCALE_EXPONENT = 20.0
# Organisations with less decayed work are forgotten as the scale is reset.
MIN_WORK_MS = 0.1


@dataclass(slots=True)
class OrganisationShare:
    """Scaled work of one organisation.

    ``own`` was granted by this scheduler, ``peers`` by others; ``lift`` is added for
    the time in which the organisation did not ask for its share.
    """

    own: float = 0.0
    peers: float = 0.0
    lift: float = 0.0

    @property
    def work(self) -> float:
        """Return the scaled work that all schedulers granted."""
        return self.own + self.peers

    @property
    def tag(self) -> float:
        """Return the scaled work by which the organisation is ordered."""
        return self.own + self.peers + self.lift


@dataclass(slots=True, frozen=True)
class Claim:
    """Number of waiting requests of a rank whose organisations are below their share.

    ``rank`` is as returned by ``find_rank``.
    """

    rank: int
    count: int


@dataclass(slots=True, frozen=True)
class ServiceWork:
    """Work for one service that one scheduler granted, in milliseconds.

    ``work`` holds the organisations with most work, ``rest_ms`` and ``rest_count`` are
    the sum and the number of the others. ``level_ms`` is the level that this scheduler
    found, ``claims`` what waits there below its share. ``is_short`` is whether requests
    waited there within the window.
    """

    service: str
    work: tuple[tuple[str, float], ...]
    rest_ms: float = 0.0
    rest_count: int = 0
    level_ms: float = 0.0
    claims: tuple[Claim, ...] = ()
    is_short: bool = True


@dataclass(slots=True)
class PeerWork:
    """What another scheduler last told of one service; amounts are scaled.

    ``progress_at`` is when it last told of more work than before, or of no claims.
    """

    received_at: timedelta
    work: dict[str, float]
    rest: float
    rest_count: int
    level: float
    claims: tuple[Claim, ...]
    progress_at: timedelta

    @property
    def total(self) -> float:
        """Return the scaled work of all organisations."""
        return sum(self.work.values()) + self.rest


@dataclass(slots=True)
class ServiceShares:
    """Shares of one service; amounts are scaled.

    ``total`` is the work of all organisations at all schedulers, ``level`` the own
    level, ``peer_level`` the highest that another scheduler found. Capacity was short
    since ``short_since``, last at ``short_at``, at this scheduler at ``own_short_at``.
    ``has_claims`` is whether another scheduler claims slots.
    """

    since: timedelta
    organisations: dict[str, OrganisationShare] = field(default_factory=dict)
    peers: dict[str, PeerWork] = field(default_factory=dict)
    total: float = 0.0
    level: float = 0.0
    peer_level: float = 0.0
    short_since: timedelta | None = None
    short_at: timedelta | None = None
    own_short_at: timedelta | None = None
    has_claims: bool = False


@dataclass(slots=True)
class ShareTable:
    """Shares by service, and the time at which the scale is 1."""

    scaled_at: timedelta = timedelta(0)
    services: dict[str, ServiceShares] = field(default_factory=dict)


def remove_peer(shares: ServiceShares, host: str) -> PeerWork | None:
    """Remove what a scheduler told; return it, None if it told nothing."""
    peer = shares.peers.pop(host, None)
    if peer is None:
        return None
    for name, amount in peer.work.items():
        share = shares.organisations.get(name)
        if share is not None:
            share.peers = max(share.peers - amount, 0.0)
    shares.total = max(shares.total - peer.total, 0.0)
    shares.peer_level = max((each.level for each in shares.peers.values()), default=0.0)
    return peer


def reduce_level(shares: ServiceShares, before: float) -> None:
    """Reduce level and lifts with the total work, if a scheduler's work is gone.

    Load pattern: a cut between schedulers, or the restart of some. With the former
    level, organisations that ask for little would come after those that lost work.
    """
    if not 0 <= shares.total < MIN_KEPT_WORK * before:
        return
    ratio = shares.total / before
    shares.level *= ratio
    for share in shares.organisations.values():
        share.lift *= ratio


def extend_shortage(shares: ServiceShares, now: timedelta) -> None:
    """Record that capacity is short, since now unless it was within the window."""
    if not was_short(shares, now):
        shares.short_since = now
    shares.short_at = now


def was_short(shares: ServiceShares, now: timedelta) -> bool:
    """Return whether capacity was short within the window."""
    return shares.short_at is not None and now - shares.short_at < WINDOW


def find_level(shares: ServiceShares) -> float:
    """Return the highest level that a scheduler has found.

    A scheduler where only organisations below their share ask finds a lower one.
    """
    return max(shares.level, shares.peer_level)


def is_at_level(shares: ServiceShares, amount: float) -> bool:
    """Return whether a scaled amount of work is about the level or more."""
    level = find_level(shares)
    return level > 0 and amount >= (1.0 - CLAIM_MARGIN / 2) * level


def count_organisations(shares: ServiceShares) -> int:
    """Return the number of organisations with work, as far as it is known."""
    told = (len(peer.work) + peer.rest_count for peer in shares.peers.values())
    return max(len(shares.organisations), max(told, default=0))


def find_scale(table: ShareTable, now: timedelta) -> float:
    """Return the scale of amounts recorded now; reset it before it grows too large.

    A reset changes all amounts, so callers find the scale before they read any.
    """
    exponent = (now - table.scaled_at) / WINDOW
    if exponent > MAX_SCALE_EXPONENT:
        factor = math.exp(-exponent)
        for shares in table.services.values():
            _rescale(shares, factor)
        table.scaled_at, exponent = now, 0.0
    return math.exp(exponent)


def _rescale(shares: ServiceShares, factor: float) -> None:
    shares.level *= factor
    shares.peer_level *= factor
    for peer in shares.peers.values():
        peer.work = {name: amount * factor for name, amount in peer.work.items()}
        peer.rest *= factor
        peer.level *= factor
    for share in shares.organisations.values():
        share.own *= factor
        share.peers *= factor
        share.lift *= factor
    shares.organisations = {
        name: share
        for name, share in shares.organisations.items()
        if share.tag >= MIN_WORK_MS
    }
    shares.total = sum(share.work for share in shares.organisations.values())
    shares.total += sum(peer.rest for peer in shares.peers.values())
