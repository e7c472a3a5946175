"""Define the measured demand for prefill and decode by service."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Demand", "DemandTable", "PeerDemand", "PhaseDemand"]


@dataclass(slots=True)
class PhaseDemand:
    """Smoothed level in engine-equivalents and its trend a second."""

    level: float = 0.0
    trend: float = 0.0


@dataclass(slots=True, frozen=True)
class PeerDemand:
    """Demand that a peer announced, in engine-equivalents, received at ``at``."""

    prefill: float
    decode: float
    at: timedelta


@dataclass(slots=True)
class Demand:
    """Demand on one service.

    ``prefill_arrived`` and ``decode_arrived`` sum the engine-seconds that arrived
    since ``since``; ``own_*`` are this daemon's engine-equivalents in the last
    complete sample.
    """

    service: str
    prefill_arrived: float = 0.0
    decode_arrived: float = 0.0
    since: timedelta | None = None
    own_prefill: float = 0.0
    own_decode: float = 0.0
    peers: dict[str, PeerDemand] = field(default_factory=dict)
    prefill: PhaseDemand = field(default_factory=PhaseDemand)
    decode: PhaseDemand = field(default_factory=PhaseDemand)
    samples: int = 0


@dataclass(slots=True)
class DemandTable:
    """Demands by service, and the time of each target's last role change."""

    demands: dict[str, Demand] = field(default_factory=dict)
    role_changed_at: dict[str, timedelta] = field(default_factory=dict)
