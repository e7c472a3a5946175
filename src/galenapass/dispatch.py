"""Define the interfaces between the callers' handlers and the core."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from result import Result

from galenapass.tables.requests import Request
from galenapass.verdicts import Reason, Run, Verdict

__all__ = ["STOPPING", "Claim", "Claims", "Dispatcher", "Route", "StoredAnswer"]

STOPPING = Verdict(
    Run.NOT_RUN, Reason.STOPPING, "this daemon is stopping", timedelta(seconds=1)
)
"""Refusal of a request that comes during a planned stop."""


@dataclass(slots=True, frozen=True)
class Route:
    """Target of a request; ``prefill_target`` is set when another engine prefills."""

    target: str
    address: str
    prefill_target: str | None = None
    prefill_address: str | None = None
    why: str = ""


class Dispatcher(Protocol):
    """Component that admits requests, selects targets and records outcomes."""

    async def route(self, request: Request) -> Result[Route, Verdict]:
        """Wait for a target and return its route, or the final verdict."""

    async def reroute(
        self, request: Request, failure: Verdict
    ) -> Result[Route, Verdict]:
        """Release a failed attempt and return the next route or the final verdict."""

    def record_first_token(self, request: Request) -> None:
        """Record that prefill has finished and output has begun."""

    def record_resumption(self, request: Request) -> None:
        """Record that a moved request's output continues at its new target."""

    def end(self, request: Request, verdict: Verdict) -> None:
        """Remove a request and release its reservations."""


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """Response of a plain service; stored if its call has an idempotency key.

    One that is not known to be whole is passed on and not stored.
    """

    status: int
    content_type: str
    body: bytes
    is_whole: bool = True


@dataclass(slots=True, frozen=True)
class Claim:
    """Right to run one non-idempotent call once."""

    key: str
    nonce: str


class Claims(Protocol):
    """Store that lets each idempotency key run at most once in the fleet."""

    async def begin(
        self, caller: str, service: str, key: str, fingerprint: str
    ) -> Result[Claim | StoredAnswer, Verdict]:
        """Return a claim to run, the earlier response, or a verdict."""

    async def finish(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Store the response; None leaves the claim at "may have run"."""

    async def release(self, claim: Claim) -> None:
        """Release a claim whose call certainly did not run."""
