"""Hold what an engine is given to do and what its steps bring about."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from stand_ins.engine_orders import Outcome

__all__ = [
    "Admission",
    "OrderResult",
    "PendingExport",
    "Phase",
    "Sequence",
    "Step",
    "Work",
]


class Phase(Enum):
    """Name the part of a request that an engine is asked for."""

    WHOLE = "whole"
    PREFILL = "prefill"


class Admission(Enum):
    """Name the answer to new work; all but ACCEPTED mean that nothing was run."""

    ACCEPTED = "accepted"
    FULL = "full"
    CHANGING = "changing"
    TOO_LARGE = "too large"


@dataclass(slots=True, frozen=True)
class Work:
    """Hold one request; sizes are tokens, a lower priority number goes first.

    ``offset`` tokens were given before, elsewhere; the KV cache of the first
    ``imported`` prompt tokens comes from another engine.
    """

    id: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 1
    phase: Phase = Phase.WHOLE
    offset: int = 0
    imported: int = 0


@dataclass(slots=True)
class Sequence:
    """Hold work in the engine; ``remaining_prefill`` counts tokens still to be prefilled."""

    work: Work
    arrival_number: int
    generated: int
    cached_count: int = 0
    remaining_prefill: int = 0
    private_pieces: int = 0
    pinned_blocks: tuple[int, ...] = ()
    import_ends: timedelta | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the key that orders sequences: priority, then arrival."""
        return self.work.priority, self.arrival_number


@dataclass(slots=True, frozen=True)
class PendingExport:
    """Hold a prompt's KV cache that waits to be fetched until ``expires``."""

    handle: str
    sequence: Sequence
    pieces: int
    expires: timedelta


@dataclass(slots=True)
class Step:
    """Hold one step's duration, who ``started`` at its begin, and its results.

    The results are true once the duration has passed. ``tokens`` maps a request to
    the number, from 1, of the one token it got; ``first_tokens`` are those for which it
    was the first here; ``prefilled`` maps a prefill request to its KV cache; blocks
    ``stored`` and ``evicted`` are hashes.
    """

    duration: timedelta
    started: list[str] = field(default_factory=list)
    tokens: dict[str, int] = field(default_factory=dict)
    first_tokens: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)
    prefilled: dict[str, PendingExport] = field(default_factory=dict)
    stored: list[int] = field(default_factory=list)
    evicted: list[int] = field(default_factory=list)
    prefill_tokens: int = 0
    decoding: int = 0


@dataclass(slots=True, frozen=True)
class OrderResult:
    """Hold the answer to an order and the requests that it ended."""

    outcome: Outcome
    running: list[str] = field(default_factory=list)
    waiting: list[str] = field(default_factory=list)
