"""Define verdicts: whether a request may have run, why it ended, when to retry."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

__all__ = ["Reason", "Run", "Verdict"]


class Run(Enum):
    """Whether a target ran a request."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


class Reason(Enum):
    """Cause of a verdict."""

    COMPLETED = "completed"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown model"
    OVERLOADED = "overloaded"
    LIMIT_EXCEEDED = "limit exceeded"
    NO_TARGET = "no target"
    TARGETS_UNKNOWN = "targets unknown"
    TARGET_REFUSED = "target refused"
    TARGET_FAILED = "target failed"
    TARGET_UNREACHABLE = "target unreachable"
    TARGET_EXCLUDED = "target excluded"
    CRASHES_TARGETS = "crashes targets"
    DEADLINE_PASSED = "deadline passed"
    PLATFORM_UNAVAILABLE = "platform away"
    KEY_IN_USE = "key in use"
    KEY_REUSED = "key reused"
    STOPPING = "stopping"
    NOT_CONFIGURED = "not configured"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


@dataclass(slots=True, frozen=True)
class Verdict:
    """Outcome of a request as reported to its caller."""

    run: Run
    reason: Reason
    detail: str = ""
    retry_after: timedelta | None = None

    @property
    def may_retry(self) -> bool:
        """Return whether a resend cannot run the request twice."""
        return self.run is Run.NOT_RUN
