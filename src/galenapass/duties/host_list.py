"""Read the platform's lagging list of hosts, often only where a duty asks for it."""

from collections.abc import Callable
from datetime import timedelta

from result import Err

from galenapass.clocks import Clock
from galenapass.logs import make_log
from galenapass.platform.messages import ListedHost
from galenapass.platform.object_client import ObjectClient
from galenapass.systems import presence
from galenapass.systems.membership import ListedDaemon
from galenapass.systems.presence import Presence
from galenapass.tables.peer_messages import Drain
from galenapass.tables.world import World

__all__ = ["PERIOD", "HostListReader"]

PERIOD = timedelta(seconds=1)
# For the daemons that hear of leaving targets from the holders of a duty.
SPARE_PERIOD = timedelta(seconds=10)

DAEMON = "daemon"
TARGET = "target"

_log = make_log("hosts")


class HostListReader:
    """Hold when the list was read last and what it said of targets."""

    __slots__ = (
        "_clock",
        "_is_holder",
        "_note_daemons",
        "_objects",
        "_presence",
        "_read_at",
        "_publish",
        "_world",
        "is_reachable",
    )

    def __init__(
        self,
        world: World,
        clock: Clock,
        objects: ObjectClient,
        is_holder: Callable[[], bool],
        note_daemons: Callable[[list[ListedDaemon]], None],
        publish: Callable[[Drain], None],
    ):
        self._world = world
        self._clock = clock
        self._objects = objects
        self._is_holder = is_holder
        self._note_daemons = note_daemons
        self._publish = publish
        self._presence = Presence()
        self._read_at: timedelta | None = None
        self.is_reachable = False

    async def read(self) -> bool:
        """Read the list if it is time to; return False when no answer came."""
        now = self._clock.monotonic()
        if not self._is_due(now):
            return True
        found = await self._objects.list_hosts()
        self.is_reachable = not isinstance(found, Err)
        if isinstance(found, Err):
            return False
        self._read_at = now
        self._note_daemons(_pick_daemons(found.ok_value))
        self._note_targets(found.ok_value)
        return True

    def apply_drain(self, drain: Drain) -> None:
        """Take in a holder's news of a target."""
        if presence.apply_drain(self._presence, self._world, drain):
            _log_presence(drain, "a peer")

    def _is_due(self, now: timedelta) -> bool:
        if self._read_at is None or self._is_holder():
            return True
        return now - self._read_at >= SPARE_PERIOD

    def _note_targets(self, rows: tuple[ListedHost, ...]) -> None:
        listed = {row.id: row.leaving for row in rows if row.kind == TARGET}
        for drain in presence.apply_target_list(self._presence, self._world, listed):
            _log_presence(drain, "the platform")
            self._publish(drain)


def _log_presence(drain: Drain, source: str) -> None:
    sentence = "target stays" if drain.ended else "target leaves"
    _log(sentence, target=drain.target, source=source, epoch=drain.epoch)


def _pick_daemons(rows: tuple[ListedHost, ...]) -> list[ListedDaemon]:
    return [
        ListedDaemon(row.id, row.address, row.domain, int(row.incarnation), row.leaving)
        for row in rows
        if row.kind == DAEMON
    ]
