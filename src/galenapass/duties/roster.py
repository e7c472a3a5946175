"""Read the platform's lagging list of hosts."""

from result import Err

from galenapass.platform.messages import ListedHost
from galenapass.platform.objects import Objects
from galenapass.systems.targets import apply_presence
from galenapass.tables.world import World

__all__ = ["DAEMON", "apply_list", "fetch_list"]

DAEMON = "daemon"
TARGET = "target"


async def fetch_list(objects: Objects) -> tuple[ListedHost, ...] | None:
    """Return the list, or None when the platform did not answer."""
    found = await objects.list_hosts()
    return None if isinstance(found, Err) else found.ok_value


def apply_list(world: World, listed: tuple[ListedHost, ...]) -> None:
    """Take the rows of target hosts in."""
    targets = [row for row in listed if row.kind == TARGET]
    apply_presence(
        world,
        leaving=[row.id for row in targets if row.leaving],
        live=[row.id for row in targets if not row.leaving],
    )
