"""Choose the target of a request from what is in flight, kept and known to fail.

Each function is pure: tables, time and identity of the daemon are passed in.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from galenapass.forwarding.loads import (
    OWN_SAMPLES,
    FailureRate,
    Load,
    Loads,
    PartDigest,
    PrefillRate,
    count_kept,
    count_uncached,
    estimate_attention,
    estimate_failures,
    estimate_queue_delay,
)
from galenapass.forwarding.requests import Prompt
from galenapass.tables.targets import Role, Target, TargetState

__all__ = [
    "Choice",
    "View",
    "choose_decode",
    "choose_plain",
    "choose_prefill",
    "count_outputs",
    "has_slot",
    "lacks_decode_engine",
    "list_eligible",
    "list_up",
]

# A failed send costs about this much until another target has answered.
FAILURE_COST_MS = 800.0
# A target in another domain adds a round trip, and bytes between domains are paid.
OTHER_DOMAIN_MS = 4.0
# A prompt's memory takes twice as long between domains.
OTHER_DOMAIN_MOVE_MS = 12.0
# Prompts that an engine reads while it decodes delay each token by a part of them.
READ_SHARE = 0.25
# A sequence that decodes slows each other one by about this much a step.
SEQUENCE_MS = 1.0
# What an engine reads again delays the prompts behind it as well: so much more does
# a spill have to gain.
SPILL_WEIGHT = 2.0
# Tokens a millisecond that an engine fetches from another one of its domain; the
# links of the deployments' sheets carry 1,200 to 1,450.
FETCH_RATE = 1000.0
# Fetched prompts took this much longer than kept ones on a day of khomsabai-post.
FETCH_SETUP_MS = 20.0
# Memory moves at half the speed between domains.
OTHER_DOMAIN_FETCH = 2.0
# A fetch of fewer tokens saves less time than it may cost.
SMALLEST_FETCH_TOKENS = 1000
# A prompt that is read apart is moved and sent twice.
HAND_OVER_MS = 15.0
# The platform's engines read at half their speed while they decode.
DECODE_READ_SPEED = 0.5
# A target that fails this share of sends is taken not to be there.
FAILING_SHARE = 0.4
# Daemons that choose for the same prompt at one moment meet at its home.
HOME_MS = 15.0


@dataclass(slots=True, frozen=True)
class View:
    """Hold what a choice is made from: loads, cuts between domains, place and time.

    ``rates`` holds how fast the engines of each service read.
    """

    loads: Loads
    domain_failures: dict[str, FailureRate]
    domain: str
    now: timedelta
    rates: dict[str, PrefillRate] = field(default_factory=dict)

    def load_of(self, target: Target) -> Load:
        """Return what is known of a target's load."""
        return self.loads.get(target.id) or _UNKNOWN

    def rate_of(self, target: Target) -> float:
        """Return how fast an engine reads, by its own samples if there are enough."""
        load = self.load_of(target)
        known = self.rates.get(target.service)
        if known is None:
            return load.rate
        if load.samples >= OWN_SAMPLES:
            return load.rate * known.busy_rate / known.rate
        return known.busy_rate

    def base_of(self, target: Target) -> float:
        """Return the milliseconds that a prefill takes beside its tokens."""
        known = self.rates.get(target.service)
        return known.base_ms or 0.0 if known is not None else 0.0

    def expect_failures(self, target: Target) -> float:
        """Return the share of sends to a target that are expected to fail."""
        own = estimate_failures(self.load_of(target).failures, self.now)
        cut = estimate_failures(self.domain_failures.get(target.domain), self.now)
        return max(own, cut)

    def is_down(self, target: Target) -> bool:
        """Tell whether a target is taken not to be there."""
        return self.expect_failures(target) >= FAILING_SHARE

    def weigh_failures(self, target: Target) -> float:
        """Return the milliseconds that failures at a target cost on average."""
        refused = estimate_failures(self.load_of(target).refusals, self.now)
        return max(self.expect_failures(target), refused) * FAILURE_COST_MS

    def weigh_way(self, target: Target) -> float:
        """Return the milliseconds that the way to a target costs."""
        return OTHER_DOMAIN_MS if target.domain != self.domain else 0.0


@dataclass(slots=True, frozen=True)
class Choice:
    """Hold a chosen target, what it has to do and why it was chosen.

    ``cache_source`` is an engine to fetch parts of the prompt from; ``fixed_ms`` is the
    part of the cost that does not follow from the engine's rate.
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
        """Return when the work is expected to end, from now."""
        return self.wait_ms + self.cost_ms


def list_eligible(
    targets: Iterable[Target],
    service: str,
    role: Role | None,
    tried: Set[str],
    excluded: Set[str] = frozenset(),
) -> list[Target]:
    """Return the serving targets of a service in a role, untried ones if there are.

    ``excluded`` names targets that get nothing, even if no other one is left.
    """
    serving = [
        t
        for t in targets
        if t.service == service
        and t.state is TargetState.SERVING
        and (role is None or t.role is role)
        and t.id not in excluded
    ]
    return [t for t in serving if t.id not in tried] or serving


def list_up(fit: list[Target], view: View) -> list[Target]:
    """Return the targets that are taken to be there, or all while none is.

    Load pattern: a target that is gone while the others are full; a place is always
    free there, and every request in turn would be sent to it.
    """
    return [target for target in fit if not view.is_down(target)] or fit


def choose_prefill(
    fit: list[Target],
    prompt: Prompt,
    parts: tuple[PartDigest, ...],
    view: View,
    donors: list[Target] | None = None,
) -> Choice | None:
    """Choose where a prompt is read.

    Load patterns: few long prefixes shared by many requests, and more of them than
    one engine can keep. Each is read by the engine that is free first, and then
    stays there unless the wait exceeds what having it elsewhere costs: reading it
    anew, or fetching it from one of ``donors``.
    """
    fit = _list_readers(fit, view)
    home = _find_home(fit, parts)
    kept = _list_kept(donors or [], parts, view)

    def score(target: Target) -> Choice:
        load = view.load_of(target)
        unread = count_uncached(load, prompt, parts)
        cache_source, fetched = _choose_cache_source(
            kept, target, prompt.tokens - unread
        )
        unread -= fetched
        fetch_ms = fetched / FETCH_RATE + (FETCH_SETUP_MS if cache_source else 0.0)
        if cache_source is not None and cache_source.domain != target.domain:
            fetch_ms *= OTHER_DOMAIN_FETCH
        rate, wait = view.rate_of(target), estimate_queue_delay(load, view.now)
        if target.role is Role.PREFILL:
            wait += HAND_OVER_MS + view.base_of(target)
        elif target.role is Role.DECODE:
            rate *= DECODE_READ_SPEED
        wait += view.weigh_failures(target) + view.weigh_way(target)
        wait -= HOME_MS if target is home else 0.0
        why = f"wait {wait:.0f} ms, unread {unread} of {prompt.tokens}"
        if cache_source is not None:
            why += f", {fetched} fetched from {cache_source.id}"
        fixed = fetch_ms + estimate_attention(prompt.tokens, unread, rate)
        cost = unread / rate + fixed
        return Choice(target, cost, max(wait, 0.0), unread, why, cache_source, fixed)

    def rank(choice: Choice) -> float:
        return choice.wait_ms + choice.cost_ms * (1 + SPILL_WEIGHT)

    return min(map(score, fit), key=rank, default=None)


def lacks_decode_engine(serving: list[Target], view: View) -> bool:
    """Tell whether prompts would be read in vain, as no engine that decodes answers.

    Load pattern: a domain that is cut off while its engines only read prompts, or
    the loss of all engines that decode.
    """
    roles = {target.role for target in serving}
    if Role.PREFILL not in roles or Role.MIXED in roles:
        return False
    return all(view.is_down(t) for t in serving if t.role is Role.DECODE)


def has_slot(
    target: Target, load: Load, tokens: int = 0, memory: int = 0, spare: int = 0
) -> bool:
    """Tell whether a target runs one more request at once, or with ``spare`` soon.

    Load pattern: more requests than a target has places for. What it refuses has
    cost a way, and the prompt's reading, for nothing. ``memory`` is what the target
    holds, in tokens; 0 if that is not known, like the places of a target.
    """
    if target.slots and load.sequences >= target.slots + spare:
        return False
    held = load.tokens + load.peer_tokens
    return not memory or not held or held + tokens <= memory


def count_outputs(serving: list[Target], view: View) -> tuple[int, int] | None:
    """Return the places for output that are free and all of them, None if unknown.

    Prompts that are being read have a place each. Load pattern: short prompts at a
    high rate, whose output fills the engines that decode while more are read.
    """
    decode = [t for t in serving if t.role is Role.DECODE and not view.is_down(t)]
    if not decode or not all(target.slots for target in decode):
        return None
    total = sum(target.slots for target in decode)
    taken = sum(view.load_of(target).sequences for target in decode)
    reading = sum(
        load.prompts + load.peer_prompts
        for target in serving
        if target.role is Role.PREFILL
        for load in (view.load_of(target),)
    )
    return total - taken - reading, total


def choose_decode(
    fit: list[Target], source: Target | None, view: View
) -> Choice | None:
    """Choose where the output is generated.

    Load pattern: short answers after long prompts, so that moving the prompt's
    memory within a domain outweighs an even spread.
    """
    origin = source.domain if source is not None else view.domain

    def score(target: Target) -> Choice:
        load = view.load_of(target)
        wait = load.sequences * SEQUENCE_MS + load.latency_ms
        wait += (load.work_ms + load.peer_work_ms) * READ_SHARE
        wait += view.weigh_failures(target)
        move = OTHER_DOMAIN_MOVE_MS if target.domain != origin else 0.0
        return Choice(
            target, move + view.weigh_way(target), wait, 0, f"decode wait {wait:.0f} ms"
        )

    return min(map(score, fit), key=lambda choice: choice.finish_ms, default=None)


def choose_plain(fit: list[Target], view: View) -> Choice | None:
    """Choose the target of a call to a plain service by its expected latency."""

    def score(target: Target) -> Choice:
        load = view.load_of(target)
        slots = max(target.slots, 1)
        wait = load.sequences / slots * max(load.latency_ms, 1.0) + load.latency_ms
        wait += view.weigh_failures(target)
        return Choice(target, view.weigh_way(target), wait, 0, f"wait {wait:.0f} ms")

    return min(map(score, fit), key=lambda choice: choice.finish_ms, default=None)


def _list_readers(fit: list[Target], view: View) -> list[Target]:
    """Return the engines that only read, or all while none of those is to be had.

    A prompt that is read between tokens makes the pauses of all output there long.
    """
    prefill = [
        target
        for target in fit
        if target.role is Role.PREFILL and not view.is_down(target)
    ]
    return prefill or fit


def _list_kept(
    donors: list[Target], parts: tuple[PartDigest, ...], view: View
) -> list[tuple[int, Target]]:
    """Return the engines that keep enough of a prompt to be fetched, most first."""
    kept = [
        (count_kept(view.load_of(cache_source), parts, view.now), cache_source)
        for cache_source in donors
        if not view.is_down(cache_source)
    ]
    kept = [entry for entry in kept if entry[0] >= SMALLEST_FETCH_TOKENS]
    return sorted(kept, key=lambda entry: (-entry[0], entry[1].id))


def _choose_cache_source(
    kept: list[tuple[int, Target]], target: Target, own: int
) -> tuple[Target | None, int]:
    """Return where a target may fetch most beyond its own tokens, and how many."""
    others = [e for e in kept if e[1].id != target.id]
    if not others or others[0][0] - own < SMALLEST_FETCH_TOKENS:
        return None, 0
    most = others[0][0]
    same = [d for tokens, d in others if tokens == most and d.domain == target.domain]
    return (same or [others[0][1]])[0], most - own


def _find_home(fit: list[Target], parts: tuple[PartDigest, ...]) -> Target | None:
    """Return the target that every daemon prefers for a prefix while none keeps it."""
    if not parts or not fit:
        return None
    last = parts[-1].digest
    return max(fit, key=lambda t: xxhash.xxh64_intdigest(f"{t.id}{last}".encode()))


_UNKNOWN = Load()
