"""Plan departures of runners beside cuts, and find requests that come after them."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import orjson

from experiments.soak.faults import Fault
from experiments.soak.platform_answers import Answer
from experiments.soak.platform_invariants import Violation

__all__ = [
    "Trouble",
    "find_late_requests",
    "find_late_runs",
    "plan_daemon_troubles",
    "plan_departures",
]

# Longest time for which a target that leaves may get requests, as on the sites with
# many hosts, and that for which a daemon is excused after a trouble of its own.
DRAIN_SECONDS = 3.0
CONTACT_SECONDS = 4.0
# A runner serves on for so long after it has left.
LEAVING_SECONDS = (4.0, 7.0)
DEPARTURE_GAP_SECONDS = (1.0, 4.0)
TROUBLE_GAP_SECONDS = (3.0, 8.0)
TROUBLE_SECONDS = (0.5, 4.0)
SERIES_SHARE = 0.3
SERIES_GAP_SECONDS = 0.4
DEPARTURES = ("leave", "remove")
# Of one daemon: a freeze, and a link to the store that is silent, reset or held.
TROUBLES = ("freeze", "silence", "reset", "hold")


@dataclass(slots=True, frozen=True)
class Trouble:
    """Time in which a daemon is not bound, in seconds of the monotonic clock."""

    daemon: str
    began: float
    ended: float


def plan_departures(
    random: Random, seconds: float, runners: Sequence[str]
) -> list[Fault]:
    """Return departures of runners, some in series."""
    return _plan(
        random, seconds, runners, DEPARTURES, DEPARTURE_GAP_SECONDS, LEAVING_SECONDS
    )


def plan_daemon_troubles(
    random: Random, seconds: float, daemons: Sequence[str], runners: Sequence[str]
) -> list[Fault]:
    """Return freezes of daemons and cuts of links to the store and to runners."""
    kinds = TROUBLES
    faults = _plan(
        random, seconds, daemons, kinds, TROUBLE_GAP_SECONDS, TROUBLE_SECONDS
    )
    return faults + _plan(
        random, seconds, runners, ("hold",), TROUBLE_GAP_SECONDS, TROUBLE_SECONDS
    )


def _plan(
    random: Random,
    seconds: float,
    names: Sequence[str],
    kinds: Sequence[str],
    gaps: tuple[float, float],
    durations: tuple[float, float],
) -> list[Fault]:
    faults, rate = [], 1 / random.uniform(*gaps)
    at = random.expovariate(rate)
    while at < seconds:
        count = len(names) // 2 if random.random() < SERIES_SHARE else 1
        for number, name in enumerate(random.sample(list(names), max(count, 1))):
            began = at + number * SERIES_GAP_SECONDS
            kind, duration = random.choice(kinds), random.uniform(*durations)
            faults.append(Fault(began, duration, kind, name))
        at += random.expovariate(rate)
    return faults


def find_late_requests(
    folder: Path, answers: Iterable[Answer], troubles: Sequence[Trouble]
) -> Iterable[Violation]:
    """Yield each request that reached a runner too long after it had left."""
    daemons = {answer.attempt: answer.daemon for answer in answers}
    for path in sorted(folder.glob("*.record")):
        with path.open("rb") as file:
            yield from find_late_runs(
                path.stem, map(orjson.loads, file), daemons, troubles
            )


def find_late_runs(
    runner: str,
    records: Iterable[dict[str, Any]],
    daemons: Mapping[str, str],
    troubles: Sequence[Trouble],
) -> Iterable[Violation]:
    """Yield each request in a runner's records that reached it after it had left."""
    left_at: float | None = None
    for record in records:
        at = record["at"]
        if record["kind"] in ("left", "started"):
            left_at = at if record["kind"] == "left" else None
        elif left_at is not None and record["kind"] in ("run", "prefill"):
            daemon = daemons.get(record["attempt"], "")
            bound_from = max(
                (
                    trouble.ended + CONTACT_SECONDS
                    for trouble in troubles
                    if trouble.daemon in (daemon, runner) and trouble.began <= at
                ),
                default=left_at,
            )
            if at > max(left_at, bound_from) + DRAIN_SECONDS:
                detail = f"{record['kind']} from {daemon}, {at - left_at:.2f} s later"
                kind = "request after it has left"
                yield Violation(record["attempt"], runner, kind, detail)
