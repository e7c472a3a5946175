"""Track which targets this host reaches by itself, and which through other hosts.

A host cannot tell the crash of a target from a cut of its own links. Another host that
reaches the target shows that it is a cut.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from itertools import zip_longest
from random import Random

from galenapass.clocks import Clock
from galenapass.forwarding.schedulers import Hosts
from galenapass.logs import make_log

__all__ = ["Refusal", "TargetPaths"]

# Targets that only other hosts reach from which this host takes itself for cut off.
MIN_TARGETS = 2
# Between probes of the targets that only other hosts reach, a few at a time.
PROBE_PERIOD = timedelta(milliseconds=500)
MAX_PROBES = 2
# A target that no other host reached either is not sought on a detour for so long.
LOST_TIME = timedelta(seconds=1)
# A host that is of no use as a detour is not asked for so long.
BLOCK_TIME = timedelta(seconds=2)
# A path that was not needed for so long is forgotten.
UNUSED_TIME = timedelta(seconds=10)
# Hosts asked for one connection.
MAX_PEERS = 4

_log = make_log("paths")


class Refusal(Enum):
    """Reason why a host opens no connection to a target for another host."""

    CUT_OFF = "cut off"
    STOPPING = "stopping"
    BUSY = "busy"
    SILENT = "no answer"
    UNREACHABLE = "unreachable"
    EXCLUDED = "excluded"


# Refusals that are due to the host and not to the target.
_BLOCKING = frozenset({Refusal.CUT_OFF, Refusal.STOPPING, Refusal.BUSY, Refusal.SILENT})


@dataclass(slots=True)
class _Path:
    """Path to a target that only other hosts reach; times are monotonic.

    ``peers`` maps the hosts used for it to the last time.
    """

    since: timedelta
    used_at: timedelta
    probed_at: timedelta
    peers: dict[str, timedelta] = field(default_factory=dict)


class TargetPaths:
    """Paths from one host to targets, by the targets' addresses.

    ``hosts`` are the known hosts. ``is_cut_off`` tells that this host reaches no
    target, while others do.
    """

    def __init__(self, host: str, domain: str, clock: Clock, random: Random):
        self.hosts: Hosts = {}
        self._host = host
        self._domain = domain
        self._clock = clock
        self._random = random
        self._detours: dict[str, _Path] = {}
        self._lost_until: dict[str, timedelta] = {}
        self._failed_at: dict[str, timedelta] = {}
        self._blocked_until: dict[str, timedelta] = {}
        self._connected_at = timedelta(0)

    @property
    def is_cut_off(self) -> bool:
        """Return whether only other hosts reach targets."""
        later = [p for p in self._detours.values() if p.since > self._connected_at]
        return len(later) >= MIN_TARGETS

    # Own connections

    def record_attempt(self, address: str, is_connected: bool) -> None:
        """Record the outcome of an attempt of this host to connect to a target."""
        now = self._clock.monotonic()
        if not is_connected:
            self._failed_at[address] = now
            return
        self._failed_at.pop(address, None)
        self._lost_until.pop(address, None)
        if self.is_cut_off:
            _log("host is not cut off", detours=len(self._detours))
            self._detours.clear()
        elif self._detours.pop(address, None) is not None:
            _log("target is reached again", address=address)
        self._connected_at = now

    def has_failed(self, address: str) -> bool:
        """Return whether this host failed to connect to a target lately."""
        failed_at = self._failed_at.get(address)
        return failed_at is not None and self._is_recent(failed_at, LOST_TIME)

    # Detours

    def needs_detour(self, address: str) -> bool:
        """Return whether a target is to be reached through another host at once."""
        path = self._detours.get(address)
        if path is not None:
            path.used_at = self._clock.monotonic()
            return True
        return self.is_cut_off and self.may_detour(address)

    def may_detour(self, address: str) -> bool:
        """Return whether another host may reach a target that this one does not."""
        lost_until = self._lost_until.get(address, timedelta(0))
        return self._clock.monotonic() >= lost_until

    def list_peers(self) -> list[str]:
        """Return the hosts to ask for a connection, in this order.

        Those of the own domain come first, but the second is one of another domain, as
        all hosts of a domain may be cut off.
        """
        now = self._clock.monotonic()
        usable = [
            name
            for name in self.hosts
            if name != self._host and now >= self._blocked_until.get(name, timedelta(0))
        ]
        self._random.shuffle(usable)
        near = [n for n in usable if self.hosts[n].domain == self._domain]
        far = [n for n in usable if self.hosts[n].domain != self._domain]
        return [n for pair in zip_longest(near, far) for n in pair if n][:MAX_PEERS]

    def record_detour(self, address: str, peer: str) -> None:
        """Record that a host has connected to a target for this one."""
        now = self._clock.monotonic()
        was_cut_off = self.is_cut_off
        path = self._detours.get(address)
        if path is None:
            path = self._detours[address] = _Path(now, now, now)
            _log("target is reached through a host", address=address, peer=peer)
        path.peers[peer] = now
        self._lost_until.pop(address, None)
        if self.is_cut_off and not was_cut_off:
            _log("host is cut off", detours=len(self._detours))

    def record_refusal(self, peer: str, refusal: Refusal) -> None:
        """Record that a host did not connect to a target for this one."""
        if refusal in _BLOCKING:
            self._blocked_until[peer] = self._clock.monotonic() + BLOCK_TIME

    def record_lost(self, address: str) -> None:
        """Record that no host that was asked has reached a target."""
        self._lost_until[address] = self._clock.monotonic() + LOST_TIME
        if self._detours.pop(address, None) is not None:
            _log("target is reached through no host", address=address)

    def list_used_peers(self, address: str) -> list[str]:
        """Return the hosts that have connected to a target for this one lately."""
        path = self._detours.get(address)
        if path is None:
            return []
        return [n for n, at in path.peers.items() if self._is_recent(at, UNUSED_TIME)]

    # Probes

    async def run_probes(self, connect: Callable[[str], Awaitable[None]]) -> None:
        """Try the direct paths that fail again until cancelled.

        ``connect`` connects to an address and records the outcome. A request of a
        client would detect the end of a cut as well, but would be delayed by it.
        """
        while True:
            await asyncio.sleep(PROBE_PERIOD.total_seconds())
            self._forget()
            await asyncio.gather(*(connect(a) for a in self._take_probes()))

    def _take_probes(self) -> Iterator[str]:
        now = self._clock.monotonic()
        due = sorted(self._detours, key=lambda a: self._detours[a].probed_at)
        for address in due[:MAX_PROBES]:
            self._detours[address].probed_at = now
            yield address

    def _forget(self) -> None:
        """Drop what is too old to be of use; targets come and go."""
        self._detours = {
            address: path
            for address, path in self._detours.items()
            if self._is_recent(path.used_at, UNUSED_TIME)
        }
        now = self._clock.monotonic()
        for times in (self._lost_until, self._blocked_until):
            for name in [name for name, until in times.items() if until <= now]:
                del times[name]
        self._failed_at = {
            address: at
            for address, at in self._failed_at.items()
            if self._is_recent(at, LOST_TIME)
        }

    def _is_recent(self, at: timedelta, limit: timedelta) -> bool:
        return self._clock.monotonic() - at < limit
