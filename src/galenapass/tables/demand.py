"""Hold the measured demand for prefill and decode by service and domain."""

from dataclasses import dataclass, field
from datetime import timedelta

__all__ = ["Demand", "DemandTable", "PeerWork", "PhaseDemand", "RoleChange", "Work"]


@dataclass(slots=True)
class PhaseDemand:
    """Hold a smoothed level and its trend, in engine-equivalents (a second)."""

    level: float = 0.0
    trend: float = 0.0
    samples: int = 0


@dataclass(slots=True)
class Work:
    """Hold engine-seconds of work; a sum over arrivals."""

    prefill: float = 0.0
    decode: float = 0.0


@dataclass(slots=True, frozen=True)
class PeerWork:
    """Hold the engine-equivalents that a peer announced and when."""

    prefill: float
    decode: float
    at: timedelta


@dataclass(slots=True)
class Demand:
    """Hold the demand on one service in one domain.

    ``arrived`` adds up since ``since``; ``own`` is the last whole sample.
    """

    service: str
    domain: str
    arrived: Work = field(default_factory=Work)
    since: timedelta = timedelta(0)
    own: Work = field(default_factory=Work)
    peers: dict[str, PeerWork] = field(default_factory=dict)
    prefill: PhaseDemand = field(default_factory=PhaseDemand)
    decode: PhaseDemand = field(default_factory=PhaseDemand)


@dataclass(slots=True, frozen=True)
class RoleChange:
    """Hold when a target was last seen to change its role."""

    target: str
    at: timedelta


@dataclass(slots=True)
class DemandTable:
    """Hold demands by service and domain, and the last role changes by target."""

    demands: dict[tuple[str, str], Demand] = field(default_factory=dict)
    changes: dict[str, RoleChange] = field(default_factory=dict)
