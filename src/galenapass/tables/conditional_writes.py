"""Hold a conditional update while it is under way."""

from dataclasses import dataclass
from datetime import timedelta

__all__ = ["ConditionalWrite"]


@dataclass(slots=True)
class ConditionalWrite:
    """Hold one conditional update under way.

    ``sent_at`` is the monotonic time before the first send; ``unsure`` tells that
    an answer was lost, so that the write may still take effect.
    """

    body: str
    nonce: str
    if_version: int | None
    sent_at: timedelta
    unsure: bool = False
