"""Define the interface between the operators' application and the daemon."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from result import Result

from galenapass.tables.configurations import Configuration
from galenapass.verdicts import Verdict

__all__ = [
    "Conflict",
    "HostStatus",
    "OperatorsView",
    "PlatformState",
    "Status",
    "TargetStatus",
]


class PlatformState(Enum):
    """Availability of the platform's service."""

    REACHABLE = "reachable"
    UNAVAILABLE = "away"


@dataclass(slots=True, frozen=True)
class HostStatus:
    """State of one host in a daemon's local view."""

    id: str
    domain: str
    state: str
    settings_version: int


@dataclass(slots=True, frozen=True)
class Status:
    """State of a daemon and of the hosts in its local view."""

    host: str
    domain: str
    incarnation: int
    ready: bool
    settings_version: int
    platform: PlatformState
    duties: tuple[str, ...] = ()
    hosts: tuple[HostStatus, ...] = ()


@dataclass(slots=True, frozen=True)
class TargetStatus:
    """State of one target in a daemon's local view; a plain service has no load.

    Memory is counted in the pieces that the engine reports.
    """

    id: str
    service: str
    domain: str
    kind: str
    role: str
    state: str
    running: int = 0
    waiting: int = 0
    pieces_used: int = 0
    pieces_total: int = 0
    report_age: timedelta | None = None


@dataclass(slots=True, frozen=True)
class Conflict:
    """Version that a file was based on and the version in force."""

    base: int
    current: int


class OperatorsView(Protocol):
    """Access to the daemon's state and configuration for operators."""

    def read_status(self) -> Status:
        """Return the state of this daemon and its hosts."""

    def read_targets(self) -> list[TargetStatus]:
        """Return the targets in the order of the operators' file."""

    def read_configuration(self, version: int | None = None) -> Configuration | None:
        """Return the version in force, or an older one if it is still stored here."""

    async def apply(
        self, text: str, base_version: int
    ) -> Result[int, Verdict | Conflict]:
        """Apply a validated file; base version 0 means that none is in force yet.

        A verdict states whether the write may have taken effect.
        """
