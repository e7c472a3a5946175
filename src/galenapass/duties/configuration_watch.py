"""Watch the platform for a new operators' file."""

import contextlib
from collections.abc import Callable

from result import Ok, Result

from galenapass.logs import make_log
from galenapass.platform.messages import Failure, StoredObject
from galenapass.platform.object_client import ObjectClient

__all__ = ["CURRENT", "KIND", "fetch_configuration", "watch_configurations"]

KIND = "configurations"
CURRENT = "current"

_log = make_log("settings")

Accept = Callable[[str, int], bool]


async def fetch_configuration(objects: ObjectClient, accept: Accept) -> bool:
    """Read the file in force once; return whether the platform answered."""
    found: Result[StoredObject, Failure] = await objects.read(KIND, CURRENT)
    if isinstance(found, Ok):
        accept(found.ok_value.body, found.ok_value.version)
    return isinstance(found, Ok)


async def watch_configurations(
    objects: ObjectClient, accept: Accept, after: Callable[[], int]
) -> None:
    """Accept each new file for as long as this daemon holds the duty."""
    changes = objects.watch(KIND, after())
    async with contextlib.aclosing(changes):  # type: ignore[type-var]
        async for change in changes:
            if change.name == CURRENT and not change.deleted:
                _log("a file came from the platform", version=change.version)
                accept(change.body, change.version)
