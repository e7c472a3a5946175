"""Estimate a target's load from delayed reports and the changes since them."""

import math
from dataclasses import dataclass
from datetime import timedelta

from galenapass.systems.caches import uncached_tokens
from galenapass.systems.rates import (
    FAILURES_TO_AVOID,
    learn_first_token,
    learn_from_attempt,
    prefill_rate,
    token_step,
)
from galenapass.tables.requests import Request
from galenapass.tables.targets import (
    LoadChange,
    LoadReport,
    Target,
    TargetKind,
    TargetState,
)
from galenapass.tables.world import World

__all__ = [
    "Load",
    "apply_load_report",
    "engine_share",
    "estimate_load",
    "estimated_concurrency",
    "is_newer",
    "learn_first_token",
    "learn_from_attempt",
    "list_usable_targets",
    "pieces_needed",
    "pieces_total",
    "prefill_rate",
    "record_change",
    "record_peer_change",
    "report_covers",
    "token_step",
    "uncached_pieces_needed",
    "work_seconds",
]

REPORT_LAG = timedelta(seconds=1)
TRUSTED_AGE = timedelta(seconds=5)
TRUST_DECAY_TIME = timedelta(seconds=25)
MAX_CHANGES = 256
DEFAULT_PIECES_TOTAL = 2000
DEFAULT_PIECE_TOKENS = 16


@dataclass(slots=True, frozen=True)
class Load:
    """Estimated current load of a target; ``prefill`` is in tokens."""

    requests: int
    prefill: int
    pieces: int


def record_change(target: Target, change: LoadChange) -> None:
    """Count a start or an end of this daemon's own work at a target."""
    target.own_requests += change.requests
    target.own_prefill += change.prefill
    target.own_pieces += change.pieces
    target.own_changes.append(change)
    _merge_oldest(target.own_changes)
    target.unreported_requests += change.requests
    target.unreported_prefill += change.prefill
    target.unreported_pieces += change.pieces


def record_peer_change(target: Target, change: LoadChange) -> None:
    """Count a start or an end of work at a target that a peer announced."""
    target.peer_changes.append(change)
    _merge_oldest(target.peer_changes)
    target.peer_requests += change.requests
    target.peer_prefill += change.prefill
    target.peer_pieces += change.pieces


def apply_load_report(target: Target, report: LoadReport, at: timedelta) -> None:
    """Apply a load report; drop the changes that it certainly includes."""
    if report.incarnation != target.incarnation and target.incarnation:
        target.own_changes.clear()
        target.peer_changes.clear()
        target.cached_blocks.clear()
    target.incarnation = report.incarnation
    target.load = report
    target.load_at = at
    reported_until = at - REPORT_LAG
    target.own_changes[:] = [c for c in target.own_changes if c.at > reported_until]
    target.peer_changes[:] = [c for c in target.peer_changes if c.at > reported_until]
    _sum_changes(target)


def report_covers(target: Target, at: timedelta | None) -> bool:
    """Return whether the last report includes work that started at a given time."""
    if at is None or target.load_at is None:
        return False
    return at <= target.load_at - REPORT_LAG


def is_newer(target: Target, report: LoadReport) -> bool:
    """Return whether a report is newer than the last one applied."""
    known = target.load
    if known is None or known.incarnation != report.incarnation:
        return True
    return report.sequence > known.sequence


def estimate_load(target: Target, now: timedelta) -> Load:
    """Return the reported load, weighted down with age, plus the later changes."""
    weight = _report_weight(target, now)
    report = target.load
    if report is None or weight == 0.0:
        return Load(
            target.own_requests + max(0, target.peer_requests),
            target.own_prefill + max(0, target.peer_prefill),
            target.own_pieces + max(0, target.peer_pieces),
        )
    requests = weight * (report.running + report.waiting) + target.peer_requests
    prefill = weight * report.prefill_queued + target.peer_prefill
    pieces = weight * report.pieces_used + target.peer_pieces
    return Load(
        max(target.own_requests, round(requests) + target.unreported_requests),
        max(0, round(prefill) + target.unreported_prefill),
        max(target.own_pieces, round(pieces) + target.unreported_pieces),
    )


def pieces_total(target: Target) -> int:
    """Return the size of an engine's KV memory in pieces."""
    return target.load.pieces_total if target.load else DEFAULT_PIECES_TOTAL


def pieces_needed(target: Target, tokens: int) -> int:
    """Return how many pieces a number of tokens takes at an engine."""
    size = target.load.piece_tokens if target.load else DEFAULT_PIECE_TOKENS
    return math.ceil(tokens / max(1, size))


def uncached_pieces_needed(target: Target, request: Request) -> int:
    """Return how many pieces a request takes beside its cached blocks."""
    tokens = uncached_tokens(target, request) + request.output_tokens
    return pieces_needed(target, tokens)


def engine_share(target: Target, request: Request) -> float:
    """Return the fraction of an engine used by a sequence: memory or concurrency."""
    memory = uncached_pieces_needed(target, request) / max(1, pieces_total(target))
    return max(memory, 1.0 / estimated_concurrency(target))


def work_seconds(target: Target, request: Request, now: timedelta) -> float:
    """Return the work of a request in target-seconds."""
    if target.kind is TargetKind.SERVICE:
        return token_step(target, now) / estimated_concurrency(target)
    prefill = uncached_tokens(target, request) / prefill_rate(target, now)
    decode = request.output_tokens * token_step(target, now)
    return prefill + decode * engine_share(target, request)


def estimated_concurrency(target: Target) -> int:
    """Return the learned number of requests that a target runs at once."""
    return max(1, int(target.rates.concurrency))


def list_usable_targets(world: World, service: str, now: timedelta) -> list[Target]:
    """Return the targets of a service that may get new work, sorted by id."""
    targets = [world.targets[name] for name in sorted(world.targets)]
    return [t for t in targets if t.service == service and _is_usable(t, now)]


def _is_usable(target: Target, now: timedelta) -> bool:
    if target.state is not TargetState.SERVING:
        return False
    if target.avoid_until is not None and now < target.avoid_until:
        return False
    if target.failures >= FAILURES_TO_AVOID:
        # A single request at a time probes whether the target has recovered.
        return target.own_requests == 0
    return True


def _report_weight(target: Target, now: timedelta) -> float:
    if target.load is None or target.load_at is None:
        return 0.0
    age_beyond_trust = now - target.load_at - TRUSTED_AGE
    return min(1.0, max(0.0, 1.0 - age_beyond_trust / TRUST_DECAY_TIME))


def _sum_changes(target: Target) -> None:
    target.unreported_requests = sum(c.requests for c in target.own_changes)
    target.unreported_prefill = sum(c.prefill for c in target.own_changes)
    target.unreported_pieces = sum(c.pieces for c in target.own_changes)
    target.peer_requests = sum(c.requests for c in target.peer_changes)
    target.peer_prefill = sum(c.prefill for c in target.peer_changes)
    target.peer_pieces = sum(c.pieces for c in target.peer_changes)


def _merge_oldest(changes: list[LoadChange]) -> None:
    if len(changes) <= MAX_CHANGES:
        return
    oldest = changes[: MAX_CHANGES // 2]
    merged = LoadChange(
        oldest[-1].at,
        sum(c.requests for c in oldest),
        sum(c.prefill for c in oldest),
        sum(c.pieces for c in oldest),
    )
    changes[: len(oldest)] = [merged]
