"""Interfaces through which the relay reaches targets and clients."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import Protocol

from result import Result

from galenapass.forwarding.engine_states import EngineStateClient
from galenapass.forwarding.target_messages import ClientRequest, TargetResponse
from galenapass.tables.targets import Target
from galenapass.verdicts import Verdict

__all__ = ["Sink", "TargetClient"]


class TargetClient(EngineStateClient, Protocol):
    """Client of targets, in their wire protocol."""

    async def prefill(
        self,
        target: Target,
        message: ClientRequest,
        time_left: timedelta,
        priority: int,
        cache_source: str | None,
    ) -> Result[str, Verdict]:
        """Have a target prefill a prompt and return where its KV cache is.

        Parts cached by the engine at the address ``cache_source`` are fetched from it.
        """

    def run(
        self,
        target: Target,
        message: ClientRequest,
        time_left: timedelta,
        *,
        priority: int | None,
        source: str | None,
        last_event: int | None,
        once: bool,
        on_connection: Callable[[], None] | None = None,
    ) -> AbstractAsyncContextManager[Result[TargetResponse, Verdict]]:
        """Send a request; the context yields its response.

        ``on_connection`` is called before anything is sent.
        """

    async def release_kv_cache(self, source: str) -> None:
        """Free the KV cache of a prompt that will not be decoded."""


class Sink(Protocol):
    """Receiver of the response for one client.

    ``began`` is set once a stream has begun.
    """

    began: bool

    async def answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes | bytearray
    ) -> None:
        """Send a complete response; a large one has been taken when this returns."""

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the status and headers of a stream."""

    async def write(self, events: bytes) -> None:
        """Send complete events."""

    async def finish(self) -> None:
        """End the stream as complete."""

    def abort(self) -> None:
        """End the stream so that the client sees it as incomplete."""
