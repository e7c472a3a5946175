"""Messages between daemons and schedulers about slots at targets."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.requests import Prompt
from galenapass.tables.targets import Target

__all__ = ["Grant", "Outcome", "SlotRelease", "SlotRequest", "Stage"]


class Stage(Enum):
    """Stage of a request for which it needs a slot at a target."""

    PREFILL = "read"
    DECODE = "output"
    CALL = "call"


class Outcome(Enum):
    """Result of the use of a slot, as far as it concerns the target."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreached"
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """Request for a slot at a target; times are local monotonic times.

    ``ticket`` identifies the slot request in the whole fleet, ``request`` the request
    that it serves. ``tried`` names targets to use last, ``excluded`` those to avoid;
    ``prefill_engine`` is the engine that holds the KV cache of a prefilled prompt.
    ``version`` is the only version whose targets may generate, None for any;
    ``knows_versions`` is whether the builds of both hosts know software versions.
    ``organisation`` is the caller's, empty if unknown.
    """

    ticket: str
    request: str
    service: str
    stage: Stage
    soft_deadline: timedelta
    deadline: timedelta
    rank: int
    prompt: Prompt | None = None
    parts: tuple[PartDigest, ...] = ()
    tried: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    prefill_engine: str = ""
    fingerprint: str = ""
    version: str | None = None
    knows_versions: bool = True
    organisation: str = ""

    @property
    def shared_parts(self) -> tuple[PartDigest, ...]:
        """Return the prompt parts that other requests may share."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """Return the maximum KV cache tokens that this request does not share."""
        if self.prompt is None:
            return 0
        own = self.parts[-1].tokens if self.parts else self.prompt.tokens
        return own + self.prompt.output_tokens

    @property
    def all_tokens(self) -> int:
        """Return the maximum KV cache tokens of the request in an empty engine."""
        if self.prompt is None:
            return 0
        return self.prompt.tokens + self.prompt.output_tokens


@dataclass(slots=True, frozen=True)
class Grant:
    """Granted slot; durations are in milliseconds as expected at the time of the grant.

    ``cache_source`` is the address of an engine to fetch cached prompt parts from;
    ``fixed_ms`` is the part of the cost that is independent of the prefill rate.
    """

    ticket: str
    target: Target
    cost_ms: float
    wait_ms: float
    uncached_tokens: int
    fixed_ms: float
    why: str
    cache_source: str | None = None

    @property
    def finish_ms(self) -> float:
        """Return the milliseconds from the grant to the expected end of the work."""
        return self.wait_ms + self.cost_ms


@dataclass(slots=True, frozen=True)
class SlotRelease:
    """Release of a slot, or of its prefill part only if ``is_prefill_only`` is set.

    ``first_ms`` is the time to the first output and ``took_ms`` the time in use, both
    in milliseconds from the grant; ``events`` counts the output events.
    """

    ticket: str
    outcome: Outcome
    took_ms: float = 0.0
    first_ms: float = 0.0
    is_prefill_only: bool = False
    events: int = 0
