"""Define an engine's requests and the results of its steps."""

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
    """Part of a request that an engine runs."""

    WHOLE = "whole"
    PREFILL = "prefill"


class Admission(Enum):
    """Result of adding a request; all but ACCEPTED mean that it was not run."""

    ACCEPTED = "accepted"
    FULL = "full"
    CHANGING = "changing"
    TOO_LARGE = "too large"


@dataclass(slots=True, frozen=True)
class Work:
    """Request to an engine; sizes are in tokens, lower priority numbers run first.

    Another engine has generated the first ``offset`` output tokens. The KV cache of
    the first ``imported`` prompt tokens is imported from another engine.
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
    """Request in an engine.

    ``generated`` and ``remaining_prefill`` are tokens, ``cached_count`` and
    ``pinned_blocks`` are prompt blocks, ``private_pieces`` pieces of memory.
    ``import_ends`` is the time at which the KV cache is imported.
    """

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
        """Return the sort key: priority, then arrival."""
        return self.work.priority, self.arrival_number


@dataclass(slots=True, frozen=True)
class PendingExport:
    """KV cache of a prompt that another engine can fetch until ``expires``."""

    handle: str
    sequence: Sequence
    pieces: int
    expires: timedelta


@dataclass(slots=True)
class Step:
    """Duration and results of one step.

    ``started`` lists requests that start with the step; all other results are valid
    once its duration has passed. ``tokens`` maps each decoding request to the number,
    from 1, of its new token; ``first_tokens`` lists the requests whose first token on
    this engine it is. ``prefilled`` maps prefill requests to their KV caches;
    ``stored`` and ``evicted`` are block hashes.
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
    """Outcome of an order and ids of the requests that it ended."""

    outcome: Outcome
    running: list[str] = field(default_factory=list)
    waiting: list[str] = field(default_factory=list)
