"""Follow one conditional update until it is known whether it took effect."""

from dataclasses import dataclass

from result import Err, Ok, Result

from galenapass.platform.messages import Failure, FailureCause, StoredObject
from galenapass.tables.conditional_writes import ConditionalWrite

__all__ = [
    "Finding",
    "is_own",
    "note_read",
    "note_write",
]


@dataclass(slots=True, frozen=True)
class Finding:
    """Hold what an answer tells of an attempt.

    One of: written as ``version``; surely ``failed``; or neither, in which case
    the object must be read, or the same write sent again when ``resend``.
    """

    version: int | None = None
    failed: bool = False
    resend: bool = False

    @property
    def settled(self) -> bool:
        """Tell whether the attempt is over."""
        return self.failed or self.version is not None


_READ_AGAIN = Finding()
_SURELY_UNSENT = {FailureCause.UNAVAILABLE, FailureCause.THROTTLED}


def note_write(attempt: ConditionalWrite, answer: Result[int, Failure]) -> Finding:
    """Judge the answer to a write; anything unsure asks for a read."""
    match answer:
        case Ok(version):
            return Finding(version=version)
        case Err(failure) if failure.cause in _SURELY_UNSENT and not attempt.unsure:
            return Finding(failed=True)
        case _:
            # A conflict may be with an earlier send of this very attempt.
            attempt.unsure = True
            return _READ_AGAIN


def note_read(
    attempt: ConditionalWrite, answer: Result[StoredObject, Failure], nonce: str | None
) -> Finding:
    """Judge a read after an unsure write; ``nonce`` is the one in the object."""
    match answer:
        case Ok(stored) if is_own(attempt, nonce):
            return Finding(version=stored.version)
        case Ok(stored) if stored.version == attempt.if_version:
            return Finding(resend=True)
        case Ok(_):
            return Finding(failed=True)
        case Err(failure) if failure.cause is FailureCause.NOT_FOUND:
            # An object deleted since cannot take a write on its old version.
            absent = attempt.if_version is None
            return Finding(resend=absent, failed=not absent)
        case _:
            return _READ_AGAIN


def is_own(attempt: ConditionalWrite, nonce: str | None) -> bool:
    """Tell whether the object holds this attempt's own nonce."""
    return nonce == attempt.nonce
