"""State what the relay asks of the targets' and the clients' side."""

from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import Protocol

from result import Result

from galenapass.forwarding.engine_states import EngineStateClient
from galenapass.forwarding.target_messages import ClientRequest, TargetResponse
from galenapass.tables.targets import Target
from galenapass.verdicts import Verdict

__all__ = ["TargetClient", "Sink"]


class TargetClient(EngineStateClient, Protocol):
    """Send to targets in their own protocol."""

    async def prefill(
        self,
        target: Target,
        message: ClientRequest,
        left: timedelta,
        priority: int,
        cache_source: str | None,
    ) -> Result[str, Verdict]:
        """Have a prompt read and return where its memory is.

        What the engine at the address ``cache_source`` keeps of it is fetched from
        there.
        """

    def run(
        self,
        target: Target,
        message: ClientRequest,
        left: timedelta,
        *,
        priority: int | None,
        source: str | None,
        last_event: int | None,
        once: bool,
    ) -> AbstractAsyncContextManager[Result[TargetResponse, Verdict]]:
        """Send a request and give its answer."""

    async def release_kv_cache(self, source: str) -> None:
        """Free the memory of a prompt that is not used."""


class Sink(Protocol):
    """Take the answer for a client."""

    began: bool

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a whole answer."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of a stream."""

    async def write(self, events: bytes) -> None:
        """Send whole events."""

    async def finish(self) -> None:
        """End the stream as complete."""

    def abort(self) -> None:
        """End the stream so that it cannot look complete."""
