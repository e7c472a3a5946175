"""Hold what daemons tell each other, one slotted class for each kind of news."""

from dataclasses import dataclass

from galenapass.tables.crashes import Crash
from galenapass.tables.hosts import HostState

__all__ = [
    "CrashSuspect",
    "DemandUse",
    "Drain",
    "DrainAck",
    "HostChange",
    "Heartbeat",
    "GossipItem",
    "LimitUse",
    "LinkChange",
    "Orders",
    "Settings",
    "TargetReport",
    "TargetUse",
]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Hold one heartbeat; SUSPECT is never sent, each daemon judges by itself."""

    host: str
    address: str
    domain: str
    incarnation: int
    counter: int
    state: HostState = HostState.ALIVE
    settings_version: int = 0


@dataclass(slots=True, frozen=True)
class TargetUse:
    """Hold what one daemon has in flight on a target; prefill is in tokens."""

    host: str
    target: str
    requests: int
    prefill: int
    pieces: int


@dataclass(slots=True, frozen=True)
class TargetReport:
    """Hold an engine's own report as its observer passes it on.

    ``generation`` orders the engine's incarnations; the gossip fills it in.
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
    """Hold that the platform lists a target as leaving, or no more when ended."""

    target: str
    epoch: int
    ended: bool = False


@dataclass(slots=True, frozen=True)
class DrainAck:
    """Hold that one daemon starts nothing there, and what it still has in flight."""

    host: str
    incarnation: int
    target: str
    epoch: int
    in_flight: int


@dataclass(slots=True, frozen=True)
class CrashSuspect:
    """Hold the crashes that a request may have caused; both sets only grow."""

    fingerprint: str
    crashes: frozenset[Crash]
    cleared: frozenset[Crash] = frozenset()


@dataclass(slots=True, frozen=True)
class LimitUse:
    """Hold what one daemon uses and holds of a caller's limit, in requests a second."""

    host: str
    caller: str
    sequence: int
    used: float
    held: float


@dataclass(slots=True, frozen=True)
class DemandUse:
    """Hold the demand that one daemon sees for a service, in engines."""

    host: str
    service: str
    sequence: int
    prefill: float
    decode: float


@dataclass(slots=True, frozen=True)
class Orders:
    """Hold the text of a domain's orders object with the version it was read at."""

    domain: str
    version: int
    text: str


@dataclass(slots=True, frozen=True)
class Settings:
    """Hold an operators' file with its version; a higher version wins."""

    version: int
    text: str


@dataclass(slots=True, frozen=True)
class HostChange:
    """Tell that the belief about a daemon changed; None means not known before."""

    host: str
    incarnation: int
    before: HostState | None
    after: HostState


@dataclass(slots=True, frozen=True)
class LinkChange:
    """Tell that a direct link to a daemon opened or ended."""

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
