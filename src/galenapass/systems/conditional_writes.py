"""Determine from the answers to calls whether a conditional update took effect."""

from dataclasses import dataclass

from result import Err, Ok, Result

from galenapass.platform.messages import Failure, FailureCause, StoredObject
from galenapass.tables.conditional_writes import ConditionalWrite

__all__ = [
    "WriteOutcome",
    "evaluate_read",
    "evaluate_write",
    "is_own_write",
]


@dataclass(slots=True, frozen=True)
class WriteOutcome:
    """State of an attempt after an answer.

    The object was written as ``version``, or the attempt has definitely ``failed``.
    With neither, the same write must be sent again if ``resend``, and otherwise the
    object must be read.
    """

    version: int | None = None
    failed: bool = False
    resend: bool = False

    @property
    def settled(self) -> bool:
        """Return whether the attempt is over."""
        return self.failed or self.version is not None


_READ_REQUIRED = WriteOutcome()
_UNSENT_CAUSES = {FailureCause.UNAVAILABLE, FailureCause.THROTTLED}


def evaluate_write(
    attempt: ConditionalWrite, answer: Result[int, Failure]
) -> WriteOutcome:
    """Evaluate the answer to a write; an ambiguous one requires a read."""
    match answer:
        case Ok(version):
            return WriteOutcome(version=version)
        case Err(failure) if failure.cause in _UNSENT_CAUSES and not attempt.unsure:
            return WriteOutcome(failed=True)
        case _:
            # The conflict may be with an earlier send of this same attempt.
            attempt.unsure = True
            return _READ_REQUIRED


def evaluate_read(
    attempt: ConditionalWrite, answer: Result[StoredObject, Failure], nonce: str | None
) -> WriteOutcome:
    """Evaluate a read after an ambiguous write; ``nonce`` is the stored object's."""
    match answer:
        case Ok(stored) if is_own_write(attempt, nonce):
            return WriteOutcome(version=stored.version)
        case Ok(stored) if stored.version == attempt.if_version:
            return WriteOutcome(resend=True)
        case Ok(_):
            return WriteOutcome(failed=True)
        case Err(failure) if failure.cause is FailureCause.NOT_FOUND:
            # A write conditional on a version fails once the object is deleted.
            absent = attempt.if_version is None
            return WriteOutcome(resend=absent, failed=not absent)
        case _:
            return _READ_REQUIRED


def is_own_write(attempt: ConditionalWrite, nonce: str | None) -> bool:
    """Return whether the object was written by this attempt."""
    return nonce == attempt.nonce
