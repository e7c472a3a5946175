"""Check what clients and targets saw against what the system promises; pure."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Outcome", "Route", "ROUTES", "find_violations"]

# A client's answer comes by its deadline; a busy machine delivers it this much later.
SLACK_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Hold a route as clients know it; ``runs`` bounds the runs of one attempt."""

    prefix: str
    method: str
    runs: int
    streams: bool = False


ROUTES = {
    "notes": Route("/notes/", "POST", 2, streams=True),
    "once": Route("/once/", "POST", 1, streams=True),
    "hold": Route("/hold/", "POST", 1),
    "seats": Route("/seats/", "GET", 2),
}


@dataclass(slots=True)
class Outcome:
    """Hold one attempt of a client; times in seconds from the soak's start.

    ``status`` is 0 when the connection broke before an answer; ``whole`` tells that
    the body came to its proper end.
    """

    attempt: str
    route: str
    daemon: str
    began: float
    deadline: float
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    body: bytes = b""
    signature: str = ""
    detail: str = field(default="")


def find_violations(
    outcomes: Iterable[Outcome], ran: dict[str, list[str]], stream: bytes
) -> list[str]:
    """Return each broken promise in words.

    ``ran`` maps targets to the attempts that they ran, ``stream`` is a whole one.
    """
    runs = Counter(attempt for attempts in ran.values() for attempt in attempts)
    known: dict[str, Outcome] = {}
    broken = []
    for outcome in outcomes:
        known[outcome.attempt] = outcome
        broken += [
            f"{outcome.began:.2f} s {outcome.daemon} {outcome.attempt}: {what}"
            for what in _judge(outcome, runs[outcome.attempt], stream)
        ]
    strange = [attempt for attempt in runs if attempt not in known]
    return broken + [f"{attempt} ran and was never sent" for attempt in strange]


def _judge(outcome: Outcome, runs: int, stream: bytes) -> Iterable[str]:
    route = ROUTES[outcome.route]
    if runs > route.runs:
        yield f"{outcome.route} ran {runs} times, at most {route.runs}"
    if outcome.status == 503 and not outcome.signature and runs:
        yield f"refused as not run, but ran {runs} times"
    if outcome.ended > outcome.deadline + SLACK_SECONDS:
        yield f"held for {outcome.ended - outcome.began:.2f} s"
    if outcome.status != 200:
        return
    if not outcome.signature:
        yield "an answer without its target's signature"
    if route.streams:
        expected = stream if outcome.whole else stream[: len(outcome.body)]
        if outcome.body != expected:
            yield f"a stream with other events: {outcome.body[-60:]!r}"
    elif outcome.whole and not _is_own(outcome):
        yield f"another request's answer: {outcome.body[:80]!r}"
    if outcome.whole and not runs:
        yield "answered without a run"


def _is_own(outcome: Outcome) -> bool:
    method = ROUTES[outcome.route].method
    path = ROUTES[outcome.route].prefix + outcome.attempt
    return outcome.body.endswith(f"{method} {path}".encode())
