"""Calls to the platform that only the holder of the duties may make."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

__all__ = ["CallOutcome", "Duty", "OperationsClient", "OperationsTerms"]


class CallOutcome(Enum):
    """Result of a call, as far as the caller can know it."""

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"
    THROTTLED = "throttled"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Duty(Enum):
    """Duty that the platform asks of one host at a time."""

    USAGE = "usage reports"
    SIZES = "sizes of services"


@dataclass(slots=True, frozen=True)
class OperationsTerms:
    """What the settings ask of the holder of the duties.

    ``window`` is the length of a window of usage, whose report is due ``lateness``
    after its end. ``calls_per_second`` is the limit of all hosts together.
    """

    address: str
    duties: frozenset[Duty] = frozenset()
    calls_per_second: float = 1.0
    window: timedelta = timedelta(seconds=5)
    lateness: timedelta = timedelta(seconds=10)


class OperationsClient(Protocol):
    """Client of the platform's operations; a call ends within ``time_limit``.

    ``holder`` is the name of the host that holds the duties, ``fence`` its number.
    """

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        holder: str,
        fence: int,
        time_limit: timedelta,
    ) -> CallOutcome:
        """Report the requests of each organisation that began in a window."""

    async def order_size(
        self,
        service: str,
        domain: str,
        count: int,
        reclaimable: bool,
        holder: str,
        fence: int,
        time_limit: timedelta,
    ) -> CallOutcome:
        """Order a number of targets of one kind for a service in a domain."""
