"""Define the state of a conditional update in progress."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["ConditionalWrite"]


@dataclass(slots=True)
class ConditionalWrite:
    """Conditional update in progress.

    ``sent_at`` is the monotonic time just before the first send; ``unsure`` is set
    when an answer was lost, so that the write may still take effect.
    """

    body: str
    nonce: str
    if_version: int | None
    sent_at: timedelta
    unsure: bool = False
