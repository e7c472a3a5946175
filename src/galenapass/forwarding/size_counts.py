"""Count the targets of a service by failure domain and kind, as the entries show them.

Times are monotonic.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from galenapass.forwarding.fleet import Fleet
from galenapass.forwarding.sizes import Subject
from galenapass.tables.targets import Target, TargetState

__all__ = [
    "ObservedTargets",
    "SubjectCounts",
    "count_shared_tokens",
    "count_targets",
    "observe_targets",
]

# Crashed targets and cut-off domains are back by then; until then their orders count
# as in effect.
RETURN_TIME = timedelta(seconds=15)
# Parts that this many engines cache are shared: a part of one request is cached by the
# engine that prefills it and by the one that decodes.
MIN_SHARING_ENGINES = 3


@dataclass(slots=True)
class ObservedTargets:
    """Targets of one service that are there, or were a short time ago.

    ``seen`` maps those that do not leave to their subject and when they were last
    there, ``leaving`` the others to when they began to leave.
    """

    seen: dict[str, tuple[Subject, timedelta]] = field(default_factory=dict)
    leaving: dict[str, tuple[Subject, timedelta]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class SubjectCounts:
    """Targets of one subject.

    ``present`` have an entry and do not leave; ``expected`` includes those that were
    lost without a notice a short time ago. ``left_at`` is when one was last seen to
    begin to leave.
    """

    present: int = 0
    expected: int = 0
    left_at: timedelta | None = None


def observe_targets(
    observed: ObservedTargets, fleet: Fleet, service: str, now: timedelta
) -> None:
    """Update which targets of a service are there and which ones leave."""
    for target in fleet.targets.values():
        if target.service != service:
            continue
        subject = (target.domain, target.is_reclaimable)
        if _leaves(fleet, target):
            observed.leaving.setdefault(target.id, (subject, now))
            observed.seen.pop(target.id, None)
        else:
            observed.seen[target.id] = (subject, now)
            observed.leaving.pop(target.id, None)
    for known in (observed.seen, observed.leaving):
        for name in [n for n, (_, at) in known.items() if now - at > RETURN_TIME]:
            if name not in fleet.targets:
                del known[name]


def count_targets(
    observed: ObservedTargets, fleet: Fleet, subjects: Iterable[Subject]
) -> dict[Subject, SubjectCounts]:
    """Return the numbers of targets of the ``subjects`` and of all that were observed.

    Load patterns: crashed targets and cut-off domains, whose entries lapse and return;
    reclaimed targets, which say that they leave.
    """
    seen = observed.seen.items()
    present = Counter(subject for n, (subject, _) in seen if n in fleet.targets)
    expected = Counter(subject for _, (subject, _) in seen)
    left_at: dict[Subject, timedelta] = {}
    for subject, at in observed.leaving.values():
        left_at[subject] = max(at, left_at.get(subject, at))
    return {
        subject: SubjectCounts(
            present[subject], expected[subject], left_at.get(subject)
        )
        for subject in {*expected, *left_at, *subjects}
    }


def count_shared_tokens(fleet: Fleet, targets: list[Target]) -> int:
    """Return the tokens of all prompt parts that requests share."""
    engines: Counter[int] = Counter()
    tokens: dict[int, int] = {}
    for target in targets:
        load = fleet.loads.get(target.id)
        if load is not None:
            engines.update(load.cached.keys())
            tokens.update(load.cached)
    return sum(tokens[d] for d, n in engines.items() if n >= MIN_SHARING_ENGINES)


def _leaves(fleet: Fleet, target: Target) -> bool:
    if fleet.leaving.get(target.id) == target.incarnation:
        return True
    return target.state in (TargetState.LEAVING, TargetState.GONE)
