"""Track the load, prefill rate, cached prompt parts and failures of targets."""

import math
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from galenapass.forwarding.requests import Part, Prompt
from galenapass.tables.targets import Target

__all__ = [
    "MAX_ATTEMPT_AGE",
    "MIN_ENGINE_SAMPLES",
    "RAMP_TIME",
    "FailureRate",
    "Load",
    "Loads",
    "PartDigest",
    "PrefillRate",
    "count_cached",
    "count_uncached",
    "digest_part",
    "digest_parts",
    "estimate_attention",
    "estimate_failures",
    "estimate_queue_delay",
    "estimate_ramp_cost",
    "estimate_work",
    "exceeds_share",
    "forget_targets",
    "record_durations",
    "record_miss",
    "record_outcome",
    "record_parts",
    "record_prefill",
    "record_rate",
    "record_reach",
    "record_reachability",
    "record_silence",
    "record_service_rate",
    "smooth_base_ms",
    "smooth_rate",
]

# Tokens per millisecond that an engine is assumed to prefill until samples arrive;
# the mean of the engines on the deployments' data sheets (50.7 and 61.8).
DEFAULT_PREFILL_RATE = 55.0
# Attention time per pair of tokens in a prompt on the deployments' engines, at the
# default prefill rate.
ATTENTION_MS_PER_PAIR = 0.37e-6
# A degraded engine prefills at a fifth to an eighth of its rate.
MIN_PREFILL_RATE = DEFAULT_PREFILL_RATE / 8
MAX_PREFILL_RATE = DEFAULT_PREFILL_RATE * 20
# Weight of a new sample in a moving average; four samples replace two thirds of it.
SAMPLE_WEIGHT = 0.25
# Weight of the first sample, which only replaces a default.
FIRST_SAMPLE_WEIGHT = 0.7
# Most samples of a busy engine include time queued behind unknown work, so its rate
# is near the top of the samples.
BUSY_QUANTILE = 0.75
# Step of the rate's logarithm per sample, once there are many samples.
QUANTILE_STEP = 0.05
# A network partition fails every attempt, each of which costs a client a quarter of
# a second, so few attempts have to suffice.
REACHABILITY_WEIGHT = 0.6
# Difference up to which two shares of failing sends are equal, relative to the share
# that does not fail.
SHARE_TOLERANCE = 0.01
# A host that has not tried to reach a target since then knows nothing about it.
MAX_ATTEMPT_AGE = timedelta(seconds=3)
# Time constant after which an observed queueing delay is outdated.
DELAY_DECAY = timedelta(milliseconds=400)
# About three times the restart time of a target.
FAILURE_HALF_LIFE = timedelta(seconds=4)
# A part counts as cached this long after its prompt was sent: the queue of a busy
# engine, 0.9 s, plus twice the prefill time of the longest prompts.
PREFILL_TIME = timedelta(seconds=2)
# Time in which the load of a target that just started increases, and the advantage of
# others at its begin: about the work that an engine at its usual load has queued.
RAMP_TIME = timedelta(seconds=3)
RAMP_COST_MS = 60.0
# Samples from which an engine's own rate is used instead of its service's rate.
MIN_ENGINE_SAMPLES = 8
# Smaller samples measure the network path rather than the engine.
MIN_SAMPLE_TOKENS = 1000


@dataclass(slots=True, frozen=True)
class PartDigest:
    """Prompt part, identified by the digest of its identifier."""

    digest: int
    tokens: int


@dataclass(slots=True)
class FailureRate:
    """Smoothed share of failed sends to a target or domain.

    ``reached_at`` is when it was last reached.
    """

    share: float = 0.0
    updated_at: timedelta = timedelta(0)
    reached_at: timedelta = timedelta(0)


@dataclass(slots=True)
class PrefillRate:
    """Prefill rate of a service's engines, in tokens per millisecond.

    ``base_ms`` is the time of a prefill that does not depend on its tokens, None if
    unknown. An engine prefills other prompts in that time, so ``busy_rate``, the rate
    of a busy engine, excludes it.
    """

    rate: float = DEFAULT_PREFILL_RATE
    samples: int = 0
    base_ms: float | None = None
    busy_rate: float = DEFAULT_PREFILL_RATE
    busy_samples: int = 0


@dataclass(slots=True)
class Load:
    """Load of one target as seen by this daemon; durations are in milliseconds.

    ``requests`` counts running requests and ``tokens`` the tokens they hold,
    ``prompts`` the prompts being prefilled and ``work_ms`` their prefill time. These
    were granted by this daemon; ``peer_*`` are those announced by other schedulers.
    ``delay_ms`` is the unexplained queueing delay observed at ``delay_at``,
    ``latency_ms`` the mean time to the first output, ``holding_ms`` the mean time for
    which a request holds its slot. ``cached`` maps the digests of cached parts to
    their tokens, least recently used first, ``prefill_started_at`` to the time when
    their prefill was announced. ``queried_at`` is when the engine's state was last
    requested. ``silent_since`` is when this daemon first failed to reach the target,
    None if it reached it since, ``missed_at`` when it last failed and
    ``reached_at`` when it last reached it. ``ramps_until`` ends the time in which the
    load of a target that was ordered increases gradually.
    """

    requests: int = 0
    tokens: int = 0
    prompts: int = 0
    work_ms: float = 0.0
    peer_requests: int = 0
    peer_tokens: int = 0
    peer_prompts: int = 0
    peer_work_ms: float = 0.0
    rate: float = DEFAULT_PREFILL_RATE
    samples: int = 0
    delay_ms: float = 0.0
    delay_at: timedelta = timedelta(0)
    latency_ms: float = 0.0
    holding_ms: float = 0.0
    failures: FailureRate = field(default_factory=FailureRate)
    refusals: FailureRate = field(default_factory=FailureRate)
    cached: dict[int, int] = field(default_factory=dict)
    prefill_started_at: dict[int, timedelta] = field(default_factory=dict)
    cached_tokens: int = 0
    queried_at: timedelta | None = None
    silent_since: timedelta | None = None
    ramps_until: timedelta | None = None
    missed_at: timedelta = timedelta(0)
    reached_at: timedelta = timedelta(0)

    @property
    def sequences(self) -> int:
        """Return the number of running requests of all daemons."""
        return self.requests + self.peer_requests


Loads = dict[str, Load]


def forget_targets(loads: Loads, targets: dict[str, Target]) -> None:
    """Drop the loads of removed targets that have nothing in flight."""
    for name in [n for n, load in loads.items() if n not in targets]:
        if not loads[name].requests and not loads[name].prompts:
            del loads[name]


def estimate_queue_delay(load: Load, now: timedelta) -> float:
    """Return the expected queueing delay of new work at a target, in milliseconds."""
    age = (now - load.delay_at) / DELAY_DECAY
    queued_ms = load.work_ms + load.peer_work_ms
    return queued_ms + load.delay_ms * math.exp(-max(age, 0.0))


def estimate_ramp_cost(load: Load, now: timedelta) -> float:
    """Return the milliseconds by which a target that just started is less preferred.

    Load pattern: a target that joins full ones. Without work and cached parts it would
    get all new work at once, and read every shared part for it.
    """
    if load.ramps_until is None or now >= load.ramps_until:
        return 0.0
    return RAMP_COST_MS * ((load.ramps_until - now) / RAMP_TIME)


def estimate_attention(
    tokens: int, uncached: int, rate: float = DEFAULT_PREFILL_RATE
) -> float:
    """Return the attention time of uncached tokens over all before, in milliseconds.

    It scales with an engine's prefill rate.
    """
    pairs = uncached * (tokens - uncached / 2)
    return pairs * ATTENTION_MS_PER_PAIR * DEFAULT_PREFILL_RATE / rate


def estimate_work(prefill_rate: PrefillRate, prompt: Prompt, own_tokens: int) -> float:
    """Return the prefill milliseconds of a prompt whose shared parts are cached.

    Load pattern: the first seconds, and the return of all hosts. Shared parts are
    prefilled for the first time then, which does not predict later demand.
    """
    rate = prefill_rate.busy_rate
    return own_tokens / rate + estimate_attention(prompt.tokens, own_tokens, rate)


def estimate_failures(failure_rate: FailureRate | None, now: timedelta) -> float:
    """Return the expected share of failing sends."""
    if failure_rate is None:
        return 0.0
    return failure_rate.share * 0.5 ** max(
        (now - failure_rate.updated_at) / FAILURE_HALF_LIFE, 0.0
    )


def exceeds_share(share: float, other: float) -> bool:
    """Return whether a share of failing sends exceeds another one."""
    return share - other > SHARE_TOLERANCE * (1 - other)


def digest_parts(prompt: Prompt) -> tuple[PartDigest, ...]:
    """Return the digests of a prompt's parts in order, the request's own part last."""
    return tuple(digest_part(part) for part in prompt.parts)


def digest_part(part: Part) -> PartDigest:
    """Return the digest under which a part is cached."""
    return PartDigest(xxhash.xxh64_intdigest(part.id.encode()), part.tokens)


def count_uncached(load: Load, prompt: Prompt, parts: tuple[PartDigest, ...]) -> int:
    """Return the number of prompt tokens that a target has not cached."""
    uncached = prompt.tokens
    for part in parts:
        if part.digest not in load.cached:
            break
        uncached -= part.tokens
    return max(uncached, 0)


def count_cached(load: Load, parts: tuple[PartDigest, ...], now: timedelta) -> int:
    """Return the number of leading prompt tokens that a target has prefilled by now."""
    cached = 0
    for part in parts:
        prefill_started_at = load.prefill_started_at.get(part.digest)
        if prefill_started_at is None or now - prefill_started_at < PREFILL_TIME:
            break
        cached += part.tokens
    return cached


def record_parts(
    load: Load, parts: tuple[PartDigest, ...], capacity: int, now: timedelta
) -> None:
    """Record that a target starts to prefill parts; it caches ``capacity`` tokens.

    Parts of single requests are included, as they evict shared ones.
    """
    for part in parts:
        known = load.cached.pop(part.digest, None)
        load.cached[part.digest] = part.tokens
        load.cached_tokens += part.tokens if known is None else 0
        load.prefill_started_at.setdefault(part.digest, now)
    while load.cached and load.cached_tokens > capacity:
        oldest = next(iter(load.cached))
        load.cached_tokens -= load.cached.pop(oldest)
        del load.prefill_started_at[oldest]


def record_prefill(
    load: Load, tokens: int, took_ms: float, queued_ms: float, now: timedelta
) -> None:
    """Update a target's prefill rate and queueing delay after a prefill.

    ``queued_ms`` is the known work that was queued before it.
    """
    expected = tokens / load.rate + queued_ms
    sample = max(took_ms - expected, 0.0)
    load.delay_ms += SAMPLE_WEIGHT * 2 * (sample - load.delay_ms)
    load.delay_at = now
    record_rate(load, tokens, took_ms)


def record_rate(known: Load | PrefillRate, tokens: int, took_ms: float) -> None:
    """Update the prefill rate of a target or service after a prefill."""
    known.rate, is_sample = smooth_rate(known.rate, known.samples, tokens, took_ms)
    known.samples += is_sample


def smooth_rate(
    rate: float, samples: int, tokens: int, took_ms: float
) -> tuple[float, bool]:
    """Return the prefill rate after a sample, and whether the sample was used.

    Load pattern: engines that are never idle. Unknown queued work makes samples
    slower, so faster samples have a larger weight.
    """
    if tokens < MIN_SAMPLE_TOKENS:
        return rate, False
    sample = min(tokens / max(took_ms, 1.0), MAX_PREFILL_RATE)
    weight = SAMPLE_WEIGHT if sample > rate else SAMPLE_WEIGHT / 10
    if sample > rate and not samples:
        weight = FIRST_SAMPLE_WEIGHT
    return max(rate + weight * (sample - rate), MIN_PREFILL_RATE), True


def smooth_base_ms(
    prefill_rate: PrefillRate, tokens: int, took_ms: float
) -> float | None:
    """Return the fixed time of a prefill in milliseconds, after a short prefill.

    Load pattern: short prompts with a fixed time in which an engine prefills others.
    Queueing only adds to that time, so smaller samples have a larger weight.
    """
    if tokens >= MIN_SAMPLE_TOKENS:
        return prefill_rate.base_ms
    sample = max(took_ms - tokens / prefill_rate.busy_rate, 0.0)
    if prefill_rate.base_ms is None:
        return sample
    weight = SAMPLE_WEIGHT if sample < prefill_rate.base_ms else SAMPLE_WEIGHT / 20
    return prefill_rate.base_ms + weight * (sample - prefill_rate.base_ms)


def record_service_rate(prefill_rate: PrefillRate, tokens: int, took_ms: float) -> None:
    """Update the prefill rates and fixed time of a service after a prefill."""
    record_rate(prefill_rate, tokens, took_ms)
    prefill_rate.base_ms = smooth_base_ms(prefill_rate, tokens, took_ms)
    if tokens >= MIN_SAMPLE_TOKENS:
        prefill_rate.busy_samples += 1
        busy_ms = max(took_ms - (prefill_rate.base_ms or 0.0), 1.0)
        prefill_rate.busy_rate = _update_quantile(
            prefill_rate.busy_rate, tokens / busy_ms, prefill_rate.busy_samples
        )


def _update_quantile(rate: float, sample: float, samples: int) -> float:
    """Return an estimate of the ``BUSY_QUANTILE`` quantile of a rate's samples.

    Load pattern: prompts that an engine has cached unknown to this daemon, whose
    samples are many times too fast, mixed with prompts delayed by unknown work, whose
    samples are too slow.
    """
    step = max(QUANTILE_STEP, 1.0 / samples)
    factor = BUSY_QUANTILE if sample > rate else BUSY_QUANTILE - 1.0
    updated = rate * math.exp(step * factor)
    return min(max(updated, MIN_PREFILL_RATE), MAX_PREFILL_RATE)


def record_durations(load: Load, first_ms: float, took_ms: float) -> None:
    """Record the milliseconds to a request's first output and to its end."""
    previous = load.latency_ms or first_ms
    load.latency_ms = previous + SAMPLE_WEIGHT * (first_ms - previous)
    previous = load.holding_ms or took_ms
    load.holding_ms = previous + SAMPLE_WEIGHT * (took_ms - previous)


def record_outcome(failure_rate: FailureRate, failed: bool, now: timedelta) -> None:
    """Record whether a send failed."""
    _add_sample(failure_rate, failed, SAMPLE_WEIGHT, now)


def record_miss(load: Load, domain_failures: FailureRate, now: timedelta) -> None:
    """Record an attempt that did not reach a target.

    Load pattern: targets that crashed. Other targets of their domain that answered
    since then show that it is not cut off, so one that takes over a role is not down.
    """
    record_silence(load, now)
    record_reachability(load.failures, False, now)
    since = load.silent_since
    if since is None or domain_failures.reached_at <= since:
        record_reachability(domain_failures, False, now)


def record_silence(
    load: Load, now: timedelta, silence: timedelta = timedelta(0)
) -> None:
    """Record that a target accepts no connections, after a ``silence`` of its answers.

    Attempts that are far apart tell nothing about the time between them.
    """
    if load.silent_since is None or now - load.missed_at > MAX_ATTEMPT_AGE:
        load.silent_since = now - silence
    load.missed_at = now


def record_reach(load: Load, now: timedelta) -> None:
    """Record that a target was reached."""
    load.silent_since, load.reached_at = None, now


def record_reachability(
    failure_rate: FailureRate, reached: bool, now: timedelta
) -> None:
    """Record an attempt to reach a target or domain, with a large weight."""
    _add_sample(failure_rate, not reached, REACHABILITY_WEIGHT, now)
    if reached:
        failure_rate.reached_at = now


def _add_sample(
    failure_rate: FailureRate, failed: bool, weight: float, now: timedelta
) -> None:
    share = estimate_failures(failure_rate, now)
    failure_rate.share = share + weight * (failed - share)
    failure_rate.updated_at = now
