"""Hold a request on its way from a client to a target."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from galenapass.forwarding.routes import Repeat, Route

if TYPE_CHECKING:
    from galenapass.forwarding.loads import PartDigest

__all__ = ["ForwardedRequest", "RequestMetadata", "Part", "Prompt"]


@dataclass(slots=True, frozen=True)
class Part:
    """Hold one part of a prompt; parts with the same identifier are equal."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Hold the size of a prompt; the last part is the request's own."""

    tokens: int
    output_tokens: int
    parts: tuple[Part, ...]

    @property
    def shared(self) -> tuple[Part, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """Hold what a client's headers say; the patience is relative to the arrival."""

    attempt: str
    patience: timedelta | None
    last_event: int | None
    prompt: Prompt | None


@dataclass(slots=True)
class ForwardedRequest:
    """Hold one request; times are monotonic.

    ``runs`` counts the sends that may have run, ``sends`` all sends that could run
    and ``prefills`` those that only had the prompt read; ``last_event`` is the last
    event that the client was sent. ``parts`` names what of the prompt engines keep,
    the request's own part last.
    """

    id: str
    route: Route
    service: str
    arrived: timedelta
    deadline: timedelta
    prompt: Prompt | None
    parts: "tuple[PartDigest, ...]" = ()
    fingerprint: str = ""
    runs: int = 0
    sends: int = 0
    prefills: int = 0
    last_event: int | None = None
    tried: set[str] = field(default_factory=set)

    @property
    def shared_parts(self) -> "tuple[PartDigest, ...]":
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def next_retry_cost(self) -> int:
        """Return how many sends of the next try count against the budget.

        The first send and the first accepted prefill are free.
        """
        return max((self.sends > 0) + (self.prefills > 0), 1)

    @property
    def soft_deadline(self) -> timedelta:
        """Return the time up to which an answer is worth most."""
        return self.arrived + self.route.latency_objective

    @property
    def rank(self) -> int:
        """Return the urgency of its route, 0 first."""
        return self.route.rank

    @property
    def may_repeat(self) -> bool:
        """Tell whether the kind of its route lets it run once more."""
        return self.route.repeat is not Repeat.ONCE
