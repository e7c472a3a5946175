"""Learn the speed, concurrency and health of targets from their results."""

import math
from datetime import timedelta

from galenapass.systems.caches import uncached_tokens
from galenapass.tables.requests import Request
from galenapass.tables.targets import Rates, Target
from galenapass.tables.world import World
from galenapass.verdicts import Reason, Verdict

__all__ = [
    "FAILURES_TO_AVOID",
    "IMPORT_TIME",
    "TRANSFER_RATE",
    "learn_first_token",
    "learn_from_attempt",
    "prefill_rate",
    "token_step",
]

DEFAULT_RATES = Rates()
TRANSFER_RATE = 20_000.0  # tokens of KV cache a second
IMPORT_TIME = 0.02  # seconds
LEARNING_WEIGHT = 0.2  # of a new sample
WORSENING_WEIGHT = 0.001  # of a sample that is worse than the best
MAX_SAMPLE_RATIO = 2.0  # of a sample to the current estimate, either way
MIN_SAMPLE_TOKENS = 512
DECAY_TIME = 30.0  # seconds
FAILURES_TO_AVOID = 2
MIN_AVOIDANCE = timedelta(seconds=1)
MAX_AVOIDANCE = timedelta(seconds=60)
REFUSAL_AVOIDANCE = timedelta(milliseconds=250)
CONCURRENCY_STEP = 0.05  # sequences regained by each completion
MAX_CONCURRENCY = 512.0


def prefill_rate(target: Target, now: timedelta) -> float:
    """Return the learned tokens a second, which decay to the default without use."""
    learned = target.rates.prefill
    decay = _decay(target.rates.prefill_at, now)
    return learned * decay + DEFAULT_RATES.prefill * (1.0 - decay)


def token_step(target: Target, now: timedelta) -> float:
    """Return the learned seconds between tokens, which decay to the default."""
    decay = _decay(target.rates.step_at, now)
    return target.rates.step * decay + DEFAULT_RATES.step * (1.0 - decay)


def learn_first_token(target: Target, request: Request, now: timedelta) -> None:
    """Learn the prefill rate of a target from a request's first token.

    Only a prompt that makes up most of the work until its first token is a sample,
    because prompts may overtake each other in the engine's queue.
    """
    uncached = uncached_tokens(target, request)
    informative = uncached >= MIN_SAMPLE_TOKENS and uncached >= request.queued_ahead
    if request.dispatched is None or not informative:
        return
    elapsed = (now - request.dispatched).total_seconds()
    if request.prefill_target:
        elapsed -= IMPORT_TIME + request.prompt_tokens / TRANSFER_RATE
    if elapsed <= 0.0:
        return
    rates = target.rates
    current = prefill_rate(target, now)
    sample = uncached / elapsed
    bounded = min(max(sample, current / MAX_SAMPLE_RATIO), current * MAX_SAMPLE_RATIO)
    rates.prefill = _blend(current, bounded)
    rates.prefill_at = now
    rates.best_prefill = _update_best(
        rates.best_prefill, sample, sample > rates.best_prefill
    )


def learn_from_attempt(
    world: World, request: Request, verdict: Verdict, now: timedelta
) -> None:
    """Learn the speed, concurrency and health of a target from an ended attempt."""
    target = world.targets.get(request.target or "")
    if target is None:
        return
    handlers = {
        Reason.COMPLETED: _learn_completion,
        Reason.TARGET_REFUSED: _learn_refusal,
        Reason.TARGET_FAILED: _learn_failure,
        Reason.TARGET_UNREACHABLE: _learn_failure,
    }
    handler = handlers.get(verdict.reason)
    if handler is not None:
        handler(target, request, now)


def _learn_completion(target: Target, request: Request, now: timedelta) -> None:
    target.failures = 0
    target.avoid_until = None
    target.rates.concurrency = min(
        MAX_CONCURRENCY, target.rates.concurrency + CONCURRENCY_STEP
    )
    if request.first_token is None or request.delivered < 2:
        return
    elapsed = (now - request.first_token).total_seconds()
    sample = elapsed / (request.delivered - 1)
    rates = target.rates
    rates.step = _blend(token_step(target, now), sample)
    rates.step_at = now
    rates.best_step = _update_best(rates.best_step, sample, sample < rates.best_step)


def _learn_refusal(target: Target, request: Request, now: timedelta) -> None:
    target.avoid_until = now + REFUSAL_AVOIDANCE
    if target.own_requests:
        target.rates.concurrency = max(
            1.0, min(target.rates.concurrency, target.own_requests)
        )


def _learn_failure(target: Target, request: Request, now: timedelta) -> None:
    """Count a failure, unless the request was sent before the last failure.

    A crash of the target ends all requests that run there, but is one failure.
    """
    sent = request.dispatched
    if target.failed_at is not None and sent is not None and sent <= target.failed_at:
        return
    target.failed_at = now
    target.failures += 1
    excess = target.failures - FAILURES_TO_AVOID
    if excess < 0:
        return
    duration = MIN_AVOIDANCE * 2 ** min(excess, 10)
    target.avoid_until = now + min(duration, MAX_AVOIDANCE)


def _decay(at: timedelta | None, now: timedelta) -> float:
    if at is None:
        return 1.0
    return math.exp(-(now - at).total_seconds() / DECAY_TIME)


def _blend(old: float, sample: float, weight: float = LEARNING_WEIGHT) -> float:
    return old * (1.0 - weight) + sample * weight


def _update_best(best: float, sample: float, better: bool) -> float:
    """Follow better samples fast and worse ones slowly, as load slows targets."""
    return _blend(best, sample, LEARNING_WEIGHT if better else WORSENING_WEIGHT)
