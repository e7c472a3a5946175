"""Find the requests that crash targets, and keep them from a third target.

The core calls ``record_target_crash`` when a target fails, before it gives the running
requests back; ``record_completion`` when a request completes; ``check_crash_suspicion``
before it admits or retries one. Peers exchange ``list_suspect_updates`` by
``apply_suspect_updates``. Every daemon derives the same target for a suspect from the
same tables, so copies of it that run through several daemons meet at one target.
"""

from dataclasses import dataclass
from datetime import timedelta

import xxhash

from galenapass.tables.crashes import Crash, Suspect
from galenapass.tables.requests import Request, RequestState
from galenapass.tables.targets import Role, Target
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Run, Verdict

__all__ = [
    "SuspectUpdate",
    "check_crash_suspicion",
    "find_strays",
    "forget_old",
    "apply_suspect_updates",
    "is_suspected",
    "limit_targets",
    "record_completion",
    "record_target_crash",
    "record_crash",
    "list_suspect_updates",
]

CRASHES_TO_REFUSE = 2
MEMORY = timedelta(hours=1)
TRIAL_TIME = timedelta(seconds=30)
MOST_COMPLETED = 4096
RUNNING = (RequestState.DISPATCHED, RequestState.STREAMING)


@dataclass(slots=True, frozen=True)
class SuspectUpdate:
    """Hold what a peer is told of one fingerprint; ``age`` is since its change."""

    fingerprint: str
    crashes: frozenset[Crash]
    cleared: frozenset[Crash]
    age: timedelta


def record_target_crash(world: World, target: str, now: timedelta) -> list[str]:
    """Make suspects of the requests that run at a crashed target."""
    crash = Crash(target, world.targets[target].incarnation)
    running = {r.fingerprint for r in _running_at(world, target) if r.fingerprint}
    for fingerprint in running:
        record_crash(world, fingerprint, crash, now)
    return sorted(running)


def record_crash(world: World, fingerprint: str, crash: Crash, now: timedelta) -> bool:
    """Make a suspect of a fingerprint; return whether the crash is news."""
    suspect = _suspect(world, fingerprint)
    if crash in suspect.crashes:
        return False
    suspect.crashes.add(crash)
    suspect.changed = now
    return True


def record_completion(world: World, request: Request, now: timedelta) -> bool:
    """Clear a suspect that completed; return whether it was one."""
    _remember(world, request.fingerprint)
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes or _is_refused(suspect):
        return False
    suspect.cleared |= suspect.crashes
    suspect.changed = now
    return True


def check_crash_suspicion(world: World, request: Request) -> Verdict | None:
    """Return the final verdict on a request that crashes targets, else None."""
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not _is_refused(suspect):
        return None
    targets = sorted({crash.target for crash in suspect.open_crashes})
    detail = f"equal requests were running when {', '.join(targets)} crashed"
    run = Run.MAY_HAVE_RUN if request.may_have_run else Run.NOT_RUN
    return Verdict(run, Reason.CRASHES_TARGETS, detail)


def is_suspected(world: World, request: Request) -> bool:
    """Tell whether a request is suspected and may still run."""
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes:
        return False
    return not _is_refused(suspect)


def limit_targets(
    world: World, request: Request, targets: list[Target], now: timedelta
) -> list[Target]:
    """Return the targets that may run a request, given the suspects."""
    if not request.fingerprint:
        return targets
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes:
        return _join_twins(world, request, targets)
    if _is_refused(suspect):
        return []
    names = _assign(world, request.service, now).get(request.fingerprint, ())
    if any(_others_on_trial(world, request, name) for name in names):
        return []
    return [t for t in targets if t.id in names]


def find_strays(world: World, now: timedelta) -> list[Request]:
    """Return the running suspects that are not at the targets of their trial."""
    return [r for r in world.requests.values() if _is_stray(world, r, now)]


def list_suspect_updates(world: World, now: timedelta) -> list[SuspectUpdate]:
    """Return all that peers should know, most recent change first."""
    suspects = sorted(
        world.crashes.suspects.values(), key=lambda s: (-s.changed, s.fingerprint)
    )
    return [
        SuspectUpdate(
            s.fingerprint, frozenset(s.crashes), frozenset(s.cleared), now - s.changed
        )
        for s in suspects
    ]


def apply_suspect_updates(
    world: World, news: list[SuspectUpdate], now: timedelta
) -> None:
    """Take in what a peer tells; repeats and any order do no harm."""
    for item in news:
        if item.age >= MEMORY:
            continue
        suspect = _suspect(world, item.fingerprint)
        known = (len(suspect.crashes), len(suspect.cleared))
        suspect.crashes |= item.crashes
        suspect.cleared |= item.cleared
        if known != (len(suspect.crashes), len(suspect.cleared)):
            suspect.changed = max(suspect.changed, now - item.age)


def forget_old(world: World, now: timedelta) -> None:
    """Drop the suspects of which nothing was heard for long."""
    old = [s for s in world.crashes.suspects.values() if now - s.changed >= MEMORY]
    for suspect in old:
        del world.crashes.suspects[suspect.fingerprint]


def _suspect(world: World, fingerprint: str) -> Suspect:
    return world.crashes.suspects.setdefault(fingerprint, Suspect(fingerprint))


def _remember(world: World, fingerprint: str) -> None:
    completed = world.crashes.completed
    completed.pop(fingerprint, None)
    completed[fingerprint] = None
    if len(completed) > MOST_COMPLETED:
        del completed[next(iter(completed))]


def _is_refused(suspect: Suspect) -> bool:
    # Daemons may know different incarnations of one crash, so targets are counted.
    return len({c.target for c in suspect.open_crashes}) >= CRASHES_TO_REFUSE


def _running_at(world: World, target: str) -> list[Request]:
    return [
        r
        for r in world.requests.values()
        if r.state in RUNNING and target in (r.target, r.prefill_target)
    ]


def _is_stray(world: World, request: Request, now: timedelta) -> bool:
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes or request.state not in RUNNING:
        return False
    names = _assign(world, request.service, now).get(request.fingerprint, ())
    return request.target not in names


def _join_twins(world: World, request: Request, targets: list[Target]) -> list[Target]:
    """Keep equal requests at one target until one of them has completed."""
    if request.fingerprint in world.crashes.completed:
        return targets
    names = {
        name
        for r in world.requests.values()
        if r.fingerprint == request.fingerprint and r.state in RUNNING
        for name in (r.target, r.prefill_target)
    }
    return [t for t in targets if not names or t.id in names]


def _others_on_trial(world: World, request: Request, target: str) -> bool:
    """Tell whether another suspect runs at a target; two could not be told apart."""
    others = {r.fingerprint for r in _running_at(world, target)}
    others.discard(request.fingerprint)
    suspects = world.crashes.suspects
    return any(f in suspects and suspects[f].open_crashes for f in others)


def _assign(world: World, service: str, now: timedelta) -> dict[str, tuple[str, ...]]:
    """Return a different target for each suspect on trial, or one for each phase.

    The suspects beyond the number of targets wait, on every daemon alike.
    """
    targets = [t for t in world.targets.values() if t.service == service]
    roles = {role: sorted(t.id for t in targets if t.role is role) for role in Role}
    on_trial = _list_trials(world, now)
    if roles[Role.MIXED]:
        return _spread(world, on_trial, roles[Role.MIXED])
    prefill = _spread(world, on_trial, roles[Role.PREFILL])
    decode = _spread(world, on_trial, roles[Role.DECODE])
    return {f: prefill[f] + decode[f] for f in prefill if f in decode}


def _spread(
    world: World, on_trial: list[str], names: list[str]
) -> dict[str, tuple[str, ...]]:
    free = set(names)
    assigned: dict[str, tuple[str, ...]] = {}
    for fingerprint in on_trial:
        crashed = {c.target for c in world.crashes.suspects[fingerprint].open_crashes}
        fit = free - crashed
        if not fit:
            continue
        name = max(fit, key=lambda n: (_score(n, fingerprint), n))
        assigned[fingerprint] = (name,)
        free.discard(name)
    return assigned


def _list_trials(world: World, now: timedelta) -> list[str]:
    """Return the suspects to run, those of long ago last and by turns.

    Some are never sent again; without turns they would keep a target from others.
    """
    suspects = world.crashes.suspects.values()
    on_trial = [s for s in suspects if s.open_crashes and not _is_refused(s)]
    on_trial.sort(key=lambda s: s.fingerprint)
    recent = [s for s in on_trial if now - s.changed <= TRIAL_TIME]
    old = [s for s in on_trial if now - s.changed > TRIAL_TIME]
    if old:
        turn = min(now - s.changed for s in old) // TRIAL_TIME % len(old)
        old = old[turn:] + old[:turn]
    return [s.fingerprint for s in recent + old]


def _score(name: str, fingerprint: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}\n{fingerprint}".encode())
