"""Fake object store in which a test chooses the outcome of each call."""

from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from galenapass.platform.messages import Failure, FailureCause, StoredObject

UNKNOWN = Err(Failure(FailureCause.UNKNOWN))
UNAVAILABLE = Err(Failure(FailureCause.UNAVAILABLE))


class Fate(Enum):
    """Outcome of one call."""

    ANSWERED = "answered"
    ANSWER_LOST = "took effect, answer lost"
    REQUEST_LOST = "no effect, answer lost"
    LATE = "answer lost, takes effect later"
    UNAVAILABLE = "not sent"


FATES = list(Fate)


@dataclass
class FakeObjects:
    """Objects by name, versioned by one shared counter."""

    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    late: list[tuple[str, str, int | None]] = field(default_factory=list)
    history: list[StoredObject] = field(default_factory=list)

    def read(self, name, fate=Fate.ANSWERED):
        if fate is not Fate.ANSWERED:
            return UNAVAILABLE if fate is Fate.UNAVAILABLE else UNKNOWN
        stored = self.objects.get(name)
        return Ok(stored) if stored else Err(Failure(FailureCause.NOT_FOUND))

    def write(self, name, body, if_version, fate=Fate.ANSWERED):
        if fate is Fate.LATE:
            self.late.append((name, body, if_version))
        if fate is Fate.UNAVAILABLE:
            return UNAVAILABLE
        if fate in (Fate.REQUEST_LOST, Fate.LATE):
            return UNKNOWN
        answer = self._put(name, body, if_version)
        return UNKNOWN if fate is Fate.ANSWER_LOST else answer

    def arrive_late(self):
        if self.late:
            self._put(*self.late.pop(0))

    def _put(self, name, body, if_version):
        held = self.objects.get(name)
        current = held.version if held else None
        if current != if_version:
            return Err(Failure(FailureCause.CONFLICT, current))
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, body)
        self.history.append(self.objects[name])
        return Ok(self.version)
