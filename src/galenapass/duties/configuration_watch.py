"""Watch the platform for new configurations (operators' files)."""

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
    """Read the current configuration once; return whether the read succeeded."""
    found: Result[StoredObject, Failure] = await objects.read(KIND, CURRENT)
    if isinstance(found, Ok):
        accept(found.ok_value.body, found.ok_value.version)
    return isinstance(found, Ok)


async def watch_configurations(
    objects: ObjectClient, accept: Accept, after: Callable[[], int]
) -> None:
    """Pass each configuration newer than ``after()`` to ``accept`` until cancelled."""
    changes = objects.watch(KIND, after())
    async with contextlib.aclosing(changes):  # type: ignore[type-var]
        async for change in changes:
            if change.name == CURRENT and not change.deleted:
                _log(
                    "received a configuration from the platform", version=change.version
                )
                accept(change.body, change.version)
