"""Define the parsed and validated content of an operators' file."""

from dataclasses import dataclass, field
from datetime import time, timedelta
from zoneinfo import ZoneInfo

from galenapass.tables.requests import Urgency
from galenapass.tables.targets import Role, TargetKind

__all__ = ["Caller", "Configuration", "Hours", "Service", "TargetEntry"]


@dataclass(slots=True, frozen=True)
class Hours:
    """Span of local time on given days of the week; Monday is 0."""

    start: time
    end: time
    days: frozenset[int] = frozenset(range(7))


@dataclass(slots=True, frozen=True)
class Caller:
    """Declared caller; ``rate`` is in requests a second, ``share`` is a weight."""

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
    """Declared service.

    The floors are minimum numbers of engines; ``repeatable`` lists calls that may be
    repeated, each as METHOD PATH.
    """

    name: str
    kind: TargetKind
    model: str = ""
    share: float = 1.0
    floor_prefill: int = 0
    floor_decode: int = 0
    repeatable: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class TargetEntry:
    """Declared target; with ``role`` None, role planning assigns one."""

    name: str
    service: str
    address: str
    domain: str
    role: Role | None = None
    checks_fencing: bool = True


@dataclass(slots=True, frozen=True)
class Configuration:
    """Content of a whole operators' file; version 0 means that none is in force.

    ``role_change_weight`` multiplies the seconds for which a role change makes an
    engine unavailable; ``quarantine`` is the wait before a different order is sent
    to a target that ignores fencing numbers.
    """

    version: int = 0
    text: str = ""
    zone: ZoneInfo = field(default_factory=lambda: ZoneInfo("UTC"))
    role_change_weight: float = 1.0
    quarantine: timedelta = timedelta(seconds=30)
    services: dict[str, Service] = field(default_factory=dict)
    targets: dict[str, TargetEntry] = field(default_factory=dict)
    callers: dict[str, Caller] = field(default_factory=dict)
