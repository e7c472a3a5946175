"""Find the organisation that sends a request, and how urgent that makes the request."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from result import Err, Ok, Result

from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.routes import Route, RouteTable, find_route
from galenapass.systems.identities import Identities, Organisation, find_organisation
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "KEY_WAIT",
    "CallerFinder",
    "CallerLookup",
    "KeyProblem",
    "find_caller",
    "find_caller_rank",
    "list_priorities",
    "make_key_refusal",
]

# Time for which a host that may be behind looks for the version that holds a key. A
# peer of the domain hands a version on within 0.2 s, or the store within 0.3 s.
KEY_WAIT = timedelta(milliseconds=500)
# A host that is behind has the version by then, or another host serves the request.
RETRY_AFTER = timedelta(seconds=1)


class KeyProblem(Enum):
    """Reason why a request is refused for its key."""

    MISSING = "no key"
    UNKNOWN = "unknown key"
    UNDECIDED = "unknown key at a host that may be behind"


@dataclass(slots=True, frozen=True)
class CallerLookup:
    """Route and caller of a request by one configuration.

    The caller is None if no organisation is known and none is needed; ``rank`` is None
    without organisations.
    """

    table: RouteTable
    route: Route | None
    caller: Result[Organisation | None, KeyProblem] = Ok(None)
    rank: int | None = None

    @property
    def organisation(self) -> str | None:
        """Return the caller's name, empty if unknown, None without organisations."""
        if self.table.identities is None:
            return None
        organisation = self.caller.unwrap_or(None)
        return "" if organisation is None else organisation.name


def find_caller(
    identities: Identities | None, route: Route, digest: str
) -> Result[Organisation | None, KeyProblem]:
    """Return the organisation that holds the key of a digest, empty for no key."""
    if identities is None:
        return Ok(None)
    organisation = find_organisation(identities, digest) if digest else None
    if organisation is not None or route.is_public:
        return Ok(organisation)
    return Err(KeyProblem.UNKNOWN if digest else KeyProblem.MISSING)


def list_priorities(identities: Identities) -> list[int]:
    """Return the distinct priorities of the organisations, the most urgent first.

    As at a route, one that is unset counts as 0.
    """
    return sorted({one.priority or 0 for one in identities.organisations.values()})


def find_caller_rank(
    route: Route,
    caller: Organisation | None,
    priorities: list[int],
    route_ranks: list[int],
) -> int:
    """Return the rank of a request: by its organisation, then by its route.

    ``priorities`` and ``route_ranks`` are the distinct ones of the configuration in
    order. Ranks that differ only in their numbers are counted without gaps, as each of
    them counts as time that a request waits. A request without an organisation does
    not overtake one that has one. Organisations of one priority leave the route's rank.
    """
    if len(priorities) < 2:
        return route.rank
    priority = priorities[-1] if caller is None else caller.priority or 0
    level = priorities.index(priority)
    return level * len(route_ranks) + route_ranks.index(route.rank)


def make_key_refusal(problem: KeyProblem) -> Verdict:
    """Return the verdict of a request that is refused for its key."""
    if problem is KeyProblem.UNDECIDED:
        detail = "this host does not know the key and may be behind"
        return Verdict(Run.NOT_RUN, Reason.NOT_CONFIGURED, detail, RETRY_AFTER)
    details = {
        KeyProblem.MISSING: "the request has no key",
        KeyProblem.UNKNOWN: "the key is unknown",
    }
    return Verdict(Run.NOT_RUN, Reason.UNAUTHENTICATED, details[problem])


class CallerFinder:
    """Finder of the route and the caller of requests by the configuration in force.

    ``digest_key`` returns the digest of the key in a client's headers, empty without
    one. ``confirm`` returns whether the configuration in force is the newest one, which
    it asks other hosts and the store for a short time if that is not known.
    """

    def __init__(
        self,
        fleet: Fleet,
        digest_key: Callable[[Mapping[str, str]], str],
        confirm: Callable[[], Awaitable[bool]],
    ):
        self._fleet = fleet
        self._digest_key = digest_key
        self._confirm = confirm
        self._ranked: RouteTable | None = None
        self._priorities: list[int] = []
        self._route_ranks: list[int] = []

    async def find(
        self, headers: Mapping[str, str], host: str, path: str
    ) -> CallerLookup:
        """Return the route and the caller of a request.

        Load pattern: clients with a new key, as versions follow each other faster than
        a host applies them. A host that may be behind must not take their key for an
        unknown one.
        """
        found = self._look_up(headers, host, path)
        if found.caller != _UNKNOWN:
            return found
        is_newest = await self._confirm()
        found = self._look_up(headers, host, path)
        if found.caller == _UNKNOWN and not is_newest:
            return CallerLookup(found.table, found.route, Err(KeyProblem.UNDECIDED))
        return found

    def _look_up(
        self, headers: Mapping[str, str], host: str, path: str
    ) -> CallerLookup:
        table = self._fleet.routes
        route = find_route(table, host, path)
        if route is None or table.identities is None:
            return CallerLookup(table, route)
        caller = find_caller(table.identities, route, self._digest_key(headers))
        if isinstance(caller, Err):
            return CallerLookup(table, route, caller)
        if self._ranked is not table:
            self._ranked = table
            self._priorities = list_priorities(table.identities)
            rows = table.routes.values()
            self._route_ranks = sorted({one.rank for row in rows for one in row})
        rank = find_caller_rank(
            route, caller.ok_value, self._priorities, self._route_ranks
        )
        return CallerLookup(table, route, caller, rank)


_UNKNOWN: Result[Organisation | None, KeyProblem] = Err(KeyProblem.UNKNOWN)
