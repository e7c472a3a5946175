"""Routes, services and client limits of a configuration."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from galenapass.systems.identities import Identities

__all__ = [
    "ClientLimits",
    "Repeat",
    "Route",
    "RouteTable",
    "Scaling",
    "Service",
    "find_route",
    "is_model",
    "map_resumable",
]


class Repeat(Enum):
    """How often the requests of a route may run."""

    ANY = "any number of runs"
    RESUME = "a new run may go on after the last event"
    ONCE = "at most one run"


@dataclass(slots=True, frozen=True)
class Scaling:
    """Bounds and prices of a service whose number of targets can be ordered.

    The bounds hold for each failure domain. A new target serves after ``start_time``.
    ``prices`` are those of a second of a target by domain; a target that may be
    reclaimed costs ``reclaimable_price`` of that, None if there are none.
    """

    min_targets: int
    max_targets: int
    start_time: timedelta
    reclaimable_price: float | None = None
    prices: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Service:
    """Service of a configuration.

    ``reconfiguration`` is how long an engine takes to change its role, ``cache_tokens``
    the size of its KV cache in tokens. ``scaling`` is None if the number of its targets
    is fixed.
    """

    name: str
    is_model: bool
    reconfiguration: timedelta = timedelta(seconds=3)
    cache_tokens: int = 0
    scaling: Scaling | None = None


@dataclass(slots=True, frozen=True)
class Route:
    """Route of a configuration.

    ``split`` lists services with their weights; ``attempts`` is the maximum number of
    runs of one request; ``rank`` is the urgency, 0 the most urgent;
    ``latency_objective`` is the time within which an answer has its full value. The
    requests of an ``is_public`` route need no key of an organisation.
    """

    name: str
    host: str
    prefix: str
    split: tuple[tuple[str, float], ...]
    repeat: Repeat
    streams: bool
    timeout: timedelta
    latency_objective: timedelta
    rank: int
    attempts: int
    is_public: bool = False


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on a client's requests and on the idle time of its connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle: timedelta = timedelta(seconds=15)


@dataclass(slots=True, frozen=True)
class RouteTable:
    """Routes, services and limits of one configuration; version 0 means none.

    ``identities`` is None if the configuration names no organisations.
    """

    version: int = 0
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)
    identities: Identities | None = None


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of a host whose prefix of the path is the longest."""
    matches = [r for r in table.routes.get(host, ()) if path.startswith(r.prefix)]
    return max(matches, key=lambda route: len(route.prefix), default=None)


def is_model(table: RouteTable, service: str) -> bool:
    """Return whether a service is known and its targets are engines."""
    known = table.services.get(service)
    return known is not None and known.is_model


def map_resumable(table: RouteTable) -> dict[tuple[str, str], frozenset[str]]:
    """Return the services of each route whose streams may be resumed.

    The key is the route's host and prefix.
    """
    resumable = [
        route
        for rows in table.routes.values()
        for route in rows
        if route.repeat is Repeat.RESUME
    ]
    # Thousands of routes may share a few splits.
    splits = {route.split for route in resumable}
    services = {split: frozenset(name for name, _ in split) for split in splits}
    return {(route.host, route.prefix): services[route.split] for route in resumable}
