"""State what the callers' side asks of the core: where a request goes next."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from galenapass.tables.requests import Request
from galenapass.verdicts import Verdict

__all__ = ["Claim", "Claims", "Dispatcher", "Route", "StoredAnswer"]


@dataclass(slots=True, frozen=True)
class Route:
    """Hold where a request goes; a prefill target is named for a hand-over."""

    target: str
    address: str
    prefill_target: str | None = None
    prefill_address: str | None = None
    why: str = ""


class Dispatcher(Protocol):
    """Admit requests, choose their targets and take note of their ends."""

    async def route(self, request: Request) -> Result[Route, Verdict]:
        """Wait for a target, or return the final verdict at once."""

    async def reroute(
        self, request: Request, failure: Verdict
    ) -> Result[Route, Verdict]:
        """Take a failed attempt back and return the next target or the end."""

    def record_first_token(self, request: Request) -> None:
        """Take note that the prompt is processed and output has begun."""

    def record_resumption(self, request: Request) -> None:
        """Take note that a moved request's output goes on at its new target."""

    def end(self, request: Request, verdict: Verdict) -> None:
        """Forget a request and give back what it held."""


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """Hold the answer of a call that ran under an idempotency key."""

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class Claim:
    """Hold the right to run one non-idempotent call once."""

    key: str
    nonce: str


class Claims(Protocol):
    """Let each idempotency key run at most once in the whole fleet."""

    async def begin(
        self, caller: str, service: str, key: str, fingerprint: str
    ) -> Result[Claim | StoredAnswer, Verdict]:
        """Return the right to run, the earlier answer, or why neither."""

    async def finish(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Keep the answer; None leaves the claim at "may have run"."""

    async def release(self, claim: Claim) -> None:
        """Give a claim back whose call surely did not run."""
