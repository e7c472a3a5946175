"""Identify requests that crash targets, and keep them from a third target.

Requests that were running at a crashed target become suspects by their fingerprints.
A suspect runs again only in a trial, without other suspects at its target, and is
cleared when it completes, or refused once ``CRASHES_TO_REFUSE`` targets crashed.

The core calls ``record_target_crash`` when a target fails, before it releases the
running requests; ``record_completion`` when a request completes; and
``check_crash_suspicion`` before it admits or retries one. Peers exchange
``list_suspect_updates``, which ``apply_suspect_updates`` merges. Every daemon derives
the same target for a suspect from the same tables, so that equal requests at several
daemons are sent to one target.
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
    "apply_suspect_updates",
    "check_crash_suspicion",
    "filter_targets",
    "find_misplaced_suspects",
    "forget_old",
    "is_suspected",
    "list_suspect_updates",
    "record_completion",
    "record_crash",
    "record_target_crash",
]

CRASHES_TO_REFUSE = 2
SUSPECT_LIFETIME = timedelta(hours=1)
TRIAL_TIME = timedelta(seconds=30)
MAX_COMPLETED = 4096
RUNNING_STATES = (RequestState.DISPATCHED, RequestState.STREAMING)


@dataclass(slots=True, frozen=True)
class SuspectUpdate:
    """Crashes of one fingerprint for peers; ``age`` is the time since their change."""

    fingerprint: str
    crashes: frozenset[Crash]
    cleared: frozenset[Crash]
    age: timedelta


def record_target_crash(world: World, target: str, now: timedelta) -> list[str]:
    """Mark the requests at a crashed target as suspects; return their fingerprints."""
    crash = Crash(target, world.targets[target].incarnation)
    running = {r.fingerprint for r in _running_at(world, target) if r.fingerprint}
    for fingerprint in running:
        record_crash(world, fingerprint, crash, now)
    return sorted(running)


def record_crash(world: World, fingerprint: str, crash: Crash, now: timedelta) -> bool:
    """Mark a fingerprint as a suspect; return whether the crash is new for it."""
    suspect = _get_suspect(world, fingerprint)
    if crash in suspect.crashes:
        return False
    suspect.crashes.add(crash)
    suspect.changed_at = now
    return True


def record_completion(world: World, request: Request, now: timedelta) -> bool:
    """Clear a suspect that completed; return whether its record changed."""
    _record_completed(world, request.fingerprint)
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes or _is_refused(suspect):
        return False
    suspect.cleared |= suspect.crashes
    suspect.changed_at = now
    return True


def check_crash_suspicion(world: World, request: Request) -> Verdict | None:
    """Return the final verdict on a request that crashes targets, or None."""
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not _is_refused(suspect):
        return None
    targets = sorted({crash.target for crash in suspect.open_crashes})
    detail = f"equal requests were running when {', '.join(targets)} crashed"
    run = Run.MAY_HAVE_RUN if request.may_have_run else Run.NOT_RUN
    return Verdict(run, Reason.CRASHES_TARGETS, detail)


def is_suspected(world: World, request: Request) -> bool:
    """Return whether a request is a suspect that may still run in a trial."""
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes:
        return False
    return not _is_refused(suspect)


def filter_targets(
    world: World, request: Request, targets: list[Target], now: timedelta
) -> list[Target]:
    """Return those of the targets at which a request may run, given the suspects."""
    if not request.fingerprint:
        return targets
    suspect = world.crashes.suspects.get(request.fingerprint)
    if suspect is None or not suspect.open_crashes:
        return _keep_duplicates_together(world, request, targets)
    if _is_refused(suspect):
        return []
    names = _assign_trials(world, request.service, now).get(request.fingerprint, ())
    if any(_has_other_suspect(world, request, name) for name in names):
        return []
    return [t for t in targets if t.id in names]


def find_misplaced_suspects(world: World, now: timedelta) -> list[Request]:
    """Return the running suspects that are not at the targets of their trials."""
    return [r for r in world.requests.values() if _is_misplaced(world, r, now)]


def list_suspect_updates(world: World, now: timedelta) -> list[SuspectUpdate]:
    """Return the updates to send to peers, most recent change first."""
    suspects = sorted(
        world.crashes.suspects.values(), key=lambda s: (-s.changed_at, s.fingerprint)
    )
    return [
        SuspectUpdate(
            s.fingerprint,
            frozenset(s.crashes),
            frozenset(s.cleared),
            now - s.changed_at,
        )
        for s in suspects
    ]


def apply_suspect_updates(
    world: World, updates: list[SuspectUpdate], now: timedelta
) -> None:
    """Merge the updates of a peer; the operation is idempotent and commutative."""
    for update in updates:
        if update.age >= SUSPECT_LIFETIME:
            continue
        suspect = _get_suspect(world, update.fingerprint)
        counts_before = (len(suspect.crashes), len(suspect.cleared))
        suspect.crashes |= update.crashes
        suspect.cleared |= update.cleared
        if counts_before != (len(suspect.crashes), len(suspect.cleared)):
            suspect.changed_at = max(suspect.changed_at, now - update.age)


def forget_old(world: World, now: timedelta) -> None:
    """Drop the suspects that have not changed for SUSPECT_LIFETIME."""
    old = [
        s
        for s in world.crashes.suspects.values()
        if now - s.changed_at >= SUSPECT_LIFETIME
    ]
    for suspect in old:
        del world.crashes.suspects[suspect.fingerprint]


def _get_suspect(world: World, fingerprint: str) -> Suspect:
    return world.crashes.suspects.setdefault(fingerprint, Suspect(fingerprint))


def _record_completed(world: World, fingerprint: str) -> None:
    completed = world.crashes.completed
    completed.pop(fingerprint, None)
    completed[fingerprint] = None
    if len(completed) > MAX_COMPLETED:
        del completed[next(iter(completed))]


def _is_refused(suspect: Suspect) -> bool:
    # Daemons may record one crash under different incarnations: count the targets.
    return len({c.target for c in suspect.open_crashes}) >= CRASHES_TO_REFUSE


def _running_at(world: World, target: str) -> list[Request]:
    return [
        r
        for r in world.requests.values()
        if r.state in RUNNING_STATES and target in (r.target, r.prefill_target)
    ]


def _is_misplaced(world: World, request: Request, now: timedelta) -> bool:
    suspect = world.crashes.suspects.get(request.fingerprint)
    if (
        suspect is None
        or not suspect.open_crashes
        or request.state not in RUNNING_STATES
    ):
        return False
    names = _assign_trials(world, request.service, now).get(request.fingerprint, ())
    return request.target not in names


def _keep_duplicates_together(
    world: World, request: Request, targets: list[Target]
) -> list[Target]:
    """Keep equal requests at the same targets until one of them has completed."""
    if request.fingerprint in world.crashes.completed:
        return targets
    names = {
        name
        for r in world.requests.values()
        if r.fingerprint == request.fingerprint and r.state in RUNNING_STATES
        for name in (r.target, r.prefill_target)
    }
    return [t for t in targets if not names or t.id in names]


def _has_other_suspect(world: World, request: Request, target: str) -> bool:
    """Return whether another suspect runs there; a crash could not tell them apart."""
    others = {r.fingerprint for r in _running_at(world, target)}
    others.discard(request.fingerprint)
    suspects = world.crashes.suspects
    return any(f in suspects and suspects[f].open_crashes for f in others)


def _assign_trials(
    world: World, service: str, now: timedelta
) -> dict[str, tuple[str, ...]]:
    """Return a separate target for each suspect on trial, or one for each phase.

    When there are more suspects than targets, every daemon lets the same ones wait.
    """
    targets = [t for t in world.targets.values() if t.service == service]
    roles = {role: sorted(t.id for t in targets if t.role is role) for role in Role}
    on_trial = _order_trials(world, now)
    if roles[Role.MIXED]:
        return _assign_targets(world, on_trial, roles[Role.MIXED])
    prefill = _assign_targets(world, on_trial, roles[Role.PREFILL])
    decode = _assign_targets(world, on_trial, roles[Role.DECODE])
    return {f: prefill[f] + decode[f] for f in prefill if f in decode}


def _assign_targets(
    world: World, on_trial: list[str], names: list[str]
) -> dict[str, tuple[str, ...]]:
    unassigned = set(names)
    assigned: dict[str, tuple[str, ...]] = {}
    for fingerprint in on_trial:
        crashed = {c.target for c in world.crashes.suspects[fingerprint].open_crashes}
        candidates = unassigned - crashed
        if not candidates:
            continue
        name = max(candidates, key=lambda n: (_score(n, fingerprint), n))
        assigned[fingerprint] = (name,)
        unassigned.discard(name)
    return assigned


def _order_trials(world: World, now: timedelta) -> list[str]:
    """Return the suspects on trial: recent ones first, older ones in rotation.

    Some suspects are never sent again and would otherwise block a target's trials.
    """
    suspects = world.crashes.suspects.values()
    on_trial = [s for s in suspects if s.open_crashes and not _is_refused(s)]
    on_trial.sort(key=lambda s: s.fingerprint)
    recent = [s for s in on_trial if now - s.changed_at <= TRIAL_TIME]
    old = [s for s in on_trial if now - s.changed_at > TRIAL_TIME]
    if old:
        offset = min(now - s.changed_at for s in old) // TRIAL_TIME % len(old)
        old = old[offset:] + old[:offset]
    return [s.fingerprint for s in recent + old]


def _score(name: str, fingerprint: str) -> int:
    return xxhash.xxh64_intdigest(f"{name}\n{fingerprint}".encode())
