"""Hold the routes, services and client limits that are in force."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

__all__ = ["ClientLimits", "Repeat", "Route", "RouteTable", "Service", "find_route"]


class Repeat(Enum):
    """Tell what may be repeated of the requests on a route."""

    ANY = "any number of runs"
    RESUME = "a new run may go on after the last event"
    ONCE = "at most one run"


@dataclass(slots=True, frozen=True)
class Service:
    """Hold what a configuration says of a service."""

    name: str
    is_model: bool
    reconfiguration: timedelta = timedelta(seconds=3)
    cache_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Route:
    """Hold one route.

    ``split`` lists services with their weights; ``attempts`` bounds the targets
    that may run one request; ``rank`` is the urgency, 0 first; ``latency_objective`` is
    the time within which an answer is worth most.
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


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Bound what a client may send and how long it may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle: timedelta = timedelta(seconds=15)


@dataclass(slots=True, frozen=True)
class RouteTable:
    """Hold one configuration whole; version 0 stands for none."""

    version: int = 0
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    limits: ClientLimits = field(default_factory=ClientLimits)


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix of a path."""
    fitting = [r for r in table.routes.get(host, ()) if path.startswith(r.prefix)]
    return max(fitting, key=lambda route: len(route.prefix), default=None)
