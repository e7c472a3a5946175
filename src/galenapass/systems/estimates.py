"""Estimate a target's load and speed from lagging reports and own results."""

import math
from dataclasses import dataclass
from datetime import timedelta

from galenapass.tables.requests import Request
from galenapass.tables.targets import (
    Kind,
    LoadChange,
    LoadReport,
    Rates,
    Target,
    TargetState,
)
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Verdict

__all__ = [
    "Load",
    "cached_tokens",
    "estimate_load",
    "fresh_tokens",
    "hear_load",
    "hear_peer",
    "is_newer",
    "learn_end",
    "learn_first_token",
    "pieces_needed",
    "pieces_total",
    "prefill_rate",
    "prefill_wait",
    "record",
    "sequences",
    "service_time",
    "token_step",
    "usable",
]

DEFAULT_RATES = Rates()
REPORT_LAG = timedelta(seconds=1)
TRUSTED_AGE = timedelta(seconds=5)
DISTRUST_SPAN = timedelta(seconds=25)
MOST_CHANGES = 256
DEFAULT_PIECES = 2000
DEFAULT_PIECE_TOKENS = 16
LEARNING_SHARE = 0.2
WORSENING_SHARE = 0.005
LEAST_SAMPLE_TOKENS = 128
FORGETTING_TIME = 30.0  # seconds
FAILURES_TO_AVOID = 2
FIRST_AVOIDANCE = timedelta(seconds=1)
LONGEST_AVOIDANCE = timedelta(seconds=60)
REFUSAL_AVOIDANCE = timedelta(milliseconds=250)
ROOM_STEP = 0.05  # sequences regained by each completion
LARGEST_ROOM = 512.0


@dataclass(slots=True, frozen=True)
class Load:
    """Hold the estimated work at a target now; prefill is in tokens."""

    requests: int
    prefill: int
    pieces: int


def record(target: Target, change: LoadChange) -> None:
    """Count a start or an end of this daemon's own work at a target."""
    target.own_requests += change.requests
    target.own_prefill += change.prefill
    target.own_pieces += change.pieces
    target.own_changes.append(change)
    _merge_oldest(target.own_changes)


def hear_peer(target: Target, change: LoadChange) -> None:
    """Count what a peer announced to have started or ended at a target."""
    target.peer_changes.append(change)
    _merge_oldest(target.peer_changes)
    _sum_peers(target)


def hear_load(target: Target, report: LoadReport, at: timedelta) -> None:
    """Take a report in; drop the changes that it surely shows."""
    if report.incarnation != target.incarnation and target.incarnation:
        target.own_changes.clear()
        target.peer_changes.clear()
        target.cached_blocks.clear()
    target.incarnation = report.incarnation
    target.load = report
    target.load_at = at
    shown = at - REPORT_LAG
    target.own_changes[:] = [c for c in target.own_changes if c.at > shown]
    target.peer_changes[:] = [c for c in target.peer_changes if c.at > shown]
    _sum_peers(target)


def is_newer(target: Target, report: LoadReport) -> bool:
    """Tell whether a report says more than the one already known."""
    known = target.load
    if known is None or known.incarnation != report.incarnation:
        return True
    return report.sequence > known.sequence


def estimate_load(target: Target, now: timedelta) -> Load:
    """Return reported load, trusted less with age, with later changes added."""
    trust = _trust(target, now)
    report = target.load
    changes = target.own_changes
    if report is None or trust == 0.0:
        return Load(
            target.own_requests + max(0, target.peer_requests),
            target.own_prefill + max(0, target.peer_prefill),
            target.own_pieces + max(0, target.peer_pieces),
        )
    requests = trust * (report.running + report.waiting) + target.peer_requests
    prefill = trust * report.prefill_queued + target.peer_prefill
    pieces = trust * report.pieces_used + target.peer_pieces
    return Load(
        max(target.own_requests, round(requests) + sum(c.requests for c in changes)),
        max(target.own_prefill, round(prefill) + sum(c.prefill for c in changes)),
        max(target.own_pieces, round(pieces) + sum(c.pieces for c in changes)),
    )


def pieces_total(target: Target) -> int:
    """Return the memory of an engine in its pieces."""
    return target.load.pieces_total if target.load else DEFAULT_PIECES


def pieces_needed(target: Target, tokens: int) -> int:
    """Return the pieces that hold a number of tokens at an engine."""
    size = target.load.piece_tokens if target.load else DEFAULT_PIECE_TOKENS
    return math.ceil(tokens / max(1, size))


def sequences(target: Target) -> int:
    """Return how many requests a target is believed to run at once."""
    return max(1, int(target.rates.room))


def cached_tokens(target: Target, request: Request) -> int:
    """Return the leading tokens of a prompt that an engine's events show cached."""
    hits = 0
    for block in request.blocks:
        if block not in target.cached_blocks:
            break
        hits += 1
    if not hits:
        return 0
    return request.prompt_tokens * hits // len(request.blocks)


def fresh_tokens(target: Target, request: Request) -> int:
    """Return the tokens of a prompt that an engine still has to process."""
    return request.prompt_tokens - cached_tokens(target, request)


def prefill_wait(target: Target, now: timedelta) -> float:
    """Return the seconds until the prompts before a new one are processed."""
    return estimate_load(target, now).prefill / prefill_rate(target, now)


def prefill_rate(target: Target, now: timedelta) -> float:
    """Return the learned tokens a second, drifting to the default unused."""
    learned = target.rates.prefill
    fade = _fade(target.rates.prefill_at, now)
    return learned * fade + DEFAULT_RATES.prefill * (1.0 - fade)


def token_step(target: Target, now: timedelta) -> float:
    """Return the learned seconds between tokens, drifting to the default unused."""
    fade = _fade(target.rates.step_at, now)
    return target.rates.step * fade + DEFAULT_RATES.step * (1.0 - fade)


def service_time(target: Target, request: Request, now: timedelta) -> float:
    """Return the seconds that a request takes once its prompt is next."""
    if target.kind is Kind.SERVICE:
        return token_step(target, now)
    prefill = fresh_tokens(target, request) / prefill_rate(target, now)
    return prefill + request.output_tokens * token_step(target, now)


def usable(world: World, service: str, now: timedelta) -> list[Target]:
    """Return the targets of a service that may get new work, by identifier."""
    targets = [world.targets[name] for name in sorted(world.targets)]
    return [t for t in targets if t.service == service and _may_get_work(t, now)]


def learn_first_token(target: Target, request: Request, now: timedelta) -> None:
    """Learn the prefill rate of a target from a request's first token."""
    tokens = request.queued_ahead + fresh_tokens(target, request)
    if request.dispatched is None or tokens < LEAST_SAMPLE_TOKENS:
        return
    elapsed = (now - request.dispatched).total_seconds()
    if elapsed <= 0.0:
        return
    rates = target.rates
    sample = tokens / elapsed
    rates.prefill = _blend(prefill_rate(target, now), sample)
    rates.prefill_at = now
    better = sample > rates.best_prefill
    rates.best_prefill = _blend(rates.best_prefill, sample, _best_share(better))


def learn_end(world: World, request: Request, verdict: Verdict, now: timedelta) -> None:
    """Learn speed, room and health of a target from the end of an attempt."""
    target = world.targets.get(request.target or "")
    if target is None:
        return
    lessons = {
        Reason.COMPLETED: _learn_completion,
        Reason.TARGET_REFUSED: _learn_refusal,
        Reason.TARGET_FAILED: _learn_failure,
        Reason.TARGET_UNREACHABLE: _learn_failure,
    }
    lesson = lessons.get(verdict.reason)
    if lesson is not None:
        lesson(target, request, now)


def _learn_completion(target: Target, request: Request, now: timedelta) -> None:
    target.failures = 0
    target.avoid_until = None
    target.rates.room = min(LARGEST_ROOM, target.rates.room + ROOM_STEP)
    if request.first_token is None or request.delivered < 2:
        return
    elapsed = (now - request.first_token).total_seconds()
    sample = elapsed / (request.delivered - 1)
    rates = target.rates
    rates.step = _blend(token_step(target, now), sample)
    rates.step_at = now
    better = sample < rates.best_step
    rates.best_step = _blend(rates.best_step, sample, _best_share(better))


def _learn_refusal(target: Target, request: Request, now: timedelta) -> None:
    target.avoid_until = now + REFUSAL_AVOIDANCE
    if target.own_requests:
        target.rates.room = max(1.0, min(target.rates.room, target.own_requests))


def _learn_failure(target: Target, request: Request, now: timedelta) -> None:
    target.failures += 1
    beyond = target.failures - FAILURES_TO_AVOID
    if beyond < 0:
        return
    span = FIRST_AVOIDANCE * 2 ** min(beyond, 10)
    target.avoid_until = now + min(span, LONGEST_AVOIDANCE)


def _may_get_work(target: Target, now: timedelta) -> bool:
    if target.state is not TargetState.SERVING:
        return False
    if target.avoid_until is not None and now < target.avoid_until:
        return False
    if target.failures >= FAILURES_TO_AVOID:
        # One probe at a time tells whether the target has recovered.
        return target.own_requests == 0
    return True


def _trust(target: Target, now: timedelta) -> float:
    if target.load is None or target.load_at is None:
        return 0.0
    excess = now - target.load_at - TRUSTED_AGE
    return min(1.0, max(0.0, 1.0 - excess / DISTRUST_SPAN))


def _fade(at: timedelta | None, now: timedelta) -> float:
    if at is None:
        return 1.0
    return math.exp(-(now - at).total_seconds() / FORGETTING_TIME)


def _blend(old: float, sample: float, share: float = LEARNING_SHARE) -> float:
    return old * (1.0 - share) + sample * share


def _best_share(better: bool) -> float:
    return LEARNING_SHARE if better else WORSENING_SHARE


def _sum_peers(target: Target) -> None:
    target.peer_requests = sum(c.requests for c in target.peer_changes)
    target.peer_prefill = sum(c.prefill for c in target.peer_changes)
    target.peer_pieces = sum(c.pieces for c in target.peer_changes)


def _merge_oldest(changes: list[LoadChange]) -> None:
    if len(changes) <= MOST_CHANGES:
        return
    oldest = changes[: MOST_CHANGES // 2]
    merged = LoadChange(
        oldest[-1].at,
        sum(c.requests for c in oldest),
        sum(c.prefill for c in oldest),
        sum(c.pieces for c in oldest),
    )
    changes[: len(oldest)] = [merged]
