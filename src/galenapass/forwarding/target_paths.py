"""Track which targets this host can connect to."""

from datetime import timedelta

from galenapass.clocks import Clock
from galenapass.logs import make_log

__all__ = ["TargetPaths"]

# Targets that fail one after the other from which this host takes itself for cut off.
MIN_TARGETS = 2

_log = make_log("paths")


class TargetPaths:
    """Paths from this host to targets, by their address."""

    def __init__(self, clock: Clock):
        self._clock = clock
        # Since when new connections to an address fail.
        self._failing_since: dict[str, timedelta] = {}
        self._connected_at = timedelta(0)
        self._is_cut_off = False

    def record_attempt(self, address: str, is_connected: bool) -> None:
        """Record the outcome of an attempt to connect to a target."""
        now = self._clock.monotonic()
        if is_connected:
            self._connected_at = now
            if self._failing_since.pop(address, None) is not None:
                _log("target is reached again", address=address)
        elif address not in self._failing_since:
            self._failing_since[address] = now
            _log("target is not reached", address=address)
        self._update()

    def _update(self) -> None:
        failing = [
            address
            for address, since in self._failing_since.items()
            if since > self._connected_at
        ]
        is_cut_off = len(failing) >= MIN_TARGETS
        if is_cut_off is not self._is_cut_off:
            self._is_cut_off = is_cut_off
            sentence = "host is cut off" if is_cut_off else "host is not cut off"
            _log(sentence, failing=len(self._failing_since))
