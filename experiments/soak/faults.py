"""Generate the faults of one soak test from its seed, without side effects."""

from dataclasses import dataclass
from random import Random

from experiments.soak.proxies import Disturbance

__all__ = [
    "DAEMON_FAULTS",
    "RUNNER_FAULTS",
    "STORE_FAULTS",
    "Fault",
    "plan_faults",
    "plan_kills",
    "plan_releases",
    "plan_restores",
    "plan_stops",
]

# Shortest and longest duration of each kind in seconds; 0 for faults without an end.
DAEMON_FAULTS = {
    "pause": (0.2, 3.0),
    "kill": (0.1, 1.5),
    "terminate": (0.0, 0.0),
    "settings": (0.0, 0.0),
}
STORE_FAULTS = {
    "garbage": (0.3, 3.0),
    "unavailable": (0.3, 4.0),
    "throttled": (0.3, 3.0),
    "lost answers": (0.0, 0.0),
    "compaction": (0.0, 0.0),
    "configuration": (0.0, 0.0),
}
RUNNER_FAULTS = {
    "shed": (0.3, 3.0),
    "crash": (0.2, 1.5),
    "break": (0.3, 3.0),
    "slow": (0.5, 3.0),
    "wrong id": (0.2, 1.5),
    "unsigned": (0.2, 1.5),
    "lost handles": (0.3, 3.0),
    "changing": (0.5, 3.0),
    "restart": (0.2, 1.5),
    "leave": (1.0, 4.0),
    "lapse": (0.5, 2.0),
}
LINK_SECONDS = (0.3, 4.0)
LINK_FAULTS = tuple(d.value for d in Disturbance if d is not Disturbance.NONE)
# Duration of the outage with which the store returns to an older copy.
RESTORE_SECONDS = (0.2, 1.0)
# Share of the faults that are applied to each component of a group in turn.
SERIES_SHARE = 0.15
SERIES_GAP_SECONDS = 0.3
RELEASE_SECONDS = (0.3, 1.5)
# Time between the releases of two targets; several may overlap.
RELEASE_GAP_SECONDS = (0.0, 1.2)
# Longest pause until a stopped daemon is started again, or at once.
RESTART_SECONDS = 1.0
STOP_GAP_SECONDS = (0.3, 2.0)
# Share of the stops that come with faults which nobody plans.
UNPLANNED_SHARE = 0.3


@dataclass(slots=True, frozen=True)
class _Companion:
    """Fault around a stop: its share of the stops and its usual place in them.

    ``earliest`` is in seconds from the signal, ``latest`` in grace periods.
    """

    kind: str
    component: str
    share: float
    earliest: float
    latest: float
    seconds: tuple[float, float] = (0.0, 0.0)


# The empty component is the stopped daemon, ``runner`` any target.
_PLANNED = (
    _Companion("terminate", "", 0.4, 0.05, 0.9),
    _Companion("settings", "", 0.5, -0.5, 0.0),
    _Companion("settings", "", 0.5, 0.0, 1.0),
    _Companion("settings", "", 0.5, 0.0, 1.5),
    _Companion("hangup", "", 0.4, -0.3, 1.5),
    _Companion("configuration", "store", 0.4, -0.5, 1.2),
    _Companion("leave", "runner", 0.3, -0.5, 0.5, (1.0, 3.0)),
)
_UNPLANNED = (
    _Companion("pause", "", 0.7, 0.0, 0.7, (0.1, 1.0)),
    _Companion("kill", "", 0.5, 0.5, 0.95),
    _Companion("unavailable", "store", 0.5, -1.0, 0.9, (0.3, 3.0)),
    _Companion("restart", "runner", 0.3, 0.0, 0.9, (0.2, 1.5)),
)


# Faults around the release of a target, in which all daemons are killed at once.
_RELEASE = (
    _Companion("configuration", "store", 0.4, -0.5, 1.0),
    _Companion("settings", "", 0.3, -0.5, 1.0),
    _Companion("terminate", "", 0.2, -0.5, 1.0),
    _Companion("slow", "store", 0.2, -0.5, 1.0, (0.5, 2.0)),
    _Companion("unavailable", "store", 0.2, -0.5, 1.0, (0.3, 1.5)),
)
KILL_ALL_SHARE = 0.5
KILL_SECONDS = (0.1, 1.0)
# Around kills of all daemons while targets refuse a part of their requests.
_KILL = (
    _Companion("configuration", "store", 0.3, -0.5, 1.0),
    _Companion("terminate", "", 0.3, -1.5, 0.0),
    _Companion("unavailable", "store", 0.3, -0.5, 0.5, (0.5, 3.0)),
    _Companion("slow", "store", 0.2, -0.5, 0.5, (0.5, 2.0)),
    _Companion("pause", "", 0.3, 1.0, 2.5, (0.3, 2.0)),
    _Companion("break", "runner", 0.4, -1.0, 1.0, (0.5, 2.0)),
)


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault; ``at`` in seconds from the start, ``duration`` in seconds.

    ``component`` is a daemon, a target, ``store``, or ``link`` and the name of the
    daemon or target behind the proxy.
    """

    at: float
    duration: float
    kind: str
    component: str

    @property
    def end(self) -> float:
        """Return the end of the fault, in seconds from the start."""
        return self.at + self.duration


def plan_faults(
    seed: int, seconds: float, count: int, daemons: list[str], runners: list[str]
) -> list[Fault]:
    """Return ``count`` faults or series of faults, sorted by start time.

    All of them end within ``seconds``; they may overlap.
    """
    random = Random(seed)
    faults: list[Fault] = []
    for _ in range(count):
        kinds, components = _draw_group(random, daemons, runners)
        kind = random.choice(sorted(kinds))
        at, duration = random.uniform(0, seconds), random.uniform(*kinds[kind])
        if random.random() >= SERIES_SHARE:
            components = [random.choice(components)]
        for number, component in enumerate(components):
            begin = min(at + number * SERIES_GAP_SECONDS, seconds)
            faults.append(Fault(begin, min(duration, seconds - begin), kind, component))
    return sorted(faults, key=lambda fault: (fault.at, fault.component))


def plan_restores(seed: int, seconds: float, count: int) -> list[Fault]:
    """Return ``count`` restores of the store from an older copy.

    They are drawn apart from the other faults, whose plan does not depend on them.
    """
    random = Random(f"{seed}-restores")
    faults = []
    for _ in range(count):
        duration = random.uniform(*RESTORE_SECONDS)
        at = random.uniform(0, seconds - duration)
        faults.append(Fault(at, duration, "restore", "store"))
    return faults


def plan_stops(
    seed: int,
    seconds: float,
    count: int,
    grace: float,
    daemons: list[str],
    runners: list[str],
) -> list[Fault]:
    """Return ``count`` planned stops with the faults that overlap them, by start time.

    A stop is of one daemon, or of several in turn or at once; it begins ``grace``
    seconds before the end of the ``seconds`` at the latest. They are drawn apart from
    the other faults, whose plan does not depend on them.
    """
    random = Random(f"{seed}-stops")
    faults: list[Fault] = []
    for _ in range(count):
        begin = random.uniform(0, max(seconds - grace, 0.0))
        stopped = random.sample(daemons, random.randint(1, len(daemons)))
        gap = random.choice((0.0, random.uniform(*STOP_GAP_SECONDS)))
        unplanned = random.choices(_UNPLANNED, k=random.random() < UNPLANNED_SHARE)
        for number, daemon in enumerate(stopped):
            at = begin + number * gap
            pause = random.choice((0.0, random.uniform(0, RESTART_SECONDS)))
            faults.append(Fault(at, pause, "terminate", daemon))
            faults += _draw_companions(
                random, (*_PLANNED, *unplanned), at, grace, daemon, runners
            )
    timely = [fault for fault in faults if 0 <= fault.at <= fault.end <= seconds]
    return sorted(timely, key=lambda fault: (fault.at, fault.component))


def plan_releases(
    seed: int, seconds: float, count: int, daemons: list[str], runners: list[str]
) -> list[Fault]:
    """Return ``count`` releases of one target or of several in turn, by start time.

    Other planned work, faults of the store and kills of all daemons overlap them. They
    are drawn apart from the other faults, whose plan does not depend on them.
    """
    random = Random(f"{seed}-releases")
    faults: list[Fault] = []
    for _ in range(count):
        begin = random.uniform(0, seconds)
        released = random.sample(runners, random.randint(1, len(runners)))
        gap = random.uniform(*RELEASE_GAP_SECONDS)
        for number, runner in enumerate(released):
            at, pause = begin + number * gap, random.uniform(*RELEASE_SECONDS)
            faults.append(Fault(at, pause, "release", runner))
        if random.random() < KILL_ALL_SHARE:
            at = begin + random.uniform(-1.0, 2.0)
            pause = random.uniform(*KILL_SECONDS)
            faults += [Fault(at, pause, "kill", daemon) for daemon in daemons]
        daemon = random.choice(daemons)
        faults += _draw_companions(random, _RELEASE, begin, 1.0, daemon, runners)
    timely = [fault for fault in faults if 0 <= fault.at <= fault.end <= seconds]
    return sorted(timely, key=lambda fault: (fault.at, fault.component))


def plan_kills(
    seed: int, seconds: float, count: int, daemons: list[str], runners: list[str]
) -> list[Fault]:
    """Return ``count`` kills of all daemons at once, by start time.

    The targets refuse half of their requests all the while, so that each process uses
    up its retry budget. They are drawn apart from the other faults, whose
    plan does not depend on them.
    """
    random = Random(f"{seed}-kills")
    faults: list[Fault] = []
    if count:
        faults += [Fault(0.0, seconds, "shed half", runner) for runner in runners]
    for _ in range(count):
        at, pause = random.uniform(0, seconds), random.uniform(*KILL_SECONDS)
        faults += [Fault(at, pause, "kill", daemon) for daemon in daemons]
        daemon = random.choice(daemons)
        faults += _draw_companions(random, _KILL, at, 1.0, daemon, runners)
    timely = [fault for fault in faults if 0 <= fault.at <= fault.end <= seconds]
    return sorted(timely, key=lambda fault: (fault.at, fault.component))


def _draw_companions(
    random: Random,
    companions: tuple[_Companion, ...],
    at: float,
    grace: float,
    daemon: str,
    runners: list[str],
) -> list[Fault]:
    faults = []
    for companion in companions:
        begin = at + random.uniform(companion.earliest, companion.latest * grace)
        duration = random.uniform(*companion.seconds)
        name = random.choice(runners) if companion.component else daemon
        if companion.component == "store":
            name = "store"
        if random.random() < companion.share:
            faults.append(Fault(begin, duration, companion.kind, name))
    return faults


def _draw_group(
    random: Random, daemons: list[str], runners: list[str]
) -> tuple[dict[str, tuple[float, float]], list[str]]:
    links = dict.fromkeys(LINK_FAULTS, LINK_SECONDS)
    groups = (
        (DAEMON_FAULTS, daemons),
        (STORE_FAULTS, ["store"]),
        (RUNNER_FAULTS, runners),
        (links, [f"link {name}" for name in [*daemons, *runners]]),
    )
    return random.choice(groups)
