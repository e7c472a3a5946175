"""Write the object of one kind that belongs to this host."""

from result import Ok

from galenapass.forwarding.hosts import HostObjects
from galenapass.logs import make_log
from galenapass.platform.messages import FailureCause

__all__ = ["HostObject"]

_log = make_log("store")


class HostObject:
    """Object that no other host writes; ``version`` is its last known version."""

    __slots__ = ("_host", "_kind", "_objects", "version")

    def __init__(self, kind: str, host: str, objects: HostObjects):
        self.version: int | None = None
        self._kind = kind
        self._host = host
        self._objects = objects

    async def write(self, body: str) -> bool:
        """Replace the object, or create it; return whether the store has it.

        A write that was not answered may have been done, so its version is learned
        from the conflict that the next one meets.
        """
        for _ in range(2):
            written = await self._objects.write(
                self._kind, self._host, body, self.version
            )
            if isinstance(written, Ok):
                self.version = written.ok_value
                return True
            failure = written.err_value
            _log("object is not written", kind=self._kind, cause=failure.cause.value)
            if failure.cause is FailureCause.NOT_FOUND:
                self.version = None
            elif failure.cause is FailureCause.CONFLICT:
                self.version = failure.current
            else:
                return False
        return False
