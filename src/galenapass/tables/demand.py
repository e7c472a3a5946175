"""Hold the measured demand for prefill and decode by service."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Demand", "DemandTable", "PeerDemand", "PhaseDemand"]


@dataclass(slots=True)
class PhaseDemand:
    """Hold a smoothed level in engine-equivalents and its trend a second."""

    level: float = 0.0
    trend: float = 0.0


@dataclass(slots=True, frozen=True)
class PeerDemand:
    """Hold the engine-equivalents that a peer announced and when."""

    prefill: float
    decode: float
    at: timedelta


@dataclass(slots=True)
class Demand:
    """Hold the demand on one service.

    ``prefill_arrived`` and ``decode_arrived`` add up engine-seconds since
    ``since``; ``own_*`` are the engine-equivalents of the last whole sample.
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
    """Hold demands by service, and when each target last changed its role."""

    demands: dict[str, Demand] = field(default_factory=dict)
    changed: dict[str, timedelta] = field(default_factory=dict)
