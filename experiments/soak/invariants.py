"""Check outcomes of clients and targets against the system's invariants."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Outcome", "Route", "ROUTES", "find_violations"]

# A response is due by its deadline; a busy machine may deliver it this much later.
SLACK_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Route that clients call; one attempt may run at most ``max_runs`` times."""

    prefix: str
    method: str
    max_runs: int
    streams: bool = False


ROUTES = {
    "notes": Route("/notes/", "POST", 2, streams=True),
    "once": Route("/once/", "POST", 1, streams=True),
    "hold": Route("/hold/", "POST", 1),
    "seats": Route("/seats/", "GET", 2),
}


@dataclass(slots=True)
class Outcome:
    """Outcome of one attempt; times in seconds from the start of the soak test.

    ``status`` is 0 when the connection failed before a response; ``complete`` is true
    when the body arrived in full.
    """

    attempt: str
    route: str
    daemon: str
    began: float
    deadline: float
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    body: bytes = b""
    signature: str = ""
    detail: str = field(default="")


def find_violations(
    outcomes: Iterable[Outcome], ran: dict[str, list[str]], stream: bytes
) -> list[str]:
    """Return a description of each violated invariant.

    ``ran`` maps targets to the attempts that they ran, ``stream`` is the expected body
    of a complete stream.
    """
    runs = Counter(attempt for attempts in ran.values() for attempt in attempts)
    sent: dict[str, Outcome] = {}
    violations = []
    for outcome in outcomes:
        sent[outcome.attempt] = outcome
        violations += [
            f"{outcome.began:.2f} s {outcome.daemon} {outcome.attempt}: {what}"
            for what in _check_outcome(outcome, runs[outcome.attempt], stream)
        ]
    unsent = [attempt for attempt in runs if attempt not in sent]
    return violations + [f"{attempt} ran and was never sent" for attempt in unsent]


def _check_outcome(outcome: Outcome, runs: int, stream: bytes) -> Iterable[str]:
    route = ROUTES[outcome.route]
    if runs > route.max_runs:
        yield f"{outcome.route} ran {runs} times, at most {route.max_runs}"
    if outcome.status == 503 and not outcome.signature and runs:
        yield f"refused as not run, but ran {runs} times"
    if outcome.ended > outcome.deadline + SLACK_SECONDS:
        yield f"held for {outcome.ended - outcome.began:.2f} s"
    if outcome.status != 200:
        return
    if not outcome.signature:
        yield "a response without its target's signature"
    if route.streams:
        expected = stream if outcome.complete else stream[: len(outcome.body)]
        if outcome.body != expected:
            yield f"a stream with other events: {outcome.body[-60:]!r}"
    elif outcome.complete and not _echoes_request(outcome):
        yield f"another request's response: {outcome.body[:80]!r}"
    if outcome.complete and not runs:
        yield "answered without a run"


def _echoes_request(outcome: Outcome) -> bool:
    method = ROUTES[outcome.route].method
    path = ROUTES[outcome.route].prefix + outcome.attempt
    return outcome.body.endswith(f"{method} {path}".encode())
