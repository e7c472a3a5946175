"""Generate the faults of a soak test of the platform path from its seed."""

from collections.abc import Sequence
from random import Random
from typing import Any

from experiments.soak.faults import Fault

__all__ = ["draw_runner_faults", "plan_daemon_stops", "plan_runner_kills"]

STUTTER_SECONDS = (0.0, 2.0)
# Share of the runners whose answers to prefills bear the id of the attempt.
NAMED_SHARE = 0.25
STUTTER_SHARE = (0.5, 1.0)
# Pause amid an answer of a plain service, and of an engine to a prefill.
SPLIT_SECONDS = (0.1, 0.3, 0.6)
PREFILL_SPLIT_SECONDS = (0.0, 0.0, 0.1)
PREFILL_SECONDS = (0.1, 0.3)
# Mean time between kills of runners, and between stops of daemons; by seed.
KILL_GAP_SECONDS = (0.4, 2.0)
DOWN_SECONDS = (0.3, 2.0)
STOP_GAP_SECONDS = (2.5, 8.0)
STOPPED_SECONDS = (0.0, 1.0)
# Share of the faults that come in series, and the pause between two of a series.
SERIES_SHARE = 0.25
SERIES_LENGTH = 3
SERIES_GAP_SECONDS = 0.3


def draw_runner_faults(random: Random, stage: str) -> dict[str, Any]:
    """Return the faults that a runner keeps for the whole soak test.

    A second answer in a body that has no length can't be told from that body, so a
    runner has one of these faults at most.
    """
    kind = random.choice(("stutters", "stutters", "unframed", "unframed", "none"))
    split_seconds = PREFILL_SPLIT_SECONDS if stage else SPLIT_SECONDS
    faults: dict[str, Any] = {
        "marks_runs": True,
        "names_prefills": random.random() < NAMED_SHARE,
        "split_seconds": random.choice(split_seconds),
    }
    if stage == "prefill":
        faults["delay_seconds"] = random.choice(PREFILL_SECONDS)
    if kind == "stutters":
        faults |= {
            "stutters": True,
            "stutter_share": random.uniform(*STUTTER_SHARE),
            "stutter_seconds": STUTTER_SECONDS,
            "repeats_id": random.random() < 0.5,
        }
    return faults | {"unframed": kind == "unframed"}


def plan_runner_kills(
    random: Random, seconds: float, runners: Sequence[str]
) -> list[Fault]:
    """Return kills of runners, which start again under the same or another id."""
    faults = []
    rate = 1 / random.choice(KILL_GAP_SECONDS)
    at = random.expovariate(rate)
    while at < seconds:
        is_series = random.random() < SERIES_SHARE
        for number in range(SERIES_LENGTH if is_series else 1):
            kind = random.choice(("kill", "replace"))
            name = random.choice(list(runners))
            began = at + number * SERIES_GAP_SECONDS
            faults.append(Fault(began, random.uniform(*DOWN_SECONDS), kind, name))
        at += random.expovariate(rate)
    return faults


def plan_daemon_stops(
    random: Random, seconds: float, daemons: Sequence[str]
) -> list[Fault]:
    """Return kills and planned stops of daemons; those of a series overlap."""
    faults = []
    rate = 1 / random.choice(STOP_GAP_SECONDS)
    at = random.expovariate(rate)
    while at < seconds:
        is_series = random.random() < SERIES_SHARE
        names = list(daemons) if is_series else [random.choice(list(daemons))]
        for number, name in enumerate(names):
            kind = random.choice(("kill", "terminate"))
            began = at + number * SERIES_GAP_SECONDS
            faults.append(Fault(began, random.uniform(*STOPPED_SECONDS), kind, name))
        at += random.expovariate(rate)
    return faults
