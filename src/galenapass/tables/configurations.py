"""Hold what an operators' file declares, as read and checked."""

from dataclasses import dataclass, field
from datetime import time, timedelta
from zoneinfo import ZoneInfo

from galenapass.tables.requests import Urgency
from galenapass.tables.targets import Role, TargetKind

__all__ = ["Caller", "Configuration", "Hours", "Service", "TargetEntry"]


@dataclass(slots=True, frozen=True)
class Hours:
    """Hold a span of local hours on some days of the week; Monday is 0."""

    start: time
    end: time
    days: frozenset[int] = frozenset(range(7))


@dataclass(slots=True, frozen=True)
class Caller:
    """Hold one caller; ``rate`` in requests a second, ``share`` is a weight."""

    name: str
    key_hash: str
    services: frozenset[str]
    urgency: Urgency = Urgency.NORMAL
    urgent_hours: tuple[Hours, ...] = ()
    patience: timedelta = timedelta(seconds=60)
    urgent_patience: timedelta = timedelta(seconds=8)
    rate: float = 40.0
    share: float = 1.0


@dataclass(slots=True, frozen=True)
class Service:
    """Hold one service; floors count engines, repeatable calls are METHOD PATH."""

    name: str
    kind: TargetKind
    model: str = ""
    share: float = 1.0
    floor_prefill: int = 0
    floor_decode: int = 0
    repeatable: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class TargetEntry:
    """Hold one declared target; without a role, placement chooses it."""

    name: str
    service: str
    address: str
    domain: str
    role: Role | None = None
    checks_fencing: bool = True


@dataclass(slots=True, frozen=True)
class Configuration:
    """Hold a whole operators' file; version 0 means that none is in force.

    ``role_change_weight`` multiplies the seconds that a role change takes an
    engine away; ``quarantine`` is the wait before a different order to a target
    that ignores fencing numbers.
    """

    version: int = 0
    text: str = ""
    zone: ZoneInfo = field(default_factory=lambda: ZoneInfo("UTC"))
    role_change_weight: float = 1.0
    quarantine: timedelta = timedelta(seconds=30)
    services: dict[str, Service] = field(default_factory=dict)
    targets: dict[str, TargetEntry] = field(default_factory=dict)
    callers: dict[str, Caller] = field(default_factory=dict)
