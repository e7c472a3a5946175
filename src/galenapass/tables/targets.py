"""Define the targets, their reported load and the work in flight on them."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

__all__ = [
    "LoadChange",
    "LoadReport",
    "Rates",
    "Role",
    "Target",
    "TargetKind",
    "TargetState",
]

DEFAULT_PREFILL_RATE = 10_000.0  # tokens a second
DEFAULT_STEP = 0.02  # seconds between the tokens of one sequence
DEFAULT_CONCURRENCY = 256.0  # sequences decoded at the same time


class TargetKind(Enum):
    """Kind of a target: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(Enum):
    """Phases of a request that an engine runs."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class TargetState(Enum):
    """Lifecycle state of a target in this daemon's local view."""

    SERVING = "serving"
    DRAINING = "draining"
    CHANGING = "changing"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load that an engine reported; it lags behind the engine's actual load.

    Memory is counted in the engine's pieces, ``prefill_queued`` in tokens.
    """

    incarnation: str
    sequence: int
    running: int
    waiting: int
    prefill_queued: int
    pieces_used: int
    pieces_total: int
    piece_tokens: int


@dataclass(slots=True, frozen=True)
class LoadChange:
    """Work that started, or ended if negative, at a monotonic time."""

    at: timedelta
    requests: int = 0
    prefill: int = 0
    pieces: int = 0


@dataclass(slots=True)
class Rates:
    """Speed of a target, estimated from its results.

    ``prefill`` is in tokens a second, ``step`` in seconds between two tokens of one
    sequence, ``concurrency`` in sequences. ``best_*`` follow the fastest results:
    the speed of the target when it has no other work.
    """

    prefill: float = DEFAULT_PREFILL_RATE
    step: float = DEFAULT_STEP
    concurrency: float = DEFAULT_CONCURRENCY
    prefill_at: timedelta | None = None
    step_at: timedelta | None = None
    best_prefill: float = DEFAULT_PREFILL_RATE
    best_step: float = DEFAULT_STEP


@dataclass(slots=True)
class Target:
    """One target; times are monotonic.

    ``own_*`` count the work that this daemon has in flight there, ``peer_*`` the
    work that the peers announced since the last report. ``*_changes`` list the
    starts and ends that the last report may not include yet; ``unreported_*`` sum
    those of this daemon. ``slots`` is the number of requests that the target runs at
    once, 0 if unknown, ``version`` the version of its software, empty if unknown.
    The platform may reclaim an ``is_reclaimable`` target at any time; ``time_left`` is
    how long one that leaves still runs, by its entry, None if unknown.
    ``listed_leaving`` is set when the platform's list shows the target as leaving,
    ``reported_leaving`` when the target itself does.
    """

    id: str
    address: str
    domain: str
    kind: TargetKind
    service: str
    role: Role = Role.MIXED
    model: str = ""
    checks_fencing: bool = True
    state: TargetState = TargetState.SERVING
    incarnation: str = ""
    slots: int = 0
    version: str = ""
    is_reclaimable: bool = False
    time_left: timedelta | None = None
    drain_epoch: int = 0
    listed_leaving: bool = False
    reported_leaving: bool = False
    load: LoadReport | None = None
    load_at: timedelta | None = None
    own_requests: int = 0
    own_prefill: int = 0
    own_pieces: int = 0
    peer_requests: int = 0
    peer_prefill: int = 0
    peer_pieces: int = 0
    failures: int = 0
    failed_at: timedelta | None = None
    avoid_until: timedelta | None = None
    cached_blocks: dict[int, None] = field(default_factory=dict)
    unreported_requests: int = 0
    unreported_prefill: int = 0
    unreported_pieces: int = 0
    own_changes: list[LoadChange] = field(default_factory=list)
    peer_changes: list[LoadChange] = field(default_factory=list)
    rates: Rates = field(default_factory=Rates)
