"""Choose the target of a request by load, cached prompt parts and failures.

Pure functions: tables, time and failure domain of the daemon are passed in.
"""

import math
from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import repeat

import xxhash

from galenapass.forwarding.loads import (
    MIN_ENGINE_SAMPLES,
    FailureRate,
    Load,
    Loads,
    PartDigest,
    PrefillRate,
    count_cached,
    count_uncached,
    estimate_attention,
    estimate_failures,
    estimate_queue_delay,
    estimate_ramp_cost,
    exceeds_share,
)
from galenapass.forwarding.rate_limits import RateLimits, find_rate_limit
from galenapass.forwarding.requests import Prompt
from galenapass.tables.targets import Role, Target, TargetState

__all__ = [
    "Choice",
    "View",
    "choose_decode",
    "choose_plain",
    "choose_prefill",
    "count_decode_slots",
    "count_usable_slots",
    "has_slot",
    "lacks_decode_engine",
    "list_eligible",
    "list_unlimited",
    "list_up",
]

# Delay of a failed send until another target has answered.
FAILURE_COST_MS = 800.0
# A target in another domain adds a round trip, and traffic between domains is billed.
CROSS_DOMAIN_MS = 4.0
# Transfer of a KV cache between domains, which takes twice as long as within one.
CROSS_DOMAIN_TRANSFER_MS = 12.0
# Share of the prefill work at an engine by which it delays decoding there.
PREFILL_SLOWDOWN_SHARE = 0.25
# Delay per step that each decoding sequence adds to every other one.
SEQUENCE_SLOWDOWN_MS = 1.0
# Prefilling a cached prefix again at another engine (a spill) also delays the prompts
# queued there, so the cost of a prompt has this additional weight.
SPILL_WEIGHT = 2.0
# Rate at which an engine fetches a KV cache from another one in its domain; the links
# on the deployments' data sheets carry 1,200 to 1,450 tokens per millisecond.
FETCH_TOKENS_PER_MS = 1000.0
# Additional time of a fetched prompt compared to a cached one.
FETCH_SETUP_MS = 20.0
# KV caches are fetched at half the rate between domains.
CROSS_DOMAIN_FETCH_FACTOR = 2.0
# A fetch of fewer tokens may cost more time than it saves.
MIN_FETCH_TOKENS = 1000
# A prefill at another engine than the decode transfers the KV cache and sends twice.
HANDOVER_MS = 15.0
# The platform's engines prefill at half their rate while they decode.
DECODE_ENGINE_PREFILL_SPEED = 0.5
# A target with at least this share of failing sends is considered down.
DOWN_FAILURE_SHARE = 0.4
# Time for which a request holds its slot, until one was measured.
DEFAULT_HOLDING_MS = 1000.0
# Bonus of the preferred engine of a prefix, so that daemons which place the same new
# prefix at the same time choose the same engine.
PREFERRED_BONUS_MS = 15.0


@dataclass(slots=True, frozen=True)
class View:
    """Input of a choice: loads, failures between domains, own domain and time.

    ``rates`` holds the prefill rate of each service's engines, ``limits`` the requests
    a second that targets take from all hosts.
    """

    loads: Loads
    domain_failures: dict[str, FailureRate]
    domain: str
    now: timedelta
    rates: dict[str, PrefillRate] = field(default_factory=dict)
    limits: RateLimits = field(default_factory=dict)

    def load_of(self, target: Target) -> Load:
        """Return the load of a target, empty if unknown."""
        return self.loads.get(target.id) or _UNKNOWN_LOAD

    def prefill_rate_of(self, target: Target) -> float:
        """Return an engine's prefill rate, by its own samples if there are enough."""
        load = self.load_of(target)
        known = self.rates.get(target.service)
        if known is None:
            return load.rate
        if load.samples >= MIN_ENGINE_SAMPLES:
            return load.rate * known.busy_rate / known.rate
        return known.busy_rate

    def base_ms_of(self, target: Target) -> float:
        """Return the milliseconds of a prefill that do not depend on its tokens."""
        known = self.rates.get(target.service)
        return known.base_ms or 0.0 if known is not None else 0.0

    def estimate_failure_share(self, target: Target) -> float:
        """Return the expected share of failing sends to a target."""
        own = self.estimate_own_failures(target)
        domain = estimate_failures(self.domain_failures.get(target.domain), self.now)
        return max(own, domain)

    def estimate_own_failures(self, target: Target) -> float:
        """Return the expected share of failing sends, whatever its domain does."""
        return estimate_failures(self.load_of(target).failures, self.now)

    def is_down(self, target: Target) -> bool:
        """Return whether a target is considered down."""
        return self.estimate_failure_share(target) >= DOWN_FAILURE_SHARE

    def estimate_failure_cost(self, target: Target) -> float:
        """Return the expected cost of failures at a target, in milliseconds."""
        refused = estimate_failures(self.load_of(target).refusals, self.now)
        return max(self.estimate_failure_share(target), refused) * FAILURE_COST_MS

    def estimate_network_cost(self, target: Target) -> float:
        """Return the cost of the network path to a target, in milliseconds."""
        return CROSS_DOMAIN_MS if target.domain != self.domain else 0.0


@dataclass(slots=True, frozen=True)
class Choice:
    """Chosen target, the expected work there and the reason for the choice.

    ``cache_source`` is an engine to fetch cached prompt parts from; ``fixed_ms`` is the
    part of the cost that is independent of the prefill rate.
    """

    target: Target
    cost_ms: float
    wait_ms: float
    uncached_tokens: int
    why: str
    cache_source: Target | None = None
    fixed_ms: float = 0.0

    @property
    def finish_ms(self) -> float:
        """Return the milliseconds until the expected end of the work."""
        return self.wait_ms + self.cost_ms


def list_eligible(
    targets: Iterable[Target],
    service: str,
    role: Role | None,
    tried: Set[str],
    excluded: Set[str] = frozenset(),
    version: str | None = None,
) -> list[Target]:
    """Return the serving targets of a service in a role, only untried ones if any.

    ``excluded`` names targets that are never returned, even if no other is left. With a
    ``version``, only its targets are, and engines that do nothing but prefill.
    """
    serving = [
        t
        for t in targets
        if t.service == service
        and t.state is TargetState.SERVING
        and (role is None or t.role is role)
        and t.id not in excluded
        and (version is None or t.version == version or t.role is Role.PREFILL)
    ]
    return [t for t in serving if t.id not in tried] or serving


def list_up(eligible: list[Target], view: View) -> list[Target]:
    """Return the targets that are not down, or all if all are down.

    Load pattern: a target that is gone while the others are full; it always has a free
    slot, so every request would be sent to it.
    """
    return [target for target in eligible if not view.is_down(target)] or eligible


def list_unlimited(eligible: list[Target], view: View) -> list[Target]:
    """Return the targets that do not limit their rate, or all if all do.

    Load pattern: a target that takes fewer requests than its share of the load. It is
    no home for prompt parts that many requests share.
    """
    if not view.limits:
        return eligible
    return [
        target for target in eligible if find_rate_limit(view.limits, target) is None
    ] or eligible


def count_usable_slots(target: Target, view: View) -> int:
    """Return how many slots a target's rate limit allows to be used.

    Load pattern: an engine with dozens of slots that takes two requests a second;
    prompts prefilled for its free slots would wait for it.
    """
    rate = find_rate_limit(view.limits, target) if view.limits else None
    if rate is None:
        return target.slots
    holding_ms = view.load_of(target).holding_ms or DEFAULT_HOLDING_MS
    return min(target.slots, math.ceil(rate * holding_ms / 1000))


def choose_prefill(
    eligible: list[Target],
    prompt: Prompt,
    parts: tuple[PartDigest, ...],
    view: View,
    cache_sources: list[Target] | None = None,
) -> Choice | None:
    """Choose the engine that prefills a prompt.

    Load patterns: few long prefixes shared by many requests, and more prefixes than
    one engine can cache. A prefix is prefilled by the engine that is free first, and
    its prompts stay there unless the wait exceeds the cost of another engine, which
    has to prefill the prefix again or to fetch it from one of ``cache_sources``.
    """
    eligible = _list_prefill_engines(eligible, view)
    preferred = _find_preferred(list_unlimited(eligible, view), parts)
    sources = _list_cache_sources(cache_sources or [], parts, view)

    def score(target: Target) -> Choice:
        load = view.load_of(target)
        uncached = count_uncached(load, prompt, parts)
        cache_source, fetched = _choose_cache_source(
            sources, target, prompt.tokens - uncached
        )
        uncached -= fetched
        fetch_ms = fetched / FETCH_TOKENS_PER_MS + (
            FETCH_SETUP_MS if cache_source else 0.0
        )
        if cache_source is not None and cache_source.domain != target.domain:
            fetch_ms *= CROSS_DOMAIN_FETCH_FACTOR
        rate, wait = view.prefill_rate_of(target), estimate_queue_delay(load, view.now)
        if target.role is Role.PREFILL:
            wait += HANDOVER_MS + view.base_ms_of(target)
        elif target.role is Role.DECODE:
            rate *= DECODE_ENGINE_PREFILL_SPEED
        wait += view.estimate_failure_cost(target) + view.estimate_network_cost(target)
        wait += estimate_ramp_cost(load, view.now)
        wait -= PREFERRED_BONUS_MS if target is preferred else 0.0
        why = f"wait {wait:.0f} ms, unread {uncached} of {prompt.tokens}"
        if cache_source is not None:
            why += f", {fetched} fetched from {cache_source.id}"
        fixed_ms = fetch_ms + estimate_attention(prompt.tokens, uncached, rate)
        cost_ms = uncached / rate + fixed_ms
        return Choice(
            target, cost_ms, max(wait, 0.0), uncached, why, cache_source, fixed_ms
        )

    def rank(choice: Choice) -> float:
        return choice.wait_ms + choice.cost_ms * (1 + SPILL_WEIGHT)

    return min(map(score, eligible), key=rank, default=None)


def lacks_decode_engine(
    serving: list[Target], view: View, targets: Iterable[Target] = ()
) -> bool:
    """Return whether prefills would be wasted because every decode engine is down.

    ``targets`` are all known targets. Load pattern: a domain that is cut off while its
    engines only prefill, or the loss of all decode engines. One target that crashes
    beside sound engines is no reason to refuse.
    """
    roles = {target.role for target in serving}
    if Role.PREFILL not in roles or Role.MIXED in roles:
        return False
    decode = [target for target in serving if target.role is Role.DECODE]
    if not all(map(view.is_down, decode)):
        return False
    explained = dict.fromkeys((target.domain for target in decode), 0.0)
    for target in (*serving, *targets):
        if target.domain in explained:
            share = view.estimate_own_failures(target)
            explained[target.domain] = max(explained[target.domain], share)
    return all(_is_lost(target, explained[target.domain], view) for target in decode)


def _is_lost(target: Target, explained: float, view: View) -> bool:
    """Return whether a target fails, or its domain by more than one of its targets."""
    if view.estimate_own_failures(target) >= DOWN_FAILURE_SHARE:
        return True
    share = view.estimate_failure_share(target)
    return share >= DOWN_FAILURE_SHARE and exceeds_share(share, explained)


def has_slot(
    target: Target,
    load: Load,
    tokens: int = 0,
    cache_tokens: int = 0,
    queue_slots: int = 0,
) -> bool:
    """Return whether a target can run one more request.

    ``queue_slots`` is the number of requests that may wait at the target,
    ``cache_tokens`` its capacity in tokens. The capacity and the target's slots are 0
    if unknown.

    Load pattern: more requests than a target has slots for. A refused request has
    wasted a round trip and its prefill.
    """
    if target.slots and load.sequences >= target.slots + queue_slots:
        return False
    held = load.tokens + load.peer_tokens
    return not cache_tokens or not held or held + tokens <= cache_tokens


def count_decode_slots(serving: list[Target], view: View) -> tuple[int, int] | None:
    """Return the free and the total number of decode slots, None if unknown.

    Each prompt that is being prefilled occupies a decode slot.

    Load pattern: short prompts at a high rate, whose output fills the decode engines
    while more prompts are prefilled.
    """
    decode = [t for t in serving if t.role is Role.DECODE and not view.is_down(t)]
    if not decode or not all(target.slots for target in decode):
        return None
    usable = [count_usable_slots(target, view) for target in decode]
    total = sum(usable)
    decoding = sum(map(_count_sequences, decode, usable, repeat(view)))
    prefilling = sum(
        load.prompts + load.peer_prompts
        for target in serving
        if target.role is Role.PREFILL
        for load in (view.load_of(target),)
    )
    return total - decoding - prefilling, total


def _count_sequences(target: Target, usable: int, view: View) -> int:
    """Return how many of a target's ``usable`` slots are in use.

    Sequences that began before a target named its limit may be more than these.
    """
    sequences = view.load_of(target).sequences
    return min(sequences, usable) if usable < target.slots else sequences


def choose_decode(
    eligible: list[Target], source: Target | None, view: View
) -> Choice | None:
    """Choose the engine that decodes the output.

    Load pattern: short answers after long prompts, so that transferring the KV cache
    within a domain matters more than an even load.
    """
    origin = source.domain if source is not None else view.domain

    def score(target: Target) -> Choice:
        load = view.load_of(target)
        wait = load.sequences * SEQUENCE_SLOWDOWN_MS + load.latency_ms
        wait += (load.work_ms + load.peer_work_ms) * PREFILL_SLOWDOWN_SHARE
        wait += view.estimate_failure_cost(target) + estimate_ramp_cost(load, view.now)
        transfer_ms = CROSS_DOMAIN_TRANSFER_MS if target.domain != origin else 0.0
        return Choice(
            target,
            transfer_ms + view.estimate_network_cost(target),
            wait,
            0,
            f"decode wait {wait:.0f} ms",
        )

    return min(map(score, eligible), key=lambda choice: choice.finish_ms, default=None)


def choose_plain(eligible: list[Target], view: View) -> Choice | None:
    """Choose the target of a call to a plain service by its expected latency."""

    def score(target: Target) -> Choice:
        load = view.load_of(target)
        slots = max(target.slots, 1)
        wait = load.sequences / slots * max(load.latency_ms, 1.0) + load.latency_ms
        wait += view.estimate_failure_cost(target) + estimate_ramp_cost(load, view.now)
        return Choice(
            target, view.estimate_network_cost(target), wait, 0, f"wait {wait:.0f} ms"
        )

    return min(map(score, eligible), key=lambda choice: choice.finish_ms, default=None)


def _list_prefill_engines(eligible: list[Target], view: View) -> list[Target]:
    """Return the available engines that only prefill, or all if there are none.

    A prefill at an engine that decodes delays all sequences there.
    """
    prefill = [
        target
        for target in eligible
        if target.role is Role.PREFILL and not view.is_down(target)
    ]
    return prefill or eligible


def _list_cache_sources(
    cache_sources: list[Target], parts: tuple[PartDigest, ...], view: View
) -> list[tuple[int, Target]]:
    """Return the engines with enough cached tokens of a prompt, largest first."""
    sources = [
        (count_cached(view.load_of(cache_source), parts, view.now), cache_source)
        for cache_source in cache_sources
        if not view.is_down(cache_source)
    ]
    sources = [entry for entry in sources if entry[0] >= MIN_FETCH_TOKENS]
    return sorted(sources, key=lambda entry: (-entry[0], entry[1].id))


def _choose_cache_source(
    sources: list[tuple[int, Target]], target: Target, own: int
) -> tuple[Target | None, int]:
    """Return the best engine to fetch from and the tokens beyond the ``own`` ones."""
    others = [e for e in sources if e[1].id != target.id]
    if not others or others[0][0] - own < MIN_FETCH_TOKENS:
        return None, 0
    most_cached = others[0][0]
    same = [
        d for tokens, d in others if tokens == most_cached and d.domain == target.domain
    ]
    return (same or [others[0][1]])[0], most_cached - own


def _find_preferred(
    eligible: list[Target], parts: tuple[PartDigest, ...]
) -> Target | None:
    """Return the target that every daemon prefers for an uncached prefix.

    Uses rendezvous hashing.
    """
    if not parts or not eligible:
        return None
    last = parts[-1].digest
    return max(eligible, key=lambda t: xxhash.xxh64_intdigest(f"{t.id}{last}".encode()))


_UNKNOWN_LOAD = Load()
