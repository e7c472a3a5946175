"""Learn the speed, room and health of targets from the results they give."""

import math
from datetime import timedelta

from galenapass.systems.caches import fresh_tokens
from galenapass.tables.requests import Request
from galenapass.tables.targets import Rates, Target
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Verdict

__all__ = [
    "FAILURES_TO_AVOID",
    "IMPORT_TIME",
    "TRANSFER_RATE",
    "learn_from_attempt",
    "learn_first_token",
    "prefill_rate",
    "token_step",
]

DEFAULT_RATES = Rates()
TRANSFER_RATE = 20_000.0  # tokens of KV cache a second
IMPORT_TIME = 0.02  # seconds
LEARNING_SHARE = 0.2
WORSENING_SHARE = 0.001
LARGEST_SURPRISE = 2.0
LEAST_SAMPLE_TOKENS = 512
FORGETTING_TIME = 30.0  # seconds
FAILURES_TO_AVOID = 2
FIRST_AVOIDANCE = timedelta(seconds=1)
LONGEST_AVOIDANCE = timedelta(seconds=60)
REFUSAL_AVOIDANCE = timedelta(milliseconds=250)
CONCURRENCY_STEP = 0.05  # sequences regained by each completion
LARGEST_CONCURRENCY = 512.0


def prefill_rate(target: Target, now: timedelta) -> float:
    """Return the learned tokens a second, drifting to the default unused."""
    learned = target.rates.prefill
    fade = _fade(target.rates.prefill_at, now)
    return learned * fade + DEFAULT_RATES.prefill * (1.0 - fade)


def token_step(target: Target, now: timedelta) -> float:
    """Return the learned seconds between tokens, drifting to the default unused."""
    fade = _fade(target.rates.step_at, now)
    return target.rates.step * fade + DEFAULT_RATES.step * (1.0 - fade)


def learn_first_token(target: Target, request: Request, now: timedelta) -> None:
    """Learn the prefill rate of a target from a request's first token.

    Only a prompt that is most of the work until its first token tells the rate:
    others may overtake it, or be overtaken.
    """
    fresh = fresh_tokens(target, request)
    enough = fresh >= LEAST_SAMPLE_TOKENS and fresh >= request.queued_ahead
    if request.dispatched is None or not enough:
        return
    elapsed = (now - request.dispatched).total_seconds()
    if request.prefill_target:
        elapsed -= IMPORT_TIME + request.prompt_tokens / TRANSFER_RATE
    if elapsed <= 0.0:
        return
    rates = target.rates
    known = prefill_rate(target, now)
    sample = fresh / elapsed
    near = min(max(sample, known / LARGEST_SURPRISE), known * LARGEST_SURPRISE)
    rates.prefill = _blend(known, near)
    rates.prefill_at = now
    rates.best_prefill = _follow_best(
        rates.best_prefill, sample, sample > rates.best_prefill
    )


def learn_from_attempt(
    world: World, request: Request, verdict: Verdict, now: timedelta
) -> None:
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
    target.rates.concurrency = min(
        LARGEST_CONCURRENCY, target.rates.concurrency + CONCURRENCY_STEP
    )
    if request.first_token is None or request.delivered < 2:
        return
    elapsed = (now - request.first_token).total_seconds()
    sample = elapsed / (request.delivered - 1)
    rates = target.rates
    rates.step = _blend(token_step(target, now), sample)
    rates.step_at = now
    rates.best_step = _follow_best(rates.best_step, sample, sample < rates.best_step)


def _learn_refusal(target: Target, request: Request, now: timedelta) -> None:
    target.avoid_until = now + REFUSAL_AVOIDANCE
    if target.own_requests:
        target.rates.concurrency = max(
            1.0, min(target.rates.concurrency, target.own_requests)
        )


def _learn_failure(target: Target, request: Request, now: timedelta) -> None:
    """Count a failure; what was sent before the last one failed with it."""
    sent = request.dispatched
    if target.failed_at is not None and sent is not None and sent <= target.failed_at:
        return
    target.failed_at = now
    target.failures += 1
    beyond = target.failures - FAILURES_TO_AVOID
    if beyond < 0:
        return
    span = FIRST_AVOIDANCE * 2 ** min(beyond, 10)
    target.avoid_until = now + min(span, LONGEST_AVOIDANCE)


def _fade(at: timedelta | None, now: timedelta) -> float:
    if at is None:
        return 1.0
    return math.exp(-(now - at).total_seconds() / FORGETTING_TIME)


def _blend(old: float, sample: float, share: float = LEARNING_SHARE) -> float:
    return old * (1.0 - share) + sample * share


def _follow_best(best: float, sample: float, better: bool) -> float:
    """Follow better samples soon and worse ones slowly: busy targets seem slow."""
    return _blend(best, sample, LEARNING_SHARE if better else WORSENING_SHARE)
