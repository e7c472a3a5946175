"""Requests that are forwarded from clients to targets."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

from galenapass.forwarding.routes import Repeat, Route
from galenapass.forwarding.service_versions import ServiceVersion

if TYPE_CHECKING:
    from galenapass.forwarding.loads import PartDigest
    from galenapass.forwarding.target_messages import ResponseIdentity

__all__ = ["ForwardedRequest", "Part", "Prompt", "RequestMetadata"]


@dataclass(slots=True, frozen=True)
class Part:
    """Part of a prompt; parts with the same identifier are equal."""

    id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Sizes of a prompt and its output in tokens; the last part is not shared."""

    tokens: int
    output_tokens: int
    parts: tuple[Part, ...]

    @property
    def shared(self) -> tuple[Part, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """Request metadata from a client's headers.

    ``patience`` is the client's time limit, counted from the arrival. ``resumes`` is
    the attempt that brought the first event of a stream which the client takes up.
    """

    attempt: str
    patience: timedelta | None
    last_event: int | None
    prompt: Prompt | None
    resumes: str = ""


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """Request in progress, equal to itself only; times are monotonic.

    ``runs`` counts the sends that may have run, ``sends`` all sends except prefills and
    ``prefills`` the prefills, of which one was accepted if it ``has_prefilled``.
    ``reserved_retries`` are reserved in the retry budget, ``paid_retries`` taken from
    it; ``last_event`` is the id of the last event sent to the client. ``parts`` are the
    parts of the prompt that engines cache, the part that is not shared last.
    ``is_generation`` tells whether an engine generates its answer, by the configuration
    in force as it arrived. ``tried`` holds the ids of targets to use last; ``target``
    is the id of the one that works on it now, at which no second slot is requested.

    ``is_resumed`` tells whether the client takes up a stream of an earlier attempt.
    ``stream`` is the digest of the attempt that brought the first event of its stream,
    and ``origin`` the version that made that event, None before it; ``abandoned_at`` is
    when the client stops waiting, also at other hosts. ``answer`` tells of the latest
    response of a target to it. ``organisation`` is the name of the caller's, empty if
    unknown; ``caller_rank`` takes its priority into account, None without
    organisations. ``has_begun`` is set once its use is counted.
    """

    id: str
    route: Route
    service: str
    arrived: timedelta
    deadline: timedelta
    prompt: Prompt | None
    parts: "tuple[PartDigest, ...]" = ()
    fingerprint: str = ""
    is_generation: bool = False
    runs: int = 0
    sends: int = 0
    prefills: int = 0
    has_prefilled: bool = False
    paid_retries: int = 0
    reserved_retries: int = 0
    last_event: int | None = None
    tried: set[str] = field(default_factory=set)
    target: str | None = None
    is_resumed: bool = False
    stream: int = 0
    origin: ServiceVersion | None = None
    abandoned_at: timedelta = timedelta(0)
    answer: "ResponseIdentity | None" = None
    organisation: str = ""
    caller_rank: int | None = None
    has_begun: bool = False

    @property
    def version(self) -> str | None:
        """Return the only version at which it may go on, None for any."""
        return None if self.origin is None else self.origin.version

    @property
    def shared_parts(self) -> "tuple[PartDigest, ...]":
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def next_retry_cost(self) -> int:
        """Return how many sends of the next try count against the retry budget.

        The first send and the first accepted prefill are free.
        """
        return max((self.sends > 0) + (self.prefills > 0), 1)

    @property
    def next_arrival_retries(self) -> int:
        """Return how many of its arrivals count as retries once it is sent once more.

        All but the first do. The first prefill that a target accepts is no arrival.
        """
        return self.sends + self.prefills - self.has_prefilled

    @property
    def soft_deadline(self) -> timedelta:
        """Return the time at which the latency objective of the route ends."""
        return self.arrived + self.route.latency_objective

    @property
    def rank(self) -> int:
        """Return its urgency, that of its organisation first; 0 is the most urgent."""
        return self.route.rank if self.caller_rank is None else self.caller_rank

    @property
    def may_repeat(self) -> bool:
        """Return whether its route allows more than one run."""
        return self.route.repeat is not Repeat.ONCE
