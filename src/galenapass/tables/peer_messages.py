"""Define the messages between daemons, one slotted class for each kind."""

from dataclasses import dataclass

from galenapass.tables.crashes import Crash
from galenapass.tables.hosts import HostState

__all__ = [
    "CrashSuspect",
    "DemandUse",
    "Drain",
    "DrainAck",
    "GossipItem",
    "Heartbeat",
    "HostChange",
    "LimitUse",
    "LinkChange",
    "Orders",
    "Settings",
    "TargetReport",
    "TargetUse",
]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Heartbeat of a daemon; SUSPECT is never sent, each daemon detects it locally."""

    host: str
    address: str
    domain: str
    incarnation: int
    counter: int
    state: HostState = HostState.ALIVE
    settings_version: int = 0


@dataclass(slots=True, frozen=True)
class TargetUse:
    """Work that one daemon has in flight on a target.

    ``prefill`` is in tokens, ``pieces`` in pieces of the engine's memory.
    """

    host: str
    target: str
    requests: int
    prefill: int
    pieces: int


@dataclass(slots=True, frozen=True)
class TargetReport:
    """Load report of an engine, as forwarded by the daemon that observes it.

    ``generation`` orders the engine's incarnations; gossip assigns it.
    """

    target: str
    incarnation: str
    sequence: int
    running: int
    waiting: int
    prefill_queued: int
    pieces_used: int
    pieces_total: int
    piece_tokens: int
    generation: int = 0


@dataclass(slots=True, frozen=True)
class Drain:
    """Drain of a target that the platform lists as leaving; ``ended`` withdraws it."""

    target: str
    epoch: int
    ended: bool = False


@dataclass(slots=True, frozen=True)
class DrainAck:
    """Acknowledgement that one daemon starts no new work on a draining target.

    ``in_flight`` is the number of requests that it still has there.
    """

    host: str
    incarnation: int
    target: str
    epoch: int
    in_flight: int


@dataclass(slots=True, frozen=True)
class CrashSuspect:
    """Crashes that a request may have caused; both sets only grow."""

    fingerprint: str
    crashes: frozenset[Crash]
    cleared: frozenset[Crash] = frozenset()


@dataclass(slots=True, frozen=True)
class LimitUse:
    """Use and share of a caller's limit by one daemon, in requests a second."""

    host: str
    caller: str
    sequence: int
    used: float
    held: float


@dataclass(slots=True, frozen=True)
class DemandUse:
    """Demand for a service at one daemon, in engine-equivalents."""

    host: str
    service: str
    sequence: int
    prefill: float
    decode: float


@dataclass(slots=True, frozen=True)
class Orders:
    """Text of a domain's orders object with the version at which it was read."""

    domain: str
    version: int
    text: str


@dataclass(slots=True, frozen=True)
class Settings:
    """Text of an operators' file with its version; a higher version wins."""

    version: int
    text: str


@dataclass(slots=True, frozen=True)
class HostChange:
    """Change of a daemon's recorded state; ``before`` is None for a new incarnation."""

    host: str
    incarnation: int
    before: HostState | None
    after: HostState


@dataclass(slots=True, frozen=True)
class LinkChange:
    """Opening or end of a direct link to a daemon."""

    host: str
    open: bool


GossipItem = (
    Heartbeat
    | TargetUse
    | TargetReport
    | Drain
    | DrainAck
    | CrashSuspect
    | LimitUse
    | DemandUse
    | Orders
)
