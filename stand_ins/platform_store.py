"""Hold the platform's objects with versions and tell watchers of each change."""

from dataclasses import dataclass

from reactivex.subject import Subject
from result import Err, Ok, Result

__all__ = ["Change", "Refusal", "Store", "VALUE_LIMIT_BYTES"]

VALUE_LIMIT_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class Change:
    """Hold an object as one version left it; a deleted one stays as a mark."""

    version: int
    kind: str
    name: str
    body: str
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class Refusal:
    """Hold why a write had no effect; ``current`` is None where there is no object."""

    status: int
    current: int | None = None


class Store:
    """Keep one integer version over all objects; each write raises it by one."""

    __slots__ = ("_objects", "changes", "version")

    def __init__(self) -> None:
        self.version = 0
        self.changes: Subject[Change] = Subject()
        self._objects: dict[tuple[str, str], Change] = {}

    def read(self, kind: str, name: str) -> Change | None:
        """Return an object, or None."""
        change = self._objects.get((kind, name))
        return None if change is None or change.deleted else change

    def list_present(self, kind: str) -> list[Change]:
        """Return the objects of a kind."""
        return [one for one in self._list_all(kind) if not one.deleted]

    def list_since(self, kind: str, version: int) -> list[Change]:
        """Return the latest change of each object after a version, in order."""
        later = [one for one in self._list_all(kind) if one.version > version]
        return sorted(later, key=lambda one: one.version)

    def _list_all(self, kind: str) -> list[Change]:
        return [one for one in self._objects.values() if one.kind == kind]

    def write(
        self, kind: str, name: str, body: str, expected: int | None
    ) -> Result[Change, Refusal]:
        """Write if the object's version is as expected; None expects no object."""
        refusal = self._check_version(kind, name, expected)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._commit(kind, name, body, deleted=False))

    def delete(self, kind: str, name: str, expected: int) -> Result[Change, Refusal]:
        """Delete if the object's version is as expected."""
        if self.read(kind, name) is None:
            return Err(Refusal(404))
        refusal = self._check_version(kind, name, expected)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._commit(kind, name, "", deleted=True))

    def _check_version(
        self, kind: str, name: str, expected: int | None
    ) -> Refusal | None:
        stored = self.read(kind, name)
        current = stored.version if stored else None
        return None if current == expected else Refusal(412, current)

    def _commit(self, kind: str, name: str, body: str, deleted: bool) -> Change:
        self.version += 1
        change = Change(self.version, kind, name, body, deleted)
        self._objects[kind, name] = change
        self.changes.on_next(change)
        return change
