"""State what the operators' port asks of the daemon."""

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
    """Tell whether the platform's service answers."""

    REACHABLE = "reachable"
    UNAVAILABLE = "away"


@dataclass(slots=True, frozen=True)
class HostStatus:
    """Hold what a daemon knows of one host."""

    id: str
    domain: str
    state: str
    settings_version: int


@dataclass(slots=True, frozen=True)
class Status:
    """Hold the state of a daemon and of the hosts that it knows."""

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
    """Hold what a daemon knows of one target; a plain service has no load.

    Memory is counted in the engine's pieces.
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
    """Hold the version that a file was based on and the one in force."""

    base: int
    current: int


class OperatorsView(Protocol):
    """Give the state of the daemon and accept a new operators' file."""

    def read_status(self) -> Status:
        """Return the state of this daemon and its hosts."""

    def read_targets(self) -> list[TargetStatus]:
        """Return the targets in the order of the operators' file."""

    def read_configuration(self, version: int | None = None) -> Configuration | None:
        """Return the one in force, or an older one if it is still held."""

    async def apply(
        self, text: str, base_version: int
    ) -> Result[int, Verdict | Conflict]:
        """Put a checked file in force; base version 0 means that none is yet.

        A verdict says whether the write may have taken effect.
        """
