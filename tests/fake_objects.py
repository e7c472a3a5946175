"""Fake object store in which a test chooses the outcome of each call."""

from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from galenapass.platform.messages import Failure, FailureCause, StoredObject

UNKNOWN = Err(Failure(FailureCause.UNKNOWN))
UNAVAILABLE = Err(Failure(FailureCause.UNAVAILABLE))


class CallOutcome(Enum):
    """How one call ends."""

    ANSWERED = "answered"
    ANSWER_LOST = "took effect, answer lost"
    REQUEST_LOST = "no effect, answer lost"
    LATE = "answer lost, takes effect later"
    UNAVAILABLE = "not sent"


CALL_OUTCOMES = list(CallOutcome)


@dataclass
class FakeObjects:
    """Objects by name, versioned by a single counter."""

    objects: dict[str, StoredObject] = field(default_factory=dict)
    version: int = 0
    late: list[tuple[str, str, int | None]] = field(default_factory=list)
    history: list[StoredObject] = field(default_factory=list)
    epoch: int = 0

    def read(self, name, call_outcome=CallOutcome.ANSWERED):
        if call_outcome is not CallOutcome.ANSWERED:
            return UNAVAILABLE if call_outcome is CallOutcome.UNAVAILABLE else UNKNOWN
        stored = self.objects.get(name)
        return Ok(stored) if stored else Err(Failure(FailureCause.NOT_FOUND))

    def write(self, name, body, if_version, call_outcome=CallOutcome.ANSWERED):
        if call_outcome is CallOutcome.LATE:
            self.late.append((name, body, if_version))
        if call_outcome is CallOutcome.UNAVAILABLE:
            return UNAVAILABLE
        if call_outcome in (CallOutcome.REQUEST_LOST, CallOutcome.LATE):
            return UNKNOWN
        answer = self._put(name, body, if_version)
        return UNKNOWN if call_outcome is CallOutcome.ANSWER_LOST else answer

    def copy(self):
        return dict(self.objects), self.version

    def restore(self, copy):
        """Return to an older copy, whose versions are given out again."""
        objects, self.version = copy
        self.objects = dict(objects)
        self.epoch += 1

    def apply_late_write(self):
        if self.late:
            self._put(*self.late.pop(0))

    def _put(self, name, body, if_version):
        stored = self.objects.get(name)
        current = stored.version if stored else None
        if current != if_version:
            return Err(Failure(FailureCause.CONFLICT, current))
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, body)
        self.history.append(self.objects[name])
        return Ok(self.version)
