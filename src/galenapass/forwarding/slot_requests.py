"""Hold what daemons and schedulers say to each other about places at targets."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from galenapass.forwarding.loads import PartDigest
from galenapass.forwarding.requests import Prompt
from galenapass.tables.targets import Target

__all__ = ["SlotRequest", "SlotRelease", "Grant", "Outcome", "Stage"]


class Stage(Enum):
    """Name what a request needs a target for."""

    PREFILL = "read"
    DECODE = "output"
    CALL = "call"


class Outcome(Enum):
    """Tell how the use of a place ended, as far as it says something of the target."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHABLE = "unreached"
    CANCELLED = "cancelled"


@dataclass(slots=True, frozen=True)
class SlotRequest:
    """Ask for a place at a target; times are monotonic where they are held.

    ``ticket`` names the ask over the whole fleet, ``request`` the request that it is
    for. ``tried`` names targets that come last, ``excluded`` those that get nothing;
    ``prefill_engine`` is the engine that holds the memory of a prompt that was read.
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

    @property
    def shared_parts(self) -> tuple[PartDigest, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def tokens(self) -> int:
        """Return the tokens of an engine's memory that only this request may take."""
        if self.prompt is None:
            return 0
        own = self.parts[-1].tokens if self.parts else self.prompt.tokens
        return own + self.prompt.output_tokens

    @property
    def all_tokens(self) -> int:
        """Return the tokens that the request may take in an empty engine."""
        if self.prompt is None:
            return 0
        return self.prompt.tokens + self.prompt.output_tokens


@dataclass(slots=True, frozen=True)
class Grant:
    """Hold a place; durations in milliseconds, expected when it was given.

    ``cache_source`` is the address of an engine to fetch parts of the prompt from;
    ``fixed_ms`` is the part of the cost that does not follow from the engine's rate.
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
        """Return when the work is expected to end, from the grant."""
        return self.wait_ms + self.cost_ms


@dataclass(slots=True, frozen=True)
class SlotRelease:
    """Give a place back, or only its part for reading when ``is_prefill_only`` is set.

    ``first_ms`` is the time to the first output, ``took_ms`` the time in use, both
    from the grant; ``events`` counts the events of the output.
    """

    ticket: str
    outcome: Outcome
    took_ms: float = 0.0
    first_ms: float = 0.0
    is_prefill_only: bool = False
    events: int = 0
