"""Define this daemon's local view of the daemons of the fleet."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = ["Host", "HostState"]


class HostState(Enum):
    """Recorded state of a daemon; only GONE is certain enough to act upon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Host:
    """One daemon of the fleet; times are monotonic on this daemon's clock."""

    id: str
    address: str
    domain: str
    incarnation: int = 0
    state: HostState = HostState.ALIVE
    last_heard_at: timedelta | None = None
    settings_version: int = 0
