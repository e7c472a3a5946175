"""Hold what this daemon has in flight at a target and learned of its speed."""

import math
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from galenapass.forwarding.requests import Part, Prompt
from galenapass.tables.targets import Target

__all__ = [
    "OWN_SAMPLES",
    "FailureRate",
    "Load",
    "Loads",
    "PartDigest",
    "PrefillRate",
    "count_kept",
    "count_uncached",
    "estimate_attention",
    "estimate_queue_delay",
    "estimate_failures",
    "estimate_work",
    "follow_base",
    "follow_rate",
    "forget_targets",
    "digest_parts",
    "digest_part",
    "note_outcome",
    "record_reachability",
    "note_prefilled",
    "note_rate",
    "record_parts",
    "note_service_rate",
    "note_run",
]

# Tokens a millisecond that an engine is taken to prefill before it was measured;
# the middle of the engines on the deployments' sheets (50.7 and 61.8).
PREFILL_RATE = 55.0
# Milliseconds for each pair of tokens in a prompt, on the engines of the sites' files.
ATTENTION_MS = 0.37e-6
# A degraded engine reads at a fifth to an eighth of its speed.
SLOWEST_RATE = PREFILL_RATE / 8
FASTEST_RATE = PREFILL_RATE * 20
# Weight of a new sample; four samples move an average by two thirds.
SAMPLE_WEIGHT = 0.25
# Of the first sample, as nothing but a guess stands against it.
FIRST_WEIGHT = 0.7
# Most samples of a busy engine have waited for others, unseen.
BUSY_QUANTILE = 0.75
# Change of a rate's logarithm with each sample, once there are many.
QUANTILE_STEP = 0.05
# A cut shows in every try, each of which costs a client a quarter of a second.
REACH_WEIGHT = 0.6
# The queueing delay seen at a target says little after this time.
DELAY_DECAY = timedelta(milliseconds=400)
# A failure counts half after this time, about three times a target's restart.
FAILURE_DECAY = timedelta(seconds=4)
# A part counts as read this long after its prompt was sent: the work of a crowded
# engine, 0.9 s, and twice the time of the longest prompts.
READ_TIME = timedelta(seconds=2)
# Samples after which an engine's own rate counts rather than that of its service.
OWN_SAMPLES = 8
# Samples below this size measure the path rather than the engine.
SMALLEST_SAMPLE_TOKENS = 1000


@dataclass(slots=True, frozen=True)
class PartDigest:
    """Name a prompt part by the digest of its identifier."""

    digest: int
    tokens: int


@dataclass(slots=True)
class FailureRate:
    """Hold the smoothed share of failures of a target or domain."""

    share: float = 0.0
    at: timedelta = timedelta(0)


@dataclass(slots=True)
class PrefillRate:
    """Hold how fast engines read, in tokens a millisecond, by so many samples.

    ``base_ms`` is what a prefill takes beside its tokens, None if not known; an
    engine reads others in that time, which ``busy_rate`` leaves out.
    """

    rate: float = PREFILL_RATE
    samples: int = 0
    base_ms: float | None = None
    busy_rate: float = PREFILL_RATE
    busy_samples: int = 0


@dataclass(slots=True)
class Load:
    """Hold one target's load as this daemon sees it; durations in milliseconds.

    ``requests`` that run with the ``tokens`` they hold, ``prompts`` that are read and
    their ``work_ms`` are what this daemon granted, ``peer_*`` what the others
    announced. ``held_ms`` is how long a run takes. ``cached`` maps the digests
    of parts that the target keeps to their tokens, least recently used first, and
    ``known_at`` to when it was learned that the target begins to read them.
    ``asked_at`` is when an engine was last asked for its state.
    """

    requests: int = 0
    tokens: int = 0
    prompts: int = 0
    work_ms: float = 0.0
    peer_requests: int = 0
    peer_tokens: int = 0
    peer_prompts: int = 0
    peer_work_ms: float = 0.0
    rate: float = PREFILL_RATE
    samples: int = 0
    delay_ms: float = 0.0
    delay_at: timedelta = timedelta(0)
    latency_ms: float = 0.0
    held_ms: float = 0.0
    failures: FailureRate = field(default_factory=FailureRate)
    refusals: FailureRate = field(default_factory=FailureRate)
    cached: dict[int, int] = field(default_factory=dict)
    known_at: dict[int, timedelta] = field(default_factory=dict)
    cached_tokens: int = 0
    asked_at: timedelta | None = None

    @property
    def sequences(self) -> int:
        """Return the requests that run, of all daemons."""
        return self.requests + self.peer_requests


Loads = dict[str, Load]


def forget_targets(loads: Loads, targets: dict[str, Target]) -> None:
    """Drop what is known of targets that are gone and have nothing in flight."""
    for name in [n for n, load in loads.items() if n not in targets]:
        if not loads[name].requests and not loads[name].prompts:
            del loads[name]


def estimate_queue_delay(load: Load, now: timedelta) -> float:
    """Return the milliseconds that new work is expected to wait at a target."""
    age = (now - load.delay_at) / DELAY_DECAY
    known = load.work_ms + load.peer_work_ms
    return known + load.delay_ms * math.exp(-max(age, 0.0))


def estimate_attention(tokens: int, unread: int, rate: float = PREFILL_RATE) -> float:
    """Return the milliseconds that unread tokens take to attend to those before.

    An engine that reads faster than others attends faster too.
    """
    pairs = unread * (tokens - unread / 2)
    return pairs * ATTENTION_MS * PREFILL_RATE / rate


def estimate_work(known: PrefillRate, prompt: Prompt, own: int) -> float:
    """Return the milliseconds of an engine that a prompt takes once it is all known.

    Load pattern: the first seconds, and the return of all hosts. That shared parts are
    read for the first time then tells nothing of what comes.
    """
    rate = known.busy_rate
    return own / rate + estimate_attention(prompt.tokens, own, rate)


def estimate_failures(evidence: FailureRate | None, now: timedelta) -> float:
    """Return the share of sends that are expected to fail."""
    if evidence is None:
        return 0.0
    return evidence.share * 0.5 ** max((now - evidence.at) / FAILURE_DECAY, 0.0)


def digest_parts(prompt: Prompt) -> tuple[PartDigest, ...]:
    """Return the parts of a prompt in their order, the request's own last."""
    return tuple(digest_part(part) for part in prompt.parts)


def digest_part(part: Part) -> PartDigest:
    """Return how a part is named where it is kept."""
    return PartDigest(xxhash.xxh64_intdigest(part.id.encode()), part.tokens)


def count_uncached(load: Load, prompt: Prompt, parts: tuple[PartDigest, ...]) -> int:
    """Return how many tokens of a prompt a target does not keep."""
    unread = prompt.tokens
    for read in parts:
        if read.digest not in load.cached:
            break
        unread -= read.tokens
    return max(unread, 0)


def count_kept(load: Load, parts: tuple[PartDigest, ...], now: timedelta) -> int:
    """Return how many of a prompt's first tokens a target has read by now."""
    kept = 0
    for read in parts:
        known_at = load.known_at.get(read.digest)
        if known_at is None or now - known_at < READ_TIME:
            break
        kept += read.tokens
    return kept


def record_parts(
    load: Load, parts: tuple[PartDigest, ...], room: int, now: timedelta
) -> None:
    """Take note that a target begins to read parts, and keeps ``room`` tokens.

    Parts of single requests count too: they crowd out the shared ones.
    """
    for read in parts:
        known = load.cached.pop(read.digest, None)
        load.cached[read.digest] = read.tokens
        load.cached_tokens += read.tokens if known is None else 0
        load.known_at.setdefault(read.digest, now)
    while load.cached and load.cached_tokens > room:
        oldest = next(iter(load.cached))
        load.cached_tokens -= load.cached.pop(oldest)
        del load.known_at[oldest]


def note_prefilled(
    load: Load, tokens: int, took_ms: float, ahead_ms: float, now: timedelta
) -> None:
    """Learn from a finished prefill how fast a target reads and how long work waits.

    ``ahead_ms`` is the work that was known to be before it.
    """
    expected = tokens / load.rate + ahead_ms
    sample = max(took_ms - expected, 0.0)
    load.delay_ms += SAMPLE_WEIGHT * 2 * (sample - load.delay_ms)
    load.delay_at = now
    note_rate(load, tokens, took_ms)


def note_rate(known: Load | PrefillRate, tokens: int, took_ms: float) -> None:
    """Learn from a finished prefill how fast a target or a service's engines read."""
    known.rate, is_sample = follow_rate(known.rate, known.samples, tokens, took_ms)
    known.samples += is_sample


def follow_rate(
    rate: float, samples: int, tokens: int, took_ms: float
) -> tuple[float, bool]:
    """Return a rate of reading after a prefill, and whether that told anything.

    Load pattern: engines that are never idle. Work that was waited for unseen makes a
    sample slower, so a faster one counts more.
    """
    if tokens < SMALLEST_SAMPLE_TOKENS:
        return rate, False
    sample = min(tokens / max(took_ms, 1.0), FASTEST_RATE)
    weight = SAMPLE_WEIGHT if sample > rate else SAMPLE_WEIGHT / 10
    if sample > rate and not samples:
        weight = FIRST_WEIGHT
    return max(rate + weight * (sample - rate), SLOWEST_RATE), True


def follow_base(known: PrefillRate, tokens: int, took_ms: float) -> float | None:
    """Return what a prefill takes beside its tokens, after a short one.

    Load pattern: short prompts that take a fixed time in which an engine reads others.
    Waiting only ever adds to it, so the least counts most.
    """
    if tokens >= SMALLEST_SAMPLE_TOKENS:
        return known.base_ms
    sample = max(took_ms - tokens / known.busy_rate, 0.0)
    if known.base_ms is None:
        return sample
    weight = SAMPLE_WEIGHT if sample < known.base_ms else SAMPLE_WEIGHT / 20
    return known.base_ms + weight * (sample - known.base_ms)


def note_service_rate(known: PrefillRate, tokens: int, took_ms: float) -> None:
    """Learn from a finished prefill how fast the engines of a service read."""
    note_rate(known, tokens, took_ms)
    known.base_ms = follow_base(known, tokens, took_ms)
    if tokens >= SMALLEST_SAMPLE_TOKENS:
        known.busy_samples += 1
        busy_ms = max(took_ms - (known.base_ms or 0.0), 1.0)
        known.busy_rate = _follow_quantile(
            known.busy_rate, tokens / busy_ms, known.busy_samples
        )


def _follow_quantile(rate: float, sample: float, samples: int) -> float:
    """Return a rate that ``BUSY_QUANTILE`` of its samples are below.

    Load pattern: prompts thought unread that an engine keeps, whose samples are many
    times too fast, beside those that wait unseen, whose samples are too slow.
    """
    step = max(QUANTILE_STEP, 1.0 / samples)
    factor = BUSY_QUANTILE if sample > rate else BUSY_QUANTILE - 1.0
    followed = rate * math.exp(step * factor)
    return min(max(followed, SLOWEST_RATE), FASTEST_RATE)


def note_run(load: Load, first_ms: float, took_ms: float) -> None:
    """Learn from the time to a run's first bytes and to its end."""
    known = load.latency_ms or first_ms
    load.latency_ms = known + SAMPLE_WEIGHT * (first_ms - known)
    known = load.held_ms or took_ms
    load.held_ms = known + SAMPLE_WEIGHT * (took_ms - known)


def note_outcome(evidence: FailureRate, failed: bool, now: timedelta) -> None:
    """Learn from the outcome of one send."""
    _add_sample(evidence, failed, SAMPLE_WEIGHT, now)


def record_reachability(evidence: FailureRate, reached: bool, now: timedelta) -> None:
    """Learn from one try to reach a target or domain; few tries have to do."""
    _add_sample(evidence, not reached, REACH_WEIGHT, now)


def _add_sample(
    evidence: FailureRate, failed: bool, weight: float, now: timedelta
) -> None:
    share = estimate_failures(evidence, now)
    evidence.share = share + weight * (failed - share)
    evidence.at = now
