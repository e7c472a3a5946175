"""Return the list of hosts with a lag."""

from collections import deque
from datetime import timedelta
from typing import Any

__all__ = ["LaggedHosts"]


class LaggedHosts:
    """Host lists with the times from which they are valid."""

    __slots__ = ("_snapshots",)

    def __init__(self) -> None:
        self._snapshots: deque[tuple[timedelta, list[dict[str, Any]]]] = deque()

    def put(self, now: timedelta, hosts: list[dict[str, Any]]) -> None:
        """Set the list that is valid from ``now`` on."""
        self._snapshots.append((now, hosts))

    def read(self, now: timedelta, lag: timedelta) -> list[dict[str, Any]]:
        """Return the newest list at least as old as the lag, or an empty one.

        Older lists are dropped, so a larger lag later does not return them again.
        """
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - lag:
            self._snapshots.popleft()
        if not self._snapshots or self._snapshots[0][0] > now - lag:
            return []
        return self._snapshots[0][1]
