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
    "plan_restores",
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
