"""Hold the daemons of the fleet as this daemon knows them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = ["Host", "HostState"]


class HostState(Enum):
    """Name what is believed of a daemon; only GONE is safe to act upon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Host:
    """Hold one daemon; times are monotonic on this daemon's clock."""

    id: str
    address: str
    domain: str
    incarnation: int = 0
    state: HostState = HostState.ALIVE
    last_heard_at: timedelta | None = None
    settings_version: int = 0
