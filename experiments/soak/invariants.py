"""Check outcomes of clients and targets against the system's invariants."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from experiments.soak.faults import Fault
from experiments.soak.raw_requests import Exchange

__all__ = [
    "Outcome",
    "PlannedStop",
    "Route",
    "ROUTES",
    "find_lost",
    "find_violations",
    "is_lost",
    "list_lost",
]

# A response is due by its deadline; a busy machine may deliver it this much later.
SLACK_SECONDS = 1.0
# A request sent this shortly before its connection closed may have crossed the close.
CROSSING_SECONDS = 0.2
# Requests sent this long after the signal may be cut at the end of the grace period.
CUT_SECONDS = 3.0
# Part of the grace period at whose end a target may still be at work.
LAST_SHARE = 1 / 6
# A fault excuses requests that begin up to this long after its end.
CONTACT_SECONDS = 3.0
# A stop lasts until this long after its grace period.
AFTER_GRACE_SECONDS = 1.0
# Planned work, which excuses no lost request.
PLANNED_KINDS = frozenset({"terminate", "settings", "hangup", "configuration"})
# A target that leaves ends its work; what it does after its restart is a fault.
LEAVING_KIND = "leave"


@dataclass(slots=True, frozen=True)
class Route:
    """Route that clients call; one attempt may run at most ``max_runs`` times."""

    prefix: str
    method: str
    max_runs: int
    service: str
    streams: bool = False


ROUTES = {
    "notes": Route("/notes/", "POST", 2, "lm", streams=True),
    "once": Route("/once/", "POST", 1, "lm", streams=True),
    "hold": Route("/hold/", "POST", 1, "desk"),
    "seats": Route("/seats/", "GET", 2, "desk"),
}


@dataclass(slots=True)
class Outcome:
    """Outcome of one attempt; times in seconds from the start of the soak test.

    ``status`` is 0 when the connection failed before a response; ``complete`` is true
    when the body arrived in full. ``sent`` is the time of the last byte, None if the
    request was not sent whole; ``query`` ends the path. ``waited`` is the time that it
    spent behind another request on its connection; only then its deadline begins.
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
    sent: float | None = None
    query: str = ""
    waited: float = 0.0


@dataclass(slots=True, frozen=True)
class PlannedStop:
    """SIGTERM that a daemon got, with its grace period; both in seconds."""

    signal_at: float
    grace: float


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
    if outcome.ended > outcome.deadline + outcome.waited + SLACK_SECONDS:
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
    path = ROUTES[outcome.route].prefix + outcome.attempt + outcome.query
    return outcome.body.endswith(f"{method} {path}".encode())


def is_lost(
    sent_at: float | None, ended_at: float, was_received: bool, stop: PlannedStop
) -> bool:
    """Return whether a planned stop lost a request without a whole answer.

    ``was_received`` tells whether a target received it; times are in seconds.
    """
    if sent_at is None:
        return False
    if not was_received:
        return ended_at - sent_at > CROSSING_SECONDS
    last_part_at = stop.signal_at + stop.grace * (1 - LAST_SHARE)
    is_late = sent_at > stop.signal_at + CUT_SECONDS
    return is_late or ended_at < last_part_at


def list_lost(
    exchanges: Iterable[Exchange], received: set[str], stop: PlannedStop
) -> list[Exchange]:
    """Return the exchanges that a planned stop lost; targets got the ``received``."""
    return [
        exchange
        for exchange in exchanges
        if not exchange.is_whole
        and is_lost(
            exchange.sent_at, exchange.ended_at, exchange.attempt in received, stop
        )
    ]


def find_lost(
    outcomes: Iterable[Outcome],
    received: set[str],
    stops: dict[str, list[PlannedStop]],
    faults: list[Fault],
    services: dict[str, str],
) -> list[str]:
    """Return a description of each request that a planned stop lost.

    ``stops`` lists those of each daemon in order, ``services`` maps targets to theirs.
    Requests beside a fault that nobody planned are left out.
    """
    violations = []
    for outcome in outcomes:
        stop = _find_stop(outcome, stops.get(outcome.daemon, []))
        if outcome.complete or stop is None or outcome.ended >= outcome.deadline:
            continue
        was_received = outcome.attempt in received
        if not is_lost(outcome.sent, outcome.ended, was_received, stop):
            continue
        if any(_excuses(fault, outcome, services) for fault in faults):
            continue
        where = "received by a target" if was_received else "not received by a target"
        violations.append(
            f"{outcome.began:.2f} s {outcome.daemon} {outcome.attempt}: LOST"
            f" {outcome.route}{outcome.query}, {where}, status {outcome.status}, sent"
            f" {_describe_time(outcome.sent, stop)}, ended"
            f" {_describe_time(outcome.ended, stop)} SIGTERM"
        )
    return violations


def _find_stop(outcome: Outcome, stops: list[PlannedStop]) -> PlannedStop | None:
    """Return the first signal of the stop around which a request ended."""
    for stop in stops:
        end = stop.signal_at + stop.grace + AFTER_GRACE_SECONDS
        if stop.signal_at <= outcome.ended <= end:
            return stop
    return None


def _excuses(fault: Fault, outcome: Outcome, services: dict[str, str]) -> bool:
    if fault.kind in PLANNED_KINDS:
        return False
    at = fault.end if fault.kind == LEAVING_KIND else fault.at
    if at > outcome.ended or fault.end + CONTACT_SECONDS < outcome.began:
        return False
    name = fault.component.rpartition(" ")[2]
    service = ROUTES[outcome.route].service
    return name in ("store", outcome.daemon) or services.get(name) == service


def _describe_time(seconds: float | None, stop: PlannedStop) -> str:
    return "never" if seconds is None else f"{seconds - stop.signal_at:+.2f} s"
