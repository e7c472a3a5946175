"""Read the platform's lagging host list, more often on holders of a duty."""

from collections.abc import Callable
from datetime import timedelta

from result import Err

from galenapass.clocks import Clock
from galenapass.json_values import describe_value, read_each
from galenapass.logs import make_log
from galenapass.platform.headers import parse_integer
from galenapass.platform.messages import ListedHost
from galenapass.platform.object_client import ObjectClient
from galenapass.systems import presence
from galenapass.systems.membership import ListedDaemon
from galenapass.systems.presence import Presence
from galenapass.tables.peer_messages import Drain
from galenapass.tables.world import World

__all__ = ["PERIOD", "HostListReader"]

PERIOD = timedelta(seconds=1)
# For daemons that receive updates on leaving targets from the holders of a duty.
NON_HOLDER_PERIOD = timedelta(seconds=10)

DAEMON = "daemon"
TARGET = "target"

_log = make_log("hosts")


class HostListReader:
    """Reader of the host list, with the latest presence of each target."""

    __slots__ = (
        "_clock",
        "_is_holder",
        "_objects",
        "_presence",
        "_publish",
        "_read_at",
        "_record_daemons",
        "_world",
        "is_reachable",
    )

    def __init__(
        self,
        world: World,
        clock: Clock,
        objects: ObjectClient,
        is_holder: Callable[[], bool],
        record_daemons: Callable[[list[ListedDaemon]], None],
        publish: Callable[[Drain], None],
    ):
        self._world = world
        self._clock = clock
        self._objects = objects
        self._is_holder = is_holder
        self._record_daemons = record_daemons
        self._publish = publish
        self._presence = Presence()
        self._read_at: timedelta | None = None
        self.is_reachable = False

    async def read(self) -> bool:
        """Read the list if it is due; return False when the read failed."""
        now = self._clock.monotonic()
        if not self._is_due(now):
            return True
        found = await self._objects.list_hosts()
        self.is_reachable = not isinstance(found, Err)
        if isinstance(found, Err):
            return False
        self._read_at = now
        self._record_daemons(_select_daemons(found.ok_value))
        self._apply_targets(found.ok_value)
        return True

    def apply_drain(self, drain: Drain) -> None:
        """Apply a peer's update on whether a target leaves."""
        if presence.apply_drain(self._presence, self._world, drain):
            _log_presence(drain, "a peer")

    def _is_due(self, now: timedelta) -> bool:
        if self._read_at is None or self._is_holder():
            return True
        return now - self._read_at >= NON_HOLDER_PERIOD

    def _apply_targets(self, rows: tuple[ListedHost, ...]) -> None:
        listed = {row.id: row.leaving for row in rows if row.kind == TARGET}
        for drain in presence.apply_target_list(self._presence, self._world, listed):
            _log_presence(drain, "the platform")
            self._publish(drain)


def _log_presence(drain: Drain, source: str) -> None:
    message = "target is no longer leaving" if drain.ended else "target is leaving"
    _log(message, target=drain.target, source=source, epoch=drain.epoch)


def _select_daemons(rows: tuple[ListedHost, ...]) -> list[ListedDaemon]:
    daemons = [row for row in rows if row.kind == DAEMON]
    return read_each(_read_daemon, daemons, _skip_daemon)


def _read_daemon(row: ListedHost) -> ListedDaemon:
    incarnation = parse_integer(str(row.incarnation))
    if incarnation is None:
        text = describe_value(row.incarnation)
        raise ValueError(f"the incarnation of {describe_value(row.id)} is {text}")
    return ListedDaemon(row.id, row.address, row.domain, incarnation, row.leaving)


def _skip_daemon(error: str) -> None:
    _log("daemon is left out", error=error)
