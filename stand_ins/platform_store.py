"""Store the platform's versioned objects and publish each change to watchers."""

from dataclasses import dataclass

from reactivex.subject import Subject
from result import Err, Ok, Result

__all__ = ["Change", "Refusal", "Store", "VALUE_LIMIT_BYTES"]

VALUE_LIMIT_BYTES = 1_000_000


@dataclass(slots=True, frozen=True)
class Change:
    """Object at one version; a deleted object remains as a tombstone."""

    version: int
    kind: str
    name: str
    body: str
    deleted: bool = False


@dataclass(slots=True, frozen=True)
class Refusal:
    """HTTP status of a refused write; ``current`` version is None without an object."""

    status: int
    current: int | None = None


class Store:
    """Objects under one shared version counter, which each write increments."""

    __slots__ = ("_objects", "changes", "version")

    def __init__(self) -> None:
        self.version = 0
        self.changes: Subject[Change] = Subject()
        self._objects: dict[tuple[str, str], Change] = {}

    def read(self, kind: str, name: str) -> Change | None:
        """Return the last change of an object, or None if it does not exist."""
        change = self._objects.get((kind, name))
        return None if change is None or change.deleted else change

    def list_present(self, kind: str) -> list[Change]:
        """Return the existing objects of a kind."""
        return [change for change in self._list_all(kind) if not change.deleted]

    def list_since(self, kind: str, version: int) -> list[Change]:
        """Return the last change of each object after a version, by version."""
        later = [change for change in self._list_all(kind) if change.version > version]
        return sorted(later, key=lambda change: change.version)

    def _list_all(self, kind: str) -> list[Change]:
        return [change for change in self._objects.values() if change.kind == kind]

    def write(
        self, kind: str, name: str, body: str, expected: int | None
    ) -> Result[Change, Refusal]:
        """Write if the object's version is ``expected``; None expects no object."""
        refusal = self._check_version(kind, name, expected)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._commit(kind, name, body, deleted=False))

    def delete(self, kind: str, name: str, expected: int) -> Result[Change, Refusal]:
        """Delete if the object's version is ``expected``."""
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
